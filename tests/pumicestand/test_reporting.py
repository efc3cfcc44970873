"""Tests of what a node tells of itself, and how often."""

import dataclasses

import pytest

from pumicestand import hop_messages
from pumicestand import reporting
from tests.pumicestand import mesh_fakes

REPORT = mesh_fakes.make_report('own', generation=3)


def test_only_what_changed_is_told():
    held = reporting.ReportSelector()
    assert held.next_message(REPORT, 0.0) == REPORT
    assert held.next_message(REPORT, 1.0) == REPORT.load
    newer = dataclasses.replace(REPORT, generation=4)
    assert held.next_message(newer, 2.0) == hop_messages.GenerationUpdate(4)
    leaving = dataclasses.replace(newer, is_leaving=True)
    assert held.next_message(leaving, 3.0) == leaving


def test_other_zones_get_each_third_load_and_all_else():
    held = reporting.ReportSelector()
    assert held.is_for_other_zones(held.next_message(REPORT, 0.0))
    told = [
        held.is_for_other_zones(held.next_message(REPORT, 0.1 * n))
        for n in range(9)
    ]
    assert told == [False, False, True] * 3
    assert held.is_for_other_zones(hop_messages.GenerationUpdate(4))


@pytest.mark.parametrize('nodes', [1, 20, 58, 89, 300, 660])
def test_what_is_sent_in_a_second_stays_bounded(nodes):
    for is_judging in (False, True):
        period = reporting.report_period(nodes, is_judging)
        bound = 1.0 if is_judging else 2.0
        assert reporting.REPORT_PERIOD_S <= period <= bound
    assert nodes / reporting.report_period(nodes, False) <= 330
