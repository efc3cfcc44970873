"""Tests that callers get more in time by today's order than by others."""

import pytest

from benchmarks import queue_play


def mean_worth(name, load):
    policy = queue_play.POLICIES[name]
    plays = [queue_play.play(policy, load, seed) for seed in range(2)]
    return sum(counts.worth for counts in plays) / len(plays)


@pytest.mark.parametrize(
    ('load', 'gain'), [(0.6, 0.0), (0.9, 0.1), (1.2, 0.4), (2.0, 0.2)]
)
def test_who_can_still_be_in_time_goes_first(load, gain):
    worth = mean_worth('in time first', load)
    assert worth >= mean_worth('returned first', load) + gain
    assert worth >= mean_worth('plain', load) + gain


def test_every_call_is_accounted_for():
    for policy in queue_play.POLICIES.values():
        counts = queue_play.play(policy, 1.2, 1)
        answered = counts.in_time + counts.late
        assert answered + counts.refused_again <= counts.asked
        assert counts.refused >= counts.refused_again


def test_late_calls_are_served_once_there_is_room():
    """Nobody who came back starves when the burst is over."""
    counts = queue_play.play(queue_play.POLICIES['in time first'], 0.6, 1)
    assert counts.refused_again < 0.03 * counts.asked
