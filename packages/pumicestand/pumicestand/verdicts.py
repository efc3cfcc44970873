"""Judges a move by the fleet's evidence: raise, take back, or wait."""

import dataclasses
import json

from pumicestand import actions
from pumicestand import evidence
from pumicestand import messages

# The share may rise to these stages, in thousandths of the traffic. The
# old version keeps a little until the end, to be compared with.
RAMP_STAGES = (100, 250, 500, 950)
MIN_STEP_S = 1.0
RAMP_PART = 0.5
DONE_RESERVE_PART = 0.05
DONE_RESERVE_S = 2.0
# Log of the odds against a version above which it gets no more traffic.
CAUTION = 4.6
AT_RISK_PART = 0.6
CALLS_PER_STEP = 30


@dataclasses.dataclass(frozen=True, slots=True)
class RaiseShare:
    """Let the new version have more.

    :param stage: thousandths of the traffic
    """

    stage: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TakeBack:
    """Give the new version nothing any more."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AtRisk:
    """The move will probably not be done by its time."""

    reason: str


Decision = RaiseShare | TakeBack | AtRisk | None


class MoveEvaluator:
    """Judges one move, by evidence that is merged from the fleet.

    :param move: the `documents.Move`
    """

    def __init__(self, move):
        self._move = move
        self._history = evidence.History()
        self._stage = None
        self._stage_at = 0.0
        self._calls_at_stage = 0
        self._has_warned = False

    def decide(self, now, stage, totals):
        """Return a decision, or None to wait.

        :param now: wall time in seconds
        :param stage: the stage in force, in thousandths
        :param totals: route name to the fleet's `messages.Counters`
        """
        if stage >= messages.STAGE_DONE:
            return None
        calls = sum(counters.new_calls for counters in totals.values())
        if stage != self._stage:
            self._stage = stage
            self._stage_at = now
            self._calls_at_stage = calls
        self._history.add(now, totals)
        reading = evidence.assess(self._move, now, totals, self._history)
        if reading.finding is not None:
            return TakeBack(str(reading.finding))
        if reading.log_capital > CAUTION and now < self._done_at:
            # Too little to condemn it, too much to trust it with more.
            return None
        return self._raise(now, stage, calls - self._calls_at_stage)

    @property
    def _done_at(self):
        """When the old version gives up the little that it kept."""
        window = self._move.deadline - self._move.start
        reserve = max(DONE_RESERVE_S, DONE_RESERVE_PART * window)
        return self._move.deadline - reserve

    def _raise(self, now, stage, calls):
        window = self._move.deadline - self._move.start
        if calls < CALLS_PER_STEP:
            return self._warn(now, window, calls)
        higher = [step for step in RAMP_STAGES if step > stage]
        if not higher:
            if now < self._done_at:
                return None
            return RaiseShare(
                messages.STAGE_DONE, f'{calls} good calls at 95%'
            )
        dwell = max(MIN_STEP_S, RAMP_PART * window / (1 + len(RAMP_STAGES)))
        if now - self._stage_at < min(dwell, self._hurry(now, higher)):
            return None
        return RaiseShare(higher[0], f'{calls} good calls at the stage before')

    def _hurry(self, now, higher):
        """Return the seconds a step may take to be done in time."""
        left = self._move.deadline - now
        return max(MIN_STEP_S, left / (2 + len(higher)))

    def _warn(self, now, window, calls):
        if self._has_warned:
            return None
        if now < self._move.start + AT_RISK_PART * window:
            return None
        self._has_warned = True
        return AtRisk(
            f'{calls} calls seen at this stage, {CALLS_PER_STEP} are needed '
            f'for the next; {self._move.deadline - now:.0f} s are left'
        )


def verdict_key(environment, move_identity):
    """Return the key under which the store holds a verdict."""
    return f'moves/{environment}/{move_identity}'


def make_write_action(environment, verdict):
    """Return the action that keeps a verdict in the store."""
    return actions.WriteStore(
        verdict_key(environment, verdict.move),
        json.dumps(dataclasses.asdict(verdict), sort_keys=True),
        verdict.stage,
    )


def parse_verdict(value):
    """Return the `messages.MoveVerdict` that the store's text holds.

    :raises ValueError: if the text is no verdict
    """
    data = json.loads(value)
    data.pop('rank', None)
    try:
        return messages.MoveVerdict(**data)
    except TypeError as error:
        raise ValueError(f'no verdict: {error}') from error
