"""Tests that the queue answers more calls in time than other orders do."""

import pytest

from benchmarks import queue_play


def mean_score(name, load):
    policy = queue_play.POLICIES[name]
    counts_by_seed = [
        queue_play.simulate(policy, load, seed) for seed in range(2)
    ]
    return sum(counts.score for counts in counts_by_seed) / len(counts_by_seed)


@pytest.mark.parametrize(
    ('load', 'gain'), [(0.6, 0.0), (0.9, 0.1), (1.2, 0.4), (2.0, 0.2)]
)
def test_calls_that_can_be_in_time_go_first(load, gain):
    score = mean_score('in time first', load)
    assert score >= mean_score('returned first', load) + gain
    assert score >= mean_score('plain', load) + gain


def test_no_call_has_two_outcomes():
    for policy in queue_play.POLICIES.values():
        counts = queue_play.simulate(policy, 1.2, 1)
        answered = counts.in_time + counts.late
        assert answered + counts.refused_again <= counts.calls
        assert counts.refused >= counts.refused_again


def test_late_calls_are_served_once_there_is_room():
    """Retries don't starve after the burst of the target's warm-up."""
    counts = queue_play.simulate(queue_play.POLICIES['in time first'], 0.6, 1)
    assert counts.refused_again < 0.03 * counts.calls
