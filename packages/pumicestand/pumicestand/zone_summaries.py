"""Sums of the evidence on roll-outs over the nodes of an availability zone.

The nodes of a zone send their evidence to each other. One of them, the
collector, sums it up for the other zones, so that a roll-out of a service
with hundreds of targets costs each zone one message a period.
"""

import collections
import dataclasses

from pumicestand import hop_messages

# Period at which a collector sends its summary while a roll-out is evaluated,
# in seconds.
SUMMARY_PERIOD_S = 0.5


@dataclasses.dataclass(slots=True)
class EvidenceSum:
    """The sum of evidence on one route, with the fields of `Evidence`."""

    calls: int = 0
    errors: int = 0
    timed_calls: int = 0
    work_ms: float = 0.0

    def add(self, evidence):
        self.calls += evidence.calls
        self.errors += evidence.errors
        self.timed_calls += evidence.timed_calls
        self.work_ms += evidence.work_ms

    def since(self, earlier):
        """Return what was added since an earlier sum, at least nothing."""
        return EvidenceSum(
            max(0, self.calls - earlier.calls),
            max(0, self.errors - earlier.errors),
            max(0, self.timed_calls - earlier.timed_calls),
            max(0.0, self.work_ms - earlier.work_ms),
        )

    @property
    def error_rate(self):
        return self.errors / self.calls if self.calls else 0.0

    @property
    def mean_work_ms(self):
        return self.work_ms / self.timed_calls if self.timed_calls else 0.0


def summarise(peers, service, zone):
    """Return the evidence on a service and its busy versions in a zone.

    :param peers: the `fleet.Peer`s that are known, this node included
    :returns: tuples of `hop_messages.Evidence` and
        `hop_messages.BusyVersion`
    """
    sums = collections.defaultdict(EvidenceSum)
    busy = collections.Counter()
    for peer in peers:
        target = peer.target
        if peer.zone != zone or target is None or not peer.is_linked:
            continue
        if target.service != service:
            continue
        for entry in peer.report.evidence:
            sums[(entry.route, entry.version)].add(entry)
        calls = peer.load.running + peer.load.queued + peer.in_flight
        busy[target.version] += calls
    evidence = tuple(
        hop_messages.Evidence(
            route,
            version,
            total.calls,
            total.errors,
            total.timed_calls,
            total.work_ms,
        )
        for (route, version), total in sums.items()
    )
    return evidence, tuple(
        hop_messages.BusyVersion(version, calls)
        for version, calls in busy.items()
    )
