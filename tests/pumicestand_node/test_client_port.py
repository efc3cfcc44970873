"""Tests of closing the connections of clients to one port."""

import socket

import pytest
import trio
import trio.testing

from pumicestand_node import client_port
from pumicestand_node import socket_io

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
