"""Tests of roll-outs: shares, verdicts, and who completes them."""

import random

import pytest

from pumicestand import hop
from pumicestand import hop_messages
from pumicestand import rollouts
from pumicestand import target_states
from tests.pumicestand import mesh_fakes

State = hop_messages.RolloutState


def make_evidence(version, calls=100, errors=0, work_ms=50.0, route='r'):
    return hop_messages.Evidence(
        route, version, calls, errors, calls, calls * work_ms
    )


def make_old_new_fleet(old=(), new=(), old_load=None, new_load=None):
    """Return a fleet of one old and one new target with their evidence."""
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
    tracked = rollouts.Rollouts(random.Random(seed))
    tracked.apply_order(order or mesh_fakes.make_order(), 0.0)
    return tracked


def count_new(tracked, fleet, now, calls=1000):
    peers = list(fleet.peers)
    chosen = [tracked.select_peers('s', peers, now) for _ in range(calls)]
    return sum(p[0].name == 'new' for p in chosen)


def test_all_targets_serve_without_an_order():
    tracked = rollouts.Rollouts(random.Random(1))
    fleet = mesh_fakes.make_fleet(
        mesh_fakes.make_report('a'), mesh_fakes.make_report('b')
    )
    assert len(tracked.select_peers('s', list(fleet.peers), 0.0)) == 2


def test_version_without_an_order_gets_no_calls_at_first():
    tracked = rollouts.Rollouts(random.Random(1))
    fleet = make_old_new_fleet()
    peers = list(fleet.peers)
    tracked.select_peers('s', peers[:1], 0.0)
    assert tracked.select_peers('s', peers, 1.0) == peers[:1]
    late = 1.0 + rollouts.UNORDERED_VERSION_DELAY_S
    tracked.select_peers('s', peers, late)
    assert tracked.select_peers('s', peers, late) == peers


def test_new_version_gets_exactly_the_first_share():
    tracked = make_rollouts()
    assert count_new(tracked, make_old_new_fleet(), 1.0) in (49, 50, 51)


def test_share_does_not_rise_without_evidence():
    tracked = make_rollouts()
    fleet = make_old_new_fleet()
    tracked.evaluate(fleet, 14.0, lambda: False)
    assert count_new(tracked, fleet, 14.0) in (49, 50, 51)


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        ([make_evidence('v1')], [make_evidence('v2', 20, errors=10)]),
        ([make_evidence('v1')], [make_evidence('v2', 30, work_ms=200.0)]),
        (
            [make_evidence('v1'), make_evidence('v1', route='q')],
            [
                make_evidence('v2', 50),
                make_evidence('v2', 12, errors=6, route='q'),
            ],
        ),
    ],
    ids=['errors', 'slow', 'one route'],
)
def test_bad_version_is_rolled_back_and_gets_no_more_calls(old, new):
    tracked = make_rollouts()
    fleet = make_old_new_fleet(old, new)
    (action,) = tracked.evaluate(fleet, 3.0, lambda: True)
    assert action.state is State.ROLLED_BACK
    assert action.reason
    assert count_new(tracked, fleet, 3.0) == 0


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        ([make_evidence('v1')], [make_evidence('v2', 30, errors=1)]),
        (
            [make_evidence('v1', errors=40)],
            [make_evidence('v2', 30, errors=12)],
        ),
        ([make_evidence('v1')], [make_evidence('v2', 30, work_ms=110.0)]),
        ([make_evidence('v1')], [make_evidence('v2', 4, errors=4)]),
    ],
    ids=['few errors', 'both fail', 'a slow machine', 'too few calls'],
)
def test_version_that_is_not_worse_keeps_running(old, new):
    tracked = make_rollouts()
    tracked.evaluate(make_old_new_fleet(old, new), 3.0, lambda: True)
    assert tracked.order_and_state('s')[1] is State.RUNNING


def run_to_end(tracked, fleet, is_designated_writer=True):
    """Evaluate a roll-out for 15 s and return (time, action) of each write."""
    writes = []
    for step in range(150):
        now = step * 0.1
        for action in tracked.evaluate(
            fleet, now, lambda: is_designated_writer
        ):
            writes.append((now, action))
            if action.state is not action.order.stored_state:
                tracked.apply_order(
                    mesh_fakes.make_order(
                        stored_state=action.state,
                        revision=action.order.revision + 1,
                    ),
                    now,
                )
    return writes


def test_good_version_is_completed_in_time():
    tracked = make_rollouts()
    fleet = make_old_new_fleet([make_evidence('v1')], [make_evidence('v2')])
    writes = run_to_end(tracked, fleet)
    states = [action.state for _, action in writes]
    assert states == [State.RUNNING, State.COMPLETE]
    assert writes[-1][0] < 14.0
    assert [
        p.name for p in tracked.select_peers('s', list(fleet.peers), 15.0)
    ] == ['new']


