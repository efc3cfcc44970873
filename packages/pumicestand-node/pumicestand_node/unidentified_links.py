"""Bounds the connections to the port for links that have sent no hello."""

from pumicestand import log
from pumicestand import log_throttle

# Time in which the opener has to send its hello, in seconds: it may be frozen
# or its network narrow.
HELLO_TIMEOUT_S = 5.0
MAX_UNIDENTIFIED = 32
# Age from which a connection may be closed to make room, in seconds: the hello
# of a younger one may be on its way.
MIN_AGE_S = 1.0


class UnidentifiedLinks:
    """The links whose openers have not identified themselves, oldest first.

    :param clock: returns monotonic seconds
    """

    def __init__(self, clock):
        self._clock = clock
        # `link_server.LinkServer` to the time at which it was added.
        self._added_at = {}
        self._overdue = set()
        self._throttle = log_throttle.LogThrottle()

    def add(self, server):
        """Add a new link; it replaces the oldest of `MAX_UNIDENTIFIED`.

        :param server: `link_server.LinkServer`
        """
        if len(self._added_at) >= MAX_UNIDENTIFIED:
            self._close(next(iter(self._added_at)))
        self._added_at[server] = self._clock()

    def discard(self, server):
        """Remove a link that has identified itself or ended, if it is here."""
        self._added_at.pop(server, None)

    def close_overdue(self, now):
        """Close the links without a hello for `HELLO_TIMEOUT_S`.

        They must have been overdue at the last call too: a node that was
        frozen first reads what has arrived meanwhile.

        :param now: monotonic seconds
        """
        overdue = self._older_than(HELLO_TIMEOUT_S, now)
        for server in overdue & self._overdue:
            self._close(server)
        self._overdue = overdue & self._added_at.keys()

    def close_oldest(self):
        """Close the oldest link to make room; return whether there was one.

        Links younger than `MIN_AGE_S` are kept.
        """
        if not self._older_than(MIN_AGE_S, self._clock()):
            return False
        self._close(next(iter(self._added_at)))
        return True

    def _older_than(self, age_s, now):
        return {
            server
            for server, added_at in self._added_at.items()
            if now - added_at >= age_s
        }

    def _close(self, server):
        now = self._clock()
        age_s = now - self._added_at.pop(server)
        server.frames.stop()
        count = self._throttle.count(now)
        if count:
            log.logger.bind(event='link-unidentified', count=count).warning(
                'closed {} connections to the port for links that had sent no '
                'hello, the last one after {:.1f} s',
                count,
                age_s,
            )
