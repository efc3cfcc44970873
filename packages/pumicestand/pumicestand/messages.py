"""The messages that nodes exchange, as data classes.

`wire` encodes and decodes them. Controllers handle only these classes,
never encoded bytes.
"""

import dataclasses
import enum

from pumicestand import documents
from pumicestand import target_states


class Status(enum.IntEnum):
    """The status of a member, as the fleet sees it.

    Of two records with equal incarnation and revision, the one with the
    higher status wins.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target, as it announced itself to the node on its VM.

    :param resources: names of the resources that the target has
    :param slots: number of calls that the target runs concurrently
    :param connections: number of connections that the target accepts
    """

    service: str
    version: str
    host: str
    port: int
    resources: tuple[str, ...] = ()
    slots: int = 20
    connections: int = 100
    state: target_states.TargetState = target_states.TargetState.SERVING

    @property
    def key(self):
        """The target's address (host, port), which identifies it."""
        return (self.host, self.port)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """The record of a node and of the targets on its VM.

    :param incarnation: increases with each start of the node
    :param revision: increases with each change that the node itself makes
        to its record
    """

    name: str
    incarnation: int
    revision: int
    status: Status
    zone: str
    region: str
    host: str
    port: int
    operator_port: int
    targets: tuple[Target, ...] = ()

    @property
    def sort_key(self):
        """The key that orders records of one name; the highest wins."""
        return (self.incarnation, self.revision, self.status)

    @property
    def address(self):
        """The address at which the node receives frames: (host, port)."""
        return (self.host, self.port)


# Stages of a move, in thousandths of the traffic. A rollback has the highest
# stage, so that it wins every merge: the largest value of its 16-bit field.
STAGE_UNPROVEN = 0
STAGE_DONE = 1000
STAGE_TAKEN_BACK = 65535


@dataclasses.dataclass(frozen=True, slots=True)
class MoveVerdict:
    """How far a move may go; merging keeps the highest stage.

    :param move: the identity of the move
    :param stage: thousandths of the traffic, or `STAGE_TAKEN_BACK`
    :param reason: the evidence, as text for operators
    :param decided_at: seconds since the epoch
    :param decided_by: name of the node that decided
    """

    move: str
    stage: int
    reason: str
    decided_at: float
    decided_by: str

    @property
    def sort_key(self):
        """The key that orders verdicts on one move; the highest wins."""
        return (self.stage, -self.decided_at, self.decided_by)


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """A request that crashed targets and is refused for some time.

    :param fingerprint: hash of method, route and body
    :param until: end of the quarantine, in seconds since the epoch
    """

    fingerprint: int
    route: str
    until: float


# The records that nodes disseminate by gossip and keep in their tables.
# Receivers ignore `Accepted` here: they take it from the frame's header.
StateUpdate = Member | documents.Accepted | MoveVerdict | Quarantine


@dataclasses.dataclass(frozen=True, slots=True)
class Counters:
    """Counters of one move on one route; they never decrease.

    `new_` counts calls of the new version, `old_` calls of the old one.

    :param new_slow: calls that took longer than the old version's 95th
        percentile times the factor that the document allows; `old_slow`
        is counted likewise
    """

    move: str
    route: str
    new_calls: int = 0
    new_errors: int = 0
    new_slow: int = 0
    old_calls: int = 0
    old_errors: int = 0
    old_slow: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks whether a member is alive."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Answers a ping."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class IndirectPing:
    """Asks the receiver to ping another member for the sender.

    :param member: name of the member to ping
    """

    sequence: int
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """Asks for the content of an accepted document."""

    accepted: documents.Accepted


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """The content of an accepted document.

    :param compressed: the canonical content, compressed by zlib
    """

    accepted: documents.Accepted
    compressed: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Sync:
    """Carries the sender's whole table and asks for the receiver's."""


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Carries a whole table in response to `Sync`."""


@dataclasses.dataclass(frozen=True, slots=True)
class FloorNotice:
    """Tells a replica that a node is about to put a generation in force.

    :param name: name of the node
    """

    name: str
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class FloorAck:
    """Confirms that a replica has recorded a `FloorNotice`."""

    name: str
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class FloorQuery:
    """Asks for the lowest generation that a restarted node may use."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class FloorAnswer:
    """Answers `FloorQuery`; generation 0 means that none is recorded."""

    name: str
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Counters of all running moves.

    :param zone: empty if the counters are the sender's alone, else the zone
        whose members' counters they sum
    """

    zone: str
    counters: tuple[Counters, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Tells that a request was refused, and by which code."""

    code: str


Body = (
    None
    | Ping
    | Ack
    | IndirectPing
    | Fetch
    | Content
    | Sync
    | Table
    | FloorNotice
    | FloorAck
    | FloorQuery
    | FloorAnswer
    | Evidence
    | Refused
)


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """A message body with the header fields that every message carries.

    :param stamp: the latest stamp of the sender's hybrid clock
    :param generation_in_force: the generation in force at the sender, 0 for
        none
    :param accepted: the newest accepted generation that the sender knows
    :param table_hash: hash over the sender's table
    :param store_confirmed_ms: time of the store's last response to any
        watcher that the sender knows of, in milliseconds since the epoch
    :param has_verdicts: whether the sender has received the verdicts on
        moves from the fleet or the store since it started
    """

    environment: str
    sender: str
    incarnation: int
    stamp: int = 0
    generation_in_force: int = 0
    accepted: documents.Accepted = documents.Accepted()
    table_hash: int = 0
    store_confirmed_ms: int = 0
    has_verdicts: bool = False
    updates: tuple[StateUpdate, ...] = ()
    body: Body = None
