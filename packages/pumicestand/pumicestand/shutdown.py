"""When a node that is asked to stop ends what it still does.

The platform kills the process at the end of the grace period. A call that runs
at its target keeps the target's response unless it is still running in the
last sixth of that period.
"""

import dataclasses

# Time for which a stopping node still accepts calls: the platform redirects
# clients only after two failed readiness checks, one second apart.
ACCEPT_AFTER_STOP_S = 2.3
# Share of the grace period, and most seconds, that are left when the calls
# end: for their last responses and the exit of the process, which may get
# SIGTERM late.
EXIT_SHARE = 1 / 8
MAX_EXIT_TIME_S = 0.75
# The targets end the last calls themselves this much before the node gives
# them up, as a share of the exit time: their responses say what has run.
TARGETS_END_SHARE = 0.2
# Share of the exit time in which the last responses are sent.
LAST_RESPONSES_SHARE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """The times of an orderly stop, in monotonic seconds.

    :param accept_until: calls of clients are accepted until then
    :param targets_end_at: targets are told to end their calls by then
    :param calls_end_at: calls without a response are given up then
    :param close_at: connections are closed then
    """

    accept_until: float
    targets_end_at: float
    calls_end_at: float
    close_at: float


def plan(now, grace):
    """Return the `Schedule` of a node that is asked to stop.

    :param now: monotonic seconds
    :param grace: seconds until the process is killed
    """
    exit_time = min(MAX_EXIT_TIME_S, grace * EXIT_SHARE)
    calls_end_at = now + grace - exit_time
    targets_end_at = calls_end_at - TARGETS_END_SHARE * exit_time
    return Schedule(
        accept_until=min(now + ACCEPT_AFTER_STOP_S, targets_end_at),
        targets_end_at=targets_end_at,
        calls_end_at=calls_end_at,
        close_at=calls_end_at + LAST_RESPONSES_SHARE * exit_time,
    )
