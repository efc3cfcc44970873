"""The simulated clock: events in the order of their times."""

import heapq
import itertools


class EventQueue:
    """Runs functions at simulated times, in seconds from 0."""

    def __init__(self):
        self._events = []
        self._numbers = itertools.count()
        self.now = 0.0

    def call_at(self, time, function, *arguments):
        """Call a function at a time, or now if the time has passed."""
        heapq.heappush(
            self._events,
            (max(time, self.now), next(self._numbers), function, arguments),
        )

    def call_after(self, delay_s, function, *arguments):
        """Call a function after a delay."""
        self.call_at(self.now + delay_s, function, *arguments)

    def run_until(self, end):
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self.now = end
