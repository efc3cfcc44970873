"""What a node knows of the other nodes and of the targets beside them.

Each node reports its own state directly to the nodes that have opened a link
to it; a later report replaces an earlier one. Nodes of other availability
zones that have no link to it are relayed its report when it changes. Of nodes
that no report has come from yet, the store's record is known.
"""

import dataclasses
import math

from pumicestand import hop_messages
from pumicestand import target_states

# Time after which a node that can't be reached is removed and no longer
# connected to, in seconds. When it is back it connects to the others itself.
REMOVE_AFTER_S = 45.0
# Time after which a node without a link is removed that nothing was heard of,
# in seconds: four announcements.
REMOVE_UNHEARD_AFTER_S = 120.0
# Age up to which the summary of an availability zone is used, in seconds.
MAX_SUMMARY_AGE_S = 3.0
# Time constant of the moving average of the calls at a target, in seconds.
MEAN_CALLS_TIME_CONSTANT_S = 3.0


@dataclasses.dataclass(slots=True)
class Peer:
    """A node as this one knows it; this node itself is a peer, too.

    Times are in monotonic seconds.

    :param host: address at which the peer accepts links
    :param port: port at which the peer accepts links
    :param report: the peer's latest report, None before the first
    :param known_target: the target that the peer's processes have reported
        last, in its furthest state; None if there is none
    :param load: the latest load of the peer's target
    :param is_linked: whether calls can be sent to the peer
    :param in_flight: calls sent from here that have no result yet
    :param sent_since_load: calls sent from here since the load was received
    :param load_received_at: time at which the load was received
    :param mean_calls: moving average of the calls running and queued at the
        peer's target
    :param avoided_until: time until which other peers are preferred, as a
        call was lost with the link to this one
    :param unreachable_since: time at which the link was lost or first tried;
        None while it is linked, or if no link to it was tried
    :param accepts_any_report: whether the next report replaces the known one
        even if it seems to be earlier
    :param used_at: time at which a call was last sent to the peer
    :param heard_at: time at which its latest report was received
    """

    name: str
    host: str
    port: int
    report: hop_messages.Report | None = None
    known_target: hop_messages.Target | None = None
    load: hop_messages.Load = hop_messages.Load()
    is_linked: bool = False
    in_flight: int = 0
    sent_since_load: int = 0
    load_received_at: float = 0.0
    mean_calls: float = 0.0
    avoided_until: float = 0.0
    unreachable_since: float | None = None
    accepts_any_report: bool = False
    used_at: float = 0.0
    heard_at: float = 0.0

    @property
    def zone(self):
        """Availability zone of the peer, empty if it is not known."""
        return self.report.zone if self.report else ''

    @property
    def target(self):
        """The target beside the peer, or None."""
        return self.report.target if self.report else None

    def has(self, service):
        """Whether the peer's target belongs to a service and is not leaving.

        It can be called if the peer is linked and its load shows slots.
        """
        target = self.target
        return (
            target is not None
            and target.service == service
            and target.state is target_states.TargetState.SERVING
            and not self.report.is_leaving
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


def _keep_leaving(known, report):
    """Return a report in which a target that leaves does not come back.

    A restarted node may have forgotten that its target leaves.

    :param known: the node's earlier `hop_messages.Target`, or None
    """
    target = report.target
    if known is None or target is None:
        return report
    if known.incarnation != target.incarnation or known.state <= target.state:
        return report
    target = dataclasses.replace(target, state=known.state)
    return dataclasses.replace(report, target=target)


def _is_lost(peer, now):
    if peer.is_linked and peer.unreachable_since is None:
        return False
    if peer.unreachable_since is None:
        return now - peer.heard_at > REMOVE_UNHEARD_AFTER_S
    return now - peer.unreachable_since > REMOVE_AFTER_S


class Fleet:
    """All nodes that this node knows, by name.

    ``change_count`` rises when a node, its address or its target changes, or
    the evacuated availability zones do.

    :param own_name: name of this node
    """

    def __init__(self, own_name):
        self._own_name = own_name
        self._peers = {}
        # Service to the peers beside whose targets calls of it can run.
        self._peers_by_service = {}
        # (Zone, service) to (summary, time at which it was received).
        self._summaries = {}
        self._evacuated_zones = frozenset()
        self.change_count = 0

    @property
    def peers(self):
        """All known peers, this node included."""
        return self._peers.values()

    @property
    def others(self):
        """All known peers except this node."""
        return [p for p in self._peers.values() if p.name != self._own_name]

    @property
    def evacuated_zones(self):
        """Names of the availability zones whose targets get no calls."""
        return self._evacuated_zones

    def set_evacuated_zones(self, zones):
        """Set the availability zones whose targets get no calls.

        :param zones: frozenset of their names
        """
        if zones != self._evacuated_zones:
            self._evacuated_zones = zones
            self._record_change()

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
            self._record_change()
        elif (peer.host, peer.port) != (host, port):
            # Another VM runs the node of this name now.
            peer.host, peer.port = host, port
            peer.known_target = None
            peer.is_linked = False
            peer.unreachable_since = now
            self._record_change()
        return peer

    def _record_change(self):
        self.change_count += 1
        self._peers_by_service.clear()

    def add_record(self, record, now):
        """Add the node of a record that the store keeps.

        :param record: a `node_records.NodeRecord`
        :param now: monotonic seconds
        """
        is_known = record.name in self._peers
        peer = self.get_or_add(record.name, record.host, record.port, now)
        if not is_known:
            peer.unreachable_since = None
            peer.heard_at = now
        if peer.report is None:
            peer.report = hop_messages.Report(
                name=record.name,
                incarnation=0,
                sequence=0,
                zone=record.zone,
                host=record.host,
                port=record.port,
                target=record.target,
            )
            peer.known_target = record.target
            self._record_change()

    def apply_relayed_report(self, report, now):
        """Apply a report that another node has passed on.

        :returns: whether it is newer than what is known
        """
        is_known = report.name in self._peers
        if not self.apply_report(report, now, has_load=False):
            return False
        peer = self._peers[report.name]
        if not peer.is_linked and (not is_known or not report.is_leaving):
            peer.unreachable_since = None
        if not peer.is_linked and report.is_leaving:
            peer.unreachable_since = now
        return True

    def apply_summary(self, summary, now):
        """Apply a `hop_messages.ZoneSummary`; return whether it is newer."""
        key = (summary.zone, summary.service)
        known, _ = self._summaries.get(key, (None, 0.0))
        if (
            known is not None
            and known.collector == summary.collector
            and known.sort_key >= summary.sort_key
        ):
            return False
        self._summaries[key] = (summary, now)
        return True

    def summaries(self, service, now):
        """Return the recent `hop_messages.ZoneSummary` of each other zone.

        :param service: service that the summaries are about
        """
        return [
            summary
            for summary, received_at in self._summaries.values()
            if summary.service == service
            and now - received_at <= MAX_SUMMARY_AGE_S
        ]

    def apply_report(self, report, now, has_load=True):
        """Apply a node's report; return whether it is a newer one.

        :param report: a `hop_messages.Report`
        :param now: monotonic seconds
        :param has_load: whether the report tells the load of the target
        """
        is_known = report.name in self._peers
        peer = self.get_or_add(report.name, report.host, report.port, now)
        if not is_known:
            peer.unreachable_since = None
        previous = peer.report
        if (
            previous is not None
            and not peer.accepts_any_report
            and previous.sort_key >= report.sort_key
        ):
            return False
        peer.accepts_any_report = False
        report = _keep_leaving(peer.known_target, report)
        if report.target is not None:
            peer.known_target = report.target
        peer.report = report
        peer.heard_at = now
        if has_load:
            peer.update_load(report.load, now)
        if (
            previous is None
            or previous.target != report.target
            or previous.is_leaving != report.is_leaving
        ):
            self._record_change()
        return True

    def serving(self, service):
        """Return the peers whose targets accept calls of a service."""
        candidates = self._peers_by_service.get(service)
        if candidates is None:
            candidates = self._peers_by_service[service] = [
                peer
                for peer in self._peers.values()
                if peer.has(service) and peer.zone not in self._evacuated_zones
            ]
        return [p for p in candidates if p.is_linked and p.load.slots > 0]

    def remove_unreachable(self, now):
        """Remove nodes unreachable for long and return their names."""
        names = [peer.name for peer in self.others if _is_lost(peer, now)]
        for name in names:
            del self._peers[name]
        if names:
            self._record_change()
        return names
