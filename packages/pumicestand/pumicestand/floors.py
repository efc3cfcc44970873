"""The version floor, below which a restarted node must not go.

A node has no disk. Before it puts a generation in force, it has other nodes
(replicas, in two zones if there are two) record that generation. After a
restart, the node puts no document in force until it knows its floor, the
lowest generation that it may use: from the store, or from the records of
all members that are alive.
"""

import dataclasses

from pumicestand import actions
from pumicestand import blackboard as blackboards
from pumicestand import events
from pumicestand import messages
from pumicestand import ranking

# Members that are asked to record a generation.
MAX_REPLICAS = 4
# Members, and zones that they are in, that must have recorded a generation
# or, while the store is down, have told the floor.
MIN_ACKS = 2
MIN_ZONES = 2
# Time between two notices of a generation to the replicas, between two
# queries to the members, and between two reads of the store.
NOTICE_RETRY_S = 0.3
QUERY_RETRY_S = 0.5
STORE_RETRY_S = 1.0
# Least time between two events that tell that the floor is unknown.
UNKNOWN_EVENT_PERIOD_S = 5.0
# Time after the start during which a node without peers puts no generation in
# force: without peers, no acknowledgement would be required.
NO_PEERS_GRACE_S = 2.0


@dataclasses.dataclass(slots=True)
class _Notice:
    """The notice to the replicas about one generation.

    :param acks: names of the members that have recorded it
    :param sent_at: wall time in seconds of the last notice
    """

    generation: int
    acks: set
    sent_at: float


