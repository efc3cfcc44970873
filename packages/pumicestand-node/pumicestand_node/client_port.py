"""The connections of clients to one port."""

import collections
import time

import trio

from pumicestand import buffer_budget
from pumicestand import client_progress
from pumicestand import documents
from pumicestand import log
from pumicestand import refusals
from pumicestand import turn_budget
from pumicestand_node import client_connections
from pumicestand_node import heads

# Time for a connection that is over the limit to send the request that is
# refused and to read the refusal.
REFUSAL_S = 1.0
REFUSAL_RETRY_AFTER_S = 0.25
# Time for which a connection must have been idle to be replaced: before its
# first request, and after others or within a head, when its client is likely
# to go on.
MIN_UNUSED_S = 0.1
MIN_IDLE_S = 1.0
# Time for which a client takes no byte of a response before its connection is
# closed to free memory.
MIN_STALL_S = client_progress.MIN_STALL_S
# Period in which the idle connections are listed once at most.
LISTING_PERIOD_S = 0.02


def _is_unlimited():
    return float('inf')


def _refuses_none():
    return 0


class ClientPort:
    """Serves the connections that clients open to a port.

    A connection over the limit replaces an idle one: of those without a
    request so far, or else of all, the one that is idle for the longest time.
    If none is idle, its request is refused as not run, or, if there are too
    many of these as well, it is closed before anything is read. A port that
    always accepts cuts the connection with the most requests instead.

    :param serve: coroutine function that responds to one request, as for
        `client_connections.ClientConnection`
    :param on_refusal: called with the `refusals.Refusal` of a request that
        could not be read, or whose serving failed
    :param limits: returns the `documents.ClientLimits` in force
    :param max_connections: returns the number of connections that are served
    :param max_refusals: returns the number of further connections on which
        requests are refused
    :param always_accepts: whether a new connection is always served
    :param clock: returns monotonic seconds
    :param budget: `buffer_budget.BufferBudget` of all ports, see
        `client_connections.ClientConnection`
    :param max_pipelined: requests of a connection that are served while an
        earlier one is
    :param progress: `client_progress.ClientProgress` of all ports
    :param turns: `turn_budget.TurnBudget` of all ports
    """

    def __init__(
        self,
        serve,
        on_refusal,
        limits=documents.ClientLimits,
        max_connections=_is_unlimited,
        max_refusals=_refuses_none,
        always_accepts=False,
        clock=time.monotonic,
        budget=None,
        max_pipelined=client_connections.MAX_PIPELINED_REQUESTS,
        progress=None,
        turns=None,
    ):
        self._serve = serve
        self._on_refusal = on_refusal
        self._limits = limits
        self._max_connections = max_connections
        self._max_refusals = max_refusals
        self._always_accepts = always_accepts
        self._clock = clock
        self._max_pipelined = max_pipelined
        self._budget = budget or buffer_budget.BufferBudget()
        self._progress = progress or client_progress.ClientProgress()
        self._turns = turns or turn_budget.TurnBudget()
        self._connections = set()
        self._refused = set()
        # Idle connections in the order in which they are replaced, with the
        # time since when; some may have been used or closed meanwhile.
        self._idle = collections.deque()
        self._listed_at = float('-inf')
        self._is_draining = False
        # Connections over the limit, by what was done: 'replaced' counts idle
        # ones that were closed in favour of new ones.
        self.excess_counts = collections.Counter()

    @property
    def connection_count(self):
        """Number of open connections."""
        return len(self._connections) + len(self._refused)

    async def serve(self, stream):
        """Serve one connection until it ends.

        :param stream: a trio stream
        """
        max_connections = min(
            self._max_connections(), self._budget.max_connections
        )
        is_full = len(self._connections) >= max_connections
        if is_full and not self.close_idle():
            if not self._always_accepts:
                await self._refuse(stream)
                return
            self._cut_one()
        connection = self._make_connection(stream, self._serve)
        if self._is_draining:
            connection.close_when_idle()
        await self._run(connection, self._connections)

    def _make_connection(self, stream, serve):
        return client_connections.ClientConnection(
            stream,
            serve,
            self._clock,
            self._limits(),
            self._on_refusal,
            self._budget,
            self._max_pipelined,
            self._progress,
            self._turns,
        )

    async def _run(self, connection, connections):
        connections.add(connection)
        self._budget.add(buffer_budget.CONNECTION_BYTES)
        try:
            await connection.run()
        except OSError as error:
            if log.is_written('DEBUG'):
                log.logger.debug('connection from a client failed: {}', error)
        finally:
            self._budget.remove(buffer_budget.CONNECTION_BYTES)
            connections.discard(connection)

    async def _refuse(self, stream):
        """Refuse the request on a connection, or close it unread."""
        if len(self._refused) >= self._max_refusals():
            self.excess_counts['closed'] += 1
            await trio.aclose_forcefully(stream)
            return
        self.excess_counts['refused'] += 1
        connection = self._make_connection(stream, self._refuse_request)
        with trio.move_on_after(REFUSAL_S):
            await self._run(connection, self._refused)

    async def _refuse_request(self, request, pending_response):
        """Refuse a request, as `client_connections.ClientConnection` asks."""
        pending_response.may_have_run = False
        refusal = refusals.not_run(
            refusals.CallCode.OVERLOADED,
            'the node has no room for another connection',
            REFUSAL_RETRY_AFTER_S,
        )
        self._on_refusal(refusal)
        await pending_response.wait_for_turn()
        with_body = request.head.method != 'HEAD'
        await pending_response.send(
            heads.format_refusal(refusal, False, with_body)
        )
        return False

    def close_idle(self):
        """Close one idle connection; return whether there was one."""
        if self._close_first_idle():
            return True
        now = self._clock()
        if now - self._listed_at < LISTING_PERIOD_S:
            return False
        self._listed_at = now
        self._list_idle(now)
        return self._close_first_idle()

    def _cut_one(self):
        """Close a connection without a complete request, or the busiest."""
        connection = min(
            self._connections,
            key=lambda c: (
                c.has_served or c.pending_count > 0,
                -c.pending_count,
                c.last_progress_at,
            ),
        )
        connection.close()
        self._connections.discard(connection)
        self.excess_counts['cut'] += 1

    def _list_idle(self, now):
        idle = []
        for connection in self._connections:
            since = connection.waiting_since
            if since is None:
                continue
            is_used = connection.has_served or connection.is_in_head
            if now - since >= (MIN_IDLE_S if is_used else MIN_UNUSED_S):
                idle.append((is_used, since, connection))
        idle.sort(key=lambda entry: entry[:2])
        self._idle.extend((since, connection) for _, since, connection in idle)

    def _close_first_idle(self):
        """Close the first of the listed connections that is idle still."""
        while self._idle:
            since, connection = self._idle.popleft()
            is_open = connection in self._connections
            if is_open and connection.close_if_waiting(since):
                # It needs a turn of the scheduler to end.
                self._connections.discard(connection)
                self.excess_counts['replaced'] += 1
                return True
        return False

    def enforce_timeouts(self):
        """End the connections whose clients exceed a time limit."""
        now = self._clock()
        self._idle.clear()
        for connection in list(self._connections):
            connection.enforce_timeouts(now)
        self._close_stalled(now)

    def _close_stalled(self, now):
        """Close connections whose clients take no response, if need be."""
        if not self._budget.is_exceeded:
            return
        stalled = sorted(
            (
                connection
                for connection in self._connections
                if connection.unsent_bytes
                and now - connection.last_taken_at >= MIN_STALL_S
            ),
            key=lambda connection: connection.last_taken_at,
        )
        excess_bytes = self._budget.held_bytes - self._budget.max_bytes
        for connection in stalled:
            if excess_bytes <= 0:
                return
            excess_bytes -= connection.unsent_bytes
            connection.close()
            self._connections.discard(connection)
            self.excess_counts['stalled'] += 1
            log.logger.bind(event='client-stalled').warning(
                'a client took none of {} bytes for {:.1f} s; its connection '
                'is closed, as responses use up the memory',
                connection.unsent_bytes,
                now - connection.last_taken_at,
            )

    def close_when_idle(self):
        """Close each connection once no request is received or served on it.

        This also holds for the connections that are opened later.
        """
        self._is_draining = True
        for connection in list(self._connections):
            connection.close_when_idle()
