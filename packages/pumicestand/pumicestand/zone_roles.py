"""The nodes of an availability zone that act for all of its nodes.

Each node ranks the nodes of its zone that it reaches, so no agreement is
needed: while two nodes disagree, two act or the next one does, and what they
do may be done twice.
"""

import math

from pumicestand import ranking

# Nodes of a zone that tell other zones what all nodes of it know. Two, so that
# one may be frozen.
GATEWAY_COUNT = 2
# Nodes that watch the store in the whole fleet, at least; each zone has one.
# Each costs one long-polling request per kind of object.
MIN_WATCHERS = 3
# Link capacity below which a node ranks last. At this rate a configuration
# of 11 KB reaches 60 nodes in a quarter of a second.
MIN_FAST_LINK_BYTES_PER_S = 2_500_000


class ZoneRoles:
    """Tells which roles this node has in its zone.

    :param identity: `node_records.NodeRecord` of this node
    :param fleet: the `fleet.Fleet`
    :param meter: `link_meter.LinkMeter` of this VM
    """

    def __init__(self, identity, fleet, meter):
        self._identity = identity
        self._fleet = fleet
        self._meter = meter

    def is_gateway(self):
        """Whether this node tells other zones what its zone knows."""
        return self._is_among_first('gateway', GATEWAY_COUNT)

    def is_collector(self):
        """Whether this node sums up the evidence of its zone."""
        return self._is_among_first('collect', 1)

    def is_fetcher(self):
        """Whether this node asks other zones for a newer configuration."""
        return self._is_among_first('fetch', 1)

    def is_watcher(self):
        """Whether this node watches the store."""
        return self._identity.name in self.watchers()

    def watchers(self):
        """Return the names of the nodes of this zone that watch the store."""
        zones = {peer.zone for peer in self._fleet.peers if peer.zone}
        zones.add(self._identity.zone)
        count = math.ceil(MIN_WATCHERS / len(zones))
        return self._first('watch', count, reaches_store)

    def is_writer(self):
        """Whether this node writes roll-out states, first in the fleet.

        Nodes of other zones are known by few nodes, so several may write at
        once; the writes are conditional.
        """
        return self._is_among_first(
            'write', 1, is_eligible=reaches_store, all_zones=True
        )

    def _is_among_first(self, role, count, **options):
        """Return whether this node is among the first-ranked for a role."""
        return self._identity.name in self._first(role, count, **options)

    def _first(
        self, role, count, is_eligible=lambda peer: True, all_zones=False
    ):
        """Return the names of the nodes that rank first for a role.

        This node is always eligible itself. Nodes on slow links come last,
        since what they pass on would delay the calls of their VM.
        """
        identity = self._identity
        rates = {identity.name: self._meter.rate}
        for peer in self._fleet.others:
            if (
                peer.is_linked
                and (all_zones or peer.zone == identity.zone)
                and not peer.report.is_leaving
                and is_eligible(peer)
            ):
                rates[peer.name] = peer.report.link_rate
        slow = {
            name
            for name, rate in rates.items()
            if 0 < rate < MIN_FAST_LINK_BYTES_PER_S
        }
        ranked = ranking.rank(role, rates.keys() - slow) + ranking.rank(
            role, slow
        )
        return ranked[:count]


def reaches_store(peer):
    """Whether a linked peer reaches the store, as it has reported."""
    return peer.report.store_reachable
