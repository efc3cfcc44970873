"""The blackboard: the state of a node that its controllers share.

The I/O code puts facts into the inbox. Controllers read them, change the
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
    """Identity and addresses of this node, from its settings."""

    environment: str
    name: str
    zone: str
    region: str
    host: str
    port: int
    operator_port: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedFrame:
    """A frame was received.

    :param address: (host, port) of the sender
    """

    frame: messages.Frame
    address: tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreDocument:
    """The store returned the accepted document.

    :param accepted: has generation 0 if the store has no document
    :param content: the document's encoded content
    """

    accepted: documents.Accepted
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """A call to the store failed.

    :param step: the call, such as "read"
    """

    step: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSeeds:
    """The store returned the (host, port) of nodes through which to join."""

    addresses: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreVerdicts:
    """The store returned the verdicts on moves."""

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
class Candidate:
    """A complete and validated document that may come into force.

    :param ready_at: wall time in seconds at which the content was complete
    """

    accepted: documents.Accepted
    document: documents.Document
    ready_at: float


@dataclasses.dataclass(slots=True)
class LocalTarget:
    """A target that announces itself to this node.

    :param expires_at: wall time in seconds at which the announcement expires
    """

    target: messages.Target
    expires_at: float


@dataclasses.dataclass(slots=True)
class Blackboard:
    """The state of one node.

    :param floor: the lowest generation that this node may put into force,
        None until it is known
    :param floors: node name to the generation that this node stores as a
        replica of that node's floor
    :param generations_by_member: member name to the generation in force
        that its last frame stated
    :param store_confirmed_ms: latest time, in milliseconds since the epoch,
        at which the store answered a watcher, as far as this node knows
    :param is_store_up: None until the first call to the store has ended
    :param local_targets: the targets that announce themselves to this node,
        by their keys
    :param counters: (move identity, route name) to this node's own counters
    :param held_moves: move identity to the wall time in seconds until which
        this node sends no calls to the new version
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
    pending_updates: list[messages.StateUpdate] = dataclasses.field(
        default_factory=list
    )
    accepted: documents.Accepted = documents.Accepted()
    content: bytes = b''
    candidate: Candidate | None = None
    in_force: documents.InForce | None = None
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
        """The generation of the document in force, 0 for none."""
        return self.in_force.accepted.generation if self.in_force else 0

    def peers(self):
        """Return the other members that are alive or suspected."""
        own_name = self.identity.name
        return [m for m in self.table.reachable() if m.name != own_name]

    def emit(self, kind, now, **fields):
        """Add an event to this node's ring and return it.

        :param kind: an `events.Kind`
        :param now: wall time in seconds
        :param fields: further fields of `events.Event`
        """
        stamp = self.clock.tick(now)
        event = events.Event(stamp, self.identity.name, kind, **fields)
        self.ring.append(event)
        signals.event_emitted.send(self, event=event)
        return event

    def disseminate(self, update, now):
        """Merge a state update into the table; queue it for others if new.

        :return: whether it was new
        """
        if not self.table.merge(update, now):
            return False
        self.pending_updates.append(update)
        return True

    def own_member(self):
        """Return the current `messages.Member` of this node."""
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
        """Disseminate this node's own record with a new revision."""
        self.revision += 1
        self.disseminate(self.own_member(), now)

    def frame(self, body=None, updates=()):
        """Return a frame with this node's current state.

        :param body: one of `messages.Body`, or None
        :param updates: iterable of the state updates to send along
        """
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
            updates=tuple(updates),
            body=body,
        )
