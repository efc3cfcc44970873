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
    assert schedule.accept_until < schedule.late_after
    assert schedule.late_after < schedule.late_targets_end_at
    assert schedule.late_targets_end_at < schedule.targets_end_at


@pytest.mark.parametrize(
    'now, deadline, work_s, expected',
    (
        # Its own deadline ends it.
        (104.0, 105.0, 9.0, True),
        (104.0, 109.0, 0.8, True),
        (104.0, 109.0, 1.0, False),
        # Even a call that takes no time has to get to its target.
        (105.0, 109.0, 0.0, True),
        (105.08, 109.0, 0.0, False),
    ),
)
def test_a_call_that_ends_with_the_node_needs_time_for_its_work(
    now, deadline, work_s, expected
):
    targets_end_at = shutdown.plan(100.0, 6.0).targets_end_at
    assert (
        shutdown.may_finish(now, deadline, work_s, targets_end_at) is expected
    )
