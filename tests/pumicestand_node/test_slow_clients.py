"""Tests of clients that make no progress or send very small parts.

The connections are the real ones, on memory streams.
"""

import trio
import trio.testing

from pumicestand import buffer_budget
from pumicestand import client_progress
from pumicestand import documents
from pumicestand_node import client_connections
from pumicestand_node import client_port
from tests import mock_clock
from tests.pumicestand_node import test_client_connections

read_to_end = test_client_connections.read_to_end
RESPONSE = test_client_connections.RESPONSE
HEAD = b'POST /x HTTP/1.1\r\nhost: h\r\n'
LIMITS = documents.ClientLimits(
    head_bytes=65_536, body_bytes=1_000_000, head_timeout=3.0
)


class Port:
    """A port whose connections share a budget.

    Each request is answered once its body is complete, and its responses have
    the given size.
    """

    def __init__(self, nursery, max_bytes=1_000_000, response=RESPONSE):
        self.nursery = nursery
        self.budget = buffer_budget.BufferBudget(max_bytes)
        self.response = response
        self.served = []
        self.refusals = []
        self.port = client_port.ClientPort(
            self._serve,
            self.refusals.append,
            lambda: LIMITS,
            clock=trio.current_time,
            budget=self.budget,
        )
        nursery.start_soon(self._enforce_timeouts)

    async def _enforce_timeouts(self):
        while True:
            await trio.sleep(0.5)
            self.port.enforce_timeouts()

    async def _serve(self, request, response):
        self.served.append((request.head, await request.read_all()))
        await response.send(self.response)
        return True

    def count_received(self):
        """Return the bytes of bodies that are not complete."""
        requests = [c._parser.request for c in self.port._connections]
        return sum(r.received_bytes for r in requests if r is not None)

    async def connect(self, data):
        """Return a new client's stream that has sent some bytes."""
        client, node_end = trio.testing.memory_stream_pair()
        self.nursery.start_soon(self.port.serve, node_end)
        await client.send_all(data)
        await trio.testing.wait_all_tasks_blocked()
        return client


def run(test, **options):
    """Run a test, a coroutine function of `Port`."""

    async def main():
        async with trio.open_nursery() as nursery:
            port = Port(nursery, **options)
            await test(port)
            nursery.cancel_scope.cancel()
        assert port.budget.held_bytes == 0
        assert port.budget.promised_bytes == 0

    mock_clock.run(main)


def length(size):
    return HEAD + b'content-length: %d\r\n\r\n' % size


def test_announced_body_without_progress_gives_way_to_another():
    async def test(port):
        silent = [await port.connect(length(300_000) + b'u') for _ in '12']
        refused = await port.connect(length(300_000))
        response = await read_to_end(refused)
        assert response.startswith(b'HTTP/1.1 503 ')
        assert b'retry-after: 0.25\r\n' in response
        await trio.sleep(client_progress.MIN_STALL_S)
        served = await port.connect(length(300_000) + b'v' * 300_000)
        assert await served.receive_some() == RESPONSE
        response = await read_to_end(silent[0])
        assert response.startswith(b'HTTP/1.1 503 ')
        assert b'pumicestand-outcome: not-run\r\n' in response
        # One of them was enough.
        await silent[1].send_all(b'u' * 299_999)
        assert await silent[1].receive_some() == RESPONSE

    run(test)


def test_body_that_drips_gives_way_to_another():
    async def test(port):
        drips = [await port.connect(length(300_000)) for _ in '12']
        for _ in range(30):
            await trio.sleep(0.1)
            for client in drips:
                await client.send_all(b'u')
        served = await port.connect(length(300_000) + b'v' * 300_000)
        assert await served.receive_some() == RESPONSE

    run(test)


def test_body_with_progress_does_not_give_way():
    async def test(port):
        sends = [await port.connect(length(300_000)) for _ in '12']
        for _ in range(30):
            await trio.sleep(0.1)
            for client in sends:
                await client.send_all(b'u' * 9_990)
        refused = await port.connect(length(300_000))
        assert (await read_to_end(refused)).startswith(b'HTTP/1.1 503 ')
        for client in sends:
            await client.send_all(b'u' * 300)
            assert await client.receive_some() == RESPONSE

    run(test)


