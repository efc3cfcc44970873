"""Membership of the fleet and failure detection, by the SWIM protocol.

In each period a node pings one member. If the member does not respond, the
node asks other members to ping it. A member that does not respond to these
either becomes suspected, and is declared dead unless it refutes the
suspicion in time. Members' records also carry the announcements of their
targets.
"""

import dataclasses

from pumicestand import actions
from pumicestand import blackboard as blackboards
from pumicestand import events
from pumicestand import messages

# One member is probed in each period.
PROBE_PERIOD_S = 1.5
# Time without an acknowledgement after which other members are asked to ping
# the probed member.
PROBE_TIMEOUT_S = 0.4
# Members that are asked to ping a probed member.
INDIRECT_PROBES = 3
# Time after which a member that is still suspected is declared dead.
SUSPICION_TIMEOUT_S = 4.0
# Least time between two attempts to join.
JOIN_RETRY_S = 1.0
# Time limit of an exchange of tables.
SYNC_TIMEOUT_S = 2.0
# Period in which expired entries are removed from the table.
CLEANUP_PERIOD_S = 30.0
# Mean time between two pings of an unreachable seed or a dead member.
REJOIN_PERIOD_S = 8.0
# Least time between two exchanges of tables with unknown senders.
UNKNOWN_SYNC_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True)
class _Probe:
    """The probe of a member in the current period.

    :param sent_at: wall time in seconds
    :param is_indirect: whether other members have been asked to ping it
    """

    member: messages.Member
    sequence: int
    sent_at: float
    is_indirect: bool = False


@dataclasses.dataclass(slots=True)
class _RelayedPing:
    """A ping sent on behalf of another member.

    :param requester: address of that member
    :param sequence: sequence number of the requester's own probe
    :param sent_at: wall time in seconds
    """

    requester: tuple[str, int]
    sequence: int
    sent_at: float


