"""Who may run at a target now, who waits, and who is refused.

One node stands before each target, so it knows exactly what runs there. It
decides when a call arrives: a call that can't be answered in time is
refused at once, with the time at which room is expected.
"""

import dataclasses
import itertools
import math

# The share of a new observation in the running mean of work.
WORK_WEIGHT = 0.08
# Assumed work of a call before any was observed, in seconds.
FIRST_WORK_S = 0.1
# The share of one call in the ratio to other targets, the largest ratio of
# one call that counts, and the time after which half of it is forgotten.
SLOWNESS_WEIGHT = 0.04
MAX_SLOWNESS = 10.0
SLOWNESS_HALF_LIFE_S = 4.0
# Time over which the demand of more urgent calls is counted, in seconds, and
# the slots that a call counts on however many of them there are.
DEMAND_WINDOW_S = 1.0
MIN_FREE_SLOTS = 0.5
# The part of its expected work that a waiting call must still have time for;
# half of all calls are shorter than the mean.
HOPELESS_PART = 0.5
# A call returns its answer over two links; kept free before its deadline.
RETURN_S = 0.01
# Bounds for the time after which a refused caller may come back, seconds.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(slots=True)
class Ticket:
    """A call that wants to run; times are monotonic seconds.

    :param deadline: when it is given up
    :param objective_at: until when its answer is in time
    """

    priority: int
    is_nested: bool
    is_client_retry: bool
    deadline: float
    objective_at: float
    route: str = ''
    number: int = 0
    started_at: float | None = None

    @property
    def urgency(self):
        """What all calls of one kind share; the lower goes first."""
        return (not self.is_nested, self.priority)


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """The call may run now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The call waits for a slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The call is not run.

    :param retry_after: seconds until room is expected
    """

    retry_after: float


class _Demand:
    """How many slots the calls of each urgency need, lately."""

    def __init__(self):
        self._slots = {}

    def note(self, urgency, work, now):
        """Count a call that arrived; its work is in seconds."""
        held, since = self._slots.get(urgency, (0.0, now))
        faded = held * math.exp((since - now) / DEMAND_WINDOW_S)
        self._slots[urgency] = (faded + work / DEMAND_WINDOW_S, now)

    def above(self, urgency, now):
        """Return the slots that more urgent calls need."""
        return sum(
            slots * math.exp((since - now) / DEMAND_WINDOW_S)
            for other, (slots, since) in self._slots.items()
            if other < urgency
        )


class SlownessEstimator:
    """How long a target takes for its calls, compared with the others.

    Targets get different mixes of calls, so their mean times can't be
    compared; the ratio to what each call takes elsewhere can.
    """

    def __init__(self):
        self._slowness = 1.0
        self._noted_at = None

    def record_call(self, work_ms, expected_ms, now):
        """Take in the time of one call.

        :param expected_ms: what calls of its route take everywhere
        """
        if expected_ms <= 0:
            return
        ratio = min(MAX_SLOWNESS, work_ms / expected_ms)
        held = self.slowness(now)
        self._slowness = held + SLOWNESS_WEIGHT * (ratio - held)
        self._noted_at = now

    def slowness(self, now):
        """Return the ratio; it tends to 1 while no call tells more."""
        if self._noted_at is None:
            return 1.0
        idle = max(0.0, now - self._noted_at)
        return 1 + (self._slowness - 1) * 0.5 ** (idle / SLOWNESS_HALF_LIFE_S)


