"""Tests of roll-outs: shares, verdicts, and who says complete."""

import random

import pytest

from pumicestand import hop_messages
from pumicestand import messages
from pumicestand import rollouts
from tests.pumicestand import mesh_fakes

State = hop_messages.RolloutState


def evidence(version, calls=100, errors=0, work_ms=50.0, route='r'):
    return hop_messages.Evidence(
        route, version, calls, errors, calls, calls * work_ms
    )


def make_peers(old=(), new=(), old_load=None, new_load=None):
    """Return a fleet of one old and one new target with evidence."""
    idle = hop_messages.Load(slots=4, work_ms=50.0)
    return mesh_fakes.make_fleet(
        mesh_fakes.make_report(
            'old',
            target=mesh_fakes.make_target('old', version='v1'),
            evidence=tuple(old),
            load=old_load or idle,
        ),
        mesh_fakes.make_report(
            'new',
            target=mesh_fakes.make_target('new', version='v2'),
            evidence=tuple(new),
            load=new_load or idle,
        ),
    )


def make_rollouts(order=None, seed=1):
    held = rollouts.Rollouts(random.Random(seed))
    held.apply_order(order or mesh_fakes.make_order(), 0.0)
    return held


def count_new(held, fleet, now, calls=1000):
    peers = list(fleet.peers)
    chosen = [held.select_peers('s', peers, now) for _ in range(calls)]
    return sum(p[0].name == 'new' for p in chosen)


def test_without_an_order_all_targets_of_one_version_serve():
    held = rollouts.Rollouts(random.Random(1))
    fleet = mesh_fakes.make_fleet(
        mesh_fakes.make_report('a'), mesh_fakes.make_report('b')
    )
    assert len(held.select_peers('s', list(fleet.peers), 0.0)) == 2


def test_a_version_that_no_order_names_yet_gets_nothing_at_first():
    held = rollouts.Rollouts(random.Random(1))
    fleet = make_peers()
    peers = list(fleet.peers)
    held.select_peers('s', peers[:1], 0.0)
    assert held.select_peers('s', peers, 1.0) == peers[:1]
    late = 1.0 + rollouts.UNORDERED_VERSION_DELAY_S
    held.select_peers('s', peers, late)
    assert held.select_peers('s', peers, late) == peers


def test_an_unproven_version_gets_its_small_share_exactly():
    held = make_rollouts()
    assert count_new(held, make_peers(), 1.0) in (49, 50, 51)


def test_the_share_does_not_rise_without_evidence():
    held = make_rollouts()
    fleet = make_peers()
    held.evaluate(fleet, 14.0, lambda: False)
    assert count_new(held, fleet, 14.0) in (49, 50, 51)


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        ([evidence('v1')], [evidence('v2', 20, errors=10)]),
        ([evidence('v1')], [evidence('v2', 30, work_ms=200.0)]),
        (
            [evidence('v1'), evidence('v1', route='q')],
            [evidence('v2', 50), evidence('v2', 12, errors=6, route='q')],
        ),
    ],
    ids=['errors', 'slow', 'one route'],
)
def test_a_bad_version_is_taken_back_and_gets_nothing_more(old, new):
    held = make_rollouts()
    fleet = make_peers(old, new)
    (action,) = held.evaluate(fleet, 3.0, lambda: True)
    assert action.state is State.ROLLED_BACK
    assert action.reason
    assert count_new(held, fleet, 3.0) == 0


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        ([evidence('v1')], [evidence('v2', 30, errors=1)]),
        ([evidence('v1', errors=40)], [evidence('v2', 30, errors=12)]),
        ([evidence('v1')], [evidence('v2', 30, work_ms=110.0)]),
        ([evidence('v1')], [evidence('v2', 4, errors=4)]),
    ],
    ids=['few errors', 'both fail', 'a slow machine', 'too few calls'],
)
def test_a_version_that_is_no_worse_stays(old, new):
    held = make_rollouts()
    held.evaluate(make_peers(old, new), 3.0, lambda: True)
    assert held.state_of('s')[1] is State.RUNNING


def run_good(held, fleet, is_first=True):
    """Step a good roll-out through its time; return the status writes."""
    writes = []
    for step in range(150):
        now = step * 0.1
        for action in held.evaluate(fleet, now, lambda: is_first):
            writes.append((now, action))
            if action.state is not action.order.stored_state:
                held.apply_order(
                    mesh_fakes.make_order(
                        stored_state=action.state,
                        revision=action.order.revision + 1,
                    ),
                    now,
                )
    return writes


def test_a_good_version_is_complete_in_time():
    held = make_rollouts()
    fleet = make_peers([evidence('v1')], [evidence('v2')])
    writes = run_good(held, fleet)
    states = [action.state for _, action in writes]
    assert states == [State.RUNNING, State.COMPLETE]
    assert writes[-1][0] < 14.0
    assert [
        p.name for p in held.select_peers('s', list(fleet.peers), 15.0)
    ] == ['new']


