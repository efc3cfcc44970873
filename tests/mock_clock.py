"""Runs tests on a clock that jumps when all tasks wait."""

import trio
import trio.testing


def run(function):
    """Run a coroutine function and return what it returns."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, clock=clock)
