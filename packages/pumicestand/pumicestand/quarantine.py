"""Recognises requests that crash the targets that run them."""

import hashlib

from pumicestand import events
from pumicestand import messages

CRASHES_BEFORE_QUARANTINE = 2
QUARANTINE_S = 60.0
SUSPECT_RETENTION_S = 300.0
MAX_SUSPECTS = 1000


def fingerprint(method, route, path, body):
    """Return 64 bits that stand for a request.

    :param route: name of the route
    :param path: path with query
    :param body: the body, or its first bytes and length, as bytes
    """
    digest = hashlib.blake2b(digest_size=8)
    for part in (method.encode(), route.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return int.from_bytes(digest.digest())


def call_fingerprint(call):
    """Return the fingerprint of a call between two nodes.

    :param call: anything with `method`, `service`, `url` and `body`, the
        last two as bytes
    """
    url = call.url.decode('latin-1')
    return fingerprint(call.method, call.service, url, call.body)


class CrashCounter:
    """Counts the crashes that each request was part of."""

    def __init__(self):
        self._suspects = {}

    def is_refused(self, board, mark, now):
        """Return whether a request is in quarantine."""
        entry = board.table.quarantine(mark)
        return entry is not None and now < entry.until

    def record_crash(self, board, mark, route, target, now):
        """Count a crash of a target while it ran a request.

        :param mark: the request's fingerprint
        :param target: key of the target
        """
        targets, _ = self._suspects.get(mark, (frozenset(), now))
        targets |= {target}
        self._suspects[mark] = (targets, now)
        self._forget(now)
        if len(targets) < CRASHES_BEFORE_QUARANTINE:
            return
        # One more crash after the term is enough to refuse it again.
        self._suspects[mark] = (frozenset([target]), now)
        board.spread(messages.Quarantine(mark, route, now + QUARANTINE_S), now)
        board.emit(
            events.Kind.REQUEST_QUARANTINED,
            now,
            detail=f'request {mark:016x} on route {route} crashed '
            f'{len(targets)} targets; refused for {QUARANTINE_S:g} s',
        )

    def record_answer(self, mark):
        """Clear a request that a target has answered."""
        self._suspects.pop(mark, None)

    def _forget(self, now):
        for mark, (_, at) in list(self._suspects.items()):
            if (
                now - at > SUSPECT_RETENTION_S
                or len(self._suspects) > MAX_SUSPECTS
            ):
                del self._suspects[mark]
