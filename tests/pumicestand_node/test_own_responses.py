"""Tests that a client gets the response of a run that its request caused.

The target's responses name the request and the run: the status, the stamp
and the body that a client gets must be those of one run of its request.
"""

import contextlib
import dataclasses
import random

import pytest
import trio

from tests import mock_clock
from tests.pumicestand_node import test_mesh_calls

METHODS = ('GET', 'GET', 'GET', 'HEAD', 'POST')
STATUSES = (200, 200, 200, 204, 304, 404, 500)


@dataclasses.dataclass(frozen=True)
class Response:
    """A response of the target, or as a client reads it.

    :param stamp: names the run, None if the node itself has responded
    """

    status: int
    stamp: bytes | None
    body: bytes


def read_responses(data, methods):
    """Return the responses on a connection; the last may be incomplete.

    :param methods: of the requests
    """
    responses = []
    while data:
        head, separator, rest = data.partition(b'\r\n\r\n')
        if not separator:
            break
        version, status, _ = head.split(b' ', 2)
        assert version == b'HTTP/1.1'
        if status == b'100':
            data = rest
            continue
        headers = dict(
            line.lower().split(b': ', 1) for line in head.split(b'\r\n')[1:]
        )
        length = int(headers.get(b'content-length', 0))
        if methods[len(responses)] == 'HEAD':
            length = 0
        if len(rest) < length:
            break
        responses.append(
            Response(
                int(status),
                headers.get(b'pumicestand-server-stamp'),
                rest[:length],
            )
        )
        data = rest[length:]
    return responses


class RecordingHarness(test_mesh_calls.CallHarness):
    """A node whose target records its response to each run.

    ``runs`` holds the responses to each request by its path. `respond` is
    called with (stream, path, number of the run, request id).
    """

    def __init__(self, nursery, respond):
        super().__init__(nursery, test_mesh_calls.TargetScript([]))
        self._respond = respond
        self.runs = {}
        self.run_count = 0
        # A call is sent to each node once; a second name allows a retry.
        twin = self.mesh.fleet.get_or_add('twin', '10.0.0.1', 7000, 0.0)
        twin.is_linked = True
        report = dataclasses.replace(
            self.mesh.new_report(self.targets.load(), (), 0.0), name='twin'
        )
        self.mesh.fleet.apply_report(report, 0.0)

    async def play_step(self, stream, request_id):
        method, path, _ = self.script.request_heads[-1].split(b' ', 2)
        self.run_count += 1
        try:
            return await self._respond(
                self, stream, method, path, self.run_count, request_id
            )
        except trio.BrokenResourceError:
            return False

    def make_response(self, method, path, number, request_id, status):
        """Record a response and return it as bytes."""
        body = b'%b run %d' % (path, number)
        size = len(body)
        if method == b'HEAD' or status in (204, 304):
            body = b''
        if method != b'HEAD':
            size = len(body)
        response = Response(status, b'%d' % number, body)
        self.runs.setdefault(path, []).append(response)
        return (
            b'HTTP/1.1 %d X\r\nPumicestand-Request-Id: %b\r\n'
            b'Pumicestand-Server-Stamp: %d\r\ncontent-length: %d\r\n\r\n%b'
            % (status, request_id, number, size, body)
        )


def run_test(test, respond):
    async def main():
        async with trio.open_nursery() as nursery:
            await test(RecordingHarness(nursery, respond))
            nursery.cancel_scope.cancel()

    mock_clock.run(main)


async def read_to_end(stream):
    data = b''
    with trio.move_on_after(30), contextlib.suppress(trio.ClosedResourceError):
        while more := await stream.receive_some(65_536):
            data += more
    return data


async def respond_at_random(
    rng, harness, stream, method, path, number, request_id
):
    """Respond as a faulty target does, often more than once."""
    await trio.sleep(rng.choice((0.0, 0.0, 0.01, 0.1, 0.3)))
    if rng.random() < 0.1:
        await stream.send_all(
            test_mesh_calls.NOT_RUN_RESPONSE.replace(b'%b', request_id)
        )
        return True
    status = rng.choice(STATUSES)
    data = harness.make_response(method, path, number, request_id, status)
    match rng.randrange(8):
        case 0:
            await stream.send_all(data[: rng.randrange(len(data))])
            await stream.aclose()
            return False
        case 1:
            await stream.send_all(data + data[: rng.randrange(len(data))])
            return True
        case 2:
            await stream.send_all(data)
            await trio.sleep(rng.choice((0.0, 0.01, 0.1)))
            await stream.send_all(data)
            return True
    await stream.send_all(data)
    return True


async def play_client(harness, rng, name):
    """Send pipelined requests and check each response."""
    methods = rng.choices(METHODS, k=rng.randint(1, 8))
    paths = [
        f'/{rng.choice("xxo")}/{name}/{number}'
        for number in range(len(methods))
    ]
    stream = await harness.open_client()
    received = []

    async def receive():
        received.append(await read_to_end(stream))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(receive)
        try:
            for method, path in zip(methods, paths, strict=True):
                is_expecting = method == 'POST' and rng.random() < 0.5
                await stream.send_all(
                    test_mesh_calls.make_request(
                        path,
                        method,
                        request_id=path,
                        extra=b'expect: 100-continue\r\n'
                        if is_expecting
                        else b'',
                        close=path is paths[-1] or rng.random() < 0.03,
                    )
                )
                await trio.sleep(rng.choice((0.0, 0.0, 0.02, 0.2)))
            if rng.random() < 0.2:
                await stream.send_all(b'no request\r\n\r\n')
        except trio.BrokenResourceError:
            pass
        if rng.random() < 0.2:
            await trio.sleep(rng.choice((0.0, 0.05, 0.2)))
            await stream.aclose()
            nursery.cancel_scope.cancel()
    if not received:
        return 0
    responses = read_responses(received[0], [*methods, 'GET'])
    count = 0
    for path, response in zip(paths, responses, strict=False):
        if response.stamp is None:
            assert response.status in (400, 502, 503, 504)
            continue
        assert response in harness.runs[path.encode()]
        count += 1
    return count