class MembershipController:
    """Joins the fleet, probes members and refutes false suspicions.

    :param rng: a `random.Random`
    :param seeds: addresses (host, port) through which to join, from the
        settings
    """

    def __init__(self, rng, seeds=()):
        self._rng = rng
        self._seeds = list(seeds)
        self._probe = None
        self._sequence = 0
        self._probe_queue = []
        self._next_probe_at = None
        self._next_join_at = 0.0
        self._next_cleanup_at = 0.0
        self._next_rejoin_at = 0.0
        self._next_unknown_sync_at = 0.0
        self._suspected_at = {}
        self._relayed_pings = {}
        self._has_joined = False

    @property
    def has_joined(self):
        """Whether this node has received a table with other members."""
        return self._has_joined

    def step(self, board, now):
        """Process the inbox and return the actions that are due.

        :param board: the `blackboard.Blackboard`
        :param now: wall time in seconds
        """
        due = []
        for fact in board.inbox:
            match fact:
                case blackboards.ReceivedFrame(frame, address):
                    due += self._sync_with_unknown(board, now, frame, address)
                    due += self._handle_frame(board, now, frame, address)
                case blackboards.StoreSeeds(addresses):
                    self._add_seeds(board, addresses)
        self._announce_if_absent(board, now)
        self._refute(board, now)
        due += self._join(board, now)
        due += self._rejoin(board, now)
        due += self._probe_members(board, now)
        self._expire_suspects(board, now)
        if now >= self._next_cleanup_at:
            board.table.remove_expired(now)
            self._next_cleanup_at = now + CLEANUP_PERIOD_S
        return due

    def _add_seeds(self, board, addresses):
        own = (board.identity.host, board.identity.port)
        for address in addresses:
            if address != own and address not in self._seeds:
                self._seeds.append(address)

    def _announce_if_absent(self, board, now):
        if board.table.member(board.identity.name) is None:
            board.disseminate(board.own_member(), now)

    def _refute(self, board, now):
        """Announce this node anew if its record in the table is wrong.

        Others may have declared the node suspected or dead, and its record
        may be older than its current state.
        """
        record = board.table.member(board.identity.name)
        if record.incarnation > board.incarnation:
            self._handle_newer_incarnation(board, now, record)
            return
        own = board.own_member()
        if record == own:
            return
        board.revision = max(board.revision, record.revision)
        board.announce_self(now)

    def _handle_newer_incarnation(self, board, now, record):
        if board.in_force is None:
            # The incarnation comes from the clock, which was set back between
            # two starts of this node.
            board.incarnation = record.incarnation + 1
            board.announce_self(now)
            return
        if board.is_replaced:
            return
        board.is_replaced = True
        board.emit(
            events.Kind.REPLACED,
            now,
            detail=f'incarnation {record.incarnation} of {record.name} '
            f'runs, this one is {board.incarnation}',
        )

    def _join(self, board, now):
        if self._has_joined and board.peers():
            return []
        if now < self._next_join_at or not self._seeds or board.is_leaving:
            return []
        self._next_join_at = now + JOIN_RETRY_S
        address = self._rng.choice(self._seeds)
        return [self._make_sync(board, f'{address[0]}:{address[1]}', address)]

    def _rejoin(self, board, now):
        """Ping an unreachable seed or a dead member from time to time.

        Without these pings, two parts of the fleet would never find each
        other, neither after a partition between regions nor if they started
        separately.
        """
        if now < self._next_rejoin_at or board.is_leaving:
            return []
        wait_s = REJOIN_PERIOD_S * (0.5 + self._rng.random())
        is_first_step = self._next_rejoin_at == 0.0
        self._next_rejoin_at = now + wait_s
        reachable = {member.address for member in board.table.reachable()}
        dead = [
            member.address
            for member in board.table.members()
            if member.status == messages.Status.DEAD
        ]
        missing = sorted({*self._seeds, *dead} - reachable)
        if is_first_step or not missing:
            return []
        ping = board.frame(messages.Ping(0))
        return [actions.SendDatagram(self._rng.choice(missing), ping)]

    def _sync_with_unknown(self, board, now, frame, address):
        """Exchange tables with a sender that is unknown or declared dead."""
        record = board.table.member(frame.sender)
        if record is not None and record.status != messages.Status.DEAD:
            return []
        if (
            frame.sender == board.identity.name
            or now < self._next_unknown_sync_at
        ):
            return []
        if isinstance(frame.body, messages.Sync | messages.Table):
            return []
        self._next_unknown_sync_at = now + UNKNOWN_SYNC_INTERVAL_S
        return [self._make_sync(board, frame.sender, address)]

    def _make_sync(self, board, peer, address):
        frame = board.frame(messages.Sync(), board.table.entries.values())
        return actions.SendRequest(peer, address, frame, SYNC_TIMEOUT_S)

    def _handle_frame(self, board, now, frame, address):
        match frame.body:
            case messages.Ping(sequence):
                response = board.frame(
                    messages.Ack(sequence),
                    self._refutable_records(board, frame),
                )
                return [actions.SendDatagram(address, response)]
            case messages.Ack(sequence):
                return self._handle_ack(board, frame, sequence)
            case messages.IndirectPing(sequence, name):
                return self._relay_ping(board, now, address, sequence, name)
            case messages.Table():
                self._has_joined |= _has_others(board, frame)
        return []

    def _refutable_records(self, board, frame):
        """Return the sender's record if the sender should refute it.

        :returns: a tuple, empty if the record says that the sender is alive
        """
        record = board.table.member(frame.sender)
        if record is None or record.status == messages.Status.ALIVE:
            return ()
        return (record,)

    def _handle_ack(self, board, frame, sequence):
        relayed = self._relayed_pings.pop(sequence, None)
        if relayed is not None:
            response = board.frame(messages.Ack(relayed.sequence))
            return [actions.SendDatagram(relayed.requester, response)]
        if self._probe and self._probe.sequence == sequence:
            self._probe = None
        return []

    def _relay_ping(self, board, now, requester, sequence, name):
        """Ping the member of that name on behalf of the requester."""
        member = board.table.member(name)
        if member is None:
            return []
        self._sequence += 1
        self._relayed_pings[self._sequence] = _RelayedPing(
            requester, sequence, now
        )
        return [
            actions.SendDatagram(
                member.address, board.frame(messages.Ping(self._sequence))
            )
        ]

    def _probe_members(self, board, now):
        if self._next_probe_at is None:
            # A random phase spreads the fleet's probes over the period.
            self._next_probe_at = now + self._rng.random() * PROBE_PERIOD_S
        due = self._probe_indirectly(board, now)
        if now < self._next_probe_at:
            return due
        self._next_probe_at = now + PROBE_PERIOD_S
        self._finish_probe(board, now)
        member = self._next_member(board)
        if member is None or board.is_leaving:
            return due
        self._sequence += 1
        self._probe = _Probe(member, self._sequence, now)
        ping = board.frame(
            messages.Ping(self._sequence),
            (member,) if member.status != messages.Status.ALIVE else (),
        )
        return due + [actions.SendDatagram(member.address, ping)]

    def _probe_indirectly(self, board, now):
        probe = self._probe
        if probe is None or probe.is_indirect:
            return []
        if now - probe.sent_at < PROBE_TIMEOUT_S:
            return []
        probe.is_indirect = True
        others = [m for m in board.peers() if m.name != probe.member.name]
        helpers = self._rng.sample(others, min(INDIRECT_PROBES, len(others)))
        body = messages.IndirectPing(probe.sequence, probe.member.name)
        return [
            actions.SendDatagram(helper.address, board.frame(body))
            for helper in helpers
        ]

    def _finish_probe(self, board, now):
        """Suspect the probed member if it has not responded in the period."""
        for sequence, relayed in list(self._relayed_pings.items()):
            if now - relayed.sent_at > PROBE_PERIOD_S:
                del self._relayed_pings[sequence]
        probe, self._probe = self._probe, None
        if probe is None:
            return
        record = board.table.member(probe.member.name)
        if record is None or record.status != messages.Status.ALIVE:
            return
        self._set_status(board, now, record, messages.Status.SUSPECT)

    def _set_status(self, board, now, member, status):
        board.disseminate(dataclasses.replace(member, status=status), now)
        board.emit(
            events.Kind.MEMBER_STATUS,
            now,
            peer=member.name,
            detail=f'{member.name} is {status.name.lower()}',
        )

    def _next_member(self, board):
        """Return the member to probe next, None without peers.

        All members are probed once, in random order, before any is again.
        """
        peers = {member.name: member for member in board.peers()}
        while self._probe_queue:
            member = peers.get(self._probe_queue.pop())
            if member is not None:
                return member
        self._probe_queue = sorted(peers)
        self._rng.shuffle(self._probe_queue)
        return peers[self._probe_queue.pop()] if self._probe_queue else None

    def _expire_suspects(self, board, now):
        """Declare members dead that have been suspected for too long."""
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
            if now - since >= SUSPICION_TIMEOUT_S:
                self._set_status(board, now, member, messages.Status.DEAD)


def _has_others(board, frame):
    """Return whether a frame holds another member than this node."""
    return any(
        isinstance(update, messages.Member)
        and update.name != board.identity.name
        for update in frame.updates
    )
