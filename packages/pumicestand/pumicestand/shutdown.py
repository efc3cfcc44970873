"""When a node that is asked to stop ends what it still does.

The platform kills the process at the end of the grace period. A call that runs
at its target keeps the target's response unless it is still running in the
last sixth of that period, and was sent soon after the request to stop.
"""

import dataclasses
import math

# Time for which a stopping node still accepts calls: the platform redirects
# clients only after two failed readiness checks, one second apart. A short
# grace period leaves no time for that.
ACCEPT_AFTER_STOP_S = 2.3
MAX_ACCEPT_SHARE = 0.4
# Share of the grace period, and most seconds, that are left when the calls
# end: for their last responses and the exit of the process, which may get
# SIGTERM late.
EXIT_SHARE = 1 / 8
MAX_EXIT_TIME_S = 0.75
# The targets end the last calls themselves this much before the node gives
# them up, as a share of the exit time: their responses say what has run.
TARGETS_END_SHARE = 0.2
# Calls that were sent later than this after the request to stop, or than this
# share of the grace period, must not be given up. Their targets end them this
# much before the node would, as a share of the exit time: enough for a round
# trip between regions and nodes that are held up.
LATE_AFTER_S = 3.0
LATE_SHARE = 0.5
LATE_TARGETS_END_SHARE = 0.6
# Time that a call which ends with the node must have, as a share of the time
# that its target is expected to take, and at least, in seconds: it crosses two
# links and back.
NEEDED_WORK_SHARE = 1.25
MIN_CALL_TIME_S = 0.06
# Share of the exit time in which the last responses are sent.
LAST_RESPONSES_SHARE = 0.4
# Share of the exit time that is left when a process which is too busy to stop
# in order ends itself.
FORCED_EXIT_SHARE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """The times of an orderly stop, in monotonic seconds.

    :param accept_until: calls of clients are accepted until then
    :param targets_end_at: targets are told to end their calls by then
    :param calls_end_at: calls without a response are given up then
    :param close_at: connections are closed then
    :param late_after: calls that are sent later are late
    :param late_targets_end_at: targets are told to end late calls by then
    :param exit_at: the process ends by then, whatever is still to do
    """

    accept_until: float
    targets_end_at: float
    calls_end_at: float
    close_at: float
    late_after: float = math.inf
    late_targets_end_at: float = math.inf
    exit_at: float = math.inf

    def end_at(self, sent_at):
        """Return when the target of a call is told to end it.

        :param sent_at: when its client sent it, in monotonic seconds
        """
        if sent_at > self.late_after:
            return self.late_targets_end_at
        return self.targets_end_at

    def ended(self, now):
        """Return the schedule of a node that has no calls any more.

        Calls that come while it closes are refused.
        """
        return Schedule(now, now, now, now)


def may_finish(now, deadline, work_s, end_at):
    """Return whether a call may be sent to a target of a stopping node.

    It has to be one that ends by itself, with the response of its target or
    at its own deadline, before the targets are told to end.

    :param now: monotonic seconds
    :param deadline: of the call, in monotonic seconds
    :param work_s: seconds that the target is expected to take
    :param end_at: see `Schedule.end_at`
    """
    if deadline <= end_at:
        return True
    return now <= latest_start(work_s, end_at)


def latest_start(work_s, end_at):
    """Return when a call that ends with the node must be sent to its target.

    :param work_s: seconds that the target is expected to take
    :param end_at: see `Schedule.end_at`
    """
    return end_at - max(MIN_CALL_TIME_S, NEEDED_WORK_SHARE * work_s)


def plan(now, grace):
    """Return the `Schedule` of a node that is asked to stop.

    :param now: monotonic seconds
    :param grace: seconds until the process is killed
    """
    exit_time = min(MAX_EXIT_TIME_S, grace * EXIT_SHARE)
    calls_end_at = now + grace - exit_time
    return Schedule(
        accept_until=now + min(ACCEPT_AFTER_STOP_S, MAX_ACCEPT_SHARE * grace),
        targets_end_at=calls_end_at - TARGETS_END_SHARE * exit_time,
        calls_end_at=calls_end_at,
        close_at=calls_end_at + LAST_RESPONSES_SHARE * exit_time,
        late_after=now + min(LATE_AFTER_S, LATE_SHARE * grace),
        late_targets_end_at=calls_end_at - LATE_TARGETS_END_SHARE * exit_time,
        exit_at=now + grace - FORCED_EXIT_SHARE * exit_time,
    )
