"""Links between nodes, each carrying concurrent calls over one connection.

Each node opens one link to every other node and sends its calls on it; the
other node returns results and reports its state and load on the same link.
"""

import collections
import functools
import socket

import trio

from pumicestand import body_transfers
from pumicestand import hop_messages
from pumicestand import link_meter
from pumicestand import link_resumption
from pumicestand import log
from pumicestand import tcp_streams
from pumicestand_node import frame_streams
from pumicestand_node import supervision

CONNECT_TIMEOUT_S = 1.0
# Time for which a new connection beside a silent one may stay without the
# peer's report. Narrow links are allowed more; see `_backlog_s`.
ANSWER_TIMEOUT_S = 1.0
# Time after which the outcome of calls is unknown if they could not be asked
# for on another connection: a connection takes a few round trips, and a safe
# call should still be in time elsewhere. Narrow links are allowed more.
RESUME_TIMEOUT_S = 0.5
# Least time for the answer to the request for the outcomes of calls.
MIN_ANSWER_TIMEOUT_S = 0.3
# Share of the delay before a connection is opened anew while calls wait for
# it.
RESUME_DELAY_RATIO = 0.1
# Time for which other nodes are preferred to one whose link is suspected,
# unless it has answered before.
AVOID_SUSPECTED_S = 0.5
# Time for which sent data may stay unacknowledged before the kernel closes
# the connection.
TCP_USER_TIMEOUT_MS = 2_000
# Time before its deadline at which a call is withdrawn if it has not started:
# a few round trips, so that the client learns whether it has run. A call with
# little time left is withdrawn after half of it.
WITHDRAW_BEFORE_DEADLINE_S = 0.05
# Delay between two attempts to open a link, doubled after each failure.
MIN_RECONNECT_DELAY_S = 0.15
MAX_RECONNECT_DELAY_S = 1.5


class _Connection:
    """One connection to the peer.

    ``peer_incarnation`` is the number of the peer's process start, 0 until
    the peer has reported. ``is_answered`` is set when it has, or when the
    connection has ended.

    :param number: number in the `hop_messages.Hello` sent on it
    :param frames: `frame_streams.FrameStream`
    :param watch: `link_resumption.LinkWatch`
    :param budget: `buffer_budget.BufferBudget` that counts the bodies of
        results that arrive
    """

    def __init__(self, number, frames, watch, budget):
        self.number = number
        self.frames = frames
        self.assembler = frame_streams.BodyAssembler(budget)
        self.watch = watch
        self.peer_incarnation = 0
        self.is_answered = trio.Event()


class _PendingCall:
    """A call that was sent and awaits its result.

    :param origin: `_Connection` that it was sent on; ``carrier`` is the one
        that its result is expected on, None if that is not known
    :param held_body: body that the peer has not asked for, None if it was
        sent with the call

    The deadline of ``withdrawal``, a `trio.CancelScope`, is when it is
    withdrawn.
    """

    __slots__ = (
        'id',
        'origin',
        'carrier',
        'done',
        'result',
        'held_body',
        'withdrawal',
        'is_withdrawn',
    )

    def __init__(self, id_, origin, held_body):
        self.id = id_
        self.origin = origin
        self.carrier = origin
        self.done = trio.Event()
        self.result = None
        self.held_body = held_body
        self.withdrawal = None
        self.is_withdrawn = False


