"""Dissemination of state updates by gossip, with anti-entropy.

A node that learns a new update pushes it once to a few random members.
Every frame carries the hash of the sender's table. If the hashes keep
differing, the node has missed updates and exchanges whole tables with the
sender.
"""

from pumicestand import actions
from pumicestand import blackboard as blackboards
from pumicestand import documents
from pumicestand import events
from pumicestand import messages

# Members to which a node pushes each new update.
PUSH_FANOUT = 6
# Updates that arrive within this time are pushed together, to save datagrams.
PUSH_DELAY_S = 0.02
# Updates in a datagram, where each target of a member counts as another one,
# so that the frame stays below `wire.MAX_DATAGRAM_BYTES`.
MAX_DATAGRAM_WEIGHT = 4
# Frames in a row whose table hash differs from the node's own. Hashes also
# differ for a moment while a new update is on its way.
MISMATCHES_BEFORE_SYNC = 3
# Time without new updates before a sync; until then, pushes that are still
# arriving may make the tables equal.
SYNC_QUIET_PERIOD_S = 1.0
# Least time between two syncs that differing hashes cause. Up to as much again
# is added at random, so that the nodes do not sync all at once.
MIN_SYNC_INTERVAL_S = 5.0
SYNC_TIMEOUT_S = 2.0


class GossipController:
    """Merges the updates that frames carry and pushes new ones on.

    :param rng: a `random.Random`
    """

    def __init__(self, rng):
        self._rng = rng
        self._push_at = None
        self._last_update_at = 0.0
        self._mismatches = 0
        self._next_sync_at = 0.0

    def step(self, board, now):
        """Process the inbox and return pushes and syncs that are due."""
        due = []
        for fact in board.inbox:
            match fact:
                case blackboards.ReceivedFrame():
                    due += self._handle_frame(board, now, fact)
                case blackboards.StoreVerdicts(verdicts):
                    board.has_verdicts = True
                    for verdict in verdicts:
                        board.disseminate(verdict, now)
        return due + self._push(board, now)

    def _handle_frame(self, board, now, fact):
        frame = fact.frame
        board.clock.observe(frame.stamp, now)
        board.store_confirmed_ms = max(
            board.store_confirmed_ms,
            min(frame.store_confirmed_ms, int(now * 1000) + 1000),
        )
        self._record_generation(board, frame)
        is_sync = isinstance(frame.body, messages.Sync | messages.Table)
        for update in frame.updates:
            self._merge(board, now, update, is_sync, frame.sender)
        if isinstance(frame.body, messages.Table):
            board.emit(
                events.Kind.SYNCED,
                now,
                peer=frame.sender,
                detail=f'{len(frame.updates)} rumours',
            )
            self._mismatches = 0
            board.has_verdicts |= frame.has_verdicts
        if is_sync:
            return []
        return self._sync_if_different(board, now, frame, fact.address)

    def _record_generation(self, board, frame):
        """Record the sender's generation, for its floor too."""
        board.generations_by_member[frame.sender] = frame.generation_in_force
        # A restarted sender reports 0; the generation that it had in force
        # before still counts.
        known = board.floors.get(frame.sender, 0)
        board.floors[frame.sender] = max(known, frame.generation_in_force)

    def _merge(self, board, now, update, is_sync, sender):
        """Merge an update and push it on if it is new to the fleet.

        :param is_sync: whether the update came in a whole table
        """
        if isinstance(update, documents.Accepted):
            return
        if isinstance(update, messages.Member):
            self._emit_if_joined(board, now, update)
        # The fleet already knows the members in a whole table, except for
        # the sender. Pushing them all would cost traffic quadratic in the
        # size of the fleet.
        is_member = isinstance(update, messages.Member)
        if is_sync and is_member and update.name != sender:
            board.table.merge(update, now)
            return
        if board.disseminate(update, now):
            self._last_update_at = now

    def _emit_if_joined(self, board, now, member):
        known = board.table.member(member.name)
        if member.name == board.identity.name:
            return
        if known is not None and known.incarnation >= member.incarnation:
            return
        if member.status == messages.Status.ALIVE:
            board.emit(
                events.Kind.JOINED,
                now,
                peer=member.name,
                detail=f'{member.name} in {member.zone}',
            )

    def _sync_if_different(self, board, now, frame, address):
        """Exchange tables with the sender if the hashes keep differing."""
        if frame.table_hash == board.table.hash:
            self._mismatches = 0
            return []
        # A sender that is missing from the table counts twice.
        if board.table.member(frame.sender) is None:
            self._mismatches += 1
        self._mismatches += 1
        if self._mismatches < MISMATCHES_BEFORE_SYNC:
            return []
        is_quiet = now - self._last_update_at >= SYNC_QUIET_PERIOD_S
        if not is_quiet or now < self._next_sync_at:
            return []
        member = board.table.member(frame.sender)
        if member is not None:
            address = member.address
        jitter = self._rng.random() * MIN_SYNC_INTERVAL_S
        self._next_sync_at = now + MIN_SYNC_INTERVAL_S + jitter
        self._mismatches = 0
        body = messages.Sync()
        request = board.frame(body, board.table.entries.values())
        return [
            actions.SendRequest(frame.sender, address, request, SYNC_TIMEOUT_S)
        ]

    def _push(self, board, now):
        if not board.pending_updates:
            return []
        if self._push_at is None:
            self._push_at = now + PUSH_DELAY_S
        if now < self._push_at:
            return []
        self._push_at = None
        updates, board.pending_updates = _current_updates(board), []
        due = []
        for batch in _split_into_batches(updates):
            for member in self._random_peers(board):
                frame = board.frame(None, batch)
                due.append(actions.SendDatagram(member.address, frame))
        return due

    def _random_peers(self, board):
        peers = board.peers()
        return self._rng.sample(peers, min(PUSH_FANOUT, len(peers)))


def _current_updates(board):
    """Return the pending updates that no newer update has replaced."""
    current_ids = {id(entry) for entry in board.table.entries.values()}
    return [
        update for update in board.pending_updates if id(update) in current_ids
    ]


def _datagram_weight(update):
    """Return the weight of an update: 1, and 1 for each of its targets."""
    if isinstance(update, messages.Member):
        return 1 + len(update.targets)
    return 1


def _split_into_batches(updates):
    """Yield lists of updates, each for one datagram.

    An update above the maximum weight is alone in its list.
    """
    batch = []
    free_weight = MAX_DATAGRAM_WEIGHT
    for update in updates:
        weight = _datagram_weight(update)
        if batch and weight > free_weight:
            yield batch
            batch, free_weight = [], MAX_DATAGRAM_WEIGHT
        batch.append(update)
        free_weight -= weight
    if batch:
        yield batch
