"""Connections from clients: reads requests and writes responses.

Requests are parsed strictly. One task reads, so that a disconnect of the
client is noticed while its calls run. Each request is served in a task of its
own; responses are sent in the order of the requests.
"""

import collections
import enum
import itertools

import httptools
import trio

from pumicestand import documents
from pumicestand import refusals
from pumicestand_node import client_requests
from pumicestand_node import heads
from pumicestand_node import socket_io
from pumicestand_node import supervision

READ_BYTES = 16_384
MAX_PIPELINED_REQUESTS = 8
# Bytes that are received while no more requests are accepted, so that a
# disconnect behind them is noticed.
MAX_UNPARSED_BYTES = 32_768
# Requests with these methods are served while earlier ones on the connection
# are still being served.
CONCURRENT_METHODS = frozenset(('GET', 'HEAD'))
DEFAULT_LIMITS = documents.ClientLimits()
BODY_STALL_TIMEOUT_S = 30.0
# Time for the client to read the last response before the connection closes.
CLOSE_LINGER_S = 1.0
# Period at which a draining connection checks whether its client has received
# the last response.
DELIVERY_CHECK_S = 0.02
# Time for the first request on a new connection of a node that stops.
FIRST_REQUEST_S = 1.0


class _State(enum.Enum):
    """What a connection does with the bytes that it receives."""

    # Requests are read and served.
    OPEN = enum.auto()
    # Requests are read and served; the connection ends once it is idle after
    # a request.
    DRAINING = enum.auto()
    # Bytes are discarded. Requests that were read before are still served.
    LAST = enum.auto()
    # Bytes are discarded until the client closes or the linger time is over.
    CLOSING = enum.auto()


_PROTOCOL_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)
_ACCEPTING = (_State.OPEN, _State.DRAINING)
# Responses with these first bytes are followed by the final one.
_INTERIM_RESPONSE = b'HTTP/1.1 1'


class PendingResponse:
    """One request and its place in the order of responses.

    Responses are sent in the order of the requests, although the requests may
    be served concurrently.

    ``has_begun`` is true once any of the final response was sent. Whoever
    serves the request may set ``may_have_run`` to false while it has certainly
    not been sent to a target: it tells what the client learns after an error.
    ``request_id`` is the id of the request for the log, if it is known.

    :param connection: the `ClientConnection`
    :param request: the `client_requests.Request`
    :param previous: event set once the previous response is sent, None if
        there is none
    """

    def __init__(self, connection, request, previous):
        self._connection = connection
        self._previous = previous
        self.request = request
        self.has_begun = False
        self.may_have_run = False
        self.request_id = ''
        self.finished = trio.Event()
        self.cancel_scope = trio.CancelScope()

    def describe(self):
        """Return what the request is and how far it has come, for the log."""
        head = self.request.head
        return {
            'id': self.request_id,
            'method': head.method,
            'path': head.path,
            'may_have_run': self.may_have_run,
            'has_begun_response': self.has_begun,
        }

    def decide_keep_alive(self, is_stopping):
        """Return whether the connection is kept after this response.

        If it is not, it accepts no further request from now on, so this must
        be the turn of the response and the decision its last.

        :param is_stopping: whether to keep it only for requests that were
            already received
        """
        return self._connection.decide_keep_alive(self, is_stopping)

    async def wait_for_turn(self):
        """Wait until all earlier responses are sent."""
        if self._previous is not None:
            await self._previous.wait()

    async def send(self, data):
        """Send bytes of the response once all earlier ones are sent."""
        await self.wait_for_turn()
        if not self.has_begun:
            self.has_begun = not data.startswith(_INTERIM_RESPONSE)
        await self._connection.send(data)


