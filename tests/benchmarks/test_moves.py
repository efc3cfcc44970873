"""Tests of the baselines and of the figures of the benchmark of moves."""

import random

from benchmarks import moves

DEPLOYMENT = moves.Deployment(4, 2, 60.0)


def run_ramp(name, has_threshold):
    behaviour = next(b for b in moves.BEHAVIOURS if b.name == name)
    rng = random.Random(1)
    fleet = moves.RampFleet(rng, has_threshold)
    return moves.run_move(fleet, moves.Workload(DEPLOYMENT, behaviour, rng))


def test_the_ramp_without_a_threshold_takes_nothing_back():
    result = run_ramp('errors on 100%', has_threshold=False)
    assert result.taken_back_at is None
    assert result.done_at is not None
    assert result.is_share_limit_exceeded


def test_the_ramp_with_a_threshold_takes_a_total_failure_back():
    result = run_ramp('errors on 100%', has_threshold=True)
    assert result.taken_back_at is not None
    assert result.bad_call_count > moves.BASELINE_MIN_CALLS / 2


def test_the_figures_count_good_and_bad_versions():
    good = moves.Result(done_at=moves.START_TIME + 1, bytes_sent=10)
    late = moves.Result(done_at=moves.START_TIME + moves.WINDOW_S + 1)
    caught = moves.Result(
        taken_back_at=moves.START_TIME + 5,
        first_bad_call_at=moves.START_TIME + 3,
        bad_call_count=4,
    )
    missed = moves.Result(done_at=moves.START_TIME + 1, bad_call_count=6)
    is_good, is_bad = moves.BEHAVIOURS[0], moves.BEHAVIOURS[6]
    figures = moves.summarise(
        [
            (is_good, good),
            (is_good, late),
            (is_bad, caught),
            (is_bad, missed),
        ]
    )
    assert (figures['good_total'], figures['good_on_time']) == (2, 1)
    assert (figures['bad_total'], figures['bad_taken_back']) == (2, 1)
    assert figures['detect_p50_s'] == 2.0
    assert figures['calls_hit_by_bad_per_move'] == 5.0
    assert figures['false_takebacks'] == 0
