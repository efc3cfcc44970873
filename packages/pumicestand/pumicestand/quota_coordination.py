"""What a coordinator grants of the organisations' quotas.

Any node answers any request: a bucket fills only with the shares that nodes
have delegated to this one, so it does not matter whether other nodes consider
themselves coordinators, too.
"""

import collections
import dataclasses
import heapq
import math

from pumicestand import hop_messages
from pumicestand import quota_buckets
from pumicestand import quota_fleet

# Time for which a delegation is valid after its request was sent, in seconds.
DELEGATION_S = 1.0
# Time after sending the request for which a grant is valid, in seconds.
GRANT_S = 0.5
# Time for which calls that a node may start ahead are reserved: the grant's
# validity, and the time in which the node reports what it has used.
RESERVATION_S = 0.8
# Calls that a node may start ahead, as a multiple of those that it reported
# or waits with, and the part of the bucket's capacity that all nodes may use
# so. Tokens are granted regardless of it: if all is used, the bucket is in
# debt by no more than that.
AHEAD_RATIO = 2
MAX_AHEAD_SHARE = 0.5
# Delay of calls that a coordinator can't grant anything for, so that they are
# not asked for again at once.
NO_QUOTA_DELAY_MS = 100
# Time over which the shortest time on the way is taken, in seconds: clocks of
# two VMs drift apart by some 3 ms in a minute.
OFFSET_PERIOD_S = 60.0
# Time for which a node is remembered after its delegation, in seconds, so that
# its earlier requests are recognised when they arrive late.
RETAIN_NODE_S = 60.0
_MS_MODULUS = 2**32


class _Offset:
    """The least difference between two clocks, in milliseconds.

    A message was on its way for as long as its difference exceeds the least
    one, apart from the time that the fastest message took.
    """

    __slots__ = ('_current', '_previous', '_renewed_at')

    def __init__(self, now):
        self._current = None
        self._previous = None
        self._renewed_at = now

    def lateness_s(self, sent_ms, now):
        """Return how much longer a message took than the fastest one."""
        offset = (int(now * 1000) - sent_ms) % _MS_MODULUS
        if now - self._renewed_at > OFFSET_PERIOD_S:
            self._previous, self._current = self._current, None
            self._renewed_at = now
        if self._current is None or _precedes(offset, self._current):
            self._current = offset
        least = self._current
        if self._previous is not None and _precedes(self._previous, least):
            least = self._previous
        return (offset - least) % _MS_MODULUS / 1000


def _precedes(value, other):
    """Return whether a value is before another, modulo 2**32."""
    return 0 < (other - value) % _MS_MODULUS < _MS_MODULUS // 2


@dataclasses.dataclass(slots=True)
class _Counted:
    """Calls that were counted, with the request that reported them."""

    number: int
    calls: int


@dataclasses.dataclass(slots=True)
class _Reservation:
    calls: int
    expires_at: float


class _Node:
    """What is known of one node."""

    __slots__ = (
        'counted',
        'expires_at',
        'incarnation',
        'last_number',
        'node_count',
        'offset',
        'slots',
    )

    def __init__(self, incarnation, now):
        self.incarnation = incarnation
        self.last_number = 0
        self.node_count = 0
        self.slots = 0
        self.expires_at = 0.0
        self.offset = _Offset(now)
        # Organisation to a list of `_Counted` that are not acknowledged.
        self.counted = {}


class _Slot:
    """The delegations of one slot.

    ``seconds`` is the integral of the share of the nodes that have delegated
    it, ``empty_seconds`` its value when there were none the last time.
    """

    __slots__ = ('_updated_at', 'count', 'empty_seconds', 'seconds', 'share')

    def __init__(self):
        self.count = 0
        self.share = 0.0
        self.seconds = 0.0
        self.empty_seconds = 0.0
        self._updated_at = 0.0

    def advance(self, now):
        """Integrate the share up to a time."""
        if now > self._updated_at:
            self.seconds += self.share * (now - self._updated_at)
            self._updated_at = now

    def set_count(self, count, node_count):
        """Set the number of delegations of a number of nodes."""
        if not self.count:
            self.empty_seconds = self.seconds
        self.count = count
        self.share = min(1.0, count / node_count)


