"""Connections from callers: requests are read strictly, answers written.

One task reads, so that a caller who leaves is noticed while its call runs;
one works on the requests in their order.
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
DEFAULT_LIMITS = documents.CallerLimits()
BODY_STALL_S = 30.0
CLOSE_LINGER_S = 1.0


class CallerGone(Exception):
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

        :raises CallerGone: if the rest will never come
        """
        while not self._chunks:
            if self.is_complete:
                return b''
            if self.is_broken:
                raise CallerGone
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
        length = heads.read_framing(self._headers)
        if isinstance(length, refusals.Refusal):
            self.refusal = length
            raise ValueError(length.detail)
        head = heads.Head(
            method=self.parser.get_method().decode(),
            url=self._url,
            version=self.parser.get_http_version(),
            headers=self._headers,
            length=length,
            keep_alive=self.parser.should_keep_alive(),
        )
        self.refusal = heads.check_request(head)
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


class CallerConnection:
    """One connection from a caller.

    :param stream: a trio stream
    :param serve: coroutine function (request, connection) that answers a
        request and returns whether the connection may be kept
    :param clock: returns seconds
    :param limits: the `documents.CallerLimits` in force when it was opened
    """

    def __init__(self, stream, serve, clock, limits=DEFAULT_LIMITS):
        self._stream = stream
        self._serve = serve
        self._clock = clock
        self._requests = collections.deque()
        self._work = trio.Event()
        self._room = trio.Event()
        self._scope = trio.CancelScope()
        self._call_scope = None
        self._limits = limits
        self._parser = _RequestParser(self._add_request, self._make_room)
        self._refusal = None
        self._at_end = False
        self._answering = None
        self._has_sent = False
        self.is_closing = False
        self.progress_at = clock()

    async def run(self):
        """Serve the connection until it ends, then close it."""
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._work_on_requests)
                    await self._read()
        finally:
            await trio.aclose_forcefully(self._stream)

    def finish(self):
        """End the connection once no call runs on it."""
        self.is_closing = True
        if self._answering is None and not self._requests:
            self._scope.cancel()

    def check_progress(self, now):
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
        if self._answering is None and waited > self._limits.idle_timeout:
            self._scope.cancel()

    async def send(self, data):
        """Send bytes of an answer."""
        self._has_sent = True
        await socket_io.send_all(self._stream, data)

    def _add_request(self, request):
        self._requests.append(request)
        self._work.set()

    def _make_room(self):
        self._room.set()

    def _needs_room(self):
        request = self._parser.request
        if request is not None and request.is_buffer_full:
            return True
        return len(self._requests) > MAX_QUEUED_REQUESTS

    async def _read(self):
        while True:
            while self._needs_room():
                self._room = trio.Event()
                await self._room.wait()
            try:
                data = await socket_io.receive_some(self._stream, READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b''
            if not data:
                self._end_of_stream()
                return
            self.progress_at = self._clock()
            if not self._feed(data):
                return

    def _end_of_stream(self):
        """Give up the call that runs: nobody waits for its answer."""
        self._at_end = True
        if self._parser.request is not None:
            self._parser.request.end(is_broken=True)
        if self._answering is not None:
            self._call_scope.cancel()
        self._work.set()

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
            if broken in self._requests:
                self._requests.remove(broken)
            elif broken is self._answering:
                self._call_scope.cancel()
        self._at_end = True
        self._work.set()

    async def _work_on_requests(self):
        """Answer the requests in their order; the last act is to close."""
        try:
            while await self._answer_next():
                pass
            await self._close()
        finally:
            self._scope.cancel()

    async def _answer_next(self):
        while not self._requests:
            if self._at_end or self.is_closing:
                return False
            self._work = trio.Event()
            await self._work.wait()
        request = self._requests.popleft()
        self._make_room()
        self._answering = request
        self._has_sent = False
        with trio.CancelScope() as self._call_scope:
            try:
                keep = await self._serve(request, self)
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                CallerGone,
            ):
                return False
        self._answering = None
        self.progress_at = self._clock()
        if self._call_scope.cancelled_caught:
            return False
        return keep and not self.is_closing

    async def _close(self):
        is_mid_answer = self._answering is not None and self._has_sent
        if self._refusal is None or is_mid_answer:
            await trio.aclose_forcefully(self._stream)
            return
        # The caller may still be socket_io; without a pause its kernel would
        # drop the answer when it learns that nobody reads.
        with trio.move_on_after(CLOSE_LINGER_S):
            await self._stream.send_all(
                heads.write_refusal(self._refusal, keep_alive=False)
            )
            await self._stream.send_eof()
            while await socket_io.receive_some(self._stream, READ_BYTES):
                pass
        await trio.aclose_forcefully(self._stream)

    @property
    def refusal(self):
        """The refusal that ended the connection, or None."""
        return self._refusal


def _malformed(error):
    detail = str(error) or type(error).__name__
    return refusals.bad_request(refusals.CallCode.MALFORMED, detail)
