"""Tests of a faulty target that sends endless responses."""

import gc
import tracemalloc

import pytest
import trio
import trio.testing

from pumicestand import response_buffers
from tests.pumicestand_node import test_mesh_calls

HEAD = (
    b'HTTP/1.1 200 OK\r\nPumicestand-Request-Id: %b\r\n'
    b'Pumicestand-Server-Stamp: s\r\n'
)
# Name: (what is sent once, what is then repeated endlessly).
ENDLESS = {
    'status line': (b'HTTP/1.1 200 ', b'x' * 1000),
    'header name': (HEAD + b'x', b'x' * 1000),
    'header value': (HEAD + b'x: ', b'x' * 1000),
    'headers': (HEAD, b'x: y\r\n' * 100),
    'body without length': (HEAD + b'\r\n', b'x' * 65_536),
    'chunks': (
        HEAD + b'transfer-encoding: chunked\r\n\r\n',
        (b'fff0\r\n' + b'x' * 0xFFF0 + b'\r\n'),
    ),
    'trailers': (
        HEAD + b'transfer-encoding: chunked\r\n\r\n0\r\n',
        b'x: y\r\n' * 10_000,
    ),
    'trailer value': (
        HEAD + b'transfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nx: ',
        b'x' * 65_536,
    ),
    'chunk extension': (
        HEAD + b'transfer-encoding: chunked\r\n\r\n2;x=',
        b'x' * 65_536,
    ),
    'interim responses': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 10),
    'other responses': (b'', test_mesh_calls.RESPONSE_TO_OTHER),
    'no response': (b'', b'\x00' * 1000),
}
# A node on a VM of 128 MB has some 90 MB left, and joins the parts of a body.
MAX_BUFFERED_BYTES = 45_000_000


class EndlessHarness(test_mesh_calls.CallHarness):
    """A node whose target sends bytes until its connection is closed."""

    def __init__(self, nursery, script):
        super().__init__(nursery, script)
        self.sent_bytes = 0
        self.most_buffered_bytes = 0
        self.open_count = 0

    @property
    def buffered_bytes(self):
        return self.targets._pool._buffers.total_bytes

    async def connect(self, host, port):
        # Nothing is sent before the node reads it.
        node_end, target_end = trio.testing.lockstep_stream_pair()
        self.nursery.start_soon(self.serve_target, target_end)
        return node_end

    async def play_step(self, stream, request_id):
        if self.script.steps:
            return await super().play_step(stream, request_id)
        first, repeated = self.script.default_step
        self.open_count += 1
        data = first.replace(b'%b', request_id)
        try:
            while True:
                await stream.send_all(data)
                self.sent_bytes += len(data)
                self.most_buffered_bytes = max(
                    self.most_buffered_bytes, self.buffered_bytes
                )
                data = repeated
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.open_count -= 1
            return False


def run_endless(test, name, *steps):
    async def main():
        async with trio.open_nursery() as nursery:
            script = test_mesh_calls.TargetScript(list(steps))
            script.default_step = ENDLESS[name]
            await test(EndlessHarness(nursery, script))
            nursery.cancel_scope.cancel()

    test_mesh_calls.mock_clock.run(main)


@pytest.mark.parametrize('name', ENDLESS)
def test_endless_response_is_given_up(name):
    async def test(harness):
        status, _ = await harness.send_request('/o/1', 'POST')
        assert status == 502
        await trio.sleep(0.01)
        assert harness.open_count == 0
        assert harness.sent_bytes <= MAX_BUFFERED_BYTES

    run_endless(test, name)


@pytest.mark.parametrize(
    'name', ['header value', 'trailers', 'trailer value', 'chunk extension']
)
def test_what_is_no_body_is_given_up_at_the_size_of_a_head(name):
    async def test(harness):
        status, _ = await harness.send_request('/o/1', 'POST')
        assert status == 502
        await trio.sleep(0.01)
        # Another part may be on its way when the limit is reached.
        most_bytes = response_buffers.MAX_HEAD_BYTES + 2 * 65_536
        assert harness.sent_bytes <= most_bytes

    run_endless(test, name)


@pytest.mark.parametrize('name', ['chunks', 'headers'])
def test_endless_responses_at_once_stay_within_the_memory(name):
    async def test(harness):
        async def send(number):
            await harness.send_request('/o/1', 'POST', f'i{number}')

        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(send, number)
        assert harness.most_buffered_bytes <= MAX_BUFFERED_BYTES
        assert harness.buffered_bytes == 0

    run_endless(test, name)


def test_responses_that_were_given_up_leave_their_memory_before_a_collection():
    """The parser and its callbacks refer to each other."""

    async def test(harness):
        for number in range(3):
            await harness.send_request('/o/1', 'POST', f'i{number}')
            await trio.sleep(1.0)
        held_bytes, _ = tracemalloc.get_traced_memory()
        assert held_bytes <= response_buffers.MIN_RESPONSE_BYTES

    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        run_endless(test, 'body without length')
    finally:
        tracemalloc.stop()
        gc.enable()


def test_call_after_an_endless_response_is_served():
    async def test(harness):
        status, _ = await harness.send_request('/o/1', 'POST')
        assert status == 502
        harness.script.steps.append(test_mesh_calls.OK_RESPONSE)
        status, _ = await harness.send_request('/o/1', 'POST', 'i2')
        assert status == 200

    run_endless(test, 'chunks')


def test_chunked_body_with_more_framing_than_a_head_is_delivered_whole():
    count = response_buffers.MAX_HEAD_BYTES
    response = HEAD + b'transfer-encoding: chunked\r\n\r\n'
    chunks = b'1\r\nx\r\n' * count + b'0\r\nx: y\r\n\r\n'

    async def test(harness):
        harness.script.steps.append(response + chunks)
        status, data = await harness.send_request()
        assert status == 200
        assert data.endswith(b'x' * count)

    run_endless(test, 'chunks')


def test_long_response_is_delivered_whole():
    body = b'x' * (4 * response_buffers.MIN_RESPONSE_BYTES)
    response = HEAD + b'content-length: %d\r\n\r\n' % len(body)

    async def test(harness):
        harness.script.steps.append(response + body)
        status, data = await harness.send_request()
        assert status == 200
        assert data.endswith(b'\r\n\r\n' + body)

    run_endless(test, 'chunks')
