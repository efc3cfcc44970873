"""What a node starts, asks for and refuses of the organisations' quotas.

The node owns an equal share of each quota. It delegates the share to one
coordinator at a time and draws tokens from it. Until the delegation to a lost
coordinator has certainly ended, the share is not delegated again.
"""

import dataclasses
import math

from pumicestand import hop_messages
from pumicestand import quota_buckets
from pumicestand import quota_coordination
from pumicestand import quota_fleet

# Period at which delegations are renewed, in seconds: one lost request delays
# the renewal to less than the time for which a delegation is valid.
RENEW_S = 0.7
# Time after which calls that were started ahead are reported, in seconds.
REPORT_S = 0.15
# Time after which another request is sent although there is no reply, in
# seconds. A round trip between availability zones takes some 3 ms.
RESEND_S = 0.1
# Time without a reply after which a coordinator is lost, in seconds.
LOST_S = 0.5
# Time for which a coordinator that was lost is not chosen, in seconds, doubled
# each time up to the maximum. Each attempt may cost the organisations' calls
# the time of a delegation.
MIN_EXCLUDE_S = 3.0
MAX_EXCLUDE_S = 60.0
# Part of the expected wait in which a refused organisation's calls are not
# asked for again, and the longest such time in seconds. Nodes that asked at
# the end of their wait only would leave the tokens of those that don't.
QUIET_SHARE = 0.5
MAX_QUIET_S = 0.2
# Longest time that a call waits for a reply, in seconds.
MAX_WAIT_S = 0.05
# Retry-After of a call whose request was not answered in time, in seconds.
UNANSWERED_RETRY_S = 0.1
# Part of its own share that a node uses until the delegation to a lost
# coordinator has ended. If the coordinator still runs, it uses the share, too,
# for at most 1 s; with this part the sum stays within the tolerated excess.
OWN_SHARE = 0.4
# Time after which requests are forgotten, in seconds.
FORGET_S = 1.0
_MS_MODULUS = 2**32


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The call has a token."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The call is over the quota.

    :param retry_after: seconds after which a token is expected
    """

    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class MustAsk:
    """The call needs a token that the coordinator has to grant."""


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """A request to send to a coordinator, which may be this node."""

    coordinator: str
    request: hop_messages.QuotaRequest


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorLost:
    """A coordinator has not replied in time or can't be reached.

    :param slots: number of slots that were delegated to it
    """

    name: str
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorTaken:
    """The node delegates to a coordinator from now on.

    :param slots: number of slots that are delegated to it
    """

    name: str
    slots: int


@dataclasses.dataclass(slots=True)
class _Tokens:
    """Granted tokens of one organisation, with their expiry."""

    count: int
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """A token that a call has taken.

    :param organisation: name of the organisation
    :param taken_at: monotonic seconds
    """

    organisation: str
    taken_at: float


@dataclasses.dataclass(slots=True)
class _Stock:
    """What this node may start of one organisation's calls.

    :param slot: slot of the organisation
    :param tokens: `_Tokens` that were granted or returned
    :param ahead: calls that may start before they are reported
    :param ahead_until: time until which they may
    :param started: calls started ahead, in total
    :param acknowledged: how many of them a coordinator has counted
    :param reported: how many of them were reported
    :param report_at: time by which the others are to be reported
    :param quiet_until: time until which calls are refused without asking
    :param token_at: time at which a token is expected
    :param waiting: calls that wait for a reply
    :param own: `quota_buckets.Bucket` in use while the share is delegated to
        nobody, None before the first such time
    :param own_until: end of the latest such time
    :param own_at: time at which `own` was last filled
    """

    slot: int
    tokens: list = dataclasses.field(default_factory=list)
    ahead: int = 0
    ahead_until: float = 0.0
    started: int = 0
    acknowledged: int = 0
    reported: int = 0
    report_at: float = math.inf
    quiet_until: float = 0.0
    token_at: float = 0.0
    waiting: int = 0
    own: quota_buckets.Bucket | None = None
    own_until: float = 0.0
    own_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    """A request that was sent.

    :param started: organisation to the total of its calls reported with it
    """

    at: float
    started: dict


class _Session:
    """The delegation to one coordinator.

    `slots` is the bit set of the delegated slots, `released` that of the
    slots of which the coordinator has to confirm that they no longer are.
    """

    __slots__ = (
        'acknowledged',
        'is_due',
        'name',
        'released',
        'released_number',
        'sent',
        'sent_at',
        'slots',
        'unanswered_since',
    )

    def __init__(self, name):
        self.name = name
        self.slots = 0
        self.released = 0
        self.released_number = 0
        self.sent = {}
        self.sent_at = -math.inf
        self.unanswered_since = None
        self.acknowledged = 0
        self.is_due = True


class QuotaNode:
    """The calls of organisations with a quota at this node.

    :param name: name of this node
    :param bounds: `quota_buckets.QuotaBounds`
    """

    def __init__(self, name, bounds):
        self._name = name
        self._bounds = bounds
        self._organisations = {}
        self._stocks = {}
        self._fleet = quota_fleet.QuotaFleet(1, ())
        self._number = 0
        self._sessions = {}
        # Of each slot, the session that it is delegated to, or None, and the
        # time at which the former delegation has certainly ended.
        self._holders = [None] * quota_fleet.SLOT_COUNT
        self._free_at = [0.0] * quota_fleet.SLOT_COUNT
        self._unassigned = set(range(quota_fleet.SLOT_COUNT))
        # Name of a lost coordinator to (time until which it is excluded, the
        # duration of that).
        self._excluded = {}
        self._waiting = set()
        self._unreported = set()
        self._has_new_report = False
        self._events = []

    @property
    def coordinators(self):
        """Names of the nodes that this node delegates to."""
        return tuple(s.name for s in self._sessions.values() if s.slots)

    @property
    def has_new_report(self):
        """Whether calls are to be reported since `due` was last called."""
        return self._has_new_report

    @property
    def fleet(self):
        """The `quota_fleet.QuotaFleet` in use."""
        return self._fleet

    def take_events(self):
        """Return what has changed about coordinators since the last time."""
        events, self._events = self._events, []
        return events

    def excluded(self, now):
        """Return the names of coordinators that were lost lately."""
        return {n for n, (until, _) in self._excluded.items() if until > now}

    def set_organisations(self, organisations):
        """Replace the organisations with a quota.

        :param organisations: name to `documents.Organisation`
        """
        for name in self._stocks.keys() - organisations.keys():
            del self._stocks[name]
            self._waiting.discard(name)
            self._unreported.discard(name)
        for name, quota in organisations.items():
            stock = self._stocks.get(name)
            if stock is None:
                slot = quota_fleet.slot_of(name)
                self._stocks[name] = _Stock(slot)
                continue
            previous = self._organisations[name]
            if quota.rate < previous.rate or quota.burst < previous.burst:
                stock.tokens.clear()
                stock.ahead = 0
        self._organisations = organisations

    def set_fleet(self, fleet, now):
        """Replace the `quota_fleet.QuotaFleet`; move slots if necessary."""
        if fleet == self._fleet:
            return
        self._fleet = fleet
        for slot, holder in enumerate(self._holders):
            if holder is None or holder.name == fleet.coordinator_of(slot):
                continue
            # The coordinator confirms that it no longer uses the share.
            bit = 1 << slot
            holder.slots &= ~bit
            holder.released |= bit
            holder.released_number = self._number + 1
            holder.is_due = True
            self._holders[slot] = None
            self._free_at[slot] = (
                holder.sent_at + quota_coordination.DELEGATION_S
            )
            self._unassigned.add(slot)

    def lose_coordinator(self, name, now):
        """End the delegation to a coordinator that can't be reached."""
        session = self._sessions.pop(name, None)
        if session is None:
            return
        slots = session.slots
        free_at = session.sent_at + quota_coordination.DELEGATION_S
        while slots:
            lowest = slots & -slots
            slots ^= lowest
            slot = lowest.bit_length() - 1
            self._holders[slot] = None
            self._free_at[slot] = free_at
            self._unassigned.add(slot)
        _, previous_s = self._excluded.get(name, (0.0, MIN_EXCLUDE_S / 2))
        excluded_s = min(MAX_EXCLUDE_S, previous_s * 2)
        self._excluded[name] = (now + excluded_s, excluded_s)
        if session.slots:
            self._events.append(
                CoordinatorLost(name, session.slots.bit_count())
            )

    def _assign(self, now):
        """Delegate the slots that are free to their coordinators."""
        if not self._unassigned or not self._fleet.coordinators:
            return
        taken = {}
        for slot in sorted(self._unassigned):
            if self._free_at[slot] > now:
                continue
            name = self._fleet.coordinator_of(slot)
            if name in self._excluded and self._excluded[name][0] > now:
                continue
            session = self._sessions.get(name)
            if session is None:
                session = self._sessions[name] = _Session(name)
            session.slots |= 1 << slot
            session.is_due = True
            self._holders[slot] = session
            self._unassigned.discard(slot)
            taken[name] = taken.get(name, 0) + 1
        self._events.extend(
            CoordinatorTaken(name, slots) for name, slots in taken.items()
        )

    def try_start(self, organisation, now):
        """Return whether a call may start, and count it if so.

        :param organisation: name of an organisation
        :param now: monotonic seconds
        :returns: `Admitted`, `Refused` or `MustAsk`
        """
        stock = self._stocks.get(organisation)
        if stock is None:
            return Admitted()
        tokens = stock.tokens
        while tokens:
            if tokens[0].expires_at > now:
                tokens[0].count -= 1
                if not tokens[0].count:
                    del tokens[0]
                return Admitted()
            del tokens[0]
        if stock.ahead and now < stock.ahead_until:
            stock.ahead -= 1
            stock.started += 1
            if organisation not in self._unreported:
                self._unreported.add(organisation)
                self._has_new_report = True
                stock.report_at = now + REPORT_S
            return Admitted()
        if now < stock.quiet_until:
            return Refused(stock.token_at - now)
        session = self._holders[stock.slot]
        if session is None:
            if self._try_own_share(organisation, stock, now):
                return Admitted()
            wait_s = self._free_at[stock.slot] - now
            return Refused(max(UNANSWERED_RETRY_S, wait_s))
        since = session.unanswered_since
        if since is not None and now - since >= MAX_WAIT_S:
            return Refused(UNANSWERED_RETRY_S)
        return MustAsk()

    def _try_own_share(self, organisation, stock, now):
        """Take a token of the node's own share if the share is in use."""
        until = self._free_at[stock.slot]
        if now >= until:
            return False
        quota = self._organisations[organisation]
        if stock.own is None:
            stock.own = quota_buckets.Bucket(
                f'{self._name} {organisation}',
                self._bounds,
                quota.rate,
                quota.burst,
            )
        if stock.own_until != until:
            # It has not filled since the share was last used.
            stock.own_until = until
            stock.own_at = now
            stock.own.set_quota(quota.rate, quota.burst)
        share = OWN_SHARE / self._fleet.node_count
        stock.own.refill(share, share * (now - stock.own_at))
        stock.own_at = now
        if stock.own.available < 1.0 - quota_buckets.ROUNDING:
            return False
        stock.own.take(1)
        return True

    def add_waiting(self, organisation):
        """Record that a call waits for a token."""
        self._stocks[organisation].waiting += 1
        self._waiting.add(organisation)

    def remove_waiting(self, organisation):
        """Record that a call no longer waits for a token."""
        stock = self._stocks.get(organisation)
        if stock is None or not stock.waiting:
            return
        stock.waiting -= 1
        if not stock.waiting:
            self._waiting.discard(organisation)

    def give_back(self, token, now):
        """Return the token of a call that no target got.

        It is lost some time after it was taken: calls that start on tokens
        saved during a fault of targets would exceed the quota after it.

        :param token: the call's `Token`
        :param now: monotonic seconds
        """
        stock = self._stocks.get(token.organisation)
        expires_at = token.taken_at + quota_coordination.GRANT_S
        if stock is not None and now < expires_at:
            stock.tokens.append(_Tokens(1, expires_at))

    def due(self, now):
        """Return the `Send`s that are due now.

        :param now: monotonic seconds
        """
        self._has_new_report = False
        for session in list(self._sessions.values()):
            since = session.unanswered_since
            if since is not None and now - since >= LOST_S:
                self.lose_coordinator(session.name, now)
            elif (
                not session.slots
                and not session.released
                and session.unanswered_since is None
            ):
                del self._sessions[session.name]
        self._assign(now)
        return [
            self._request(session, now)
            for session in self._sessions.values()
            if self._due_at(session) <= now
        ]

    def next_due(self):
        """Return the time of the next step, in monotonic seconds.

        Infinity if there is none until something else happens.
        """
        times = [self._due_at(session) for session in self._sessions.values()]
        times += [
            session.unanswered_since + LOST_S
            for session in self._sessions.values()
            if session.unanswered_since is not None
        ]
        if self._fleet.coordinators:
            for slot in self._unassigned:
                name = self._fleet.coordinator_of(slot)
                excluded_until, _ = self._excluded.get(name, (0.0, 0.0))
                times.append(max(self._free_at[slot], excluded_until))
        return min(times, default=math.inf)

    def _due_at(self, session):
        """Return the time at which a request to a coordinator is due."""
        if not session.slots and not session.released and not session.is_due:
            return math.inf
        if session.unanswered_since is not None and not session.is_due:
            return session.sent_at + RESEND_S
        if session.is_due:
            return -math.inf
        due_at = session.sent_at + RENEW_S
        for name in self._waiting:
            if self._holders[self._stocks[name].slot] is session:
                return -math.inf
        for name in self._unreported:
            stock = self._stocks[name]
            if self._holders[stock.slot] is session:
                due_at = min(due_at, stock.report_at)
        return due_at

    def _request(self, session, now):
        """Return the `Send` of the next request to a coordinator."""
        self._number += 1
        uses = []
        started = {}
        # Sorted, so that a run can be repeated.
        for name in sorted(self._waiting | self._unreported):
            stock = self._stocks[name]
            if self._holders[stock.slot] is not session:
                continue
            uses.append(
                hop_messages.QuotaUse(
                    name, stock.started - stock.acknowledged, stock.waiting
                )
            )
            started[name] = stock.started
            stock.report_at = now + REPORT_S
        session.sent[self._number] = _Sent(now, started)
        for number, sent in list(session.sent.items()):
            if now - sent.at > FORGET_S:
                del session.sent[number]
        session.sent_at = now
        session.is_due = False
        if session.unanswered_since is None:
            session.unanswered_since = now
        return Send(
            session.name,
            hop_messages.QuotaRequest(
                self._number,
                self._fleet.node_count,
                tuple(uses),
                session.slots,
                int(now * 1000) % _MS_MODULUS,
                session.acknowledged,
            ),
        )

    def apply_reply(self, name, reply, now):
        """Apply a coordinator's reply; return whether it answers a request.

        :param name: name of the coordinator
        :param reply: a `hop_messages.QuotaReply`
        :param now: monotonic seconds
        """
        session = self._sessions.get(name)
        if session is None:
            return False
        sent = session.sent.pop(reply.number, None)
        if sent is None:
            return False
        is_latest = reply.number > session.acknowledged
        session.acknowledged = max(session.acknowledged, reply.number)
        session.unanswered_since = min(
            (
                other.at
                for number, other in session.sent.items()
                if number > session.acknowledged
            ),
            default=None,
        )
        if now - sent.at < LOST_S:
            self._excluded.pop(name, None)
        if session.released and reply.number >= session.released_number:
            self._confirm_release(session, now)
        for organisation, total in sent.started.items():
            stock = self._stocks.get(organisation)
            if stock is None:
                continue
            stock.acknowledged = max(stock.acknowledged, total)
            if stock.acknowledged >= stock.started:
                self._unreported.discard(organisation)
        for grant in reply.grants:
            stock = self._stocks.get(grant.organisation)
            if stock is not None:
                self._apply_grant(stock, grant, sent, is_latest, now)
        return True

    def _confirm_release(self, session, now):
        slots, session.released = session.released, 0
        while slots:
            lowest = slots & -slots
            slots ^= lowest
            slot = lowest.bit_length() - 1
            if self._holders[slot] is None:
                self._free_at[slot] = min(self._free_at[slot], now)

    @staticmethod
    def _apply_grant(stock, grant, sent, is_latest, now):
        """Apply one grant of the reply to a request.

        :param is_latest: whether no later request was answered before
        """
        if grant.delay_ms:
            wait_s = grant.delay_ms / 1000
            stock.token_at = now + wait_s
            stock.quiet_until = now + min(MAX_QUIET_S, QUIET_SHARE * wait_s)
        valid_until = sent.at + quota_coordination.GRANT_S
        if not grant.is_relaxed and grant.granted and valid_until > now:
            stock.tokens.append(_Tokens(grant.granted, valid_until))
        if not is_latest:
            return
        # The coordinator reserves what it granted to the latest request, and
        # calls that were started since that was sent are part of it.
        since = stock.started - sent.started.get(grant.organisation, 0)
        stock.ahead = max(0, grant.granted - since) if grant.is_relaxed else 0
        stock.ahead_until = valid_until
