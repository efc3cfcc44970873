"""Clocks: wall time for schedules, hybrid logical clock for order."""

import dataclasses
import time

LOGICAL_BITS = 16


@dataclasses.dataclass(slots=True)
class HybridClock:
    """A clock whose stamps respect both wall time and causality.

    A stamp is an integer: milliseconds since the epoch in the high bits,
    a counter in the low 16. Each message carries a stamp; `observe` moves
    the clock past it, so an effect always sorts behind its cause.

    >>> clock = HybridClock()
    >>> first = clock.tick(1.0)
    >>> clock.tick(0.5) > first
    True
    """

    last_stamp: int = 0

    def tick(self, now):
        """Return a new stamp, above all earlier ones.

        :param now: wall time in seconds
        """
        wall = int(now * 1000) << LOGICAL_BITS
        self.last_stamp = max(self.last_stamp + 1, wall)
        return self.last_stamp

    def observe(self, stamp, now, bound_s=60.0):
        """Move past another process's stamp, up to a bound.

        :param stamp: the stamp that a message carried
        :param now: wall time in seconds
        :param bound_s: stamps further ahead than this are ignored, so one
            broken clock can't carry the others along
        """
        if stamp_seconds(stamp) > now + bound_s:
            return
        self.last_stamp = max(self.last_stamp, stamp)


def stamp_seconds(stamp):
    """Return the wall time, in seconds, of a stamp.

    >>> stamp_seconds(HybridClock().tick(12.5))
    12.5
    """
    return (stamp >> LOGICAL_BITS) / 1000


def wall_clock():
    """Return the wall time in seconds since the epoch."""
    return time.time()
