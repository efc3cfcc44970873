"""How much of a VM's network link is in use.

VMs differ in their links by a factor of twenty or more; a body that takes
30 ms on one takes half a second on another.
"""

import math

# Time over which the bytes of the link are counted, in seconds.
WINDOW_S = 1.0
# The part of a link that a new call can count on however busy it is.
MIN_FREE = 0.1
# Bytes that may stand on a link before a sign of life gets through: a few
# long bodies of the calls beside it.
BACKLOG_BYTES = 1_000_000


class LinkMeter:
    """Counts what this node's links carry, in each direction.

    :param rate: what the VM's link carries, in bytes per second; 0 if that
        is not known
    """

    def __init__(self, rate):
        self.rate = rate
        self._sent = _Flow()
        self._received = _Flow()

    def record_sent(self, size, now):
        """Count bytes that go out."""
        self._sent.note(size, now)

    def record_received(self, size, now):
        """Count bytes that came in."""
        self._received.note(size, now)

    def utilisation(self, now):
        """Return the fraction in use of the direction that carries more."""
        if self.rate <= 0:
            return 0.0
        most = max(self._sent.rate(now), self._received.rate(now))
        return min(1.0, most / self.rate)


class _Flow:
    """Bytes per second of one direction, lately."""

    def __init__(self):
        self._rate = 0.0
        self._noted_at = 0.0

    def note(self, size, now):
        self._rate = self.rate(now) + size / WINDOW_S
        self._noted_at = now

    def rate(self, now):
        idle = max(0.0, now - self._noted_at)
        return self._rate * math.exp(-idle / WINDOW_S)


def transfer_ms(kilobytes, rate, busy):
    """Return the time that a body takes over a VM's link, in milliseconds.

    :param rate: of the link, in bytes per second; 0 if unknown
    :param busy: the fraction of the link in use

    >>> transfer_ms(360, 5e6 / 8, 0.0)
    576.0
    >>> transfer_ms(360, 0, 0.0)
    0.0
    """
    if rate <= 0:
        return 0.0
    return kilobytes * 1e6 / rate / max(MIN_FREE, 1 - busy)


def backlog_delay_s(*rates):
    """Return how long a link may be silent since others use it, in seconds.

    :param rates: of the VMs at both ends, in bytes per second; 0 if unknown

    >>> backlog_delay_s(5e6 / 8, 1e9 / 8)
    1.6
    >>> backlog_delay_s(0, 0)
    0.0
    """
    known = [rate for rate in rates if rate > 0]
    return BACKLOG_BYTES / min(known) if known else 0.0
