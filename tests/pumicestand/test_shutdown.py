"""Tests of the times of an orderly stop."""

import pytest

from pumicestand import shutdown


@pytest.mark.parametrize('grace', [0.5, 2.0, 3.0, 6.0, 10.0, 60.0])
def test_calls_run_into_the_last_sixth_and_are_answered_in_time(grace):
    schedule = shutdown.plan(100.0, grace)
    assert 100.0 < schedule.accept_until <= schedule.targets_end_at
    assert grace * 5 / 6 < schedule.targets_end_at - 100.0
    assert schedule.targets_end_at < schedule.calls_end_at
    assert schedule.calls_end_at < schedule.close_at < 100.0 + grace
