"""Tests of reading and writing sockets."""

import pytest
import trio

from pumicestand import http_pool
from pumicestand import response_buffers
from pumicestand_node import socket_io
from pumicestand_node import target_connections
from pumicestand_node import target_exchange


def run_with_closed_stream(test):
    """Run a test with a socket stream that this end has closed.

    :param test: coroutine function
    """

    async def main():
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        async with listener:
            stream = await trio.open_tcp_stream(*listener.socket.getsockname())
            await trio.aclose_forcefully(stream)
            await test(stream)

    trio.run(main)


def test_closed_connections_are_readable_and_not_used_again():
    async def test(stream):
        assert socket_io.is_readable(stream)
        idle = target_exchange.TargetConnection(
            stream, response_buffers.ResponseBuffers()
        )
        idle.reusable_until = 1.0
        assert not idle.is_reusable(0.0, 1.0)
        assert not target_connections.TargetConnection(
            stream, socket_io.is_readable
        ).is_usable(0.0)
        assert not http_pool._Connection(stream).is_usable()

    run_with_closed_stream(test)


def test_closed_connections_raise_no_error_of_the_scheduler():
    async def test(stream):
        with pytest.raises(trio.ClosedResourceError):
            await socket_io.receive_some(stream, 1)
        with pytest.raises(trio.ClosedResourceError):
            await socket_io.send_all(stream, b'x')

    run_with_closed_stream(test)
