"""Tests of what a node reports of itself, and how often."""

import dataclasses

import pytest

from pumicestand import hop_messages
from pumicestand import reporting
from tests.pumicestand import mesh_fakes

REPORT = mesh_fakes.make_report('own', generation=3)


def plan_messages(selector, reports, is_gateway=False):
    """Return the plans of successive reports, one second apart."""
    return [
        selector.next_plan(report, is_gateway, float(now))
        for now, report in enumerate(reports)
    ]


def test_only_what_has_changed_is_sent_in_the_own_zone():
    selector = reporting.ReportSelector()
    busier = dataclasses.replace(
        REPORT, load=dataclasses.replace(REPORT.load, running=1)
    )
    newer = dataclasses.replace(busier, generation=4)
    leaving = dataclasses.replace(newer, is_leaving=True)
    plans = plan_messages(selector, [REPORT, REPORT, busier, newer, leaving])
    assert [plan.message for plan in plans] == [
        REPORT,
        None,
        busier.load,
        hop_messages.GenerationUpdate(4),
        leaving,
    ]


def test_other_zones_are_announced_only_what_the_node_alone_can_tell():
    selector = reporting.ReportSelector()
    later = [
        dataclasses.replace(REPORT, generation=4),
        dataclasses.replace(REPORT, generation=4, store_reachable=True),
        dataclasses.replace(REPORT, generation=4, is_leaving=True),
    ]
    plans = plan_messages(selector, [REPORT, *later])
    announced = [plan.announcement for plan in plans]
    assert announced == [REPORT, None, None, later[-1]]


def test_gateway_announces_generations_and_verdicts_too():
    selector = reporting.ReportSelector()
    verdict = hop_messages.Verdict(
        's', 'v2', hop_messages.RolloutState.RUNNING, 9000, 10, 5, 6
    )
    newer = dataclasses.replace(REPORT, generation=4)
    ordered = dataclasses.replace(newer, verdicts=(verdict,))
    progressed = dataclasses.replace(
        newer, verdicts=(dataclasses.replace(verdict, elapsed_ms=999),)
    )
    plans = plan_messages(
        selector, [REPORT, newer, ordered, progressed], is_gateway=True
    )
    announced = [plan.announcement for plan in plans]
    assert announced == [REPORT, None, ordered, None]
    assert [plan.generation for plan in plans] == [None, 4, None, None]


@pytest.mark.parametrize('other_change', [{}, {'store_reachable': True}])
def test_nodes_of_other_zones_hear_that_a_target_takes_calls_again(
    other_change,
):
    """Refused nodes send it none, so that nothing else would tell them."""
    selector = reporting.ReportSelector()
    full = dataclasses.replace(
        REPORT, load=dataclasses.replace(REPORT.load, slots=0)
    )
    again = dataclasses.replace(REPORT, **other_change)
    plans = plan_messages(selector, [REPORT, full, full, again, again])
    assert [plan.returned_load for plan in plans] == [
        None,
        None,
        None,
        again.load,
        None,
    ]


def test_announcement_is_repeated_without_evidence():
    selector = reporting.ReportSelector()
    report = dataclasses.replace(
        REPORT, evidence=(hop_messages.Evidence('r', 'v1', 5),)
    )
    times = [0.0, 1.0, 1.0 + reporting.ANNOUNCEMENT_PERIOD_S]
    plans = [selector.next_plan(report, False, now) for now in times]
    assert [plan.announcement for plan in plans] == [REPORT, None, REPORT]


@pytest.mark.parametrize(
    ('change', 'is_sent'),
    [
        ({'running': 1}, True),
        ({'queued': 1}, True),
        ({'slots': 0}, True),
        ({'work_ms': 54.0}, False),
        ({'work_ms': 60.0}, True),
        ({'failure_ratio': 0.2}, True),
        ({'slowness': 1.05}, False),
        ({'slowness': 2.0}, True),
    ],
)
def test_load_is_sent_if_it_changes_the_choice_of_a_target(change, is_sent):
    selector = reporting.ReportSelector()
    changed = dataclasses.replace(
        REPORT, load=dataclasses.replace(REPORT.load, **change)
    )
    plans = plan_messages(selector, [REPORT, changed])
    assert (plans[1].message is not None) is is_sent


def test_each_third_load_is_for_other_zones():
    selector = reporting.ReportSelector()
    reports = [
        dataclasses.replace(REPORT, load=hop_messages.Load(running=count))
        for count in range(10)
    ]
    plans = plan_messages(selector, reports)
    is_sent = [plan.load is not None for plan in plans]
    assert is_sent == [False, *([False, False, True] * 3)]


@pytest.mark.parametrize('nodes', [1, 20, 58, 89, 300, 660])
def test_messages_sent_per_second_stay_bounded(nodes):
    for is_rollout_running in (False, True):
        period = reporting.report_period(nodes, is_rollout_running)
        bound = 1.0 if is_rollout_running else 2.0
        assert reporting.REPORT_PERIOD_S <= period <= bound
    assert nodes / reporting.report_period(nodes, False) <= 330
