"""Tests of the retry quota, which holds for the whole fleet."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from pumicestand import retry_quota

RATIO, CONSTANT, WINDOW_S = 0.2, 60.0, 10.0


def make_quota():
    return retry_quota.RetryQuota(RATIO, CONSTANT, WINDOW_S)


def test_allowed_retries_are_a_ratio_of_the_requests():
    quota = make_quota()
    for _ in range(1000):
        quota.record_request('s', 1.0)
    acquired = sum(quota.try_acquire('s', 1000, 1.0) for _ in range(1000))
    assert acquired == int(
        retry_quota.DIRECT_RETRY_SHARE * (0.2 * 1000 + 0.06)
    )


def test_quota_is_available_again_after_the_window():
    quota = make_quota()
    while quota.try_acquire('s', 10, 1.0):
        pass
    assert not quota.try_acquire('s', 10, 10.9)
    assert quota.try_acquire('s', 10, 11.1)


def test_services_have_separate_quotas():
    quota = make_quota()
    while quota.try_acquire('s', 10, 1.0):
        pass
    assert quota.try_acquire('t', 10, 1.0)


@pytest.mark.parametrize('nodes', [2, 13, 89, 700])
@hypothesis.given(seed=strategies.integers(0, 1000))
@hypothesis.settings(max_examples=5)
def test_fleet_stays_within_the_quota_in_every_window(nodes, seed):
    rng = random.Random(seed)
    quotas = [make_quota() for _ in range(nodes)]
    requests, retries = [], []
    for step in range(3000):
        now = step * 0.01
        quota = rng.choice(quotas)
        quota.record_request('s', now)
        requests.append(now)
        # Retry storm: three retries are wanted for every request.
        for _ in range(3):
            if quota.try_acquire('s', nodes, now):
                retries.append(now)
    for end in range(10, 30):
        start = end - WINDOW_S
        retry_count = sum(start < at <= end for at in retries)
        request_count = sum(start < at <= end for at in requests)
        assert retry_count <= RATIO * request_count + CONSTANT
