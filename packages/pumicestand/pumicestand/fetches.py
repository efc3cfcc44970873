"""Whom a node asks for a newer configuration, and when.

All nodes tell of a new generation within milliseconds. Each asks one of
them for it; a node of another availability zone is asked by the first of
each zone, and by the others only if their own zone stays without it.
"""

import dataclasses

# Time after which another node is asked if no answer has come, in seconds:
# some 20 KB take a tenth of that on the narrowest links.
ANSWER_TIMEOUT_S = 0.4
# Time in which the first of a zone has it and tells the others, in seconds.
OWN_ZONE_WAIT_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class _Source:
    zone: str
    generation: int


class FetchPlanner:
    """What the others have, and what was asked for.

    :param zone: the availability zone of this node
    :param rng: a `random.Random`
    """

    def __init__(self, zone, rng):
        self._zone = zone
        self._rng = rng
        self._sources = {}
        self._wanted_since = None
        self._asked = None
        self._asked_at = 0.0
        self._silent = set()

    def record_generation(self, name, zone, generation):
        """Note which generation a node has."""
        self._sources[name] = _Source(zone, generation)

    def remove_source(self, name):
        """Note that a node is gone or that its configuration is useless."""
        self._sources.pop(name, None)
        self.record_answer(name)

    def record_answer(self, name):
        """Note that a node has answered; another may be asked."""
        self._silent.discard(name)
        if self._asked == name:
            self._asked = None

    def next_source(self, held, is_first, now):
        """Return the name of the node to ask now, or None.

        :param held: the generation that this node has
        :param is_first: returns whether this node asks for its zone
        """
        newer = {
            name: source
            for name, source in self._sources.items()
            if source.generation > held
        }
        if not newer:
            self._wanted_since = None
            self._silent.clear()
            return None
        if self._wanted_since is None:
            self._wanted_since = now
        if self._asked is not None and now - self._asked_at < ANSWER_TIMEOUT_S:
            return None
        if self._asked is not None:
            self._silent.add(self._asked)
        if self._silent >= newer.keys():
            self._silent.clear()
        name = self._choose(newer, is_first, now)
        self._asked, self._asked_at = name, now
        return name

    def _choose(self, newer, is_first, now):
        near = [
            name
            for name, source in newer.items()
            if source.zone == self._zone and name not in self._silent
        ]
        has_waited = now - self._wanted_since >= OWN_ZONE_WAIT_S
        if not near and not has_waited and not is_first():
            return None
        names = near or [name for name in newer if name not in self._silent]
        return self._rng.choice(names)
