"""Runs tests on a clock that skips the time in which all tasks wait."""

import trio
import trio.testing


def run(function):
    """Run a coroutine function on the mock clock and return its result."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, clock=clock)
