"""Tests of the sequential test of a new version."""

import math
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from pumicestand import documents
from pumicestand import evidence
from pumicestand import messages

MOVE = documents.Move(
    'm',
    's',
    'v1',
    'v2',
    0.0,
    100.0,
    0.02,
    documents.RollbackThresholds(0.01, 2.0),
    (),
)
counts = st.integers(0, 1000)
counters = st.builds(
    lambda *values: messages.Counters('m', 'r', *values), *([counts] * 6)
)


def make_counters(new_calls, new_errors, old_calls, old_errors, route='r'):
    return messages.Counters(
        'm', route, new_calls, new_errors, 0, old_calls, old_errors, 0
    )


def assess(totals, history=None, now=10.0):
    history = history or evidence.History()
    return evidence.assess(MOVE, now, totals, history)


@hypothesis.given(counters, counters, counters)
def test_merging_is_commutative_associative_and_idempotent(a, b, c):
    merge = evidence.merge_counters
    assert merge(a, b) == merge(b, a)
    assert merge(a, merge(b, c)) == merge(merge(a, b), c)
    assert merge(a, a) == a


@hypothesis.given(counters, counters)
def test_subtraction_reverses_addition(earlier, increase):
    later = evidence.add_counters(earlier, increase)
    assert evidence.subtract_counters(later, earlier) == increase


def test_four_failures_of_four_calls_are_a_finding():
    # Three failures are not enough, since the probability of a false alarm
    # must be small.
    for failed, is_bad in ((3, False), (4, True)):
        totals = {'r': make_counters(failed, failed, 1000, 0)}
        assert (assess(totals).finding is not None) is is_bad


def test_failures_of_both_versions_are_no_finding():
    totals = {'r': make_counters(1000, 300, 1000, 300)}
    assert assess(totals).finding is None


def test_failures_of_the_old_version_alone_are_no_finding():
    totals = {'r': make_counters(1000, 5, 1000, 400)}
    assert assess(totals).finding is None


def test_failures_on_one_of_five_routes_are_found():
    totals = {
        f'r{number}': make_counters(200, 0, 2000, 2, f'r{number}')
        for number in range(5)
    }
    totals['r3'] = make_counters(20, 8, 2000, 2, 'r3')
    finding = assess(totals).finding
    assert finding.route == 'r3'
    assert '8 of 20 calls' in str(finding)


def test_failures_spread_over_all_routes_are_found():
    totals = {
        f'r{number}': make_counters(3, 2, 2000, 2, f'r{number}')
        for number in range(5)
    }
    assert assess({'r0': totals['r0']}).finding is None
    assert assess(totals).finding.route == evidence.ALL_ROUTES
    assert 'on all routes' in str(assess(totals).finding)


def test_failures_after_many_good_calls_are_found():
    history = evidence.History()
    good = {'r': make_counters(100_000, 100, 100_000, 100)}
    for second in range(60):
        history.add(float(second), good)
    bad = {'r': make_counters(100_030, 130, 100_100, 100)}
    finding = assess(bad, history, now=62.0).finding
    assert finding is not None
    assert finding.calls == 30
    # Without windows, the good calls from before would hide the failures.
    assert assess(bad, None, now=62.0).finding is None


@pytest.mark.parametrize('seed', range(20))
def test_repeated_reading_gives_no_false_alarm(seed):
    rng = random.Random(seed)
    history = evidence.History()
    new_errors = old_errors = 0
    for second in range(1, 120):
        new_errors += sum(rng.random() < 0.01 for _ in range(20))
        old_errors += sum(rng.random() < 0.01 for _ in range(20))
        calls = 20 * second
        totals = {'r': make_counters(calls, new_errors, calls, old_errors)}
        history.add(float(second), totals)
        assert assess(totals, history, float(second)).finding is None


@hypothesis.given(
    st.integers(0, 500), st.integers(0, 500), st.floats(0.001, 0.5)
)
def test_more_failures_never_lower_the_capital(calls, failures, allowed_ratio):
    failures = min(calls, failures)
    capital = evidence.log_capital(calls, failures, allowed_ratio)
    assert math.isfinite(capital)
    if failures < calls:
        more = evidence.log_capital(calls, failures + 1, allowed_ratio)
        assert more >= capital
