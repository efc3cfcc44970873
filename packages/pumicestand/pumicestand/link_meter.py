"""Measurement of the use of a VM's network link.

The links of VMs differ in rate by a factor of twenty or more: a body that
takes 30 ms on one link takes half a second on another.
"""

import collections
import math

# Time constant of the moving average of bytes per second.
AVERAGING_TIME_S = 1.0
# Share of a link that a new call is assumed to get however busy the link is.
MIN_FREE_SHARE = 0.1
# Bytes that may be queued on a link in front of a ping: a few large bodies
# of other calls.
BACKLOG_BYTES = 1_000_000


class LinkMeter:
    """Measures the traffic of this node in each direction.

    ``sent_bytes`` holds the bytes sent to other nodes so far, by kind of
    message and whether they went to the own zone or another one.

    :param rate: capacity of the VM's link in bytes per second; 0 if it is
        not known
    """

    def __init__(self, rate):
        self.rate = rate
        self._sent = _ByteRate()
        self._received = _ByteRate()
        self.sent_bytes = collections.Counter()

    def record_sent(self, size, now, kind='', is_cross_zone=False):
        """Count bytes that are sent.

        :param kind: kind of the message
        :param is_cross_zone: whether they go to another availability zone
        """
        self._sent.record(size, now)
        scope = 'other-zone' if is_cross_zone else 'own-zone'
        self.sent_bytes[(kind, scope)] += size

    def record_received(self, size, now):
        """Count bytes that were received."""
        self._received.record(size, now)

    def utilisation(self, now):
        """Return the fraction of the busier direction that is in use."""
        if self.rate <= 0:
            return 0.0
        busier = max(self._sent.rate(now), self._received.rate(now))
        return min(1.0, busier / self.rate)


class _ByteRate:
    """Moving average of the bytes per second in one direction."""

    def __init__(self):
        self._rate = 0.0
        self._updated_at = 0.0

    def record(self, size, now):
        self._rate = self.rate(now) + size / AVERAGING_TIME_S
        self._updated_at = now

    def rate(self, now):
        idle_s = max(0.0, now - self._updated_at)
        return self._rate * math.exp(-idle_s / AVERAGING_TIME_S)


def transfer_ms(kilobytes, rate, utilisation):
    """Return the time that a body takes on a VM's link, in milliseconds.

    :param kilobytes: size of the body
    :param rate: rate of the link in bytes per second; 0 if it is not known
    :param utilisation: fraction of the link in use

    >>> transfer_ms(360, 5e6 / 8, 0.0)
    576.0
    >>> transfer_ms(360, 0, 0.0)
    0.0
    """
    if rate <= 0:
        return 0.0
    return kilobytes * 1e6 / rate / max(MIN_FREE_SHARE, 1 - utilisation)


def unshared_transfer_ms(kilobytes, rate):
    """Return the time that a body takes on a link of its own.

    :param kilobytes: size of the body
    :param rate: rate of the link in bytes per second

    >>> unshared_transfer_ms(360, 5e6 / 8)
    576.0
    """
    return kilobytes * 1e6 / rate


def backlog_delay_s(*rates):
    """Return how long other traffic may delay a ping, in seconds.

    :param rates: rates of the links of the VMs at both ends, in bytes per
        second; 0 if not known

    >>> backlog_delay_s(5e6 / 8, 1e9 / 8)
    1.6
    >>> backlog_delay_s(0, 0)
    0.0
    """
    known_rates = [rate for rate in rates if rate > 0]
    return BACKLOG_BYTES / min(known_rates) if known_rates else 0.0