@pytest.mark.parametrize('seed', range(12))
def test_pipelined_requests_get_their_own_responses_in_order(seed):
    """Targets respond twice, and clients leave or send garbage."""
    rng = random.Random(seed)
    counts = []

    async def play(harness, name):
        counts.append(await play_client(harness, rng, name))

    async def test(harness):
        async with trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(play, harness, f'c{number}')
                await trio.sleep(rng.choice((0.0, 0.1, 0.3)))
        assert sum(counts) > 20

    async def respond(*arguments):
        return await respond_at_random(rng, *arguments)

    run_test(test, respond)


def test_calls_with_the_same_id_at_once_get_their_own_responses():
    """The parent of a nested call may run again meanwhile."""

    async def respond(harness, stream, method, path, number, request_id):
        await trio.sleep(0.3 / number)
        status = 500 if number == 2 else 200
        await stream.send_all(
            harness.make_response(method, path, number, request_id, status)
        )
        return True

    async def send(harness, path):
        _, data = await harness.send_request(path, 'POST', 'p.1')
        assert read_responses(data, ['POST']) == harness.runs[path.encode()]

    async def test(harness):
        async with trio.open_nursery() as nursery:
            for number in range(3):
                nursery.start_soon(send, harness, f'/o/{number}')

    run_test(test, respond)


@pytest.mark.parametrize(
    'second', [200, 204, 404, 500, 'not run', 'cut', None]
)
def test_a_retried_call_gets_the_whole_response_of_one_run(second):
    """Not the status of one run with the stamp or body of another."""

    async def respond(harness, stream, method, path, number, request_id):
        status = second if number == 2 and second in STATUSES else 500
        data = harness.make_response(method, path, number, request_id, status)
        if number == 1 or second in STATUSES:
            await stream.send_all(data)
            return True
        harness.runs[path].pop()
        match second:
            case 'not run':
                data = test_mesh_calls.NOT_RUN_RESPONSE
                await stream.send_all(data.replace(b'%b', request_id))
                return True
            case 'cut':
                await stream.send_all(data[:-1])
            case _:
                await trio.sleep_forever()
        await stream.aclose()
        return False

    async def test(harness):
        _, data = await harness.send_request()
        (response,) = read_responses(data, ['GET'])
        assert response == harness.runs[b'/x/1'][-1]
        assert harness.run_count == 2

    run_test(test, respond)


def test_nothing_follows_the_head_of_a_response_to_a_head_request():
    """Bytes of a later response were sent to the client as a body."""

    async def respond(harness, stream, method, path, number, request_id):
        data = harness.make_response(b'GET', path, number, request_id, 200)
        if method == b'HEAD':
            # The length that the response to a GET would have, and no body.
            await stream.send_all(data.partition(b'run')[0][: -len(path) - 1])
            await trio.sleep(0.05)
        await stream.send_all(data)
        return True

    async def test(harness):
        stream = await harness.open_client()
        make_request = test_mesh_calls.make_request
        await stream.send_all(make_request('/x/1', 'HEAD', 'a', close=False))
        await stream.send_all(make_request('/x/2', request_id='b'))
        responses = read_responses(await read_to_end(stream), ['HEAD', 'GET'])
        assert [r.status for r in responses] == [200, 200]
        assert responses[1].body.startswith(b'/x/2 run')

    run_test(test, respond)


def test_a_head_request_is_answered_although_a_length_is_stated():
    """The node waited for a body until the deadline."""

    async def respond(harness, stream, method, path, number, request_id):
        data = harness.make_response(b'GET', path, number, request_id, 200)
        await stream.send_all(data.partition(b'\r\n\r\n')[0] + b'\r\n\r\n')
        return True

    async def test(harness):
        for request_id in ('i1', 'i2'):
            got, _ = await harness.send_request(
                method='HEAD', request_id=request_id
            )
            assert got == 200
        assert harness.script.connect_count == 1

    run_test(test, respond)


def test_a_call_is_known_to_run_after_another_with_its_id_has_ended():
    """Calls that the target made for it were not known as nested."""

    async def respond(harness, stream, method, path, number, request_id):
        await trio.sleep(0.1 if number == 1 else 0.4)
        await stream.send_all(
            harness.make_response(method, path, number, request_id, 200)
        )
        return True

    async def test(harness):
        async with trio.open_nursery() as nursery:
            for number in range(2):
                nursery.start_soon(
                    harness.send_request, f'/o/{number}', 'POST', 'p'
                )
            await trio.sleep(0.2)
            assert harness.run_count == 2
            assert harness.targets.find_running('p') is not None

    run_test(test, respond)
