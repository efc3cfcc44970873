"""Tests of what a node still knows of its target after restarts.

They play all short orders in which reports of the target, the record of an
earlier process and restarts can come.
"""

import itertools

import pytest

from pumicestand import target_states
from pumicestand import targets
from tests.pumicestand import mesh_fakes

State = target_states.TargetState
INSTANCE = 'i-a'


def make_heartbeat(started_ms, sequence, state=State.SERVING):
    target = mesh_fakes.make_target('a', started_ms=started_ms, state=state)
    return targets.Heartbeat(target, sequence)


READY_1 = make_heartbeat(100, 3)
DRAINING_1 = make_heartbeat(100, 4, State.DRAINING)
DEPARTURE_1 = targets.Departure(INSTANCE, 100)
LEAVING_1 = targets.Leaving(INSTANCE, 100)
READY_2 = make_heartbeat(200, 1)
DEPARTURE_2 = targets.Departure(INSTANCE, 200)
UNDATED_DEPARTURE = targets.Departure(INSTANCE)
READ = 'the record is read'
RESTART = 'the process restarts'
DATED = (READY_1, DRAINING_1, DEPARTURE_1, LEAVING_1, READY_2, DEPARTURE_2)


class Node:
    """A node that saves its record whenever it has read the earlier one.

    ``promised_ms`` is the latest start whose departure was acknowledged.
    """

    def __init__(self):
        self._record = None
        self.promised_ms = 0
        self._start()

    def _start(self):
        self.watch = targets.TargetWatch()
        self.watch.await_history()
        self._has_read = False

    def play(self, step):
        match step:
            case 'the process restarts':
                self._start()
                return
            case 'the record is read':
                self.watch.restore(*(self._record or (None,)))
                self._has_read = True
            case _:
                self.watch.apply(step, 0.0)
        if not self._has_read:
            return
        self._record = (self.watch.known, self.watch.departed)
        self._acknowledge(step)

    def _acknowledge(self, step):
        match step:
            case targets.Departure(started_ms=0):
                known = self.watch.known
                started_ms = 100 if known is None else known.started_ms
            case targets.Departure(started_ms=started_ms):
                pass
            case targets.Heartbeat(target) if target.is_leaving:
                started_ms = target.started_ms
            case _:
                return
        if self.watch.has_accepted(step):
            self.promised_ms = max(self.promised_ms, started_ms)

    @property
    def serving_ms(self):
        """Start of the target that gets calls, None if none does."""
        target = self.watch.target
        if target is None or target.is_leaving:
            return None
        return target.started_ms


@pytest.mark.parametrize('length', range(1, 6))
def test_target_that_left_gets_no_calls_in_any_order(length):
    """A restarted node took a late heartbeat over the departure it had stored.

    Once acknowledged, a departure holds whatever comes later.
    """
    steps = (
        READY_1,
        DRAINING_1,
        DEPARTURE_1,
        UNDATED_DEPARTURE,
        READY_2,
        DEPARTURE_2,
        READ,
        RESTART,
    )
    for order in itertools.product(steps, repeat=length):
        node = Node()
        for step in order:
            node.play(step)
            serving_ms = node.serving_ms
            assert serving_ms is None or serving_ms > node.promised_ms, order


@pytest.mark.parametrize('length', range(1, 6))
def test_later_incarnation_serves_after_any_order(length):
    """What is remembered of earlier starts must not hold back the next."""
    steps = (READY_1, DEPARTURE_1, UNDATED_DEPARTURE, READY_2, READ, RESTART)
    for order in itertools.product(steps, repeat=length):
        node = Node()
        for step in (*order, READ, make_heartbeat(300, 1)):
            node.play(step)
        assert node.serving_ms == 300, order


@pytest.mark.parametrize('length', range(1, 5))
def test_state_does_not_depend_on_the_order_of_reports(length):
    for reports in itertools.combinations(DATED, length):
        if LEAVING_1 in reports and READY_1 not in reports:
            # A response comes only from a target that is known.
            continue
        states = set()
        for order in itertools.permutations((*reports, READ)):
            if LEAVING_1 in order and order.index(LEAVING_1) < order.index(
                READY_1
            ):
                continue
            node = Node()
            for step in order:
                node.play(step)
            states.add((node.watch.known, frozenset(node.watch.departed)))
        assert len(states) == 1, reports


