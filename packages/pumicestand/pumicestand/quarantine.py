"""Detection of requests that crash the targets that run them."""

from pumicestand import events
from pumicestand import messages

# Different targets that a request must have crashed to be quarantined.
CRASHES_BEFORE_QUARANTINE = 2
# Time for which a quarantined request is refused.
QUARANTINE_S = 60.0
# Time after its last crash for which a request is remembered, and the number
# of requests that are remembered.
SUSPECT_RETENTION_S = 300.0
MAX_SUSPECTS = 1000


class CrashCounter:
    """Counts the targets that crashed while they ran each request."""

    def __init__(self):
        self._suspects = {}

    def is_refused(self, board, fingerprint, now):
        """Return whether a request is quarantined."""
        entry = board.table.quarantine(fingerprint)
        return entry is not None and now < entry.until

    def record_crash(self, board, fingerprint, route, target, now):
        """Count a crash of a target while it ran a request.

        :param fingerprint: fingerprint of the request
        :param route: name of its route
        :param target: key of the target
        """
        targets, _ = self._suspects.get(fingerprint, (frozenset(), now))
        targets |= {target}
        self._suspects[fingerprint] = (targets, now)
        self._evict(now)
        if len(targets) < CRASHES_BEFORE_QUARANTINE:
            return
        # Keep this target, so that one more crash after the quarantine is
        # enough to start it again.
        self._suspects[fingerprint] = (frozenset([target]), now)
        board.disseminate(
            messages.Quarantine(fingerprint, route, now + QUARANTINE_S), now
        )
        board.emit(
            events.Kind.REQUEST_QUARANTINED,
            now,
            detail=f'request {fingerprint:016x} on route {route} crashed '
            f'{len(targets)} targets; refused for {QUARANTINE_S:g} s',
        )

    def record_answer(self, fingerprint):
        """Forget the crashes of a request that a target has answered."""
        self._suspects.pop(fingerprint, None)

    def _evict(self, now):
        for fingerprint, (_, crashed_at) in list(self._suspects.items()):
            if (
                now - crashed_at > SUSPECT_RETENTION_S
                or len(self._suspects) > MAX_SUSPECTS
            ):
                del self._suspects[fingerprint]
