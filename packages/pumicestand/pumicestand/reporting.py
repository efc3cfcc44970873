"""What a node reports of itself to other nodes, and how often.

The nodes of a node's availability zone get everything at once. Those of other
zones get what they need to place calls and to act on the same configuration
and verdicts; each zone is told once and passes it on itself.
"""

import dataclasses

from pumicestand import hop_messages

# Period of reports in a small fleet, in seconds. In a larger fleet the period
# grows with the number of nodes, so that the rate at which a node sends stays
# the same, up to a maximum. Results of calls carry the load, too, so nodes
# that exchange calls get it sooner.
REPORT_PERIOD_S = 0.4
REPORT_PERIOD_PER_NODE_S = 0.02
MAX_REPORT_PERIOD_S = 2.0
# Maximum period while a roll-out is evaluated, in seconds, as a roll-out
# itself takes only seconds.
ROLLOUT_REPORT_PERIOD_S = 1.0
# Time after which the whole report is sent again even if only the load has
# changed, in seconds. A node that could not use the configuration that it
# fetched then asks for it once more.
FULL_REPORT_PERIOD_S = 20.0
# Time after which the nodes of other zones are told everything again although
# nothing has changed, in seconds.
ANNOUNCEMENT_PERIOD_S = 30.0
# Relative difference of the estimates in two loads up to which the later one
# is not sent, and the time after which it is sent all the same, in seconds.
LOAD_TOLERANCE = 0.1
UNCHANGED_LOAD_PERIOD_S = 3.0
# Of the messages with the load alone, one in this many is also sent to the
# nodes of other zones that have sent calls within this many seconds, as
# traffic between zones is expensive.
OTHER_ZONES_LOAD_INTERVAL = 3
OTHER_ZONES_LOAD_AFTER_CALL_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReportPlan:
    """What a node sends now.

    :param message: for the nodes of its own zone: a `hop_messages.Report`,
        `hop_messages.Load` or `hop_messages.GenerationUpdate`; None if the
        load is as they know it
    :param announcement: report for the other zones, None if nothing has
        changed that they need
    :param generation: generation for the other zones, None if it is not new
    :param load: load for the nodes of other zones that send calls, None if
        it is not due
    :param returned_load: load for all nodes of other zones, None unless the
        target takes calls again; those that were refused call it no more
        and would not hear of it
    """

    message: hop_messages.Message | None
    announcement: hop_messages.Report | None = None
    generation: int | None = None
    load: hop_messages.Load | None = None
    returned_load: hop_messages.Load | None = None


class ReportSelector:
    """Selects what other nodes need of a report, by what has changed."""

    def __init__(self):
        self._sent_stable_part = None
        self._sent_generation = 0
        self._full_report_at = float('-inf')
        self._sent_load = hop_messages.Load()
        self._load_sent_at = float('-inf')
        self._load_count = 0
        self._had_slots = True
        self._announced_own_part = None
        self._announced_fleet_part = (0, ())
        self._announced_generation = 0
        self._announced_at = float('-inf')

    def next_plan(self, report, is_gateway, now):
        """Return the `ReportPlan`.

        :param report: the node's current `hop_messages.Report`
        :param is_gateway: whether this node tells other zones what all nodes
            of its zone know: the generation and the verdicts
        :param now: monotonic seconds
        """
        message = self._next_message(report, now)
        announcement = generation = load = None
        if self._is_announcement_due(report, is_gateway, now):
            announcement = report.without_evidence
        elif is_gateway and report.generation != self._announced_generation:
            generation = report.generation
            self._announced_generation = generation
        if isinstance(message, hop_messages.Load):
            self._load_count += 1
            if self._load_count % OTHER_ZONES_LOAD_INTERVAL == 0:
                load = message
        returned_load = None
        if report.load.slots > 0 and not self._had_slots:
            returned_load, load = report.load, None
        self._had_slots = report.load.slots > 0
        return ReportPlan(
            message, announcement, generation, load, returned_load
        )

    def _next_message(self, report, now):
        stable_part = report.stable_part
        is_new_generation = report.generation != self._sent_generation
        self._sent_generation = report.generation
        if (
            stable_part != self._sent_stable_part
            or now - self._full_report_at >= FULL_REPORT_PERIOD_S
            or report.evidence
        ):
            self._sent_stable_part, self._full_report_at = stable_part, now
            self._sent_load, self._load_sent_at = report.load, now
            return report
        if is_new_generation:
            return hop_messages.GenerationUpdate(report.generation)
        if (
            _is_like(report.load, self._sent_load)
            and now - self._load_sent_at < UNCHANGED_LOAD_PERIOD_S
        ):
            return None
        self._sent_load, self._load_sent_at = report.load, now
        return report.load

    def _is_announcement_due(self, report, is_gateway, now):
        own_part = report.own_part
        fleet_part = report.fleet_part
        if (
            own_part == self._announced_own_part
            and now - self._announced_at < ANNOUNCEMENT_PERIOD_S
            and not (is_gateway and fleet_part != self._announced_fleet_part)
        ):
            return False
        self._announced_own_part = own_part
        self._announced_fleet_part = fleet_part
        self._announced_generation = report.generation
        self._announced_at = now
        return True


def _is_like(load, other):
    """Whether two loads lead to about the same choices."""
    return (load.running, load.queued, load.slots) == (
        other.running,
        other.queued,
        other.slots,
    ) and all(
        abs(value - before) <= LOAD_TOLERANCE * max(abs(before), 0.1)
        for value, before in (
            (load.work_ms, other.work_ms),
            (load.failure_ratio, other.failure_ratio),
            (load.slowness, other.slowness),
            (load.link_utilisation, other.link_utilisation),
            (load.body_delay_ms, other.body_delay_ms),
        )
    )


def report_period(nodes, is_rollout_running):
    """Return the seconds between two reports.

    :param nodes: number of nodes that the reports are sent to
    :param is_rollout_running: whether a roll-out is being evaluated

    >>> report_period(10, False), report_period(89, False)
    (0.4, 1.78)
    >>> report_period(660, False), report_period(660, True)
    (2.0, 1.0)
    """
    max_period = (
        ROLLOUT_REPORT_PERIOD_S if is_rollout_running else MAX_REPORT_PERIOD_S
    )
    period = max(REPORT_PERIOD_S, REPORT_PERIOD_PER_NODE_S * nodes)
    return min(max_period, period)
