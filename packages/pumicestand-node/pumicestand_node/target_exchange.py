"""Connections to the target beside a node, one call at a time on each.

An answer is taken whole before any of it is passed on, so that one that
breaks off can't look complete, and one that belongs to an earlier call is
told by its id and dropped.
"""

import dataclasses

import httptools
import trio

from pumicestand_node import heads
from pumicestand_node import socket_io

READ_BYTES = 65_536
MAX_ANSWER_BYTES = 67_108_864
CONNECT_TIMEOUT_S = 0.5
# Idle time after which a connection is not used again if the target states
# no time, and what is kept off the time that it states.
DEFAULT_IDLE_S = 4.0
IDLE_MARGIN_S = 1.5
# Part of the time after which a target forgot a connection for which others
# are used, the least such time, and how long that is kept to, in seconds.
FORGOTTEN_PART = 0.6
MIN_IDLE_BOUND_S = 0.05
FORGOTTEN_FOR_S = 30.0
# Bodies above this are sent while the answer may already come.
MAX_PLAIN_BODY_BYTES = 32_768


class ExchangeError(Exception):
    """No whole answer to the call came.

    :param is_sent: whether any of the request may have reached the target
    """

    def __init__(self, message, is_sent):
        super().__init__(message)
        self.is_sent = is_sent


