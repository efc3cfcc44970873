"""What a node knows of the other nodes and of the targets beside them.

Each node reports its own state directly to all nodes that have opened a link
to it; a later report replaces an earlier one. Reports are not passed on: a
target is of use only to nodes that reach the node beside it.
"""

import dataclasses
import math

from pumicestand import hop_messages
from pumicestand import messages

# Time after which a node that can't be reached is removed and no longer
# connected to, in seconds. When it is back it connects to the others itself.
REMOVE_AFTER_S = 45.0
# Time constant of the moving average of the calls at a target, in seconds.
MEAN_CALLS_TIME_CONSTANT_S = 3.0


@dataclasses.dataclass(slots=True)
class Peer:
    """A node as this one knows it; this node itself is a peer, too.

    Times are in monotonic seconds.

    :param host: address at which the peer accepts links
    :param port: port at which the peer accepts links
    :param report: the peer's latest report, None before the first
    :param load: the latest load of the peer's target
    :param is_linked: whether calls can be sent to the peer
    :param in_flight: calls sent from here that have no result yet
    :param sent_since_load: calls sent from here since the load was received
    :param load_received_at: time at which the load was received
    :param mean_calls: moving average of the calls running and queued at the
        peer's target
    :param avoided_until: time until which other peers are preferred, as a
        call was lost with the link to this one
    :param unreachable_since: time at which the link was lost, or the peer
        added; None while it is linked
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
        """The target beside the peer, or None."""
        return self.report.target if self.report else None

    def serves(self, service):
        """Whether the peer's target accepts calls of a service now."""
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
        """Replace the load of the peer's target.

        :param load: a `hop_messages.Load`
        :param now: monotonic seconds
        """
        calls = load.running + load.queued
        weight = 1 - math.exp(
            -max(0.0, now - self.load_received_at) / MEAN_CALLS_TIME_CONSTANT_S
        )
        self.mean_calls += weight * (calls - self.mean_calls)
        self.load = load
        self.sent_since_load = 0
        self.load_received_at = now


class Fleet:
    """All nodes that this node knows, by name.

    :param own_name: name of this node
    """

    def __init__(self, own_name):
        self._own_name = own_name
        self._peers = {}

    @property
    def peers(self):
        """All known peers, this node included."""
        return self._peers.values()

    @property
    def others(self):
        """All known peers except this node."""
        return [p for p in self._peers.values() if p.name != self._own_name]

    @property
    def linked_count(self):
        """Number of linked nodes, this node included."""
        linked = sum(1 for peer in self.others if peer.is_linked)
        return linked + 1

    @property
    def known_count(self):
        """Number of known nodes, unreachable ones included; at least 1."""
        return max(1, len(self._peers))

    def get(self, name):
        """Return the `Peer` of a name, None if it is not known."""
        return self._peers.get(name)

    def get_or_add(self, name, host, port, now):
        """Return the `Peer` of a name; add it if it is not known.

        A known peer gets the address if it has another one.

        :param now: monotonic seconds
        """
        peer = self._peers.get(name)
        if peer is None:
            peer = Peer(name, host, port, unreachable_since=now)
            self._peers[name] = peer
        elif (peer.host, peer.port) != (host, port):
            # Another VM runs the node of this name now.
            peer.host, peer.port = host, port
            peer.is_linked = False
            peer.unreachable_since = now
        return peer

    def apply_report(self, report, now):
        """Apply a node's report; return whether it is a newer one.

        :param report: a `hop_messages.Report`
        :param now: monotonic seconds
        """
        peer = self.get_or_add(report.name, report.host, report.port, now)
        if peer.report is not None and peer.report.sort_key >= report.sort_key:
            return False
        peer.report = report
        peer.update_load(report.load, now)
        return True

    def serving(self, service):
        """Return the peers whose targets accept calls of a service."""
        return [p for p in self._peers.values() if p.serves(service)]

    def remove_unreachable(self, now):
        """Remove nodes unreachable for long and return their names."""
        names = [
            peer.name
            for peer in self.others
            if peer.unreachable_since is not None
            and now - peer.unreachable_since > REMOVE_AFTER_S
        ]
        for name in names:
            del self._peers[name]
        return names