class _Account:
    """The bucket of one organisation, and what its nodes may use of it."""

    __slots__ = ('_reservations', '_reserved', '_seconds', 'bucket', 'slot')

    def __init__(self, bucket, slot):
        self.bucket = bucket
        self.slot = slot
        # The slot's share-seconds at the last refill.
        self._seconds = 0.0
        # Node to its `_Reservation`, in the order of their expiry.
        self._reservations = {}
        self._reserved = 0

    def refill(self, slot):
        """Add the tokens that a `_Slot` has brought."""
        if self._seconds < slot.empty_seconds:
            # Nobody had delegated meanwhile, so others used the shares.
            self.bucket.empty()
            self._seconds = slot.empty_seconds
        self.bucket.refill(slot.share, slot.seconds - self._seconds)
        self._seconds = slot.seconds

    def reserve(self, name, calls, now):
        """Reserve calls that a node may start ahead."""
        self._reservations[name] = _Reservation(calls, now + RESERVATION_S)
        self._reserved += calls

    def release(self, name):
        """End the reservation of a node."""
        reservation = self._reservations.pop(name, None)
        if reservation is not None:
            self._reserved -= reservation.calls

    def reserved(self, now):
        """Return the calls that nodes may start ahead."""
        while self._reservations:
            name = next(iter(self._reservations))
            if self._reservations[name].expires_at > now:
                break
            self.release(name)
        return self._reserved


def _no_grant(use):
    """Return the grant of a coordinator that has no part of a quota."""
    delay_ms = NO_QUOTA_DELAY_MS if use.wanted else 0
    return hop_messages.QuotaGrant(use.organisation, 0, delay_ms)


