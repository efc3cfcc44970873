"""Tests of HTTP requests over a pool of connections."""

import contextlib
import errno
import functools
import socket

import pytest
import trio
import trio.testing

from pumicestand import http_pool
from tests import mock_clock

KEEPALIVE_S = 20.0
OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi'


class ScriptedBackend:
    """Opens connections to a server that sends given responses.

    :param nursery: runs the server
    :param responses: bytes for each request in turn; None closes the
        connection, and a tuple is sent and followed by a close
    """

    def __init__(self, nursery, responses):
        self._nursery = nursery
        self._responses = iter(responses)
        self.heads = []
        self.open_count = 0
        self.connection_count = 0

    async def connect(self, host, port):
        client, server = trio.testing.memory_stream_pair()
        self.connection_count += 1
        self.open_count += 1
        self._nursery.start_soon(self._serve, server)
        return client

    async def _serve(self, stream):
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            while data := await stream.receive_some(65_536):
                self.heads.append(data)
                response = next(self._responses)
                if response is None:
                    break
                if isinstance(response, tuple):
                    await stream.send_all(b''.join(response))
                    break
                await stream.send_all(response)
                await trio.sleep(0.1)
        self.open_count -= 1
        await stream.aclose()


@contextlib.asynccontextmanager
async def open_pool(*responses, max_connections=2):
    """Yield (pool, backend)."""
    async with trio.open_nursery() as nursery:
        backend = ScriptedBackend(nursery, responses)
        pool = http_pool.HttpPool(
            'host', 80, max_connections, KEEPALIVE_S, backend
        )
        yield pool, backend
        await pool.close()


def request(pool, content=b''):
    headers = {'host': 'h', 'content-length': str(len(content))}
    return pool.request('POST', '/a?b=c', headers, content)


def test_request_is_written_and_response_read():
    async def main():
        response_data = (
            b'HTTP/1.1 201 Created\r\nStore-Era: 3\r\n'
            b'transfer-encoding: chunked\r\n\r\n'
            b'2\r\nhi\r\n1\r\n!\r\n0\r\n\r\n'
        )
        async with open_pool(response_data) as (pool, backend):
            response = await request(pool, b'body')
            assert (response.status, response.content) == (201, b'hi!')
            assert (b'Store-Era', b'3') in response.headers
            assert backend.heads == [
                b'POST /a?b=c HTTP/1.1\r\nhost: h\r\n'
                b'content-length: 4\r\n\r\nbody'
            ]

    mock_clock.run(main)


@pytest.mark.parametrize(
    ('first', 'connection_count'),
    [
        (OK, 1),
        (b'HTTP/1.1 204 No Content\r\n\r\n', 1),
        (b'HTTP/1.1 100 Continue\r\n\r\n' + OK, 1),
        (OK + b'HTTP/1.1 200 OK\r\n', 2),
        (OK.replace(b'\r\n\r\n', b'\r\nconnection: close\r\n\r\n'), 2),
        (OK.replace(b'HTTP/1.1', b'HTTP/1.0'), 2),
        ((b'HTTP/1.1 200 OK\r\n\r\nhi',), 2),
    ],
)
def test_connection_is_reused_only_after_a_complete_response(
    first, connection_count
):
    """Else a response would be taken for that of another request."""

    async def main():
        async with open_pool(first, OK) as (pool, backend):
            assert (await request(pool)).status in (200, 204)
            assert (await request(pool)).content == b'hi'
            assert backend.connection_count == connection_count

    mock_clock.run(main)


