"""One JSON line for each decision, bounded and never waited for.

Lines are kept until the next flush; beyond the bound they are dropped and
counted, and the count is a line of its own.
"""

import collections
import datetime
import json
import os

# Lines kept between two flushes, and lines a second; above it successes go
# first. One line takes about 10 microseconds.
MAX_BUFFERED_LINES = 1_000
MAX_LINES_PER_S = 400
MIN_ERROR_STATUS = 400


class DecisionLog:
    """Collects decisions and writes them.

    :param process: name of this process, in each line
    :param wall: returns wall time in seconds
    :param write: takes bytes; returns whether they were taken
    """

    def __init__(self, process, wall_clock, write):
        self._process = process
        self._wall_clock = wall_clock
        self._write = write
        self._lines = collections.deque()
        self._second = 0
        self._lines_in_second = 0
        self._dropped = 0

    @property
    def dropped(self):
        """Lines dropped so far."""
        return self._dropped

    def note(self, event, **fields):
        """Add a decision."""
        now = self._wall_clock()
        if int(now) != self._second:
            self._second, self._lines_in_second = int(now), 0
        self._lines_in_second += 1
        is_success = 0 < fields.get('status', 0) < MIN_ERROR_STATUS
        limit = MAX_LINES_PER_S // 4 if is_success else MAX_LINES_PER_S
        if (
            self._lines_in_second > limit
            or len(self._lines) >= MAX_BUFFERED_LINES
        ):
            self._dropped += 1
            return
        self._lines.append((now, event, fields))

    def flush(self):
        """Write what was collected."""
        if not self._lines:
            return
        parts = []
        while self._lines:
            now, event, fields = self._lines.popleft()
            time = datetime.datetime.fromtimestamp(now, datetime.UTC)
            line = {
                'time': time.isoformat(),
                'process': self._process,
                'event': event,
                **{k: v for k, v in fields.items() if v not in (None, '')},
            }
            parts.append(json.dumps(line, default=str) + '\n')
        if not self._write(''.join(parts).encode()):
            self._dropped += len(parts)


def make_writer(descriptor):
    """Return a writer that drops what a full pipe does not take."""
    os.set_blocking(descriptor, False)

    def write(data):
        try:
            return os.write(descriptor, data) == len(data)
        except BlockingIOError:
            return False

    return write
