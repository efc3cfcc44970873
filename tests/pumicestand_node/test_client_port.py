"""Tests of bounding and closing the connections of clients to one port."""

import socket

import pytest
import trio
import trio.testing

from pumicestand import buffer_budget
from pumicestand_node import client_port
from pumicestand_node import socket_io
from tests import mock_clock

RESPONSE = (
    b'HTTP/1.1 503 Refused\r\ncontent-length: 0\r\nconnection: close\r\n\r\n'
)
BODY_BYTES = 2_000_000


async def receive_all(stream):
    """Return all bytes up to the end of a stream."""
    data = b''
    while more := await stream.receive_some(65_536):
        data += more
    return data


def run_with_connection(test, serve):
    """Run a test with a connection to a port.

    :param test: coroutine function of the port, the client's stream and its
        socket
    :param serve: responds to a request, as for `client_port.ClientPort`
    """

    async def main():
        port = client_port.ClientPort(serve, lambda refusal: None)
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
            nursery.start_soon(trio.serve_listeners, port.serve, listeners)
            client_socket = socket.create_connection(
                listeners[0].socket.getsockname()
            )
            stream = trio.SocketStream(
                trio.socket.from_stdlib_socket(client_socket)
            )
            while not port.connection_count:
                await trio.testing.wait_all_tasks_blocked()
            await trio.testing.wait_all_tasks_blocked()
            await test(port, stream, client_socket)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_request_that_has_arrived_is_served_before_an_idle_close():
    """A node that is late to read must not reset an unread request."""

    async def serve(request, connection):
        await connection.send(RESPONSE)
        return False

    async def test(port, stream, client_socket):
        # Without a checkpoint, so that the node has not read it yet.
        client_socket.send(b'GET /x HTTP/1.1\r\nhost: shop.example\r\n\r\n')
        port.close_when_idle()
        assert await receive_all(stream) == RESPONSE

    run_with_connection(test, serve)


def test_refusal_before_the_end_of_the_body_reaches_the_client():
    """Bytes of the body that stay unread would reset the connection."""

    has_refused = trio.Event()

    async def refuse(request, connection):
        await connection.send(RESPONSE)
        has_refused.set()
        return False

    async def test(port, stream, client_socket):
        await stream.send_all(
            b'POST /x HTTP/1.1\r\nhost: shop.example\r\n'
            b'content-length: %d\r\n\r\n' % BODY_BYTES
        )
        await has_refused.wait()
        await stream.send_all(b'u' * BODY_BYTES)
        assert await receive_all(stream) == RESPONSE

    run_with_connection(test, refuse)


REQUEST = b'GET /x HTTP/1.1\r\nhost: shop.example\r\n\r\n'
KEPT_RESPONSE = b'HTTP/1.1 204 No Content\r\n\r\n'


async def serve_kept(request, connection):
    await connection.send(KEPT_RESPONSE)
    return True


def enforce_timeouts(port):
    for connection in port._connections:
        connection.last_progress_at = float('-inf')
    port.enforce_timeouts()


CHECKS = [client_port.ClientPort.close_when_idle, enforce_timeouts]


@pytest.mark.parametrize('check', CHECKS)
def test_check_of_a_connection_that_has_just_closed_raises_no_error(
    monkeypatch, check
):
    checked = []

    async def main():
        port = client_port.ClientPort(serve_kept, lambda refusal: None)
        client_end, stream = (
            trio.SocketStream(trio.socket.from_stdlib_socket(end))
            for end in socket.socketpair()
        )

        async def check_after_close():
            stream.socket.close()
            checked.append(port.connection_count)
            check(port)

        monkeypatch.setattr(stream, 'aclose', check_after_close)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(port.serve, stream)
            await client_end.send_all(REQUEST)
            assert await client_end.receive_some() == KEPT_RESPONSE
            await client_end.aclose()

    trio.run(main)
    assert checked == [1]


@pytest.mark.parametrize('check', CHECKS)
def test_error_in_the_check_of_one_connection_costs_no_other(
    monkeypatch, check
):
    failing = []

    def is_readable(stream):
        if stream in failing:
            raise OSError('no memory')
        return False

    async def main():
        port = client_port.ClientPort(serve_kept, lambda refusal: None)
        ends = [trio.testing.memory_stream_pair() for _ in range(3)]
        failing.append(ends[0][1])
        async with trio.open_nursery() as nursery:
            for _, node_end in ends:
                nursery.start_soon(port.serve, node_end)
            for client_end, _ in ends:
                await client_end.send_all(REQUEST)
                assert await client_end.receive_some() == KEPT_RESPONSE
            monkeypatch.setattr(socket_io, 'is_readable', is_readable)
            check(port)
            for client_end, _ in ends:
                assert await client_end.receive_some() == b''

    trio.run(main)


OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


class FullPort:
    """A port with room for two connections, and one whose calls it refuses.

    Requests for /slow are answered after a minute, all others at once.
    """

    def __init__(self, nursery, always_accepts=False):
        self._nursery = nursery
        self.refusals = []
        self.port = client_port.ClientPort(
            self._serve,
            self.refusals.append,
            max_connections=lambda: 2,
            max_refusals=lambda: 1,
            always_accepts=always_accepts,
            max_pipelined=0,
            clock=trio.current_time,
        )

    async def _serve(self, request, connection):
        if request.head.path == '/slow':
            await trio.sleep(60.0)
        await request.read_all()
        await connection.send(OK)
        return True

    async def connect(self, path=None):
        """Return a new client's stream.

        :param path: of a request that is sent on it, None for no request
        """
        client, server = trio.testing.memory_stream_pair()
        self._nursery.start_soon(self.port.serve, server)
        if path is not None:
            await client.send_all(REQUEST.replace(b'/x', path))
        await trio.sleep(0.01)
        return client


def run_with_full_port(test, **options):
    """Run a test, a coroutine function of a `FullPort`."""

    async def main():
        async with trio.open_nursery() as nursery:
            await test(FullPort(nursery, **options))
            nursery.cancel_scope.cancel()

    mock_clock.run(main)


async def is_closed(client):
    """Return whether a client's connection ends unanswered."""
    with trio.move_on_after(0.05):
        return await client.receive_some() == b''
    return False


def test_idle_connections_do_not_keep_out_a_new_one():
    async def test(full):
        first = await full.connect(b'/x')
        assert await first.receive_some() == OK
        second = await full.connect(b'/x')
        assert await second.receive_some() == OK
        await trio.sleep(client_port.MIN_IDLE_S)
        third = await full.connect(b'/x')
        assert await third.receive_some() == OK
        assert await is_closed(first)
        assert not await is_closed(second)
        assert full.port.excess_counts == {'replaced': 1}

    run_with_full_port(test)


def test_connections_without_a_request_are_replaced_first():
    async def test(full):
        used = await full.connect(b'/x')
        assert await used.receive_some() == OK
        unused = await full.connect()
        await trio.sleep(client_port.MIN_IDLE_S)
        third = await full.connect(b'/x')
        assert await third.receive_some() == OK
        assert await is_closed(unused)
        assert not await is_closed(used)

    run_with_full_port(test)


def test_flood_of_connections_closes_none_in_use():
    async def test(full):
        used = [await full.connect(b'/x') for _ in range(2)]
        await trio.sleep(client_port.MIN_IDLE_S / 2)
        for _ in range(9):
            await full.connect()
        for client in used:
            assert await client.receive_some() == OK
            await client.send_all(REQUEST)
            assert await client.receive_some() == OK

    run_with_full_port(test)


def test_connection_used_again_is_not_closed_in_favour_of_a_new_one():
    """It was the longest idle one when they were listed."""

    async def test(full):
        used = await full.connect()
        idle = await full.connect()
        await trio.sleep(1.0)
        full.port._list_idle(trio.current_time())
        await used.send_all(REQUEST)
        assert await used.receive_some() == OK
        third = await full.connect(b'/x')
        assert await third.receive_some() == OK
        assert await is_closed(idle)
        assert not await is_closed(used)

    run_with_full_port(test)


def test_request_beyond_the_limit_is_refused_as_not_run():
    async def test(full):
        busy = [await full.connect(b'/slow') for _ in range(2)]
        await trio.sleep(1.0)
        third = await full.connect(b'/x')
        response = await receive_all(third)
        assert response.startswith(b'HTTP/1.1 503 ')
        assert b'pumicestand-outcome: not-run\r\n' in response
        assert b'retry-after: 0.25\r\n' in response
        assert b'connection: close\r\n' in response
        assert [r.status for r in full.refusals] == [503]
        for client in busy:
            assert await client.receive_some() == OK

    run_with_full_port(test)


def test_connection_whose_request_can_not_be_refused_is_closed_unread():
    async def test(full):
        for _ in range(2):
            await full.connect(b'/slow')
        refused = await full.connect()
        fourth = await full.connect(b'/x')
        assert await is_closed(fourth)
        assert not full.refusals
        # One that sends nothing does not occupy the place for long.
        await trio.sleep(client_port.REFUSAL_S)
        assert await is_closed(refused)
        assert not full.port._refused

    run_with_full_port(test)


