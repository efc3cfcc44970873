"""The queue in front of a target: which calls start, wait or are refused.

Each target is reached only through the node beside it, so that node knows
exactly which calls the target runs. It decides when a call arrives: a call
that cannot be answered in time is refused at once, with the time after which
a slot is expected to be free. Calls that wait are judged again with what is
ahead of them whenever the queue is dispatched, and refused as soon as they
can't be in time any more. The load that this answers is one above the
capacity, where retries of clients and nested calls would otherwise be held
until their deadline in vain.

Retries of clients that are late already run only while enough slots are free
for new calls: on a target with few slots, or a cold one, a new call that has
to wait for one of them would be late, too.

An overloaded target may advertise a rate limit, and a cold target bears few
calls. Calls then start at that rate at most, however many slots are free, and
the wait for a start counts like the wait for a slot.

The *work* of a call is the time that the target takes to run it.
"""

import dataclasses
import itertools
import math

from pumicestand import fair_shares
from pumicestand import rate_limits

# Weight of one observation in the moving averages of work.
WORK_WEIGHT = 0.08
# Assumed work of a call before any has been observed.
INITIAL_WORK_S = 0.1
# Weight of one call in the slowness of the target, the largest ratio of one
# call that counts, and the time in which half of the deviation from 1 decays.
SLOWNESS_WEIGHT = 0.04
MAX_SLOWNESS = 10.0
SLOWNESS_HALF_LIFE_S = 4.0
# Time constant with which the demand of earlier calls decays.
DEMAND_WINDOW_S = 1.0
# Slots assumed to be left for a call however many slots the calls of higher
# priority need.
MIN_FREE_SLOTS = 0.5
# Time reserved before the deadline for the response, which crosses two links.
RESPONSE_MARGIN_S = 0.01
# Bounds of the time after which a refused client may retry.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class QueuePolicy:
    """How a queue decides; the defaults are what nodes use.

    Shares of work are the time that a call must have as a share of its
    expected work. Calls take more or less than is expected, and a late one
    takes the slot of another that could be in time.

    :param admitted_work_share: for a call to be admitted on arrival
    :param started_work_share: for a waiting call to be started
    :param kept_slots_share: share of the slots that retries of clients which
        are late already leave free for calls that can be in time
    :param refuses_on_arrival: whether calls that can't be in time are refused
        when they arrive
    :param puts_late_last: whether late retries of clients go last
    :param puts_nested_first: whether nested calls go first
    :param puts_returned_first: whether retries of clients go before first
        attempts of the same rank
    :param reserves_for_urgent: whether a wait is reckoned with the calls of
        lower rank that have yet to arrive
    """

    admitted_work_share: float = 1.25
    started_work_share: float = 0.75
    kept_slots_share: float = 1 / 3
    refuses_on_arrival: bool = True
    puts_late_last: bool = True
    puts_nested_first: bool = True
    puts_returned_first: bool = True
    reserves_for_urgent: bool = True


DEFAULT_POLICY = QueuePolicy()


@dataclasses.dataclass(slots=True)
class Ticket:
    """A call that is to run at the target; times are in monotonic seconds.

    :param priority: of its route; a lower number goes first
    :param is_nested: whether a target makes it while it runs another call
    :param is_client_retry: whether the client retries after a refusal
    :param deadline: when the call is given up
    :param objective_at: the latest time at which its response meets the
        latency objective
    :param route: name of the route
    :param is_probe: whether it is refused rather than waits, see `probing`
    :param organisation: organisation that the call belongs to, empty for
        none
    :param number: order of arrival, set by the queue when the call is
        offered, 0 before
    :param started_at: set by the queue when the call starts
    :param may_be_sent: whether any of it may have reached the target
    """

    priority: int
    is_nested: bool
    is_client_retry: bool
    deadline: float
    objective_at: float
    route: str = ''
    is_probe: bool = False
    organisation: str = ''
    number: int = 0
    started_at: float | None = None
    may_be_sent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """The call may run now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The call waits for a slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The call is not run.

    :param retry_after: seconds until a slot is expected to be free
    """

    retry_after: float


