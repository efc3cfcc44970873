"""The messages that nodes exchange, as data classes.

`wire` turns them into frames and back. Controllers see nothing else.
"""

import dataclasses
import enum

from pumicestand import documents


class Status(enum.IntEnum):
    """What the fleet holds of a member; a higher one wins a tie."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class TargetState(enum.IntEnum):
    """What a target announces of itself."""

    SERVING = 0
    DRAINING = 1
    GONE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target, as it announced itself to the node beside it.

    :param resources: the resources that it has
    :param slots: calls that it runs at once
    :param connections: connections that it takes
    """

    service: str
    version: str
    host: str
    port: int
    resources: tuple[str, ...] = ()
    slots: int = 20
    connections: int = 100
    state: TargetState = TargetState.SERVING

    @property
    def key(self):
        """The address, which no two targets share."""
        return (self.host, self.port)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A node and the targets beside it.

    :param incarnation: rises with each start of the node
    :param revision: rises with each change that the node makes itself
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
        """What decides between two records of one name."""
        return (self.incarnation, self.revision, self.status)

    @property
    def address(self):
        """Where the node takes frames: (host, port)."""
        return (self.host, self.port)


STAGE_UNPROVEN = 0
STAGE_DONE = 1000
STAGE_TAKEN_BACK = 65535


@dataclasses.dataclass(frozen=True, slots=True)
class MoveVerdict:
    """How far a move may go; merged by taking the highest stage.

    :param move: the identity of the move
    :param stage: thousandths of the traffic, or `STAGE_TAKEN_BACK`
    :param reason: the evidence, as text for operators
    :param decided_at: seconds since the epoch
    """

    move: str
    stage: int
    reason: str
    decided_at: float
    decided_by: str

    @property
    def sort_key(self):
        """What decides between two verdicts on one move."""
        return (self.stage, -self.decided_at, self.decided_by)


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """A request that crashed targets, refused until a time.

    :param fingerprint: hash of method, route and body
    :param until: seconds since the epoch
    """

    fingerprint: int
    route: str
    until: float


Rumour = Member | documents.Accepted | MoveVerdict | Quarantine


@dataclasses.dataclass(frozen=True, slots=True)
class Counters:
    """What one process counted of a move on one route; only grows.

    :param new_slow: calls slower than the old version's slowest twentieth
        times the factor that the document allows
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
    """Asks another member to ping a target in one's place."""

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
    """Carries a whole table and asks for the peer's."""


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Carries a whole table in answer to `Sync`."""


@dataclasses.dataclass(frozen=True, slots=True)
class FloorNotice:
    """Tells a keeper that a node is about to act on a generation."""

    name: str
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class FloorAck:
    """Confirms that a keeper has recorded a notice."""

    name: str
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class FloorQuery:
    """Asks below which generation a restarted node must not go."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class FloorAnswer:
    """Answers `FloorQuery`; generation 0 means that nothing is known."""

    name: str
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Counters for all moves that run.

    :param zone: empty for the counters of the sender alone, else the zone
        over whose members they are summed
    """

    zone: str
    counters: tuple[Counters, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Says that a request was refused, with the code."""

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
    """One message with what every message carries.

    :param stamp: the sender's hybrid clock
    :param generation_in_force: the generation that the sender acts on
    :param accepted: the newest accepted generation the sender knows
    :param table_hash: hash over the sender's table
    :param store_confirmed_ms: milliseconds since the epoch at which a
        watcher last had an answer from the store, as far as the sender heard
    :param has_verdicts: whether the sender's table holds the verdicts that
        the fleet or the store knows
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
    rumours: tuple[Rumour, ...] = ()
    body: Body = None