class Link:
    """The link from this node to another, reopened until it is stopped.

    Calls are sent on the current connection. While that one is suspected, a
    candidate is opened, which replaces it once the peer has reported on it.
    The peer is then asked what became of the calls on earlier connections.

    ``address`` is the (host, port) that it connects to.

    :param peer: `fleet.Peer` of the other node
    :param make_hello: returns the `hop_messages.Hello` to send first
    :param on_message: called with (peer, message) for each message that
        is neither a result nor the response to a ping
    :param clock: returns monotonic seconds
    :param rng: `random.Random`
    :param meter: `link_meter.LinkMeter` of this VM
    :param budget: `buffer_budget.BufferBudget` that counts the bodies of
        results that arrive
    """

    def __init__(
        self, peer, make_hello, on_message, clock, rng, meter, budget=None
    ):
        self._budget = budget
        self._peer = peer
        self.address = (peer.host, peer.port)
        self._make_hello = make_hello
        self._on_message = on_message
        self._clock = clock
        self._rng = rng
        self._meter = meter
        self._round_trips = link_resumption.RoundTrips()
        self._current = None
        self._candidate = None
        # Connections that were replaced and may still bring results.
        self._replaced = set()
        self._pending = {}
        self._wake = trio.Event()
        self._nursery = None
        self._has_found_silence = False
        self._scope = trio.CancelScope()
        self._is_closed = False

    @property
    def has_calls(self):
        """Whether calls are pending on the link."""
        return bool(self._pending)

    def stop(self):
        """Close the link and do not reopen it."""
        self._end_calls(self._pending.values())
        self._scope.cancel()

    def close(self):
        """Close the link to a peer that is reachable but not needed."""
        self._is_closed = True
        self._peer.is_linked = False
        self._peer.unreachable_since = None
        self.stop()

    def send(self, message):
        """Send a message if the link is open, else drop it."""
        if self._current is not None:
            self._current.frames.send(message)

    async def run(self):
        """Open the link and reopen it after each failure until stopped."""
        with self._scope:
            await supervision.supervise(
                f'link to {self._peer.name}', self._run_connections
            )

    async def _run_connections(self):
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                await self._keep_connected()
        finally:
            self._end_calls(self._pending.values())

    async def _keep_connected(self):
        """Open a connection whenever there is none or it is suspected."""
        delay = MIN_RECONNECT_DELAY_S
        while True:
            if not self._needs_connection():
                await self._wake.wait()
                self._wake = trio.Event()
                if self._current is None:
                    await trio.sleep(self._reconnect_delay_s())
                continue
            stream = await self._connect()
            if stream is not None and not self._needs_connection():
                delay = MIN_RECONNECT_DELAY_S
                await trio.aclose_forcefully(stream)
                continue
            if stream is None or not await self._open(stream):
                self._end_calls(self._uncarried_calls())
                await trio.sleep(delay * (0.5 + self._rng.random()))
                delay = min(MAX_RECONNECT_DELAY_S, delay * 2)
                continue
            delay = MIN_RECONNECT_DELAY_S
            if self._current is None:
                # It was closed unanswered: the peer has ended.
                self._end_calls(self._uncarried_calls())
            if self._needs_connection():
                await trio.sleep(self._reconnect_delay_s())

    def _needs_connection(self):
        return self._current is None or self._current.watch.is_suspected

    def _reconnect_delay_s(self):
        delay_s = MIN_RECONNECT_DELAY_S * self._rng.random()
        return delay_s * (RESUME_DELAY_RATIO if self._pending else 1.0)

    async def _connect(self):
        """Return a stream to the peer, None if it can't be reached."""
        stream = None
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await tcp_streams.open_stream(*self.address)
            set_tcp_user_timeout(stream)
        except Exception as error:
            if not isinstance(error, OSError | trio.TooSlowError):
                self._log_failure(error)
            if stream is not None:
                await trio.aclose_forcefully(stream)
            return None
        return stream

    async def _open(self, stream):
        """Use a new connection; wait until the peer has reported on it.

        :returns: whether it could be used
        """
        frames = frame_streams.FrameStream(
            stream, self._peer.name, self._meter, self._clock
        )
        try:
            hello = self._make_hello()
            frames.is_cross_zone = self._peer.zone not in (
                '',
                hello.report.zone,
            )
            frames.send(hello)
        except Exception as error:
            self._log_failure(error)
            await trio.aclose_forcefully(stream)
            return False
        connection = _Connection(
            hello.connection,
            frames,
            link_resumption.LinkWatch(self._clock(), self._round_trips),
            self._budget,
        )
        if self._current is None:
            self._current = connection
        else:
            self._candidate = connection
        self._nursery.start_soon(self._run_connection, connection)
        with trio.move_on_after(ANSWER_TIMEOUT_S + self._backlog_s()):
            await connection.is_answered.wait()
        if connection is self._candidate:
            self._drop_candidate()
        return True

    def _log_failure(self, error):
        """Log an unexpected error of a connection to the peer."""
        supervision.log_failure(
            'link-failed',
            error,
            'link to {} failed with {} calls pending: {!r}',
            self._peer.name,
            len(self._pending),
            error,
        )

    def _drop_candidate(self):
        candidate, self._candidate = self._candidate, None
        candidate.frames.stop()

    async def _run_connection(self, connection):
        """Use a connection until it ends; then resume its calls."""
        try:
            await connection.frames.run(
                functools.partial(self._handle_message, connection)
            )
        except Exception as error:
            self._log_failure(error)
        finally:
            self._record_end(connection)

    def _record_end(self, connection):
        """Record that a connection has ended."""
        connection.assembler.discard_all()
        self._replaced.discard(connection)
        if connection is self._candidate:
            self._candidate = None
        if connection is self._current:
            self._current, self._candidate = self._candidate, None
            if not self._is_closed and self.address == (
                self._peer.host,
                self._peer.port,
            ):
                self._peer.is_linked = False
                self._peer.unreachable_since = self._clock()
        connection.is_answered.set()
        calls = [
            call
            for call in self._pending.values()
            if call.carrier is connection
        ]
        for call in calls:
            call.carrier = None
        # The peer cannot have started a call without its body.
        self._end_calls(call for call in calls if call.held_body is not None)
        if calls:
            self._nursery.start_soon(
                self._end_unresumed,
                calls,
                RESUME_TIMEOUT_S + self._backlog_s(),
            )
        self._wake.set()

    async def _end_unresumed(self, calls, delay_s):
        """End calls after a time unless the peer has said that they go on."""
        await trio.sleep(delay_s)
        uncarried = [call for call in calls if call.carrier is None]
        self._end_calls(uncarried)
        for connection in self._replaced:
            connection.frames.stop()

    def _uncarried_calls(self):
        return [c for c in self._pending.values() if c.carrier is None]

    def _end_calls(self, calls):
        """End calls whose outcome is unknown, unless they have ended.

        They are cancelled, so that a peer that was frozen does not run them.
        """
        for call in list(calls):
            if self._pending.pop(call.id, None) is not None:
                self._send_about(call, hop_messages.Cancel(call.id))
                call.done.set()

    def _send_about(self, call, message):
        """Send a message on all connections that may be of use to a call."""
        connections = {call.origin, call.carrier, self._current}
        for connection in connections - {None}:
            connection.frames.send(message)

    def _handle_message(self, connection, message):
        """Handle a message from the peer; an error costs only this one."""
        try:
            self._apply_message(connection, message)
        except Exception as error:
            supervision.log_failure(
                'message-failed',
                error,
                'a message {} of node {} failed: {!r}',
                type(message).__name__,
                self._peer.name,
                error,
                id=getattr(message, 'id', None),
            )

    def _apply_message(self, connection, message):
        """Handle a message from the peer."""
        match message:
            case hop_messages.Pong(number):
                connection.watch.record_received(self._clock(), number)
            case _:
                connection.watch.record_received(self._clock())
        if connection is self._current and self._candidate is not None:
            log.logger.bind(event='link-trusted').info(
                'link to {} was slow and is used further', self._peer.name
            )
            self._drop_candidate()
            self._peer.avoided_until = self._clock()
        match message:
            case hop_messages.Result():
                self._complete_call(connection.assembler.add_first(message))
            case hop_messages.Part():
                self._complete_call(connection.assembler.add_part(message))
            case hop_messages.SendBody(id_):
                self._send_held_body(connection, id_)
            case hop_messages.Pong():
                pass
            case hop_messages.Resumed():
                self._settle(connection, message)
            case hop_messages.Report(name=name) if name != self._peer.name:
                # Another node has taken over the address.
                log.logger.warning(
                    'address of node {} is now used by node {}; closing the '
                    'link',
                    self._peer.name,
                    name,
                )
                self._on_message(self._peer, message)
                self.stop()
            case hop_messages.Report():
                if not connection.is_answered.is_set():
                    self._record_answer(connection, message)
                if not self._peer.is_linked:
                    self._peer.is_linked = True
                    self._peer.unreachable_since = None
                self._on_message(self._peer, message)
            case _:
                self._on_message(self._peer, message)

    def _record_answer(self, connection, report):
        """Use a connection on which the peer has reported."""
        # The process that responds on a new connection is the current one.
        # An earlier report may have a higher incarnation, since incarnations
        # come from clocks and clocks can be set back.
        self._peer.accepts_any_report = True
        connection.peer_incarnation = report.incarnation
        if connection.frames.is_cross_zone and report.accepts_compressed:
            connection.frames.start_compression()
        connection.is_answered.set()
        if connection is self._candidate:
            self._candidate = None
            self._replaced.add(self._current)
            self._current = connection
            self._has_found_silence = True
            self._peer.avoided_until = self._clock()
        self._request_outcomes(connection)

    def _request_outcomes(self, connection):
        """Ask on a connection what became of the calls on earlier ones."""
        calls = [c for c in self._pending.values() if c.origin != connection]
        ids_by_origin = collections.defaultdict(list)
        for call in calls:
            # The earlier connection is closed by the request.
            call.carrier = None
            ids_by_origin[call.origin].append(call.id)
        for origin, ids in ids_by_origin.items():
            connection.frames.send(
                hop_messages.Resume(
                    origin.number, origin.peer_incarnation, tuple(ids)
                )
            )
        if calls:
            self._nursery.start_soon(
                self._end_unresumed, calls, self._answer_timeout_s()
            )
        for replaced in self._replaced - ids_by_origin.keys():
            replaced.frames.stop()

    def _answer_timeout_s(self):
        """Return the seconds within which the peer says what became of calls.

        A call on a silent connection waits about as long as it would have
        done for a response to the ping.
        """
        backlog_s = self._backlog_s()
        silent_s = [
            connection.watch.left_s(self._clock(), backlog_s)
            for connection in self._replaced
        ]
        return max(
            MIN_ANSWER_TIMEOUT_S,
            min([RESUME_TIMEOUT_S + backlog_s, *silent_s]),
        )

    def _settle(self, connection, resumed):
        """Apply what the peer says about the calls on an earlier connection.

        An answer on a connection that has been replaced is outdated.
        """
        if connection is not self._current:
            return
        ids = [
            call.id
            for call in self._pending.values()
            if call.origin.number == resumed.connection
            and call.origin is not connection
        ]
        counts = collections.Counter()
        for action in link_resumption.settle(resumed, ids):
            counts[type(action)] += 1
            call = self._pending[action.id]
            match action:
                case link_resumption.Refuse():
                    call.result = _not_handed_on('link-lost')
                    del self._pending[call.id]
                    call.done.set()
                case link_resumption.Await():
                    call.carrier = connection
                    if call.is_withdrawn:
                        connection.frames.send(hop_messages.Withdraw(call.id))
                case link_resumption.Disclaim():
                    self._end_calls([call])
        log.logger.bind(event='link-resumed').info(
            'link to {} was resumed: of {} calls {} had not started, {} go on '
            'or have ended, {} are unknown',
            self._peer.name,
            len(ids),
            counts[link_resumption.Refuse],
            counts[link_resumption.Await],
            counts[link_resumption.Disclaim],
        )
        for replaced in self._replaced:
            if replaced.number == resumed.connection:
                replaced.frames.stop()

    def _send_held_body(self, connection, id_):
        """Send the body of a call unless the call has ended."""
        pending = self._pending.get(id_)
        if pending is None or pending.held_body is None:
            return
        if pending.origin is not connection:
            return
        body, pending.held_body = pending.held_body, None
        connection.frames.send_body(id_, body)

    def _complete_call(self, result):
        """Pass a result to its call; do nothing if it is None."""
        if result is None:
            return
        pending = self._pending.pop(result.id, None)
        if pending is not None:
            pending.result = result
            pending.done.set()

    async def send_call(self, call):
        """Send a call and return its result.

        If the caller is cancelled, the call is cancelled on the other node.
        Shortly before its deadline the call is withdrawn, which ends it only
        if it has not started there.

        :param call: `hop_messages.Call` with an id unique on this node
        :returns: `hop_messages.Result`, None if the link broke before the
            result arrived
        """
        connection = self._current
        if connection is None:
            return _not_handed_on('no-link')
        id_ = call.id
        connection.watch.record_call(self._clock(), not self._pending)
        holds_body = self._holds_body(call)
        pending = self._pending[id_] = _PendingCall(
            id_, connection, call.body if holds_body else None
        )
        remaining_s = call.remaining_ms / 1000
        withdraw_in_s = max(
            remaining_s / 2, remaining_s - WITHDRAW_BEFORE_DEADLINE_S
        )
        try:
            if not self._send_first(connection, call, holds_body):
                return _not_handed_on('internal-error')
            with trio.move_on_after(withdraw_in_s) as pending.withdrawal:
                await pending.done.wait()
            if not pending.done.is_set():
                if pending.held_body is not None:
                    return _not_handed_on('deadline-before-run')
                pending.is_withdrawn = True
                self._send_about(pending, hop_messages.Withdraw(id_))
                await pending.done.wait()
        finally:
            if self._pending.pop(id_, None) is not None:
                self._discard_parts(id_)
                self._send_about(pending, hop_messages.Cancel(id_))
            connection.frames.discard_body(id_)
        if pending.result is None and pending.held_body is not None:
            return _not_handed_on('link-lost')
        return pending.result

    def _send_first(self, connection, call, holds_body):
        """Send a call; return whether the peer may have got it whole."""
        try:
            if holds_body:
                frame_streams.send_without_body(connection.frames, call)
            else:
                frame_streams.send_with_parts(connection.frames, call)
        except Exception as error:
            supervision.log_failure(
                'call-failed',
                error,
                'call {} was not sent to node {}: {!r}',
                call.request_id,
                self._peer.name,
                error,
            )
            return False
        return True

    def withdraw_call(self, id_, in_s):
        """Withdraw a call after a time if it has not ended by then.

        It ends only if it has not started at the peer.

        :param in_s: seconds
        """
        pending = self._pending.get(id_)
        if pending is not None:
            withdrawal = pending.withdrawal
            withdrawal.deadline = min(
                withdrawal.deadline, trio.current_time() + in_s
            )

    def _holds_body(self, call):
        """Return whether the peer's link is too narrow to send the body now.

        The peer then asks for it when its link has room.
        """
        report = self._peer.report
        return report is not None and body_transfers.is_scheduled(
            len(call.body), report.link_rate
        )

    def _discard_parts(self, id_):
        for connection in (self._current, *self._replaced):
            if connection is not None:
                connection.assembler.discard(id_)

    def silence_s(self, now):
        """Return for how long nothing was received on the open link.

        None if the link is not open or is being checked.

        :param now: monotonic seconds
        """
        if self._current is None or self._current.watch.is_pinged:
            return None
        return self._current.watch.silence_s(now)

    def ping(self, now):
        """Send a ping; `check_liveness` acts if there is no response."""
        number = self._current.watch.record_ping(now)
        self._current.frames.send(hop_messages.Ping(number))

    def check_liveness(self, now):
        """Ping the peer of a silent link that calls are pending on.

        If the peer does not respond to a ping in a short time, open another
        connection. If it still has not responded after a longer time, close
        the link.

        :param now: monotonic seconds
        :returns: whether no connection was found to be silent since the last
            time
        """
        if self._current is not None:
            self._carry_out(
                self._current.watch.decide(
                    now,
                    self.has_calls,
                    self._backlog_s(),
                    self._expected_delay_s(now),
                ),
                now,
            )
        has_found_silence, self._has_found_silence = (
            self._has_found_silence,
            False,
        )
        return not has_found_silence

    def _carry_out(self, action, now):
        match action:
            case link_resumption.Ping():
                self.ping(now)
            case link_resumption.Suspect(silence_s):
                log.logger.bind(event='link-suspected').info(
                    'link to {} received nothing for {:.2f} s with {} calls '
                    'pending; opening another connection',
                    self._peer.name,
                    silence_s,
                    len(self._pending),
                )
                self._peer.avoided_until = now + AVOID_SUSPECTED_S
                self._wake.set()
            case link_resumption.GiveUp(silence_s):
                log.logger.bind(event='link-given-up').warning(
                    'link to {} received nothing for {:.1f} s with {} calls '
                    'pending; closing it',
                    self._peer.name,
                    silence_s,
                    len(self._pending),
                )
                self._has_found_silence = True
                self._end_calls(self._pending.values())
                for connection in (self._current, *self._replaced):
                    connection.frames.stop()

    def _backlog_s(self):
        """Return how long other traffic may delay a frame, in seconds.

        On a narrow link, frames are queued behind the bodies of other calls.
        """
        report = self._peer.report
        return link_meter.backlog_delay_s(
            self._meter.rate, report.link_rate if report else 0.0
        )

    def _expected_delay_s(self, now):
        """Return how long other traffic is likely to delay a frame now.

        It depends on how busy the links of both VMs are.

        :param now: monotonic seconds
        """
        utilisation = max(
            self._meter.utilisation(now), self._peer.load.link_utilisation
        )
        return self._backlog_s() * utilisation


def _not_handed_on(code):
    """Return the result of a call that certainly has not run."""
    return hop_messages.Result(
        0, hop_messages.Outcome.NOT_HANDED_ON, code, load=None
    )


def set_tcp_user_timeout(stream):
    """Have the kernel close a connection whose data stays unacknowledged.

    It does so after `TCP_USER_TIMEOUT_MS`.
    """
    stream.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
