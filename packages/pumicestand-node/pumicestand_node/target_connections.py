"""Connections to targets: kept, checked before use, read strictly."""

import httptools
import trio

from pumicestand_node import socket_io

READ_BYTES = 16_384
MAX_IDLE_S = 20.0
CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_HEAD_BYTES = 65_536


class InvalidResponseError(Exception):
    """The target's answer breaks the protocol."""


class IncompleteResponseError(Exception):
    """The connection ended before the answer was whole."""


class ResponseHead:
    """The head of an answer."""

    __slots__ = ('status', 'reason', 'headers')

    def __init__(self):
        self.status = 0
        self.reason = b''
        self.headers = []

    def header(self, name):
        """Return the first value of a header, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class _AnswerReader:
    """Callbacks of httptools for one answer."""

    def __init__(self, is_head_request):
        self.head = ResponseHead()
        self.has_head = False
        self.is_complete = False
        self.has_excess = False
        self.keep_alive = False
        self.body = []
        self._is_head_request = is_head_request
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data):
        if self.is_complete:
            self.has_excess = True
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self.is_complete:
                raise InvalidResponseError(str(error)) from error
            self.has_excess = True

    def on_message_begin(self):
        if self.is_complete:
            self.has_excess = True

    def on_status(self, reason):
        if not self.is_complete:
            self.head.reason += reason

    def on_header(self, name, value):
        # Trailers come here as well; they are not passed on.
        if not self.has_head and not self.is_complete:
            self.head.headers.append((name.lower(), value))

    def on_headers_complete(self):
        if self.is_complete:
            return
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            # Interim answers end at this hop.
            if status == 101:
                raise InvalidResponseError('the target switched protocols')
            self.head = ResponseHead()
            return
        self.head.status = status
        self.has_head = True
        # Once the answer is whole, the parser no longer knows.
        self.keep_alive = self._parser.should_keep_alive()
        if self._is_head_request:
            self.is_complete = True

    def on_body(self, data):
        if self.is_complete:
            self.has_excess = True
            return
        self.body.append(data)

    def on_message_complete(self):
        if self.has_head:
            self.is_complete = True

    @property
    def ends_with_connection(self):
        """Whether only the end of the connection ends the body."""
        if self._is_head_request or self.head.status in (204, 304):
            return False
        return (
            self.head.header(b'content-length') is None
            and self.head.header(b'transfer-encoding') is None
        )


class TargetConnection:
    """One connection to a target, for one call at a time.

    :param stream: a trio stream
    :param is_readable: tells of a stream whether it has something to read
    """

    def __init__(self, stream, is_readable):
        self._stream = stream
        self._is_readable = is_readable
        self._reader = None
        self.idle_since = 0.0
        self.is_request_sent = False

    def is_usable(self, now):
        """Whether an idle connection is open and has nothing to read."""
        if now - self.idle_since > MAX_IDLE_S:
            return False
        return not self._is_readable(self._stream)

    def start_request(self, is_head_request):
        """Prepare to read the answer to the next request."""
        self._reader = _AnswerReader(is_head_request)
        self.is_request_sent = False

    async def send(self, data):
        """Send bytes of a request."""
        await self._stream.send_all(data)

    async def read_head(self):
        """Return the `ResponseHead`.

        :raises IncompleteResponseError: if the connection ends before
        :raises InvalidResponseError: if it is no answer
        """
        size = 0
        while not self._reader.has_head:
            data = await self._receive()
            if not data:
                raise IncompleteResponseError(
                    'no answer before the connection ended'
                )
            size += len(data)
            if size > MAX_ANSWER_HEAD_BYTES and not self._reader.has_head:
                raise InvalidResponseError(
                    f'a head of over {MAX_ANSWER_HEAD_BYTES} bytes'
                )
            self._reader.feed(data)
        return self._reader.head

    async def read_body(self):
        """Return the next bytes of the body, empty at its end.

        :raises IncompleteResponseError: if the connection ends before
        """
        reader = self._reader
        while not reader.body:
            if reader.is_complete:
                return b''
            data = await self._receive()
            if not data:
                if reader.ends_with_connection:
                    reader.is_complete = True
                    return b''
                raise IncompleteResponseError(
                    'the answer ended before its length'
                )
            reader.feed(data)
        body, reader.body = b''.join(reader.body), []
        return body

    @property
    def answer_is_whole_so_far(self):
        """Whether all of the answer has been read already."""
        return self._reader.is_complete

    @property
    def is_reusable(self):
        """Whether another request may be sent after this answer."""
        reader = self._reader
        # With a part of a body unsent, the target would take the next request
        # as the rest of it.
        return (
            reader is not None
            and self.is_request_sent
            and reader.is_complete
            and not reader.has_excess
            and reader.keep_alive
        )

    async def _receive(self):
        try:
            return await self._stream.receive_some(READ_BYTES)
        except trio.BrokenResourceError:
            return b''

    async def close(self):
        """Close at once, without a goodbye to wait for."""
        await trio.aclose_forcefully(self._stream)


class TargetPool:
    """Keeps idle connections, the last used first.

    :param clock: returns seconds
    :param connect: coroutine function from host and port to a stream
    :param is_readable: tells of a stream whether it has something to read
    """

    def __init__(
        self,
        clock,
        connect=trio.open_tcp_stream,
        is_readable=socket_io.is_readable,
    ):
        self._clock = clock
        self._connect = connect
        self._is_readable = is_readable
        self._idle = {}

    async def acquire(self, target):
        """Return a connection to a target, new or kept.

        :raises OSError: if it can't be connected
        """
        idle = self._idle.get(target.key)
        while idle:
            connection = idle.pop()
            if connection.is_usable(self._clock()):
                return connection
            await connection.close()
        with trio.fail_after(CONNECT_TIMEOUT_S):
            stream = await self._connect(target.host, target.port)
        return TargetConnection(stream, self._is_readable)

    def release(self, target, connection):
        """Keep a connection whose answer was read whole."""
        connection.idle_since = self._clock()
        self._idle.setdefault(target.key, []).append(connection)

    async def close_idle(self, keep=frozenset()):
        """Close connections unused for long or to targets that are gone.

        :param keep: keys of targets that are still known
        """
        now = self._clock()
        for key, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                old = now - connection.idle_since > MAX_IDLE_S
                if old or key not in keep:
                    await connection.close()
                else:
                    kept.append(connection)
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]
