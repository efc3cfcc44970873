"""Carries calls to the target beside this node.

Only this node reaches the target, so what it says of a call is the truth:
not handed on, not run by the target's word, unknown, or answered.
"""

import collections
import dataclasses

import loguru
import trio

from pumicestand import hop_messages
from pumicestand import messages
from pumicestand import quarantine
from pumicestand import refusals
from pumicestand import target_queue
from pumicestand_node import target_exchange

Outcome = hop_messages.Outcome

SERVER_ERROR = 500
MISDIRECTED = 421
# Seconds for which no call is tried after the target refused a connection;
# it is back after some seconds or never.
UNREACHABLE_S = 0.3
# Time within which a target resets a connection that it has forgotten; the
# way on one VM takes less than a millisecond.
FORGOTTEN_WITHIN_S = 0.02
# Weight of one answer in the fraction of failures.
FAILURE_WEIGHT = 0.04
# What the target is told to stop at lies this much before the deadline.
DEADLINE_MARGIN_MS = 5


class TargetCalls:
    """The way to the target beside this node.

    :param watch: the `targets.TargetWatch`
    :param suspects: the `suspects.Suspects`
    :param headers: the `call_headers.CallHeaders`
    :param clock: returns monotonic seconds
    :param on_change: called when the load should be reported at once
    :param connect: coroutine function from host and port to a stream
    """

    def __init__(
        self,
        watch,
        suspects,
        headers,
        clock,
        on_change,
        connect=trio.open_tcp_stream,
    ):
        self._watch = watch
        self._suspects = suspects
        self._start = None
        self._headers = headers
        self._clock = clock
        self._on_change = on_change
        self._queue = target_queue.TargetQueue()
        self._pool = target_exchange.TargetPool(clock, connect)
        self._waiters = {}
        self._evidence = {}
        self._running = {}
        self._unreachable_until = 0.0
        self._failing = 0.0
        self._pace = target_queue.SlownessEstimator()
        self.is_closed = False
        self.counts = collections.Counter()

    @property
    def in_flight(self):
        """Calls that run or wait here."""
        return self._queue.running + self._queue.queued

    @property
    def connections_opened(self):
        """Connections opened to the target so far."""
        return self._pool.opened

    @property
    def evidence(self):
        """What was counted for roll-outs."""
        return tuple(self._evidence.values())

    def find_running(self, request_id):
        """Return the call of an id if it runs at the target, else None."""
        return self._running.get(request_id)

    def load(self):
        """Return the `hop_messages.Load`."""
        queue = self._queue
        slots = queue.slots
        if self._refusal_code() is not None:
            slots = 0
        return hop_messages.Load(
            running=queue.running,
            queued=queue.queued,
            slots=slots,
            work_ms=queue.mean_work_s * 1000,
            failure_ratio=self._failing,
            slowness=self._pace.slowness(self._clock()),
        )

    def on_target_changed(self):
        """Take in a change of the target's state."""
        target = self._watch.target
        if target is None:
            return
        start = (target.instance, target.started_ms)
        if self._start not in (None, start):
            self._note_crash(target)
        self._start = start
        self._queue.set_slots(target.slots)
        self._unreachable_until = 0.0
        if target.state is messages.TargetState.SERVING:
            return
        for ticket in self._queue.refuse_all():
            self._wake(ticket, False)

    def _refusal_code(self):
        target = self._watch.target
        if target is None:
            return 'no-target'
        if target.state is not messages.TargetState.SERVING:
            return 'target-leaving'
        if self.is_closed:
            return 'stopping'
        if self._clock() < self._unreachable_until:
            return 'target-unreachable'
        return None

    def _mismatch(self, call):
        target = self._watch.target
        if target.service != call.service:
            return 'other-service'
        if call.version and target.version != call.version:
            return 'other-version'
        if call.instance and target.instance != call.instance:
            return 'other-instance'
        if self._suspects.has_any and self._suspects.is_refused(
            quarantine.call_fingerprint(call)
        ):
            return refusals.CallCode.QUARANTINED.value
        return None

    def _result(self, call, outcome, code, retry_after=0.0):
        self.counts[(outcome.name.lower(), code)] += 1
        return hop_messages.Result(
            id=call.id,
            outcome=outcome,
            code=code,
            retry_after_ms=int(retry_after * 1000),
            load=self.load(),
        )

    async def run(self, call):
        """Carry out a call; return its `hop_messages.Result`."""
        now = self._clock()
        code = self._refusal_code() or self._mismatch(call)
        if code is not None:
            return self._result(call, Outcome.NOT_HANDED_ON, code)
        ticket = target_queue.Ticket(
            priority=call.priority,
            is_nested=call.is_nested,
            is_client_retry=call.is_client_retry,
            deadline=now + call.remaining_ms / 1000,
            objective_at=now + call.objective_ms / 1000,
            route=call.route,
        )
        match self._queue.offer(ticket, now):
            case target_queue.Refuse(retry_after):
                return self._result(
                    call, Outcome.NOT_HANDED_ON, 'overloaded', retry_after
                )
            case target_queue.Wait():
                if not await self._wait(ticket):
                    return self._result(
                        call, Outcome.NOT_HANDED_ON, 'waited-in-vain'
                    )
        return await self._run_started(call, ticket)

    async def _wait(self, ticket):
        """Wait for a slot; return whether the call may run."""
        event = trio.Event()
        entry = self._waiters[ticket.number] = [event, False]
        try:
            await event.wait()
        except trio.Cancelled:
            self._queue.cancel(ticket)
            if entry[1]:
                self._end(ticket, False)
            raise
        finally:
            self._waiters.pop(ticket.number, None)
        return entry[1]

    def _wake(self, ticket, may_run):
        entry = self._waiters.get(ticket.number)
        if entry is not None:
            entry[1] = may_run
            entry[0].set()

    def _end(self, ticket, is_answered):
        now = self._clock()
        self._queue.finish(ticket, now, is_answered)
        started, refused = self._queue.dispatch(now)
        for other in started:
            self._wake(other, True)
        for other in refused:
            self._wake(other, False)

    async def _run_started(self, call, ticket):
        code = self._refusal_code() or self._mismatch(call)
        if code is not None:
            # The target changed while the call waited.
            self._end(ticket, False)
            return self._result(call, Outcome.NOT_HANDED_ON, code)
        is_answered = False
        self._running[call.request_id] = call
        try:
            result = await self._exchange(call, ticket)
            is_answered = result.outcome is Outcome.ANSWERED
        finally:
            self._running.pop(call.request_id, None)
            self._end(ticket, is_answered)
        # The slot is free by now, and the next call may have it.
        result.load = self.load()
        return result

    async def _exchange(self, call, ticket):
        target = self._watch.target
        address = (target.host, target.port)
        connection = None
        is_kept = False
        try:
            connection = await self._pool.acquire(*address)
            left = ticket.deadline - self._clock()
            if left <= 0:
                await self._pool.close_idle()
                return self._result(
                    call, Outcome.NOT_HANDED_ON, 'deadline-before-run'
                )
            head = self._request_head(call, target, left)
            sent_at = self._clock()
            answer = await connection.exchange(
                head, call.body, self._is_own(call)
            )
            is_kept = True
            await self._pool.release(connection, answer, address)
            return self._judge(call, ticket, target, answer)
        except target_exchange.ExchangeError as error:
            if connection is not None and connection.was_forgotten:
                self._note_forgotten(connection, target, sent_at)
            return self._failed(call, target, error)
        finally:
            if connection is not None and not is_kept:
                await connection.close()

    def _is_own(self, call):
        """Return a test whether an answer belongs to a call."""
        name = self._headers.request_id
        expected = call.request_id.encode('latin-1')

        def is_own(answer):
            # Without an id it can't be told; a success never lacks one.
            return answer.header(name) in (None, expected)

        return is_own

    def _request_head(self, call, target, left):
        names = self._headers
        left_ms = max(1, int(left * 1000) - DEADLINE_MARGIN_MS)
        parts = [
            call.method.encode(),
            b' ',
            call.url,
            b' HTTP/1.1\r\n',
            call.headers,
            names.deadline_ms + b': %d\r\n' % left_ms,
            names.expected_instance + b': ' + target.instance.encode(),
            b'\r\n',
        ]
        if call.body or call.method not in ('GET', 'HEAD'):
            parts.append(b'content-length: %d\r\n' % len(call.body))
        parts.append(b'\r\n')
        return b''.join(parts)

    def _judge(self, call, ticket, target, answer):
        names = self._headers
        if (
            answer.header(names.not_run) is not None
            or answer.status == MISDIRECTED
        ):
            self._note_failure(1.0)
            if answer.status == MISDIRECTED:
                self._unreachable_until = self._clock() + UNREACHABLE_S
                self._on_change()
            return self._result(call, Outcome.NOT_RUN, 'target-refused')
        is_success = 200 <= answer.status < 300
        if is_success and (
            answer.header(names.stamp) is None
            or answer.header(names.request_id) is None
        ):
            self._note_failure(1.0)
            self._count(call, target, True, None)
            return self._result(call, Outcome.UNKNOWN, 'answer-invalid')
        work = self._clock() - ticket.started_at
        is_error = answer.status >= SERVER_ERROR
        self._note_failure(1.0 if is_error else 0.0)
        self._count(call, target, is_error, work)
        if self._suspects.has_any and self._suspects.record_answer(
            quarantine.call_fingerprint(call), self._clock()
        ):
            self._on_change()
        if not is_error:
            self._pace.record_call(
                work * 1000, call.expected_ms, self._clock()
            )
        self.counts[('answered', '')] += 1
        return hop_messages.Result(
            id=call.id,
            outcome=Outcome.ANSWERED,
            status=answer.status,
            reason=answer.reason,
            headers=target_exchange.format_response_headers(answer),
            body=b''.join(answer.body),
            work_ms=work * 1000,
        )

    def _failed(self, call, target, error):
        if not error.is_sent:
            self._unreachable_until = self._clock() + UNREACHABLE_S
            self._on_change()
            loguru.logger.bind(event='target-unreachable').warning(
                'target {} at {}:{}: {}',
                target.instance,
                target.host,
                target.port,
                error,
            )
            self._note_crash(target)
            return self._result(call, Outcome.NOT_HANDED_ON, 'connect-failed')
        self._note_failure(1.0)
        self._count(call, target, True, None)
        self._suspects.record_lost(
            quarantine.call_fingerprint(call), self._clock()
        )
        return self._result(call, Outcome.UNKNOWN, 'answer-lost')

    def _note_crash(self, target):
        """Count a crash against the calls that were lost with the target."""
        marks = self._suspects.record_crash(self._clock())
        if not marks:
            return
        self._on_change()
        loguru.logger.bind(event='target-crashed').warning(
            'target {} crashed while {} calls ran, of marks {}',
            target.instance,
            len(marks),
            ' '.join(f'{mark:016x}' for mark in marks),
        )

    def _note_forgotten(self, connection, target, sent_at):
        if self._clock() - sent_at > FORGOTTEN_WITHIN_S:
            # The target was at work by then; it lost the answer.
            return
        bound = self._pool.note_forgotten(connection)
        loguru.logger.bind(event='connection-forgotten').warning(
            'target {} dropped a connection that was idle for {:.2f} s; '
            'none is used again after {:.2f} s',
            target.instance,
            connection.rested,
            bound,
        )

    def _note_failure(self, value):
        self._failing += FAILURE_WEIGHT * (value - self._failing)

    def _count(self, call, target, is_error, work):
        """Add to the evidence on this version."""
        key = (call.route, target.version)
        held = self._evidence.get(key)
        if held is None:
            held = hop_messages.Evidence(call.route, target.version)
        is_timed = work is not None and self._clock() >= self._watch.cold_until
        self._evidence[key] = dataclasses.replace(
            held,
            calls=held.calls + 1,
            errors=held.errors + is_error,
            timed=held.timed + is_timed,
            work_ms=held.work_ms + (work * 1000 if is_timed else 0.0),
        )

    async def close(self):
        """Close the kept connections to the target."""
        await self._pool.close_idle()
