"""Tests of moves: shares of the traffic, verdicts and their survival."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from benchmarks import moves as bench
from pumicestand import blackboard as blackboards
from pumicestand import documents
from pumicestand import events
from pumicestand import messages
from pumicestand import moves
from pumicestand import recording
from pumicestand import shares
from pumicestand import verdicts
from tests import fakes

START = bench.START_TIME


def make_board(name='n0', zone='z'):
    identity = blackboards.Identity('production', name, zone, 'r', 'h', 1, 2)
    board = blackboards.Blackboard(identity, 1)
    document = bench.make_document()
    board.in_force = documents.InForce(
        documents.Accepted(1, 'aa'), document, START
    )
    board.has_verdicts = True
    return board, document.moves[0]


def merge_verdict(board, move, stage):
    verdict = messages.MoveVerdict(move.identity, stage, 'why', START, 'n')
    board.table.merge(verdict, START)


@hypothesis.given(st.floats(0.0, 1.0), st.integers(1, 2000))
def test_picked_calls_never_exceed_the_share(share, calls):
    picker = shares.SharePicker()
    picked = 0
    for number in range(1, calls + 1):
        picked += picker.pick(share)
        assert picked <= share * number + 1e-6
    assert picked >= share * calls - 1


# For each case: the stage known to the node, seconds after the start of the
# move, and the state and share that are expected.
STATES = {
    'before the start': (None, -1.0, shares.State.SCHEDULED, 0.0),
    'unproven': (None, 1.0, shares.State.RUNNING, 0.02),
    'a quarter': (250, 1.0, shares.State.RUNNING, 0.25),
    'late': (250, 1e4, shares.State.LATE, 0.25),
    'done': (messages.STAGE_DONE, 1e4, shares.State.DONE, 1.0),
    'taken back': (
        messages.STAGE_TAKEN_BACK,
        1.0,
        shares.State.TAKEN_BACK,
        0.0,
    ),
}


@pytest.mark.parametrize('name', STATES)
def test_state_and_share_follow_time_and_verdict(name):
    stage, after_s, state, share = STATES[name]
    board, move = make_board()
    if stage is not None:
        merge_verdict(board, move, stage)
    now = START + after_s
    assert shares.state_of(board, move, now) == state
    assert shares.share_of(board, move, now) == share


def test_node_without_verdicts_sends_no_calls_to_the_new_version():
    board, move = make_board()
    board.has_verdicts = False
    assert shares.share_of(board, move, START + 1) == 0.0


def test_base_version_of_a_move_depends_on_the_end_of_the_last_move():
    board, move = make_board()
    second = dataclasses.replace(
        move,
        name='second',
        old_version='v2',
        new_version='v3',
        start=START + 500,
        deadline=START + 900,
    )
    document = dataclasses.replace(
        board.in_force.document, moves=(move, second)
    )
    board.in_force = dataclasses.replace(board.in_force, document=document)
    service = document.services[0]
    now = START + 600
    merge_verdict(board, move, messages.STAGE_TAKEN_BACK)
    split = shares.split_of(board, service, now)
    assert (split.base_version, split.move.name) == ('v1', 'second')
    board.table.entries.clear()
    merge_verdict(board, move, messages.STAGE_DONE)
    split = shares.split_of(board, service, now)
    assert (split.base_version, split.move.name) == ('v2', 'second')


def test_failures_in_a_row_hold_the_new_version_at_the_node():
    board, move = make_board()
    recorder = recording.Recorder()
    for _ in range(recording.FAILURES_BEFORE_HOLD):
        assert shares.share_of(board, move, START + 1) == 0.02
        recorder.record(
            board,
            move,
            'r',
            is_new=True,
            is_error=True,
            latency_s=None,
            now=START + 1,
        )
    assert shares.share_of(board, move, START + 1) == 0.0
    assert shares.share_of(board, move, START + 1 + recording.HOLD_S) == 0.02
    assert board.ring.events[-1].kind == events.Kind.MOVE_HELD


def test_failures_of_both_versions_do_not_hold_the_new_version():
    board, move = make_board()
    recorder = recording.Recorder()
    for _ in range(10):
        for is_new in (True, False):
            recorder.record(
                board,
                move,
                'r',
                is_new=is_new,
                is_error=True,
                latency_s=None,
                now=START + 1,
            )
    assert shares.share_of(board, move, START + 1) == 0.02


def decide(evaluator, now, calls, errors=0, stage=0):
    totals = {
        'r': messages.Counters('m', 'r', calls, errors, 0, calls * 49, 0, 0)
    }
    return evaluator.decide(now, stage, totals)


def test_share_is_raised_only_after_enough_calls_and_time():
    _, move = make_board()
    evaluator = verdicts.MoveEvaluator(move)
    assert decide(evaluator, START, 0) is None
    assert decide(evaluator, START + 1, 100) is None
    assert decide(evaluator, START + 40, 10) is None
    decision = decide(evaluator, START + 41, 100)
    assert decision.stage == verdicts.RAMP_STAGES[0]


def test_lack_of_calls_is_reported_once_before_the_deadline():
    _, move = make_board()
    evaluator = verdicts.MoveEvaluator(move)
    assert decide(evaluator, START + 10, 5) is None
    decision = decide(evaluator, START + 80, 9)
    assert isinstance(decision, verdicts.AtRisk)
    assert '30 are needed' in decision.reason
    assert decide(evaluator, START + 81, 9) is None


def test_final_stages_are_not_evaluated_again():
    _, move = make_board()
    evaluator = verdicts.MoveEvaluator(move)
    for stage in (messages.STAGE_DONE, messages.STAGE_TAKEN_BACK):
        assert decide(evaluator, START + 99, 500, 500, stage) is None


def behaviour(name):
    return next(b for b in bench.BEHAVIOURS if b.name == name)


def run_policy(name, seed=0):
    rng = random.Random(seed)
    deployment = bench.Deployment(5, 2, 60.0)
    fleet = bench.PolicyFleet(deployment, rng)
    return bench.run_move(
        fleet, bench.Workload(deployment, behaviour(name), rng)
    )


@pytest.mark.parametrize('name', ['good', 'good while the old one is sick'])
def test_move_to_a_good_version_is_done_by_the_deadline(name):
    result = run_policy(name)
    assert result.taken_back_at is None
    assert result.done_at <= START + bench.WINDOW_S
    assert not result.is_share_limit_exceeded


@pytest.mark.parametrize('name', ['errors on 100%', 'three times as slow'])
def test_bad_version_is_taken_back_and_gets_no_more_calls(name):
    result = run_policy(name)
    assert result.taken_back_at is not None
    assert result.done_at is None
    assert not result.has_calls_after_takeback
    assert not result.is_share_limit_exceeded


def test_stored_verdict_is_read_back_unchanged():
    verdict = messages.MoveVerdict('m@1', 500, 'good', 1.5, 'n')
    action = verdicts.make_write_action('production', verdict)
    assert action.rank == 500
    assert verdicts.parse_verdict(action.value) == verdict
    with pytest.raises(ValueError):
        verdicts.parse_verdict('{"stage": 1}')


def make_fleet_after_take_back():
    """Return a fake fleet in which a move has been taken back."""
    fleet = fakes.FakeFleet(('e1', 'e1', 'e2', 'w1'))
    fleet.accept('first')
    assert fleet.run(20.0, lambda: fleet.has_converged_on(1))
    verdict = messages.MoveVerdict(
        'm@1', messages.STAGE_TAKEN_BACK, 'bad', fleet.now, 'e10'
    )
    fleet.nodes['e10'].board.disseminate(verdict, fleet.now)
    action = verdicts.make_write_action('production', verdict)
    fleet.write_store_object(action.key, action.value, action.rank)
    fleet.run(5.0)
    return fleet


def stages(fleet):
    return [
        getattr(node.board.table.verdict('m@1'), 'stage', None)
        for node in fleet.nodes.values()
    ]


def test_take_back_reaches_all_nodes_while_the_store_is_down():
    fleet = fakes.FakeFleet(('e1', 'e1', 'e2', 'w1'))
    fleet.accept('first')
    assert fleet.run(20.0, lambda: fleet.has_converged_on(1))
    fleet.set_store_down(True)
    verdict = messages.MoveVerdict(
        'm@1', messages.STAGE_TAKEN_BACK, 'bad', fleet.now, 'e10'
    )
    fleet.nodes['e10'].board.disseminate(verdict, fleet.now)
    expected = [messages.STAGE_TAKEN_BACK] * 4
    assert fleet.run(1.0, lambda: stages(fleet) == expected)


def test_late_verdict_of_another_collector_does_not_undo_a_take_back():
    fleet = make_fleet_after_take_back()
    lower = messages.MoveVerdict('m@1', 950, 'good', fleet.now, 'w13')
    for node in fleet.nodes.values():
        node.board.disseminate(lower, fleet.now)
    fleet.run(5.0)
    assert stages(fleet) == [messages.STAGE_TAKEN_BACK] * 4


@pytest.mark.parametrize('store_is_down', [False, True])
def test_restarted_node_learns_that_a_move_was_taken_back(store_is_down):
    """A restarted node has no state; its peers or the store have the verdict.

    Without the verdict it would send calls to the bad version again.
    """
    fleet = make_fleet_after_take_back()
    fleet.set_store_down(store_is_down)
    fleet.stop('e11')
    fleet.run(1.0)
    fleet.restart('e11')
    assert not fleet.nodes['e11'].board.has_verdicts
    fleet.run(10.0)
    assert stages(fleet) == [messages.STAGE_TAKEN_BACK] * 4


def test_take_back_survives_the_restart_of_all_nodes():
    fleet = make_fleet_after_take_back()
    for name in fleet.nodes:
        fleet.stop(name)
    fleet.run(1.0)
    for name in list(fleet.nodes):
        fleet.restart(name)
    fleet.run(10.0)
    assert stages(fleet) == [messages.STAGE_TAKEN_BACK] * 4


def test_restarted_fleet_has_no_verdicts_while_the_store_is_down():
    fleet = make_fleet_after_take_back()
    fleet.set_store_down(True)
    for name in fleet.nodes:
        fleet.stop(name)
    fleet.run(1.0)
    for name in list(fleet.nodes):
        fleet.restart(name)
    fleet.run(10.0)
    known = [n.board.has_verdicts for n in fleet.nodes.values()]
    assert known == [False] * 4


def test_counters_of_a_removed_move_are_removed():
    board, move = make_board()
    controller = moves.MoveController(random.Random(1))
    recorder = recording.Recorder()
    for _ in range(3):
        recorder.record(
            board,
            move,
            'r',
            is_new=True,
            is_error=True,
            latency_s=None,
            now=START + 1,
        )
    controller.step(board, START + 1)
    assert board.counters
    assert board.held_moves
    document = dataclasses.replace(board.in_force.document, moves=())
    board.in_force = dataclasses.replace(board.in_force, document=document)
    controller.step(board, START + 2)
    assert board.counters == {}
    assert board.held_moves == {}


def test_short_moves_are_reported_more_often():
    _, move = make_board()
    for window_s, period in ((5, 0.25), (60, 1.0), (120, 2.0), (3600, 2.0)):
        changed = dataclasses.replace(move, deadline=move.start + window_s)
        assert moves.report_period(changed) == period
