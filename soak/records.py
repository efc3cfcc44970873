"""Records of the calls, changes and faults of a soak, for its checks.

All times are in seconds of trio's clock in the process of the soak.
"""

import dataclasses
import enum
import itertools


class CallKind(enum.StrEnum):
    """Kinds of calls that the clients of a soak send."""

    REPEATABLE = 'repeatable'
    ONCE = 'once'
    UPLOAD = 'upload'
    PROBE = 'probe'
    LONG = 'long'


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call of a client and its response.

    :param node: name of the node that received the call
    :param status: 0 if there was no complete response
    :param is_correct: whether a successful response had the body that belongs
        to the request and the stamp of the target
    :param is_of_target: whether the response had the stamp of the target
    :param used_new_connection: whether it was the first call on its connection
    :param was_reset: whether the node reset the connection, as it does when it
        closes it before it has read all
    """

    request_id: str
    kind: CallKind
    node: str
    sent_at: float
    ended_at: float
    status: int
    is_correct: bool = True
    is_of_target: bool = True
    used_new_connection: bool = False
    was_reset: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A request that shows which configuration is in force at a node.

    Each generation has a route of its own, and a probe requests the route of
    one generation.

    :param start_count: how often the node had been started
    """

    node: str
    start_count: int
    generation: int
    sent_at: float
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A generation of the configuration that the store has accepted."""

    generation: int
    accepted_at: float


class Fault(enum.StrEnum):
    """Kinds of faults that are injected.

    `HANGUP` changes a node's settings and sends SIGHUP. With `STORE_LOSES`
    and `TARGET_LOSES` a request is executed but its response is lost.
    `STORE_FORGETS` makes the store forget its history, and `STORE_CUT` stalls
    the connections of one node to the store. `TARGET_LEAVES` is an announced
    departure, and `TARGET_SPOILS` truncates responses. `STORE_SILENCED` lets
    nothing more pass the open connections to the store, while new ones work.
    `TARGET_LIMITS` has a target advertise a rate limit, `TARGET_WARNS` is a
    departure that only responses tell, `TARGET_ENDLESS` is endless bodies.
    With `TARGET_COLD` a target turns cold and bears only a few calls. During
    `ZONE_EVACUATED` nothing may be sent to the targets of a zone, and with
    `KEY_WITHDRAWN` a key becomes invalid while a third of the nodes can't
    reach the store. `STOP_UNDER_CALLS` stops a node in order while long calls
    run, and changes its settings and the configuration meanwhile. With
    `TARGET_STUTTERS` a target fails by chance and sends responses twice.
    The faults of a machine are told in docs/operations/soak.md.
    """

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
    STORE_SILENCED = 'store-silenced'
    TARGET_LIMITS = 'target-limits'
    TARGET_WARNS = 'target-warns'
    TARGET_ENDLESS = 'target-endless'
    TARGET_COLD = 'target-cold'
    ZONE_EVACUATED = 'zone-evacuated'
    KEY_WITHDRAWN = 'key-withdrawn'
    STOP_UNDER_CALLS = 'stop-under-calls'
    TARGET_STUTTERS = 'target-stutters'
    MACHINE_FILLED = 'machine-filled'
    MACHINE_LEFT = 'machine-left'
    MACHINE_UNREAD = 'machine-unread'
    MACHINE_SCRAPED = 'machine-scraped'
    MACHINE_RELOADED = 'machine-reloaded'
    MACHINE_STOPPED = 'machine-stopped'
    MACHINE_BUSY = 'machine-busy'


STOPS = frozenset((Fault.STOP, Fault.STOP_UNDER_CALLS, Fault.MACHINE_STOPPED))
PROCESS_FAULTS = frozenset((Fault.KILL, Fault.PAUSE)) | STOPS
# Orders of the operators, which excuse nothing.
ORDERS = frozenset((Fault.ZONE_EVACUATED, Fault.KEY_WITHDRAWN))
PLANNED_FAULTS = frozenset((Fault.HANGUP,)) | STOPS | ORDERS
STORE_FAULTS = frozenset(f for f in Fault if f.value.startswith('store-'))
TARGET_FAULTS = frozenset(f for f in Fault if f.value.startswith('target-'))
MACHINE_FAULTS = frozenset(f for f in Fault if f.value.startswith('machine-'))
# Faults of a machine in which other clients may use up descriptors.
CROWDING_FAULTS = frozenset(
    (Fault.MACHINE_FILLED, Fault.MACHINE_LEFT, Fault.MACHINE_STOPPED)
)
# Faults in which the store can't be reached by all nodes, or by one.
UNREACHABLE_STORE_FAULTS = frozenset(
    (
        Fault.STORE_DOWN,
        Fault.STORE_BUSY,
        Fault.STORE_RESET,
        Fault.STORE_SILENT,
        Fault.STORE_CUT,
    )
)
# Faults that are drawn apart from the others, so that a seed of an earlier
# version still draws the same of those.
LATER_FAULTS = (
    Fault.STORE_SILENCED,
    Fault.TARGET_LIMITS,
    Fault.TARGET_WARNS,
    Fault.TARGET_ENDLESS,
)


class Part(enum.StrEnum):
    """Parts of the system that a soak plays only on request.

    They change the configuration or the settings of the nodes.
    """

    COLD = 'cold'
    EVACUATION = 'evacuation'
    KEYS = 'keys'
    STOPS = 'stops'
    STUTTER = 'stutter'
    MACHINE = 'machine'


# The faults of each part; those of one part are drawn apart from all others.
PART_FAULTS = {
    Part.COLD: (Fault.TARGET_COLD,),
    Part.EVACUATION: (Fault.ZONE_EVACUATED,),
    Part.KEYS: (Fault.KEY_WITHDRAWN,),
    Part.STOPS: (Fault.STOP_UNDER_CALLS,),
    Part.STUTTER: (Fault.TARGET_STUTTERS,),
    Part.MACHINE: tuple(f for f in Fault if f in MACHINE_FAULTS),
}
FIRST_FAULTS = tuple(
    f
    for f in Fault
    if f not in (*LATER_FAULTS, *itertools.chain(*PART_FAULTS.values()))
)


@dataclasses.dataclass(frozen=True, slots=True)
class Disruption:
    """The period during which one fault was active.

    :param node: name of the affected node, or of the node of the affected
        target; empty for faults of the store, which affect all nodes
    :param until: time when the fault was over; a node that was restarted was
        ready again by then
    """

    fault: Fault
    node: str
    since: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A stop in order.

    :param node: name of the node
    :param at: time before its SIGTERM
    :param ended_at: time after its end
    """

    node: str
    at: float
    ended_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """A period during which nothing may be sent to a zone's targets.

    :param written_at: time when the store had accepted the object
    :param deleted_at: time before its deletion
    :param nodes: name of the node of each target in the zone, by the
        target's name
    """

    zone: str
    written_at: float
    deleted_at: float
    nodes: dict


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedCall:
    """A call that was sent with a key.

    :param organisation: name of the organisation that holds or held the key
    """

    key: str
    organisation: str
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawal:
    """A key that a configuration has withdrawn.

    :param at: time when the store had accepted the configuration
    """

    key: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A violation of a promise of the system."""

    promise: str
    detail: str


@dataclasses.dataclass(slots=True)
class Record:
    """Everything that one soak recorded.

    :param runs: the `mesh_target.Run`s of all targets
    :param run_ends: time at which each run ended, finished or cut, by request
        id and instance
    :param answers: status of the complete response of each run, by its stamp
    :param responses: the `mesh_target.Received` responses to all calls, of
        clients and of targets
    :param target_nodes: name of the node of each target, by the target's name
    :param departures: the `mesh_target.Departure`s of all targets
    :param limits: (name of the node, `mesh_target.LimitPeriod`) of all targets
    :param cold_crashes: the `mesh_target.ColdCrash`es of all targets
    :param keyed_calls: the `KeyedCall` of each request id with a key
    """

    calls: list = dataclasses.field(default_factory=list)
    probes: list = dataclasses.field(default_factory=list)
    changes: list = dataclasses.field(default_factory=list)
    disruptions: list = dataclasses.field(default_factory=list)
    stops: list = dataclasses.field(default_factory=list)
    runs: list = dataclasses.field(default_factory=list)
    run_ends: dict = dataclasses.field(default_factory=dict)
    answers: dict = dataclasses.field(default_factory=dict)
    responses: list = dataclasses.field(default_factory=list)
    target_nodes: dict = dataclasses.field(default_factory=dict)
    departures: list = dataclasses.field(default_factory=list)
    limits: list = dataclasses.field(default_factory=list)
    cold_crashes: list = dataclasses.field(default_factory=list)
    evacuations: list = dataclasses.field(default_factory=list)
    keyed_calls: dict = dataclasses.field(default_factory=dict)
    withdrawals: list = dataclasses.field(default_factory=list)