def test_it_is_not_complete_while_calls_run_at_old_targets():
    held = make_rollouts()
    busy = hop_messages.Load(running=1, slots=4, work_ms=50.0)
    fleet = make_peers([evidence('v1')], [evidence('v2')], old_load=busy)
    states = [action.state for _, action in run_good(held, fleet)]
    assert State.COMPLETE not in states


def test_only_the_first_node_writes():
    held = make_rollouts()
    fleet = make_peers([evidence('v1')], [evidence('v2')])
    assert run_good(held, fleet, is_first=False) == []


def test_a_verdict_of_another_node_counts_at_once():
    held = make_rollouts()
    other = make_rollouts()
    fleet = make_peers([evidence('v1')], [evidence('v2', 20, errors=10)])
    other.evaluate(fleet, 3.0, lambda: False)
    (verdict,) = other.verdicts(3.0)
    assert held.apply_verdict(verdict, 3.0)
    assert held.state_of('s')[1] is State.ROLLED_BACK
    assert not held.apply_verdict(verdict, 3.0)


def test_an_order_is_learned_from_another_node_with_its_age():
    other = make_rollouts()
    (verdict,) = other.verdicts(8.0)
    held = rollouts.Rollouts(random.Random(1))
    assert held.apply_verdict(verdict, 108.0)
    order, state = held.state_of('s')
    assert (order.version, state) == ('v2', State.RUNNING)
    assert held.verdicts(108.0)[0].elapsed_ms == 8000


def test_a_restarted_node_takes_the_state_from_the_store():
    for status in (State.COMPLETE, State.ROLLED_BACK):
        held = make_rollouts(mesh_fakes.make_order(stored_state=status))
        fleet = make_peers()
        expected = ['new'] if status is State.COMPLETE else ['old']
        peers = held.select_peers('s', list(fleet.peers), 0.0)
        assert [p.name for p in peers] == expected


def test_a_second_order_replaces_a_finished_one():
    held = make_rollouts(mesh_fakes.make_order(stored_state=State.ROLLED_BACK))
    again = mesh_fakes.make_order(order_id=9, revision=9)
    assert held.apply_order(again, 20.0)
    assert held.state_of('s') == (again, State.RUNNING)


def test_an_older_order_is_not_taken_again():
    held = make_rollouts(mesh_fakes.make_order(order_id=9, revision=9))
    assert not held.apply_order(mesh_fakes.make_order(), 1.0)


def test_exposure_of_a_bad_version_stays_within_a_tenth():
    """Plays 450 calls a second; half of the new version's calls fail."""
    for seed in range(20):
        held = make_rollouts(seed=seed)
        new_calls, errors, total = 0, 0, 0
        rng = random.Random(seed)
        for step in range(150):
            now = step * 0.1
            fleet = make_peers(
                [evidence('v1', total + 1)],
                [evidence('v2', new_calls, errors)] if new_calls else [],
            )
            held.evaluate(fleet, now, lambda: False)
            got = count_new(held, fleet, now, calls=45)
            total += 45
            new_calls += got
            errors += sum(rng.random() < 0.5 for _ in range(got))
        assert held.state_of('s')[1] is State.ROLLED_BACK
        assert new_calls <= 0.1 * total + 50
        assert errors < 50


def test_a_gone_old_target_does_not_hold_the_end_up():
    held = make_rollouts()
    gone = mesh_fakes.make_target(
        'old', version='v1', state=messages.TargetState.GONE
    )
    busy = hop_messages.Load(running=1, slots=4)
    fleet = mesh_fakes.make_fleet(
        mesh_fakes.make_report(
            'old', target=gone, load=busy, evidence=(evidence('v1'),)
        ),
        mesh_fakes.make_report(
            'new',
            target=mesh_fakes.make_target('new', version='v2'),
            evidence=(evidence('v2'),),
        ),
    )
    states = [action.state for _, action in run_good(held, fleet)]
    assert states[-1] is State.COMPLETE


def test_an_order_for_a_third_version_starts_unproven():
    """The operator replaces the order; its object stays the same."""
    held = make_rollouts(mesh_fakes.make_order(stored_state=State.COMPLETE))
    third = mesh_fakes.make_order(version='v3', revision=9, order_id=6)
    assert held.apply_order(third, 20.0)
    assert held.state_of('s') == (third, State.RUNNING)


def test_an_order_whose_state_was_taken_away_runs_again():
    held = make_rollouts(mesh_fakes.make_order(stored_state=State.ROLLED_BACK))
    again = mesh_fakes.make_order(revision=9)
    assert held.apply_order(again, 20.0)
    assert held.state_of('s') == (again, State.RUNNING)
