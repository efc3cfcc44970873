"""Runs calls at the target on the same VM.

Only the node on its VM connects to a target, so the outcome that it reports
for a call is reliable: not sent to the target, not run according to the
target, unknown, or a response of the target.
"""

import collections
import dataclasses

import trio

from pumicestand import admission_by_room
from pumicestand import coldness
from pumicestand import fingerprints
from pumicestand import hop_messages
from pumicestand import log
from pumicestand import log_throttle
from pumicestand import probing
from pumicestand import rate_limits
from pumicestand import refusals
from pumicestand import response_heads
from pumicestand import shutdown
from pumicestand import target_queue
from pumicestand import targets
from pumicestand import tcp_streams
from pumicestand_node import supervision
from pumicestand_node import target_exchange
from pumicestand_node import target_responses

Outcome = hop_messages.Outcome

MIN_SERVER_ERROR_STATUS = 500
MISDIRECTED_STATUS = 421
# Code of calls that are refused since the target's zone is evacuated.
EVACUATED = 'zone-evacuated'
STOPPING = refusals.CallCode.STOPPING.value
# Code of calls for which there is no room.
OVERLOADED = 'overloaded'
# Code of calls that ended with an error which nobody expected.
INTERNAL_ERROR = 'internal-error'
# Seconds for which no call is sent after the target refused a connection or
# said that a call was meant for another instance. The target comes back after
# some seconds or not at all.
UNREACHABLE_PAUSE_S = 0.3
# A request on a connection that the target had closed before is reset within
# this time; a round trip on one VM takes less than a millisecond.
STALE_RESET_WITHIN_S = 0.02
# Weight of one response in the moving average of failures.
FAILURE_RATIO_WEIGHT = 0.04
# Least time between two checks of whether the rate lets a call start.
MIN_RATE_WAIT_S = 0.001
# Period at which a call that waits for a slot checks whether the rate lets it
# start, while there is a rate.
PACED_CHECK_S = 0.05
# Calls without an answer that are remembered as those that the target may run.
MAX_ABANDONED_CALLS = 1024
# The deadline sent to the target is earlier by this much, so that its response
# arrives before the call is given up.
DEADLINE_MARGIN_MS = 5


