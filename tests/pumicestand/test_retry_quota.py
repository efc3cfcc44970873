"""Tests of the bound on repeated sends, which holds for the fleet."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from pumicestand import retry_quota

RATIO, CONSTANT, WINDOW = 0.2, 60.0, 10.0


def make_quota():
    return retry_quota.RetryQuota(RATIO, CONSTANT, WINDOW)


def test_repeats_follow_the_requests():
    quota = make_quota()
    for _ in range(1000):
        quota.record_request('s', 1.0)
    taken = sum(quota.try_acquire('s', 1000, 1.0) for _ in range(1000))
    assert taken == int(retry_quota.DIRECT_RETRY_SHARE * (0.2 * 1000 + 0.06))


def test_a_window_ends():
    quota = make_quota()
    while quota.try_acquire('s', 10, 1.0):
        pass
    assert not quota.try_acquire('s', 10, 10.9)
    assert quota.try_acquire('s', 10, 11.1)


def test_services_do_not_share():
    quota = make_quota()
    while quota.try_acquire('s', 10, 1.0):
        pass
    assert quota.try_acquire('t', 10, 1.0)


@pytest.mark.parametrize('nodes', [2, 13, 89, 700])
@hypothesis.given(seed=strategies.integers(0, 1000))
@hypothesis.settings(max_examples=5)
def test_no_window_of_the_fleet_goes_over_the_bound(nodes, seed):
    rng = random.Random(seed)
    quotas = [make_quota() for _ in range(nodes)]
    requests, repeats = [], []
    for step in range(3000):
        now = step * 0.01
        quota = rng.choice(quotas)
        quota.record_request('s', now)
        requests.append(now)
        # A storm: every request would like to be sent three times more.
        for _ in range(3):
            if quota.try_acquire('s', nodes, now):
                repeats.append(now)
    for end in range(10, 30):
        start = end - WINDOW
        made = sum(start < at <= end for at in repeats)
        asked = sum(start < at <= end for at in requests)
        assert made <= RATIO * asked + CONSTANT
