"""The version floor of a process that has no disk.

Before it acts on a generation, a node has other nodes record that it will
(keepers, in two zones where there are two). After a restart it acts only
when the store has answered, or when all members that are alive have said
what they recorded for its name.
"""

import dataclasses

from pumicestand import actions
from pumicestand import blackboard as blackboards
from pumicestand import events
from pumicestand import messages
from pumicestand import ranking

KEEPERS = 4
ACKS_NEEDED = 2
ZONES_NEEDED = 2
NOTICE_RETRY_S = 0.3
QUERY_RETRY_S = 0.5
STORE_RETRY_S = 1.0
UNKNOWN_EVENT_PERIOD_S = 5.0
ALONE_GRACE_S = 2.0


@dataclasses.dataclass(slots=True)
class _Notice:
    generation: int
    acks: set
    sent_at: float


class FloorController:
    """Learns this node's floor, keeps others' floors.

    :param rng: a `random.Random`
    """

    def __init__(self, rng):
        self._rng = rng
        self._notice = None
        self._answers = {}
        self._next_query_at = 0.0
        self._next_store_at = 0.0
        self._next_event_at = 0.0
        self._started_at = None

    def step(self, board, now):
        """Return notices, answers and queries that are due."""
        if self._started_at is None:
            self._started_at = now
        taken = []
        for fact in board.inbox:
            match fact:
                case blackboards.ReceivedFrame(frame, address):
                    taken += self._receive(board, now, frame, address)
                case blackboards.StoreDocument(accepted, _):
                    self._learn_from_store(board, now, accepted)
        if board.floor is None:
            taken += self._query(board, now)
        return taken + self._notify(board, now)

    def _receive(self, board, now, frame, address):
        match frame.body:
            case messages.FloorNotice(name, generation):
                kept = max(board.floors.get(name, 0), generation)
                board.floors[name] = kept
                body = messages.FloorAck(name, generation)
                return [actions.SendDatagram(address, board.frame(body))]
            case messages.FloorQuery(name):
                known = board.floors.get(name, 0)
                body = messages.FloorAnswer(name, known)
                return [actions.SendDatagram(address, board.frame(body))]
            case messages.FloorAck(name, generation):
                self._count_ack(board, frame.sender, name, generation)
            case messages.FloorAnswer(name, generation):
                if name == board.identity.name:
                    self._answers[frame.sender] = generation
        return []

    def _learn_from_store(self, board, now, accepted):
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

    def _query(self, board, now):
        """Ask the store, and the members in case it stays silent."""
        taken = []
        if now >= self._next_store_at:
            self._next_store_at = now + STORE_RETRY_S
            taken.append(actions.ReadStore(self._rng.random() * 0.3))
        if self._answered_by_all(board):
            self._learn_from_members(board, now)
            return taken
        if now < self._next_query_at:
            return taken
        self._next_query_at = now + QUERY_RETRY_S
        query = board.frame(messages.FloorQuery(board.identity.name))
        for member in board.peers():
            if member.name not in self._answers:
                taken.append(actions.SendDatagram(member.address, query))
        self._report_unknown(board, now)
        return taken

    def _answered_by_all(self, board):
        """Whether all members alive have answered, in enough zones.

        The store must have failed first: while it may answer, its word is
        the better one.
        """
        if board.is_store_up is not False:
            return False
        peers = board.peers()
        if len(peers) < ACKS_NEEDED:
            return False
        if any(member.name not in self._answers for member in peers):
            return False
        return len({member.zone for member in peers}) >= ZONES_NEEDED

    def _learn_from_members(self, board, now):
        board.floor = max(self._answers.values())
        board.emit(
            events.Kind.FLOOR_LEARNED,
            now,
            step='start',
            peer=f'{len(self._answers)} members',
            generation=board.floor,
        )

    def _report_unknown(self, board, now):
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
            f'zones, {ACKS_NEEDED} members in {ZONES_NEEDED} zones needed',
        )

    def _notify(self, board, now):
        """Have the candidate's generation recorded before it is used."""
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

    def _count_ack(self, board, sender, name, generation):
        notice = self._notice
        if notice is None or name != board.identity.name:
            return
        if generation == notice.generation:
            notice.acks.add(sender)

    def is_recorded(self, board, generation, now):
        """Return whether enough keepers recorded a generation.

        A node that has met no member yet waits a little for one.
        """
        notice = self._notice
        alone_s = now - self._started_at
        if not board.peers() and alone_s < ALONE_GRACE_S:
            return False
        if notice is None or notice.generation != generation:
            return False
        return has_enough_acks(board, notice.acks)


def select_replicas(board):
    """Return the members that keep this node's floor, zones in turn."""
    by_name = {member.name: member for member in board.peers()}
    ranked = ranking.rank(f'floor/{board.identity.name}', by_name)
    own_zone = board.identity.zone
    first_of_zone, others = [], []
    zones = set()
    # Another zone than the own first: a zone is what fails together.
    ranked.sort(key=lambda name: by_name[name].zone == own_zone)
    for name in ranked:
        member = by_name[name]
        if member.zone in zones:
            others.append(member)
            continue
        zones.add(member.zone)
        first_of_zone.append(member)
    return (first_of_zone + others)[:KEEPERS]


def has_enough_acks(board, acks):
    """Return whether acknowledgements are enough for this fleet.

    A fleet of fewer members or zones than needed makes do with all of
    them, as long as the store has said that nothing newer is accepted.
    """
    peers = {member.name: member for member in board.peers()}
    zones = {member.zone for member in peers.values()}
    acked = [peers[name] for name in acks if name in peers]
    if len(acked) < min(ACKS_NEEDED, len(peers)):
        return False
    acked_zones = {member.zone for member in acked}
    return len(acked_zones) >= min(ZONES_NEEDED, len(zones))
