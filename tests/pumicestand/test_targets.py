"""Tests of the tracked state of the target beside a node."""

import dataclasses

from pumicestand import target_states
from pumicestand import targets
from tests.pumicestand import mesh_fakes

State = target_states.TargetState


def heartbeat(
    sequence, state=State.SERVING, started_ms=100, name='a', **kwargs
):
    target = mesh_fakes.make_target(
        name, state=state, started_ms=started_ms, **kwargs
    )
    return targets.Heartbeat(target, sequence)


def test_heartbeat_makes_a_target_known():
    watch = targets.TargetWatch()
    assert watch.apply(heartbeat(1), 0.0)
    assert watch.target.instance == 'i-a'


def test_repeated_heartbeat_changes_nothing():
    watch = targets.TargetWatch()
    watch.apply(heartbeat(1), 0.0)
    assert not watch.apply(heartbeat(1), 0.0)
    assert not watch.apply(heartbeat(2), 0.0)


def test_delayed_heartbeat_does_not_make_a_leaving_target_serve():
    watch = targets.TargetWatch()
    watch.apply(heartbeat(5, State.DRAINING), 0.0)
    assert not watch.apply(heartbeat(4), 0.0)
    assert watch.target.state is State.DRAINING


def test_state_never_goes_back_within_one_incarnation():
    watch = targets.TargetWatch()
    watch.apply(heartbeat(5, State.DRAINING), 0.0)
    watch.apply(heartbeat(6, State.SERVING), 0.0)
    assert watch.target.state is State.DRAINING


def test_draining_counts_although_another_writer_used_a_later_sequence():
    """Its heartbeats were taken as late, and acknowledged."""
    watch = targets.TargetWatch()
    watch.apply(heartbeat(4), 0.0)
    watch.apply(heartbeat(1_700_000_000_000), 1.0)
    assert watch.apply(heartbeat(5, State.DRAINING), 2.0)
    assert watch.target.state is State.DRAINING
    assert watch.has_accepted(heartbeat(5, State.DRAINING))


def test_departure_outlasts_later_heartbeats():
    watch = targets.TargetWatch()
    watch.apply(heartbeat(1), 0.0)
    assert watch.apply(targets.Departure('i-a'), 0.0)
    watch.apply(heartbeat(2), 0.0)
    assert watch.target.state is State.GONE


def test_departure_of_another_incarnation_changes_nothing():
    watch = targets.TargetWatch()
    watch.apply(heartbeat(1), 0.0)
    assert not watch.apply(targets.Departure('i-b'), 0.0)
    assert not watch.apply(targets.Departure('i-a', 99), 0.0)


def test_new_incarnation_serves_under_the_same_instance():
    watch = targets.TargetWatch()
    watch.apply(heartbeat(9), 0.0)
    watch.apply(targets.Departure('i-a'), 0.0)
    assert watch.apply(heartbeat(1, started_ms=200), 0.0)
    assert watch.target.state is State.SERVING


def test_heartbeat_of_an_earlier_incarnation_is_ignored():
    watch = targets.TargetWatch()
    watch.apply(heartbeat(1, started_ms=200, name='b'), 0.0)
    assert not watch.apply(heartbeat(99, started_ms=100), 0.0)
    assert watch.target.instance == 'i-b'


def test_restored_target_is_valid_until_a_heartbeat_arrives():
    watch = targets.TargetWatch()
    restored = mesh_fakes.make_target('a', started_ms=100)
    assert watch.restore(restored)
    assert watch.target == restored
    assert watch.apply(heartbeat(3, State.DRAINING), 0.0)


def test_restored_departure_is_not_undone_by_a_heartbeat():
    watch = targets.TargetWatch()
    gone = dataclasses.replace(
        mesh_fakes.make_target('a', started_ms=100), state=State.GONE
    )
    watch.restore(gone)
    watch.apply(heartbeat(7), 0.0)
    assert watch.target.state is State.GONE


def test_heartbeat_is_not_replaced_by_the_restored_target():
    watch = targets.TargetWatch()
    watch.apply(heartbeat(1, name='b', started_ms=300), 0.0)
    assert not watch.restore(mesh_fakes.make_target('a'))


def test_restart_after_the_clock_was_set_back_is_accepted():
    """It seems to have started before the previous incarnation."""
    watch = targets.TargetWatch()
    watch.apply(heartbeat(9, name='old', started_ms=5000), 0.0)
    for sequence, now in ((1, 1.5), (2, 3.0)):
        assert not watch.apply(heartbeat(sequence, started_ms=3000), now)
    assert watch.apply(heartbeat(3, started_ms=3000), targets.SILENCE_S)
    assert watch.target.instance == 'i-a'
    assert watch.apply(heartbeat(4, State.DRAINING, 3000), 9.0)


def test_delayed_heartbeats_do_not_replace_a_live_target():
    watch = targets.TargetWatch()
    for tick in range(20):
        now = tick * 1.5
        watch.apply(heartbeat(tick, name='new', started_ms=5000), now)
        assert not watch.apply(heartbeat(50 + tick, started_ms=3000), now)
    assert watch.target.instance == 'i-new'


def test_one_delayed_heartbeat_is_not_a_restart():
    watch = targets.TargetWatch()
    watch.apply(heartbeat(9, name='new', started_ms=5000), 0.0)
    late = 2 * targets.SILENCE_S
    assert not watch.apply(heartbeat(50, started_ms=3000), late)
    assert not watch.apply(heartbeat(50, started_ms=3000), late + 1.5)
    assert watch.target.instance == 'i-new'


def test_departed_incarnation_is_never_accepted_again():
    watch = targets.TargetWatch()
    watch.apply(heartbeat(1, started_ms=3000), 0.0)
    watch.apply(targets.Departure('i-a', 3000), 0.1)
    watch.apply(heartbeat(1, name='new', started_ms=5000), 0.2)
    for sequence in range(2, 9):
        now = targets.SILENCE_S + sequence
        watch.apply(heartbeat(sequence, started_ms=3000), now)
    assert watch.target.instance == 'i-new'


def test_departure_before_the_record_is_read_outlasts_the_restore():
    """A departure acknowledged right after a restart must stay in force."""
    watch = targets.TargetWatch()
    watch.apply(targets.Departure('i-a', 100), 0.0)
    watch.restore(mesh_fakes.make_target('a', started_ms=100))
    assert watch.target.state is State.GONE
    watch.apply(heartbeat(9), 0.5)
    assert watch.target.state is State.GONE


def test_early_departure_without_start_applies_to_the_restored_target():
    watch = targets.TargetWatch()
    watch.apply(targets.Departure('i-a'), 0.0)
    watch.restore(mesh_fakes.make_target('a', started_ms=100))
    assert watch.target.state is State.GONE
    assert watch.apply(heartbeat(1, started_ms=200), 0.5)
    assert watch.target.state is State.SERVING


def test_early_departure_of_another_incarnation_does_not_end_the_restored():
    watch = targets.TargetWatch()
    watch.apply(targets.Departure('i-a', 50), 0.0)
    watch.restore(mesh_fakes.make_target('a', started_ms=100))
    assert watch.target.state is State.SERVING
