"""Connections from callers: requests are read strictly, answers written.

One task reads, so that a caller who leaves is noticed while its call runs;
each request has a task, and their answers go out in order.
"""

import collections

import httptools
import trio

from pumicestand import documents
from pumicestand import refusals
from pumicestand_node import heads
from pumicestand_node import socket_io

READ_BYTES = 16_384
MAX_BUFFERED_BODY_BYTES = 131_072
MAX_QUEUED_REQUESTS = 8
# Requests that are worked on while earlier ones are not answered yet.
OVERLAPPING_METHODS = frozenset(('GET', 'HEAD'))
DEFAULT_LIMITS = documents.CallerLimits()
BODY_STALL_S = 30.0
# Time in which a caller may read the last answer before the close.
CLOSE_LINGER_S = 1.0


class ClientDisconnectedError(Exception):
    """The caller left before its request was whole."""


class Request:
    """A request whose body may still be on its way."""

    def __init__(self, head, resume):
        self.head = head
        self.is_complete = False
        self.is_broken = False
        self._chunks = collections.deque()
        self._buffered = 0
        self.received = 0
        self._arrived = None
        self._resume = resume
        self.expects_continue = False

    @property
    def is_buffer_full(self):
        """Whether reading should pause until the body is taken."""
        return self._buffered >= MAX_BUFFERED_BODY_BYTES

    def add(self, data):
        """Keep a piece of the body."""
        self._chunks.append(data)
        self._buffered += len(data)
        self.received += len(data)
        self._notify()

    def end(self, is_broken=False):
        """Note the end of the body."""
        self.is_complete = not is_broken
        self.is_broken = is_broken
        self._notify()

    def _notify(self):
        if self._arrived is not None:
            self._arrived.set()
            self._arrived = None

    async def read(self):
        """Return the next piece of the body, empty at its end.

        :raises ClientDisconnectedError: if the rest will never come
        """
        while not self._chunks:
            if self.is_complete:
                return b''
            if self.is_broken:
                raise ClientDisconnectedError
            self._arrived = trio.Event()
            await self._arrived.wait()
        data = self._chunks.popleft()
        self._buffered -= len(data)
        self._resume()
        return data

    async def read_all(self):
        """Return the rest of the body."""
        if self.is_complete and not self._chunks:
            return b''
        parts = []
        while data := await self.read():
            parts.append(data)
        return b''.join(parts)


class _RequestParser:
    """Callbacks of httptools for the requests of one connection."""

    def __init__(self, on_request, resume):
        self._on_request = on_request
        self._resume = resume
        self._url = b''
        self._headers = []
        self._request = None
        self.refusal = None
        self.head_bytes = 0
        self.in_head = False
        self.parser = httptools.HttpRequestParser(self)

    @property
    def request(self):
        """The request whose body is being read, or None."""
        return self._request

    def on_message_begin(self):
        self._url = b''
        self._headers = []
        self.in_head = True
        self.head_bytes = 0

    def on_url(self, url):
        self._url += url

    def on_header(self, name, value):
        if self.in_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        self.in_head = False
        length = heads.parse_body_length(self._headers)
        if isinstance(length, refusals.Refusal):
            self.refusal = length
            raise ValueError(length.detail)
        head = heads.RequestHead(
            method=self.parser.get_method().decode(),
            url=self._url,
            version=self.parser.get_http_version(),
            headers=self._headers,
            length=length,
            keep_alive=self.parser.should_keep_alive(),
        )
        self.refusal = heads.validate_request(head)
        if self.refusal is not None:
            raise ValueError(self.refusal.detail)
        self._request = Request(head, self._resume)
        expect = head.header(b'expect')
        self._request.expects_continue = (
            expect is not None and expect.lower() == b'100-continue'
        )
        self._on_request(self._request)

    def on_body(self, data):
        self._request.add(data)

    def on_message_complete(self):
        self._request.end()
        self._request = None


class PendingResponse:
    """One request and its place among the answers of its connection.

    Answers go out in the order of the requests; the work on them may
    overlap.

    :param previous: set once the answer before is out, None if there is none
    """

    def __init__(self, connection, request, previous):
        self._connection = connection
        self._previous = previous
        self.request = request
        self.done = trio.Event()
        self.scope = trio.CancelScope()

    @property
    def has_later_request(self):
        """Whether work has begun on a request behind this one."""
        return self._connection.has_later_request(self)

    async def wait_for_turn(self):
        """Wait until all earlier answers are out."""
        if self._previous is not None:
            await self._previous.wait()

    async def send(self, data):
        """Send bytes of the answer, in its turn."""
        await self.wait_for_turn()
        await self._connection.send(data)


