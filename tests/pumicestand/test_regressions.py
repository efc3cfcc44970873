"""Tests of the comparison of versions under faults that strike both."""

import pytest

from pumicestand import regressions
from pumicestand import zone_summaries


class Traffic:
    """Calls of two versions, whose shares and faults change with time."""

    def __init__(self):
        self.history = regressions.EvidenceHistory()
        self.new = zone_summaries.EvidenceSum()
        self.old = zone_summaries.EvidenceSum()
        self.now = 0.0

    def run(self, seconds, rates, error_rates, work_ms=(50.0, 50.0)):
        """Return the first reason found while calls arrive.

        :param rates: calls a second of the new and of the old version
        :param error_rates: shares of them that fail
        """
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            for total, rate, errors, ms in zip(
                (self.new, self.old), rates, error_rates, work_ms, strict=True
            ):
                total.calls += rate / 10
                total.errors += rate / 10 * errors
                total.timed_calls += rate / 10
                total.work_ms += rate / 10 * ms
            reason = self.history.find_regression(
                {'r': copy_of(self.new)}, {'r': copy_of(self.old)}, self.now
            )
            if reason:
                return reason
        return ''


def copy_of(total):
    return total.since(zone_summaries.EvidenceSum())


@pytest.mark.parametrize('rate', [20, 200, 2000])
def test_fault_of_all_targets_is_not_held_against_the_new_version(rate):
    """The new version gets most of its calls during the fault."""
    traffic = Traffic()
    assert not traffic.run(9, (0.05 * rate, 0.95 * rate), (0, 0))
    assert not traffic.run(4, (0.5 * rate, 0.5 * rate), (0.4, 0.4))
    assert not traffic.run(2, (0.5 * rate, 0.5 * rate), (0, 0))
    assert not traffic.run(5, (rate, 0), (0, 0))


def test_slow_time_of_all_targets_is_not_held_against_the_new_version():
    traffic = Traffic()
    assert not traffic.run(9, (5, 95), (0, 0))
    assert not traffic.run(4, (50, 50), (0, 0), (400.0, 400.0))


@pytest.mark.parametrize(
    ('error_rates', 'work_ms'),
    [((0.5, 0.0), (50, 50)), ((0.5, 0.2), (50, 50)), ((0, 0), (400, 50))],
)
@pytest.mark.parametrize('rate', [4, 20, 200])
def test_bad_version_is_found_at_its_first_share(rate, error_rates, work_ms):
    traffic = Traffic()
    assert not traffic.run(3, (0, 0.95 * rate), (0, 0))
    assert traffic.run(15, (max(1, 0.05 * rate), rate), error_rates, work_ms)
    assert traffic.new.calls * 0.5 < 50


def test_version_that_turns_bad_late_is_found_within_the_window():
    traffic = Traffic()
    assert not traffic.run(12, (100, 100), (0, 0))
    before = traffic.now
    assert traffic.run(5, (100, 100), (0.5, 0))
    assert traffic.now - before < 2.5
