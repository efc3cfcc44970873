"""What a node tells the others of itself, and how often."""

from pumicestand import hop_messages

# Period of reports in a small fleet, the share of it for each node of a
# larger one, which keeps what a node sends in a second, and the longest:
# answers carry the load, too, so nodes that exchange calls know it sooner.
REPORT_PERIOD_S = 0.4
REPORT_PERIOD_PER_NODE_S = 0.02
MAX_REPORT_PERIOD_S = 2.0
# Longest period while a roll-out is judged, which takes seconds.
ROLLOUT_REPORT_PERIOD_S = 1.0
# Time after which all is told again although only the load has changed; a
# node that could not use what it heard then asks once more.
FULL_REPORT_PERIOD_S = 20.0
# The load alone is told to other availability zones only each so manieth
# time: they send few calls, and bytes between zones are dear.
OTHER_ZONES_LOAD_INTERVAL = 3


class ReportSelector:
    """Chooses between the whole report and what of it has changed."""

    def __init__(self):
        self._told = None
        self._told_generation = 0
        self._told_at = float('-inf')
        self._loads = 0

    def next_message(self, report, now):
        """Return the message that tells what has changed.

        :param report: the node's `hop_messages.Report` now
        :returns: the report, its load, or `hop_messages.GenerationUpdate`
        """
        stable_part = report.stable_part
        is_new = report.generation != self._told_generation
        self._told_generation = report.generation
        if (
            stable_part != self._told
            or now - self._told_at >= FULL_REPORT_PERIOD_S
            or report.evidence
        ):
            self._told, self._told_at = stable_part, now
            return report
        if is_new:
            return hop_messages.GenerationUpdate(report.generation)
        self._loads += 1
        return report.load

    def is_for_other_zones(self, message):
        """Whether nodes of other availability zones are told, too."""
        if not isinstance(message, hop_messages.Load):
            return True
        return self._loads % OTHER_ZONES_LOAD_INTERVAL == 0


def report_period(nodes, is_judging):
    """Return the seconds between two reports.

    :param nodes: how many hear them
    :param is_judging: whether a roll-out is being judged

    >>> report_period(10, False), report_period(89, False)
    (0.4, 1.78)
    >>> report_period(660, False), report_period(660, True)
    (2.0, 1.0)
    """
    longest = ROLLOUT_REPORT_PERIOD_S if is_judging else MAX_REPORT_PERIOD_S
    period = max(REPORT_PERIOD_S, REPORT_PERIOD_PER_NODE_S * nodes)
    return min(longest, period)