class FloorController:
    """Finds out this node's floor and records the floors of others.

    :param rng: a `random.Random`
    """

    def __init__(self, rng):
        self._rng = rng
        self._notice = None
        self._answers = {}
        self._next_query_at = 0.0
        self._next_store_read_at = 0.0
        self._next_event_at = 0.0
        self._started_at = None

    def step(self, board, now):
        """Process the inbox and return the messages that are due."""
        if self._started_at is None:
            self._started_at = now
        due = []
        for fact in board.inbox:
            match fact:
                case blackboards.ReceivedFrame(frame, address):
                    due += self._handle_frame(board, now, frame, address)
                case blackboards.StoreDocument(accepted, _):
                    self._apply_store_floor(board, now, accepted)
        if board.floor is None:
            due += self._query_floor(board, now)
        return due + self._notify_replicas(board, now)

    def _handle_frame(self, board, now, frame, address):
        match frame.body:
            case messages.FloorNotice(name, generation):
                recorded = max(board.floors.get(name, 0), generation)
                board.floors[name] = recorded
                body = messages.FloorAck(name, generation)
                return [actions.SendDatagram(address, board.frame(body))]
            case messages.FloorQuery(name):
                recorded = board.floors.get(name, 0)
                body = messages.FloorAnswer(name, recorded)
                return [actions.SendDatagram(address, board.frame(body))]
            case messages.FloorAck(name, generation):
                self._record_ack(board, frame.sender, name, generation)
            case messages.FloorAnswer(name, generation):
                if name == board.identity.name:
                    self._answers[frame.sender] = generation
        return []

    def _apply_store_floor(self, board, now, accepted):
        if board.floor is not None:
            return
        board.floor = accepted.generation
        board.emit(
            events.Kind.FLOOR_LEARNED,
            now,
            step='start',
            peer='store',
            generation=accepted.generation,
        )

    def _query_floor(self, board, now):
        """Ask the store, and the members in case the store is down."""
        due = []
        if now >= self._next_store_read_at:
            self._next_store_read_at = now + STORE_RETRY_S
            due.append(actions.ReadStore(self._rng.random() * 0.3))
        if self._have_all_answered(board):
            self._apply_members_floor(board, now)
            return due
        if now < self._next_query_at:
            return due
        self._next_query_at = now + QUERY_RETRY_S
        query = board.frame(messages.FloorQuery(board.identity.name))
        for member in board.peers():
            if member.name not in self._answers:
                due.append(actions.SendDatagram(member.address, query))
        self._emit_unknown(board, now)
        return due

    def _have_all_answered(self, board):
        """Return whether all peers have answered, and in enough zones.

        The members' answers count only while the store is down, since the
        store's answer is the more reliable one.
        """
        if board.is_store_up is not False:
            return False
        peers = board.peers()
        if len(peers) < MIN_ACKS:
            return False
        if any(member.name not in self._answers for member in peers):
            return False
        return len({member.zone for member in peers}) >= MIN_ZONES

    def _apply_members_floor(self, board, now):
        board.floor = max(self._answers.values())
        board.emit(
            events.Kind.FLOOR_LEARNED,
            now,
            step='start',
            peer=f'{len(self._answers)} members',
            generation=board.floor,
        )

    def _emit_unknown(self, board, now):
        if now < self._next_event_at:
            return
        self._next_event_at = now + UNKNOWN_EVENT_PERIOD_S
        peers = board.peers()
        answered = sum(m.name in self._answers for m in peers)
        zones = len({member.zone for member in peers})
        board.emit(
            events.Kind.FLOOR_UNKNOWN,
            now,
            step='start',
            detail=f'{answered} of {len(peers)} members answered in {zones} '
            f'zones, {MIN_ACKS} members in {MIN_ZONES} zones needed',
        )

    def _notify_replicas(self, board, now):
        """Have replicas record the candidate's generation before its use."""
        candidate = board.candidate
        if candidate is None or board.floor is None:
            return []
        generation = candidate.accepted.generation
        if self._notice is None or self._notice.generation != generation:
            self._notice = _Notice(generation, set(), -NOTICE_RETRY_S)
        if has_enough_acks(board, self._notice.acks):
            return []
        if now - self._notice.sent_at < NOTICE_RETRY_S:
            return []
        self._notice.sent_at = now
        body = messages.FloorNotice(board.identity.name, generation)
        return [
            actions.SendDatagram(member.address, board.frame(body))
            for member in select_replicas(board)
            if member.name not in self._notice.acks
        ]

    def _record_ack(self, board, sender, name, generation):
        notice = self._notice
        if notice is None or name != board.identity.name:
            return
        if generation == notice.generation:
            notice.acks.add(sender)

    def is_recorded(self, board, generation, now):
        """Return whether enough replicas have recorded a generation.

        A node that has no peers after its start waits for some for
        `NO_PEERS_GRACE_S`.
        """
        notice = self._notice
        running_s = now - self._started_at
        if not board.peers() and running_s < NO_PEERS_GRACE_S:
            return False
        if notice is None or notice.generation != generation:
            return False
        return has_enough_acks(board, notice.acks)


def select_replicas(board):
    """Return the members that record this node's floor.

    The first ones are one member of each zone, other zones before the node's
    own, because a zone may fail as a whole.
    """
    by_name = {member.name: member for member in board.peers()}
    ranked = ranking.rank(f'floor/{board.identity.name}', by_name)
    own_zone = board.identity.zone
    one_per_zone, others = [], []
    zones = set()
    ranked.sort(key=lambda name: by_name[name].zone == own_zone)
    for name in ranked:
        member = by_name[name]
        if member.zone in zones:
            others.append(member)
            continue
        zones.add(member.zone)
        one_per_zone.append(member)
    return (one_per_zone + others)[:MAX_REPLICAS]


def has_enough_acks(board, acks):
    """Return whether enough members and zones have acknowledged a notice.

    In a fleet of fewer members or zones than required, all of them are
    enough. A node of such a fleet learns its floor only from the store, which
    knows whether a newer generation has been accepted.

    :param acks: names of members
    """
    peers = {member.name: member for member in board.peers()}
    zones = {member.zone for member in peers.values()}
    acked_members = [peers[name] for name in acks if name in peers]
    if len(acked_members) < min(MIN_ACKS, len(peers)):
        return False
    acked_zones = {member.zone for member in acked_members}
    return len(acked_zones) >= min(MIN_ZONES, len(zones))
