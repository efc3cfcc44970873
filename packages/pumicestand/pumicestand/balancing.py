"""Balancing: which target of a version takes a call.

Calls themselves show how targets fare; what targets say of their health and
load is not used, since it lags or misleads.
"""

import dataclasses

from pumicestand import messages
from pumicestand import ranking

FAILURES_BEFORE_EJECTION = 3
EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
MAX_EJECTED_PART = 0.5
SHED_PAUSE_S = 0.2
SLOW_START_S = 10.0
LATENCY_WEIGHT = 0.1
SPILL_PART = 0.8
MIN_SUBSET = 3
FIRST_LATENCY_S = 0.005


@dataclasses.dataclass(slots=True)
class TargetStats:
    """What this node's own calls showed of a target.

    :param latency_s: smoothed seconds to the answer's head
    """

    first_seen: float
    in_flight: int = 0
    latency_s: float = FIRST_LATENCY_S
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    paused_until: float = 0.0


class Balancer:
    """Chooses targets: own zone first, the less loaded of two.

    :param rng: a `random.Random`
    """

    def __init__(self, rng):
        self._rng = rng
        self._states = {}
        self._pools = {}
        self._pools_of = None

    def stats_of(self, target, now):
        """Return the `TargetStats` of a target."""
        state = self._states.get(target.key)
        if state is None:
            state = self._states[target.key] = TargetStats(now)
        return state

    def pool(self, board, service, version, resources):
        """Return (zone, target) pairs that serve a version.

        :param resources: what each target must have
        """
        # Limits come from the document, targets from the table.
        state = (board.table.hash, board.generation_in_force)
        if self._pools_of != state:
            self._pools = {}
            self._pools_of = state
        key = (service, version, resources)
        found = self._pools.get(key)
        if found is None:
            found = self._pools[key] = _find_pool(
                board, service, version, set(resources)
            )
        return found

    def choose(self, board, now, choice, version, excluded=()):
        """Return a target that may take a call now, or None.

        :param choice: the `routing.Choice`
        :param excluded: keys of targets that were tried already
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
            for where, target in free
            if where == zone and self._is_below_spill(target, slots, now)
        ]
        return self._less_loaded(local or [t for _, t in free], now)

    def _without_ejected(self, pool, now):
        """Leave out ejected targets, but never more than a part of all."""
        kept = [
            pair
            for pair in pool
            if self.stats_of(pair[1], now).ejected_until <= now
        ]
        if len(kept) >= len(pool) * (1 - MAX_EJECTED_PART):
            return kept
        return pool

    def _is_free(self, target, slots, now):
        """Whether a target has a slot, by the document and by its word."""
        state = self.stats_of(target, now)
        if state.paused_until > now:
            return False
        return state.in_flight < min(slots, target.slots)

    def _is_below_spill(self, target, slots, now):
        in_flight = self.stats_of(target, now).in_flight
        return in_flight < max(1, min(slots, target.slots) * SPILL_PART)

    def _less_loaded(self, targets, now):
        if len(targets) == 1:
            return targets[0]
        first, second = self._rng.sample(targets, 2)
        if self._load(second, now) < self._load(first, now):
            return second
        return first

    def _load(self, target, now):
        """Return the expected wait; a cold target counts as loaded more."""
        state = self.stats_of(target, now)
        load = (state.in_flight + 1) * state.latency_s
        age = now - state.first_seen
        if age < SLOW_START_S:
            load *= 1 + 3 * (1 - age / SLOW_START_S)
        return load

    def record_start(self, target, now):
        """Count a call that is about to be sent."""
        self.stats_of(target, now).in_flight += 1

    def record_success(self, target, now, seconds):
        """Count a call that was answered.

        :param seconds: time to the answer's head
        """
        state = self.stats_of(target, now)
        state.in_flight -= 1
        state.failures = 0
        state.ejections = 0
        state.latency_s += LATENCY_WEIGHT * (seconds - state.latency_s)

    def record_cancellation(self, target, now):
        """Count a call that ended without saying anything of the target."""
        self.stats_of(target, now).in_flight -= 1

    def record_refusal(self, target, now):
        """Count a call that the target refused as not run."""
        state = self.stats_of(target, now)
        state.in_flight -= 1
        state.paused_until = now + SHED_PAUSE_S * (0.5 + self._rng.random())

    def record_failure(self, target, now):
        """Count a call that failed; return whether it is ejected now."""
        state = self.stats_of(target, now)
        state.in_flight -= 1
        state.failures += 1
        if state.failures < FAILURES_BEFORE_EJECTION:
            return False
        state.failures = 0
        seconds = min(MAX_EJECTION_S, EJECTION_S * 2**state.ejections)
        state.ejections += 1
        state.ejected_until = now + seconds
        return True

    def remove_unknown(self, known):
        """Drop the state of targets that are gone and have no call.

        :param known: keys of the targets that are still announced
        """
        self._states = {
            key: state
            for key, state in self._states.items()
            if key in known or state.in_flight
        }


class CallOutcome:
    """Makes sure that a call which was begun is counted as ended once.

    :param balancer: a `Balancer`
    :param clock: returns seconds
    """

    def __init__(self, balancer, target, clock):
        self._balancer = balancer
        self._target = target
        self._clock = clock
        self._is_open = True

    def _end(self, count, *arguments):
        if self._is_open:
            self._is_open = False
            count(self._target, self._clock(), *arguments)

    def record_success(self, seconds):
        """Count an answer; see `Balancer.record_success`."""
        self._end(self._balancer.record_success, seconds)

    def record_refusal(self):
        """Count a refusal of the target; see `Balancer.record_refusal`."""
        self._end(self._balancer.record_refusal)

    def record_failure(self):
        """Count a failure; see `Balancer.record_failure`."""
        self._end(self._balancer.record_failure)

    def close(self):
        """Count the call as cancelled if nothing else was said of it."""
        self._end(self._balancer.record_cancellation)


def _find_pool(board, service, version, resources):
    """Return this node's subset of a version's targets.

    A target takes only so many connections, so each node of a large fleet
    uses some targets only: its own zone's first, by rendezvous.
    """
    found = {}
    callers = 0
    for member in board.table.reachable():
        callers += 1
        for target in member.targets:
            if target.service != service or target.version != version:
                continue
            if target.state != messages.TargetState.SERVING:
                continue
            if resources <= set(target.resources):
                found[f'{target.host}:{target.port}'] = (member.zone, target)
    if not found:
        return []
    limit = _connection_limit(board, service)
    size = subset_size(found.values(), callers, limit)
    names = ranking.rank(f'subset/{board.identity.name}', found)
    zone = board.identity.zone
    names.sort(key=lambda name: found[name][0] != zone)
    return [found[name] for name in names[:size]]


def _connection_limit(board, service_name):
    """Return the document's bound on a target's connections, or None."""
    if board.in_force is None:
        return None
    service = board.in_force.document.service(service_name)
    return service.limits.connections if service else None


def subset_size(pairs, callers, limit=None):
    """Return how many targets a node may keep connections to.

    :param pairs: (zone, target) of all targets
    :param callers: nodes that may call them
    :param limit: the document's bound on the connections of one target
    """
    pairs = list(pairs)
    connections = sum(
        min(target.connections, limit or target.connections)
        for _, target in pairs
    )
    # Half stays free for nodes that spill over and for rebalancing.
    fair = int(connections / 2 / max(1, callers))
    return max(MIN_SUBSET, min(len(pairs), fair))
