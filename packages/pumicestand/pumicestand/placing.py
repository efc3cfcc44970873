"""Which node gets a call: the one where it is expected to finish first."""

# Factor by which the expected time varies between equal choices, so that
# nodes with the same news do not all choose the same target.
SPREAD = 0.2
# Time that another availability zone costs, in milliseconds: the link's
# delay there and back, and a weight for the price of bytes between zones.
OTHER_ZONE_MS = 6.0
# How much longer a call takes at a target that fails all its answers.
FAILURE_FACTOR = 8.0
# Typical time of a call while a target has not run any.
UNKNOWN_WORK_MS = 50.0


def expected_ms(peer, zone):
    """Return how long a call sent to a peer now is expected to take."""
    load = peer.load
    work = load.work_ms or UNKNOWN_WORK_MS
    there = load.running + load.queued + peer.sent_since
    excess = max(0, there + 1 - load.slots)
    # A target slows down as it fills, before a call has to wait.
    busy = min(1.0, there / load.slots)
    cost = work * (1 + 0.5 * busy) + excess * work / load.slots
    cost *= 1 + FAILURE_FACTOR * load.failing
    if peer.report.zone != zone:
        cost += OTHER_ZONE_MS
    return cost


class Placement:
    """Chooses peers for calls.

    :param rng: a `random.Random`
    :param zone: the availability zone of this node
    """

    def __init__(self, rng, zone):
        self._rng = rng
        self._zone = zone

    def choose(self, candidates, excluded, now):
        """Return the best peer, or None if there is none.

        :param candidates: the peers that serve
        :param excluded: names of peers that were tried already
        """
        open_ = [p for p in candidates if p.name not in excluded]
        calm = [p for p in open_ if p.avoided_until <= now]
        best, best_cost = None, float('inf')
        for peer in calm or open_:
            noise = 1 + SPREAD * self._rng.random()
            cost = expected_ms(peer, self._zone) * noise
            if cost < best_cost:
                best, best_cost = peer, cost
        return best