def test_connection_with_a_part_of_a_request_is_not_taken_for_idle():
    async def test(full):
        client = await full.connect()
        await client.send_all(REQUEST[:20])
        other = await full.connect(b'/slow')
        await trio.sleep(client_port.MIN_IDLE_S - 0.1)
        await full.connect(b'/x')
        await client.send_all(REQUEST[20:])
        assert await client.receive_some() == OK
        assert await other.receive_some() == OK

    run_with_full_port(test)


def test_requests_that_are_never_finished_keep_no_client_out():
    async def test(full):
        clients = [await full.connect() for _ in range(2)]
        for client in clients:
            await client.send_all(REQUEST[:20])
        await trio.sleep(client_port.MIN_IDLE_S)
        third = await full.connect(b'/x')
        assert await third.receive_some() == OK
        assert [await is_closed(c) for c in clients].count(True) == 1

    run_with_full_port(test)


def test_new_connections_do_not_replace_one_another():
    """Each would be closed before its first request arrives."""

    async def test(full):
        first = [await full.connect() for _ in range(2)]
        await full.connect()
        for client in first:
            await client.send_all(REQUEST)
            assert await client.receive_some() == OK

    run_with_full_port(test)


def test_request_that_has_arrived_is_not_closed_in_favour_of_another():
    """It waits in the socket, so that the connection looks idle."""

    async def serve(request, connection):
        await connection.send(RESPONSE)
        return False

    async def test(port, stream, client_socket):
        client_socket.send(REQUEST)
        port._list_idle(float('inf'))
        assert not port.close_idle()
        assert await receive_all(stream) == RESPONSE

    run_with_connection(test, serve)


def test_flood_of_requests_keeps_no_readiness_check_out():
    """Each new connection was closed, so that the node seemed to be down."""

    async def test(full):
        flood = await full.connect(b'/slow')
        await flood.send_all(REQUEST * 5)
        other = await full.connect(b'/slow')
        check = await full.connect(b'/x')
        assert await check.receive_some() == OK
        assert await is_closed(flood)
        assert await other.receive_some() == OK
        assert full.port.excess_counts == {'cut': 1}

    run_with_full_port(test, always_accepts=True)


def test_flood_of_connections_keeps_no_readiness_check_out():
    async def test(full):
        used = await full.connect(b'/slow')
        for _ in range(9):
            await full.connect()
        check = await full.connect(b'/x')
        assert await check.receive_some() == OK
        assert await used.receive_some() == OK

    run_with_full_port(test, always_accepts=True)


def test_body_that_arrives_later_is_read_where_requests_are_served_singly():
    async def test(full):
        client = await full.connect()
        await client.send_all(
            b'POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\n'
        )
        await trio.sleep(1.0)
        await client.send_all(b'xyz' + REQUEST)
        assert await client.receive_some() == OK
        assert await client.receive_some() == OK

    run_with_full_port(test)


class SlowReaders:
    """Clients that get a long response each and take it as told.

    :param max_bytes: of the budget
    """

    def __init__(self, nursery, max_bytes):
        self._nursery = nursery
        self.budget = buffer_budget.BufferBudget(max_bytes)
        self.port = client_port.ClientPort(
            self._serve,
            lambda refusal: None,
            clock=trio.current_time,
            budget=self.budget,
        )

    async def _serve(self, request, connection):
        await connection.send(
            b'HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n'
            + bytes(1_000_000)
        )
        return True

    async def connect(self):
        """Return the stream of a client that has taken nothing yet."""
        client, server = trio.testing.lockstep_stream_pair()
        self._nursery.start_soon(self.port.serve, server)
        await client.send_all(REQUEST)
        await trio.testing.wait_all_tasks_blocked()
        return client


@pytest.mark.parametrize(('max_bytes', 'open_count'), [(2.2e6, 2), (9e6, 3)])
def test_clients_that_take_no_response_do_not_fill_the_memory(
    max_bytes, open_count
):
    async def main():
        async with trio.open_nursery() as nursery:
            readers = SlowReaders(nursery, max_bytes)
            for _ in range(2):
                await readers.connect()
                await trio.sleep(0.2)
            taking = await readers.connect()
            assert readers.budget.held_bytes > 3_000_000
            readers.port.enforce_timeouts()
            await trio.testing.wait_all_tasks_blocked()
            assert readers.port.connection_count == 3
            await trio.sleep(client_port.MIN_STALL_S)
            for _ in range(2):
                await taking.receive_some(65_536)
            readers.port.enforce_timeouts()
            await trio.testing.wait_all_tasks_blocked()
            assert readers.port.connection_count == open_count
            # The one that takes its response is served to the end.
            data = b''
            while len(data) < 800_000:
                data += await taking.receive_some(65_536)
            nursery.cancel_scope.cancel()
        assert readers.budget.held_bytes == 0

    mock_clock.run(main)
