"""Probes: the first nodes asked run a call at once or not at all.

Reported loads are up to some seconds old, longer than most calls run, so
under high load the chosen target is often busy while others have free slots.
A call is therefore first sent as a *probe*, which a node answers `BUSY_CODE`
if the call would have to wait. The answer costs one exchange between nodes
and carries the node's current load. After some probes the call is placed where
the wait is expected to be shortest.

The load that this answers is one of short calls at 70% to 95% of the slots
of a service. At lower load the first probe hardly ever fails. Where all
targets are busy, or an exchange takes long on narrow links or slow VMs, probes
delay calls in vain: `ProbeGauge` measures both and says when to go without.
"""

# Result code of a node that does not start a probe at once.
BUSY_CODE = 'busy'
# Probes of a call at most. At random targets of three slots, three quarters of
# which are in use, three probes find a free slot in 0.8 of all cases, six
# probes in 0.97.
MAX_PROBES = 6
# Largest body that is sent as a probe: it takes 4 ms on a link of 10 Mbit/s.
MAX_PROBE_BYTES = 5000
# Utilisation of the target's link above which no probes are sent there, as
# they take the link's time from other calls.
MAX_LINK_UTILISATION = 0.5
# Weight of one probe in the moving averages of the gauge.
PROBE_WEIGHT = 0.1
# Share of further probes assumed to succeed before any were sent.
INITIAL_SUCCESS_SHARE = 0.5
# Time in which half of what the gauge has measured is forgotten, so that
# probes are tried again after some time without them.
HALF_LIFE_S = 2.0


def is_allowed(probes, body_bytes):
    """Return whether a call may be sent as a probe.

    :param probes: probes of it that were answered `BUSY_CODE`
    :param body_bytes: size of its body

    >>> is_allowed(0, 400), is_allowed(6, 400), is_allowed(0, 60000)
    (True, False, False)
    """
    return probes < MAX_PROBES and body_bytes <= MAX_PROBE_BYTES


class ProbeGauge:
    """Tells from earlier probes whether further ones are of use."""

    def __init__(self):
        self._exchange_s = 0.0
        self._success_share = INITIAL_SUCCESS_SHARE
        self._updated_at = None

    def record(self, is_busy, is_first, exchange_s, now):
        """Record the answer to a probe.

        :param is_busy: whether the node had no free slot
        :param is_first: whether it was the first probe of its call; others
            show how likely it is to find a slot after a busy node
        :param exchange_s: seconds until the answer, used if it was busy
        :param now: monotonic seconds
        """
        self._forget(now)
        if is_busy:
            self._exchange_s += PROBE_WEIGHT * (exchange_s - self._exchange_s)
        if not is_first:
            self._success_share += PROBE_WEIGHT * (
                (not is_busy) - self._success_share
            )

    def is_worthwhile(self, load, now):
        """Return whether a call is to be sent as a probe.

        If the target is busy, the answer delays the call by an exchange; if
        the next one is free, that saves the time until a slot gets free.

        :param load: reported `hop_messages.Load` of the target
        :param now: monotonic seconds
        """
        if load.link_utilisation > MAX_LINK_UTILISATION:
            return False
        self._forget(now)
        wait_s = load.work_ms / 1000 / max(1, load.slots)
        return self._success_share * wait_s >= self._exchange_s

    def _forget(self, now):
        if self._updated_at is not None:
            kept = 0.5 ** (max(0.0, now - self._updated_at) / HALF_LIFE_S)
            self._exchange_s *= kept
            self._success_share = INITIAL_SUCCESS_SHARE + kept * (
                self._success_share - INITIAL_SUCCESS_SHARE
            )
        self._updated_at = now