class TargetCalls:
    """Queues calls for the target on this VM and sends them to it.

    ``counts`` holds the number of calls by (outcome, code). While
    ``is_closed`` is true, calls are refused because the node is stopping.
    ``on_leaving`` is called when the target has said that it is leaving.
    ``cold_periods`` is the number of times that the target turned cold.

    :param target_watch: the `targets.TargetWatch`
    :param suspects: the `suspects.Suspects`
    :param headers: the `call_headers.CallHeaders`
    :param clock: returns monotonic seconds
    :param on_change: called when the load must be reported immediately
    :param connect: coroutine function from host and port to a stream
    :param find_service: returns the `documents.Service` of a name, or None
    :param budget: `buffer_budget.BufferBudget` that counts the responses that
        are being read
    """

    def __init__(
        self,
        target_watch,
        suspects,
        headers,
        clock,
        on_change,
        connect=tcp_streams.open_stream,
        find_service=lambda name: None,
        budget=None,
    ):
        self._target_watch = target_watch
        self._find_service = find_service
        self._suspects = suspects
        self._target_start = None
        self._headers = headers
        self._clock = clock
        self._on_change = on_change
        self._queue = target_queue.TargetQueue()
        self._pool = target_exchange.TargetPool(clock, connect, budget)
        self._shortage_throttle = log_throttle.LogThrottle()
        # Ticket number to [event, whether the call may run].
        self._waiters = {}
        # Ticket of each waiting call by the identity of its object: clients
        # may use a request id twice.
        self._waiting_tickets = {}
        # (route, version) to `hop_messages.Evidence`.
        self._evidence = {}
        # Id to the call started last with it, and to how many such calls run:
        # the parent of nested calls may run twice at once.
        self._running_calls = {}
        self._running_counts = collections.Counter()
        # Id to (call, deadline) of calls that ended here without an answer:
        # the target may go on with them until then.
        self._abandoned_calls = {}
        # Ids of the running calls of which a nested call has failed.
        self._nested_failures = set()
        self._unreachable_until = 0.0
        self._failure_ratio = 0.0
        self._slowness = target_queue.SlownessEstimator()
        self._call_observer = admission_by_room.CallObserver()
        self._limit = None
        self._invalid_limit = None
        self._coldness = coldness.Coldness()
        # Rate and end of the cold time as the queue knows them.
        self._cold_limit = (None, 0.0)
        self._is_cold = False
        self._is_evacuated = False
        self._targets_end_at = float('inf')
        self.cold_periods = 0
        self.is_closed = False
        self.on_leaving = None
        self.counts = collections.Counter()

    @property
    def in_flight(self):
        """Number of calls that run at the target or wait for a slot."""
        return self._queue.running + self._queue.queued

    @property
    def connections_opened(self):
        """Number of connections opened to the target so far."""
        return self._pool.opened_count

    @property
    def repeated_calls(self):
        """Number of calls whose id an idle connection had carried."""
        return self._pool.repeated_count

    @property
    def limit(self):
        """The target's rate limit in calls a second, None if it has none."""
        return self._limit

    @property
    def is_cold(self):
        """Whether calls are paced as the target is or may be cold."""
        return self._is_cold

    @property
    def evidence(self):
        """The `hop_messages.Evidence` of each route and version."""
        return tuple(self._evidence.values())

    def finish_by(self, targets_end_at):
        """Have the target end further calls in time for the node's stop.

        :param targets_end_at: monotonic seconds
        """
        self._targets_end_at = targets_end_at

    def refuse_all(self):
        """Refuse the calls that wait, and all later ones, as the node stops.

        Other nodes may still run them in time. Calls that run go on.
        """
        self.is_closed = True
        self._refuse_waiting()

    def _refuse_waiting(self):
        for ticket in self._queue.refuse_all():
            self._resume_waiter(ticket, False)

    def find_running(self, request_id):
        """Return the call with this id if the target may run it, or None.

        Some targets finish what they have begun although the client has left.
        """
        call = self._running_calls.get(request_id)
        if call is not None:
            return call
        call, deadline = self._abandoned_calls.get(request_id, (None, 0.0))
        return call if self._clock() < deadline else None

    def load(self):
        """Return the `hop_messages.Load` of the target.

        It has no slots while calls are refused.
        """
        queue = self._queue
        slots = queue.usable_slots
        if self._refusal_code() is not None:
            slots = 0
        now = self._clock()
        load = hop_messages.Load(
            running=queue.running,
            queued=queue.queued,
            slots=slots,
            work_ms=queue.mean_work_s * 1000,
            failure_ratio=self._failure_ratio,
            slowness=self._slowness.slowness(now),
        )
        return self._call_observer.add_to(load, now)

    def record_nested(self, service):
        """Record that the target makes a nested call to a service."""
        self._call_observer.record_nested(service, self._clock())

    def record_nested_failure(self, request_id):
        """Record that a nested call of a running call has failed.

        What becomes of the running call then says nothing of its target.
        """
        if request_id in self._running_calls:
            self._nested_failures.add(request_id)

    def on_heartbeat(self, heartbeat):
        """Apply what a heartbeat says of the target's coldness.

        It has been applied to the target watch before, if that accepts it.

        :param heartbeat: `targets.Heartbeat`
        """
        target = heartbeat.target
        self._coldness.record_heartbeat(
            coldness.Statement(
                target.instance, target.started_ms, heartbeat.warm_up_left_s
            ),
            self._target_watch.heartbeat is heartbeat,
            self._clock(),
        )
        self.update_coldness()

    def update_coldness(self):
        """Pace calls while the target is cold, and no longer than that.

        Called before each decision and periodically.
        """
        target = self._target_watch.target
        service = self._find_service(target.service) if target else None
        self._coldness.set_service(service)
        if not self._coldness.cold_rate and self._cold_limit[0] is None:
            return
        now = self._clock()
        rate = self._coldness.cold_rate or None
        limit = (rate, self._coldness.cold_until(now))
        is_cold = rate is not None and now < limit[1]
        if limit == self._cold_limit and is_cold == self._is_cold:
            return
        self._cold_limit = limit
        for ticket in self._queue.set_cold_limit(*limit, now):
            self._resume_waiter(ticket, False)
        if is_cold != self._is_cold:
            self._set_cold(is_cold, rate)

    def set_evacuated(self, is_evacuated):
        """Set whether the availability zone of the target is evacuated.

        Calls that wait are refused then; calls that run go on.
        """
        self._is_evacuated = is_evacuated
        if is_evacuated:
            self._refuse_waiting()
        self._on_change()

    def _set_cold(self, is_cold, rate):
        self._is_cold = is_cold
        self.cold_periods += is_cold
        log.logger.bind(event='target-cold').info(
            'target {} is cold, at most {} calls start in a second'
            if is_cold
            else 'target {} is warm',
            self._target_watch.target.instance,
            rate,
        )
        if not is_cold:
            self._dispatch()
        self._on_change()

    def on_target_changed(self):
        """Apply a change of the target's state.

        If the target has started anew, the previous one is taken to have
        crashed.
        """
        target = self._target_watch.target
        if target is None:
            return
        target_start = (target.instance, target.started_ms)
        if self._target_start not in (None, target_start):
            self._record_crash(target)
            self._limit = None
            self._set_rate_limit(None)
        self._target_start = target_start
        self._queue.set_slots(target.slots)
        self._unreachable_until = 0.0
        if not target.is_leaving:
            return
        self._refuse_waiting()

    def _refusal_code(self):
        target = self._target_watch.target
        if target is None:
            return 'no-target'
        if target.is_leaving:
            return 'target-leaving'
        if self.is_closed:
            return STOPPING
        if self._is_evacuated:
            return EVACUATED
        if self._clock() < self._unreachable_until:
            return 'target-unreachable'
        return None

    def _mismatch_code(self, call):
        target = self._target_watch.target
        if target.service != call.service:
            return 'other-service'
        if call.version and target.version != call.version:
            return 'other-version'
        if call.instance and target.instance != call.instance:
            return 'other-instance'
        if self._suspects.has_any and self._suspects.is_refused(
            fingerprints.call_fingerprint(call)
        ):
            return refusals.CallCode.QUARANTINED.value
        return None

    def _stop_code(self, call, now, arrival_s=0.0):
        """Return the code of a call for which the stop leaves no time.

        :param arrival_s: seconds until its body has arrived
        """
        may_finish = shutdown.may_finish(
            now + arrival_s,
            now + call.remaining_ms / 1000,
            self._queue.route_work_s(call.route),
            self._targets_end_at,
        )
        return None if may_finish else STOPPING

    def _make_result(self, call, outcome, code, retry_after_s=0.0):
        self.counts[(outcome.name.lower(), code)] += 1
        return hop_messages.Result(
            id=call.id,
            outcome=outcome,
            code=code,
            retry_after_ms=int(retry_after_s * 1000),
            load=self.load(),
        )

    async def run(self, call):
        """Run a call at the target and return its `hop_messages.Result`.

        An error that nobody expected costs this call alone.
        """
        ticket = None
        try:
            match await self._admit(call):
                case hop_messages.Result() as refusal:
                    return refusal
                case admitted:
                    ticket = admitted
            return await self._run_in_slot(call, ticket)
        except Exception as error:
            supervision.log_failure(
                'call-failed',
                error,
                'call {} for the target failed: {!r}',
                call.request_id,
                error,
            )
        may_have_run = ticket is not None and ticket.may_be_sent
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_HANDED_ON
        return self._make_result(call, outcome, INTERNAL_ERROR)

    async def _admit(self, call):
        """Wait for a slot; return the call's ticket, or a result without."""
        self.update_coldness()
        now = self._clock()
        code = (
            self._refusal_code()
            or self._mismatch_code(call)
            or self._stop_code(call, now)
        )
        if code is not None:
            return self._make_result(call, Outcome.NOT_HANDED_ON, code)
        if not call.is_nested:
            self._call_observer.record_client(
                call.priority, call.objective_remaining_ms, now
            )
        ticket = self._make_ticket(call, now)
        match self._queue.offer(ticket, now):
            case target_queue.Refuse() if call.is_probe:
                return self._make_result(
                    call, Outcome.NOT_HANDED_ON, probing.BUSY_CODE
                )
            case target_queue.Refuse(retry_after_s):
                self._record_shortage(call, now)
                return self._make_result(
                    call, Outcome.NOT_HANDED_ON, OVERLOADED, retry_after_s
                )
            case target_queue.Wait():
                self._waiting_tickets[id(call)] = ticket
                try:
                    has_slot = await self._wait_for_slot(ticket)
                finally:
                    del self._waiting_tickets[id(call)]
                if not has_slot:
                    return self._refuse_waited(call, ticket)
        return ticket

    def _record_shortage(self, call, now):
        """Record that a call got no room, if it could have been in time."""
        if not call.is_nested and not call.is_client_retry:
            self._call_observer.record_refused(call.priority, now)

    def refuse_before_body(self, call, arrival_s):
        """Return the result that refuses a call, or None to take its body.

        :param call: `hop_messages.Call` whose body has not arrived
        :param arrival_s: seconds until the body is expected to have arrived
        """
        now = self._clock()
        code = (
            self._refusal_code()
            or self._mismatch_code(call)
            or self._stop_code(call, now, arrival_s)
        )
        if code is not None:
            return self._make_result(call, Outcome.NOT_HANDED_ON, code)
        refusal = self._queue.refuse_late(
            self._make_ticket(call, now), now, arrival_s
        )
        if refusal is None:
            return None
        return self._make_result(
            call, Outcome.NOT_HANDED_ON, OVERLOADED, refusal.retry_after
        )

    def latest_arrival(self, call):
        """Return when the body of a call must have arrived to be in time.

        :returns: monotonic seconds
        """
        return self._queue.overdue_at(self._make_ticket(call, self._clock()))

    def refuse_overdue(self, call):
        """Return the result that refuses a call whose body is too late."""
        return self._make_result(call, Outcome.NOT_HANDED_ON, 'waited-in-vain')

    def withdraw(self, call):
        """Refuse a call now if it still waits for a slot."""
        ticket = self._waiting_tickets.get(id(call))
        # A call that has been given a slot is about to run.
        if ticket is not None and ticket.started_at is None:
            self._queue.cancel(ticket)
            self._resume_waiter(ticket, False)

    def _refuse_waited(self, call, ticket):
        """Return the result of a call that waited in vain."""
        if self._is_evacuated:
            return self._make_result(call, Outcome.NOT_HANDED_ON, EVACUATED)
        if self.is_closed:
            return self._make_result(call, Outcome.NOT_HANDED_ON, STOPPING)
        self._record_shortage(call, self._clock())
        retry_after_s = 0.0
        if self._is_cold:
            retry_after_s = self._queue.retry_after_s(ticket, self._clock())
        return self._make_result(
            call, Outcome.NOT_HANDED_ON, 'waited-in-vain', retry_after_s
        )

    async def _wait_for_slot(self, ticket):
        """Wait for a slot and return whether the call may run."""
        event = trio.Event()
        waiter = self._waiters[ticket.number] = [event, False]
        try:
            while not event.is_set():
                now = self._clock()
                left_s = self._queue.overdue_at(ticket) - now
                if left_s <= 0:
                    break
                rate_wait_s = self._queue.wait_for_rate_s(ticket, now)
                if rate_wait_s > 0:
                    left_s = min(left_s, max(MIN_RATE_WAIT_S, rate_wait_s))
                elif self._queue.is_paced:
                    # When a slot gets free, the rate may let nobody start.
                    left_s = min(left_s, PACED_CHECK_S)
                with trio.move_on_after(left_s):
                    await event.wait()
                self._dispatch()
            if not waiter[1]:
                self._queue.cancel(ticket)
        except BaseException:
            self._queue.cancel(ticket)
            if waiter[1]:
                self._release_slot(ticket, False)
            raise
        finally:
            self._waiters.pop(ticket.number, None)
        return waiter[1]

    def _resume_waiter(self, ticket, may_run):
        waiter = self._waiters.get(ticket.number)
        if waiter is not None:
            waiter[1] = may_run
            waiter[0].set()

    def _release_slot(self, ticket, is_answered):
        self._queue.finish(ticket, self._clock(), is_answered)
        self._dispatch()

    def _dispatch(self):
        """Start the waiting calls that may start now."""
        self.update_coldness()
        started, refused = self._queue.dispatch(self._clock())
        for other in started:
            self._resume_waiter(other, True)
        for other in refused:
            self._resume_waiter(other, False)

    async def _run_in_slot(self, call, ticket):
        is_answered = False
        try:
            code = self._refusal_code() or self._mismatch_code(call)
            if code is None:
                result = await self._run_at_target(call, ticket)
                is_answered = result.outcome is Outcome.ANSWERED
        finally:
            self._release_slot(ticket, is_answered)
        if code is not None:
            # The target changed while the call waited.
            return self._make_result(call, Outcome.NOT_HANDED_ON, code)
        # The slot has been released, so the load has changed.
        result.load = self.load()
        return result

    async def _run_at_target(self, call, ticket):
        """Send the call, and keep account of those that the target may run."""
        may_go_on = True
        self._running_calls[call.request_id] = call
        self._running_counts[call.request_id] += 1
        try:
            result = await self._exchange(call, ticket)
            may_go_on = result.outcome is Outcome.UNKNOWN
        finally:
            self._record_end(call)
            if may_go_on:
                self._abandon(call, ticket.deadline)
        return result

    def _record_end(self, call):
        """Record that a call no longer runs, unless others have its id."""
        self._running_counts[call.request_id] -= 1
        if not self._running_counts[call.request_id]:
            del self._running_counts[call.request_id]
            self._running_calls.pop(call.request_id, None)
            self._nested_failures.discard(call.request_id)

    def _abandon(self, call, deadline):
        """Remember a call that the target may run until its deadline."""
        now = self._clock()
        for id_, (_, ends_at) in list(self._abandoned_calls.items()):
            if now < ends_at and (
                len(self._abandoned_calls) < MAX_ABANDONED_CALLS
            ):
                break
            del self._abandoned_calls[id_]
        # It may be remembered for long after its body is counted no more.
        kept = dataclasses.replace(call, body=b'', headers=b'')
        self._abandoned_calls[call.request_id] = (kept, deadline)

    async def _exchange(self, call, ticket):
        target = self._target_watch.target
        address = (target.host, target.port)
        connection = None
        is_released = False
        try:
            connection = await self._pool.acquire(*address, call.request_id)
            remaining_s = ticket.deadline - self._clock()
            if remaining_s <= 0:
                await self._pool.close_idle()
                return self._make_result(
                    call, Outcome.NOT_HANDED_ON, 'deadline-before-run'
                )
            if self._is_evacuated:
                # The zone was evacuated while the node connected.
                return self._make_result(
                    call, Outcome.NOT_HANDED_ON, EVACUATED
                )
            head = self._format_request_head(call, target, remaining_s)
            sent_at = self._clock()
            ticket.may_be_sent = True
            response = await connection.exchange(
                head, call.body, self._make_response_matcher(call, connection)
            )
            is_released = True
            await self._pool.release(connection, response, address)
            return self._evaluate_response(call, ticket, target, response)
        except target_exchange.ExchangeError as error:
            ticket.may_be_sent = error.may_be_sent
            if connection is not None and connection.is_stale:
                self._record_stale_connection(connection, target, sent_at)
            return self._handle_exchange_error(call, target, error)
        finally:
            if connection is not None and not is_released:
                await connection.close()

    def _make_response_matcher(self, call, connection):
        """Return a function that tells whether a response is for the call."""
        name = self._headers.request_id
        expected = call.request_id.encode('latin-1')
        # A response without an id can't be matched. On a reused connection it
        # may be a late copy of one to an earlier call.
        accepted = (
            (None, expected) if connection.idle_s is None else (expected,)
        )

        def is_matching(response):
            id_ = response.header(name)
            if id_ in accepted:
                response.body = [b''.join(response.body)]
                if response_heads.holds_response(response.body[0], name) or (
                    response.has_surplus
                    and response_heads.may_end_in_response(response.body[0])
                ):
                    raise target_exchange.ExchangeError(
                        'a response began in the body', True
                    )
                return True
            log.logger.bind(event='foreign-response').warning(
                'target sent a response with status {} to {!r} on the '
                'connection of call {}; it is ignored',
                response.status,
                id_,
                call.request_id,
            )
            return False

        return is_matching

    def _format_request_head(self, call, target, remaining_s):
        header_names = self._headers
        remaining_ms = max(1, int(remaining_s * 1000) - DEADLINE_MARGIN_MS)
        parts = [
            call.method.encode(),
            b' ',
            call.url,
            b' HTTP/1.1\r\n',
            call.headers,
            header_names.deadline_ms + b': %d\r\n' % remaining_ms,
            header_names.expected_instance + b': ' + target.instance.encode(),
            b'\r\n',
        ]
        if call.body or call.method not in ('GET', 'HEAD'):
            parts.append(b'content-length: %d\r\n' % len(call.body))
        parts.append(b'\r\n')
        return b''.join(parts)

    def _set_rate_limit(self, limit):
        for ticket in self._queue.set_rate_limit(limit, self._clock()):
            self._resume_waiter(ticket, False)

    def _read_condition(self, target, response):
        """Read what the target says of itself in a response of its own.

        A response of an earlier start of the target says nothing of this one.
        """
        header_names = self._headers
        if (target.instance, target.started_ms) != self._target_start or (
            response.header(header_names.stamp) is None
            and response.header(header_names.not_run) is None
        ):
            return
        self._read_limit(target, response.header(header_names.limit))
        self._read_cold_time(target, response.header(header_names.cold_ms))
        if response.header(header_names.leaving) in (None, b'', b'0'):
            return
        leaving = targets.Leaving(target.instance, target.started_ms)
        if not self._target_watch.apply(leaving, self._clock()):
            return
        self.on_target_changed()
        if self.on_leaving is not None:
            self.on_leaving()

    def _read_limit(self, target, value):
        """Apply the rate limit that the target advertises.

        :param value: value of the header, None if there is none
        """
        limit = None if value is None else rate_limits.parse_rate(value)
        if value is not None and limit is None:
            if value != self._invalid_limit:
                self._invalid_limit = value
                log.logger.bind(event='target-limit').warning(
                    'target {} advertises the invalid rate limit {!r}, '
                    'ignored',
                    target.instance,
                    value,
                )
            return
        previous, self._limit = self._limit, limit
        if limit != previous:
            self._set_rate_limit(limit)
        if not rate_limits.is_change(previous, limit):
            return
        log.logger.bind(event='target-limit').info(
            'rate limit of target {} is {} calls a second, before {}',
            target.instance,
            'unlimited' if limit is None else limit,
            'unlimited' if previous is None else previous,
        )
        self._on_change()

    def _read_cold_time(self, target, value):
        """Apply the time for which the target says that it stays cold.

        :param value: value of the header, None if there is none
        """
        cold_s = None if value is None else coldness.parse_cold_s(value)
        if cold_s is None:
            return
        self._coldness.record_statement(
            coldness.Statement(target.instance, target.started_ms, cold_s),
            self._clock(),
        )
        self.update_coldness()

    def _is_refusal(self, response):
        """Return whether the target says that it has not run the call."""
        return (
            response.header(self._headers.not_run) is not None
            or response.status == MISDIRECTED_STATUS
        )

    def _evaluate_response(self, call, ticket, target, response):
        header_names = self._headers
        self._coldness.record_response(ticket.started_at, self._clock())
        self._read_condition(target, response)
        if self._is_refusal(response):
            self._update_failure_ratio(1.0)
            if response.status == MISDIRECTED_STATUS:
                self._unreachable_until = self._clock() + UNREACHABLE_PAUSE_S
                self._on_change()
            return self._make_result(call, Outcome.NOT_RUN, 'target-refused')
        is_success = 200 <= response.status < 300
        if is_success and (
            response.header(header_names.stamp) is None
            or response.header(header_names.request_id) is None
        ):
            self._update_failure_ratio(1.0)
            self._add_evidence(call, target, True, None)
            return self._make_result(call, Outcome.UNKNOWN, 'answer-invalid')
        work_s = self._clock() - ticket.started_at
        is_error = response.status >= MIN_SERVER_ERROR_STATUS
        self._update_failure_ratio(1.0 if is_error else 0.0)
        self._add_evidence(call, target, is_error, work_s)
        if self._suspects.has_any and self._suspects.record_answer(
            fingerprints.call_fingerprint(call), self._clock()
        ):
            self._on_change()
        if not is_error:
            self._slowness.record_call(
                work_s * 1000, call.expected_ms, self._clock()
            )
        self.counts[('answered', '')] += 1
        return hop_messages.Result(
            id=call.id,
            outcome=Outcome.ANSWERED,
            status=response.status,
            reason=response.reason,
            headers=target_responses.format_response_headers(response),
            body=b''.join(response.body),
            work_ms=work_s * 1000,
        )

    def _handle_exchange_error(self, call, target, error):
        if error.is_shortage:
            # The target may be sound, and other nodes may have room.
            self._log_shortage(call, target, error)
            return self._make_result(
                call, Outcome.NOT_HANDED_ON, 'connection-shortage'
            )
        if not error.may_be_sent:
            self._unreachable_until = self._clock() + UNREACHABLE_PAUSE_S
            self._on_change()
            log.logger.bind(event='target-unreachable').warning(
                'target {} at {}:{} is unreachable: {}',
                target.instance,
                target.host,
                target.port,
                error,
            )
            self._coldness.record_refused_connection(self._clock())
            self.update_coldness()
            self._record_crash(target)
            return self._make_result(
                call, Outcome.NOT_HANDED_ON, 'connect-failed'
            )
        log.logger.bind(event='response-lost').warning(
            'target {} gave no response to call {}: {}',
            target.instance,
            call.request_id,
            error,
        )
        self._update_failure_ratio(1.0)
        self._add_evidence(call, target, True, None)
        self._suspects.record_lost(
            fingerprints.call_fingerprint(call), self._clock()
        )
        return self._make_result(call, Outcome.UNKNOWN, 'answer-lost')

    def _log_shortage(self, call, target, error):
        """Log a call that was not sent, unless a line came shortly before."""
        count = self._shortage_throttle.count(self._clock())
        if not count:
            return
        log.logger.bind(event='connection-shortage', count=count).warning(
            'call {} was not sent to target {} for want of resources on '
            'this VM, {} calls since the last such line: {}',
            call.request_id,
            target.instance,
            count,
            error,
        )

    def _record_crash(self, target):
        """Count a crash for each request whose response was lost with it."""
        fingerprints = self._suspects.record_crash(self._clock())
        if not fingerprints:
            return
        self._on_change()
        log.logger.bind(event='target-crashed').warning(
            'target {} crashed while {} calls ran, with fingerprints {}',
            target.instance,
            len(fingerprints),
            ' '.join(f'{fingerprint:016x}' for fingerprint in fingerprints),
        )

    def _record_stale_connection(self, connection, target, sent_at):
        if self._clock() - sent_at > STALE_RESET_WITHIN_S:
            # The target had started the call, so it lost the response.
            return
        max_idle_s = self._pool.record_stale(connection)
        log.logger.bind(event='connection-forgotten').warning(
            'target {} had closed a connection that was idle for {:.2f} s; '
            'connections are now reused only within {:.2f} s',
            target.instance,
            connection.idle_s,
            max_idle_s,
        )

    def _update_failure_ratio(self, value):
        self._failure_ratio += FAILURE_RATIO_WEIGHT * (
            value - self._failure_ratio
        )

    def _add_evidence(self, call, target, is_error, work_s):
        """Add a call to the evidence on the target's version.

        :param work_s: time of the call at the target, None if it is unknown
        """
        if call.request_id in self._nested_failures:
            return
        key = (call.route, target.version)
        previous = self._evidence.get(key)
        if previous is None:
            previous = hop_messages.Evidence(call.route, target.version)
        is_timed = (
            work_s is not None
            and self._clock() >= self._target_watch.warm_up_until
        )
        self._evidence[key] = dataclasses.replace(
            previous,
            calls=previous.calls + 1,
            errors=previous.errors + is_error,
            timed_calls=previous.timed_calls + is_timed,
            work_ms=previous.work_ms + (work_s * 1000 if is_timed else 0.0),
        )

    def _make_ticket(self, call, now):
        """Return the `target_queue.Ticket` of a call that has arrived now."""
        deadline = now + call.remaining_ms / 1000
        return target_queue.Ticket(
            priority=call.priority,
            is_nested=call.is_nested,
            is_client_retry=call.is_client_retry,
            deadline=min(deadline, self._targets_end_at),
            objective_at=now + call.objective_remaining_ms / 1000,
            route=call.route,
            is_probe=call.is_probe,
            organisation=call.organisation,
        )

    async def close(self):
        """Close the idle connections to the target."""
        await self._pool.close_idle()
