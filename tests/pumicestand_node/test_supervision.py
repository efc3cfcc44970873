"""Tests that unexpected errors do not end the process."""

import pytest
import trio

from pumicestand import log
from pumicestand_node import supervision
from tests import fakes
from tests import mock_clock


def test_failed_task_is_started_again_with_growing_delays():
    async def main():
        starts = []

        async def fail():
            starts.append(trio.current_time())
            if len(starts) < 9:
                raise KeyError('unexpected')

        await supervision.supervise('test', fail)
        gaps = [b - a for a, b in zip(starts, starts[1:], strict=False)]
        assert gaps[0] == pytest.approx(supervision.MIN_RESTART_DELAY_S)
        assert gaps[-1] == pytest.approx(supervision.MAX_RESTART_DELAY_S)

    mock_clock.run(main)


def test_errors_of_a_nursery_inside_the_task_are_handled_too():
    async def main():
        starts = []

        async def fail_in_nursery():
            starts.append(1)
            if len(starts) > 1:
                return
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fail)

        async def fail():
            raise ValueError('unexpected')

        await supervision.supervise('test', fail_in_nursery)
        assert len(starts) == 2

    mock_clock.run(main)


def test_cancelled_task_is_not_started_again():
    async def main():
        starts = []

        async def wait():
            starts.append(1)
            await trio.sleep_forever()

        with trio.move_on_after(1):
            await supervision.supervise('test', wait)
        assert len(starts) == 1

    mock_clock.run(main)


def test_log_that_fails_ends_no_task(monkeypatch):
    async def main():
        starts = []

        async def fail():
            starts.append(1)
            if len(starts) == 1:
                raise KeyError('unexpected')

        await supervision.supervise('test', fail)
        assert len(starts) == 2

    monkeypatch.setattr(log, 'logger', fakes.FailingLogger())
    mock_clock.run(main)
