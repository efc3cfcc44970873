"""Tests of what holds of the target beside a node."""

import dataclasses

from pumicestand import messages
from pumicestand import targets
from tests.pumicestand import mesh_fakes

State = messages.TargetState


def beat(sequence, state=State.SERVING, started_ms=100, name='a', **kwargs):
    target = mesh_fakes.make_target(
        name, state=state, started_ms=started_ms, **kwargs
    )
    return targets.Heartbeat(target, sequence)


def test_a_heartbeat_makes_a_target_known():
    watch = targets.TargetWatch()
    assert watch.apply(beat(1), 0.0)
    assert watch.target.instance == 'i-a'


def test_a_repeated_heartbeat_changes_nothing():
    watch = targets.TargetWatch()
    watch.apply(beat(1), 0.0)
    assert not watch.apply(beat(1), 0.0)
    assert not watch.apply(beat(2), 0.0)


def test_a_late_heartbeat_does_not_make_a_leaving_target_serve():
    watch = targets.TargetWatch()
    watch.apply(beat(5, State.DRAINING), 0.0)
    assert not watch.apply(beat(4), 0.0)
    assert watch.target.state is State.DRAINING


def test_a_state_never_goes_back_within_one_start():
    watch = targets.TargetWatch()
    watch.apply(beat(5, State.DRAINING), 0.0)
    watch.apply(beat(6, State.SERVING), 0.0)
    assert watch.target.state is State.DRAINING


def test_a_departure_binds_against_later_heartbeats():
    watch = targets.TargetWatch()
    watch.apply(beat(1), 0.0)
    assert watch.apply(targets.Departure('i-a'), 0.0)
    watch.apply(beat(2), 0.0)
    assert watch.target.state is State.GONE


def test_a_departure_of_another_instance_changes_nothing():
    watch = targets.TargetWatch()
    watch.apply(beat(1), 0.0)
    assert not watch.apply(targets.Departure('i-b'), 0.0)
    assert not watch.apply(targets.Departure('i-a', 99), 0.0)


def test_a_new_start_serves_under_the_same_instance():
    watch = targets.TargetWatch()
    watch.apply(beat(9), 0.0)
    watch.apply(targets.Departure('i-a'), 0.0)
    assert watch.apply(beat(1, started_ms=200), 0.0)
    assert watch.target.state is State.SERVING


def test_a_heartbeat_of_an_earlier_start_is_late():
    watch = targets.TargetWatch()
    watch.apply(beat(1, started_ms=200, name='b'), 0.0)
    assert not watch.apply(beat(99, started_ms=100), 0.0)
    assert watch.target.instance == 'i-b'


def test_what_the_store_remembers_holds_until_a_heartbeat_says_more():
    watch = targets.TargetWatch()
    recalled = mesh_fakes.make_target('a', started_ms=100)
    assert watch.restore(recalled)
    assert watch.target == recalled
    assert watch.apply(beat(3, State.DRAINING), 0.0)


def test_a_recalled_departure_is_not_undone_by_a_heartbeat():
    watch = targets.TargetWatch()
    gone = dataclasses.replace(
        mesh_fakes.make_target('a', started_ms=100), state=State.GONE
    )
    watch.restore(gone)
    watch.apply(beat(7), 0.0)
    assert watch.target.state is State.GONE


def test_a_heartbeat_is_not_replaced_by_what_the_store_remembers():
    watch = targets.TargetWatch()
    watch.apply(beat(1, name='b', started_ms=300), 0.0)
    assert not watch.restore(mesh_fakes.make_target('a'))


def test_a_start_after_the_clock_went_back_is_taken_in():
    """Its start looks earlier than that of the one before."""
    watch = targets.TargetWatch()
    watch.apply(beat(9, name='old', started_ms=5000), 0.0)
    for sequence, now in ((1, 1.5), (2, 3.0)):
        assert not watch.apply(beat(sequence, started_ms=3000), now)
    assert watch.apply(beat(3, started_ms=3000), targets.SILENCE_S)
    assert watch.target.instance == 'i-a'
    assert watch.apply(beat(4, State.DRAINING, 3000), 9.0)


def test_late_heartbeats_do_not_replace_a_target_that_still_beats():
    watch = targets.TargetWatch()
    for tick in range(20):
        now = tick * 1.5
        watch.apply(beat(tick, name='new', started_ms=5000), now)
        assert not watch.apply(beat(50 + tick, started_ms=3000), now)
    assert watch.target.instance == 'i-new'


def test_one_late_heartbeat_is_no_start():
    watch = targets.TargetWatch()
    watch.apply(beat(9, name='new', started_ms=5000), 0.0)
    late = 2 * targets.SILENCE_S
    assert not watch.apply(beat(50, started_ms=3000), late)
    assert not watch.apply(beat(50, started_ms=3000), late + 1.5)
    assert watch.target.instance == 'i-new'


def test_a_start_that_has_left_is_never_taken_in_again():
    watch = targets.TargetWatch()
    watch.apply(beat(1, started_ms=3000), 0.0)
    watch.apply(targets.Departure('i-a', 3000), 0.1)
    watch.apply(beat(1, name='new', started_ms=5000), 0.2)
    for sequence in range(2, 9):
        now = targets.SILENCE_S + sequence
        watch.apply(beat(sequence, started_ms=3000), now)
    assert watch.target.instance == 'i-new'
