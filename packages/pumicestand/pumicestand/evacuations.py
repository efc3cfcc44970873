"""Which availability zones are evacuated, as far as a node knows.

Operators evacuate a zone by an object in the store that has the zone's name,
and return it to service by deleting the object. The nodes that watch the
store read the objects; all nodes report what they know. Of two states the one
with the later position in the store is valid, so a state that was read early
and heard late is recognised. Nothing known ever expires: a node that is cut
off keeps what it knows.
"""

from pumicestand import hop_messages
from pumicestand import stored_objects


class EvacuationTracker:
    """The latest known state of the evacuations.

    :param zone: availability zone of this node
    :param is_enabled: whether zones are evacuated in this fleet; if not,
        nothing is ever known
    """

    def __init__(self, zone, is_enabled):
        self._zone = zone
        self._is_enabled = is_enabled
        self._state = None
        # Latest position at which the zones are known to be those of the
        # state. It rises with each change in the store, and the state itself
        # is only replaced if the zones differ: all nodes report it.
        self._confirmed_at = stored_objects.Position()
        self._read_zones = frozenset()

    @property
    def is_enabled(self):
        """Whether zones are evacuated in this fleet."""
        return self._is_enabled

    @property
    def is_awaited(self):
        """Whether the node does not know yet which zones are evacuated."""
        return self._is_enabled and self._state is None

    @property
    def state(self):
        """The `hop_messages.Evacuations` to report, None if not known."""
        return self._state

    @property
    def zones(self):
        """Names of the evacuated zones."""
        return frozenset(self._state.zones if self._state else ())

    @property
    def is_own_zone_evacuated(self):
        """Whether the target beside this node gets no calls."""
        return self._zone in self.zones

    def apply_listing(self, listing):
        """Apply a `stored_objects.Listing` of all evacuations.

        :returns: whether the state to report has changed
        """
        self._read_zones = frozenset(item.name for item in listing.items)
        return self._apply_read(listing.position)

    def apply_events(self, events):
        """Apply the `stored_objects.Events` since the last listing or events.

        :returns: whether the state to report has changed
        """
        for event in events.events:
            name = frozenset((event.object.name,))
            if event.is_deleted:
                self._read_zones -= name
            else:
                self._read_zones |= name
        return self._apply_read(events.position)

    def _apply_read(self, position):
        if self._state is not None and position < self._confirmed_at:
            return False
        self._confirmed_at = position
        if (
            self._state is not None
            and self._state.era == position.era
            and self.zones == self._read_zones
        ):
            return False
        self._set_state(position, self._read_zones)
        return True

    def _set_state(self, position, zones):
        self._state = hop_messages.Evacuations(
            position.era, position.revision, tuple(sorted(zones))
        )

    def apply_reported(self, state):
        """Apply what another node has reported.

        :param state: `hop_messages.Evacuations`, None if the node knows none
        :returns: whether the state to report has changed
        """
        if state is None or not self._is_enabled:
            return False
        position = stored_objects.Position(state.era, state.revision)
        if self._state is None or position > self._confirmed_at:
            has_changed = (
                self._state is None
                or self._state.era != state.era
                or self._state.zones != state.zones
            )
            self._confirmed_at = position
            if has_changed:
                self._state = state
                # Further events of a watch are changes to this state: the
                # watch may have missed what another node has read.
                self._read_zones = frozenset(state.zones)
            return has_changed
        if (
            state.zones != self._state.zones
            and state.sort_key > self._state.sort_key
        ):
            # The other node can't tell that its state is the earlier one
            # unless it is told until when this one was confirmed.
            self._set_state(self._confirmed_at, self._state.zones)
            return True
        return False