class TargetQueue:
    """The slots of one target and the calls that wait for them."""

    def __init__(self):
        self._slots = 0
        self._running = 0
        self._waiting = []
        self._numbers = itertools.count(1)
        self._work = FIRST_WORK_S
        self._route_work_s = {}
        self._demand = _Demand()

    @property
    def slots(self):
        """Calls that the target runs at once."""
        return self._slots

    @property
    def running(self):
        """Calls that run at the target."""
        return self._running

    @property
    def queued(self):
        """Calls that wait."""
        return len(self._waiting)

    @property
    def mean_work_s(self):
        """Typical seconds of one call at the target."""
        return self._work

    def set_slots(self, slots):
        """Note how many calls the target runs at once."""
        self._slots = slots

    def expected_wait(self, now, ticket):
        """Return the seconds that a new call would wait.

        What waits before it takes the slots first, and so do more urgent
        calls that are still to come, at the rate at which they came lately.

        :param ticket: of the call
        """
        if self._slots <= 0:
            return float('inf')
        rank = self._sort_key(ticket, now)
        ahead = [o for o in self._waiting if self._sort_key(o, now) < rank]
        if self._running < self._slots and not ahead:
            return 0.0
        urgent = self._demand.above(ticket.urgency, now)
        free = max(MIN_FREE_SLOTS, self._slots - urgent)
        work = sum(self.route_work_s(other.route) for other in ahead)
        return (work + self._work) / free

    def route_work_s(self, route):
        """Return the typical seconds of a call of one route."""
        return self._route_work_s.get(route, self._work)

    def offer(self, ticket, now):
        """Decide on a new call.

        :returns: `Start`, `Wait` or `Refuse`
        """
        ticket.number = next(self._numbers)
        self._demand.note(ticket.urgency, self.route_work_s(ticket.route), now)
        if self._slots <= 0:
            return Refuse(MIN_RETRY_AFTER_S)
        if self._running < self._slots and not self._waiting:
            if now + RETURN_S >= ticket.deadline:
                return Refuse(0.0)
            self._start(ticket, now)
            return Start()
        wait = self.expected_wait(now, ticket)
        finish = now + wait + self.route_work_s(ticket.route) + RETURN_S
        if finish > self._latest_finish(ticket):
            return Refuse(self._retry_after(wait))
        self._waiting.append(ticket)
        return Wait()

    def _sort_key(self, ticket, now):
        """Return what orders tickets that wait: the lower goes first.

        Those that can still be in time go before those that can't, and
        clients that came back before others.
        """
        is_late = self._is_late(ticket, now)
        return (
            *ticket.urgency,
            is_late,
            not ticket.is_client_retry,
            ticket.number,
        )

    def _is_late(self, ticket, now):
        # What a running target waits for is late when that one is; others
        # are given back before.
        if not ticket.is_client_retry:
            return False
        return now + self.route_work_s(ticket.route) > ticket.objective_at

    def _latest_finish(self, ticket):
        """Return until when an answer is worth waiting for a slot."""
        if ticket.is_nested or ticket.is_client_retry:
            return ticket.deadline
        return min(ticket.deadline, ticket.objective_at)

    def _retry_after(self, wait):
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))

    def _start(self, ticket, now):
        ticket.started_at = now
        self._running += 1

    def cancel(self, ticket):
        """Note that a call that waits is no longer wanted."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def finish(self, ticket, now, is_answered):
        """Note that a call no longer runs at the target.

        :param is_answered: whether its time there tells how long work is
        """
        self._running -= 1
        if not is_answered:
            return
        work = now - ticket.started_at
        self._work += WORK_WEIGHT * (work - self._work)
        held = self._route_work_s.get(ticket.route, work)
        self._route_work_s[ticket.route] = held + WORK_WEIGHT * (work - held)

    def dispatch(self, now):
        """Return (tickets to start now, tickets to refuse now)."""
        started, refused = [], self._take_hopeless(now)
        self._waiting.sort(key=lambda ticket: self._sort_key(ticket, now))
        while self._waiting and self._running < self._slots:
            ticket = self._waiting.pop(0)
            if now + RETURN_S >= ticket.deadline:
                refused.append(ticket)
                continue
            self._start(ticket, now)
            started.append(ticket)
        return started, refused

    def _take_hopeless(self, now):
        """Take out the calls that were overtaken until it is too late."""
        hopeless = [
            ticket
            for ticket in self._waiting
            if now + HOPELESS_PART * self.route_work_s(ticket.route)
            > self._latest_finish(ticket)
        ]
        for ticket in hopeless:
            self._waiting.remove(ticket)
        return hopeless

    def refuse_all(self):
        """Return all that wait, since the target takes no more calls."""
        refused, self._waiting = self._waiting, []
        return refused
