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
    assert results.get(calls, 1, 0.0) is None


def test_calls_that_the_answer_does_not_name_may_have_run():
    resumed = hop_messages.Resumed(5, not_started=(1,), kept=(2,))
    assert link_resumption.settle(resumed, (1, 2, 3)) == [
        Refuse(1),
        Await(2),
        Disclaim(3),
    ]
