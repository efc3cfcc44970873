"""Load balancing: chooses the target of a version that gets a call.

The health and load of a target are derived from the calls to it. What targets
report of themselves is not used, since it is late or misleading.
"""

import dataclasses

from pumicestand import ranking
from pumicestand import target_states

# Failures in a row after which a target is ejected.
FAILURES_BEFORE_EJECTION = 3
# The first ejection lasts this long; each further one without a successful
# call between them lasts twice as long as the one before.
EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
MAX_EJECTED_SHARE = 0.5
# Mean time for which a target gets no calls after it refused one.
REFUSAL_PAUSE_S = 0.2
SLOW_START_S = 10.0
# Weight of the latest call in the moving average of latencies.
LATENCY_WEIGHT = 0.1
# Share of a local target's slots above which other zones are used as well.
SPILL_OVER_SHARE = 0.8
# Least number of targets that a node uses, if there are as many.
MIN_SUBSET = 3
INITIAL_LATENCY_S = 0.005


@dataclasses.dataclass(slots=True)
class TargetStats:
    """What this node's own calls have shown of a target.

    All times are wall times in seconds.

    :param in_flight: calls sent to it that have not ended
    :param latency_s: moving average of the seconds to the response head
    :param failures: failures in a row since the last success or ejection
    :param ejections: ejections since the last success
    :param paused_until: when it gets calls again after it refused one
    """

    first_seen: float
    in_flight: int = 0
    latency_s: float = INITIAL_LATENCY_S
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    paused_until: float = 0.0


class Balancer:
    """Chooses targets: the less loaded of two random ones, own zone first.

    :param rng: a `random.Random`
    """

    def __init__(self, rng):
        self._rng = rng
        self._stats = {}
        self._pools = {}
        self._pools_state = None

    def stats_of(self, target, now):
        """Return the `TargetStats` of a target, new ones if it is unknown.

        :param target: the `messages.Target`
        :param now: wall time in seconds
        """
        stats = self._stats.get(target.key)
        if stats is None:
            stats = self._stats[target.key] = TargetStats(now)
        return stats

    def pool(self, board, service, version, resources):
        """Return the (zone, target) pairs that this node uses of a version.

        :param board: the node's `blackboard.Blackboard`
        :param service: name of the service
        :param resources: tuple of the resources that each target must have
        """
        # The limits come from the document and the targets from the table, so
        # the pools are valid while neither changes.
        state = (board.table.hash, board.generation_in_force)
        if self._pools_state != state:
            self._pools = {}
            self._pools_state = state
        key = (service, version, resources)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = _find_pool(
                board, service, version, set(resources)
            )
        return pool

    def choose(self, board, now, choice, version, excluded=()):
        """Return a target that may take a call now, or None.

        :param board: the node's `blackboard.Blackboard`
        :param now: wall time in seconds
        :param choice: the `routers.Choice`
        :param version: the version that is to get the call
        :param excluded: keys of targets that were already tried
        """
        pool = self.pool(
            board, choice.service.name, version, choice.route.resources
        )
        usable = [
            (zone, target)
            for zone, target in self._without_ejected(pool, now)
            if target.key not in excluded
        ]
        slots = choice.service.limits.slots
        free = [pair for pair in usable if self._is_free(pair[1], slots, now)]
        if not free:
            return None
        zone = board.identity.zone
        local = [
            target
            for target_zone, target in free
            if target_zone == zone
            and self._is_below_spill_over(target, slots, now)
        ]
        return self._less_loaded(local or [t for _, t in free], now)

    def _without_ejected(self, pool, now):
        """Return the pool without ejected targets.

        Returns the whole pool if more than `MAX_EJECTED_SHARE` of it is
        ejected.
        """
        kept = [
            pair
            for pair in pool
            if self.stats_of(pair[1], now).ejected_until <= now
        ]
        if len(kept) >= len(pool) * (1 - MAX_EJECTED_SHARE):
            return kept
        return pool

    def _is_free(self, target, slots, now):
        """Return whether a target has a free slot and is not paused.

        The lower limit of the document's and the target's own applies.
        """
        stats = self.stats_of(target, now)
        if stats.paused_until > now:
            return False
        return stats.in_flight < min(slots, target.slots)

    def _is_below_spill_over(self, target, slots, now):
        in_flight = self.stats_of(target, now).in_flight
        return in_flight < max(1, min(slots, target.slots) * SPILL_OVER_SHARE)

    def _less_loaded(self, targets, now):
        if len(targets) == 1:
            return targets[0]
        first, second = self._rng.sample(targets, 2)
        if self._load(second, now) < self._load(first, now):
            return second
        return first

    def _load(self, target, now):
        """Return the expected latency of one more call, in seconds.

        A new target counts as up to four times as loaded during slow start.
        """
        stats = self.stats_of(target, now)
        load = (stats.in_flight + 1) * stats.latency_s
        age_s = now - stats.first_seen
        if age_s < SLOW_START_S:
            load *= 1 + 3 * (1 - age_s / SLOW_START_S)
        return load

    def record_start(self, target, now):
        """Record that a call is about to be sent to a target."""
        self.stats_of(target, now).in_flight += 1

    def record_success(self, target, now, latency_s):
        """Record a call to which the target responded.

        :param latency_s: seconds to the response head
        """
        stats = self.stats_of(target, now)
        stats.in_flight -= 1
        stats.failures = 0
        stats.ejections = 0
        stats.latency_s += LATENCY_WEIGHT * (latency_s - stats.latency_s)

    def record_cancellation(self, target, now):
        """Record a call whose end says nothing about the target."""
        self.stats_of(target, now).in_flight -= 1

    def record_refusal(self, target, now):
        """Record a call that the target refused without running it."""
        stats = self.stats_of(target, now)
        stats.in_flight -= 1
        # The random length keeps the nodes from returning at the same time.
        stats.paused_until = now + REFUSAL_PAUSE_S * (0.5 + self._rng.random())

    def record_failure(self, target, now):
        """Record a call that failed.

        :return: whether this ejects the target
        """
        stats = self.stats_of(target, now)
        stats.in_flight -= 1
        stats.failures += 1
        if stats.failures < FAILURES_BEFORE_EJECTION:
            return False
        stats.failures = 0
        ejection_s = min(MAX_EJECTION_S, EJECTION_S * 2**stats.ejections)
        stats.ejections += 1
        stats.ejected_until = now + ejection_s
        return True

    def remove_unknown(self, known):
        """Remove the stats of unknown targets without calls in flight.

        :param known: keys of the targets that are still announced
        """
        self._stats = {
            key: stats
            for key, stats in self._stats.items()
            if key in known or stats.in_flight
        }


