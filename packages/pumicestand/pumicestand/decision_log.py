"""A log of decisions, one JSON line each, that never blocks its caller.

Lines are buffered until the next flush. Lines above a limit are dropped and
counted in `DecisionLog.dropped`.
"""

import bisect
import collections
import datetime
import json

# Limits on the lines buffered between two flushes and on the lines a second.
# Successful calls get a quarter of the latter, so that they are dropped before
# failures are. Writing one line takes about 10 microseconds.
MAX_BUFFERED_LINES = 1_000
MAX_LINES_PER_S = 400
# Lowest HTTP status that is not a success.
MIN_ERROR_STATUS = 400
# Longest text of a field as it is written; a path may have 32 kB.
MAX_TEXT_BYTES = 1_000
CUT_MARK = '...'
# Longest form of one character in JSON, two escapes.
MAX_ESCAPE_BYTES = 12


class DecisionLog:
    """Buffers decisions and writes them as JSON lines.

    :param process: name of this process, part of each line
    :param wall_clock: returns seconds since the epoch
    :param write: writes bytes of whole lines; returns how many of them it has
        dropped, None for none
    :param on_pending: called when the first line after a flush is added
    """

    def __init__(self, process, wall_clock, write, on_pending=None):
        self._process = process
        self._wall_clock = wall_clock
        self._write = write
        self._on_pending = on_pending
        self._lines = collections.deque()
        self._second = 0
        self._lines_in_second = 0
        self._dropped = 0

    @property
    def dropped(self):
        """Number of lines dropped so far."""
        return self._dropped

    def note(self, event, **fields):
        """Add a decision, or drop it if a limit is reached.

        :param event: name of the kind of decision
        :param fields: further fields of the line; empty ones are left out,
            and long text is cut
        """
        now = self._wall_clock()
        if int(now) != self._second:
            self._second, self._lines_in_second = int(now), 0
        self._lines_in_second += 1
        is_success = 0 < (fields.get('status') or 0) < MIN_ERROR_STATUS
        limit = MAX_LINES_PER_S // 4 if is_success else MAX_LINES_PER_S
        if (
            self._lines_in_second > limit
            or len(self._lines) >= MAX_BUFFERED_LINES
        ):
            self._dropped += 1
            return
        # Long text is not kept until the next flush either.
        fields = {k: _shorten(v) for k, v in fields.items()}
        self._lines.append((now, event, fields))
        if len(self._lines) == 1 and self._on_pending is not None:
            self._on_pending()

    def flush(self):
        """Write the buffered lines."""
        if not self._lines:
            return
        parts = []
        while self._lines:
            try:
                parts.append(self._format(*self._lines.popleft()))
            except Exception:
                self._dropped += 1
        self._dropped += self._write(''.join(parts).encode()) or 0

    def _format(self, now, event, fields):
        time = datetime.datetime.fromtimestamp(now, datetime.UTC)
        line = {
            'time': time.isoformat(),
            'process': self._process,
            'event': event,
            **{k: _cut(v) for k, v in fields.items() if v not in (None, '')},
        }
        return json.dumps(line, default=_describe) + '\n'


def _shorten(value):
    """Return a value, or as much of a text as shows that it is too long."""
    if not isinstance(value, str):
        return value
    return value[: MAX_TEXT_BYTES + 1]


def _describe(value):
    return _cut(_shorten(str(value)))


def _cut(value):
    """Return a value, or the start of a text that is too long."""
    if not isinstance(value, str):
        return value
    if len(value) * MAX_ESCAPE_BYTES <= MAX_TEXT_BYTES:
        # Most text is short, and is not measured.
        return value
    if _written_bytes(value) <= MAX_TEXT_BYTES:
        return value
    length = bisect.bisect_right(
        range(len(value)),
        MAX_TEXT_BYTES,
        key=lambda length: _written_bytes(value[:length]),
    )
    return value[: length - 1] + CUT_MARK


def _written_bytes(text):
    """Return the length of a text with the escapes of JSON, in bytes."""
    return len(json.dumps(text)) - 2
