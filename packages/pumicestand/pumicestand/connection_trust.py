"""Decides for how long to trust connections to a server that are reused.

Connections can go silent without a reset, for good, while new ones work. So a
server that has been answering quickly is given less time on a connection that
was used before than on a new one.
"""

import enum
import math

# Time of an answer up to which the server counts as quick, as a fraction of
# the time-out on a reused connection. Cutting off a server that is merely slow
# would only add calls to it.
QUICK_RATIO = 0.25


class _State(enum.Enum):
    ANSWERING = enum.auto()
    # Old connections were silent, and no new one has been tried since.
    OLD_SILENT = enum.auto()
    FAILING = enum.auto()


class ConnectionTrust:
    """What the calls to one server have shown of its connections.

    :param reuse_timeout: seconds for which a quick server may be silent on a
        reused connection
    """

    def __init__(self, reuse_timeout):
        self._reuse_timeout = reuse_timeout
        self._state = _State.ANSWERING
        self._is_quick = True

    @property
    def reuse_timeout(self):
        """Seconds for which to wait on a reused connection.

        Infinite if nothing but the time-out of the call applies.
        """
        return self._reuse_timeout if self._is_quick else math.inf

    @property
    def is_only_old_silent(self):
        """Whether old connections were silent and no new one has failed."""
        return self._state is _State.OLD_SILENT

    def record_answer(self, seconds=None):
        """Record an answer.

        :param seconds: time that it took, None if it was meant to wait
        :returns: whether it shows that old connections are silent while the
            server answers, so that nothing will come on them any more
        """
        was_silent = self._state is _State.OLD_SILENT
        self._state = _State.ANSWERING
        if seconds is None:
            return False
        self._is_quick = seconds <= QUICK_RATIO * self._reuse_timeout
        return was_silent and self._is_quick

    def record_old_silence(self):
        """Record that a connection from before the call was silent."""
        self._is_quick = False
        if self._state is _State.ANSWERING:
            self._state = _State.OLD_SILENT

    def record_failure(self):
        """Record a failure that is not the silence of an old connection."""
        self._is_quick = False
        self._state = _State.FAILING
