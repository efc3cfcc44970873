"""State of the target beside a node, as its heartbeats report it."""

import dataclasses

from pumicestand import hop_messages
from pumicestand import target_states

State = target_states.TargetState

# Time without heartbeats of the known incarnation of a target after which one
# that seems to have started earlier may replace it: more than two periods.
SILENCE_S = 4.0
# Successive heartbeats that this other incarnation must have sent by then.
MIN_CANDIDATE_HEARTBEATS = 3
# Departed incarnations that are remembered; a departure outlives the delay of
# any heartbeat sent before it.
MAX_DEPARTED = 8


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

    What is heard of the target is merged: of two incarnations the one that
    started later is current, and within one the state never goes back. So the
    record of an earlier process, heartbeats, departures and statements in
    responses may arrive in any order and however late.

    A heartbeat of an incarnation that seems to have started earlier is taken
    as delayed, unless its heartbeats go on while those of the later one are
    missing: then the VM's clock was set back between the two starts.
    """

    def __init__(self):
        self._known = None
        # What `target` returns, which each call asks for several times.
        self._target = None
        self._sequence = 0
        # Incarnations that have departed, in the order in which they were
        # heard of.
        self._departed = {}
        # Instances of which an unknown incarnation has departed.
        self._undated_departures = set()
        # Incarnations that one followed which seems to have started earlier.
        self._superseded = set()
        self._awaits_history = False
        self._heartbeat_at = None
        self._heartbeat = None
        self._candidate = _Succession()
        self._current = _Succession()
        self.warm_up_until = 0.0

    @property
    def target(self):
        """The `hop_messages.Target` to act on, or None.

        While the history is awaited there is none that serves.
        """
        return self._target

    @property
    def known(self):
        """The current `hop_messages.Target` as it must be recorded, or None.

        It is also told while the history is awaited.
        """
        return self._known

    @property
    def departed(self):
        """The departed `hop_messages.Incarnation` objects to be recorded."""
        return tuple(self._departed)

    @property
    def heartbeat(self):
        """The latest accepted `Heartbeat`, None before the first."""
        return self._heartbeat

    def await_history(self):
        """Hold back a serving target until `restore` is called.

        An earlier process may have acknowledged that it leaves. Without its
        record, successive heartbeats show in the end that the target goes on.
        """
        self._awaits_history = True
        self._update_target()

    def restore(self, target, departed=()):
        """Merge what an earlier process of this node has recorded.

        :param target: `hop_messages.Target`, None if there is no record
        :param departed: the recorded `hop_messages.Incarnation` objects
        :returns: whether the target or its state changed
        """
        for incarnation in departed:
            self._add_departed(incarnation)
        if target is not None:
            # An earlier process has heard of it before the departure.
            self._date_departure(target.incarnation)
            self._merge(target, 0)
        self._end_wait()
        return self._update_target()

    def apply(self, message, now):
        """Apply a `Heartbeat`, `Departure` or `Leaving`.

        :param now: monotonic seconds
        :returns: whether the target or its state changed
        """
        match message:
            case Heartbeat():
                self._apply_heartbeat(message, now)
            case Departure():
                self._apply_departure(message, now)
            case Leaving():
                self._apply_leaving(message)
        return self._update_target()

    def _update_target(self):
        """Set the target to act on; return whether it has changed."""
        before = self._target
        self._target = self._known
        if (
            self._awaits_history
            and self._known is not None
            and not self._known.is_leaving
        ):
            self._target = None
        return self._target != before

    def has_accepted(self, leave):
        """Return whether the state reflects that a target leaves.

        :param leave: the `Heartbeat` or `Departure` that says so
        """
        match leave:
            case Heartbeat(target):
                incarnation = target.incarnation
            case Departure(instance, started_ms):
                incarnation = hop_messages.Incarnation(instance, started_ms)
        known = self._known
        if known is not None and known.instance == incarnation.instance:
            return known.is_leaving
        return incarnation in self._departed

    def _apply_heartbeat(self, heartbeat, now):
        target = heartbeat.target
        known = self._known
        if target.incarnation in self._superseded:
            return
        is_same = known is not None and target.incarnation == known.incarnation
        if known is not None and not is_same and not _is_later(target, known):
            if not self._is_restart(heartbeat, now):
                return
            self._supersede(known.incarnation)
        is_latest = not is_same or heartbeat.sequence > self._sequence
        self._merge(target, heartbeat.sequence, is_latest)
        if not is_latest:
            return
        self._heartbeat_at = now
        self._heartbeat = heartbeat
        self._candidate = _Succession()
        self.warm_up_until = now + heartbeat.warm_up_left_s
        self._current = self._current.add(heartbeat, now)
        if self._current.is_established(now - self._current.since):
            self._end_wait()

    def _end_wait(self):
        """End the wait for the history of the target."""
        self._awaits_history = False
        if self._known is not None:
            self._date_departure(self._known.incarnation)
        self._undated_departures.clear()
        self._end_departed()

    def _supersede(self, incarnation):
        """Forget an incarnation that ended before the clock was set back."""
        self._superseded.add(incarnation)
        self._departed.pop(incarnation, None)
        self._known = None
        self._sequence = 0

    def _merge(self, target, sequence, is_latest=False):
        """Merge a target that was heard of into the known one.

        :param is_latest: whether it replaces what else is known of the same
            incarnation
        """
        known = self._known
        if known is None or _is_later(target, known):
            self._known = target
            self._sequence = sequence
        elif target.incarnation == known.incarnation:
            state = max(known.state, target.state)
            latest = target if is_latest else known
            self._known = dataclasses.replace(latest, state=state)
            self._sequence = max(self._sequence, sequence)
        self._end_departed()

    def _date_departure(self, incarnation):
        """Take a departure without a start time as that of an incarnation."""
        if incarnation.instance in self._undated_departures:
            self._undated_departures.discard(incarnation.instance)
            self._add_departed(incarnation)

    def _end_departed(self):
        """Set the state of the known target if it has departed."""
        known = self._known
        if known is not None and any(
            known.incarnation.is_until(departed) for departed in self._departed
        ):
            self._known = dataclasses.replace(known, state=State.GONE)

    def _add_departed(self, incarnation):
        self._departed[incarnation] = None
        while len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]

    def _is_restart(self, heartbeat, now):
        """Return whether it is of a restart after the clock was set back."""
        incarnation = heartbeat.target.incarnation
        if incarnation in self._departed:
            return False
        self._candidate = self._candidate.add(heartbeat, now)
        return self._candidate.is_established(self._silence_s(now))

    def _silence_s(self, now):
        """Return for how long no heartbeat of the known target was heard."""
        if self._heartbeat_at is None:
            return now - self._candidate.since
        return now - self._heartbeat_at

    def _apply_leaving(self, leaving):
        known = self._known
        if known is None or known.is_leaving:
            return
        if known.incarnation == hop_messages.Incarnation(
            leaving.instance, leaving.started_ms
        ):
            self._known = dataclasses.replace(known, state=State.DRAINING)

    def _apply_departure(self, departure, now):
        known = self._known
        started_ms = departure.started_ms
        if known is not None and known.instance == departure.instance:
            is_silent = (
                self._heartbeat_at is None
                or now - self._heartbeat_at >= SILENCE_S
            )
            if not started_ms or (started_ms < known.started_ms and is_silent):
                # The start is not known, or the clock was set back.
                started_ms = known.started_ms
        elif not started_ms:
            self._undated_departures.add(departure.instance)
            return
        self._add_departed(
            hop_messages.Incarnation(departure.instance, started_ms)
        )
        self._end_departed()


@dataclasses.dataclass(frozen=True, slots=True)
class _Succession:
    """Heartbeats of one incarnation with rising sequences.

    :param since: time of the first one, in monotonic seconds
    """

    incarnation: hop_messages.Incarnation | None = None
    sequence: int = 0
    count: int = 0
    since: float = 0.0

    def add(self, heartbeat, now):
        """Return the succession with a heartbeat, which may start anew."""
        incarnation = heartbeat.target.incarnation
        if self.incarnation != incarnation:
            return _Succession(incarnation, heartbeat.sequence, 1, now)
        if heartbeat.sequence <= self.sequence:
            return self
        return dataclasses.replace(
            self, sequence=heartbeat.sequence, count=self.count + 1
        )

    def is_established(self, elapsed_s):
        """Return whether delayed heartbeats can be ruled out.

        :param elapsed_s: seconds for which nothing speaks against it
        """
        return (
            self.count >= MIN_CANDIDATE_HEARTBEATS and elapsed_s >= SILENCE_S
        )


def _is_later(target, other):
    """Return whether a target started after another, as far as is known.

    Starts at the same time are ordered by name, the same on all nodes.
    """
    return (target.started_ms, target.instance) > (
        other.started_ms,
        other.instance,
    )
