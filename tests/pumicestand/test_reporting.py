"""Tests of what a node reports of itself, and how often."""

import dataclasses

import pytest

from pumicestand import hop_messages
from pumicestand import reporting
from tests.pumicestand import mesh_fakes

REPORT = mesh_fakes.make_report('own', generation=3)


def test_only_what_has_changed_is_sent():
    selector = reporting.ReportSelector()
    assert selector.next_message(REPORT, 0.0) == REPORT
    assert selector.next_message(REPORT, 1.0) == REPORT.load
    newer = dataclasses.replace(REPORT, generation=4)
    assert selector.next_message(newer, 2.0) == hop_messages.GenerationUpdate(
        4
    )
    leaving = dataclasses.replace(newer, is_leaving=True)
    assert selector.next_message(leaving, 3.0) == leaving


def test_other_zones_get_each_third_load_and_all_other_messages():
    selector = reporting.ReportSelector()
    assert selector.is_for_other_zones(selector.next_message(REPORT, 0.0))
    is_sent = [
        selector.is_for_other_zones(selector.next_message(REPORT, 0.1 * n))
        for n in range(9)
    ]
    assert is_sent == [False, False, True] * 3
    assert selector.is_for_other_zones(hop_messages.GenerationUpdate(4))


@pytest.mark.parametrize('nodes', [1, 20, 58, 89, 300, 660])
def test_messages_sent_per_second_stay_bounded(nodes):
    for is_rollout_running in (False, True):
        period = reporting.report_period(nodes, is_rollout_running)
        bound = 1.0 if is_rollout_running else 2.0
        assert reporting.REPORT_PERIOD_S <= period <= bound
    assert nodes / reporting.report_period(nodes, False) <= 330