def test_heads_that_stop_short_leave_room_for_an_ordinary_request():
    async def test(port):
        half = b'GET /x HTTP/1.1\r\nhost: h\r\nx: ' + b'y' * 30_000
        for _ in range(60):
            await port.connect(half)
        assert port.refusals
        assert port.budget.held_bytes <= port.budget.max_bytes
        served = await port.connect(b'GET /x HTTP/1.1\r\nhost: h\r\n\r\n')
        assert await served.receive_some() == RESPONSE

    run(test, max_bytes=3_200_000)


def test_time_for_a_head_runs_from_its_first_byte():
    async def test(port):
        client = await port.connect(b'GET /x HTTP/1.1\r\nhost: h\r\nx: ')
        with trio.move_on_after(LIMITS.head_timeout + 2.0) as scope:
            while True:
                await trio.sleep(0.1)
                try:
                    await client.send_all(b'y')
                except trio.BrokenResourceError:
                    break
        assert not scope.cancelled_caught
        assert port.port.connection_count == 0

    run(test)


def test_request_of_many_lines_is_served_with_all_of_them():
    async def test(port):
        head = b'GET /x HTTP/1.1\r\nhost: h\r\n' + b'a:\r\n' * 4_000
        client = await port.connect(head + b'\r\n')
        assert await client.receive_some() == RESPONSE
        ((head, _),) = port.served
        assert len(head.headers) == 4_001

    run(test)


def test_lines_of_heads_count_as_what_they_cost():
    async def test(port):
        half = b'GET /x HTTP/1.1\r\nhost: h\r\n' + b'a:\r\n' * 3_000
        await port.connect(half)
        await trio.sleep(1)
        fixed_bytes = buffer_budget.CONNECTION_BYTES
        assert port.budget.held_bytes > fixed_bytes + 3_000 * len(b'a: \r\n')

    run(test)


def test_client_that_takes_no_response_gives_way_to_a_request():
    async def test(port):
        request = b'GET /x HTTP/1.1\r\nhost: h\r\n\r\n'
        for _ in range(2):
            client, node_end = trio.testing.lockstep_stream_pair()
            port.nursery.start_soon(port.port.serve, node_end)
            await client.send_all(request)
        await trio.testing.wait_all_tasks_blocked()
        assert port.budget.held_bytes > 800_000
        refused = await port.connect(length(100_000))
        assert (await read_to_end(refused)).startswith(b'HTTP/1.1 503 ')
        await trio.sleep(client_progress.MIN_STALL_S)
        port.response = RESPONSE
        served = await port.connect(length(100_000) + b'u' * 100_000)
        assert await served.receive_some() == RESPONSE

    run(test, response=bytes(400_000))


def test_responses_that_wait_for_an_earlier_one_count():
    async def main():
        budget = buffer_budget.BufferBudget()

        async def serve(request, response):
            if request.head.path == '/first':
                await trio.sleep(5)
            await response.send(bytes(100_000))
            return True

        client, node_end = trio.testing.memory_stream_pair()
        connection = client_connections.ClientConnection(
            node_end, serve, trio.current_time, budget=budget
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.run)
            for path in (b'/first', b'/x', b'/x', b'/x'):
                await client.send_all(
                    b'GET ' + path + b' HTTP/1.1\r\nhost: h\r\n\r\n'
                )
            await trio.sleep(1)
            assert budget.held_bytes > 300_000
            await trio.sleep(10)
            assert budget.held_bytes < 1_000
            nursery.cancel_scope.cancel()

    mock_clock.run(main)


def test_very_small_chunks_do_not_keep_others_from_their_turns():
    """An ordinary request is served before all of them are parsed."""

    async def test(port):
        chunks = HEAD + b'transfer-encoding: chunked\r\n\r\n'
        chunks += b'1\r\nx\r\n' * 2_500
        ends = [trio.testing.memory_stream_pair() for _ in range(51)]
        for client, _ in ends[1:]:
            await client.send_all(chunks)
        await ends[0][0].send_all(b'GET /x HTTP/1.1\r\nhost: h\r\n\r\n')
        for _, node_end in ends:
            port.nursery.start_soon(port.port.serve, node_end)
        assert await ends[0][0].receive_some() == RESPONSE
        # Each connection has had a few turns, of a kilobyte each.
        assert port.count_received() < 25_000
        await trio.sleep(20)
        assert port.count_received() == 125_000

    run(test, max_bytes=100_000_000)
