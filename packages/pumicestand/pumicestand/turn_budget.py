"""Shares the turns of the one thread among clients.

A client may send its request in very many small parts: chunks of a few bytes,
or header lines. Each of them takes a while, and with many such clients all
others would wait. So a client whose parts are many pauses after them, and all
of these clients together get a part of the time.
"""

# Parts in one turn from which on a client pauses. A turn reads about a
# kilobyte, so that the parts of others are not this small.
MIN_PARTS = 64
# Time that a part takes, on a slow VM.
PART_S = 2e-6
# Share of the time that the clients with many parts get.
SHARE = 0.5


class TurnBudget:
    """Tells how long clients with many parts pause."""

    def __init__(self):
        self._free_at = float('-inf')

    def pause_s(self, parts, now):
        """Return for how many seconds a client pauses after its turn.

        :param parts: parts that it has sent in this turn
        :param now: monotonic seconds
        """
        if parts < MIN_PARTS:
            return 0.0
        work_s = parts * PART_S
        self._free_at = max(self._free_at, now - work_s) + work_s / SHARE
        return self._free_at - now
