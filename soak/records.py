"""What a soak notes of its callers, nodes and changes, for its checks.

All times are seconds of one clock, that of the soak's process.
"""

import dataclasses
import enum


class CallKind(enum.StrEnum):
    """What a caller asks for."""

    REPEATABLE = 'repeatable'
    ONCE = 'once'
    UPLOAD = 'upload'
    PROBE = 'probe'


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller and its response.

    :param status: 0 if the connection ended without a whole response
    :param is_correct: whether a success had the one right body, and its stamp
    """

    request_id: str
    kind: CallKind
    node: str
    sent_at: float
    ended_at: float
    status: int
    is_correct: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A request that shows which configuration a node acts on.

    :param generation: whose own route was asked for
    :param start_count: number of the node's start
    """

    node: str
    start_count: int
    generation: int
    sent_at: float
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A generation of the configuration that the store acknowledged."""

    generation: int
    accepted_at: float


class Fault(enum.StrEnum):
    """What was done to a part of the system."""

    KILL = 'kill'
    PAUSE = 'pause'
    STOP = 'stop'
    HANGUP = 'hangup'
    STORE_DOWN = 'store-down'
    STORE_BUSY = 'store-busy'
    STORE_RESET = 'store-reset'
    STORE_SILENT = 'store-silent'
    STORE_SLOW = 'store-slow'
    STORE_LOSES = 'store-loses'
    STORE_FORGETS = 'store-forgets'
    STORE_CUT = 'store-cut'
    TARGET_CRASH = 'target-crash'
    TARGET_LEAVES = 'target-leaves'
    TARGET_LOSES = 'target-loses'
    TARGET_SPOILS = 'target-spoils'
    TARGET_FAILS = 'target-fails'
    TARGET_SLOW = 'target-slow'
    TARGET_SILENT = 'target-silent'
    TARGET_RESET = 'target-reset'


PLANNED_FAULTS = frozenset((Fault.STOP, Fault.HANGUP))
STORE_FAULTS = frozenset(f for f in Fault if f.value.startswith('store-'))
TARGET_FAULTS = frozenset(f for f in Fault if f.value.startswith('target-'))


@dataclasses.dataclass(frozen=True, slots=True)
class Disruption:
    """One fault while it lasted.

    :param node: beside which it happened, empty for the store
    :param until: when its effect was over; a restarted node serves by then
    """

    fault: Fault
    node: str
    since: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A promise that did not hold."""

    promise: str
    detail: str


@dataclasses.dataclass(slots=True)
class Record:
    """All that one soak noted."""

    calls: list = dataclasses.field(default_factory=list)
    probes: list = dataclasses.field(default_factory=list)
    changes: list = dataclasses.field(default_factory=list)
    disruptions: list = dataclasses.field(default_factory=list)
    runs: list = dataclasses.field(default_factory=list)
    departures: list = dataclasses.field(default_factory=list)
