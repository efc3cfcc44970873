"""The blackboard: all that a node knows, read and written by controllers.

Shells put facts into the inbox; controllers read them, change the
blackboard and return actions. Nothing here does I/O.
"""

import dataclasses

from pumicestand import clocks
from pumicestand import documents
from pumicestand import events
from pumicestand import messages
from pumicestand import signals
from pumicestand import tables


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who this node is, from its settings."""

    environment: str
    name: str
    zone: str
    region: str
    host: str
    port: int
    operator_port: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedFrame:
    """A frame came from an address: (host, port)."""

    frame: messages.Frame
    address: tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreDocument:
    """The store answered: what it holds as accepted, and the content.

    :param accepted: generation 0 if the store holds no document
    """

    accepted: documents.Accepted
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """A call to the store failed."""

    step: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSeeds:
    """The addresses that the store holds of nodes to join by."""

    addresses: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreVerdicts:
    """The verdicts on moves that the store holds."""

    verdicts: tuple[messages.MoveVerdict, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFailed:
    """A stream request to a peer failed.

    :param body: the request that failed
    """

    peer: str
    address: tuple[str, int]
    body: messages.Body
    detail: str


Fact = (
    ReceivedFrame
    | StoreDocument
    | StoreFailed
    | StoreSeeds
    | StoreVerdicts
    | RequestFailed
)


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """The document that this node acts on.

    :param since: wall time in seconds
    """

    accepted: documents.Accepted
    document: documents.Document
    since: float


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A whole, checked document that may come into force.

    :param ready_at: wall time in seconds at which its content was here
    """

    accepted: documents.Accepted
    document: documents.Document
    ready_at: float


@dataclasses.dataclass(slots=True)
class LocalTarget:
    """A target beside this node and until when its announcement holds."""

    target: messages.Target
    expires_at: float


@dataclasses.dataclass(slots=True)
class Blackboard:
    """All that one node knows.

    :param floor: the lowest generation that this node may put into force,
        None until it is known
    :param floors: node name to the generation that this node stores as a
        replica of that node's floor
    :param generations_by_member: member name to the generation in force
        that its last frame stated
    :param store_confirmed_ms: latest time, in milliseconds since the epoch,
        at which the store answered a watcher, as far as this node knows
    :param has_verdicts: whether the verdicts on moves, from the fleet or
        from the store, have reached this node since its start
    """

    identity: Identity
    incarnation: int
    revision: int = 1
    clock: clocks.HybridClock = dataclasses.field(
        default_factory=clocks.HybridClock
    )
    ring: events.Ring = dataclasses.field(default_factory=events.Ring)
    inbox: list[Fact] = dataclasses.field(default_factory=list)
    table: tables.Table = dataclasses.field(default_factory=tables.Table)
    pending_rumours: list[messages.Rumour] = dataclasses.field(
        default_factory=list
    )
    accepted: documents.Accepted = documents.Accepted()
    content: bytes = b''
    candidate: Candidate | None = None
    in_force: InForce | None = None
    floor: int | None = None
    floors: dict[str, int] = dataclasses.field(default_factory=dict)
    generations_by_member: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    store_confirmed_ms: int = 0
    is_store_up: bool | None = None
    is_watching: bool = False
    local_targets: dict[tuple[str, int], LocalTarget] = dataclasses.field(
        default_factory=dict
    )
    counters: dict[tuple[str, str], messages.Counters] = dataclasses.field(
        default_factory=dict
    )
    shares: dict[str, float] = dataclasses.field(default_factory=dict)
    held_moves: dict[str, float] = dataclasses.field(default_factory=dict)
    has_verdicts: bool = False
    is_leaving: bool = False
    is_replaced: bool = False

    @property
    def generation_in_force(self):
        """The generation that this node acts on, 0 for none."""
        return self.in_force.accepted.generation if self.in_force else 0

    def peers(self):
        """Return the other members that are alive or only suspected."""
        own = self.identity.name
        return [m for m in self.table.reachable() if m.name != own]

    def emit(self, kind, now, **fields):
        """Add an event to this node's ring and return it."""
        stamp = self.clock.tick(now)
        event = events.Event(stamp, self.identity.name, kind, **fields)
        self.ring.append(event)
        signals.event_emitted.send(self, event=event)
        return event

    def spread(self, rumour, now):
        """Merge a rumour; if it is news, have it pushed to others."""
        if not self.table.merge(rumour, now):
            return False
        self.pending_rumours.append(rumour)
        return True

    def own_member(self):
        """Return this node's own record, as it stands now."""
        status = messages.Status.ALIVE
        if self.is_leaving:
            status = messages.Status.LEFT
        identity = self.identity
        return messages.Member(
            name=identity.name,
            incarnation=self.incarnation,
            revision=self.revision,
            status=status,
            zone=identity.zone,
            region=identity.region,
            host=identity.host,
            port=identity.port,
            operator_port=identity.operator_port,
            targets=tuple(
                local.target for local in self.local_targets.values()
            ),
        )

    def announce_self(self, now):
        """Give this node's record a new revision and spread it."""
        self.revision += 1
        self.spread(self.own_member(), now)

    def frame(self, body=None, rumours=()):
        """Return a frame that carries what every frame carries."""
        return messages.Frame(
            environment=self.identity.environment,
            sender=self.identity.name,
            incarnation=self.incarnation,
            stamp=self.clock.last_stamp,
            generation_in_force=self.generation_in_force,
            accepted=self.accepted,
            table_hash=self.table.hash,
            store_confirmed_ms=self.store_confirmed_ms,
            has_verdicts=self.has_verdicts,
            rumours=tuple(rumours),
            body=body,
        )
