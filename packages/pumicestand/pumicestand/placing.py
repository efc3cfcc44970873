"""Choice of the peer that runs a call: the one where it costs least.

The cost of a call is the expected number of late responses plus the cost of
its traffic between availability zones, in the same unit. A response that
arrives well within the latency objective gains nothing by arriving sooner, so
the cost of time is a power of its ratio to the objective, which is small
until half of the objective is used. Traffic between zones costs money in
proportion to its bytes. Bodies take time on the links of both VMs, whose
rates differ.
"""

import dataclasses
import math

from pumicestand import body_transfers
from pumicestand import link_meter

# Exponent of the ratio of time to objective. Since the times of calls vary,
# one response in five is late when 0.6 of the objective is expected.
LATENESS_EXPONENT = 4
# Round-trip time to another availability zone.
CROSS_ZONE_RTT_MS = 3.0
# Assumed work of a call before any has been observed.
DEFAULT_WORK_MS = 50.0
# Relative increase of work at a target whose slots are all in use.
FULL_LOAD_SLOWDOWN_RATIO = 0.5
# Higher utilisation counts as this one; the wait tends to infinity at 1.
MAX_UTILISATION = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class PlacingPolicy:
    """How peers are compared; the defaults are what nodes use.

    :param jitter_share: share by which the cost of time varies at random
        between equal choices, so that nodes with the same reports do not all
        choose the same target
    :param cross_zone_cost_per_kb: cost of a kilobyte sent to another
        availability zone, in late responses; where this traffic is expensive,
        10 to 20 KB cost as much as one
    :param failure_penalty_ratio: relative increase of the expected time of a
        call at a target whose responses are all failures
    :param uses_slowness: whether the slowness of targets counts
    :param forgets_reports: whether a report counts less the older it is
    """

    jitter_share: float = 0.25
    cross_zone_cost_per_kb: float = 0.06
    failure_penalty_ratio: float = 8.0
    uses_slowness: bool = True
    forgets_reports: bool = True


DEFAULT_POLICY = PlacingPolicy()


def expected_latency_ms(peer, work_ms, now, policy=DEFAULT_POLICY):
    """Return how long a call sent to a peer now is expected to take.

    The last reported number of calls at the target is valid for about as
    long as a call runs. After that the estimate tends to the mean number of
    calls there, and a slot may or may not be free.

    :param work_ms: mean time of calls of its route at all targets, in
        milliseconds; 0 if it is not known
    :param now: monotonic seconds
    :param policy: `PlacingPolicy`
    """
    load = peer.load
    # The calls that wait there are of all routes, the call itself is of one.
    mean_work_ms = load.work_ms or DEFAULT_WORK_MS
    age_s = now - peer.load_received_at if policy.forgets_reports else 0.0
    report_weight = math.exp(-max(0.0, age_s) * 1000 / mean_work_ms)
    reported_calls = load.running + load.queued
    calls = (
        peer.mean_calls
        + (reported_calls - peer.mean_calls) * report_weight
        + peer.sent_since_load
    )
    excess_calls = max(0.0, calls + 1 - load.slots)
    utilisation = min(1.0, calls / load.slots)
    completions = excess_calls + (1 - report_weight) * completions_awaited(
        load.slots, calls
    )
    slowness = load.slowness if policy.uses_slowness else 1.0
    own_work_ms = (work_ms or DEFAULT_WORK_MS) * slowness
    latency_ms = (
        own_work_ms * (1 + FULL_LOAD_SLOWDOWN_RATIO * utilisation)
        + completions * mean_work_ms / load.slots
    )
    return latency_ms * (1 + policy.failure_penalty_ratio * load.failure_ratio)


def completions_awaited(slots, calls):
    """Return the mean number of completed calls that a new call waits for.

    This is Sakasegawa's approximation for calls that arrive at random.

    :param calls: mean number of calls at the target

    >>> round(completions_awaited(13, 6.5), 2)
    0.1
    >>> round(completions_awaited(13, 12.0), 1)
    9.2
    """
    utilisation = min(MAX_UTILISATION, calls / slots)
    return utilisation ** (math.sqrt(2 * (slots + 1)) - 1) / (1 - utilisation)


@dataclasses.dataclass(frozen=True, slots=True)
class CallRequirements:
    """The expected time and size of a call, and its objective.

    :param work_ms: mean time of calls of its route at all targets, in
        milliseconds; 0 if it is not known
    :param objective_ms: latency objective in milliseconds
    :param kilobytes: size of the request and its response
    """

    work_ms: float
    objective_ms: float
    kilobytes: float


def _transfer_ms(peer, kilobytes):
    """Return the time until the bytes of a call have reached a peer.

    Small calls share the peer's link with all others; large bodies also wait
    until the peer asks for them.
    """
    rate = peer.report.link_rate
    shared_ms = link_meter.transfer_ms(
        kilobytes, rate, peer.load.link_utilisation
    )
    if not body_transfers.is_scheduled(kilobytes * 1000, rate):
        return shared_ms
    waiting_ms = peer.load.body_delay_ms
    waiting_ms += link_meter.unshared_transfer_ms(kilobytes, rate)
    return max(shared_ms, waiting_ms)


class PeerSelector:
    """Chooses peers for calls.

    :param rng: a `random.Random`
    :param own_name: name of this node
    :param zone: availability zone of this node
    :param policy: `PlacingPolicy`
    """

    def __init__(self, rng, own_name, zone, policy=DEFAULT_POLICY):
        self._policy = policy
        self._rng = rng
        self._own_name = own_name
        self._zone = zone

    def choose(self, candidates, excluded, now, requirements):
        """Return the peer with the lowest cost, or None if there is none.

        Peers that are avoided after a failure are chosen only if there are
        no others.

        :param candidates: the `fleet.Peer`s that serve the service
        :param excluded: names of peers that have been tried already
        :param now: monotonic seconds
        :param requirements: the call's `CallRequirements`
        """
        untried = [p for p in candidates if p.name not in excluded]
        preferred = [p for p in untried if p.avoided_until <= now]
        best, best_cost = None, float('inf')
        for peer in preferred or untried:
            cost = self._cost(peer, requirements, now)
            if cost < best_cost:
                best, best_cost = peer, cost
        return best

    def _cost(self, peer, requirements, now):
        """Return the cost of a call at a peer, in late responses."""
        policy = self._policy
        latency_ms = expected_latency_ms(
            peer, requirements.work_ms, now, policy
        )
        if peer.name != self._own_name:
            latency_ms += _transfer_ms(peer, requirements.kilobytes)
        traffic_cost = 0.0
        if peer.report.zone != self._zone:
            latency_ms += CROSS_ZONE_RTT_MS
            traffic_cost = (
                policy.cross_zone_cost_per_kb * requirements.kilobytes
            )
        objective_ratio = latency_ms / max(1.0, requirements.objective_ms)
        jitter = 1 + policy.jitter_share * self._rng.random()
        return objective_ratio**LATENESS_EXPONENT * jitter + traffic_cost
