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

from pumicestand import buffer_budget
from pumicestand import client_progress
from pumicestand import documents
from pumicestand import refusals
from pumicestand import turn_budget
from pumicestand_node import client_requests
from pumicestand_node import heads
from pumicestand_node import socket_io
from pumicestand_node import supervision

READ_BYTES = 16_384
HEAD_END = b'\r\n\r\n'
# Bytes of a head, or of a body without a length, that are parsed at once: they
# may have very many parts, and requests may follow them.
STEP_BYTES = 1_024
# Bytes of a response after which it is noticed that the client takes some.
SEND_BYTES = 65_536
MAX_PIPELINED_REQUESTS = 8
# Bytes that are received while no more requests are accepted, so that a
# disconnect behind them is noticed.
MAX_UNPARSED_BYTES = 32_768
# Requests with these methods are served while earlier ones on the connection
# are still being served.
CONCURRENT_METHODS = frozenset(('GET', 'HEAD'))
DEFAULT_LIMITS = documents.ClientLimits()
BODY_STALL_TIMEOUT_S = 30.0
# Time after which a request for which there was no room may be sent again.
BODY_RETRY_AFTER_S = 0.25
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
        if self._previous is not None and not self._previous.is_set():
            with self._connection.hold(len(data)):
                await self.wait_for_turn()
        if not self.has_begun:
            self.has_begun = not data.startswith(_INTERIM_RESPONSE)
        await self._connection.send(data)


