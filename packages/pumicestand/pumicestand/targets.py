"""State of the target beside a node, as its heartbeats report it."""

import dataclasses

from pumicestand import hop_messages
from pumicestand import target_states

# Time without heartbeats of the known incarnation of a target after which one
# that seems to have started earlier may replace it: more than two periods.
SILENCE_S = 4.0
# Successive heartbeats that this other incarnation must have sent by then.
MIN_CANDIDATE_HEARTBEATS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A report of a target on itself.

    :param target: the target with its state
    :param sequence: rises with each heartbeat of one incarnation
    :param warm_up_left_s: seconds for which it is still slow after its start
    """

    target: hop_messages.Target
    sequence: int
    warm_up_left_s: float = 0.0

    @property
    def sort_key(self):
        """Sort key of heartbeats for one address; the highest is the latest.

        It consists of the start of the incarnation and the sequence.
        """
        return (self.target.started_ms, self.sequence)


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """The announcement of a target that it stops.

    :param instance: name of the target's instance
    :param started_ms: start of the incarnation that is meant, in milliseconds
        since the epoch; 0 if it is not known
    """

    instance: str
    started_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """The statement of a target, in a response, that it is about to leave.

    :param instance: name of the target's instance
    :param started_ms: start of its incarnation, in milliseconds since the
        epoch
    """

    instance: str
    started_ms: int


class TargetWatch:
    """Tracks the state of the target beside this node.

    Within one incarnation of a target the state never goes back: a delayed
    heartbeat does not make a target serve again that is leaving. Incarnations
    are distinguished by their instance and start. A heartbeat of one that
    seems to have started earlier is taken as delayed, unless its heartbeats
    go on while those of the later one are missing: then the VM's clock was
    set back between the two starts.
    """

    def __init__(self):
        self._target = None
        self._sort_key = (0, 0)
        self._departed = set()
        self._heartbeat_at = 0.0
        self._heartbeat = None
        self._candidate = None
        self._candidate_heartbeats = 0
        self.warm_up_until = 0.0

    @property
    def target(self):
        """The `hop_messages.Target`, or None."""
        return self._target

    @property
    def heartbeat(self):
        """The latest accepted `Heartbeat`, None before the first."""
        return self._heartbeat

    def restore(self, target):
        """Set the target from the store's record if no heartbeat came yet.

        Its departure may have been acknowledged before the record was read.

        :returns: whether anything changed
        """
        if self._target is not None:
            return False
        if self._has_departed(target) or (
            (target.instance, 0) in self._departed
        ):
            target = dataclasses.replace(
                target, state=target_states.TargetState.GONE
            )
        self._target = target
        self._sort_key = (target.started_ms, 0)
        return True

    def apply(self, message, now):
        """Apply a `Heartbeat`, `Departure` or `Leaving`.

        :param now: monotonic seconds
        :returns: whether the target or its state changed
        """
        match message:
            case Heartbeat():
                return self.apply_heartbeat(message, now)
            case Departure():
                return self.apply_departure(message)
            case Leaving():
                return self.apply_leaving(message)

    def apply_heartbeat(self, heartbeat, now):
        """Apply a heartbeat; return whether anything changed."""
        if heartbeat.sort_key <= self._sort_key and not self._is_restart(
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
        self._sort_key = heartbeat.sort_key
        self._heartbeat_at = now
        self._heartbeat = heartbeat
        self._candidate = None
        self.warm_up_until = now + heartbeat.warm_up_left_s
        if self._has_departed(target):
            target = dataclasses.replace(
                target, state=target_states.TargetState.GONE
            )
        elif is_same and before.state > target.state:
            target = dataclasses.replace(target, state=before.state)
        self._target = target
        return target != before

    def _has_departed(self, target):
        return (target.instance, target.started_ms) in self._departed

    def _is_restart(self, heartbeat, now):
        """Return whether it is of a restart after the clock was set back."""
        target = heartbeat.target
        incarnation = (target.instance, target.started_ms)
        if (
            incarnation in self._departed
            or target.started_ms == self._sort_key[0]
        ):
            return False
        if self._candidate is None or self._candidate[0] != incarnation:
            self._candidate_heartbeats = 0
        elif heartbeat.sequence <= self._candidate[1]:
            return False
        self._candidate = (incarnation, heartbeat.sequence)
        self._candidate_heartbeats += 1
        return (
            self._candidate_heartbeats >= MIN_CANDIDATE_HEARTBEATS
            and now - self._heartbeat_at >= SILENCE_S
        )

    def apply_leaving(self, leaving):
        """Apply the statement of a response; return whether it is news."""
        target = self._target
        if (
            target is None
            or target.state is not target_states.TargetState.SERVING
        ):
            return False
        if (target.instance, target.started_ms) != (
            leaving.instance,
            leaving.started_ms,
        ):
            return False
        self._target = dataclasses.replace(
            target, state=target_states.TargetState.DRAINING
        )
        return True

    def apply_departure(self, departure):
        """Apply a departure; return whether anything changed."""
        target = self._target
        if target is None:
            # A process that has just started does not know the target yet.
            self._departed.add((departure.instance, departure.started_ms))
            return False
        if target.instance != departure.instance:
            return False
        if departure.started_ms not in (0, target.started_ms):
            return False
        self._departed.add((target.instance, target.started_ms))
        if target.state is target_states.TargetState.GONE:
            return False
        self._target = dataclasses.replace(
            target, state=target_states.TargetState.GONE
        )
        return True
