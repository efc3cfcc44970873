"""Tests of the sums of evidence over a zone, and of their use."""

import random

import pytest

from pumicestand import fleet as fleets
from pumicestand import hop_messages
from pumicestand import rollouts
from pumicestand import zone_summaries
from tests.pumicestand import mesh_fakes

State = hop_messages.RolloutState


def make_evidence(version, calls, errors=0):
    return hop_messages.Evidence('r', version, calls, errors, calls, 50.0)


def make_peers():
    return mesh_fakes.make_fleet(
        *(
            mesh_fakes.make_report(
                name,
                zone=zone,
                target=mesh_fakes.make_target(name, version=version),
                evidence=(make_evidence(version, 10, errors),),
                load=hop_messages.Load(running=2, queued=1, slots=4),
            )
            for name, zone, version, errors in (
                ('old-1', 'a', 'v1', 0),
                ('old-2', 'a', 'v1', 1),
                ('new-1', 'a', 'v2', 5),
                ('far', 'b', 'v2', 9),
            )
        )
    )


def test_sums_are_of_one_zone_and_by_version():
    evidence, busy = zone_summaries.summarise(make_peers().peers, 's', 'a')
    assert {(e.version, e.calls, e.errors) for e in evidence} == {
        ('v1', 20, 1),
        ('v2', 10, 5),
    }
    assert {(b.version, b.calls) for b in busy} == {('v1', 6), ('v2', 3)}


def make_summary(zone='b', sequence=1, collector='far', **kwargs):
    return hop_messages.ZoneSummary(
        zone, 's', collector, 1, sequence, **kwargs
    )


def test_later_summary_replaces_an_earlier_one():
    fleet = fleets.Fleet('own')
    assert fleet.apply_summary(make_summary(sequence=5), 0.0)
    assert not fleet.apply_summary(make_summary(sequence=4), 1.0)
    # Another collector has taken over.
    successor = make_summary(collector='next', sequence=1)
    assert fleet.apply_summary(successor, 1.0)
    assert fleet.summaries('s', 1.5) == [successor]
    assert fleet.summaries('t', 1.5) == []
    assert fleet.summaries('s', 1.1 + fleets.MAX_SUMMARY_AGE_S) == []


def test_bad_version_is_found_by_the_evidence_of_another_zone():
    tracked = rollouts.Rollouts(random.Random(1))
    tracked.apply_order(mesh_fakes.make_order(), 0.0)
    fleet = mesh_fakes.make_fleet(
        mesh_fakes.make_report(
            'old', evidence=(make_evidence('v1', 100),), zone='a'
        )
    )
    tracked.evaluate(fleet, 1.0, lambda: False)
    assert tracked.order_and_state('s')[1] is State.RUNNING
    summary = make_summary(evidence=(make_evidence('v2', 20, 10),))
    fleet.apply_summary(summary, 1.0)
    tracked.evaluate(fleet, 1.1, lambda: False)
    assert tracked.order_and_state('s')[1] is State.ROLLED_BACK


@pytest.mark.parametrize(
    ('busy_calls', 'is_complete'), [(0, True), (3, False)]
)
def test_roll_out_completes_only_once_old_targets_of_all_zones_are_idle(
    busy_calls, is_complete
):
    tracked = rollouts.Rollouts(random.Random(1))
    tracked.apply_order(mesh_fakes.make_order(duration=10.0), 0.0)
    fleet = mesh_fakes.make_fleet(
        mesh_fakes.make_report(
            'new',
            target=mesh_fakes.make_target('new', version='v2'),
            evidence=(make_evidence('v2', 500),),
        )
    )
    actions = []
    for tick in range(95):
        now = tick / 10
        summary = make_summary(
            sequence=tick + 1,
            evidence=(make_evidence('v1', 500),),
            busy=(hop_messages.BusyVersion('v1', busy_calls),),
        )
        fleet.apply_summary(summary, now)
        actions = tracked.evaluate(fleet, now, lambda: True)
    states = {action.state for action in actions}
    assert (State.COMPLETE in states) is is_complete
