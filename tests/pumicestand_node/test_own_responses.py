"""Tests that a client gets the response of a run that its request caused.

The target's responses name the request and the run: the status, the stamp
and the body that a client gets must be those of one run of its request.
"""

import contextlib
import dataclasses

import trio

from tests import mock_clock
from tests.pumicestand_node import test_mesh_calls


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
        if method == b'HEAD' or status in (204, 304):
            body = b''
        response = Response(status, b'%d' % number, body)
        self.runs.setdefault(path, []).append(response)
        return (
            b'HTTP/1.1 %d X\r\nPumicestand-Request-Id: %b\r\n'
            b'Pumicestand-Server-Stamp: %d\r\ncontent-length: %d\r\n\r\n%b'
            % (status, request_id, number, len(body), body)
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