def test_rollout_is_not_completed_while_calls_run_at_old_targets():
    tracked = make_rollouts()
    busy = hop_messages.Load(running=1, slots=4, work_ms=50.0)
    fleet = make_old_new_fleet(
        [make_evidence('v1')], [make_evidence('v2')], old_load=busy
    )
    states = [action.state for _, action in run_to_end(tracked, fleet)]
    assert State.COMPLETE not in states


def test_only_the_designated_writer_writes():
    tracked = make_rollouts()
    fleet = make_old_new_fleet([make_evidence('v1')], [make_evidence('v2')])
    assert run_to_end(tracked, fleet, is_designated_writer=False) == []


def test_rollback_by_another_node_applies_at_once():
    tracked = make_rollouts()
    other = make_rollouts()
    fleet = make_old_new_fleet(
        [make_evidence('v1')], [make_evidence('v2', 20, errors=10)]
    )
    other.evaluate(fleet, 3.0, lambda: False)
    (verdict,) = other.verdicts(3.0)
    assert tracked.apply_verdict(verdict, 3.0)
    assert tracked.order_and_state('s')[1] is State.ROLLED_BACK
    assert not tracked.apply_verdict(verdict, 3.0)


def test_complete_roll_out_is_not_rolled_back_by_a_node_that_was_cut_off():
    """The targets of the old version had stopped, so none was left."""
    cut_off = make_rollouts()
    fleet = make_old_new_fleet(
        [make_evidence('v1')], [make_evidence('v2', 20, errors=10)]
    )
    cut_off.evaluate(fleet, 3.0, lambda: False)
    (verdict,) = cut_off.verdicts(3.0)
    assert verdict.state is State.ROLLED_BACK
    complete = mesh_fakes.make_order(stored_state=State.COMPLETE, revision=6)
    tracked = make_rollouts()
    tracked.apply_order(complete, 2.0)
    assert not tracked.apply_verdict(verdict, 3.0)
    assert tracked.order_and_state('s')[1] is State.COMPLETE
    assert tracked.evaluate(fleet, 3.1, lambda: True) == []


@pytest.mark.parametrize('is_from_store', [True, False])
def test_node_that_rolled_back_alone_takes_completion_from_the_store(
    is_from_store,
):
    """It was cut off when the roll-out was completed."""
    tracked = make_rollouts()
    fleet = make_old_new_fleet(
        [make_evidence('v1')], [make_evidence('v2', 20, errors=10)]
    )
    (action,) = tracked.evaluate(fleet, 3.0, lambda: True)
    assert action.state is State.ROLLED_BACK
    complete = mesh_fakes.make_order(stored_state=State.COMPLETE, revision=6)
    if is_from_store:
        assert tracked.apply_order(complete, 4.0)
    else:
        other = make_rollouts(complete)
        assert tracked.apply_verdict(other.verdicts(4.0)[0], 4.0)
    assert tracked.order_and_state('s')[1] is State.COMPLETE
    assert tracked.evaluate(fleet, 4.1, lambda: True) == []
    assert [
        p.name for p in tracked.select_peers('s', list(fleet.peers), 4.2)
    ] == ['new']


def test_order_from_another_node_keeps_its_age():
    other = make_rollouts()
    (verdict,) = other.verdicts(8.0)
    tracked = rollouts.Rollouts(random.Random(1))
    assert tracked.apply_verdict(verdict, 108.0)
    order, state = tracked.order_and_state('s')
    assert (order.version, state) == ('v2', State.RUNNING)
    assert tracked.verdicts(108.0)[0].elapsed_ms == 8000


def test_restarted_node_takes_the_state_from_the_store():
    for status in (State.COMPLETE, State.ROLLED_BACK):
        tracked = make_rollouts(mesh_fakes.make_order(stored_state=status))
        fleet = make_old_new_fleet()
        expected = ['new'] if status is State.COMPLETE else ['old']
        peers = tracked.select_peers('s', list(fleet.peers), 0.0)
        assert [p.name for p in peers] == expected


def test_new_order_replaces_a_finished_one():
    tracked = make_rollouts(
        mesh_fakes.make_order(stored_state=State.ROLLED_BACK)
    )
    again = mesh_fakes.make_order(order_id=9, revision=9)
    assert tracked.apply_order(again, 20.0)
    assert tracked.order_and_state('s') == (again, State.RUNNING)


def test_older_order_is_ignored():
    tracked = make_rollouts(mesh_fakes.make_order(order_id=9, revision=9))
    assert not tracked.apply_order(mesh_fakes.make_order(), 1.0)


def test_bad_version_gets_at_most_a_tenth_of_the_calls():
    """Simulate 450 calls a second; half of the new version's calls fail."""
    for seed in range(20):
        tracked = make_rollouts(seed=seed)
        new_calls, errors, total = 0, 0, 0
        rng = random.Random(seed)
        for step in range(150):
            now = step * 0.1
            fleet = make_old_new_fleet(
                [make_evidence('v1', total + 1)],
                [make_evidence('v2', new_calls, errors)] if new_calls else [],
            )
            tracked.evaluate(fleet, now, lambda: False)
            got = count_new(tracked, fleet, now, calls=45)
            total += 45
            new_calls += got
            errors += sum(rng.random() < 0.5 for _ in range(got))
        assert tracked.order_and_state('s')[1] is State.ROLLED_BACK
        assert new_calls <= 0.1 * total + 50
        assert errors < 50


