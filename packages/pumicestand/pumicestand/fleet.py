"""What a node knows of the others and of the targets beside them.

Each node says everything about itself, directly, to all that call it; a
report replaces the one before. A target is of use only to a node that
reaches the node beside it, so nothing is passed on from third parties.
"""

import dataclasses
import math

from pumicestand import hop_messages
from pumicestand import messages

# A node that has not been reached for so long is no longer dialled; it
# dials others itself when it is back.
FORGET_AFTER_S = 45.0
# Time over which the usual number of calls at a target is taken, in seconds.
USUAL_S = 3.0


@dataclasses.dataclass(slots=True)
class Peer:
    """Another node as this one sees it; the node itself is one, too.

    :param is_linked: whether calls can be sent there
    :param in_flight: calls from here that have no result yet
    :param sent_since_load: calls sent since its load was last heard
    :param load_received_at: when that was, in monotonic seconds
    :param mean_calls: calls at its target, as a mean over some seconds
    :param avoided_until: monotonic seconds until which it gets no calls
        after one failed there
    :param unreachable_since: monotonic seconds, None while it is linked
    """

    name: str
    host: str
    port: int
    report: hop_messages.Report | None = None
    load: hop_messages.Load = hop_messages.Load()
    is_linked: bool = False
    in_flight: int = 0
    sent_since_load: int = 0
    load_received_at: float = 0.0
    mean_calls: float = 0.0
    avoided_until: float = 0.0
    unreachable_since: float | None = None

    @property
    def target(self):
        """The target beside the node, or None."""
        return self.report.target if self.report else None

    def serves(self, service):
        """Whether its target takes calls of a service now."""
        target = self.target
        return (
            self.is_linked
            and target is not None
            and target.service == service
            and target.state is messages.TargetState.SERVING
            and not self.report.is_leaving
            and self.load.slots > 0
        )

    def update_load(self, load, now):
        """Take in how busy its target is."""
        there = load.running + load.queued
        weight = 1 - math.exp(-max(0.0, now - self.load_received_at) / USUAL_S)
        self.mean_calls += weight * (there - self.mean_calls)
        self.load = load
        self.sent_since_load = 0
        self.load_received_at = now


class Fleet:
    """All nodes that this one knows, by name.

    :param own_name: name of this node
    """

    def __init__(self, own_name):
        self._own_name = own_name
        self._peers = {}

    @property
    def peers(self):
        """All known nodes, this one included."""
        return self._peers.values()

    @property
    def others(self):
        """All known nodes but this one."""
        return [p for p in self._peers.values() if p.name != self._own_name]

    @property
    def linked_count(self):
        """How many nodes are linked, this one included."""
        linked = sum(1 for peer in self.others if peer.is_linked)
        return linked + 1

    @property
    def known_count(self):
        """How many nodes there may be, unreachable ones included."""
        return max(1, len(self._peers))

    def get(self, name):
        """Return a `Peer`, or None."""
        return self._peers.get(name)

    def get_or_add(self, name, host, port, now):
        """Return the `Peer` of a name, new if it was not known."""
        peer = self._peers.get(name)
        if peer is None:
            peer = Peer(name, host, port, unreachable_since=now)
            self._peers[name] = peer
        elif (peer.host, peer.port) != (host, port):
            # Another VM has taken the node's name over.
            peer.host, peer.port = host, port
            peer.is_linked = False
            peer.unreachable_since = now
        return peer

    def apply_report(self, report, now):
        """Take a report in; return whether it was news."""
        peer = self.get_or_add(report.name, report.host, report.port, now)
        if peer.report is not None and peer.report.sort_key >= report.sort_key:
            return False
        peer.report = report
        peer.update_load(report.load, now)
        return True

    def serving(self, service):
        """Return the peers whose targets take calls of a service."""
        return [p for p in self._peers.values() if p.serves(service)]

    def remove_unreachable(self, now):
        """Drop nodes not reached for long; return their names."""
        gone = [
            peer.name
            for peer in self.others
            if peer.unreachable_since is not None
            and now - peer.unreachable_since > FORGET_AFTER_S
        ]
        for name in gone:
            del self._peers[name]
        return gone
