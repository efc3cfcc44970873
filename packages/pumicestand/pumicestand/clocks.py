"""The wall clock and a hybrid logical clock that orders events."""

import dataclasses
import time

# Low bits of a stamp, which hold the counter.
COUNTER_BITS = 16


@dataclasses.dataclass(slots=True)
class HybridClock:
    """A clock whose stamps follow wall time and causality.

    A stamp is an integer with milliseconds since the epoch in the high bits
    and a counter in the low 16 bits. Each message carries a stamp, which its
    receiver passes to `observe`. Stamps of effects are therefore always
    higher than those of their causes.

    :param last_stamp: highest stamp that was returned or observed

    >>> clock = HybridClock()
    >>> first = clock.tick(1.0)
    >>> clock.tick(0.5) > first
    True
    """

    last_stamp: int = 0

    def tick(self, now):
        """Return a new stamp, higher than all earlier ones.

        :param now: wall time in seconds since the epoch
        """
        wall_stamp = int(now * 1000) << COUNTER_BITS
        self.last_stamp = max(self.last_stamp + 1, wall_stamp)
        return self.last_stamp

    def observe(self, stamp, now, max_ahead_s=60.0):
        """Advance the clock to a stamp of another process.

        :param stamp: stamp that a message carried
        :param now: wall time in seconds since the epoch
        :param max_ahead_s: stamps that are further ahead of the wall time
            are ignored, so that a wrong clock can't advance the others
        """
        if stamp_seconds(stamp) > now + max_ahead_s:
            return
        self.last_stamp = max(self.last_stamp, stamp)


def stamp_seconds(stamp):
    """Return the wall time of a stamp, in seconds since the epoch.

    >>> stamp_seconds(HybridClock().tick(12.5))
    12.5
    """
    return (stamp >> COUNTER_BITS) / 1000


def wall_clock():
    """Return the wall time in seconds since the epoch."""
    return time.time()
