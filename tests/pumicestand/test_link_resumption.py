"""Tests of what is remembered of calls whose connection was lost."""

import pytest

from pumicestand import hop_messages
from pumicestand import link_resumption

Outcome = hop_messages.Outcome
Abort = link_resumption.Abort
Await = link_resumption.Await
Deliver = link_resumption.Deliver
Disclaim = link_resumption.Disclaim
Refuse = link_resumption.Refuse


def make_result(id_, size=10):
    return hop_messages.Result(id_, Outcome.ANSWERED, body=b'x' * size)


@pytest.fixture
def calls():
    """The calls 1 (arriving), 2 (running) and 3 (ended) of a connection."""
    calls = link_resumption.ReceivedCalls(link_resumption.KeptResults())
    for id_ in (1, 2, 3):
        calls.record_received(id_)
    calls.record_start(2)
    calls.record_start(3)
    calls.record_result(make_result(3), 0.0)
    return calls


def test_each_request_gets_the_same_answer(calls):
    for _ in range(2):
        assert calls.resume((1, 2, 3, 4), 1.0) == [
            Refuse(1),
            Await(2),
            Deliver(make_result(3)),
            Refuse(4),
        ]


def test_calls_that_are_not_asked_for_are_aborted(calls):
    actions = calls.resume((3,), 1.0)
    assert set(actions[:-1]) == {Abort(1), Abort(2)}


def test_call_whose_result_is_no_longer_kept_may_have_run(calls):
    later = link_resumption.KEEP_S + 1.0
    assert calls.resume((1, 2, 3, 4), later) == [
        Refuse(1),
        Await(2),
        Disclaim(3),
        Refuse(4),
    ]


def test_cancelled_call_may_have_run_only_if_it_was_started(calls):
    calls.record_end(2)
    calls.record_end(1)
    assert calls.resume((2, 4), 1.0) == [Disclaim(2), Refuse(4)]


def test_kept_results_are_bounded_and_forgotten_ones_disclaimed():
    results = link_resumption.KeptResults()
    calls = link_resumption.ReceivedCalls(results)
    size = link_resumption.MAX_KEPT_RESULT_BYTES // 2
    count = 3 * link_resumption.MAX_KEPT_BYTES // size
    for id_ in range(count):
        calls.record_result(make_result(id_, size), 0.0)
    actions = calls.resume(range(count), 0.0)
    kept = [a for a in actions if isinstance(a, Deliver)]
    assert (
        size * len(kept)
        <= link_resumption.MAX_KEPT_BYTES
        < 2 * size * (len(kept) + 1)
    )
    assert actions[: -len(kept)] == [
        Disclaim(id_) for id_ in range(count - len(kept))
    ]
    calls.record_result(make_result(count, 2 * size), 0.0)
    assert calls.resume((count,), 0.0) == [Disclaim(count)]
    assert len([a for a in calls.resume(range(count), 0.0) if a in kept])


def test_results_of_a_connection_are_discarded_with_it():
    results = link_resumption.KeptResults()
    calls = link_resumption.ReceivedCalls(results)
    calls.record_result(make_result(1), 0.0)
    calls.discard()
    assert calls.resume((1,), 0.0) == [Disclaim(1)]


def test_calls_that_the_answer_does_not_name_may_have_run():
    resumed = hop_messages.Resumed(5, not_started=(1,), kept=(2,))
    assert link_resumption.settle(resumed, (1, 2, 3)) == [
        Refuse(1),
        Await(2),
        Disclaim(3),
    ]


class Checks:
    """A pinged connection that is checked each 0.05 s from time 100 on."""

    def __init__(self):
        self.round_trips = link_resumption.RoundTrips()
        self.watch = link_resumption.LinkWatch(0.0, self.round_trips)
        self.watch.record_call(100.0, is_first=True)

    def times(self, delay_s=0.0, backlog_s=0.0, until=110.0):
        """Return when each kind of action is taken, after time 100."""
        times = {}
        now = 100.0
        while now < until:
            action = self.watch.decide(now, True, backlog_s, delay_s)
            if isinstance(action, link_resumption.Ping):
                self.watch.record_ping(now)
            if action is not None:
                times.setdefault(type(action).__name__, now - 100.0)
            now += 0.05
        return times


def test_silent_link_is_pinged_then_suspected_then_given_up():
    assert Checks().times() == pytest.approx(
        {'Ping': 0.15, 'Suspect': 0.45, 'GiveUp': 1.05}, abs=0.051
    )


def test_link_that_was_used_just_now_is_given_up_no_sooner_than_before():
    checks = Checks()
    checks.watch.record_received(100.0)
    assert checks.times()['GiveUp'] >= link_resumption.MAX_SILENCE_S


@pytest.mark.parametrize(
    ('round_trips_s', 'suspect_at_s'),
    [((0.001,) * 20, 0.35), ((0.2, 0.05) * 20, 0.75), ((2.0,), 0.75)],
)
def test_suspicion_depends_on_the_measured_round_trips(
    round_trips_s, suspect_at_s
):
    checks = Checks()
    for round_trip_s in round_trips_s:
        number = checks.watch.record_ping(90.0)
        checks.watch.record_received(90.0 + round_trip_s, number)
    checks.watch.record_call(100.0, is_first=True)
    suspected_at_s = checks.times()['Suspect']
    assert suspected_at_s == pytest.approx(suspect_at_s, abs=0.11)


def test_busy_narrow_link_is_suspected_later():
    times = Checks().times(delay_s=0.8, backlog_s=1.6)
    assert times['Suspect'] >= 0.15 + 0.2 + 0.8
    assert times['GiveUp'] >= 0.15 + 0.8 + 1.6


def test_answer_that_arrived_while_this_node_was_frozen_counts():
    checks = Checks()
    checks.times(until=100.2)
    assert checks.watch.decide(130.0, True, 0.0, 0.0) is None
    checks.watch.record_received(130.001, pong_number=1)
    assert checks.watch.decide(130.05, True, 0.0, 0.0) is None
    assert not checks.watch.is_suspected


def test_long_calls_cost_few_pings():
    checks = Checks()
    pings = 0
    for tick in range(200):
        now = 100.0 + tick * 0.05
        if checks.watch.decide(now, True, 0.0, 0.0) is not None:
            pings += 1
            number = checks.watch.record_ping(now)
            checks.watch.record_received(now + 0.001, number)
    assert pings <= 22


def test_answer_to_an_earlier_ping_is_no_round_trip():
    checks = Checks()
    earlier = checks.watch.record_ping(100.0)
    checks.watch.record_received(100.1)
    checks.watch.record_ping(101.0)
    checks.watch.record_received(101.001, earlier)
    assert checks.round_trips.suspect_after_s == (
        link_resumption.DEFAULT_SUSPECT_AFTER_S
    )
