"""Membership: who is in the fleet, by probing and by what others say.

The scheme is SWIM's: each period a node pings one member; without an answer
others are asked to ping it; then it is suspected, and declared dead unless
it refutes. Announcements of targets travel in the same records.
"""

import dataclasses

from pumicestand import actions
from pumicestand import blackboard as blackboards
from pumicestand import events
from pumicestand import messages

PROBE_PERIOD_S = 1.5
PROBE_TIMEOUT_S = 0.4
INDIRECT_PROBES = 3
SUSPICION_S = 4.0
JOIN_RETRY_S = 1.0
SYNC_TIMEOUT_S = 2.0
FORGET_PERIOD_S = 30.0
REJOIN_PERIOD_S = 8.0
MEET_PERIOD_S = 1.0


@dataclasses.dataclass(slots=True)
class _Probe:
    member: messages.Member
    sequence: int
    sent_at: float
    indirect: bool = False


@dataclasses.dataclass(slots=True)
class _Relay:
    """A ping sent in another member's place."""

    requester: tuple[str, int]
    sequence: int
    sent_at: float


class MembershipController:
    """Joins, probes, suspects and refutes.

    :param rng: a `random.Random`
    :param seeds: addresses to join by, from the settings
    """

    def __init__(self, rng, seeds=()):
        self._rng = rng
        self._seeds = list(seeds)
        self._probe = None
        self._sequence = 0
        self._queue = []
        self._next_probe_at = None
        self._next_join_at = 0.0
        self._next_forget_at = 0.0
        self._next_rejoin_at = 0.0
        self._next_meet_at = 0.0
        self._suspected_at = {}
        self._relays = {}
        self._has_joined = False

    @property
    def has_joined(self):
        """Whether this node has had a table with other members in it."""
        return self._has_joined

    def step(self, board, now):
        """Return the actions that are due.

        :param board: the `blackboard.Blackboard`
        :param now: wall time in seconds
        """
        taken = []
        for fact in board.inbox:
            match fact:
                case blackboards.ReceivedFrame(frame, address):
                    taken += self._meet(board, now, frame, address)
                    taken += self._receive(board, now, frame, address)
                case blackboards.StoreSeeds(addresses):
                    self._add_seeds(board, addresses)
        self._announce_first(board, now)
        self._refute(board, now)
        taken += self._join(board, now)
        taken += self._rejoin(board, now)
        taken += self._probe_next(board, now)
        self._judge_suspects(board, now)
        if now >= self._next_forget_at:
            board.table.remove_expired(now)
            self._next_forget_at = now + FORGET_PERIOD_S
        return taken

    def _add_seeds(self, board, addresses):
        own = (board.identity.host, board.identity.port)
        for address in addresses:
            if address != own and address not in self._seeds:
                self._seeds.append(address)

    def _announce_first(self, board, now):
        if board.table.member(board.identity.name) is None:
            board.spread(board.own_member(), now)

    def _refute(self, board, now):
        """Answer what others hold of this node, if it is wrong."""
        held = board.table.member(board.identity.name)
        if held.incarnation > board.incarnation:
            self._meet_other_incarnation(board, now, held)
            return
        own = board.own_member()
        if held == own:
            return
        board.revision = max(board.revision, held.revision)
        board.announce_self(now)

    def _meet_other_incarnation(self, board, now, held):
        if board.in_force is None:
            # The clock went back between two starts of this node.
            board.incarnation = held.incarnation + 1
            board.announce_self(now)
            return
        if board.is_replaced:
            return
        board.is_replaced = True
        board.emit(
            events.Kind.REPLACED,
            now,
            detail=f'incarnation {held.incarnation} of {held.name} runs, '
            f'this one is {board.incarnation}',
        )

    def _join(self, board, now):
        if self._has_joined and board.peers():
            return []
        if now < self._next_join_at or not self._seeds or board.is_leaving:
            return []
        self._next_join_at = now + JOIN_RETRY_S
        address = self._rng.choice(self._seeds)
        return [self._sync_with(board, f'{address[0]}:{address[1]}', address)]

    def _rejoin(self, board, now):
        """Ping a seed or a member that seems dead, once in a while.

        Two parts of the fleet that know nothing of each other, after regions
        were apart or from the start, would never meet otherwise.
        """
        if now < self._next_rejoin_at or board.is_leaving:
            return []
        wait = REJOIN_PERIOD_S * (0.5 + self._rng.random())
        is_first = self._next_rejoin_at == 0.0
        self._next_rejoin_at = now + wait
        known = {member.address for member in board.table.reachable()}
        dead = [
            member.address
            for member in board.table.members()
            if member.status == messages.Status.DEAD
        ]
        missing = sorted({*self._seeds, *dead} - known)
        if is_first or not missing:
            return []
        ping = board.frame(messages.Ping(0))
        return [actions.SendDatagram(self._rng.choice(missing), ping)]

    def _meet(self, board, now, frame, address):
        """Exchange tables with a sender that isn't known to be alive."""
        held = board.table.member(frame.sender)
        if held is not None and held.status != messages.Status.DEAD:
            return []
        if frame.sender == board.identity.name or now < self._next_meet_at:
            return []
        if isinstance(frame.body, messages.Sync | messages.Table):
            return []
        self._next_meet_at = now + MEET_PERIOD_S
        return [self._sync_with(board, frame.sender, address)]

    def _sync_with(self, board, peer, address):
        frame = board.frame(messages.Sync(), board.table.entries.values())
        return actions.SendRequest(peer, address, frame, SYNC_TIMEOUT_S)

    def _receive(self, board, now, frame, address):
        match frame.body:
            case messages.Ping(sequence):
                answer = board.frame(
                    messages.Ack(sequence), self._correct(board, frame)
                )
                return [actions.SendDatagram(address, answer)]
            case messages.Ack(sequence):
                return self._acknowledge(board, frame, sequence)
            case messages.IndirectPing(sequence, target):
                return self._ping_for(board, now, address, sequence, target)
            case messages.Table():
                self._has_joined |= _has_others(board, frame)
        return []

    def _correct(self, board, frame):
        """Return what the sender should refute, if anything."""
        held = board.table.member(frame.sender)
        if held is None or held.status == messages.Status.ALIVE:
            return ()
        return (held,)

    def _acknowledge(self, board, frame, sequence):
        relay = self._relays.pop(sequence, None)
        if relay is not None:
            answer = board.frame(messages.Ack(relay.sequence))
            return [actions.SendDatagram(relay.requester, answer)]
        if self._probe and self._probe.sequence == sequence:
            self._probe = None
        return []

    def _ping_for(self, board, now, requester, sequence, target):
        member = board.table.member(target)
        if member is None:
            return []
        self._sequence += 1
        self._relays[self._sequence] = _Relay(requester, sequence, now)
        return [
            actions.SendDatagram(
                member.address, board.frame(messages.Ping(self._sequence))
            )
        ]

    def _probe_next(self, board, now):
        if self._next_probe_at is None:
            # A random phase keeps the fleet's probes apart.
            self._next_probe_at = now + self._rng.random() * PROBE_PERIOD_S
        taken = self._probe_indirectly(board, now)
        if now < self._next_probe_at:
            return taken
        self._next_probe_at = now + PROBE_PERIOD_S
        self._end_probe(board, now)
        member = self._next_member(board)
        if member is None or board.is_leaving:
            return taken
        self._sequence += 1
        self._probe = _Probe(member, self._sequence, now)
        ping = board.frame(
            messages.Ping(self._sequence),
            (member,) if member.status != messages.Status.ALIVE else (),
        )
        return taken + [actions.SendDatagram(member.address, ping)]

    def _probe_indirectly(self, board, now):
        probe = self._probe
        if probe is None or probe.indirect:
            return []
        if now - probe.sent_at < PROBE_TIMEOUT_S:
            return []
        probe.indirect = True
        others = [m for m in board.peers() if m.name != probe.member.name]
        helpers = self._rng.sample(others, min(INDIRECT_PROBES, len(others)))
        body = messages.IndirectPing(probe.sequence, probe.member.name)
        return [
            actions.SendDatagram(helper.address, board.frame(body))
            for helper in helpers
        ]

    def _end_probe(self, board, now):
        """Suspect the member whose probe got no answer in its period."""
        for sequence, relay in list(self._relays.items()):
            if now - relay.sent_at > PROBE_PERIOD_S:
                del self._relays[sequence]
        probe, self._probe = self._probe, None
        if probe is None:
            return
        held = board.table.member(probe.member.name)
        if held is None or held.status != messages.Status.ALIVE:
            return
        self._set_status(board, now, held, messages.Status.SUSPECT)

    def _set_status(self, board, now, member, status):
        board.spread(dataclasses.replace(member, status=status), now)
        board.emit(
            events.Kind.MEMBER_STATUS,
            now,
            peer=member.name,
            detail=f'{member.name} is {status.name.lower()}',
        )

    def _next_member(self, board):
        peers = {member.name: member for member in board.peers()}
        while self._queue:
            member = peers.get(self._queue.pop())
            if member is not None:
                return member
        self._queue = sorted(peers)
        self._rng.shuffle(self._queue)
        return peers[self._queue.pop()] if self._queue else None

    def _judge_suspects(self, board, now):
        suspects = {
            member.name: member
            for member in board.peers()
            if member.status == messages.Status.SUSPECT
        }
        for name in list(self._suspected_at):
            if name not in suspects:
                del self._suspected_at[name]
        for name, member in suspects.items():
            since = self._suspected_at.setdefault(name, now)
            if now - since >= SUSPICION_S:
                self._set_status(board, now, member, messages.Status.DEAD)


def _has_others(board, frame):
    """Return whether a table holds another member than this node."""
    return any(
        isinstance(rumour, messages.Member)
        and rumour.name != board.identity.name
        for rumour in frame.rumours
    )
