"""Whether the target beside a node is cold, and how many calls it bears then.

A target is cold for some time after a start, and may become cold again at any
moment. It tells so in its heartbeats and in some of its responses. While it
is cold it crashes when it gets well more calls than the service's cold rate,
so it is also taken to be cold as long as it may have started without the node
having heard of it: after a start of the node, after a refused connection, and
after heartbeats have been missing for long.

Times are in monotonic seconds, so a clock that is set has no influence.
"""

import dataclasses
import math

from pumicestand import targets

# Time after a refused connection in which a heartbeat of the same incarnation
# may still be one that was sent before the target crashed.
LATE_HEARTBEAT_S = 1.0
# Longest time for which one statement of a target is valid if the service's
# targets are cold for less: a later heartbeat renews it.
MIN_VALID_S = 4.0
# Time without heartbeats after which the target may have started unnoticed,
# in seconds: as for `targets.TargetWatch`, more than two periods.
SILENCE_S = targets.SILENCE_S


def parse_cold_s(value):
    """Return the seconds in a header's value, None if it is not valid.

    :param value: milliseconds as a decimal number, as bytes

    >>> parse_cold_s(b'1500'), parse_cold_s(b'0'), parse_cold_s(b'-1')
    (1.5, 0.0, None)
    >>> parse_cold_s(b'soon'), parse_cold_s(b'nan'), parse_cold_s(b'inf')
    (None, None, None)
    """
    try:
        milliseconds = float(value)
    except ValueError:
        return None
    if not math.isfinite(milliseconds) or milliseconds < 0:
        return None
    return milliseconds / 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What a target has said of itself, in a heartbeat or a response.

    :param instance: identifier of the target's start
    :param started_ms: that start, in milliseconds since the epoch
    :param cold_s: seconds for which it stays cold, 0 if it is warm
    """

    instance: str
    started_ms: int
    cold_s: float


class Coldness:
    """Tells until when the target beside this node is cold.

    ``cold_rate`` is the number of calls a second that a cold target of the
    configured service bears, 0 for any number.
    """

    def __init__(self):
        self._cold_start_s = 0.0
        self._incarnation = None
        self._cold_until = 0.0
        self._heard_at = None
        # Whether the target may have started without the node knowing, since
        # when, and until when if no heartbeat tells.
        self._is_unsure = True
        self._unsure_since = float('-inf')
        self._unsure_until = float('inf')
        self._refused_at = float('-inf')
        self.cold_rate = 0.0

    def set_service(self, service):
        """Set the service of the target as it is configured now.

        :param service: `documents.Service`, None if it is not known
        """
        self.cold_rate = service.cold_rate if service else 0.0
        self._cold_start_s = service.cold_start if service else 0.0

    def cold_until(self, now):
        """Return until when the target is cold as far as is known now.

        :param now: monotonic seconds
        :returns: monotonic seconds, infinity if only a heartbeat or a
            response of the target can tell
        """
        self._notice_silence(now)
        if self._is_unsure:
            return max(self._cold_until, self._unsure_until)
        return self._cold_until

    def _notice_silence(self, now):
        """Doubt what was heard before a long silence or a freeze."""
        if self._heard_at is not None and now - self._heard_at > SILENCE_S:
            self._heard_at = None
            self._doubt(now)

    def _doubt(self, now):
        self._is_unsure = True
        self._unsure_since = now
        self._unsure_until = float('inf')

    def record_heartbeat(self, statement, is_accepted, now):
        """Record a heartbeat.

        :param statement: its `Statement`
        :param is_accepted: whether it is the latest one of the target that
            the node knows; others are late, or of a target that started after
            the clock was set back and is not accepted yet
        :param now: monotonic seconds
        """
        if is_accepted:
            self._apply(statement, now)
            return
        incarnation = (statement.instance, statement.started_ms)
        if incarnation != self._incarnation and statement.cold_s > 0:
            self._doubt(now)

    def record_statement(self, statement, now):
        """Record what the target has said in a response of its own.

        :param statement: its `Statement`
        :param now: monotonic seconds
        """
        self._apply(statement, now)

    def _apply(self, statement, now):
        self._heard_at = now
        incarnation = (statement.instance, statement.started_ms)
        is_new = incarnation != self._incarnation
        self._incarnation = incarnation
        max_valid_s = max(self._cold_start_s, MIN_VALID_S)
        until = now + min(max_valid_s, max(0.0, statement.cold_s))
        if not is_new and now - self._refused_at < LATE_HEARTBEAT_S:
            self._cold_until = max(self._cold_until, until)
            return
        self._cold_until = until
        self._is_unsure = False

    def record_refused_connection(self, now):
        """Record that the target does not listen: it has probably crashed.

        It comes back cold, possibly as the same instance.

        :param now: monotonic seconds
        """
        self._refused_at = now
        self._doubt(now)

    def record_response(self, started_at, now):
        """Record that the target responded, so that it has started.

        If no heartbeat tells, it is taken to be cold for as long after this
        as after a start.

        :param started_at: start of the call, in monotonic seconds
        :param now: monotonic seconds
        """
        self._notice_silence(now)
        if not self._is_unsure:
            self._heard_at = now
        elif (
            self._unsure_until == float('inf')
            and started_at >= self._unsure_since
        ):
            self._unsure_until = now + self._cold_start_s
