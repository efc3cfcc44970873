"""Bounds how often an error that keeps occurring is logged."""

PERIOD_S = 10.0


class LogThrottle:
    """Decides when to log an error that may occur any number of times.

    :param period: seconds between two lines
    """

    def __init__(self, period=PERIOD_S):
        self._period = period
        self._logged_at = float('-inf')
        self._unlogged = 0

    def count(self, now):
        """Count an occurrence; return how many to log now, 0 for no line.

        :param now: monotonic seconds

        >>> throttle = LogThrottle(period=10.0)
        >>> [throttle.count(now) for now in (1.0, 2.0, 3.0, 11.0, 12.0)]
        [1, 0, 0, 3, 0]
        """
        self._unlogged += 1
        if now - self._logged_at < self._period:
            return 0
        self._logged_at = now
        count, self._unlogged = self._unlogged, 0
        return count