class CallOutcome:
    """Reports the outcome of one started call to the balancer.

    Only the first outcome is recorded; later ones are ignored.

    :param balancer: the `Balancer` that recorded the start of the call
    :param target: the `messages.Target` of the call
    :param clock: function that returns wall time in seconds
    """

    def __init__(self, balancer, target, clock):
        self._balancer = balancer
        self._target = target
        self._clock = clock
        self._is_open = True

    def _record(self, record, *arguments):
        if self._is_open:
            self._is_open = False
            record(self._target, self._clock(), *arguments)

    def record_success(self, latency_s):
        """Record that the target responded.

        :param latency_s: seconds to the response head
        """
        self._record(self._balancer.record_success, latency_s)

    def record_refusal(self):
        """Record that the target refused the call without running it."""
        self._record(self._balancer.record_refusal)

    def record_failure(self):
        """Record that the call failed."""
        self._record(self._balancer.record_failure)

    def close(self):
        """Record the call as cancelled if it has no other outcome."""
        self._record(self._balancer.record_cancellation)


def _find_pool(board, service, version, resources):
    """Return this node's subset of a version's targets: (zone, target).

    The connections of a target are limited, so each node of a large fleet
    uses only some of the targets. They are chosen by rendezvous hashing, with
    the targets of the node's own zone first.
    """
    candidates = {}
    node_count = 0
    for member in board.table.reachable():
        node_count += 1
        for target in member.targets:
            if target.service != service or target.version != version:
                continue
            if target.state != target_states.TargetState.SERVING:
                continue
            if resources <= set(target.resources):
                candidates[f'{target.host}:{target.port}'] = (
                    member.zone,
                    target,
                )
    if not candidates:
        return []
    limit = _connection_limit(board, service)
    size = subset_size(candidates.values(), node_count, limit)
    keys = ranking.rank(f'subset/{board.identity.name}', candidates)
    zone = board.identity.zone
    keys.sort(key=lambda key: candidates[key][0] != zone)
    return [candidates[key] for key in keys[:size]]


def _connection_limit(board, service_name):
    """Return the document's limit on a target's connections, or None."""
    if board.in_force is None:
        return None
    service = board.in_force.document.service(service_name)
    return service.limits.connections if service else None


def subset_size(pairs, node_count, limit=None):
    """Return the number of targets that a node may connect to.

    :param pairs: (zone, target) of all targets
    :param node_count: number of nodes that may call them
    :param limit: the document's limit on the connections of one target, or
        None
    """
    pairs = list(pairs)
    connections = sum(
        min(target.connections, limit or target.connections)
        for _, target in pairs
    )
    # Half of the connections stay free for calls from other zones and for
    # the time while subsets change.
    fair_count = int(connections / 2 / max(1, node_count))
    return max(MIN_SUBSET, min(len(pairs), fair_count))
