"""Tests of the comparison of ways to keep an organisation within its quota."""

import pytest

from benchmarks import quota


@pytest.fixture(scope='module')
def row():
    return quota.measure(13, 1.2, 13.0, 1)


def test_coordinators_let_almost_the_whole_rate_be_used(row):
    """Calls below the quota would be refused."""
    assert row['large']['coordinators']['used'] >= 0.97
    assert row['small']['coordinators']['used'] >= 0.9


def test_no_way_exceeds_the_bound(row):
    for name in quota.ORGANISATIONS:
        assert all(result['bound'] <= 1 for result in row[name].values())


def test_cost_of_decisions_is_measured():
    assert quota.measure_decisions(nodes=20, calls=100)['request_us'] > 0
