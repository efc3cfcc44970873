"""Shares: how much of a service's traffic each version gets now."""

import dataclasses
import enum

from pumicestand import messages


class State(enum.StrEnum):
    """How far a move is."""

    SCHEDULED = 'scheduled'
    RUNNING = 'running'
    LATE = 'late'
    DONE = 'done'
    TAKEN_BACK = 'taken-back'


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficSplit:
    """Which versions of a service take traffic now.

    :param base_version: the version that takes all but the share
    :param move: the move that runs, or None
    :param share: fraction of calls for the move's new version
    """

    base_version: str
    move: object
    share: float


def stage_of(board, move):
    """Return the stage of a move that this node knows of."""
    verdict = board.table.verdict(move.identity)
    return verdict.stage if verdict else messages.STAGE_UNPROVEN


def state_of(board, move, now):
    """Return the `State` of a move."""
    stage = stage_of(board, move)
    if stage == messages.STAGE_TAKEN_BACK:
        return State.TAKEN_BACK
    if stage >= messages.STAGE_DONE:
        return State.DONE
    if now < move.start:
        return State.SCHEDULED
    return State.LATE if now > move.deadline else State.RUNNING


def share_of(board, move, now):
    """Return the fraction of calls that a move's new version gets.

    A node that has not yet heard the fleet's verdicts gives it nothing.
    """
    stage = stage_of(board, move)
    if stage == messages.STAGE_TAKEN_BACK:
        return 0.0
    if stage >= messages.STAGE_DONE:
        return 1.0
    if now < move.start or not board.has_verdicts:
        return 0.0
    if board.held_moves.get(move.identity, 0.0) > now:
        return 0.0
    return max(move.unproven_share, stage / messages.STAGE_DONE)


def split_of(board, service, now):
    """Return the `TrafficSplit` of a `documents.Service`."""
    base = service.current
    for move in board.in_force.document.moves_of(service.name):
        match state_of(board, move, now):
            case State.DONE:
                base = move.new_version
            case State.TAKEN_BACK:
                continue
            case State.SCHEDULED:
                break
            case State.RUNNING | State.LATE:
                return TrafficSplit(base, move, share_of(board, move, now))
    return TrafficSplit(base, None, 0.0)


class SharePicker:
    """Spreads a share evenly over the calls, never above it.

    The share's fractions add up; a call goes to the new version when they
    reach one. After n calls the new version had at most share * n of them.

    >>> picker = SharePicker()
    >>> [picker.pick(0.4) for _ in range(5)]
    [False, False, True, False, True]
    """

    def __init__(self):
        self._credit = 0.0

    def pick(self, share):
        """Return whether the next call goes to the new version."""
        self._credit += share
        # Five times 0.2 adds up to less than one in floating point.
        if self._credit < 1.0 - 1e-9:
            return False
        self._credit -= 1.0
        return True

    def undo_pick(self):
        """Take back a pick that could not be used."""
        self._credit = min(self._credit + 1.0, 1.0)
