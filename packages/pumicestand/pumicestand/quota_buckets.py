"""Token buckets that hold a part of an organisation's quota.

A bucket fills with the part of the rate that nodes have delegated to its
coordinator. Several coordinators may hold buckets of one organisation, each
with a part of the rate and of the capacity, so the sums stay within the quota.
"""

import dataclasses
import math
import zlib

# Part of the burst that the buckets hold, all coordinators together. While
# nodes change coordinators, the former and the new bucket may both be full.
BURST_SHARE = 0.5
# Parts of the tolerated excess and slack that the buckets hold in addition.
# Without them a bucket of a low rate holds one token, and at 6 random requests
# a second for 3 tokens a third of the tokens overflow. Two buckets and the
# grants in flight must still fit into the excess and slack.
EXCESS_SHARE = 0.1
SLACK_SHARE = 0.2
# Share of the nodes below which a bucket does not keep its whole tokens: with
# more than 8 buckets, one kept token each would exceed half of the slack.
SMALL_SHARE = 0.125
# Time for which a bucket with a small share keeps a token, as the time in
# which the whole fleet gets this part of the slack, plus a constant.
KEEP_SLACK_SHARE = 0.5
KEEP_S = 0.25
# Fraction of the capacity from which the organisation is relaxed.
RELAXED_LEVEL = 0.75
# Rounding errors up to this are ignored, in tokens.
ROUNDING = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaBounds:
    """How far the calls of an organisation may exceed its quota.

    :param window: length of the sliding window in seconds
    :param excess: fraction by which calls may exceed the quota
    :param slack: calls that may exceed it in addition
    """

    window: float = 5.0
    excess: float = 0.1
    slack: float = 20.0

    def limit(self, rate, burst):
        """Return the calls that may run in one window.

        >>> QuotaBounds().limit(100.0, 50.0)
        625.0
        """
        quota = rate * self.window + burst
        return quota * (1 + self.excess) + self.slack


class Bucket:
    """The tokens of one organisation at one coordinator.

    It starts empty, or with a part of one token if its share is small.
    Its level is negative while more calls were reported
    than it had tokens.

    :param name: name of the coordinator and the organisation, which sets the
        time at which a bucket with a small share gets its first token, so
        that not all get theirs at the same time
    :param bounds: `QuotaBounds`
    :param rate: calls a second over the whole fleet
    :param burst: calls that may exceed the rate
    """

    def __init__(self, name, bounds, rate, burst):
        self._phase = zlib.crc32(name.encode()) / 2**32
        self._bounds = bounds
        self._rate = rate
        self._burst = burst
        self._level = 0.0
        self._fill = 0.0
        self._capacity = 0.0
        # None before the first `refill`.
        self._is_small = None
        # Calls that were refused and are expected to ask again.
        self._backlog = 0.0

    @property
    def level(self):
        """The tokens, negative while the bucket is in debt."""
        return self._level

    @property
    def available(self):
        """The tokens that can be taken, as of the last `refill`."""
        if not self._is_small or self._level < 1.0 - ROUNDING:
            return self._level
        if self._fill <= 0.0:
            return 0.0
        # The level counts on; a token that was not taken in time is lost.
        overdue_s = math.fmod(self._level - 1.0 + ROUNDING, 1.0) / self._fill
        return 1.0 if overdue_s <= self._keep_s() else 0.0

    @property
    def is_relaxed(self):
        """Whether the bucket is almost full."""
        return (
            not self._is_small and self._level >= RELAXED_LEVEL * self.capacity
        )

    @property
    def capacity(self):
        """The tokens that the bucket can hold, as of the last `refill`."""
        return self._capacity

    def set_quota(self, rate, burst):
        """Replace the quota; call `refill` before and after.

        A lower quota is binding at once, so calls that the former one allowed
        leave no debt that the new rate would pay back for long.
        """
        if rate < self._rate or burst < self._burst:
            self._level = max(0.0, self._level)
        self._rate, self._burst = rate, burst

    def empty(self):
        """Remove all tokens; a debt remains."""
        self._level = min(0.0, self._level)

    def refill(self, share, share_seconds):
        """Add the tokens since the last time.

        :param share: share of the fleet's nodes that have delegated
        :param share_seconds: integral of the share since the last time, in
            seconds
        """
        tokens = self._rate * share_seconds
        bounds = self._bounds
        shared = share * (
            BURST_SHARE * self._burst
            + SLACK_SHARE * bounds.slack
            + EXCESS_SHARE * bounds.excess * bounds.window * self._rate
        )
        was_small = self._is_small
        self._is_small = share < SMALL_SHARE and shared < 1.0
        self._fill = self._rate * share
        self._capacity = shared
        if share >= SMALL_SHARE or self._is_small:
            self._capacity += 1.0
        self._level += tokens
        self._backlog = max(0.0, self._backlog - tokens)
        if not self._is_small:
            self._level = min(self._level, self._capacity)
        elif was_small is None:
            self._level = self._phase
        elif not was_small:
            self._level = min(self._level, self._phase)

    def _keep_s(self):
        return KEEP_S + KEEP_SLACK_SHARE * self._bounds.slack / self._rate

    def take(self, tokens):
        """Take tokens, which the caller has found available or owes."""
        if self._is_small and self._level >= 1.0 - ROUNDING:
            self._level = max(
                0.0, math.fmod(self._level - 1.0 + ROUNDING, 1.0) + 1.0
            )
        self._level -= tokens

    def expected_wait_s(self, refused):
        """Return the time until a refused call can expect a token.

        :param refused: calls refused now, which are then counted
        """
        missing = max(0.0, 1.0 - self.available)
        wait_s = self._bounds.window
        if self._fill > 0.0:
            wait_s = min(wait_s, (missing + self._backlog) / self._fill)
        # Waits beyond the window are not told, so nobody comes back for them.
        limit = self._fill * self._bounds.window
        self._backlog = min(limit, self._backlog + refused)
        return wait_s
