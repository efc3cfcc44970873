"""Selects the links on which a node pings the peer.

A connection can go silent without a reset. A link with pending calls is
checked by itself; one without calls would go unnoticed, and with it what the
peer has reported since. All idle links of a large fleet are too many to check
all the time, so a few that have been silent for longest are checked at once.
If a link turns out to be dead, others are likely to be dead as well, and all
that are silent are checked.
"""

# Silence after which a link is checked, in seconds.
PROBE_AFTER_SILENCE_S = 0.6
# Links checked in one period, and the period in seconds: at 660 nodes this
# costs some 300 bytes a second.
PROBES_PER_PERIOD = 3
PROBE_PERIOD_S = 0.6


class ProbeSelector:
    """Selects links by their silence."""

    def __init__(self):
        self._next_at = float('-inf')
        self._is_death_suspected = False

    def record_dead_link(self):
        """Record that a link has turned out to be dead."""
        self._is_death_suspected = True

    def select(self, silences, now):
        """Return the links to check now.

        :param silences: seconds of silence of each open link that is not
            being checked
        :param now: monotonic seconds
        """
        if now < self._next_at and not self._is_death_suspected:
            return []
        silent = [
            link
            for link, silence_s in silences.items()
            if silence_s >= PROBE_AFTER_SILENCE_S
        ]
        silent.sort(key=silences.get, reverse=True)
        if not self._is_death_suspected:
            silent = silent[:PROBES_PER_PERIOD]
        if silent:
            self._next_at = now + PROBE_PERIOD_S
        self._is_death_suspected = False
        return silent