@pytest.mark.parametrize(
    'response',
    [
        None,
        b'nonsense\r\n\r\n',
        (b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhi',),
        (b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi',),
        (b'HTTP/1.1 200 OK\r\ncontent-le',),
        b'HTTP/1.1 404 Not' + OK,
        b'HTTP/1.1 404 Not found\r\nserver: s' + OK,
        b'HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nx: ' + b'y' * http_pool.MAX_HEAD_BYTES,
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx: '
        + b'y' * 200_000,
    ],
)
def test_broken_response_is_an_error_and_ends_the_connection(response):
    async def main():
        async with open_pool(response, OK) as (pool, backend):
            with pytest.raises(http_pool.ResponseError):
                await request(pool)
            assert (await request(pool)).content == b'hi'
            assert backend.connection_count == 2

    mock_clock.run(main)


@pytest.mark.parametrize('framing', [b'content-length: 99999999\r\n', b''])
def test_an_endless_response_does_not_fill_the_memory(framing):
    async def main():
        async with open_pool() as (pool, backend):
            client, server = trio.testing.memory_stream_pair()

            async def connect(host, port):
                return client

            async def send_endlessly():
                await server.receive_some()
                await server.send_all(
                    b'HTTP/1.1 200 OK\r\n' + framing + b'\r\n'
                )
                with contextlib.suppress(
                    trio.BrokenResourceError, trio.ClosedResourceError
                ):
                    for _ in range(64):
                        await server.send_all(bytes(1_000_000))
                await server.aclose()

            backend.connect = connect
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_endlessly)
                with pytest.raises(http_pool.ResponseError, match='16777216'):
                    await request(pool)
                nursery.cancel_scope.cancel()

    mock_clock.run(main)


def test_idle_connection_is_closed_after_a_time():
    async def main():
        async with open_pool(OK, OK, OK) as (pool, backend):
            await request(pool)
            await trio.sleep(KEEPALIVE_S - 1)
            await request(pool)
            assert backend.connection_count == 1
            await trio.sleep(KEEPALIVE_S + 1)
            await request(pool)
            assert backend.connection_count == 2
            await trio.sleep(1)
            assert backend.open_count == 1

    mock_clock.run(main)


def test_requests_beyond_the_maximum_wait():
    async def main():
        async with open_pool(*[OK] * 5) as (pool, backend):
            async with trio.open_nursery() as nursery:
                for _ in range(5):
                    nursery.start_soon(request, pool)
            assert len(backend.heads) == 5
            assert backend.connection_count == 2

    mock_clock.run(main)


def test_cancelled_request_ends_its_connection():
    """The response to it must not reach the next request."""

    async def main():
        late = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n'
        async with open_pool(late, OK) as (pool, backend):
            with trio.move_on_after(1) as scope:
                await request(pool)
            assert scope.cancelled_caught
            assert (await request(pool)).content == b'hi'
            assert backend.connection_count == 2
            await trio.sleep(1)
            assert backend.open_count == 1

    mock_clock.run(main)


def test_close_ends_requests_in_flight():
    async def main():
        late = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n'
        async with (
            open_pool(late) as (pool, _),
            trio.open_nursery() as nursery,
        ):

            async def fail():
                with pytest.raises(http_pool.ResponseError):
                    await request(pool)

            nursery.start_soon(fail)
            await trio.sleep(1)
            await pool.close()

    mock_clock.run(main)


def test_connection_that_the_server_closed_is_not_used_again():
    async def main():
        async with trio.open_nursery() as nursery:
            closed = []

            async def serve(stream):
                await stream.receive_some(65_536)
                await stream.send_all(OK)
                await stream.aclose()
                closed.append(stream)

            listeners = await nursery.start(
                functools.partial(trio.serve_tcp, serve, 0, host='127.0.0.1')
            )
            port = listeners[0].socket.getsockname()[1]
            pool = http_pool.HttpPool(
                '127.0.0.1', port, 1, KEEPALIVE_S, http_pool.TcpBackend()
            )
            for count in (1, 2):
                assert (await request(pool)).content == b'hi'
                while len(closed) < count:
                    await trio.lowlevel.checkpoint()
            await pool.close()
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_connection_whose_options_can_not_be_set_is_closed(monkeypatch):
    """Each try left a descriptor open until a garbage collection."""
    streams = []
    open_stream = http_pool.tcp_streams.open_stream

    async def record_stream(host, port):
        streams.append(await open_stream(host, port))
        return streams[-1]

    async def main():
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        _, port = listener.socket.getsockname()
        # There is no such option.
        backend = http_pool.TcpBackend([(socket.IPPROTO_TCP, 9999, 1)])
        pool = http_pool.HttpPool('127.0.0.1', port, 1, KEEPALIVE_S, backend)
        async with listener:
            with pytest.raises(http_pool.ConnectError):
                await request(pool)
        assert [stream.socket.fileno() for stream in streams] == [-1]

    monkeypatch.setattr(http_pool.tcp_streams, 'open_stream', record_stream)
    trio.run(main)


def test_refused_connection_is_told_from_a_lost_response():
    async def main():
        class RefusingBackend:
            async def connect(self, host, port):
                raise ConnectionRefusedError('refused')

        pool = http_pool.HttpPool('host', 80, 1, 1.0, RefusingBackend())
        with pytest.raises(http_pool.ConnectError, match='refused'):
            await request(pool)

    trio.run(main)


def test_time_out_of_the_kernel_is_told_from_a_reset():
    """It says nothing of the server, so the next call need not wait."""

    async def main(number, error_type):
        async with open_pool(OK) as (pool, backend):
            stream = await backend.connect('host', 80)

            async def fail(max_bytes):
                raise trio.BrokenResourceError from OSError(number, 'lost')

            async def connect(host, port):
                return stream

            stream.receive_some = fail
            backend.connect = connect
            with pytest.raises(http_pool.ResponseError) as caught:
                await request(pool)
            assert caught.type is error_type

    for number, error_type in (
        (errno.ETIMEDOUT, http_pool.SilentConnectionError),
        (errno.ECONNRESET, http_pool.ResponseError),
    ):
        mock_clock.run(functools.partial(main, number, error_type))
