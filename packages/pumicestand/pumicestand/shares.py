"""Shares of a service's traffic that its versions get during a move."""

import dataclasses
import enum

from pumicestand import messages


class State(enum.StrEnum):
    """Progress of a move.

    `LATE` is a move that still runs after its deadline.
    """

    SCHEDULED = 'scheduled'
    RUNNING = 'running'
    LATE = 'late'
    DONE = 'done'
    TAKEN_BACK = 'taken-back'


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficSplit:
    """How a service's traffic is split between versions now.

    :param base_version: the version that gets the rest of the traffic
    :param move: the running `documents.Move`, or None
    :param share: fraction of the calls that the move's new version gets
    """

    base_version: str
    move: object
    share: float


def stage_of(board, move):
    """Return the highest stage of a move that this node knows."""
    verdict = board.table.verdict(move.identity)
    return verdict.stage if verdict else messages.STAGE_UNPROVEN


def state_of(board, move, now):
    """Return the `State` of a move.

    :param now: wall time in seconds
    """
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

    It is 0 while the node does not know the fleet's verdicts, and while the
    node holds the move after failures.

    :param now: wall time in seconds
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
    """Return the `TrafficSplit` of a service.

    :param service: the `documents.Service`
    :param now: wall time in seconds
    """
    base_version = service.current
    for move in board.in_force.document.moves_of(service.name):
        match state_of(board, move, now):
            case State.DONE:
                base_version = move.new_version
            case State.TAKEN_BACK:
                continue
            case State.SCHEDULED:
                break
            case State.RUNNING | State.LATE:
                return TrafficSplit(
                    base_version, move, share_of(board, move, now)
                )
    return TrafficSplit(base_version, None, 0.0)


class SharePicker:
    """Picks calls for the new version evenly and never above its share.

    The share is added up over the calls; when the sum reaches one, a call
    goes to the new version. After n calls with a constant share, at most
    share * n of them went there.

    >>> picker = SharePicker()
    >>> [picker.pick(0.4) for _ in range(5)]
    [False, False, True, False, True]
    """

    def __init__(self):
        self._credit = 0.0

    def pick(self, share):
        """Return whether the next call goes to the new version."""
        self._credit += share
        # In floating point, adding 0.2 five times gives less than one.
        if self._credit < 1.0 - 1e-9:
            return False
        self._credit -= 1.0
        return True

    def undo_pick(self):
        """Undo a pick whose call could not be sent to the new version."""
        self._credit = min(self._credit + 1.0, 1.0)
