"""Admission: which calls wait for a slot, and which are refused at once.

Waiting calls are served oldest first while the queue is short. Under
overload the newest goes first, since the oldest have the least time left.
"""

import collections
import dataclasses

from pumicestand import refusals

OVERLOAD_QUEUE_PART = 0.5
MAX_WAIT_S = 1.0


@dataclasses.dataclass(slots=True)
class Waiter:
    """A call that waits for a slot.

    :param deadline: time in seconds by which it must have been sent
    :param wake: called without arguments when a slot may be free
    """

    deadline: float
    wake: object


class WaitQueue:
    """The calls of one service that wait at this node."""

    def __init__(self):
        self._waiters = collections.deque()

    def __len__(self):
        return len(self._waiters)

    def add(self, waiter, limit):
        """Let a call wait, or return a `refusals.Refusal`.

        :param limit: how many may wait
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
        """Remove a call that no longer waits."""
        try:
            self._waiters.remove(waiter)
        except ValueError:
            return

    def wake_next(self, now, limit):
        """Wake the call that is to have a slot that became free."""
        while self._waiters:
            is_overloaded = len(self._waiters) > limit * OVERLOAD_QUEUE_PART
            if is_overloaded:
                waiter = self._waiters.pop()
            else:
                waiter = self._waiters.popleft()
            if waiter.deadline > now:
                waiter.wake()
                return


class RetryBudget:
    """Bounds retries to a fraction of calls, with a few to start with.

    >>> budget = RetryBudget()
    >>> [budget.try_acquire(0.1) for _ in range(4)]
    [True, True, True, False]
    """

    INITIAL_TOKENS = 3.0

    def __init__(self):
        self._tokens = self.INITIAL_TOKENS

    def record_call(self, fraction):
        """Count a call; each earns a fraction of a retry."""
        self._tokens = min(self._tokens + fraction, 10 * self.INITIAL_TOKENS)

    def try_acquire(self, fraction):
        """Return whether one more retry is allowed, and count it."""
        if self._tokens < 1.0 or fraction <= 0:
            return False
        self._tokens -= 1.0
        return True


def may_retry(route, attempt, upstream_attempt, *, was_sent):
    """Return whether a call may be sent again, the budget aside.

    :param attempt: sends so far at this node
    :param upstream_attempt: what a node further up says of its attempt; a
        call that is itself a retry is not multiplied further
    :param was_sent: whether a byte may have reached a target that did not
        say that it did not run the call
    """
    if attempt >= route.retries.attempts:
        return False
    if upstream_attempt > 1 and was_sent:
        return False
    return route.idempotent or not was_sent
