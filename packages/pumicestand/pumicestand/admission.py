"""Admission control: which calls wait for a slot, and which are refused.

While the queue is short, the oldest waiting call goes first. Under overload
the newest goes first, since the oldest have the least time left.
"""

import collections
import dataclasses

from pumicestand import refusals

# Share of the queue's limit above which the newest call goes first.
OVERLOAD_QUEUE_SHARE = 0.5
# Longest time that a call waits for a slot.
MAX_WAIT_S = 1.0


@dataclasses.dataclass(slots=True)
class Waiter:
    """A call that waits for a slot.

    :param deadline: time in seconds by which the call must have been sent
    :param wake: function without parameters that is called when a slot may
        be free
    """

    deadline: float
    wake: object


class WaitQueue:
    """The calls of one service that wait for a slot at this node."""

    def __init__(self):
        self._waiters = collections.deque()

    def __len__(self):
        return len(self._waiters)

    def add(self, waiter, limit):
        """Add a waiting call, or return a `refusals.Refusal` when full.

        :param waiter: the `Waiter`
        :param limit: maximum number of waiting calls
        """
        if len(self._waiters) >= limit:
            return refusals.not_run(
                refusals.CallCode.OVERLOADED,
                f'{len(self._waiters)} calls wait at this node, the bound '
                f'is {limit}',
            )
        self._waiters.append(waiter)
        return None

    def remove(self, waiter):
        """Remove a call, if it still waits."""
        try:
            self._waiters.remove(waiter)
        except ValueError:
            return

    def wake_next(self, now, limit):
        """Wake the next call whose deadline has not passed.

        Calls whose deadline has passed are removed on the way.

        :param now: time in seconds
        :param limit: maximum number of waiting calls
        """
        while self._waiters:
            is_overloaded = len(self._waiters) > limit * OVERLOAD_QUEUE_SHARE
            if is_overloaded:
                waiter = self._waiters.pop()
            else:
                waiter = self._waiters.popleft()
            if waiter.deadline > now:
                waiter.wake()
                return


class RetryBudget:
    """Limits the retries to a fraction of the calls.

    It is a token bucket: each call adds a fraction of a token and each retry
    takes a whole one. The bucket starts with `INITIAL_TOKENS` and holds at
    most ten times as many.

    >>> budget = RetryBudget()
    >>> [budget.try_acquire(0.1) for _ in range(4)]
    [True, True, True, False]
    """

    INITIAL_TOKENS = 3.0

    def __init__(self):
        self._tokens = self.INITIAL_TOKENS

    def record_call(self, fraction):
        """Add a call's fraction of a retry to the budget."""
        self._tokens = min(self._tokens + fraction, 10 * self.INITIAL_TOKENS)

    def try_acquire(self, fraction):
        """Take one retry from the budget; return whether there was one.

        :param fraction: the budget of the route; 0 allows no retries
        """
        if self._tokens < 1.0 or fraction <= 0:
            return False
        self._tokens -= 1.0
        return True


def may_retry(route, attempt, upstream_attempt, *, was_sent):
    """Return whether a call may be sent again, apart from the budget.

    :param route: the `documents.Route`
    :param attempt: number of times that this node has sent the call
    :param upstream_attempt: number of the attempt by the node upstream; a
        call that is itself a retry and may have run is not sent again, so
        that retries do not multiply from hop to hop
    :param was_sent: whether a byte may have reached a target that did not
        state that it did not run the call
    """
    if attempt >= route.retries.attempts:
        return False
    if upstream_attempt > 1 and was_sent:
        return False
    return route.idempotent or not was_sent