class _Demand:
    """Estimates how many slots the recent calls of each rank need.

    A rank is the first part of a sort key, see `TargetQueue`.
    """

    def __init__(self):
        self._slots = {}

    def record_arrival(self, rank, work_s, now):
        """Add a call with its expected work."""
        slots, updated_at = self._slots.get(rank, (0.0, now))
        decayed = slots * math.exp((updated_at - now) / DEMAND_WINDOW_S)
        self._slots[rank] = (decayed + work_s / DEMAND_WINDOW_S, now)

    def slots_before(self, rank, now):
        """Return the slots that calls of lower rank, which go first, need."""
        return sum(
            slots * math.exp((updated_at - now) / DEMAND_WINDOW_S)
            for other, (slots, updated_at) in self._slots.items()
            if other < rank
        )


class SlownessEstimator:
    """Estimates how slow a target is compared with the others.

    Targets get different mixes of calls, so their mean times cannot be
    compared. Each call is compared with the time that calls of its route
    take at all targets instead.
    """

    def __init__(self):
        self._slowness = 1.0
        self._updated_at = None

    def record_call(self, work_ms, expected_ms, now):
        """Add the observed time of one call.

        :param work_ms: time that the target took, in milliseconds
        :param expected_ms: mean time of calls of the same route at all
            targets, in milliseconds; 0 if it is not known
        """
        if expected_ms <= 0:
            return
        ratio = min(MAX_SLOWNESS, work_ms / expected_ms)
        slowness = self.slowness(now)
        self._slowness = slowness + SLOWNESS_WEIGHT * (ratio - slowness)
        self._updated_at = now

    def slowness(self, now):
        """Return the ratio; it tends to 1 while no calls are recorded.

        That way a target that was slow gets calls again.
        """
        if self._updated_at is None:
            return 1.0
        idle_s = max(0.0, now - self._updated_at)
        return 1 + (self._slowness - 1) * 0.5 ** (
            idle_s / SLOWNESS_HALF_LIFE_S
        )


