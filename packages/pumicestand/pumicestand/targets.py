"""The target beside a node, as its heartbeats tell of it."""

import dataclasses

from pumicestand import hop_messages
from pumicestand import messages

# Silence of a target after which another start's heartbeats may replace it
# although that one looks earlier, in seconds: more than two periods.
SILENCE_S = 4.0
# Heartbeats that such a start must have sent, one after the other.
MIN_RIVAL_BEATS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a target says of itself.

    :param target: with its state
    :param sequence: rises with each heartbeat of one start
    :param warm_up_left_s: seconds for which it is still slow after its start
    """

    target: hop_messages.Target
    sequence: int
    warm_up_left_s: float = 0.0

    @property
    def order(self):
        """What decides between two heartbeats for one address."""
        return (self.target.started_ms, self.sequence)


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A target says that it goes.

    :param started_ms: 0 if it does not say which start it means
    """

    instance: str
    started_ms: int = 0


class TargetWatch:
    """Keeps what holds of the target beside this node.

    A state never goes back within one start of a target: a late heartbeat
    does not make a target that leaves serve again. Starts are told apart by
    their time; one that looks earlier is late, unless it goes on while the
    other is silent: then the VM's clock went back in between.
    """

    def __init__(self):
        self._target = None
        self._order = (0, 0)
        self._left = set()
        self._heard_at = 0.0
        self._rival = None
        self._rival_beats = 0
        self.warm_up_until = 0.0

    @property
    def target(self):
        """The `hop_messages.Target`, or None."""
        return self._target

    def restore(self, target):
        """Take what the store remembers, until a heartbeat says more.

        :returns: whether anything changed
        """
        if self._target is not None:
            return False
        self._target = target
        self._order = (target.started_ms, 0)
        return True

    def apply(self, said, now):
        """Take in what the target says; return whether anything changed."""
        match said:
            case Heartbeat():
                return self.apply_heartbeat(said, now)
            case Departure():
                return self.apply_departure(said)

    def apply_heartbeat(self, heartbeat, now):
        """Take a heartbeat in; return whether anything changed."""
        if heartbeat.order <= self._order and not self._is_restart(
            heartbeat, now
        ):
            return False
        before = self._target
        target = heartbeat.target
        is_same = (
            before is not None
            and before.instance == target.instance
            and before.started_ms == target.started_ms
        )
        self._order = heartbeat.order
        self._heard_at = now
        self._rival = None
        self.warm_up_until = now + heartbeat.warm_up_left_s
        if (target.instance, target.started_ms) in self._left:
            target = dataclasses.replace(
                target, state=messages.TargetState.GONE
            )
        elif is_same and before.state > target.state:
            target = dataclasses.replace(target, state=before.state)
        self._target = target
        return target != before

    def _is_restart(self, heartbeat, now):
        """Whether it is of a start after the VM's clock went back."""
        target = heartbeat.target
        start = (target.instance, target.started_ms)
        if start in self._left or target.started_ms == self._order[0]:
            return False
        if self._rival is None or self._rival[0] != start:
            self._rival_beats = 0
        elif heartbeat.sequence <= self._rival[1]:
            return False
        self._rival = (start, heartbeat.sequence)
        self._rival_beats += 1
        return (
            self._rival_beats >= MIN_RIVAL_BEATS
            and now - self._heard_at >= SILENCE_S
        )

    def apply_departure(self, departure):
        """Note that a target goes; return whether anything changed."""
        target = self._target
        if target is None or target.instance != departure.instance:
            return False
        if departure.started_ms not in (0, target.started_ms):
            return False
        self._left.add((target.instance, target.started_ms))
        if target.state is messages.TargetState.GONE:
            return False
        self._target = dataclasses.replace(
            target, state=messages.TargetState.GONE
        )
        return True
