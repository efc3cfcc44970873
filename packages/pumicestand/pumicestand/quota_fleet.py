"""The size of the fleet and the choice of the coordinators of the quotas.

Each organisation belongs to one of 64 slots. The slots are spread over the
coordinators, and a node delegates its share of the quotas by slots.
"""

import collections
import dataclasses
import hashlib
import math
import zlib

from pumicestand import zone_roles

SLOT_COUNT = 64
# Nodes for which there is one coordinator.
NODES_PER_COORDINATOR = 100
# Time after which a node that can't be reached is no coordinator, in seconds.
REPLACE_AFTER_S = 2.0
# Nodes that vanish without having said that they leave may be cut off and use
# their own shares. This share of them may be removed from the count; of a
# small loss the other nodes use the shares, of a large one nobody does.
MAX_LOST_SHARE = 0.03
# Time for which nodes that have vanished are counted, in seconds.
RETAIN_LOST_S = 600.0


def slot_of(organisation):
    """Return the slot of an organisation.

    :param organisation: its name

    >>> 0 <= slot_of('north') < SLOT_COUNT
    True
    """
    return zlib.crc32(organisation.encode()) % SLOT_COUNT


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaFleet:
    """The fleet as far as the quotas need it.

    :param node_count: nodes that share the quotas
    :param coordinators: names of the coordinators; slot `n` belongs to the
        one at index `n` modulo their number
    """

    node_count: int
    coordinators: tuple[str, ...]

    def coordinator_of(self, slot):
        """Return the name of the coordinator of a slot."""
        return self.coordinators[slot % len(self.coordinators)]


class QuotaFleetObserver:
    """Counts the nodes and ranks them as coordinators.

    :param own_name: name of this node
    """

    def __init__(self, own_name):
        self._own_name = own_name
        self._weights = collections.defaultdict(dict)
        self._counted = set()
        # Name of a node that has vanished to the time at which it did.
        self._lost = {}

    def observe(self, fleet, own_link_rate, excluded, now):
        """Return the current `QuotaFleet`.

        :param fleet: the `fleet.Fleet`
        :param own_link_rate: capacity of the VM's network link in bytes per
            second, 0 if it is not known
        :param excluded: names of nodes that have not replied
        :param now: monotonic seconds
        """
        node_count = self._count(fleet, now)
        rates = {self._own_name: own_link_rate}
        for peer in fleet.others:
            if _can_coordinate(peer, now) and peer.name not in excluded:
                rates[peer.name] = peer.report.link_rate
        slow = {
            name
            for name, rate in rates.items()
            if 0 < rate < zone_roles.MIN_FAST_LINK_BYTES_PER_S
        }
        # Nodes on slow links coordinate only if there are no others.
        return self.choose(node_count, rates.keys() - slow or slow)

    def choose(self, node_count, names):
        """Return the `QuotaFleet` with the coordinators that rank first.

        :param node_count: nodes that share the quotas
        :param names: names of the nodes that can coordinate
        """
        count = math.ceil(node_count / NODES_PER_COORDINATOR)
        return QuotaFleet(
            node_count,
            tuple(self._first(index, names) for index in range(count)),
        )

    def _count(self, fleet, now):
        """Return the number of nodes, including some that have vanished."""
        leaving = {
            peer.name
            for peer in fleet.others
            if peer.report is not None and peer.report.is_leaving
        }
        present = {peer.name for peer in fleet.peers} - leaving
        present.add(self._own_name)
        for name in self._counted - present - leaving:
            self._lost.setdefault(name, now)
        self._counted = present
        self._lost = {
            name: at
            for name, at in self._lost.items()
            if name not in present
            and name not in leaving
            and now - at < RETAIN_LOST_S
        }
        known = len(present) + len(self._lost)
        return max(len(present), math.ceil(known * (1 - MAX_LOST_SHARE)))

    def _first(self, index, names):
        """Return the name that ranks first as a coordinator."""
        weights = self._weights[index]
        if len(weights) > 2 * len(names) + 100:
            weights.clear()
        for name in names:
            if name not in weights:
                weights[name] = _weight(index, name)
        return min(names, key=weights.__getitem__)


def _weight(index, name):
    data = f'quota {index}\0{name}'.encode()
    return hashlib.blake2b(data, digest_size=8).digest()


def _can_coordinate(peer, now):
    if peer.report is None or peer.report.is_leaving:
        return False
    if peer.is_linked or peer.unreachable_since is None:
        return True
    return now - peer.unreachable_since < REPLACE_AFTER_S