class ClientConnection:
    """One connection from a caller.

    :param stream: a trio stream
    :param serve: coroutine function (request, answering) that answers a
        request and returns whether the connection may be kept
    :param clock: returns seconds
    :param limits: the `documents.CallerLimits` in force when it was opened
    """

    def __init__(self, stream, serve, clock, limits=DEFAULT_LIMITS):
        self._stream = stream
        self._serve = serve
        self._clock = clock
        self._answering = collections.deque()
        self._room = trio.Event()
        self._scope = trio.CancelScope()
        self._limits = limits
        self._parser = _RequestParser(self._add_request, self._make_room)
        self._refusal = None
        self._nursery = None
        self._at_end = False
        self.is_closing = False
        self.progress_at = clock()

    async def run(self):
        """Serve the connection until it ends, then close it."""
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    self._nursery = nursery
                    await self._read()
                    await self._finish_answers()
                    nursery.cancel_scope.cancel()
        finally:
            await trio.aclose_forcefully(self._stream)

    def close_when_idle(self):
        """End the connection once no call runs on it."""
        self.is_closing = True
        if not self._answering:
            self._scope.cancel()

    def has_later_request(self, answering):
        """Whether work has begun on a request behind another."""
        return self._answering[-1] is not answering

    def enforce_timeouts(self, now):
        """End the connection if the caller is too slow."""
        waited = now - self.progress_at
        if self._parser.in_head:
            if waited > self._limits.head_timeout:
                self._scope.cancel()
            return
        if self._parser.request is not None:
            if waited > BODY_STALL_S:
                self._scope.cancel()
            return
        if not self._answering and waited > self._limits.idle_timeout:
            self._scope.cancel()

    async def send(self, data):
        """Send bytes of an answer."""
        await socket_io.send_all(self._stream, data)

    def _add_request(self, request):
        """Begin to work on a request; what can't be repeated waits."""
        if self._at_end:
            return
        previous = self._answering[-1].done if self._answering else None
        answering = PendingResponse(self, request, previous)
        self._answering.append(answering)
        self._nursery.start_soon(self._answer, answering)

    def _make_room(self):
        self._room.set()

    def _needs_room(self):
        request = self._parser.request
        if request is not None and request.is_buffer_full:
            return True
        return len(self._answering) > MAX_QUEUED_REQUESTS

    async def _read(self):
        while not self._at_end:
            while self._needs_room():
                self._room = trio.Event()
                await self._room.wait()
            try:
                data = await socket_io.receive_some(self._stream, READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b''
            if not data:
                # Nobody waits for the answers any more.
                self._at_end = True
                self._scope.cancel()
                return
            self.progress_at = self._clock()
            if self._at_end:
                # Bytes behind the last answer; a reset would drop it.
                continue
            if not self._feed(data):
                return

    def _feed(self, data):
        """Parse bytes; return whether to read on."""
        parser = self._parser
        try:
            parser.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            self._refuse(parser.refusal or _malformed(e))
            return False
        if parser.in_head:
            parser.head_bytes += len(data)
            if parser.head_bytes > self._limits.head_bytes:
                self._refuse(
                    refusals.bad_request(
                        refusals.CallCode.HEADERS_TOO_LARGE,
                        f'a head of over {self._limits.head_bytes} bytes',
                        status=431,
                    )
                )
                return False
        request = parser.request
        if request is None:
            return True
        bound = self._limits.body_bytes
        if max(request.received, request.head.length or 0) > bound:
            self._refuse(
                refusals.bad_request(
                    refusals.CallCode.BODY_TOO_LARGE,
                    f'a body of over {bound} bytes',
                    status=413,
                )
            )
            return False
        return True

    def _refuse(self, refusal):
        """Answer a request that breaks the protocol, then end.

        If its head was taken already, its call is given up: the target has
        not got the whole body and never takes it as such.
        """
        self._refusal = refusal
        broken = self._parser.request
        if broken is not None:
            broken.end(is_broken=True)
            if self._answering and self._answering[-1].request is broken:
                self._answering[-1].scope.cancel()
        self._at_end = True

    async def _answer(self, answering):
        """Answer one request; the last answer ends the connection."""
        keep = False
        with answering.scope:
            if answering.request.head.method not in OVERLAPPING_METHODS:
                await answering.wait_for_turn()
            # A request may be refused before its task runs.
            await trio.lowlevel.checkpoint_if_cancelled()
            try:
                keep = await self._serve(answering.request, answering)
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                ClientDisconnectedError,
            ):
                keep = False
            # Its own answer is out; what is behind may go.
            await answering.wait_for_turn()
        self._answering.remove(answering)
        answering.done.set()
        self._make_room()
        self.progress_at = self._clock()
        if self._refusal is not None:
            return
        if not keep or (self.is_closing and not self._answering):
            await self._close()

    async def _close(self):
        """End the connection behind the answer that was sent last."""
        self._at_end = True
        for answering in self._answering:
            answering.scope.cancel()
        await self._linger()
        self._scope.cancel()

    async def _linger(self):
        """Let the caller read all; a reset could take the answer away."""
        try:
            await self._stream.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        except trio.BusyResourceError:
            return
        await trio.sleep(CLOSE_LINGER_S)

    async def _finish_answers(self):
        """After a request that was refused: all answers, then the refusal."""
        while self._answering:
            await self._answering[-1].done.wait()
        if self._refusal is None:
            return
        with trio.move_on_after(CLOSE_LINGER_S):
            await self.send(
                heads.format_refusal(self._refusal, keep_alive=False)
            )
            await self._stream.send_eof()
            while await self._stream.receive_some(READ_BYTES):
                pass

    @property
    def refusal(self):
        """The refusal that ended the connection, or None."""
        return self._refusal


def _malformed(error):
    detail = str(error) or type(error).__name__
    return refusals.bad_request(refusals.CallCode.MALFORMED, detail)
