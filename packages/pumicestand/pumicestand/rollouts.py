"""Roll-outs: the traffic share of a new version, and when to roll it back.

A roll-out lasts seconds. The share of the new version follows from the time
since the order, so all nodes agree on it without a leader. The nodes beside
the targets count calls, errors and latencies as evidence and send it with
their reports. Every node evaluates the evidence on its own. A node that
finds a version bad, or is told so by another node, stops sending calls to
it at once. Only the step to `COMPLETE` is taken by one node: the designated
writer writes it to the store with a conditional write, and all nodes act on
the state that the store holds.
"""

import collections
import dataclasses

from pumicestand import hop_messages
from pumicestand import regressions
from pumicestand import stored_objects
from pumicestand import target_states
from pumicestand import zone_summaries

State = hop_messages.RolloutState

# Steps of the new version's share of calls: (fraction of the order's
# duration from which the step applies, share). Less than a tenth of all
# calls go to a bad version, provided that a few hundred calls suffice to
# detect it.
SHARE_STEPS = ((0.0, 0.05), (0.4, 0.2), (0.55, 0.5), (0.68, 1.0))
# Fraction of the order's duration before which a roll-out is not completed.
MIN_COMPLETE_TIME_RATIO = 0.78
# Time for which all calls must have gone to the new version before the
# roll-out is completed, in seconds.
MIN_FULL_SHARE_S = 1.0
# Calls of the new version that each step needs before the next one.
MIN_CALLS_PER_STEP = 12
# Time after which a version that no order names gets calls, in seconds.
# Until then its order may still be on its way to this node.
UNORDERED_VERSION_DELAY_S = 4.0
# Longest time that is reported, in 32 bits of milliseconds: 46 days.
MAX_REPORTED_S = 4_000_000.0


# The order in which a roll-out takes its states; none is left again.
_ORDER = {State.RUNNING: 0, State.ROLLED_BACK: 1, State.COMPLETE: 2}


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An operator's order to move a service to another version.

    :param duration: time that the roll-out may take, in seconds
    :param revision: revision of the store's object, which a status write
        is conditional on
    :param order_id: identifier that is the same for all revisions of an
        order
    :param stored_state: state that the store holds, None if it holds none
    :param era: era of the store that the revision belongs to
    """

    service: str
    version: str
    duration: float
    revision: int
    order_id: int
    stored_state: hop_messages.RolloutState | None = None
    era: int = 0

    @property
    def position(self):
        """The `stored_objects.Position` of the store's object."""
        return stored_objects.Position(self.era, self.revision)

    @property
    def content(self):
        """What the operator wrote: the same in each era of the store."""
        return (self.service, self.version, self.duration)


@dataclasses.dataclass(frozen=True, slots=True)
class WriteStatus:
    """Write a roll-out's state if the order's revision is unchanged."""

    order: Order
    state: hop_messages.RolloutState
    reason: str


@dataclasses.dataclass(slots=True)
class _Rollout:
    """The state of one roll-out at this node; times in monotonic seconds.

    :param first_seen_at: time at which a node first learned of the order
    :param full_share_since: time since which all calls go to the new version,
        None if they do not
    :param credit: calls that the new version is still to get for its share
    :param evidence_calls: calls counted as evidence on the new version
    :param evidence: the evidence so far, by time
    :param is_completion_due: whether the state to write is `COMPLETE`
    :param reason: why the state was changed
    """

    order: Order
    first_seen_at: float
    state: hop_messages.RolloutState
    full_share_since: float | None = None
    credit: float = 0.0
    evidence_calls: int = 0
    evidence: regressions.EvidenceHistory = dataclasses.field(
        default_factory=regressions.EvidenceHistory
    )
    is_completion_due: bool = False
    reason: str = ''


