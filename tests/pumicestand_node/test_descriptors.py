"""Tests of the limit of descriptors of a process."""

import resource

import pytest

from pumicestand import descriptor_budget
from pumicestand_node import descriptors


class Limits:
    """Stands in for the limits of the operating system.

    :param error: raised when the limits are set, None if that is allowed
    """

    def __init__(self, soft, hard, error=None):
        self.soft, self.hard = soft, hard
        self._error = error

    def get(self, kind):
        return self.soft, self.hard

    def set(self, kind, limits):
        if self._error is not None:
            raise self._error
        self.soft, self.hard = limits


@pytest.fixture
def set_limits(monkeypatch):
    def set_limits(*args, **kwargs):
        limits = Limits(*args, **kwargs)
        monkeypatch.setattr(resource, 'getrlimit', limits.get)
        monkeypatch.setattr(resource, 'setrlimit', limits.set)
        return limits

    return set_limits


def test_low_soft_limit_is_raised_to_what_the_settings_allow(set_limits):
    limits = set_limits(1024, 65_536)
    assert descriptors.raise_limit(4100) == 4100
    assert (limits.soft, limits.hard) == (4100, 65_536)


def test_hard_limit_holds_below_that_of_the_settings(set_limits):
    limits = set_limits(100, 150)
    assert descriptors.raise_limit(4100) == 150
    assert (limits.soft, limits.hard) == (150, 150)


def test_soft_limit_is_not_lowered(set_limits):
    limits = set_limits(65_536, 65_536)
    assert descriptors.raise_limit(4100) == 4100
    assert limits.soft == 65_536


@pytest.mark.parametrize('error', [PermissionError(), ValueError()])
def test_soft_limit_that_can_not_be_raised_holds(set_limits, error):
    set_limits(1024, 65_536, error)
    assert descriptors.raise_limit(4100) == 1024


def test_process_without_limits_has_none(set_limits):
    set_limits(resource.RLIM_INFINITY, resource.RLIM_INFINITY)
    assert descriptors.raise_limit(None) is None
    assert descriptors.raise_limit(4100) == 4100


def test_open_descriptors_are_counted(tmp_path):
    before = descriptors.count_open()
    with (tmp_path / 'file').open('w'):
        assert descriptors.count_open() == before + 1


def test_descriptors_that_can_not_be_listed_are_no_error(monkeypatch):
    monkeypatch.setattr(descriptors, 'OPEN_PATH', '/proc/self/none')
    assert descriptors.count_open() is None


def test_clients_get_less_once_the_fleet_is_known(set_limits):
    set_limits(1024, 1024)
    demand = descriptor_budget.Demand()
    process = descriptors.Descriptors(4100, lambda: demand)
    process.start()
    before = process.max_clients()
    demand = descriptor_budget.Demand(nodes=100, target_slots=6)
    assert process.max_clients() < before - 150
    assert process.max_refusals() > 0
    assert process.max_port_connections() > 0


def test_connections_are_unlimited_where_descriptors_are(set_limits):
    set_limits(resource.RLIM_INFINITY, resource.RLIM_INFINITY)
    process = descriptors.Descriptors(None, descriptor_budget.Demand)
    process.start()
    assert process.max_clients() == float('inf')
