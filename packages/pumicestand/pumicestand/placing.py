"""Which node gets a call: the one where it costs its caller least.

A call that is answered well within its objective gains nothing by being
answered sooner, so time weighs by a power of its ratio to the objective that
is small until half of that is used. Bytes between availability zones cost
money; they weigh by their number. Bodies take their time on the links of
both VMs, and links differ.
"""

import dataclasses
import math

from pumicestand import link_meter

# Factor by which the weight of time varies between equal choices, so that
# nodes with the same news do not all choose the same target.
SPREAD = 0.25
# The power: at 0.6 of the objective one answer in five is late, as the times
# of calls spread.
TIME_POWER = 4
# What a kilobyte to another availability zone weighs, in answers that come
# too late: where these bytes are dear, 10 to 20 KB cost as much as one.
ZONE_WEIGHT_PER_KB = 0.06
# Delay of a link to another availability zone, there and back, in ms.
ZONE_DELAY_MS = 3.0
# How much longer a call takes at a target that fails all its answers.
FAILURE_FACTOR = 8.0
# Typical time of a call while none has been answered, in ms.
UNKNOWN_WORK_MS = 50.0
# How much longer work takes at a target whose slots are all taken.
BUSY_FACTOR = 0.5
# The share of slots in use beyond which a target counts as no busier.
MAX_BUSY = 0.95


def expected_latency_ms(peer, work_ms, now):
    """Return how long a call sent to a peer now is expected to take.

    What was heard of a target's calls holds for about as long as a call
    runs; later the number tends to what is usual there, and a slot may be
    free or not.

    :param work_ms: how long calls of its route take everywhere, 0 if that
        is not known
    :param now: monotonic seconds
    """
    load = peer.load
    # What waits there is of all routes, the call itself of one.
    mixed = load.work_ms or UNKNOWN_WORK_MS
    trust = math.exp(-max(0.0, now - peer.load_received_at) * 1000 / mixed)
    heard = load.running + load.queued
    there = (
        peer.mean_calls
        + (heard - peer.mean_calls) * trust
        + peer.sent_since_load
    )
    excess = max(0.0, there + 1 - load.slots)
    busy = min(1.0, there / load.slots)
    turns = excess + (1 - trust) * completions_awaited(load.slots, there)
    work = (work_ms or UNKNOWN_WORK_MS) * load.slowness
    expected = work * (1 + BUSY_FACTOR * busy) + turns * mixed / load.slots
    return expected * (1 + FAILURE_FACTOR * load.failure_ratio)


def completions_awaited(slots, there):
    """Return how many ends of calls a new call waits for, on average.

    Sakasegawa's formula for calls that arrive at random.

    >>> round(completions_awaited(13, 6.5), 2)
    0.1
    >>> round(completions_awaited(13, 12.0), 1)
    9.2
    """
    busy = min(MAX_BUSY, there / slots)
    return busy ** (math.sqrt(2 * (slots + 1)) - 1) / (1 - busy)


@dataclasses.dataclass(frozen=True, slots=True)
class CallRequirements:
    """What a call needs, as expected.

    :param work_ms: how long calls of its route take everywhere, 0 if that
        is not known
    :param objective_ms: within which the answer is wanted
    :param kilobytes: of the request and its answer
    """

    work_ms: float
    objective_ms: float
    kilobytes: float


class PeerSelector:
    """Chooses peers for calls.

    :param rng: a `random.Random`
    :param own_name: of this node
    :param zone: the availability zone of this node
    """

    def __init__(self, rng, own_name, zone):
        self._rng = rng
        self._own_name = own_name
        self._zone = zone

    def choose(self, candidates, excluded, now, need):
        """Return the best peer, or None if there is none.

        :param candidates: the peers that serve
        :param excluded: names of peers that were tried already
        :param need: the call's `CallRequirements`
        """
        open_ = [p for p in candidates if p.name not in excluded]
        calm = [p for p in open_ if p.avoided_until <= now]
        best, best_cost = None, float('inf')
        for peer in calm or open_:
            cost = self._cost(peer, need, now)
            if cost < best_cost:
                best, best_cost = peer, cost
        return best

    def _cost(self, peer, need, now):
        """Return what a call costs at a peer, in late answers."""
        expected = expected_latency_ms(peer, need.work_ms, now)
        if peer.name != self._own_name:
            expected += link_meter.transfer_ms(
                need.kilobytes, peer.report.link_rate, peer.load.link_busy
            )
        weight = 0.0
        if peer.report.zone != self._zone:
            expected += ZONE_DELAY_MS
            weight = ZONE_WEIGHT_PER_KB * need.kilobytes
        late = expected / max(1.0, need.objective_ms)
        noise = 1 + SPREAD * self._rng.random()
        return late**TIME_POWER * noise + weight