class Rollouts:
    """The roll-outs that this node knows, one for each service.

    :param rng: a `random.Random`; staggers the nodes' first calls to a new
        version
    """

    def __init__(self, rng):
        self._rng = rng
        self._rollouts = {}
        self._known_versions = {}
        self._unordered_since = {}
        # Content of an order to the roll-out that a later order replaced.
        self._replaced = {}
        # Service to the position of a replaced order in the store's copy.
        self._copied = {}

    @property
    def has_running(self):
        """Whether any roll-out is running, so that evidence is needed."""
        return bool(self.running_services)

    @property
    def running_services(self):
        """Names of the services whose roll-out is running."""
        return [
            service
            for service, rollout in self._rollouts.items()
            if rollout.state is State.RUNNING
        ]

    def verdicts(self, now):
        """Return a `hop_messages.Verdict` of each roll-out, for reports.

        :param now: monotonic seconds
        """
        return tuple(
            hop_messages.Verdict(
                service=rollout.order.service,
                version=rollout.order.version,
                state=rollout.state,
                duration_ms=_to_ms(rollout.order.duration),
                elapsed_ms=_to_ms(now - rollout.first_seen_at),
                order_id=rollout.order.order_id,
                revision=rollout.order.revision,
                stored_state=rollout.order.stored_state,
                era=rollout.order.era,
            )
            for rollout in self._rollouts.values()
        )

    def apply_order(self, order, now):
        """Apply an order read from the store.

        :returns: whether the order or its state is new to this node
        """
        known = self._rollouts.get(order.service)
        if known is not None and known.order.position >= order.position:
            return False
        if known is not None and _is_revision_of(known.order, order):
            known.order = order
            return self._advance(
                known, order.stored_state, 'state read from the store'
            )
        if known is not None and order.era > known.order.era:
            return self._apply_order_of_new_era(known, order, now)
        self._replace(known, order, now)
        return True

    def _replace(self, known, order, now):
        """Put an order into the place of a known one, if there is one."""
        if known is not None:
            self._replaced[known.order.content] = known
        self._copied.pop(order.service, None)
        self._rollouts[order.service] = _Rollout(
            order,
            now,
            order.stored_state or State.RUNNING,
            credit=self._rng.random(),
        )

    def _apply_order_of_new_era(self, known, order, now):
        """Apply another order than the known one that a copy may hold.

        The copy may be older than the known order. The operator then writes
        that one again, and until then it stays in force. An order that was
        known before goes on in the state that it had.
        """
        earlier = self._replaced.get(order.content)
        if earlier is None:
            self._replace(known, order, now)
            return True
        copied = self._copied.setdefault(order.service, order.position)
        if order.position <= copied:
            return False
        del self._copied[order.service]
        self._replaced[known.order.content] = known
        earlier.order = order
        self._rollouts[order.service] = earlier
        self._advance(earlier, order.stored_state, 'state read from the store')
        return True

    def apply_verdict(self, verdict, now):
        """Apply a verdict that another node reported.

        A roll-out becomes complete only through the store, but is rolled
        back on the word of any node.

        :returns: whether the order or its state is new to this node
        """
        order = Order(
            service=verdict.service,
            version=verdict.version,
            duration=verdict.duration_ms / 1000,
            revision=verdict.revision,
            order_id=verdict.order_id,
            stored_state=verdict.stored_state,
            era=verdict.era,
        )
        is_new = self.apply_order(order, now - verdict.elapsed_ms / 1000)
        known = self._rollouts[verdict.service]
        if known.order.order_id != verdict.order_id:
            return is_new
        known.first_seen_at = min(
            known.first_seen_at, now - verdict.elapsed_ms / 1000
        )
        if verdict.state is not State.ROLLED_BACK:
            return is_new
        reason = 'another node found it bad'
        return self._advance(known, verdict.state, reason) or is_new

    def _advance(self, rollout, state, reason):
        """Move a roll-out to a later state; return whether it was earlier.

        Only the store makes a roll-out complete, and the targets of the other
        versions then stop: it can't be rolled back any more.
        """
        if state is None or _ORDER[state] <= _ORDER[rollout.state]:
            return False
        rollout.state = state
        rollout.reason = reason
        return True

    def order_and_state(self, service):
        """Return (order, state) of a service, None if it has no order."""
        known = self._rollouts.get(service)
        return (known.order, known.state) if known else None

    def select_peers(self, service, peers, now):
        """Return the peers among which the next call is placed.

        If the service has an order, they are either those of the new
        version or all others.

        :param peers: the peers that serve the service
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return self._exclude_unordered(service, peers, now)
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

    def _exclude_unordered(self, service, peers, now):
        """Exclude new versions whose order may not have arrived here yet."""
        versions = {p.target.version for p in peers}
        known = self._known_versions.get(service)
        if known is None:
            if len(versions) == 1:
                self._known_versions[service] = versions
            return peers
        if versions <= known:
            return peers
        for version in versions - known:
            key = (service, version)
            since = self._unordered_since.setdefault(key, now)
            if now - since >= UNORDERED_VERSION_DELAY_S:
                known.add(version)
        return [p for p in peers if p.target.version in known]

    def _share(self, rollout, now):
        """Return the share of calls that the new version gets now."""
        fraction = (now - rollout.first_seen_at) / max(
            0.1, rollout.order.duration
        )
        share = 0.0
        for index, (start, step_share) in enumerate(SHARE_STEPS):
            if fraction < start:
                break
            if rollout.evidence_calls < index * MIN_CALLS_PER_STEP:
                break
            share = step_share
        return share

    def evaluate(self, fleet, now, is_designated_writer):
        """Evaluate all roll-outs that are running.

        :param fleet: the `fleet.Fleet`
        :param is_designated_writer: returns whether this node writes to the
            store
        :returns: `WriteStatus` actions
        """
        actions = []
        for rollout in self._rollouts.values():
            if rollout.state is State.RUNNING:
                self._evaluate_running(rollout, fleet, now)
            pending = self._pending_writes(rollout, now)
            if pending and is_designated_writer():
                actions += pending
        return actions

    def _pending_writes(self, rollout, now):
        """Return the actions that bring the stored state up to date."""
        state = rollout.state
        if state is State.RUNNING and rollout.is_completion_due:
            state = State.COMPLETE
        if rollout.order.stored_state == state:
            return []
        return [WriteStatus(rollout.order, state, rollout.reason)]

    def _evaluate_running(self, rollout, fleet, now):
        """Roll a bad version back; determine when a good one is complete."""
        new, old, by_source = _sum_up(rollout.order, fleet, now)
        rollout.evidence_calls = sum(s.calls for s in new.values())
        reason = rollout.evidence.find_regression(new, old, now, by_source)
        if reason:
            self._advance(rollout, State.ROLLED_BACK, reason)
            return
        if self._share(rollout, now) < 1:
            rollout.full_share_since = None
            return
        if rollout.full_share_since is None:
            rollout.full_share_since = now
        fraction = (now - rollout.first_seen_at) / max(
            0.1, rollout.order.duration
        )
        if fraction < MIN_COMPLETE_TIME_RATIO:
            return
        if now - rollout.full_share_since < MIN_FULL_SHARE_S:
            return
        if not _are_old_targets_idle(rollout.order, fleet, now):
            return
        rollout.is_completion_due = True


def _to_ms(seconds):
    """Return a time in milliseconds, at most what a message holds."""
    return int(min(MAX_REPORTED_S, max(0.0, seconds)) * 1000)


def _is_revision_of(known, order):
    """Whether an order is a later revision of a known one.

    In a later era of the store the copy may lack the object or its state, and
    the operator writes it again.
    """
    if order.era > known.era:
        return known.content == order.content
    if known.order_id != order.order_id:
        return False
    # An operator who removes the state wants the order to be run again.
    return known.stored_state is None or order.stored_state is not None


def _sum_up(order, fleet, now):
    """Return the evidence of the new and of the other versions by route.

    The nodes of this zone report it directly, a collector that of each other
    zone.

    :returns: `zone_summaries.EvidenceSum` of the new and of the other versions
        by route, and of the new one by (route, node or zone)
    """
    new = collections.defaultdict(zone_summaries.EvidenceSum)
    old = collections.defaultdict(zone_summaries.EvidenceSum)
    by_source = collections.defaultdict(zone_summaries.EvidenceSum)
    for peer in fleet.peers:
        target = peer.target
        if target is None or target.service != order.service:
            continue
        for evidence in peer.report.evidence:
            is_new = evidence.version == order.version
            (new if is_new else old)[evidence.route].add(evidence)
            if is_new:
                by_source[(evidence.route, peer.name)].add(evidence)
    for summary in fleet.summaries(order.service, now):
        for evidence in summary.evidence:
            is_new = evidence.version == order.version
            (new if is_new else old)[evidence.route].add(evidence)
            if is_new:
                by_source[(evidence.route, summary.zone)].add(evidence)
    return new, old, by_source


def _are_old_targets_idle(order, fleet, now):
    """Whether no call is left at the targets of the other versions."""
    summaries = fleet.summaries(order.service, now)
    for summary in summaries:
        for busy in summary.busy:
            if busy.version != order.version and busy.calls:
                return False
    summarised_zones = {summary.zone for summary in summaries}
    for peer in fleet.peers:
        target = peer.target
        if target is None or target.service != order.service:
            continue
        if peer.zone in summarised_zones:
            continue
        if target.version == order.version:
            continue
        if (
            target.state is target_states.TargetState.GONE
            or not peer.is_linked
        ):
            continue
        if peer.load.running or peer.load.queued or peer.in_flight:
            return False
    return True
