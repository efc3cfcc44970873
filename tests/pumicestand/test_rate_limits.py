"""Tests of limits on the rate of calls."""

import pytest

from pumicestand import rate_limits


def count_starts(limiter, since, until, period_s=0.01):
    steps = int((until - since) / period_s)
    return sum(limiter.try_start(since + n * period_s) for n in range(steps))


@pytest.mark.parametrize('rate', [0.0, 0.7, 3.0, 34.5, 80.0])
def test_starts_of_four_seconds_stay_near_the_rate(rate):
    limiter = rate_limits.RateLimiter()
    limiter.set_rate(rate, 0.0)
    starts = count_starts(limiter, 0.0, 4.0)
    assert starts <= max(rate, rate_limits.MIN_RATE) * 4 + 1
    # What is kept while no calls come adds little.
    starts = count_starts(limiter, 60.0, 64.0)
    assert 0.9 * rate * 4 <= starts <= 1.5 * rate * 4 + 5


def test_without_a_limit_every_call_starts():
    limiter = rate_limits.RateLimiter()
    assert count_starts(limiter, 0.0, 1.0) == 100
    limiter.set_rate(5.0, 1.0)
    limiter.set_rate(None, 2.0)
    assert count_starts(limiter, 2.0, 3.0) == 100


def test_a_changed_limit_gives_no_calls_away():
    limiter = rate_limits.RateLimiter()
    starts = 0
    for step in range(400):
        now = step / 100
        limiter.set_rate(10.0 + step % 2, now)
        starts += limiter.try_start(now)
    assert starts <= 4 * 11 + 1


def test_call_may_start_after_its_wait():
    limiter = rate_limits.RateLimiter()
    limiter.set_rate(7.0, 0.0)
    now = 0.0
    for _ in range(50):
        now += limiter.wait_s(0, now)
        assert limiter.try_start(now)
    assert now == pytest.approx(50 / 7.0)


# Calls of one second may exceed the rate of a cold target by this many.
ALLOWED_BURST = 2


def most_starts_in_a_second(times):
    return max(
        (sum(first <= at < first + 1 for at in times) for first in times),
        default=0,
    )


def start_as_many_as_possible(limiter, since, until, period_s=0.01):
    """Return the times of the starts; a call is tried in each period."""
    steps = int((until - since) / period_s)
    times = [since + step * period_s for step in range(steps)]
    return [at for at in times if limiter.try_start(at)]


@pytest.mark.parametrize('rate', [0.3, 1.0, 8.0, 12.5, 30.0])
def test_no_second_of_a_cold_target_has_more_starts_than_allowed(rate):
    """A cold target crashes; idle times must not save up calls."""
    limiter = rate_limits.StartLimiter()
    limiter.set_cold_limit(rate, 100.0, 0.0)
    times = start_as_many_as_possible(limiter, 0.0, 4.0)
    times += start_as_many_as_possible(limiter, 9.0, 14.0)
    assert most_starts_in_a_second(times) <= rate + ALLOWED_BURST
    assert len(times) >= 9 * rate


def test_calls_before_a_target_turned_cold_count():
    """It may have turned cold before the node heard of it."""
    rate = 10.0
    limiter = rate_limits.StartLimiter()
    limiter.set_cold_limit(rate, 0.0, 0.0)
    before = start_as_many_as_possible(limiter, 0.0, 5.0, 0.05)
    assert len(before) == 100
    limiter.set_cold_limit(rate, 9.0, 5.0)
    after = start_as_many_as_possible(limiter, 5.0, 9.0)
    # The last start was at 4.95; from there the calls of one second and the
    # next one are waited for.
    assert after[0] == pytest.approx(4.95 + 1 + 1 / rate)
    assert most_starts_in_a_second(after) <= rate + ALLOWED_BURST


def test_few_calls_before_a_target_turned_cold_leave_room():
    limiter = rate_limits.StartLimiter()
    limiter.set_cold_limit(10.0, 0.0, 0.0)
    start_as_many_as_possible(limiter, 0.0, 5.0, 0.5)
    limiter.set_cold_limit(10.0, 9.0, 5.0)
    assert limiter.try_start(5.0)


def test_warm_target_gets_every_call_at_once():
    limiter = rate_limits.StartLimiter()
    limiter.set_cold_limit(5.0, 2.0, 0.0)
    assert limiter.rate == 5.0
    assert limiter.wait_s(9, 1.5) == pytest.approx(0.5)
    assert limiter.wait_s(9, 2.0) == 0.0
    assert count_starts(limiter, 2.0, 3.0) == 100
    assert limiter.rate is None


@pytest.mark.parametrize('advertised, expected', [(3.0, 3.0), (50.0, 8.0)])
def test_the_lower_of_both_limits_applies(advertised, expected):
    limiter = rate_limits.StartLimiter()
    limiter.set_rate(advertised, 0.0)
    limiter.set_cold_limit(8.0, 100.0, 0.0)
    assert limiter.rate == expected
    starts = start_as_many_as_possible(limiter, 0.0, 10.0)
    assert 9 * expected <= len(starts) <= 11 * expected
    assert limiter.wait_s(0, 10.0) <= 1 / expected


def test_denied_call_takes_nothing_from_the_other_limit():
    """Calls that the cold limit holds back must not use up the other."""
    limiter = rate_limits.StartLimiter()
    limiter.set_rate(20.0, 0.0)
    limiter.set_cold_limit(1.0, 5.0, 0.0)
    start_as_many_as_possible(limiter, 0.0, 5.0)
    # The cold time is over; what was kept of the other limit is there.
    assert count_starts(limiter, 5.0, 5.02, 0.002) == 5