class TargetQueue:
    """The slots of one target and the calls that wait for them.

    :param policy: its `QueuePolicy`
    """

    def __init__(self, policy=DEFAULT_POLICY):
        self._policy = policy
        self._slots = 0
        self._running = 0
        self._waiting = []
        self._numbers = itertools.count(1)
        self._mean_work_s = INITIAL_WORK_S
        self._route_work_s = {}
        self._demand = _Demand()
        self._limiter = rate_limits.StartLimiter()
        self._shares = fair_shares.FairShares()

    @property
    def slots(self):
        """Calls that the target can run at once."""
        return self._slots

    @property
    def usable_slots(self):
        """Slots that calls at the limited rate keep in use; at least one."""
        return min(self._slots, max(1, round(self._capacity())))

    @property
    def is_paced(self):
        """Whether a rate limits the starts of calls."""
        return self._limiter.rate is not None

    @property
    def running(self):
        """Calls that run at the target."""
        return self._running

    @property
    def queued(self):
        """Calls that wait for a slot."""
        return len(self._waiting)

    @property
    def mean_work_s(self):
        """Moving average of the work of all calls, in seconds."""
        return self._mean_work_s

    def set_slots(self, slots):
        """Set how many calls the target can run at once."""
        self._slots = slots

    def set_rate_limit(self, rate, now):
        """Set how many calls may start in a second.

        :param rate: calls a second, None for any number
        :param now: monotonic seconds
        :returns: waiting tickets to refuse now, as they can't finish in time
            at this rate
        """
        self._limiter.set_rate(rate, now)
        return self._remove_late(now)

    def set_cold_limit(self, rate, until, now):
        """Set how many calls may start in a second while the target is cold.

        :param rate: calls a second, None for any number
        :param until: end of that time, in monotonic seconds
        :param now: monotonic seconds
        :returns: waiting tickets to refuse now, as they can't finish in time
            at this rate
        """
        self._limiter.set_cold_limit(rate, until, now)
        return self._remove_late(now)

    def _remove_late(self, now):
        """Remove and return the waiting calls that can't finish in time.

        Calls that arrived later may have overtaken them, or a limit makes
        them late. For a retry of a client that is late already, calls
        that have yet to arrive count as well, as these always go before it.
        For other calls they don't: too many would be refused that would have
        been in time. Calls that are kept are left in the order in which they
        start.
        """
        kept, refused, work_s = [], [], 0.0
        waiting = sorted(
            self._waiting, key=lambda ticket: self._sort_key(ticket, now)
        )
        for ticket in waiting:
            reserved_slots = 0.0
            if self._is_late(ticket, now):
                rank = self._rank(ticket, now)
                reserved_slots = self._reserved_slots(rank, now)
            start_at = now + self._wait_behind_s(
                len(kept),
                work_s,
                reserved_slots,
                self._slots_open_to(ticket, now),
                now,
            )
            if start_at > self.overdue_at(ticket):
                refused.append(ticket)
                continue
            kept.append(ticket)
            work_s += self.route_work_s(ticket.route)
        self._waiting = kept
        return refused

    def _capacity(self):
        """Return the mean number of slots that calls can keep in use."""
        if self._limiter.rate is None:
            return self._slots
        return min(self._slots, self._limiter.rate * self._mean_work_s)

    def wait_for_rate_s(self, ticket, now):
        """Return the seconds until the rate lets a waiting call start.

        0 if it waits for a slot instead.
        """
        if self._running >= self._slots:
            return 0.0
        sort_key = self._sort_key(ticket, now)
        ahead = sum(self._sort_key(o, now) < sort_key for o in self._waiting)
        return self._limiter.wait_s(ahead, now)

    def expected_wait_s(self, now, ticket):
        """Return the seconds that a new call is expected to wait.

        Calls that wait and sort before it get slots first. So do calls of
        lower rank that have yet to arrive; they are assumed to arrive at
        their recent rate.

        :param ticket: `Ticket` of the new call
        """
        sort_key = self._sort_key(ticket, now)
        ahead = [o for o in self._waiting if self._sort_key(o, now) < sort_key]
        work_s = sum(self.route_work_s(other.route) for other in ahead)
        reserved = self._reserved_slots(self._rank(ticket, now), now)
        return self._wait_behind_s(
            len(ahead), work_s, reserved, self._slots_open_to(ticket, now), now
        )

    def _reserved_slots(self, rank, now):
        if not self._policy.reserves_for_urgent:
            return 0.0
        return self._demand.slots_before(rank, now)

    def _wait_behind_s(self, calls, work_s, reserved_slots, open_slots, now):
        """Return the seconds that a call waits behind other waiting calls.

        :param calls: calls that wait and start before it
        :param work_s: their expected work, in seconds
        :param reserved_slots: slots that calls of lower rank need which have
            yet to arrive
        :param open_slots: slots that may be in use when the call has started
        """
        if self._slots <= 0:
            return float('inf')
        free_slots = open_slots - self._running
        rate_wait_s = self._limiter.wait_s(calls, now)
        if calls < free_slots and rate_wait_s <= 0:
            return 0.0
        # Of each start and each slot that gets free, those that calls of
        # lower rank need are lost to this call, and those that are kept free
        # for them.
        reserved_slots = max(reserved_slots, self._slots - open_slots)
        free_share = max(
            MIN_FREE_SLOTS / self._slots,
            1 - reserved_slots / self._capacity(),
        )
        rate_wait_s /= free_share
        if calls < free_slots:
            return rate_wait_s
        # The calls that get the free slots are not waited for, and all slots
        # are in use after that.
        work_s += (1 - max(0, free_slots)) * self._mean_work_s
        slot_wait_s = max(0.0, work_s) / (self._slots * free_share)
        return max(slot_wait_s, rate_wait_s)

    def route_work_s(self, route):
        """Return the moving average of the work of a route's calls.

        It is the average of all calls, in seconds, while none of the route
        has been observed.
        """
        return self._route_work_s.get(route, self._mean_work_s)

    def offer(self, ticket, now):
        """Decide on a new call.

        :returns: `Start`, `Wait` or `Refuse`
        """
        if ticket.is_probe and not self._has_room_now(ticket, now):
            return Refuse(0.0)
        ticket.number = next(self._numbers)
        self._demand.record_arrival(
            self._rank(ticket, now), self.route_work_s(ticket.route), now
        )
        refusal = self.refuse_late(ticket, now)
        if refusal is not None:
            return refusal
        if self._may_start(ticket, now) and self._limiter.try_start(now):
            self._start(ticket, now)
            return Start()
        self._waiting.append(ticket)
        return Wait()

    def refuse_late(self, ticket, now, arrival_s=0.0):
        """Return the `Refuse` of a call that can't finish in time, or None.

        A call that has arrived and need not wait is refused only after its
        deadline: the slot would else be idle.

        :param ticket: `Ticket` of a new call
        :param arrival_s: seconds until its body has arrived
        """
        if self._slots <= 0:
            return Refuse(MIN_RETRY_AFTER_S)
        if arrival_s <= 0 and self._has_room_now(ticket, now):
            is_over = now + RESPONSE_MARGIN_S >= ticket.deadline
            return Refuse(0.0) if is_over else None
        wait_s = max(arrival_s, self.expected_wait_s(now, ticket))
        if not self._policy.refuses_on_arrival:
            return None
        work_s = self.route_work_s(ticket.route)
        work_s *= self._policy.admitted_work_share
        finish = now + wait_s + work_s + RESPONSE_MARGIN_S
        if finish <= self._latest_finish(ticket):
            return None
        return Refuse(self._retry_after(wait_s))

    def _has_room_now(self, ticket, now):
        """Whether a new call need not wait."""
        return (
            self._may_start(ticket, now) and self._limiter.wait_s(0, now) <= 0
        )

    def _may_start(self, ticket, now):
        """Whether a slot is free for a call and no other goes before it."""
        if self._running >= self._slots_open_to(ticket, now):
            return False
        sort_key = self._sort_key(ticket, now)
        return all(
            self._sort_key(other, now) > sort_key for other in self._waiting
        )

    def _slots_open_to(self, ticket, now):
        """Return how many slots may be in use when a call has started."""
        if not self._is_late(ticket, now):
            return self._slots
        return self._slots - round(self._policy.kept_slots_share * self._slots)

    def _rank(self, ticket, now):
        """Return the first part of the sort key of waiting tickets.

        Nested calls go before others: the call that makes one holds a slot
        until it is answered. Calls that can still meet their objective go
        before those that cannot, whatever their priority.
        """
        return (
            self._policy.puts_nested_first and not ticket.is_nested,
            self._is_late(ticket, now),
            ticket.priority,
        )

    def _sort_key(self, ticket, now):
        """Return the sort key of waiting tickets; the lowest goes first.

        Within a rank, calls of organisations within their share go before
        those of others, and then retries of clients before first attempts.
        """
        return (
            *self._rank(ticket, now),
            self._shares.is_above_share(ticket.organisation),
            self._policy.puts_returned_first and not ticket.is_client_retry,
            # A call that has no number yet arrives after those that wait.
            ticket.number or math.inf,
        )

    def _is_late(self, ticket, now):
        # Only retries of clients can be late while they wait: a nested call
        # is late only if the call that makes it is, and first attempts are
        # refused before they are late.
        if not ticket.is_client_retry or not self._policy.puts_late_last:
            return False
        return now + self.route_work_s(ticket.route) > ticket.objective_at

    def _latest_finish(self, ticket):
        """Return the time until which a call is worth running."""
        if ticket.is_nested or ticket.is_client_retry:
            return ticket.deadline
        return min(ticket.deadline, ticket.objective_at)

    def overdue_at(self, ticket):
        """Return the time after which a waiting call can't finish in time."""
        work_s = self.route_work_s(ticket.route)
        work_s *= self._policy.started_work_share
        return self._latest_finish(ticket) - work_s

    def retry_after_s(self, ticket, now):
        """Return the seconds until room is expected for a refused call."""
        return self._retry_after(self.expected_wait_s(now, ticket))

    def _retry_after(self, wait_s):
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def _start(self, ticket, now):
        ticket.started_at = now
        self._shares.record_start(
            ticket.organisation, self.route_work_s(ticket.route), now
        )
        self._running += 1

    def cancel(self, ticket):
        """Remove a waiting call that is no longer wanted."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def finish(self, ticket, now, is_answered):
        """Free the slot of a call that no longer runs at the target.

        :param is_answered: whether the target answered, so that the running
            time counts as an observation of work
        """
        self._running -= 1
        if not is_answered:
            return
        work_s = now - ticket.started_at
        self._mean_work_s += WORK_WEIGHT * (work_s - self._mean_work_s)
        mean_s = self._route_work_s.get(ticket.route, work_s)
        self._route_work_s[ticket.route] = mean_s + WORK_WEIGHT * (
            work_s - mean_s
        )

    def dispatch(self, now):
        """Start waiting calls on the free slots.

        :returns: (tickets to start now, tickets to refuse now)
        """
        started, refused = [], self._remove_late(now)
        while self._waiting:
            ticket = self._waiting[0]
            if self._running >= self._slots_open_to(ticket, now):
                break
            if now + RESPONSE_MARGIN_S >= ticket.deadline:
                refused.append(self._waiting.pop(0))
                continue
            if not self._limiter.try_start(now):
                break
            self._waiting.pop(0)
            self._start(ticket, now)
            started.append(ticket)
        return started, refused

    def refuse_all(self):
        """Remove and return all waiting calls.

        Called when the target takes no more calls.
        """
        refused, self._waiting = self._waiting, []
        return refused
