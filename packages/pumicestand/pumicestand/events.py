"""Events of a process, kept in a ring buffer.

`pumicestandctl timeline` fetches the buffers of all processes and merges
them. Processes send no events unless asked.
"""

import collections
import dataclasses
import enum

DEFAULT_RING_SIZE = 2000


class Kind(enum.StrEnum):
    """Kinds of events."""

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
    """An event of a process.

    :param stamp: stamp of the process's `clocks.HybridClock`, which orders
        the events of all processes
    :param process: name of the process
    :param step: name of the step during which it occurred, may be empty
    :param peer: name or address of the other process, may be empty
    :param generation: generation of the document concerned, 0 for none
    :param service: name of the service concerned, empty for none
    :param move: identity of the move concerned, empty for none
    :param detail: what happened, with the object, value and limit involved
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
    """Ring buffer of the latest events of a process.

    :param size: maximum number of events
    """

    def __init__(self, size=DEFAULT_RING_SIZE):
        self._events = collections.deque(maxlen=size)

    @property
    def events(self):
        """The events in the buffer as a tuple, oldest first."""
        return tuple(self._events)

    def append(self, event):
        """Add an event; drop the oldest if the buffer is full."""
        self._events.append(event)


def merge(rings):
    """Return the events of several processes in causal order.

    Duplicates are removed.

    :param rings: one iterable of `Event` for each process

    >>> first = Event(1, 'a', Kind.STARTED)
    >>> second = Event(2, 'b', Kind.STARTED)
    >>> [event.process for event in merge([[second], [first]])]
    ['a', 'b']
    """
    merged = {event for ring in rings for event in ring}
    return sorted(merged, key=lambda event: (event.stamp, event.process))
