"""Tests of the recognition of requests that crash targets."""

import random

import pytest

from pumicestand import suspects


class Fleet:
    """The views of some nodes that tell each other at once."""

    def __init__(self, size):
        self.views = [suspects.Suspects() for _ in range(size)]

    def tell(self, now):
        for number, view in enumerate(self.views):
            told = view.own_suspects(now)
            for other in self.views:
                if other is not view:
                    other.set_reported(str(number), told)

    def crash(self, number, marks, now):
        for mark in marks:
            self.views[number].record_lost(mark, now)
        self.views[number].record_crash(now)
        self.tell(now)


@pytest.mark.parametrize('size', [1, 3, 13, 89])
def test_a_request_is_refused_everywhere_from_its_third_crash(size):
    fleet = Fleet(size)
    for crash in range(3):
        assert not any(view.is_refused(7) for view in fleet.views)
        fleet.crash(crash % size, [7], float(crash))
    assert all(view.is_refused(7) for view in fleet.views)
    assert all(view.refused_count() == 1 for view in fleet.views)
    assert not any(view.is_refused(8) for view in fleet.views)


def test_requests_that_ran_beside_it_are_cleared_by_an_answer():
    """Twelve others run at each crash; each is answered somewhere later."""
    rng = random.Random(3)
    fleet = Fleet(5)
    others = list(range(100, 112))
    for crash in range(3):
        fleet.crash(crash, [7, *others], float(crash))
    assert fleet.views[4].is_refused(others[0])
    for mark in others:
        view = rng.choice(fleet.views)
        assert view.record_answer(mark, 5.0)
        fleet.tell(5.0)
    for view in fleet.views:
        assert view.is_refused(7)
        assert not any(view.is_refused(mark) for mark in others)


def test_an_answer_is_told_once():
    fleet = Fleet(2)
    fleet.crash(0, [7], 0.0)
    assert fleet.views[1].record_answer(7, 1.0)
    assert not fleet.views[1].record_answer(7, 1.1)
    assert not fleet.views[1].record_answer(8, 1.2)


def test_it_ends_by_itself():
    fleet = Fleet(3)
    for crash in range(3):
        fleet.crash(crash, [7], float(crash))
    fleet.tell(suspects.SUSPECT_RETENTION_S + 2.1)
    for view in fleet.views:
        assert not view.is_refused(7)
        assert not view.has_any


def test_a_connection_that_broke_without_a_crash_counts_for_nothing():
    view = suspects.Suspects()
    view.record_lost(7, 0.0)
    assert view.record_crash(suspects.CRASH_DETECTION_S + 0.1) == []
    assert not view.has_any


def test_what_is_kept_in_mind_is_bounded():
    view = suspects.Suspects()
    for mark in range(10 * suspects.MAX_LOST_REQUESTS):
        view.record_lost(mark, 0.0)
        if mark % 50 == 49:
            view.record_crash(0.0)
    assert len(view.own_suspects(1.0)) == suspects.MAX_SUSPECTS
