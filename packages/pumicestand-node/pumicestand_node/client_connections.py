"""Connections from clients: reads requests and writes responses.

Requests are parsed strictly. One task reads, so that a disconnect of the
client is noticed while its calls run. Each request is served in a task of its
own; responses are sent in the order of the requests.
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
MAX_PIPELINED_REQUESTS = 8
# Requests with these methods are served while earlier ones on the connection
# are still being served.
CONCURRENT_METHODS = frozenset(('GET', 'HEAD'))
DEFAULT_LIMITS = documents.ClientLimits()
BODY_STALL_TIMEOUT_S = 30.0
# Time for the client to read the last response before the connection closes.
CLOSE_LINGER_S = 1.0


class IncompleteRequestError(Exception):
    """The rest of a request's body will not be received."""


class Request:
    """A request whose body may still be incomplete.

    :param head: the `heads.RequestHead`
    :param on_body_read: called after a chunk of the body was taken
    """

    def __init__(self, head, on_body_read):
        self.head = head
        self.is_complete = False
        self.is_broken = False
        self._chunks = collections.deque()
        self._buffered_bytes = 0
        self.received_bytes = 0
        self._body_changed = None
        self._on_body_read = on_body_read
        self.expects_continue = False

    @property
    def is_buffer_full(self):
        """Whether reading must pause until buffered chunks are taken."""
        return self._buffered_bytes >= MAX_BUFFERED_BODY_BYTES

    def add_body(self, data):
        """Buffer a chunk of the body."""
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        self.received_bytes += len(data)
        self._wake_reader()

    def end_body(self, is_broken=False):
        """Mark the body as complete, or as broken off."""
        self.is_complete = not is_broken
        self.is_broken = is_broken
        self._wake_reader()

    def _wake_reader(self):
        if self._body_changed is not None:
            self._body_changed.set()
            self._body_changed = None

    async def read(self):
        """Return the next chunk of the body, empty at its end.

        :raises IncompleteRequestError: if the body was broken off
        """
        while not self._chunks:
            if self.is_complete:
                return b''
            if self.is_broken:
                raise IncompleteRequestError
            self._body_changed = trio.Event()
            await self._body_changed.wait()
        data = self._chunks.popleft()
        self._buffered_bytes -= len(data)
        self._on_body_read()
        return data

    async def read_all(self):
        """Return the rest of the body.

        :raises IncompleteRequestError: if the body was broken off
        """
        if self.is_complete and not self._chunks:
            return b''
        parts = []
        while data := await self.read():
            parts.append(data)
        return b''.join(parts)


class _RequestParser:
    """Callbacks of httptools for the requests of one connection."""

    def __init__(self, on_request, on_body_read):
        self._on_request = on_request
        self._on_body_read = on_body_read
        self._url = b''
        self._headers = []
        self._request = None
        self.refusal = None
        self.head_bytes = 0
        self.is_in_head = False
        self.parser = httptools.HttpRequestParser(self)

    @property
    def request(self):
        """The `Request` whose body is being read, or None."""
        return self._request

    def on_message_begin(self):
        self._url = b''
        self._headers = []
        self.is_in_head = True
        self.head_bytes = 0

    def on_url(self, url):
        self._url += url

    def on_header(self, name, value):
        if self.is_in_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        self.is_in_head = False
        body_length = heads.parse_body_length(self._headers)
        if isinstance(body_length, refusals.Refusal):
            self.refusal = body_length
            raise ValueError(body_length.detail)
        head = heads.RequestHead(
            method=self.parser.get_method().decode(),
            url=self._url,
            version=self.parser.get_http_version(),
            headers=self._headers,
            body_length=body_length,
            keep_alive=self.parser.should_keep_alive(),
        )
        self.refusal = heads.validate_request(head)
        if self.refusal is not None:
            raise ValueError(self.refusal.detail)
        self._request = Request(head, self._on_body_read)
        expect = head.header(b'expect')
        self._request.expects_continue = (
            expect is not None and expect.lower() == b'100-continue'
        )
        self._on_request(self._request)

    def on_body(self, data):
        self._request.add_body(data)

    def on_message_complete(self):
        self._request.end_body()
        self._request = None


class PendingResponse:
    """One request and its place in the order of responses.

    Responses are sent in the order of the requests, although the requests may
    be served concurrently.

    :param connection: the `ClientConnection`
    :param request: the `Request`
    :param previous: event set once the previous response is sent, None if
        there is none
    """

    def __init__(self, connection, request, previous):
        self._connection = connection
        self._previous = previous
        self.request = request
        self.finished = trio.Event()
        self.cancel_scope = trio.CancelScope()

    @property
    def has_later_request(self):
        """Whether a later request on the connection is being served."""
        return self._connection.has_later_request(self)

    async def wait_for_turn(self):
        """Wait until all earlier responses are sent."""
        if self._previous is not None:
            await self._previous.wait()

    async def send(self, data):
        """Send bytes of the response once all earlier ones are sent."""
        await self.wait_for_turn()
        await self._connection.send(data)


