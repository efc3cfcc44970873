"""Plans from which node, and when, a newer configuration is fetched.

All nodes announce a new generation within milliseconds. Each node fetches it
from one other node. A node of another availability zone is asked only by the
zone fetcher, the first-ranked node of its zone, and by the other nodes if no
node of their own zone gets the generation.
"""

import dataclasses

# Time after which another node is asked if no answer has come, in seconds.
# A configuration of some 20 KB takes a tenth of it on the slowest links.
ANSWER_TIMEOUT_S = 0.4
# Time in which the zone fetcher gets a generation and announces it to the
# nodes of its zone, in seconds.
OWN_ZONE_WAIT_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class _Source:
    zone: str
    generation: int


class FetchPlanner:
    """Chooses the node to fetch a configuration from.

    It tracks the generations that other nodes have and the pending request.

    :param zone: the availability zone of this node
    :param rng: a `random.Random`
    """

    def __init__(self, zone, rng):
        self._zone = zone
        self._rng = rng
        self._sources = {}
        self._newer_since = None
        self._requested = None
        self._requested_at = 0.0
        self._unresponsive = set()

    def record_generation(self, name, zone, generation):
        """Record which generation a node has."""
        self._sources[name] = _Source(zone, generation)

    def remove_source(self, name):
        """Remove a node that is gone or whose configuration is unusable."""
        self._sources.pop(name, None)
        self.record_answer(name)

    def record_answer(self, name):
        """Record that a node has answered, so that another may be asked."""
        self._unresponsive.discard(name)
        if self._requested == name:
            self._requested = None

    def next_source(self, generation, is_zone_fetcher, now):
        """Return the name of the node to ask now, None if there is none.

        :param generation: the generation that this node has
        :param is_zone_fetcher: returns whether this node is its zone's
            fetcher
        :param now: monotonic seconds
        """
        newer = {
            name: source
            for name, source in self._sources.items()
            if source.generation > generation
        }
        if not newer:
            self._newer_since = None
            self._unresponsive.clear()
            return None
        if self._newer_since is None:
            self._newer_since = now
        if (
            self._requested is not None
            and now - self._requested_at < ANSWER_TIMEOUT_S
        ):
            return None
        if self._requested is not None:
            self._unresponsive.add(self._requested)
        if self._unresponsive >= newer.keys():
            self._unresponsive.clear()
        name = self._choose(newer, is_zone_fetcher, now)
        self._requested, self._requested_at = name, now
        return name

    def _choose(self, newer, is_zone_fetcher, now):
        own_zone = [
            name
            for name, source in newer.items()
            if source.zone == self._zone and name not in self._unresponsive
        ]
        is_wait_over = now - self._newer_since >= OWN_ZONE_WAIT_S
        if not own_zone and not is_wait_over and not is_zone_fetcher():
            return None
        names = own_zone or [
            name for name in newer if name not in self._unresponsive
        ]
        return self._rng.choice(names)
