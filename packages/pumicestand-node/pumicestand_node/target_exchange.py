"""Connections to the target on the same VM, with one call at a time on each.

A response is read completely before it is forwarded, so that a truncated one
is never taken for a complete one. A response to an earlier call is recognised
by its request id and discarded, so no connection carries an id twice.
"""

import httptools
import trio

from pumicestand import response_buffers
from pumicestand import tcp_options
from pumicestand import tcp_streams
from pumicestand_node import socket_io
from pumicestand_node import target_responses

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 0.5
# Idle time after which a connection is not reused: a default for targets that
# send no Keep-Alive time-out, and what is subtracted from that time-out.
DEFAULT_KEEP_ALIVE_S = 4.0
KEEP_ALIVE_MARGIN_S = 1.5
# After a target was found to have closed an idle connection, connections are
# reused only within this share of that idle time (but never less than the
# lowest limit), and only for as long as the limit is valid.
STALE_IDLE_RATIO = 0.6
LOWEST_MAX_IDLE_S = 0.05
MAX_IDLE_VALID_S = 30.0
# Larger bodies are sent while the response is already being read, since the
# target may respond before it has read the whole body.
MAX_SEQUENTIAL_BODY_BYTES = 32_768
# Calls after which a connection is not reused: their ids are remembered.
MAX_CALLS = 1024
# Idle connections that are passed over for an id that all have carried. If
# there are more, a new connection replaces one of them.
MAX_PASSED_OVER = 4


class ExchangeError(Exception):
    """The call got no complete response.

    :param may_be_sent: whether any of the request may have reached the target
    :param is_shortage: whether this VM lacks what a connection needs
    """

    def __init__(self, message, may_be_sent, is_shortage=False):
        super().__init__(message)
        self.may_be_sent = may_be_sent
        self.is_shortage = is_shortage


class TargetConnection:
    """One connection to a target.

    ``is_clean`` is true if the last response left it usable for another call.
    ``idle_s`` is the time in seconds for which it was idle before the current
    call, None for a new connection.

    :param buffers: the `response_buffers.ResponseBuffers` of the target
    """

    def __init__(self, stream, buffers):
        self._stream = stream
        self._parser = target_responses.ResponseParser(buffers)
        self._is_at_end = False
        self._is_body_sent = False
        self._has_received = False
        self._has_foreign_response = False
        # Hashes of the request ids, to save memory.
        self._carried_ids = set()
        self.is_clean = True
        self.idle_s = None
        self.idle_since = 0.0
        self.reusable_until = 0.0

    @property
    def is_stale(self):
        """Whether a reused connection broke before a byte was received."""
        return self.idle_s is not None and not self._has_received

    def record_call(self, request_id):
        """Record that a call with this id is sent on the connection."""
        self._carried_ids.add(hash(request_id))

    def has_carried(self, request_id):
        """Return whether a call with this id may have been sent on it.

        The target may respond to that call once more, at any time. A response
        to a call without an id can be told apart on a new connection only.
        """
        return not request_id or hash(request_id) in self._carried_ids

    def is_reusable(self, now, max_idle_s):
        """Return whether it is open, clean and not idle too long.

        :param now: monotonic seconds
        :param max_idle_s: idle time after which the target may have closed it
        """
        if not self.is_clean or now >= self.reusable_until:
            return False
        if now - self.idle_since >= max_idle_s:
            return False
        return not socket_io.is_readable(self._stream)

    async def exchange(self, head, body, is_matching):
        """Send a request and return its `target_responses.Response`.

        :param head: the head of the request, as bytes
        :param body: the whole body, as bytes
        :param is_matching: returns whether a response is for this request
        :raises ExchangeError: if no complete response was received
        """
        self.is_clean = False
        self._is_body_sent = False
        self._has_received = False
        self._parser.start_request(head.startswith(b'HEAD '))
        try:
            if len(body) <= MAX_SEQUENTIAL_BODY_BYTES:
                await self._send(head + body)
                response = await self._read_matching(is_matching)
            else:
                response = await self._exchange_large_body(
                    head, body, is_matching
                )
        finally:
            self._parser.forget_bytes()
        self.is_clean = (
            response.keep_alive
            and self._is_body_sent
            and not self._is_at_end
            and not self._has_foreign_response
            and not self._parser.responses
            and self._parser.is_between_responses
            and len(self._carried_ids) < MAX_CALLS
        )
        return response

    async def _exchange_large_body(self, head, body, is_matching):
        response = exchange_error = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_ignoring_errors, head, body)
            try:
                response = await self._read_matching(is_matching)
            except ExchangeError as error:
                exchange_error = error
            nursery.cancel_scope.cancel()
        if exchange_error is not None:
            raise exchange_error
        return response

    async def _send_ignoring_errors(self, *chunks):
        try:
            await self._send(*chunks)
        except ExchangeError:
            # The target stopped reading; its response, if any, says why.
            return

    async def _send(self, *chunks):
        try:
            for chunk in chunks:
                await socket_io.send_all(self._stream, chunk)
        except (trio.BrokenResourceError, OSError) as error:
            raise ExchangeError(
                f'sending the request failed: {error}', True
            ) from error
        self._is_body_sent = True

    async def _read_matching(self, is_matching):
        """Read responses until the one to this request is complete."""
        foreign_count = 0
        while True:
            while self._parser.responses:
                response = self._parser.responses.pop(0)
                if is_matching(response):
                    return response
                foreign_count += 1
                if foreign_count > response_buffers.MAX_IGNORED_RESPONSES:
                    raise ExchangeError(
                        f'{foreign_count} responses are not for the call',
                        True,
                    )
                # The target is out of step; it may send more of the kind.
                self._has_foreign_response = True
            if self._is_at_end:
                raise ExchangeError(
                    'connection closed before the response was complete',
                    True,
                )
            await self._receive()

    async def _receive(self):
        try:
            data = await socket_io.receive_some(self._stream, READ_BYTES)
        except (trio.BrokenResourceError, OSError) as error:
            raise ExchangeError(
                f'reading the response failed: {error}', True
            ) from error
        try:
            if data:
                self._has_received = True
                self._parser.feed(data)
                return
            self._is_at_end = True
            if self._is_body_sent:
                self._parser.end()
            # Else the connection may have been reset: the system reports that
            # once, and sending may have got the report.
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            self._is_at_end = True
            if self._parser.responses:
                self._parser.responses[-1].has_surplus = True
            else:
                raise ExchangeError(f'invalid response: {e}', True) from e

    async def close(self):
        """Close the connection at once; the target cancels its call."""
        await trio.aclose_forcefully(self._stream)


