"""HTTP/1.1 requests over a pool of connections to one server.

httptools parses the responses. httpcore was measured before: importing it
took 20 ms of processor time and 3 MB of each start of a node.
"""

import collections
import contextlib
import dataclasses
import errno
import math

import httptools
import trio

from pumicestand import response_heads
from pumicestand import tcp_streams

READ_BYTES = 65_536
MAX_HEAD_BYTES = 100_000
# Longest response with its head: a page or some changes of 1 MB each.
MAX_RESPONSE_BYTES = 16_777_216


class ConnectError(Exception):
    """There is no connection, so the request was not sent."""


class ResponseError(Exception):
    """There is no valid response, although the request may have been read."""


class SilentConnectionError(ResponseError):
    """A connection has gone silent while or before the request used it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response with its whole body.

    :param headers: (name, value) as bytes
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    content: bytes


class TcpBackend:
    """Opens TCP connections.

    :param socket_options: arguments of `socket.setsockopt`
    """

    def __init__(self, socket_options=()):
        self._socket_options = socket_options

    async def connect(self, host, port):
        """Return a `trio.abc.Stream`.

        :raises OSError: if the connection can't be opened
        """
        stream = await tcp_streams.open_stream(host, port)
        try:
            for option in self._socket_options:
                stream.setsockopt(*option)
        except BaseException:
            await trio.aclose_forcefully(stream)
            raise
        return stream


class _Connection:
    """A connection to the server.

    :param idle_since: time since when no request uses it, in seconds of
        trio's clock; None if none ever did
    """

    __slots__ = ('stream', 'idle_since')

    def __init__(self, stream, idle_since=None):
        self.stream = stream
        self.idle_since = idle_since

    def is_usable(self):
        """Return whether it is open and the server has sent nothing."""
        return not (
            isinstance(self.stream, trio.SocketStream)
            and tcp_streams.is_readable(self.stream)
        )


class _ResponseReader:
    """Callbacks of httptools for one response."""

    def __init__(self):
        self._status = 0
        self._reason = b''
        self._headers = []
        self._body = []
        # Bytes read since the end of the head or the last ones of the body.
        self._head_bytes = 0
        self._has_advanced = False
        self._received_bytes = 0
        self._has_head = False
        self._has_extra_data = False
        self._keep_alive = False
        self.is_complete = False
        self._parser = httptools.HttpResponseParser(self)

    @property
    def response(self):
        """The complete response."""
        return Response(
            self._status, tuple(self._headers), b''.join(self._body)
        )

    @property
    def is_reusable(self):
        """Whether the connection can carry another request."""
        return self._keep_alive and not self._has_extra_data

    def close(self):
        """Release the parser, whose callbacks refer to it in a cycle."""
        self._parser = None

    def feed(self, data):
        """Read received data, empty at the end of the stream.

        :raises ResponseError: if it is no valid response
        """
        if not data:
            # A body without a length ends with the connection.
            if not self._has_head or self._has_length():
                raise ResponseError('the connection ended early')
            self.is_complete = True
            return
        self._has_advanced = False
        self._received_bytes += len(data)
        if self._received_bytes > MAX_RESPONSE_BYTES:
            raise ResponseError(f'more than {MAX_RESPONSE_BYTES} bytes')
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self.is_complete:
                raise ResponseError(str(error)) from error
            self._has_extra_data = True
        if self._has_advanced:
            self._head_bytes = 0
            return
        self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ResponseError(
                f'head or trailers of more than {MAX_HEAD_BYTES} bytes'
            )

    def _has_length(self):
        names = {name.lower() for name, _ in self._headers}
        return bool(names & {b'content-length', b'transfer-encoding'})

    def on_message_begin(self):
        if self.is_complete:
            self._has_extra_data = True

    def on_status(self, reason):
        self._reason += reason

    def on_header(self, name, value):
        self._check_is_one_response(value)
        # Trailers arrive here as well.
        if not self._has_head:
            self._headers.append((name, value))

    def on_headers_complete(self):
        if self.is_complete:
            return
        self._check_is_one_response(self._reason)
        status = self._parser.get_status_code()
        if status < 200:
            if status == 101:
                raise ResponseError('the server switched protocols')
            # Another response follows an interim one.
            self._headers = []
            self._reason = b''
            return
        self._status = status
        self._has_head = self._has_advanced = True
        self._keep_alive = self._parser.should_keep_alive()

    def _check_is_one_response(self, value):
        if not self.is_complete and response_heads.holds_status_line(value):
            raise ResponseError('a response began in the head')

    def on_body(self, data):
        if not self.is_complete:
            self._body.append(data)
            self._has_advanced = True

    def on_message_complete(self):
        if self._has_head:
            self.is_complete = True


class HttpPool:
    """Sends requests to one server.

    :param host: the server's host
    :param port: the server's port
    :param max_connections: maximum number of open connections; further
        requests wait
    :param keepalive: time after which an idle connection is closed, in
        seconds
    :param backend: opens connections, like `TcpBackend`
    """

    def __init__(self, host, port, max_connections, keepalive, backend):
        self._host = host
        self._port = port
        self._keepalive = keepalive
        self._backend = backend
        self._in_use = trio.Semaphore(max_connections)
        # Least recently used first.
        self._idle = collections.deque()
        self._streams = set()

    async def close(self):
        """Close all connections; requests in flight fail."""
        self._idle.clear()
        while self._streams:
            await trio.aclose_forcefully(self._streams.pop())

    async def close_idle(self):
        """Close the connections that no request uses."""
        while self._idle:
            await self._discard(self._idle.popleft().stream)

    async def request(
        self, method, target, headers, content=b'', reuse_timeout=math.inf
    ):
        """Send a request and return the `Response`.

        A connection is not used again unless its response was complete.

        :param target: path and query, quoted
        :param headers: dict of strings
        :param content: the body
        :param reuse_timeout: seconds within which a response has to begin on
            a connection that was used before
        :raises ConnectError: if the request was not sent
        :raises SilentConnectionError: if it has not begun by then, or the
            kernel has found that the server does not acknowledge anything
        :raises ResponseError: if there is no valid response
        """
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        head = '\r\n'.join(lines).encode('ascii') + b'\r\n\r\n'
        async with self._in_use:
            connection = await self._open()
            is_reused = connection.idle_since is not None
            reader = _ResponseReader()
            scope = trio.move_on_after(
                reuse_timeout if is_reused else math.inf
            )
            try:
                with scope:
                    await self._exchange(
                        connection.stream, head + content, reader, scope
                    )
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ) as error:
                reason = f'connection lost: {error}'
                if _is_timeout(error):
                    raise SilentConnectionError(reason) from error
                raise ResponseError(reason) from error
            finally:
                reader.close()
                if reader.is_complete and reader.is_reusable:
                    connection.idle_since = trio.current_time()
                    self._idle.append(connection)
                else:
                    await self._discard(connection.stream)
        if not reader.is_complete:
            raise SilentConnectionError(
                f'reused connection was silent for {reuse_timeout:g} s'
            )
        return reader.response

    async def _exchange(self, stream, data, reader, silence_scope):
        """Send a request and read the response to it.

        :param silence_scope: cancel scope that ends with the first bytes
        """
        with contextlib.suppress(trio.BrokenResourceError):
            # A server may respond and close before it has read all.
            await stream.send_all(data)
        while not reader.is_complete:
            received = await stream.receive_some(READ_BYTES)
            silence_scope.deadline = math.inf
            reader.feed(received)

    async def _open(self):
        """Return a `_Connection` that is idle, or a new one."""
        expired_before = trio.current_time() - self._keepalive
        while self._idle and self._idle[0].idle_since <= expired_before:
            await self._discard(self._idle.popleft().stream)
        while self._idle:
            idle = self._idle.pop()
            if idle.is_usable():
                return idle
            await self._discard(idle.stream)
        try:
            stream = await self._backend.connect(self._host, self._port)
        except OSError as error:
            raise ConnectError(str(error)) from error
        self._streams.add(stream)
        return _Connection(stream)

    async def _discard(self, stream):
        self._streams.discard(stream)
        await trio.aclose_forcefully(stream)


def _is_timeout(error):
    """Return whether the kernel has given up on a silent connection."""
    cause = error.__cause__
    return isinstance(cause, OSError) and cause.errno == errno.ETIMEDOUT
