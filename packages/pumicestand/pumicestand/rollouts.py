"""Roll-outs: how much traffic a new version gets, and the verdict on it.

A roll-out lasts seconds. Its share follows from the time since the order,
so all nodes agree on it without a leader. The evidence is counted at the
nodes beside the targets and comes with their reports. Every node judges for
itself; a version found bad is avoided at once by whoever finds or hears it.
Only the last step, `COMPLETE`, is one node's to take: the one that ranks
first writes it, under a condition, and others act on what the store holds.
"""

import collections
import dataclasses

from pumicestand import hop_messages
from pumicestand import messages

State = hop_messages.RolloutState

# Steps of the share: from which fraction of the order's time, and how much.
# Exposure of a bad version stays under a tenth of all calls as long as it
# shows itself within a few hundred calls.
SHARE_STEPS = ((0.0, 0.05), (0.4, 0.2), (0.55, 0.5), (0.68, 1.0))
# Fraction of the order's time from which it may be complete.
MIN_COMPLETE_TIME_RATIO = 0.78
# Seconds for which all calls go to the new version before it is complete.
MIN_FULL_SHARE_S = 1.0
# Calls that a step needs before the next one.
MIN_CALLS_PER_STEP = 12
# Failures from which a version can be found bad, in all or on one route.
MIN_ERRORS = 5
# How much more of the calls must fail than at the other version.
MAX_EXCESS_ERROR_RATIO = 0.15
# Timed calls from which a version can be found slow.
MIN_TIMED_CALLS = 10
# How many times as long the mean call must take; targets of one version
# differ by a factor of two to three among themselves.
MAX_LATENCY_RATIO = 2.6
# Seconds after which a version that no order names is used all the same.
UNORDERED_VERSION_DELAY_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An operator's order to move a service to another version.

    :param duration: seconds
    :param revision: of the store's object; what a status write must meet
    :param order_id: equal for all revisions of one order
    :param stored_state: what the store says of it, None if nothing yet
    """

    service: str
    version: str
    duration: float
    revision: int
    order_id: int
    stored_state: hop_messages.RolloutState | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class WriteStatus:
    """Write a roll-out's state into the store, if it still stands there."""

    order: Order
    state: hop_messages.RolloutState
    reason: str


@dataclasses.dataclass(slots=True)
class _Rollout:
    order: Order
    seen_at: float
    state: hop_messages.RolloutState
    all_new_since: float | None = None
    credit: float = 0.0
    evidence_calls: int = 0
    is_due: bool = False
    reason: str = ''


@dataclasses.dataclass(slots=True)
class _Sum:
    calls: int = 0
    errors: int = 0
    timed: int = 0
    work_ms: float = 0.0

    def add(self, evidence):
        self.calls += evidence.calls
        self.errors += evidence.errors
        self.timed += evidence.timed
        self.work_ms += evidence.work_ms

    @property
    def error_rate(self):
        return self.errors / self.calls if self.calls else 0.0

    @property
    def mean_ms(self):
        return self.work_ms / self.timed if self.timed else 0.0