@dataclasses.dataclass(slots=True)
class Response:
    """One answer of the target, read whole.

    :param headers: (name in lower case, value) as bytes
    """

    status: int = 0
    reason: bytes = b''
    headers: list = dataclasses.field(default_factory=list)
    body: list = dataclasses.field(default_factory=list)
    keep_alive: bool = False
    has_head: bool = False
    is_complete: bool = False

    def header(self, name):
        """Return the first value of a header, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    @property
    def is_framed(self):
        """Whether its head says where the body ends."""
        return (
            self.header(b'content-length') is not None
            or self.header(b'transfer-encoding') is not None
        )


class _AnswerParser:
    """Callbacks of httptools for all answers of one connection."""

    def __init__(self):
        self.answers = []
        self._answer = Response()
        self._size = 0
        self._parser = httptools.HttpResponseParser(self)

    @property
    def is_between(self):
        """Whether no answer has begun that is not complete."""
        return not self._answer.has_head and not self._answer.headers

    def feed(self, data):
        self._size += len(data)
        if self._size > MAX_ANSWER_BYTES:
            raise httptools.HttpParserError('an answer that is too large')
        self._parser.feed_data(data)

    def end(self):
        """Note the end of the stream; it may complete an answer."""
        answer = self._answer
        if answer.has_head and not answer.is_framed:
            self.on_message_complete()

    def on_status(self, reason):
        self._answer.reason += reason

    def on_header(self, name, value):
        if not self._answer.has_head:
            self._answer.headers.append((name.lower(), value))

    def on_headers_complete(self):
        answer = self._answer
        answer.status = self._parser.get_status_code()
        answer.has_head = True
        answer.keep_alive = self._parser.should_keep_alive()

    def on_body(self, data):
        self._answer.body.append(data)

    def on_message_complete(self):
        answer, self._answer = self._answer, Response()
        self._size = 0
        if 100 <= answer.status < 200:
            # Interim answers end at this hop.
            return
        answer.is_complete = True
        self.answers.append(answer)


class TargetConnection:
    """One connection to a target.

    `is_clean` tells whether the last answer left it fit for another call,
    `rested` for how long it was idle before this one, None if it is new.
    """

    def __init__(self, stream):
        self._stream = stream
        self._parser = _AnswerParser()
        self._at_end = False
        self._is_body_sent = False
        self._has_heard = False
        self.is_clean = True
        self.rested = None
        self.idle_since = 0.0
        self.idle_until = 0.0

    @property
    def was_forgotten(self):
        """Whether it was idle and broke before any byte came back."""
        return self.rested is not None and not self._has_heard

    def is_reusable(self, now, bound):
        """Whether it is open, quiet and not idle for too long.

        :param bound: seconds after which the target may have forgotten it
        """
        if not self.is_clean or now >= self.idle_until:
            return False
        if now - self.idle_since >= bound:
            return False
        return not socket_io.is_readable(self._stream)

    async def exchange(self, head, body, is_own):
        """Send a request and return its `Response`.

        :param is_own: tells of an answer whether it belongs to the request
        :raises ExchangeError: if no whole answer came
        """
        self.is_clean = False
        self._is_body_sent = False
        self._has_heard = False
        if len(body) <= MAX_PLAIN_BODY_BYTES:
            await self._send(head + body)
            answer = await self._read_own(is_own)
        else:
            answer = await self._exchange_long(head, body, is_own)
        self.is_clean = (
            answer.keep_alive
            and self._is_body_sent
            and not self._at_end
            and not self._parser.answers
            and self._parser.is_between
        )
        return answer

    async def _exchange_long(self, head, body, is_own):
        answer = failure = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_quietly, head + body)
            try:
                answer = await self._read_own(is_own)
            except ExchangeError as error:
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return answer

    async def _send_quietly(self, data):
        try:
            await self._send(data)
        except ExchangeError:
            # The target stopped reading; its answer, if any, tells why.
            return

    async def _send(self, data):
        try:
            await socket_io.send_all(self._stream, data)
        except (trio.BrokenResourceError, OSError) as error:
            raise ExchangeError(f'send: {error}', True) from error
        self._is_body_sent = True

    async def _read_own(self, is_own):
        """Read answers until the one to this request is whole."""
        while True:
            while self._parser.answers:
                answer = self._parser.answers.pop(0)
                if is_own(answer):
                    return answer
            if self._at_end:
                raise ExchangeError('the connection ended', True)
            await self._receive()

    async def _receive(self):
        try:
            data = await socket_io.receive_some(self._stream, READ_BYTES)
        except (trio.BrokenResourceError, OSError) as error:
            raise ExchangeError(f'receive: {error}', True) from error
        try:
            if data:
                self._has_heard = True
                self._parser.feed(data)
                return
            self._at_end = True
            self._parser.end()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            self._at_end = True
            if not self._parser.answers:
                raise ExchangeError(f'no answer in HTTP: {e}', True) from e

    async def close(self):
        """Close at once; the target drops what it runs for it."""
        await trio.aclose_forcefully(self._stream)


class TargetPool:
    """Kept connections to one target, the last used first.

    :param clock: returns monotonic seconds
    :param connect: coroutine function from host and port to a stream
    """

    def __init__(self, clock, connect=trio.open_tcp_stream):
        self._clock = clock
        self._connect = connect
        self._address = None
        self._idle = []
        self._bound = float('inf')
        self._bound_until = 0.0
        self.opened = 0

    async def acquire(self, host, port):
        """Return a connection, kept or new.

        :raises ExchangeError: if it can't be connected
        """
        if self._address != (host, port):
            await self.close_idle()
            self._address = (host, port)
        now = self._clock()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable(now, self._idle_bound(now)):
                connection.rested = now - connection.idle_since
                return connection
            await connection.close()
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self._connect(host, port)
        except (OSError, trio.TooSlowError) as error:
            raise ExchangeError(f'no connection: {error}', False) from error
        self.opened += 1
        return TargetConnection(stream)

    def _idle_bound(self, now):
        if now >= self._bound_until:
            self._bound = float('inf')
        return self._bound

    def note_forgotten(self, connection):
        """Use connections that were idle for so long no more, for a while.

        :returns: the seconds for which they may be idle now
        """
        now = self._clock()
        bound = min(self._idle_bound(now), connection.rested * FORGOTTEN_PART)
        self._bound = max(MIN_IDLE_BOUND_S, bound)
        self._bound_until = now + FORGOTTEN_FOR_S
        return self._bound

    async def release(self, connection, answer, address):
        """Keep a connection after an answer, or close it."""
        now = self._clock()
        connection.idle_since = now
        connection.idle_until = now + _idle_seconds(answer)
        if address == self._address and connection.is_clean:
            self._idle.append(connection)
            return
        await connection.close()

    async def close_idle(self):
        """Close all connections that are not in use."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await connection.close()


def _idle_seconds(answer):
    """Return how long a connection may be idle after an answer.

    >>> _idle_seconds(Response(headers=[(b'keep-alive', b'timeout=10')]))
    8.5
    """
    value = answer.header(b'keep-alive') or b''
    for part in value.split(b','):
        name, _, number = part.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return max(0.0, int(number) - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S


def format_response_headers(answer):
    """Return the lines of an answer's head that are passed back."""
    lines = bytearray()
    for key, value in heads.filter_response_headers(answer.headers):
        lines += key + b': ' + value + b'\r\n'
    return bytes(lines)
