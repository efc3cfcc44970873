"""A simulated target and the node's part beside it.

`SimulatedTarget.run` follows `pumicestand_node.target_calls.TargetCalls.run`:
the real queue decides, the exchange with the target is simulated.
"""

import collections
import math

from benchmarks.load_player import played
from pumicestand import admission_by_room
from pumicestand import hop_messages
from pumicestand import probing
from pumicestand import target_queue
from pumicestand_node import target_calls

Outcome = hop_messages.Outcome


class SimulatedTarget:
    """A target with slots, a pace, nested calls and crashes.

    ``runs`` holds the `played.Run` of every call that has started.

    :param day: the `play.Day`
    :param service: name of its service
    :param queue: the queue in front of it
    :param pace: its `pace.Pace`
    :param make_nested: function that makes a nested call at this VM's node,
        from a `deployments.Kind`, the caller's run, the seconds left to the
        caller and the function for the `played.Answer`
    :param link: the VM's `network.Link`
    """

    def __init__(self, day, service, queue, pace, make_nested, link):
        self._day = day
        self._events = day.events
        self._service = service
        self._queue = queue
        self._pace = pace
        self._make_nested = make_nested
        self._link = link
        self._slowness = target_queue.SlownessEstimator()
        self._call_observer = admission_by_room.CallObserver()
        self._failure_ratio = 0.0
        self._waiting = {}
        self._running = {}
        self._starts = collections.deque()
        self._cold_until = 0.0
        self._is_down = False
        self.runs = []
        self._queue.set_slots(day.deployment.slots)
        self._schedule_crash()

    def load(self):
        """Return the `hop_messages.Load` of the target."""
        queue = self._queue
        now = self._events.now
        load = hop_messages.Load(
            running=queue.running,
            queued=queue.queued,
            slots=0 if self._is_down else queue.usable_slots,
            work_ms=queue.mean_work_s * 1000,
            failure_ratio=self._failure_ratio,
            slowness=self._slowness.slowness(now),
            link_utilisation=self._link.meter.utilisation(now),
        )
        return self._call_observer.add_to(load, now)

    def _refuse(self, placement, code, retry_after_s=0.0):
        placement.reply(
            played.Result(
                Outcome.NOT_HANDED_ON,
                self.load(),
                code,
                retry_after_s=retry_after_s,
            )
        )

    def run(self, placement):
        """Queue a call; it is answered by the placement's ``reply``."""
        if self._is_down:
            self._refuse(placement, 'target-unreachable')
            return
        now = self._events.now
        call = placement.call
        if not call.is_nested:
            self._call_observer.record_client(
                call.kind.priority, placement.objective_remaining_s * 1000, now
            )
        ticket = self._make_ticket(placement, now)
        match self._queue.offer(ticket, now):
            case target_queue.Refuse() if placement.is_probe:
                self._refuse(placement, probing.BUSY_CODE)
            case target_queue.Refuse(retry_after_s):
                self._record_shortage(call)
                self._refuse(placement, 'overloaded', retry_after_s)
            case target_queue.Start():
                self._start(placement, ticket)
            case target_queue.Wait():
                self._waiting[ticket.number] = (placement, ticket)
                self._watch_waiting(ticket, call)

    def _record_shortage(self, call):
        """See `TargetCalls._record_shortage`."""
        if not call.is_nested and not call.is_client_retry:
            self._call_observer.record_refused(
                call.kind.priority, self._events.now
            )

    def _make_ticket(self, placement, now):
        call = placement.call
        return target_queue.Ticket(
            priority=call.kind.priority,
            is_nested=call.is_nested,
            is_client_retry=call.is_client_retry,
            deadline=now + placement.remaining_s,
            objective_at=now + placement.objective_remaining_s,
            route=call.kind.name,
            is_probe=placement.is_probe,
            organisation=call.organisation,
        )

    def _watch_waiting(self, ticket, call):
        """Refuse a waiting call once it is overdue, as its waiter would."""
        if ticket.number not in self._waiting:
            return
        now = self._events.now
        left_s = self._queue.overdue_at(ticket) - now
        if left_s <= 0:
            self._queue.cancel(ticket)
            placement, _ = self._waiting.pop(ticket.number)
            self._record_shortage(call)
            self._refuse(placement, 'waited-in-vain')
            return
        rate_wait_s = self._queue.wait_for_rate_s(ticket, now)
        if rate_wait_s > 0:
            left_s = min(
                left_s, max(target_calls.MIN_RATE_WAIT_S, rate_wait_s)
            )
        self._events.call_after(
            max(left_s, 1e-6), self._wake_waiting, ticket, call
        )

    def _wake_waiting(self, ticket, call):
        self._dispatch()
        self._watch_waiting(ticket, call)

    def _dispatch(self):
        started, refused = self._queue.dispatch(self._events.now)
        for ticket in started:
            placement, _ = self._waiting.pop(ticket.number)
            self._start(placement, ticket)
        for ticket in refused:
            placement, _ = self._waiting.pop(ticket.number)
            self._refuse(placement, 'waited-in-vain')

    def _start(self, placement, ticket):
        call = placement.call
        run = played.Run(call.kind, call.caller)
        self.runs.append(run)
        self._running[ticket.number] = (placement, ticket, run)
        if self._is_overrun():
            self._crash()
            return
        nested = call.kind.nested
        rng = self._day.work_rng
        work_s = self._draw_work_s(call.kind, rng)
        has_nested = nested is not None and rng.random() < nested.probability
        if not has_nested:
            self._work(ticket, run, work_s, self._finish, True)
            return
        first_s = work_s * self._day.deployment.nested_at
        self._work(
            ticket, run, first_s, self._call_nested, nested, work_s - first_s
        )

    def _draw_work_s(self, kind, rng):
        """Draw the work of a call for a target of the usual speed."""
        spread = kind.spread
        work_ms = kind.work_ms * math.exp(
            rng.gauss(0.0, spread) - spread * spread / 2
        )
        outliers = self._day.deployment.outliers
        if rng.random() < 1 / outliers.every:
            work_ms *= outliers.factor
        return work_ms / 1000

    def _work(self, ticket, run, work_s, function, *arguments):
        """Let the target work, and call a function when it is done."""
        now = self._events.now
        end = self._pace.finish_time(now, work_s)
        run.work_s += self._day.overlap_s(now, end)
        self._events.call_at(
            end, self._go_on, ticket.number, function, arguments
        )

    def _go_on(self, number, function, arguments):
        # A crash ends a run.
        if number in self._running:
            function(number, *arguments)

    def _call_nested(self, number, nested, left_s):
        placement, ticket, run = self._running[number]
        started_at = self._events.now
        awaited = nested.count

        def receive(answer, _):
            nonlocal awaited
            awaited -= 1
            if number not in self._running or awaited < 0:
                return
            if answer is not played.Answer.SUCCESS:
                awaited = 0
                run.held_s += self._day.overlap_s(started_at, self._events.now)
                self._finish(number, False)
                return
            if awaited == 0:
                run.held_s += self._day.overlap_s(started_at, self._events.now)
                self._work(ticket, run, left_s, self._finish, True)

        kind = self._day.kinds[nested.kind]
        self._call_observer.record_nested(kind.service, started_at)
        for _ in range(nested.count):
            self._make_nested(kind, run, ticket.deadline - started_at, receive)

    def _finish(self, number, is_success):
        placement, ticket, run = self._running.pop(number)
        now = self._events.now
        work_ms = (now - ticket.started_at) * 1000
        self._update_failure_ratio(0.0 if is_success else 1.0)
        if is_success:
            self._slowness.record_call(work_ms, placement.expected_ms, now)
        self._queue.finish(ticket, now, True)
        self._dispatch()
        placement.reply(
            played.Result(
                Outcome.ANSWERED,
                self.load(),
                is_success=is_success,
                work_ms=work_ms,
                run=run,
            )
        )

    def _update_failure_ratio(self, value):
        weight = target_calls.FAILURE_RATIO_WEIGHT
        self._failure_ratio += weight * (value - self._failure_ratio)

    def _is_overrun(self):
        """Whether a cold target has got more calls than it can bear."""
        now = self._events.now
        if now >= self._cold_until:
            return False
        crashes = self._day.deployment.crashes
        self._starts.append(now)
        while self._starts[0] <= now - 1.0:
            self._starts.popleft()
        bearable = crashes.cold_rate * (1 + crashes.cold_over)
        return len(self._starts) > bearable + crashes.cold_slack

    def _schedule_crash(self):
        mean_s = self._day.deployment.crashes.per_target_s
        if mean_s > 0:
            delay_s = self._day.work_rng.expovariate(1 / mean_s)
            self._events.call_after(delay_s, self._crash_by_chance)

    def _crash_by_chance(self):
        self._crash()
        self._schedule_crash()

    def _crash(self):
        """End all runs without a response; the target restarts cold."""
        if self._is_down:
            return
        self._is_down = True
        self._starts.clear()
        now = self._events.now
        waiting, self._waiting = self._waiting, {}
        running, self._running = self._running, {}
        self._queue.refuse_all()
        self._queue.set_slots(0)
        for placement, ticket, _ in running.values():
            self._queue.finish(ticket, now, False)
            self._update_failure_ratio(1.0)
            placement.reply(
                played.Result(Outcome.UNKNOWN, self.load(), 'answer-lost')
            )
        for placement, _ in waiting.values():
            self._refuse(placement, 'target-unreachable')
        self._events.call_after(
            self._day.deployment.crashes.down_s, self._restart
        )

    def _restart(self):
        crashes = self._day.deployment.crashes
        now = self._events.now
        self._is_down = False
        self._cold_until = now + crashes.cold_s
        self._queue.set_slots(self._day.deployment.slots)
        if crashes.cold_s > 0:
            self._queue.set_rate_limit(crashes.cold_rate, now)
            self._events.call_after(crashes.cold_s, self._become_warm)

    def _become_warm(self):
        now = self._events.now
        if now >= self._cold_until:
            self._queue.set_rate_limit(None, now)
            self._dispatch()
