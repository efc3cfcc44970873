"""Tests of the evidence on a new version."""

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
numbers = st.integers(0, 1000)
counters = st.builds(
    lambda *values: messages.Counters('m', 'r', *values), *([numbers] * 6)
)


def make_counters(new_calls, new_errors, old_calls, old_errors, route='r'):
    return messages.Counters(
        'm', route, new_calls, new_errors, 0, old_calls, old_errors, 0
    )


def read(totals, history=None, now=10.0):
    history = history or evidence.History()
    return evidence.assess(MOVE, now, totals, history)


@hypothesis.given(counters, counters, counters)
def test_merging_counters_is_a_maximum(a, b, c):
    maximum = evidence.merge_counters
    assert maximum(a, b) == maximum(b, a)
    assert maximum(a, maximum(b, c)) == maximum(maximum(a, b), c)
    assert maximum(a, a) == a


@hypothesis.given(counters, counters)
def test_what_came_since_and_before_add_up(before, more):
    now = evidence.add_counters(before, more)
    assert evidence.subtract_counters(now, before) == more


def test_four_failures_of_four_calls_condemn():
    # Three are not enough: the budget for false alarms is small.
    for failed, is_bad in ((3, False), (4, True)):
        totals = {'r': make_counters(failed, failed, 1000, 0)}
        assert (read(totals).finding is not None) is is_bad


def test_a_fault_that_both_versions_share_condemns_neither():
    totals = {'r': make_counters(1000, 300, 1000, 300)}
    assert read(totals).finding is None


def test_a_sick_old_version_does_not_condemn_a_good_new_one():
    totals = {'r': make_counters(1000, 5, 1000, 400)}
    assert read(totals).finding is None


def test_badness_on_one_of_five_routes_is_found():
    totals = {
        f'r{number}': make_counters(200, 0, 2000, 2, f'r{number}')
        for number in range(5)
    }
    totals['r3'] = make_counters(20, 8, 2000, 2, 'r3')
    finding = read(totals).finding
    assert finding.route == 'r3'
    assert '8 of 20 calls' in str(finding)


def test_badness_spread_over_all_routes_is_found():
    totals = {
        f'r{number}': make_counters(3, 2, 2000, 2, f'r{number}')
        for number in range(5)
    }
    assert read({'r0': totals['r0']}).finding is None
    assert read(totals).finding.route == evidence.ALL_ROUTES
    assert 'on all routes' in str(read(totals).finding)


def test_badness_after_many_good_calls_is_found():
    history = evidence.History()
    good = {'r': make_counters(100_000, 100, 100_000, 100)}
    for second in range(60):
        history.add(float(second), good)
    bad = {'r': make_counters(100_030, 130, 100_100, 100)}
    finding = read(bad, history, now=62.0).finding
    assert finding is not None
    assert finding.calls == 30
    # Over the whole time it would have been lost.
    assert read(bad, None, now=62.0).finding is None


@pytest.mark.parametrize('seed', range(20))
def test_reading_at_any_time_gives_no_false_alarm(seed):
    rng = random.Random(seed)
    history = evidence.History()
    new_errors = old_errors = 0
    for second in range(1, 120):
        new_errors += sum(rng.random() < 0.01 for _ in range(20))
        old_errors += sum(rng.random() < 0.01 for _ in range(20))
        calls = 20 * second
        totals = {'r': make_counters(calls, new_errors, calls, old_errors)}
        history.add(float(second), totals)
        assert read(totals, history, float(second)).finding is None


@hypothesis.given(
    st.integers(0, 500), st.integers(0, 500), st.floats(0.001, 0.5)
)
def test_more_failures_never_lower_the_capital(calls, failures, bound):
    failures = min(calls, failures)
    capital = evidence.log_capital(calls, failures, bound)
    assert math.isfinite(capital)
    if failures < calls:
        more = evidence.log_capital(calls, failures + 1, bound)
        assert more >= capital
