"""When a node that is asked to stop ends what it still does.

The platform kills the process at the end of the grace period. A call that runs
at its target keeps the target's response unless it is still running in the
last sixth of that period.
"""

import dataclasses

# Time for which a stopping node still accepts calls: the platform redirects
# clients only after two failed readiness checks, one second apart.
ACCEPT_AFTER_STOP_S = 2.3
# Calls run on in the first half of the last sixth, and at most until so many
# seconds before the end: responses and the exit of the process need the rest.
END_OF_CALLS_SHARE = 11 / 12
MAX_EXIT_TIME_S = 0.5
# Share of the time after the calls that is left to send their responses.
LAST_RESPONSES_SHARE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """The times of an orderly stop, in monotonic seconds.

    :param accept_until: calls of clients are accepted until then
    :param calls_end_at: calls without a response are given up then
    :param close_at: connections are closed then
    """

    accept_until: float
    calls_end_at: float
    close_at: float


def plan(now, grace):
    """Return the `Schedule` of a node that is asked to stop.

    :param now: monotonic seconds
    :param grace: seconds until the process is killed
    """
    exit_time = min(MAX_EXIT_TIME_S, grace * (1 - END_OF_CALLS_SHARE))
    calls_end_at = now + grace - exit_time
    return Schedule(
        accept_until=min(now + ACCEPT_AFTER_STOP_S, calls_end_at),
        calls_end_at=calls_end_at,
        close_at=calls_end_at + LAST_RESPONSES_SHARE * exit_time,
    )