class Coordinator:
    """Answers the requests of nodes, this node included.

    :param name: name of this node
    :param bounds: `quota_buckets.QuotaBounds`
    """

    def __init__(self, name, bounds):
        self._name = name
        self._bounds = bounds
        self._organisations = {}
        self._accounts = {}
        self._nodes = {}
        # (Time at which a delegation expires, node), earliest first. Entries
        # of delegations that were renewed are skipped.
        self._expiries = []
        self._slots = [_Slot() for _ in range(quota_fleet.SLOT_COUNT)]
        self._node_counts = collections.Counter()
        self._own_node_count = 1
        self._node_count = 1
        self._cleaned_at = float('-inf')

    @property
    def delegation_count(self):
        """Number of nodes that have delegated their shares."""
        return sum(self._node_counts.values())

    def set_organisations(self, organisations, now):
        """Replace the organisations with a quota.

        :param organisations: name to `documents.Organisation`
        :param now: monotonic seconds
        """
        self._expire(now)
        for name in self._accounts.keys() - organisations.keys():
            del self._accounts[name]
        for name, account in self._accounts.items():
            quota = organisations[name]
            previous = self._organisations[name]
            if (previous.rate, previous.burst) == (quota.rate, quota.burst):
                continue
            slot = self._slots[account.slot]
            slot.advance(now)
            account.refill(slot)
            account.bucket.set_quota(quota.rate, quota.burst)
            account.refill(slot)
        self._organisations = organisations

    def set_node_count(self, node_count, now):
        """Set the number of nodes of the fleet as this node knows it."""
        self._expire(now)
        self._own_node_count = node_count
        self._update_node_count(now)

    def handle(self, name, incarnation, request, now):
        """Return the `hop_messages.QuotaReply` to a request.

        None if a later request of the node has arrived already or this one
        was sent too long ago.

        :param name: name of the node that sent it
        :param incarnation: number of the node's process start
        :param request: a `hop_messages.QuotaRequest`
        :param now: monotonic seconds
        """
        self._expire(now)
        node = self._nodes.get(name)
        if node is None or node.incarnation != incarnation:
            if node is not None:
                self._end_delegation(node, now)
            node = self._nodes[name] = _Node(incarnation, now)
        lateness_s = node.offset.lateness_s(request.sent_ms, now)
        if request.number <= node.last_number or lateness_s >= DELEGATION_S:
            return None
        node.last_number = request.number
        expires_at = now + DELEGATION_S - lateness_s
        self._delegate(name, node, request, expires_at, now)
        grants = tuple(
            self._grant(name, node, request, use, now) for use in request.uses
        )
        if not request.slots:
            node.counted.clear()
        return hop_messages.QuotaReply(request.number, grants)

    def _delegate(self, name, node, request, expires_at, now):
        """Record the shares that a node delegates until a time."""
        if node.node_count != request.node_count:
            self._count_node(node, -1)
            node.node_count = request.node_count
            self._count_node(node, 1)
            self._update_node_count(now)
        if node.slots != request.slots:
            self._count_slots(node.slots & ~request.slots, -1, now)
            self._count_slots(request.slots & ~node.slots, 1, now)
            node.slots = request.slots
        if expires_at > node.expires_at:
            node.expires_at = expires_at
            heapq.heappush(self._expiries, (expires_at, name))

    def _count_node(self, node, difference):
        if node.node_count:
            self._node_counts[node.node_count] += difference
            if not self._node_counts[node.node_count]:
                del self._node_counts[node.node_count]

    def _update_node_count(self, now):
        """Use the largest number of nodes that any node knows."""
        node_count = max(self._own_node_count, *self._node_counts, 1)
        if node_count == self._node_count:
            return
        self._node_count = node_count
        for slot in self._slots:
            slot.advance(now)
            slot.set_count(slot.count, node_count)

    def _count_slots(self, slots, difference, now):
        while slots:
            lowest = slots & -slots
            slots ^= lowest
            slot = self._slots[lowest.bit_length() - 1]
            slot.advance(now)
            slot.set_count(slot.count + difference, self._node_count)

    def _expire(self, now):
        """End the delegations that are no longer valid."""
        expiries = self._expiries
        while expiries and expiries[0][0] <= now:
            expired_at, name = heapq.heappop(expiries)
            node = self._nodes.get(name)
            if node is not None and node.expires_at <= expired_at:
                self._end_delegation(node, expired_at)
        if now >= self._cleaned_at + RETAIN_NODE_S:
            self._cleaned_at = now
            self._nodes = {
                name: node
                for name, node in self._nodes.items()
                if node.expires_at > now - RETAIN_NODE_S
            }

    def _end_delegation(self, node, now):
        self._count_node(node, -1)
        self._count_slots(node.slots, -1, now)
        self._update_node_count(now)
        node.node_count = node.slots = 0
        # The node reports what was not acknowledged to its next coordinator.
        node.counted.clear()

    def _grant(self, name, node, request, use, now):
        """Return the `hop_messages.QuotaGrant` for one organisation."""
        quota = self._organisations.get(use.organisation)
        if quota is None:
            # The configuration in force here is another one.
            return _no_grant(use)
        account = self._accounts.get(use.organisation)
        if account is None:
            account = self._accounts[use.organisation] = _Account(
                quota_buckets.Bucket(
                    f'{self._name} {use.organisation}',
                    self._bounds,
                    quota.rate,
                    quota.burst,
                ),
                quota_fleet.slot_of(use.organisation),
            )
        bucket = account.bucket
        slot = self._slots[account.slot]
        slot.advance(now)
        account.refill(slot)
        used = self._count_used(node, request, use)
        if used:
            bucket.take(used)
        account.release(name)
        if not request.slots >> account.slot & 1:
            # The node's share belongs to another coordinator.
            return _no_grant(use)
        left = MAX_AHEAD_SHARE * bucket.capacity - account.reserved(now)
        ahead = min(math.floor(left), AHEAD_RATIO * (used + use.wanted))
        if bucket.is_relaxed and ahead >= max(1, use.wanted):
            account.reserve(name, ahead, now)
            return hop_messages.QuotaGrant(
                use.organisation, ahead, is_relaxed=True
            )
        granted = min(
            use.wanted,
            math.floor(max(0.0, bucket.available) + quota_buckets.ROUNDING),
        )
        if granted:
            bucket.take(granted)
        refused = use.wanted - granted
        delay_ms = 0
        if refused:
            wait_s = bucket.expected_wait_s(refused)
            delay_ms = max(1, math.ceil(wait_s * 1000))
        return hop_messages.QuotaGrant(use.organisation, granted, delay_ms)

    @staticmethod
    def _count_used(node, request, use):
        """Return the reported calls that were not counted before."""
        counted = [
            item
            for item in node.counted.get(use.organisation, ())
            if item.number > request.acknowledged
        ]
        calls = max(0, use.used - sum(item.calls for item in counted))
        if calls:
            counted.append(_Counted(request.number, calls))
        if counted:
            node.counted[use.organisation] = counted
        else:
            node.counted.pop(use.organisation, None)
        return calls