class Rollouts:
    """The roll-outs that this node knows.

    :param rng: a `random.Random`; spreads the nodes' first trial calls
    """

    def __init__(self, rng):
        self._rng = rng
        self._rollouts = {}
        self._bases = {}
        self._unordered_since = {}

    @property
    def is_any_running(self):
        """Whether evidence is needed."""
        return any(
            rollout.state is State.RUNNING
            for rollout in self._rollouts.values()
        )

    def verdicts(self, now):
        """Return what this node holds of each roll-out, for its reports."""
        return tuple(
            hop_messages.Verdict(
                service=rollout.order.service,
                version=rollout.order.version,
                state=rollout.state,
                duration_ms=int(rollout.order.duration * 1000),
                elapsed_ms=int(max(0.0, now - rollout.seen_at) * 1000),
                order_id=rollout.order.order_id,
                revision=rollout.order.revision,
                stored_state=rollout.order.stored_state,
            )
            for rollout in self._rollouts.values()
        )

    def apply_order(self, order, now):
        """Take an order in as the store holds it; return if it is news."""
        held = self._rollouts.get(order.service)
        if held is not None and held.order.revision >= order.revision:
            return False
        if held is not None and _is_same(held.order, order):
            held.order = order
            return self._raise(held, order.stored_state, 'the store says so')
        self._rollouts[order.service] = _Rollout(
            order,
            now,
            order.stored_state or State.RUNNING,
            credit=self._rng.random(),
        )
        return True

    def apply_verdict(self, verdict, now):
        """Take in what another node holds; return whether it is news.

        Only the store makes a roll-out complete; that a version is bad
        counts from any node.
        """
        order = Order(
            service=verdict.service,
            version=verdict.version,
            duration=verdict.duration_ms / 1000,
            revision=verdict.revision,
            order_id=verdict.order_id,
            stored_state=verdict.stored_state,
        )
        is_news = self.apply_order(order, now - verdict.elapsed_ms / 1000)
        held = self._rollouts[verdict.service]
        if held.order.order_id != verdict.order_id:
            return is_news
        held.seen_at = min(held.seen_at, now - verdict.elapsed_ms / 1000)
        if verdict.state is not State.ROLLED_BACK:
            return is_news
        found = 'another node found it bad'
        return self._raise(held, verdict.state, found) or is_news

    def _raise(self, rollout, state, reason):
        if state is None or state <= rollout.state:
            return False
        rollout.state = state
        rollout.reason = reason
        return True

    def state_of(self, service):
        """Return (order, state) of a service, or None."""
        held = self._rollouts.get(service)
        return (held.order, held.state) if held else None

    def select_peers(self, service, peers, now):
        """Return the peers of the version that the next call goes to.

        :param peers: those that serve the service
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return self._known_versions(service, peers, now)
        version = rollout.order.version
        new = [p for p in peers if p.target.version == version]
        old = [p for p in peers if p.target.version != version]
        match rollout.state:
            case State.COMPLETE:
                return new
            case State.ROLLED_BACK:
                return old
        if not new:
            return old
        rollout.credit += self._share(rollout, now)
        if rollout.credit < 1 and old:
            return old
        rollout.credit = max(0.0, rollout.credit - 1)
        return new

    def _known_versions(self, service, peers, now):
        """Keep from versions that may belong to an order not yet heard."""
        versions = {p.target.version for p in peers}
        base = self._bases.get(service)
        if base is None:
            if len(versions) == 1:
                self._bases[service] = versions
            return peers
        if versions <= base:
            return peers
        for version in versions - base:
            key = (service, version)
            since = self._unordered_since.setdefault(key, now)
            if now - since >= UNORDERED_VERSION_DELAY_S:
                base.add(version)
        return [p for p in peers if p.target.version in base]

    def _share(self, rollout, now):
        """Return the share of the new version at this time."""
        fraction = (now - rollout.seen_at) / max(0.1, rollout.order.duration)
        share = 0.0
        for index, (start, step) in enumerate(SHARE_STEPS):
            if fraction < start:
                break
            if rollout.evidence_calls < index * MIN_CALLS_PER_STEP:
                break
            share = step
        return share

    def evaluate(self, fleet, now, is_first):
        """Judge all roll-outs that run.

        :param fleet: the `fleet.Fleet`
        :param is_first: returns whether this node writes to the store
        :returns: `WriteStatus` actions
        """
        taken = []
        for rollout in self._rollouts.values():
            if rollout.state is State.RUNNING:
                self._judge(rollout, fleet, now)
            due = self._report(rollout, now)
            if due and is_first():
                taken += due
        return taken

    def _report(self, rollout, now):
        state = rollout.state
        if state is State.RUNNING and rollout.is_due:
            state = State.COMPLETE
        if rollout.order.stored_state == state:
            return []
        return [WriteStatus(rollout.order, state, rollout.reason)]

    def _judge(self, rollout, fleet, now):
        new, old = _sum_up(rollout.order, fleet)
        rollout.evidence_calls = sum(s.calls for s in new.values())
        reason = find_fault(new, old)
        if reason:
            self._raise(rollout, State.ROLLED_BACK, reason)
            return
        if self._share(rollout, now) < 1:
            rollout.all_new_since = None
            return
        if rollout.all_new_since is None:
            rollout.all_new_since = now
        fraction = (now - rollout.seen_at) / max(0.1, rollout.order.duration)
        if fraction < MIN_COMPLETE_TIME_RATIO:
            return
        if now - rollout.all_new_since < MIN_FULL_SHARE_S:
            return
        if not _is_old_idle(rollout.order, fleet):
            return
        rollout.is_due = True


def _is_same(held, order):
    """Whether an order is a later revision of one that is held."""
    if held.order_id != order.order_id:
        return False
    # An operator who takes the state away wants the order carried out anew.
    return held.stored_state is None or order.stored_state is not None


def _sum_up(order, fleet):
    """Return the evidence by route, of the new version and the others."""
    new = collections.defaultdict(_Sum)
    old = collections.defaultdict(_Sum)
    for peer in fleet.peers:
        target = peer.target
        if target is None or target.service != order.service:
            continue
        for evidence in peer.report.evidence:
            is_new = evidence.version == order.version
            (new if is_new else old)[evidence.route].add(evidence)
    return new, old


def _is_old_idle(order, fleet):
    """Whether no call runs at a target of the old version any more."""
    for peer in fleet.peers:
        target = peer.target
        if target is None or target.service != order.service:
            continue
        if target.version == order.version:
            continue
        if target.state is messages.TargetState.GONE or not peer.is_linked:
            continue
        if peer.load.running or peer.load.queued or peer.in_flight:
            return False
    return True


def find_fault(new, old):
    """Return why a version is bad, empty if nothing speaks against it.

    :param new: sums of the new version by route
    :param old: sums of the other versions by route
    """
    for route, seen in new.items():
        other = old.get(route) or _Sum()
        if seen.errors >= MIN_ERRORS:
            more = seen.error_rate - other.error_rate
            if more > MAX_EXCESS_ERROR_RATIO:
                return (
                    f'{seen.errors} of {seen.calls} calls failed on {route}, '
                    f'{other.errors} of {other.calls} at other versions'
                )
        if seen.timed < MIN_TIMED_CALLS or other.timed < MIN_TIMED_CALLS:
            continue
        if seen.mean_ms > MAX_LATENCY_RATIO * other.mean_ms:
            return (
                f'{seen.mean_ms:.0f} ms a call on {route}, '
                f'{other.mean_ms:.0f} ms at other versions'
            )
    return ''
