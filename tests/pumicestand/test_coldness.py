"""Tests of the decision whether a target is cold.

A target that gets too many calls while it is cold crashes; one that is taken
to be cold for too long refuses calls that it could run.
"""

import dataclasses

import pytest

from pumicestand import coldness
from pumicestand import documents

COLD_START_S = 8.0
NEVER = float('inf')


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    at: float
    cold_s: float
    instance: str = 'i-1'
    started_ms: int = 1000
    is_accepted: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    at: float
    started_at: float
    cold_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    at: float


# Name: (what happened, time, until when the target is cold then).
CASES = {
    'node started, nothing heard': ((), 1.0, NEVER),
    'node started, first heartbeat is warm': ((Heartbeat(1.0, 0.0),), 1.0, 1),
    'node started, first heartbeat is cold': ((Heartbeat(1.0, 5),), 1.0, 6),
    'node started, no heartbeat but a response': (
        (Response(2.0, 1.9),),
        3.0,
        10.0,
    ),
    'node started, a response that says warm': (
        (Response(2.0, 1.9, 0.0),),
        2.0,
        2.0,
    ),
    'node started, a response that says cold': (
        (Response(2.0, 1.9, 3.0),),
        2.0,
        5.0,
    ),
    'later responses do not prolong it': (
        (Response(2.0, 1.9), Response(7.0, 6.9)),
        7.0,
        10.0,
    ),
    'turns cold while calls run': (
        (Heartbeat(1.0, 0.0), Response(1.5, 1.2), Heartbeat(2.0, 7.5)),
        2.0,
        9.5,
    ),
    'turns cold while it is cold': (
        (Heartbeat(1.0, 2.0), Heartbeat(2.0, 7.5)),
        2.0,
        9.5,
    ),
    'ends earlier than was said': (
        (Heartbeat(1.0, 7.0), Heartbeat(2.0, 0.0)),
        2.0,
        2.0,
    ),
    'late heartbeat with an outdated, longer time': (
        (Heartbeat(3.0, 1.0), Heartbeat(3.1, 2.5, is_accepted=False)),
        3.1,
        4.0,
    ),
    'heartbeat that took long is corrected by the next': (
        (Heartbeat(1.0, 4.0), Heartbeat(4.0, 3.3), Heartbeat(4.1, 0.9)),
        4.1,
        5.0,
    ),
    'target started anew and says so': (
        (Heartbeat(1.0, 0.0), Heartbeat(3.0, 8.0, 'i-2', 3000)),
        3.0,
        11.0,
    ),
    'connection refused': ((Heartbeat(1.0, 0.0), Refused(2.0)), 60.0, NEVER),
    'refused, then a late heartbeat from before': (
        (Heartbeat(1.0, 0.0), Refused(2.0), Heartbeat(2.1, 0.0)),
        2.2,
        NEVER,
    ),
    'refused, comes back cold as the same instance': (
        (
            Heartbeat(1.0, 0.0),
            Refused(2.0),
            Response(2.5, 2.4),
            Heartbeat(2.6, 7.9, 'i-1', 2400),
        ),
        2.6,
        10.5,
    ),
    'refused, comes back without a heartbeat': (
        (Heartbeat(1.0, 0.0), Refused(2.0), Response(2.5, 2.4)),
        3.0,
        10.5,
    ),
    'response of a call from before the crash': (
        (Heartbeat(1.0, 0.0), Refused(2.0), Response(2.1, 1.8)),
        2.2,
        NEVER,
    ),
    'refused once without a crash': (
        (Heartbeat(1.0, 0.0), Refused(2.0), Heartbeat(3.1, 0.0)),
        3.1,
        3.1,
    ),
    'refused while it is down for long': (
        (Heartbeat(1.0, 0.0), Refused(2.0), Refused(2.9), Heartbeat(3.1, 0)),
        3.1,
        NEVER,
    ),
    'node frozen, a buffered response is read first': (
        (Heartbeat(1.0, 0.0), Response(9.0, 0.9)),
        9.0,
        NEVER,
    ),
    'node frozen, nothing read yet': ((Heartbeat(1.0, 0.0),), 9.0, NEVER),
    'node frozen, then a heartbeat': (
        (Heartbeat(1.0, 0.0), Heartbeat(9.0, 0.0)),
        9.0,
        9.0,
    ),
    'heartbeats are missing but calls are answered': (
        (
            Heartbeat(1.0, 0.0),
            Response(4.0, 3.9),
            Response(7.0, 6.9),
        ),
        8.0,
        1.0,
    ),
    'clock set back, the restart is not accepted yet': (
        (
            Heartbeat(1.0, 0.0, started_ms=9000),
            Heartbeat(2.0, 7.5, started_ms=5000, is_accepted=False),
        ),
        2.0,
        NEVER,
    ),
    'clock set back, the restart is accepted': (
        (
            Heartbeat(1.0, 0.0, started_ms=9000),
            Heartbeat(2.0, 7.5, started_ms=5000, is_accepted=False),
            Heartbeat(6.0, 3.5, started_ms=5000),
        ),
        6.0,
        9.5,
    ),
    'late heartbeat of a warm earlier start': (
        (
            Heartbeat(1.0, 0.0, 'i-2', 9000),
            Heartbeat(2.0, 0.0, 'i-1', 5000, is_accepted=False),
        ),
        2.0,
        1.0,
    ),
    'time that is longer than possible': ((Heartbeat(1.0, 1e6),), 1.0, 9.0),
    'negative time': ((Heartbeat(1.0, -3.0),), 1.0, 1.0),
}


def make_coldness(cold_start=COLD_START_S, cold_rate=10.0):
    decision = coldness.Coldness()
    decision.set_service(
        documents.Service(
            name='s',
            versions=(),
            current='',
            resources=(),
            calls=(),
            limits=documents.TargetLimits(slots=0, connections=0, queue=0),
            cold_start=cold_start,
            cold_rate=cold_rate,
        )
    )
    return decision


def record(decision, happening):
    match happening:
        case Heartbeat(at, cold_s, instance, started_ms, is_accepted):
            statement = coldness.Statement(instance, started_ms, cold_s)
            decision.record_heartbeat(statement, is_accepted, at)
        case Response(at, started_at, cold_s):
            decision.record_response(started_at, at)
            if cold_s is not None:
                statement = coldness.Statement('i-1', 1000, cold_s)
                decision.record_statement(statement, at)
        case Refused(at):
            decision.record_refused_connection(at)


@pytest.mark.parametrize('name', CASES)
def test_target_is_cold_as_long_as_it_may_be(name):
    happenings, now, expected = CASES[name]
    decision = make_coldness()
    for happening in happenings:
        record(decision, happening)
    assert decision.cold_until(now) == pytest.approx(expected)


def test_long_silence_is_noticed_once():
    """Each further look must not start the wait for a response again."""
    decision = make_coldness()
    record(decision, Heartbeat(1.0, 0.0))
    assert decision.cold_until(9.0) == NEVER
    record(decision, Response(9.5, 9.4))
    assert decision.cold_until(30.0) == 9.5 + COLD_START_S


def test_rate_comes_from_the_configuration():
    assert make_coldness(cold_rate=12.5).cold_rate == 12.5
    decision = make_coldness()
    decision.set_service(None)
    assert decision.cold_rate == 0.0


def test_statement_is_valid_for_a_while_if_starts_are_not_cold():
    """A target may turn cold although it does not start cold."""
    decision = make_coldness(cold_start=0.0)
    record(decision, Heartbeat(1.0, 3.0))
    assert decision.cold_until(1.0) == 4.0
