"""The events of one process, kept in a bounded ring.

`pumicestandctl timeline` gathers the rings of all processes. Nothing is
sent while nobody asks.
"""

import collections
import dataclasses
import enum

RING_EVENTS = 2000


class Kind(enum.StrEnum):
    """What may happen."""

    STARTED = 'started'
    STOPPING = 'stopping'
    STOPPED = 'stopped'
    JOINED = 'joined'
    MEMBER_STATUS = 'member-status'
    REPLACED = 'replaced'
    STORE_UP = 'store-up'
    STORE_DOWN = 'store-down'
    WATCH_STARTED = 'watch-started'
    WATCH_STOPPED = 'watch-stopped'
    VERSION_SEEN = 'version-seen'
    VERSION_REFUSED = 'version-refused'
    VERSION_IN_FORCE = 'version-in-force'
    FLOOR_LEARNED = 'floor-learned'
    FLOOR_UNKNOWN = 'floor-unknown'
    FRAME_REFUSED = 'frame-refused'
    TARGET_ANNOUNCED = 'target-announced'
    TARGET_DRAINING = 'target-draining'
    TARGET_GONE = 'target-gone'
    SHARE_CHANGED = 'share-changed'
    MOVE_HELD = 'move-held'
    MOVE_AT_RISK = 'move-at-risk'
    MOVE_TAKEN_BACK = 'move-taken-back'
    MOVE_DONE = 'move-done'
    REQUEST_QUARANTINED = 'request-quarantined'
    SYNCED = 'synced'


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event of one process.

    :param stamp: the process's hybrid clock, which orders all events
    :param detail: what happened, naming the thing, number and bound
    """

    stamp: int
    process: str
    kind: Kind
    step: str = ''
    peer: str = ''
    generation: int = 0
    service: str = ''
    move: str = ''
    detail: str = ''


class Ring:
    """The last events of a process.

    :param size: how many events are kept
    """

    def __init__(self, size=RING_EVENTS):
        self._events = collections.deque(maxlen=size)

    @property
    def events(self):
        """All events that are kept, oldest first."""
        return tuple(self._events)

    def append(self, event):
        """Keep an event; the oldest goes when the ring is full."""
        self._events.append(event)


def merge(rings):
    """Return the events of many processes in causal order.

    :param rings: sequences of `Event`

    >>> first = Event(1, 'a', Kind.STARTED)
    >>> second = Event(2, 'b', Kind.STARTED)
    >>> [event.process for event in merge([[second], [first]])]
    ['a', 'b']
    """
    merged = {event for ring in rings for event in ring}
    return sorted(merged, key=lambda event: (event.stamp, event.process))
