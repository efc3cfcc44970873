"""Spreads rumours: pushes news eagerly, repairs the rest by comparing.

Whoever hears news pushes it once to a few random members. What a node
missed shows in the table hash that every frame carries; a hash that stays
different leads to an exchange of whole tables.
"""

from pumicestand import actions
from pumicestand import blackboard as blackboards
from pumicestand import documents
from pumicestand import events
from pumicestand import messages

PUSH_FANOUT = 6
PUSH_DELAY_S = 0.02
MAX_RUMOURS_PER_FRAME = 4
MISMATCHES_BEFORE_SYNC = 3
SYNC_QUIET_S = 1.0
SYNC_PERIOD_S = 5.0
SYNC_TIMEOUT_S = 2.0


class RumourController:
    """Merges what frames carry and passes news on.

    :param rng: a `random.Random`
    """

    def __init__(self, rng):
        self._rng = rng
        self._push_at = None
        self._last_news_at = 0.0
        self._mismatches = 0
        self._next_sync_at = 0.0

    def step(self, board, now):
        """Return pushes and exchanges that are due."""
        taken = []
        for fact in board.inbox:
            match fact:
                case blackboards.ReceivedFrame():
                    taken += self._receive(board, now, fact)
                case blackboards.StoreVerdicts(verdicts):
                    board.has_verdicts = True
                    for verdict in verdicts:
                        board.spread(verdict, now)
        return taken + self._push(board, now)

    def _receive(self, board, now, fact):
        frame = fact.frame
        board.clock.observe(frame.stamp, now)
        board.store_confirmed_ms = max(
            board.store_confirmed_ms,
            min(frame.store_confirmed_ms, int(now * 1000) + 1000),
        )
        self._note_acting(board, frame)
        is_exchange = isinstance(frame.body, messages.Sync | messages.Table)
        for rumour in frame.rumours:
            self._merge(board, now, rumour, is_exchange, frame.sender)
        if isinstance(frame.body, messages.Table):
            board.emit(
                events.Kind.SYNCED,
                now,
                peer=frame.sender,
                detail=f'{len(frame.rumours)} rumours',
            )
            self._mismatches = 0
            board.has_verdicts |= frame.has_verdicts
        if is_exchange:
            return []
        return self._compare(board, now, frame, fact.address)

    def _note_acting(self, board, frame):
        board.generations_by_member[frame.sender] = frame.generation_in_force
        # A restarted sender says 0; what it acted on before still counts.
        kept = board.floors.get(frame.sender, 0)
        board.floors[frame.sender] = max(kept, frame.generation_in_force)

    def _merge(self, board, now, rumour, is_exchange, sender):
        if isinstance(rumour, documents.Accepted):
            return
        if isinstance(rumour, messages.Member):
            self._note_joined(board, now, rumour)
        # Members out of a whole table are old news to the fleet, but for
        # the sender; pushing them would cost the square of its size.
        is_member = isinstance(rumour, messages.Member)
        if is_exchange and is_member and rumour.name != sender:
            board.table.merge(rumour, now)
            return
        if board.spread(rumour, now):
            self._last_news_at = now

    def _note_joined(self, board, now, member):
        held = board.table.member(member.name)
        if member.name == board.identity.name:
            return
        if held is not None and held.incarnation >= member.incarnation:
            return
        if member.status == messages.Status.ALIVE:
            board.emit(
                events.Kind.JOINED,
                now,
                peer=member.name,
                detail=f'{member.name} in {member.zone}',
            )

    def _compare(self, board, now, frame, address):
        if frame.table_hash == board.table.hash:
            self._mismatches = 0
            return []
        if board.table.member(frame.sender) is None:
            self._mismatches += 1
        self._mismatches += 1
        if self._mismatches < MISMATCHES_BEFORE_SYNC:
            return []
        quiet = now - self._last_news_at >= SYNC_QUIET_S
        if not quiet or now < self._next_sync_at:
            return []
        member = board.table.member(frame.sender)
        if member is not None:
            address = member.address
        jitter = self._rng.random() * SYNC_PERIOD_S
        self._next_sync_at = now + SYNC_PERIOD_S + jitter
        self._mismatches = 0
        body = messages.Sync()
        request = board.frame(body, board.table.entries.values())
        return [
            actions.SendRequest(frame.sender, address, request, SYNC_TIMEOUT_S)
        ]

    def _push(self, board, now):
        if not board.pending_rumours:
            return []
        if self._push_at is None:
            self._push_at = now + PUSH_DELAY_S
        if now < self._push_at:
            return []
        self._push_at = None
        news, board.pending_rumours = _newest(board), []
        taken = []
        for batch in _batches(news):
            for member in self._choose(board):
                frame = board.frame(None, batch)
                taken.append(actions.SendDatagram(member.address, frame))
        return taken

    def _choose(self, board):
        peers = board.peers()
        return self._rng.sample(peers, min(PUSH_FANOUT, len(peers)))


def _newest(board):
    """Return the news without what newer news has replaced."""
    held = {id(entry) for entry in board.table.entries.values()}
    return [rumour for rumour in board.pending_rumours if id(rumour) in held]


def _weight(rumour):
    """Return the room that a rumour takes in a datagram."""
    if isinstance(rumour, messages.Member):
        return 1 + len(rumour.targets)
    return 1


def _batches(rumours):
    """Split rumours so that each batch fits a datagram."""
    batch = []
    room = MAX_RUMOURS_PER_FRAME
    for rumour in rumours:
        weight = _weight(rumour)
        if batch and weight > room:
            yield batch
            batch, room = [], MAX_RUMOURS_PER_FRAME
        batch.append(rumour)
        room -= weight
    if batch:
        yield batch
