"""Decides by the fleet's evidence to raise a move, take it back or wait."""

import dataclasses
import json

from pumicestand import actions
from pumicestand import evidence
from pumicestand import messages

# Stages through which the share of the new version rises, in thousandths of
# the traffic. The old version keeps some traffic until the end of the move,
# since the new version is compared with it.
RAMP_STAGES = (100, 250, 500, 950)
MIN_STAGE_S = 1.0
# Share of a move's window over which the stages are spread.
RAMP_SHARE = 0.5
# The old version gives up its last traffic this long before the deadline: a
# share of the move's window, but at least the seconds.
COMPLETION_RESERVE_SHARE = 0.05
MIN_COMPLETION_RESERVE_S = 2.0
# Log capital (see `evidence`), that is the log of the odds against the new
# version, above which its share is not raised.
MAX_LOG_CAPITAL_TO_RAISE = 4.6
# Share of a move's window after which a lack of calls is reported.
AT_RISK_SHARE = 0.6
MIN_CALLS_PER_STAGE = 30


@dataclasses.dataclass(frozen=True, slots=True)
class RaiseShare:
    """Raise the new version's share of the traffic.

    :param stage: the new share in thousandths of the traffic
    """

    stage: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TakeBack:
    """Take all traffic away from the new version."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AtRisk:
    """The move will probably not be done by its deadline."""

    reason: str


Decision = RaiseShare | TakeBack | AtRisk | None


class MoveEvaluator:
    """Decides on one move by counters merged from the whole fleet.

    :param move: the `documents.Move`
    """

    def __init__(self, move):
        self._move = move
        self._history = evidence.History()
        self._stage = None
        self._stage_started_at = 0.0
        self._calls_at_stage = 0
        self._has_warned = False

    def decide(self, now, stage, totals):
        """Return what to do about the move now, None to wait.

        :param now: wall time in seconds
        :param stage: the stage in force, in thousandths of the traffic
        :param totals: route name to the fleet's `messages.Counters`
        :return: a `Decision`
        """
        if stage >= messages.STAGE_DONE:
            return None
        calls = sum(counters.new_calls for counters in totals.values())
        if stage != self._stage:
            self._stage = stage
            self._stage_started_at = now
            self._calls_at_stage = calls
        self._history.add(now, totals)
        assessment = evidence.assess(self._move, now, totals, self._history)
        if assessment.finding is not None:
            return TakeBack(str(assessment.finding))
        if (
            assessment.log_capital > MAX_LOG_CAPITAL_TO_RAISE
            and now < self._completion_at
        ):
            # The evidence is too weak to take the version back and too
            # strong to give it more traffic.
            return None
        return self._raise(now, stage, calls - self._calls_at_stage)

    @property
    def _completion_at(self):
        """Wall time at which the old version gives up its last traffic."""
        window_s = self._move.deadline - self._move.start
        reserve_s = max(
            MIN_COMPLETION_RESERVE_S, COMPLETION_RESERVE_SHARE * window_s
        )
        return self._move.deadline - reserve_s

    def _raise(self, now, stage, calls):
        """Raise the share if the stage has had enough calls and time.

        :param calls: calls of the new version since the stage began
        """
        window_s = self._move.deadline - self._move.start
        if calls < MIN_CALLS_PER_STAGE:
            return self._warn(now, window_s, calls)
        higher_stages = [each for each in RAMP_STAGES if each > stage]
        if not higher_stages:
            if now < self._completion_at:
                return None
            return RaiseShare(
                messages.STAGE_DONE, f'{calls} good calls at 95%'
            )
        stage_s = max(
            MIN_STAGE_S, RAMP_SHARE * window_s / (1 + len(RAMP_STAGES))
        )
        if now - self._stage_started_at < min(
            stage_s, self._max_stage_s(now, higher_stages)
        ):
            return None
        return RaiseShare(
            higher_stages[0], f'{calls} good calls at the stage before'
        )

    def _max_stage_s(self, now, higher_stages):
        """Return how long a stage may last for the move to end in time."""
        remaining_s = self._move.deadline - now
        return max(MIN_STAGE_S, remaining_s / (2 + len(higher_stages)))

    def _warn(self, now, window_s, calls):
        """Return `AtRisk` once if calls are missing late in the window."""
        if self._has_warned:
            return None
        if now < self._move.start + AT_RISK_SHARE * window_s:
            return None
        self._has_warned = True
        return AtRisk(
            f'{calls} calls seen at this stage, {MIN_CALLS_PER_STAGE} are '
            f'needed for the next; {self._move.deadline - now:.0f} s are left'
        )


def verdict_key(environment, move_identity):
    """Return the key under which the store holds a verdict."""
    return f'moves/{environment}/{move_identity}'


def make_write_action(environment, verdict):
    """Return the action that writes a verdict to the store."""
    return actions.WriteStore(
        verdict_key(environment, verdict.move),
        json.dumps(dataclasses.asdict(verdict), sort_keys=True),
        verdict.stage,
    )


def parse_verdict(value):
    """Return the `messages.MoveVerdict` of a stored JSON text.

    :raises ValueError: if the text is not a verdict
    """
    data = json.loads(value)
    data.pop('rank', None)
    try:
        return messages.MoveVerdict(**data)
    except TypeError as error:
        raise ValueError(f'stored text is not a verdict: {error}') from error