def test_target_is_held_back_until_the_record_is_read():
    node = Node()
    node.play(READY_1)
    assert node.serving_ms is None
    node.play(READ)
    assert node.serving_ms == 100


def test_target_whose_record_cannot_be_read_serves_after_some_heartbeats():
    """Delayed ones would not go on; the store may be away for long."""
    watch = targets.TargetWatch()
    watch.await_history()
    for sequence, now in ((5, 1.0), (6, 2.5), (7, 4.0)):
        assert not watch.apply(make_heartbeat(100, sequence), now)
    assert not watch.apply(make_heartbeat(100, 7), 5.5)
    assert watch.target is None
    assert watch.apply(make_heartbeat(100, 8), 5.5)
    assert not watch.target.is_leaving


def test_target_that_leaves_is_known_before_the_record_is_read():
    watch = targets.TargetWatch()
    watch.await_history()
    assert watch.apply(DRAINING_1, 0.0)
    assert watch.target.state is State.DRAINING


def test_undated_departure_is_that_of_the_record():
    """It came before the first heartbeat of the next start."""
    watch = targets.TargetWatch()
    watch.await_history()
    watch.apply(UNDATED_DEPARTURE, 0.0)
    watch.apply(READY_2, 1.0)
    watch.restore(mesh_fakes.make_target('a', started_ms=100))
    assert watch.target.state is State.SERVING
    assert watch.target.started_ms == 200


def test_undated_departure_holds_for_a_late_heartbeat():
    watch = targets.TargetWatch()
    watch.await_history()
    watch.apply(UNDATED_DEPARTURE, 0.0)
    watch.apply(READY_1, 1.0)
    watch.restore(None)
    assert watch.target.state is State.GONE


def test_undated_departure_is_not_accepted_while_nothing_is_known():
    """It could not be told from one of the next start of the instance."""
    watch = targets.TargetWatch()
    watch.restore(None)
    watch.apply(UNDATED_DEPARTURE, 0.0)
    assert not watch.has_accepted(UNDATED_DEPARTURE)
    watch.apply(READY_1, 1.0)
    assert watch.target.state is State.SERVING


def test_departure_of_a_later_start_ends_the_earlier_one():
    """The instance that stops is the one that gets the calls."""
    watch = targets.TargetWatch()
    watch.apply(READY_1, 0.0)
    watch.apply(DEPARTURE_2, 1.0)
    assert watch.target.state is State.GONE
    assert watch.has_accepted(DEPARTURE_2)


def test_departure_of_an_earlier_start_is_accepted_only_in_silence():
    """The clock may have been set back between the two starts."""
    watch = targets.TargetWatch()
    watch.apply(READY_2, 0.0)
    watch.apply(DEPARTURE_1, 1.0)
    assert not watch.has_accepted(DEPARTURE_1)
    assert watch.target.state is State.SERVING
    watch.apply(DEPARTURE_1, targets.SILENCE_S)
    assert watch.has_accepted(DEPARTURE_1)
    assert watch.target.state is State.GONE


def test_draining_of_an_ignored_incarnation_is_not_accepted():
    """Calls would go on to it under the name of the known incarnation."""
    watch = targets.TargetWatch()
    watch.apply(READY_2, 0.0)
    watch.apply(DRAINING_1, 1.0)
    assert not watch.has_accepted(DRAINING_1)


def test_superseded_incarnation_does_not_come_back():
    """Its start seems to be the later one, as the clock was set back."""
    watch = targets.TargetWatch()
    watch.apply(make_heartbeat(5000, 9), 0.0)
    for sequence in range(1, 4):
        watch.apply(make_heartbeat(3000, sequence), 1.5 * sequence)
    assert watch.target.started_ms == 3000
    watch.apply(make_heartbeat(5000, 10), 5.0)
    assert watch.target.started_ms == 3000


def test_departures_are_remembered_up_to_a_bound():
    watch = targets.TargetWatch()
    for number in range(2 * targets.MAX_DEPARTED):
        watch.apply(targets.Departure(f'i-{number}', 1), 0.0)
    assert len(watch.departed) == targets.MAX_DEPARTED
