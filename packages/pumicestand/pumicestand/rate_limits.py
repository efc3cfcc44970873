"""Limits on the rate at which calls start at a target."""

import math

# Relative change of a limit from which it is worth a line in the log.
NOTABLE_CHANGE = 0.2
# Time for which unused calls of a limit are kept, in seconds: so long, calls
# that arrive in a bunch need not wait.
BURST_S = 0.25
# Lowest rate at which calls start, in calls a second: only the response to a
# call can tell that a target which took none takes some again.
MIN_RATE = 0.5
# Calls by which the starts of one second may exceed the rate of a cold target;
# its bound is half of the rate and eight calls higher.
COLD_BURST = 2.0
# A call that waited for its token must not miss it by a rounding.
WHOLE_TOKEN = 1.0 - 1e-6


def parse_rate(value):
    """Return the rate in a header's value, None if it is not valid.

    :param value: calls a second as a decimal number, as bytes

    >>> parse_rate(b'65.7'), parse_rate(b'0'), parse_rate(b'-1')
    (65.7, 0.0, None)
    >>> parse_rate(b'many'), parse_rate(b'nan'), parse_rate(b'inf')
    (None, None, None)
    """
    try:
        rate = float(value)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


def is_change(previous, rate):
    """Return whether a limit was set or removed, or changed notably.

    :param previous: calls a second, None for no limit
    :param rate: calls a second, None for no limit
    """
    if previous is None or rate is None:
        return previous is not rate
    return abs(rate - previous) > NOTABLE_CHANGE * previous


class RateLimiter:
    """A token bucket that starts empty whenever a limit is set."""

    def __init__(self):
        self._rate = None
        self._tokens = 0.0
        self._updated_at = 0.0

    @property
    def rate(self):
        """Calls that start in a second at most, None for no limit."""
        return self._rate

    def set_rate(self, rate, now):
        """Set the limit.

        :param rate: calls a second, None for no limit
        :param now: monotonic seconds
        """
        if self._rate is None:
            self._tokens = 0.0
        else:
            self._refill(now)
        self._rate = None if rate is None else max(MIN_RATE, rate)
        self._updated_at = now

    def _refill(self, now):
        burst = max(1.0, self._rate * BURST_S)
        added = max(0.0, now - self._updated_at) * self._rate
        self._tokens = min(burst, self._tokens + added)
        self._updated_at = now

    def may_start(self, now):
        """Return whether a call may start now."""
        if self._rate is None:
            return True
        self._refill(now)
        return self._tokens >= WHOLE_TOKEN

    def count_start(self):
        """Count a call that starts now, after `may_start` allowed it."""
        if self._rate is not None:
            self._tokens -= 1.0

    def try_start(self, now):
        """Return whether a call may start now, and count it if so."""
        if not self.may_start(now):
            return False
        self.count_start()
        return True

    def wait_s(self, calls_ahead, now):
        """Return the seconds until a call may start, by the limit alone.

        :param calls_ahead: calls that wait and start before it
        :param now: monotonic seconds
        """
        if self._rate is None:
            return 0.0
        self._refill(now)
        return max(0.0, calls_ahead + 1 - self._tokens) / self._rate


class ColdLimiter:
    """A token bucket for the calls of a target that may become cold.

    It counts calls while the target is warm, too, so that the calls of the
    last second count when the target turns cold.
    """

    def __init__(self):
        self._rate = None
        self._until = 0.0
        self._tokens = 0.0
        self._updated_at = 0.0

    def set_limit(self, rate, until, now):
        """Set the limit.

        :param rate: calls a second while the target is cold, None for any
            number
        :param until: end of the time for which it is cold, in monotonic
            seconds
        :param now: monotonic seconds
        """
        if self._rate is None:
            self._tokens = 0.0
            self._updated_at = now
        else:
            self._refill(now)
        self._rate, self._until = rate, until

    @property
    def rate(self):
        """The limit in calls a second, None for none, at the last update."""
        return self._rate if self._updated_at < self._until else None

    def _refill(self, now):
        added = max(0.0, now - self._updated_at) * self._rate
        self._tokens = min(COLD_BURST, self._tokens + added)
        self._updated_at = now

    def may_start(self, now):
        """Return whether a call may start now."""
        if self._rate is None:
            return True
        self._refill(now)
        return self.rate is None or self._tokens >= WHOLE_TOKEN

    def count_start(self, now):
        """Count a call that starts now."""
        if self._rate is None:
            return
        self._refill(now)
        # The debt of a warm time is that of one second.
        self._tokens = max(-self._rate, self._tokens - 1.0)

    def wait_s(self, calls_ahead, now):
        """Return the seconds until a call may start, by the limit alone.

        :param calls_ahead: calls that wait and start before it
        :param now: monotonic seconds
        """
        if self._rate is None:
            return 0.0
        self._refill(now)
        if self.rate is None:
            return 0.0
        wait_s = max(0.0, calls_ahead + 1 - self._tokens) / self._rate
        return min(wait_s, self._until - now)


class StartLimiter:
    """Both limits on the calls that start at a target.

    They are the one that the target advertises and the one while it is cold;
    the lower one applies.
    """

    def __init__(self):
        self._advertised = RateLimiter()
        self._cold = ColdLimiter()

    @property
    def rate(self):
        """Calls that start in a second at most, None for no limit."""
        rates = (self._advertised.rate, self._cold.rate)
        return min((r for r in rates if r is not None), default=None)

    def set_rate(self, rate, now):
        """Set the advertised limit, see `RateLimiter.set_rate`."""
        self._advertised.set_rate(rate, now)

    def set_cold_limit(self, rate, until, now):
        """Set the limit of a cold target, see `ColdLimiter.set_limit`."""
        self._cold.set_limit(rate, until, now)

    def try_start(self, now):
        """Return whether a call may start now, and count it if so."""
        if not self._advertised.may_start(now) or not self._cold.may_start(
            now
        ):
            return False
        self._advertised.count_start()
        self._cold.count_start(now)
        return True

    def wait_s(self, calls_ahead, now):
        """Return the seconds until a call may start, by the limits alone.

        :param calls_ahead: calls that wait and start before it
        :param now: monotonic seconds
        """
        return max(
            self._advertised.wait_s(calls_ahead, now),
            self._cold.wait_s(calls_ahead, now),
        )
