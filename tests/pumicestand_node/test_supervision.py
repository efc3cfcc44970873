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


async def fail():
    raise ValueError('unexpected')


async def fail_when_cancelled():
    try:
        await trio.sleep_forever()
    finally:
        raise ValueError('unexpected')


def test_a_task_that_fails_does_not_end_the_others():
    """It ended the process with all its calls."""

    async def main():
        async with trio.open_nursery() as nursery:
            guarded = supervision.GuardedNursery(nursery)
            guarded.start_soon(fail)
            await trio.sleep(1.0)
            guarded.start_soon(fail)
            await trio.sleep(1.0)
            guarded.cancel_scope.cancel()

    mock_clock.run(main)


async def fail_beside_a_cancelled_task():
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.sleep_forever)
        nursery.start_soon(fail_when_cancelled)


@pytest.mark.parametrize('is_supervised', [True, False])
@pytest.mark.parametrize(
    'task', [fail_when_cancelled, fail_beside_a_cancelled_task]
)
def test_a_task_that_fails_while_it_is_cancelled_does_not_end_the_others(
    is_supervised, task
):
    """An orderly stop ended with an error."""

    async def main():
        async with trio.open_nursery() as nursery:
            guarded = supervision.GuardedNursery(nursery)
            if is_supervised:
                nursery.start_soon(supervision.supervise, 'test', task)
            else:
                guarded.start_soon(task)
            await trio.sleep(1.0)
            guarded.cancel_scope.cancel()

    mock_clock.run(main)