class _Sending:
    """The response that a client takes, as `client_progress` knows it."""

    def __init__(self, connection):
        self._connection = connection

    def give_way(self):
        """Close the connection to free what the client does not take.

        :returns: bytes that will be free soon
        """
        unsent_bytes = self._connection.unsent_bytes
        self._connection.close()
        return unsent_bytes


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
    :param budget: `buffer_budget.BufferBudget` for requests and responses, by
        default without a limit. A request that does not fit is refused as not
        run, so that `serve` must not pass on a body before it is complete.
    :param max_pipelined: requests that are served while an earlier one is
    :param progress: `client_progress.ClientProgress` of all connections that
        share the budget
    :param turns: `turn_budget.TurnBudget` of all connections
    """

    def __init__(
        self,
        stream,
        serve,
        clock,
        limits=DEFAULT_LIMITS,
        on_refusal=lambda refusal: None,
        budget=None,
        max_pipelined=MAX_PIPELINED_REQUESTS,
        progress=None,
        turns=None,
    ):
        self._stream = stream
        self._serve = serve
        self._clock = clock
        self._pending_responses = collections.deque()
        self._unparsed = b''
        self._room_available = trio.Event()
        self._read_ahead_scope = None
        self._cancel_scope = trio.CancelScope()
        self._limits = limits
        self._on_refusal = on_refusal
        self._budget = budget or buffer_budget.BufferBudget()
        self._max_pipelined = max_pipelined
        self._progress = progress or client_progress.ClientProgress()
        self._turns = turns or turn_budget.TurnBudget()
        self._parser = client_requests.RequestParser(
            self._start_request,
            self._signal_room,
            self._accept_no_more,
            self._budget,
            self._admit,
        )
        # Bytes of heads and of what is not parsed that the budget counts.
        self._counted_bytes = 0
        self._head_since = None
        # Bytes of responses that the client has not taken, and when it last
        # took some.
        self.unsent_bytes = 0
        self.last_taken_at = clock()
        self._refusal = None
        self._rejected_response = None
        self._nursery = None
        self._has_served = False
        self._awaits_delivery = False
        self._state = _State.OPEN
        self.last_progress_at = clock()

    @property
    def has_served(self):
        """Whether a request was served on the connection."""
        return self._has_served

    @property
    def pending_count(self):
        """Number of requests that are being served or wait for it."""
        return len(self._pending_responses) + bool(self._unparsed)

    @property
    def waiting_since(self):
        """Monotonic seconds since when the client's next request is awaited.

        A part of its head may have been received. None while a request is
        received further or served.
        """
        if (
            self._state not in _ACCEPTING
            or self._pending_responses
            or self._unparsed
            or self._parser.request is not None
        ):
            return None
        return self.last_progress_at

    @property
    def is_in_head(self):
        """Whether a part of a request's head was received."""
        return self._parser.is_in_head

    async def run(self):
        """Serve requests until the connection ends, then close it."""
        try:
            with self._cancel_scope:
                async with trio.open_nursery() as nursery:
                    self._nursery = nursery
                    await self._read()
        finally:
            for pending_response in self._pending_responses:
                pending_response.request.release()
            if self._state is _State.CLOSING:
                socket_io.discard_received(self._stream)
            self._unparsed = b''
            self._parser.discard_head()
            self._count_held()
            self._progress.discard(self)
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

    def close_if_waiting(self, since):
        """Close the connection if nothing has arrived; return whether so.

        A request that crosses the close stays unread, which tells the client
        that it can be sent again.

        :param since: monotonic seconds; see `waiting_since`
        """
        if self._cancel_scope.cancel_called or self.waiting_since != since:
            return False
        if socket_io.is_readable(self._stream):
            return False
        self._cancel_scope.cancel()
        return True

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
        """End the connection if its client has made no progress in time.

        The time for a head runs from its first byte.
        """
        since = self.last_progress_at
        if self._state in _ACCEPTING and self._head_since is not None:
            since = self._head_since
        idle_s = now - since
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
        if self._state in _ACCEPTING and not self._unparsed:
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
            rest = socket_io.send_nowait(self._stream, data)
            if rest:
                await self._send_rest(rest)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The client has disconnected; the responses are not needed.
            self._cancel_scope.cancel()
            raise

    async def _send_rest(self, data):
        """Send what the socket has no room for, as the client takes it."""
        unsent = memoryview(data)
        sending = _Sending(self)
        self.unsent_bytes += len(unsent)
        self._budget.add(len(unsent))
        self.last_taken_at = self._clock()
        self._progress.record(sending, 0, 0, self.last_taken_at)
        try:
            while unsent:
                await self._stream.send_all(unsent[:SEND_BYTES])
                self.last_taken_at = self._clock()
                self._progress.record(
                    sending, len(unsent[:SEND_BYTES]), 0, self.last_taken_at
                )
                unsent = unsent[SEND_BYTES:]
        finally:
            self._progress.discard(sending)
            # The whole is held until the last byte is sent.
            self.unsent_bytes -= len(data)
            self._budget.remove(len(data))

    def hold(self, count):
        """Return a context in which bytes count as held in the budget.

        :param count: number of bytes
        """
        return self._budget.hold(count)

    def give_way(self):
        """Refuse the request that is being received, to free its memory.

        :returns: bytes that will be free soon; the others are free at once
        """
        if self._state not in _ACCEPTING:
            return 0
        self._reject(
            _overloaded('the request made no progress while there was no room')
        )
        return 0

    def close(self):
        """Close the connection with the requests that are served on it."""
        self._cancel_scope.cancel()

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
            bool(self._unparsed)
            or self._parser.is_in_head
            or self._parser.request is not None
            or socket_io.is_readable(self._stream)
        )

    def _start_request(self, request):
        """Start a task for a request if the connection accepts it."""
        if self._state not in _ACCEPTING:
            request.release()
            return
        previous = (
            self._pending_responses[-1].finished
            if self._pending_responses
            else None
        )
        pending_response = PendingResponse(self, request, previous)
        self._pending_responses.append(pending_response)
        self._enlarge_receive_buffer(request)
        self._nursery.start_soon(self._serve_request, pending_response)

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
        if request is not None:
            return request.is_buffer_full
        return len(self._pending_responses) > self._max_pipelined

    async def _read(self):
        """Read until the client closes its connection.

        Bytes that are not parsed are read as well: if they stayed unread, the
        close would be a reset, which could lose the last response.
        """
        while True:
            try:
                if self._unparsed or self._is_full():
                    data = await self._receive()
                else:
                    data = await socket_io.receive_some(
                        self._stream, READ_BYTES
                    )
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
                part = self._next_part(data)
                self._parse(part)
                self._record_progress(len(part))
                self._count_held()
                self._check_drained()
                parts = self._parser.take_part_count()
                if parts >= turn_budget.MIN_PARTS:
                    await self._pause_after(parts)

    async def _receive(self):
        """Return bytes once there is room for a request; empty at the end.

        While there is none, some are received in advance.
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
                self._count_held()
            self._read_ahead_scope = None
        data, self._unparsed = self._unparsed, b''
        return data or await socket_io.receive_some(self._stream, READ_BYTES)

    def _next_part(self, data):
        """Return what may be parsed now, and keep the rest.

        There must be room for each further request.
        """
        end = self._next_end(data)
        if end >= len(data):
            return data
        self._unparsed = data[end:]
        return data[:end]

    def _next_end(self, data):
        """Return where bytes of a further request may begin."""
        request = self._parser.request
        if request is None:
            end = data.find(HEAD_END)
            if end >= STEP_BYTES or (end < 0 and len(data) > STEP_BYTES):
                return _step_end(data)
            if end < 0:
                return len(data)
            end += len(HEAD_END)
            rest = len(data) - end
            if rest <= STEP_BYTES and data.find(HEAD_END, end) < 0:
                # What follows the only head is at most its body.
                return len(data)
            return end
        if request.head.body_length is None:
            return STEP_BYTES
        return request.head.body_length - request.received_bytes

    def _parse(self, data):
        """Parse bytes, or refuse the request that they belong to."""
        parser = self._parser
        try:
            parser.feed(data)
            refusal = self._check_size()
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

    def _check_size(self):
        """Return a `refusals.Refusal` if a request is too large, else None."""
        parser = self._parser
        request = parser.request
        if (
            parser.is_in_head or request is not None
        ) and parser.head_bytes > self._limits.head_bytes:
            return refusals.bad_request(
                refusals.CallCode.HEADERS_TOO_LARGE,
                f'a head or trailers of over {self._limits.head_bytes} bytes',
                status=431,
            )
        if request is None:
            if parser.is_in_head and not self._has_room(1, 0):
                return _overloaded('no room for a head')
            return None
        max_body_bytes = self._limits.body_bytes
        if request.size > max_body_bytes:
            return refusals.bad_request(
                refusals.CallCode.BODY_TOO_LARGE,
                f'a body of over {max_body_bytes} bytes',
                status=413,
            )
        is_admitted = request.head.body_length is not None
        if is_admitted or self._has_room(request.size, 0):
            return None
        return _overloaded(f'no room for a body of {request.size} bytes')

    def _admit(self, head):
        """Return a `refusals.Refusal` if a request can't be held, else None.

        :param head: the `heads.RequestHead`
        """
        size = head.body_length
        if size is not None and size > self._limits.body_bytes:
            # It is refused for its size.
            return None
        cost = buffer_budget.request_cost(head.size, size)
        if self._has_room(1 if size is None else size, cost):
            return None
        return _overloaded(f'no room for a body of {size or 0} bytes')

    def _enlarge_receive_buffer(self, request):
        """Have the system receive more of a long body, if there is room."""
        size = request.head.body_length
        cost = 2 * buffer_budget.BODY_RECEIVE_BYTES
        if (
            buffer_budget.is_long(size)
            and self._budget.has_room_for(size, cost)
            and socket_io.set_receive_buffer(
                self._stream, buffer_budget.BODY_RECEIVE_BYTES
            )
        ):
            request.count_fixed(cost)

    def _has_room(self, size, new_bytes):
        """Return whether there is room, if need be by closing others.

        Requests and responses whose clients make no progress give way.

        :param size: see `buffer_budget.BufferBudget.has_room_for`
        :param new_bytes: see `buffer_budget.BufferBudget.has_room_for`
        """
        if self._budget.has_room_for(size, new_bytes):
            return True
        for exchange in self._progress.stalled(self._clock()):
            if exchange is self:
                continue
            self._progress.discard(exchange)
            new_bytes -= exchange.give_way()
            if self._budget.has_room_for(size, new_bytes):
                return True
        return False

    def _record_progress(self, count):
        """Record that bytes of a request were received, or that it is whole.

        :param count: number of bytes
        """
        request = self._parser.request
        is_in_head = self._parser.is_in_head
        if not is_in_head:
            self._head_since = None
        elif self._head_since is None:
            self._head_since = self.last_progress_at
        if self._state not in _ACCEPTING or not (is_in_head or request):
            self._progress.discard(self)
            return
        size = 0 if request is None else request.head.body_length or 0
        self._progress.record(self, count, size, self.last_progress_at)

    def _count_held(self):
        """Count what is held of heads, and what is not parsed yet."""
        held_bytes = self._parser.held_bytes + len(self._unparsed)
        self._budget.add(held_bytes - self._counted_bytes)
        self._counted_bytes = held_bytes

    async def _pause_after(self, parts):
        """Pause after very many parts, so that others get their turns."""
        await trio.sleep(self._turns.pause_s(parts, self._clock()))

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
            rejected_request.release()
            if (
                self._pending_responses
                and self._pending_responses[-1].request is rejected_request
            ):
                rejected_response = self._pending_responses[-1]
                self._rejected_response = rejected_response
                if not rejected_response.has_begun:
                    rejected_response.cancel_scope.cancel()
        self._unparsed = b''
        self._parser.discard_head()
        self._count_held()
        self._progress.discard(self)
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
        pending_response.request.release()
        pending_response.finished.set()
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
            pending
            for pending in itertools.islice(
                self._pending_responses, position + 1, None
            )
            if not pending.cancel_scope.cancel_called
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


def _step_end(data):
    """Return where a step in a head ends, which is not within line ends."""
    end = STEP_BYTES
    while end < len(data) and data[end - 1] in b'\r\n':
        end += 1
    return end


def _overloaded(detail):
    return refusals.not_run(
        refusals.CallCode.OVERLOADED, detail, BODY_RETRY_AFTER_S
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
