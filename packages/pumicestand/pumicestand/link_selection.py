"""Choice of the nodes that a node keeps links to.

A node links to all nodes of its availability zone and, for each version of
each service, to a few nodes of other zones. It answers the load of a fleet of
hundreds of nodes, where a link to each node costs more memory and processor
time than the calls, and where each zone has enough targets for most calls.
Calls spill over to other zones when the targets of their own are busy, slow
or gone.
"""

import collections
import hashlib

from pumicestand import target_states

# Targets of each version that a node can call, in all zones together, and
# those of them that are in other zones, as far as there are as many.
MIN_TARGETS = 10
MIN_REMOTE_TARGETS = 4
# The same for a node whose own zone is evacuated: all its calls go to other
# zones, whose targets have less room than usual.
MIN_TARGETS_IF_EVACUATED = 16
# Nodes of each other zone that pass on what the zone has to know. Two, so
# that one may be frozen.
CONTACTS_PER_ZONE = 2
# Time after which a node that can't be reached is replaced by another one, in
# seconds. The link to it is still retried.
REPLACE_AFTER_S = 2.0


class LinkSelector:
    """Selects the nodes to link to.

    The nodes of other zones are ranked by rendezvous hashing, so that every
    target is selected by about as many nodes as any other, and a change of
    one node changes few selections.

    :param name: name of this node
    :param zone: availability zone of this node
    """

    def __init__(self, name, zone):
        self._name = name
        self._zone = zone
        self._weights = {}

    def select(
        self,
        peers,
        now,
        evacuated_zones=frozenset(),
        coordinators=frozenset(),
    ):
        """Return the names of the nodes to keep links to.

        :param peers: the `fleet.Peer`s that are known
        :param now: monotonic seconds
        :param evacuated_zones: availability zones whose targets get no calls
        :param coordinators: names of the nodes that coordinate quotas
        """
        min_targets = MIN_TARGETS
        if self._zone in evacuated_zones:
            min_targets = MIN_TARGETS_IF_EVACUATED
        selected = set()
        remote = []
        own_count = collections.Counter()
        for peer in peers:
            if peer.name == self._name:
                continue
            if peer.zone != self._zone and peer.name in coordinators:
                selected.add(peer.name)
            if peer.zone == self._zone:
                selected.add(peer.name)
                if _is_serving(peer, now, evacuated_zones):
                    own_count[_group(peer)] += 1
            else:
                remote.append(peer)
        self._forget_weights(remote)
        groups = collections.defaultdict(list)
        for peer in remote:
            if _is_serving(peer, now, evacuated_zones):
                groups[_group(peer)].append(peer)
        for group, members in groups.items():
            wanted = max(MIN_REMOTE_TARGETS, min_targets - own_count[group])
            selected.update(self._spread(members, wanted))
        return selected | self._contacts(remote, selected, now)

    def rank(self, names):
        """Return names of nodes in this node's order of preference."""
        return sorted(names, key=self._weight)

    def _spread(self, members, wanted):
        """Return the names of the wanted number of peers, over all zones."""
        by_zone = collections.defaultdict(list)
        for peer in sorted(members, key=lambda peer: self._weight(peer.name)):
            by_zone[peer.zone].append(peer.name)
        ranked = [
            (position, self._weight(name), name)
            for names in by_zone.values()
            for position, name in enumerate(names)
        ]
        return [name for _, _, name in sorted(ranked)[:wanted]]

    def _contacts(self, remote, selected, now):
        """Return further nodes, so that each other zone has its contacts."""
        by_zone = collections.defaultdict(list)
        for peer in remote:
            if _is_reachable(peer, now):
                by_zone[peer.zone].append(peer.name)
        contacts = set()
        for names in by_zone.values():
            missing = CONTACTS_PER_ZONE - len(selected.intersection(names))
            if missing > 0:
                others = [name for name in names if name not in selected]
                contacts.update(self.rank(others)[:missing])
        return contacts

    def _weight(self, name):
        weight = self._weights.get(name)
        if weight is None:
            data = f'{self._name}\0{name}'.encode()
            weight = hashlib.blake2b(data, digest_size=8).digest()
            self._weights[name] = weight
        return weight

    def _forget_weights(self, remote):
        if len(self._weights) > 2 * len(remote) + 100:
            self._weights.clear()


def _group(peer):
    return (peer.target.service, peer.target.version)


def _is_reachable(peer, now):
    """Whether a peer is linked, or not known to be unreachable for long."""
    if peer.is_linked or peer.unreachable_since is None:
        return True
    return now - peer.unreachable_since < REPLACE_AFTER_S


def _is_serving(peer, now, evacuated_zones):
    target = peer.target
    return (
        target is not None
        and peer.zone not in evacuated_zones
        and target.state is target_states.TargetState.SERVING
        and not peer.report.is_leaving
        and _is_reachable(peer, now)
    )