def test_gone_old_target_does_not_delay_completion():
    tracked = make_rollouts()
    gone = mesh_fakes.make_target(
        'old', version='v1', state=target_states.TargetState.GONE
    )
    busy = hop_messages.Load(running=1, slots=4)
    fleet = mesh_fakes.make_fleet(
        mesh_fakes.make_report(
            'old', target=gone, load=busy, evidence=(make_evidence('v1'),)
        ),
        mesh_fakes.make_report(
            'new',
            target=mesh_fakes.make_target('new', version='v2'),
            evidence=(make_evidence('v2'),),
        ),
    )
    states = [action.state for _, action in run_to_end(tracked, fleet)]
    assert states[-1] is State.COMPLETE


def test_order_for_a_third_version_starts_from_the_first_share():
    """The operator replaces the order in the same stored object."""
    tracked = make_rollouts(mesh_fakes.make_order(stored_state=State.COMPLETE))
    third = mesh_fakes.make_order(version='v3', revision=9, order_id=6)
    assert tracked.apply_order(third, 20.0)
    assert tracked.order_and_state('s') == (third, State.RUNNING)


def test_order_runs_again_after_its_state_is_removed():
    tracked = make_rollouts(
        mesh_fakes.make_order(stored_state=State.ROLLED_BACK)
    )
    again = mesh_fakes.make_order(revision=9)
    assert tracked.apply_order(again, 20.0)
    assert tracked.order_and_state('s') == (again, State.RUNNING)


# State before the store came back from a copy, and the state in the copy.
RESTORED_STATES = [
    (State.COMPLETE, State.RUNNING),
    (State.COMPLETE, None),
    (State.ROLLED_BACK, State.RUNNING),
    (State.ROLLED_BACK, None),
    (State.RUNNING, None),
]


@pytest.mark.parametrize(('state', 'copied_state'), RESTORED_STATES)
@pytest.mark.parametrize('order_id', [5, 77])
def test_state_survives_a_store_that_came_back_from_a_copy(
    state, copied_state, order_id
):
    """The object may have been written again and so have another id."""
    tracked = make_rollouts(mesh_fakes.make_order(stored_state=state))
    restored = mesh_fakes.make_order(
        revision=2, era=1, order_id=order_id, stored_state=copied_state
    )
    tracked.apply_order(restored, 5.0)
    order, known_state = tracked.order_and_state('s')
    assert known_state is state
    assert order.position == restored.position
    actions = tracked.evaluate(make_old_new_fleet(), 5.1, lambda: True)
    # What the store has lost is written again.
    assert [a.state for a in actions] == [state]
    assert actions[0].order.position == restored.position


def test_older_order_in_a_copy_does_not_replace_a_later_one():
    tracked = make_rollouts(mesh_fakes.make_order(stored_state=State.COMPLETE))
    later = mesh_fakes.make_order('v3', revision=9, order_id=9)
    tracked.apply_order(later, 5.0)
    copied = mesh_fakes.make_order(
        revision=5, era=1, stored_state=State.COMPLETE
    )
    assert not tracked.apply_order(copied, 6.0)
    assert tracked.order_and_state('s')[0].version == 'v3'
    # The operator writes the later order again.
    again = mesh_fakes.make_order('v3', revision=6, order_id=6, era=1)
    tracked.apply_order(again, 7.0)
    order, state = tracked.order_and_state('s')
    assert (order.position, state) == (again.position, State.RUNNING)


def test_earlier_order_written_in_a_new_era_applies():
    """The operator goes back to a version that was moved to before."""
    tracked = make_rollouts(
        mesh_fakes.make_order(stored_state=State.ROLLED_BACK)
    )
    later = mesh_fakes.make_order('v3', revision=9, order_id=9)
    tracked.apply_order(later, 5.0)
    for revision in (5, 8):
        copied = mesh_fakes.make_order(revision=revision, era=1)
        tracked.apply_order(copied, 6.0)
    order, state = tracked.order_and_state('s')
    assert (order.version, state) == ('v2', State.ROLLED_BACK)


def test_old_order_can_still_be_reported():
    """After 49.7 days its age no longer fitted into a report."""
    known = rollouts.Rollouts(random.Random(1))
    known.apply_order(mesh_fakes.make_order(duration=1e6), 0.0)
    for age_s in (50 * 86_400, 1e12):
        verdicts = known.verdicts(age_s)
        hop.encode(mesh_fakes.make_report('own', verdicts=verdicts))
        assert verdicts[0].elapsed_ms >= 4_000_000_000
