"""What a node reports of itself to other nodes, and how often."""

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
# Of the messages with the load alone, one in this many is also sent to other
# availability zones, as they send few calls and traffic between zones is
# expensive.
OTHER_ZONES_LOAD_INTERVAL = 3


class ReportSelector:
    """Selects the whole report or the part of it that has changed."""

    def __init__(self):
        self._sent_stable_part = None
        self._sent_generation = 0
        self._full_report_at = float('-inf')
        self._load_count = 0

    def next_message(self, report, now):
        """Return the message to send now.

        :param report: the node's current `hop_messages.Report`
        :param now: monotonic seconds
        :returns: the report, its load, or a `hop_messages.GenerationUpdate`
        """
        stable_part = report.stable_part
        is_new_generation = report.generation != self._sent_generation
        self._sent_generation = report.generation
        if (
            stable_part != self._sent_stable_part
            or now - self._full_report_at >= FULL_REPORT_PERIOD_S
            or report.evidence
        ):
            self._sent_stable_part, self._full_report_at = stable_part, now
            return report
        if is_new_generation:
            return hop_messages.GenerationUpdate(report.generation)
        self._load_count += 1
        return report.load

    def is_for_other_zones(self, message):
        """Whether a message is also sent to other availability zones.

        :param message: the message that `next_message` returned last
        """
        if not isinstance(message, hop_messages.Load):
            return True
        return self._load_count % OTHER_ZONES_LOAD_INTERVAL == 0


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