class ClientConnection:
    """One connection from a client.

    :param stream: a trio stream
    :param serve: coroutine function that takes a `Request` and its
        `PendingResponse`, responds, and returns whether the connection may be
        kept
    :param clock: returns monotonic seconds
    :param limits: the `documents.ClientLimits` in force when it was opened
    """

    def __init__(self, stream, serve, clock, limits=DEFAULT_LIMITS):
        self._stream = stream
        self._serve = serve
        self._clock = clock
        self._pending_responses = collections.deque()
        self._room_available = trio.Event()
        self._cancel_scope = trio.CancelScope()
        self._limits = limits
        self._parser = _RequestParser(self._start_request, self._signal_room)
        self._refusal = None
        self._nursery = None
        self._is_ending = False
        self.is_closing = False
        self.last_progress_at = clock()

    async def run(self):
        """Serve requests until the connection ends, then close it."""
        try:
            with self._cancel_scope:
                async with trio.open_nursery() as nursery:
                    self._nursery = nursery
                    await self._read()
                    await self._finish_responses()
                    nursery.cancel_scope.cancel()
        finally:
            await trio.aclose_forcefully(self._stream)

    def close_when_idle(self):
        """Close the connection once no request is being served on it."""
        self.is_closing = True
        if not self._pending_responses:
            self._cancel_scope.cancel()

    def has_later_request(self, pending_response):
        """Return whether a request after this one is being served."""
        return self._pending_responses[-1] is not pending_response

    def enforce_timeouts(self, now):
        """End the connection if a time limit for the client has passed.

        :param now: monotonic seconds
        """
        idle_s = now - self.last_progress_at
        if self._parser.is_in_head:
            if idle_s > self._limits.head_timeout:
                self._cancel_scope.cancel()
            return
        if self._parser.request is not None:
            if idle_s > BODY_STALL_TIMEOUT_S:
                self._cancel_scope.cancel()
            return
        if not self._pending_responses and idle_s > self._limits.idle_timeout:
            self._cancel_scope.cancel()

    async def send(self, data):
        """Send bytes of a response."""
        await socket_io.send_all(self._stream, data)

    def _start_request(self, request):
        """Start a task for a request unless the connection is ending."""
        if self._is_ending:
            return
        previous = (
            self._pending_responses[-1].finished
            if self._pending_responses
            else None
        )
        pending_response = PendingResponse(self, request, previous)
        self._pending_responses.append(pending_response)
        self._nursery.start_soon(self._serve_request, pending_response)

    def _signal_room(self):
        self._room_available.set()

    def _is_full(self):
        request = self._parser.request
        if request is not None and request.is_buffer_full:
            return True
        return len(self._pending_responses) > MAX_PIPELINED_REQUESTS

    async def _read(self):
        while not self._is_ending:
            while self._is_full():
                self._room_available = trio.Event()
                await self._room_available.wait()
            try:
                data = await socket_io.receive_some(self._stream, READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b''
            if not data:
                # The client has disconnected; the responses are not needed.
                self._is_ending = True
                self._cancel_scope.cancel()
                return
            self.last_progress_at = self._clock()
            if self._is_ending:
                # Discard bytes after the last request; if they stayed unread,
                # the close would be a reset that could lose its response.
                continue
            if not self._parse(data):
                return

    def _parse(self, data):
        """Parse bytes and return whether to continue reading."""
        parser = self._parser
        try:
            parser.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            self._reject(parser.refusal or _malformed(e))
            return False
        if parser.is_in_head:
            parser.head_bytes += len(data)
            if parser.head_bytes > self._limits.head_bytes:
                self._reject(
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
        max_body_bytes = self._limits.body_bytes
        if (
            max(request.received_bytes, request.head.body_length or 0)
            > max_body_bytes
        ):
            self._reject(
                refusals.bad_request(
                    refusals.CallCode.BODY_TOO_LARGE,
                    f'a body of over {max_body_bytes} bytes',
                    status=413,
                )
            )
            return False
        return True

    def _reject(self, refusal):
        """Refuse a request that breaks the protocol and accept no more.

        If the request is already being served, its call is cancelled: the
        target has not received the whole body and must not take it as whole.
        """
        self._refusal = refusal
        rejected_request = self._parser.request
        if rejected_request is not None:
            rejected_request.end_body(is_broken=True)
            if (
                self._pending_responses
                and self._pending_responses[-1].request is rejected_request
            ):
                self._pending_responses[-1].cancel_scope.cancel()
        self._is_ending = True

    async def _serve_request(self, pending_response):
        """Serve one request and close the connection if it is the last."""
        keep_alive = False
        with pending_response.cancel_scope:
            if pending_response.request.head.method not in CONCURRENT_METHODS:
                await pending_response.wait_for_turn()
            # The request may have been rejected before this task ran.
            await trio.lowlevel.checkpoint_if_cancelled()
            try:
                keep_alive = await self._serve(
                    pending_response.request, pending_response
                )
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                IncompleteRequestError,
            ):
                keep_alive = False
            # Even without a response of its own, a request lets later ones
            # respond only after all earlier ones have.
            await pending_response.wait_for_turn()
        self._pending_responses.remove(pending_response)
        pending_response.finished.set()
        self._signal_room()
        self.last_progress_at = self._clock()
        if self._refusal is not None:
            return
        if not keep_alive or (self.is_closing and not self._pending_responses):
            await self._close()

    async def _close(self):
        """Close the connection after the response that was sent last."""
        self._is_ending = True
        for pending_response in self._pending_responses:
            pending_response.cancel_scope.cancel()
        await self._linger()
        self._cancel_scope.cancel()

    async def _linger(self):
        """Give the client time to read; a reset could lose the response."""
        try:
            await self._stream.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        except trio.BusyResourceError:
            return
        await trio.sleep(CLOSE_LINGER_S)

    async def _finish_responses(self):
        """Wait for all responses, then send the refusal, if there is one."""
        while self._pending_responses:
            await self._pending_responses[-1].finished.wait()
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
        """The `refusals.Refusal` that ended the connection, or None."""
        return self._refusal


def _malformed(error):
    detail = str(error) or type(error).__name__
    return refusals.bad_request(refusals.CallCode.MALFORMED, detail)