class TargetPool:
    """Idle connections to one target; the last used is reused first.

    ``opened_count`` is the number of connections opened so far,
    ``repeated_count`` that of calls whose id an idle connection had carried.

    :param clock: returns monotonic seconds
    :param connect: coroutine function from host and port to a stream
    :param budget: `buffer_budget.BufferBudget` that counts the responses
    """

    def __init__(self, clock, connect=tcp_streams.open_stream, budget=None):
        self._clock = clock
        self._connect = connect
        self._buffers = response_buffers.ResponseBuffers(budget)
        self._address = None
        self._idle = []
        self._max_idle_s = float('inf')
        self._max_idle_until = 0.0
        self.opened_count = 0
        self.repeated_count = 0

    async def acquire(self, host, port, request_id=''):
        """Return an idle connection or a new one.

        :param request_id: id of the call, which the connection has not
            carried before
        :raises ExchangeError: if the target can't be connected to
        """
        if self._address != (host, port):
            await self.close_idle()
            self._address = (host, port)
        now = self._clock()
        self.repeated_count += any(
            connection.has_carried(request_id) for connection in self._idle
        )
        while (connection := self._pop_idle(request_id)) is not None:
            if connection.is_reusable(now, self._current_max_idle_s(now)):
                connection.idle_s = now - connection.idle_since
                connection.record_call(request_id)
                return connection
            await connection.close()
        if len(self._idle) >= MAX_PASSED_OVER:
            await self._idle.pop(0).close()
        stream = await self._open(host, port)
        self.opened_count += 1
        connection = TargetConnection(stream, self._buffers)
        connection.record_call(request_id)
        return connection

    async def _open(self, host, port):
        """Return a new stream to the target.

        :raises ExchangeError: if the target can't be connected to
        """
        stream = None
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self._connect(host, port)
            if isinstance(stream, trio.SocketStream):
                for option in tcp_options.KEEPALIVE:
                    stream.setsockopt(*option)
        except (OSError, trio.TooSlowError) as error:
            if stream is not None:
                await trio.aclose_forcefully(stream)
            raise ExchangeError(
                f'connection failed: {error.__cause__ or error}',
                may_be_sent=False,
                is_shortage=tcp_streams.is_shortage(error),
            ) from error
        return stream

    def _pop_idle(self, request_id):
        """Return the last used connection that has not carried the id."""
        for index in reversed(range(len(self._idle))):
            if not self._idle[index].has_carried(request_id):
                return self._idle.pop(index)
        return None

    def _current_max_idle_s(self, now):
        if now >= self._max_idle_until:
            self._max_idle_s = float('inf')
        return self._max_idle_s

    def record_stale(self, connection):
        """Shorten the idle time for reuse after a connection was stale.

        :returns: the idle time in seconds after which none is reused now
        """
        now = self._clock()
        max_idle_s = min(
            self._current_max_idle_s(now), connection.idle_s * STALE_IDLE_RATIO
        )
        self._max_idle_s = max(LOWEST_MAX_IDLE_S, max_idle_s)
        self._max_idle_until = now + MAX_IDLE_VALID_S
        return self._max_idle_s

    async def release(self, connection, response, address):
        """Keep a connection for reuse after a response, or close it."""
        now = self._clock()
        connection.idle_since = now
        connection.reusable_until = now + _keep_alive_s(response)
        if address == self._address and connection.is_clean:
            self._idle.append(connection)
            return
        await connection.close()

    async def close_idle(self):
        """Close all connections that are not in use."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await connection.close()


def _keep_alive_s(response):
    """Return for how many seconds a connection may be idle.

    >>> response = target_responses.Response()
    >>> response.headers.append(b'keep-alive', b'timeout=10')
    >>> _keep_alive_s(response)
    8.5
    """
    value = response.header(b'keep-alive') or b''
    for part in value.split(b','):
        name, _, number = part.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return max(0.0, int(number) - KEEP_ALIVE_MARGIN_S)
    return DEFAULT_KEEP_ALIVE_S