class ClientConnection:
    """One connection from a client.

    :param stream: a trio stream
    :param serve: coroutine function that takes a `client_requests.Request`
        and its `PendingResponse`, responds, and returns whether the
        connection may be kept
    :param clock: returns monotonic seconds
    :param limits: the `documents.ClientLimits` in force when it was opened
    :param on_refusal: called with the `refusals.Refusal` of a request that
        could not be read, or whose serving failed
    """

    def __init__(
        self,
        stream,
        serve,
        clock,
        limits=DEFAULT_LIMITS,
        on_refusal=lambda refusal: None,
    ):
        self._stream = stream
        self._serve = serve
        self._clock = clock
        self._pending_responses = collections.deque()
        # Those of them whose requests were parsed but are not served yet.
        self._unstarted = collections.deque()
        self._unparsed = b''
        self._room_available = trio.Event()
        self._read_ahead_scope = None
        self._cancel_scope = trio.CancelScope()
        self._limits = limits
        self._on_refusal = on_refusal
        self._parser = client_requests.RequestParser(
            self._start_request, self._signal_room, self._accept_no_more
        )
        self._refusal = None
        self._rejected_response = None
        self._nursery = None
        self._has_served = False
        self._awaits_delivery = False
        self._state = _State.OPEN
        self.last_progress_at = clock()

    async def run(self):
        """Serve requests until the connection ends, then close it."""
        try:
            with self._cancel_scope:
                async with trio.open_nursery() as nursery:
                    self._nursery = nursery
                    await self._read()
        finally:
            if self._state is _State.CLOSING:
                socket_io.discard_received(self._stream)
            await trio.aclose_forcefully(self._stream)

    def close_when_idle(self):
        """Close the connection once no request is received or served on it.

        A connection on which no request has begun yet gets `FIRST_REQUEST_S`
        for it; `enforce_timeouts` ends that time.

        An error ends this connection.
        """
        try:
            if self._state is _State.OPEN:
                self._state = _State.DRAINING
            self._close_if_drained()
        except Exception as error:
            self._fail(error)

    def decide_keep_alive(self, pending_response, is_stopping):
        """Return whether to keep the connection after a response.

        See `PendingResponse.decide_keep_alive`.
        """
        request = pending_response.request
        is_open = self._state is _State.OPEN and not is_stopping
        try:
            keep_alive = (
                request.head.keep_alive
                and request.is_complete
                and (is_open or self._has_later_request(pending_response))
            )
        except Exception as error:
            self._log_failure(error)
            keep_alive = False
        if not keep_alive:
            self._accept_no_more()
        return keep_alive

    def enforce_timeouts(self, now):
        """End the connection if a time limit for the client has passed.

        Requests that were read before are still served. An error ends this
        connection.

        :param now: monotonic seconds
        """
        try:
            self._end_overdue(now)
        except Exception as error:
            self._fail(error)

    def _end_overdue(self, now):
        """End the connection if its client has made no progress in time."""
        idle_s = now - self.last_progress_at
        limit_s = self._idle_limit_s()
        if idle_s <= limit_s:
            return
        if self._state is _State.CLOSING:
            self._cancel_scope.cancel()
            return
        if self._unparsed or socket_io.is_readable(self._stream):
            # Bytes that are not read yet are progress of the client.
            return
        if self._parser.request is not None:
            self._reject(
                refusals.bad_request(
                    refusals.CallCode.MALFORMED,
                    f'no more of the body was received for {limit_s:g} s',
                    status=408,
                )
            )
            return
        if not self._pending_responses:
            self._cancel_scope.cancel()
            return
        self._accept_no_more()

    def _fail(self, error):
        """Log an unexpected error and end the connection."""
        self._log_failure(error)
        self._cancel_scope.cancel()

    def _log_failure(self, error):
        """Log an error on the connection, with what was to be answered."""
        supervision.log_failure(
            'connection-failed',
            error,
            'a connection from a client failed with {} requests on it: {!r}',
            len(self._pending_responses),
            error,
            requests=[
                pending.describe() for pending in self._pending_responses
            ],
        )

    def _idle_limit_s(self):
        """Return for how many seconds the client may make no progress."""
        if self._state in _ACCEPTING:
            if self._parser.is_in_head:
                return self._limits.head_timeout
            if self._parser.request is not None:
                return BODY_STALL_TIMEOUT_S
        if self._pending_responses:
            return float('inf')
        if self._state is _State.DRAINING:
            return FIRST_REQUEST_S
        return self._limits.idle_timeout

    async def send(self, data):
        """Send bytes of a response."""
        try:
            await socket_io.send_all(self._stream, data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The client has disconnected; the responses are not needed.
            self._cancel_scope.cancel()
            raise

    def _has_later_request(self, pending_response):
        """Return whether a request after this one was received in part."""
        return (
            self._pending_responses[-1] is not pending_response
            or self._refusal is not None
            or self._has_begun_request()
        )

    def _has_begun_request(self):
        """Return whether a request has arrived in part, read or not."""
        return self._state in _ACCEPTING and (
            self._parser.is_in_head
            or self._parser.request is not None
            or bool(self._unparsed)
            or socket_io.is_readable(self._stream)
        )

    def _start_request(self, request):
        """Serve a request in its turn if the connection accepts it."""
        if self._state not in _ACCEPTING:
            return
        previous = (
            self._pending_responses[-1].finished
            if self._pending_responses
            else None
        )
        pending_response = PendingResponse(self, request, previous)
        self._pending_responses.append(pending_response)
        self._unstarted.append(pending_response)
        self._start_next()

    def _start_next(self):
        """Start tasks for requests up to the number served concurrently."""
        while self._unstarted and (
            len(self._pending_responses) - len(self._unstarted)
            < MAX_PIPELINED_REQUESTS
        ):
            self._nursery.start_soon(
                self._serve_request, self._unstarted.popleft()
            )

    def _accept_no_more(self):
        """Discard from now on what the client sends."""
        if self._state in _ACCEPTING:
            self._state = _State.LAST
        self._signal_room()

    def _close_after_last(self):
        """Start to close if no request is accepted or served any more."""
        if self._state is _State.LAST and not self._pending_responses:
            self._state = _State.CLOSING
            self._nursery.start_soon(self._close)

    def _is_drained(self):
        """Return whether the connection is draining and idle."""
        return (
            self._state is _State.DRAINING
            and self._has_served
            and not self._pending_responses
            and not self._has_begun_request()
        )

    def _close_if_drained(self):
        """Close a draining connection that is idle after a request.

        A request that crosses the close stays unread, which tells the client
        that it can be sent again. It also resets the connection, so what was
        sent has to be delivered before.
        """
        if not self._is_drained():
            return
        if not socket_io.has_undelivered(self._stream):
            self._cancel_scope.cancel()
        elif not self._awaits_delivery:
            self._awaits_delivery = True
            self._nursery.start_soon(self._close_once_delivered)

    async def _close_once_delivered(self):
        """Close once the client has all, unless it sends a request before."""
        while socket_io.has_undelivered(self._stream):
            await trio.sleep(DELIVERY_CHECK_S)
        self._awaits_delivery = False
        self._check_drained()

    def _signal_room(self):
        self._room_available.set()
        if self._read_ahead_scope is not None:
            self._read_ahead_scope.cancel()

    def _is_full(self):
        if self._state not in _ACCEPTING:
            return False
        request = self._parser.request
        if request is not None and request.is_buffer_full:
            return True
        return len(self._pending_responses) > MAX_PIPELINED_REQUESTS

    async def _read(self):
        """Read until the client closes its connection.

        Bytes that are not parsed are read as well: if they stayed unread, the
        close would be a reset, which could lose the last response.
        """
        while True:
            try:
                data = await self._receive()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b''
            except Exception as error:
                # What was read before is still answered.
                self._log_failure(error)
                self._accept_no_more()
                self._close_after_last()
                return
            if not data:
                # The client has disconnected; the responses are not needed.
                self._cancel_scope.cancel()
                return
            if self._state in _ACCEPTING:
                self.last_progress_at = self._clock()
                self._parse(data)
                self._check_drained()

    async def _receive(self):
        """Return the next bytes to parse, empty if the client has left.

        While the connection is full, some are received in advance.
        """
        while self._is_full():
            self._room_available = trio.Event()
            if len(self._unparsed) >= MAX_UNPARSED_BYTES:
                await self._room_available.wait()
                continue
            with trio.CancelScope() as self._read_ahead_scope:
                data = await socket_io.receive_some(self._stream, READ_BYTES)
                if not data:
                    return b''
                self._unparsed += data
            self._read_ahead_scope = None
        if self._unparsed:
            data, self._unparsed = self._unparsed, b''
            return data
        return await socket_io.receive_some(self._stream, READ_BYTES)

    def _parse(self, data):
        """Parse bytes, or refuse the request that they belong to."""
        parser = self._parser
        try:
            parser.parser.feed_data(data)
            refusal = self._check_size(len(data))
        except Exception as error:
            refusal = parser.refusal or self._explain(error)
        if refusal is not None and self._state in _ACCEPTING:
            self._reject(refusal)

    def _explain(self, error):
        """Return the `refusals.Refusal` of a request that was not parsed."""
        if isinstance(error, _PROTOCOL_ERRORS) and not isinstance(
            error, httptools.HttpParserCallbackError
        ):
            return _malformed(error)
        self._log_failure(error.__context__ or error)
        last = self._pending_responses[-1] if self._pending_responses else None
        if last is None or last.request is not self._parser.request:
            return _unexpected(may_have_run=False)
        return _unexpected(last.may_have_run)

    def _check_size(self, size):
        """Return a `refusals.Refusal` if a request is too large, else None.

        :param size: bytes that were parsed
        """
        parser = self._parser
        if parser.is_in_head:
            parser.head_bytes += size
            if parser.head_bytes > self._limits.head_bytes:
                return refusals.bad_request(
                    refusals.CallCode.HEADERS_TOO_LARGE,
                    f'a head of over {self._limits.head_bytes} bytes',
                    status=431,
                )
        request = parser.request
        if request is None:
            return None
        max_body_bytes = self._limits.body_bytes
        if (
            max(request.received_bytes, request.head.body_length or 0)
            <= max_body_bytes
        ):
            return None
        return refusals.bad_request(
            refusals.CallCode.BODY_TOO_LARGE,
            f'a body of over {max_body_bytes} bytes',
            status=413,
        )

    def _reject(self, refusal):
        """Refuse a request that breaks the protocol and accept no more.

        If the request is already being served, its call is cancelled: the
        target has not received the whole body and must not take it as whole.
        A response that has begun is not cut, and no refusal follows it.
        """
        self._refusal = refusal
        self._report_refusal(refusal)
        self._accept_no_more()
        rejected_request = self._parser.request
        if rejected_request is not None:
            rejected_request.end_body(is_broken=True)
            if (
                self._pending_responses
                and self._pending_responses[-1].request is rejected_request
            ):
                rejected_response = self._pending_responses[-1]
                self._rejected_response = rejected_response
                if not rejected_response.has_begun:
                    rejected_response.cancel_scope.cancel()
        self._close_after_last()

    def _report_refusal(self, refusal):
        """Pass on a refusal; the client gets it even if that fails."""
        try:
            self._on_refusal(refusal)
        except Exception as error:
            self._log_failure(error)

    async def _serve_request(self, pending_response):
        """Serve one request and close the connection if it is the last.

        An error costs no other request its response.
        """
        keep_alive = False
        try:
            with pending_response.cancel_scope:
                method = pending_response.request.head.method
                if method not in CONCURRENT_METHODS:
                    await pending_response.wait_for_turn()
                # The request may have been rejected before this task ran.
                await trio.lowlevel.checkpoint_if_cancelled()
                keep_alive = await self._respond(pending_response)
                # Even without a response of its own, a request lets later
                # ones respond only after all earlier ones have.
                await pending_response.wait_for_turn()
        except Exception as error:
            self._log_failure(error)
        if not keep_alive:
            self._cut_after(pending_response)
        self._pending_responses.remove(pending_response)
        pending_response.finished.set()
        self._start_next()
        self._signal_room()
        self.last_progress_at = self._clock()
        self._has_served = True
        self._check_drained()
        self._close_after_last()

    def _check_drained(self):
        """Close a draining connection that is idle, or on an error."""
        try:
            self._close_if_drained()
        except Exception as error:
            self._fail(error)

    async def _respond(self, pending_response):
        """Respond to a request and return whether to keep the connection.

        A request that is not served because of an error is refused, so that
        the error does not end the connection with all of its requests.
        """
        request = pending_response.request
        pending_response.may_have_run = True
        try:
            keep_alive = await self._serve(request, pending_response)
            if pending_response.has_begun or request.is_broken:
                return keep_alive
            _log_request(pending_response, None)
        except client_requests.IncompleteRequestError:
            return False
        except Exception as error:
            if self._cancel_scope.cancel_called:
                # The client has disconnected.
                return False
            _log_request(pending_response, error)
        if pending_response.has_begun:
            # It may be incomplete.
            return False
        return await self._refuse_failed(pending_response)

    async def _refuse_failed(self, pending_response):
        """Refuse a request whose serving failed; return as `_respond`."""
        refusal = _unexpected(pending_response.may_have_run)
        self._report_refusal(refusal)
        await pending_response.wait_for_turn()
        keep_alive = pending_response.decide_keep_alive(is_stopping=False)
        with_body = pending_response.request.head.method != 'HEAD'
        try:
            await pending_response.send(
                heads.format_refusal(refusal, keep_alive, with_body)
            )
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return keep_alive

    def _cut_after(self, pending_response):
        """Accept no more and send no response after this one.

        It may be incomplete, so that the client would take a later one for a
        part of it. There are no later ones if the connection was not kept by
        `decide_keep_alive`.
        """
        self._accept_no_more()
        position = self._pending_responses.index(pending_response)
        later_responses = [
            later_response
            for later_response in itertools.islice(
                self._pending_responses, position + 1, None
            )
            if not later_response.cancel_scope.cancel_called
        ]
        if not later_responses or self._cancel_scope.cancel_called:
            return
        supervision.log_failure(
            'connection-cut',
            None,
            'the response to a request is incomplete; {} requests behind it '
            'get none',
            len(later_responses),
            requests=[pending.describe() for pending in later_responses],
        )
        for later_response in later_responses:
            later_response.cancel_scope.cancel()

    async def _close(self):
        """Send the refusal, if there is one, and the end of the stream.

        Then give the client time to read and to close.
        """
        try:
            rejected_response = self._rejected_response
            if self._refusal is not None and (
                rejected_response is None or not rejected_response.has_begun
            ):
                with_body = (
                    rejected_response is None
                    or rejected_response.request.head.method != 'HEAD'
                )
                await self.send(
                    heads.format_refusal(
                        self._refusal, keep_alive=False, with_body=with_body
                    )
                )
            with trio.move_on_after(CLOSE_LINGER_S):
                await self._stream.send_eof()
                await trio.sleep_forever()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The client has disconnected.
            pass
        except Exception as error:
            self._log_failure(error)
        self._cancel_scope.cancel()


def _log_request(pending_response, error):
    """Log why a request got no response from the function that serves it.

    :param error: the exception, None if the function has returned
    """
    head = pending_response.request.head
    supervision.log_failure(
        'request-failed',
        error,
        'request {} {} failed: {!r}',
        head.method,
        head.path,
        error or 'no response',
        request=pending_response.describe(),
    )


def _unexpected(may_have_run):
    """Return the `refusals.Refusal` of a request that an error has ended."""
    detail = 'an unexpected error in the node'
    if may_have_run:
        return refusals.unknown(refusals.CallCode.ANSWER_LOST, detail)
    return refusals.not_run(refusals.CallCode.NO_TARGET, detail)


def _malformed(error):
    detail = str(error) or type(error).__name__
    return refusals.bad_request(refusals.CallCode.MALFORMED, detail)
