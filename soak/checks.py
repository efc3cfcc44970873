"""Checks of the system's promises against the records of a soak."""

import bisect
import collections

from soak import clusters
from soak import records

# The operators set the following limits. After a node has acknowledged the
# departure of a target, it may send calls to it for this time.
DRAIN_LIMIT_S = 2.0
# A new configuration is in force everywhere after this time.
APPLY_LIMIT_S = 2.0
# An evacuated zone gets no calls after this time.
EVACUATE_LIMIT_S = 5.0
# A node was neither stopped nor cut off for long if it was running and could
# reach the store for this time, not counting the time to connect again after
# each disruption. If all of `EVACUATE_LIMIT_S` had to be free of them, hardly
# any evacuation of a soak could be checked.
REACH_S = 2.0
RECONNECT_S = 1.0
# A key that a configuration has withdrawn is refused after this time.
REVOKE_LIMIT_S = 5.0
# From this time after a target has advertised a rate limit, it gets in each
# window this multiple of it and a few calls more at most.
LIMIT_SETTLING_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_RATIO, LIMIT_EXTRA = 1.5, 5
# The promises hold again after a node or the store has been free of faults
# for this time.
RECOVERY_S = 3.0
# A request that was sent this long ago has been read by the node.
UNREAD_LIMIT_S = 0.2
# Requests that may cross the close of a kept connection at one node.
CROSSING_LIMIT = 3
# With these statuses a node states that it has not run the request.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
NOT_FOUND = 404
# A request sent to a node up to this time after its SIGTERM gets the target's
# answer, unless the target still works on it in the last sixth of the grace.
TAKEN_S = 3.0
LAST_SHARE_OF_GRACE = 1 / 6
# Time limits of the calls, the lower one of the client's and the route's. A
# node may respond a little before.
CALL_LIMIT_S, LONG_CALL_LIMIT_S = 1.5, 9.0
CALL_LIMIT_MARGIN_S = 0.1
# Faults of a target that leave the calls that it runs alone.
HARMLESS_FAULTS = frozenset(
    (
        records.Fault.TARGET_SLOW,
        records.Fault.TARGET_LIMITS,
        records.Fault.TARGET_COLD,
    )
)


def check(record, checks_timing=True):
    """Return the `records.Finding`s of a soak.

    :param checks_timing: whether to check promises with a time limit too,
        which a heavily loaded machine can break
    """
    findings = [
        *check_at_most_once(record),
        *check_not_run(record),
        *check_responses(record),
        *check_origins(record),
        *check_interruptions(record),
        *check_closed_connections(record),
        *check_regressions(record),
        *check_withdrawals(record),
        *check_organisations(record),
    ]
    if checks_timing:
        findings += [
            *check_stops(record),
            *check_departures(record),
            *check_apply_times(record),
            *check_limits(record),
            *check_cold_crashes(record),
            *check_evacuations(record),
        ]
    return findings


def check_at_most_once(record):
    """Yield findings for requests that ran twice but may run only once."""
    counts = collections.Counter(run.request_id for run in record.runs)
    for call in record.calls:
        if call.kind is records.CallKind.REPEATABLE:
            continue
        if counts[call.request_id] > 1:
            yield records.Finding(
                'at most once',
                f'{call.request_id} ran {counts[call.request_id]} times',
            )


def check_not_run(record):
    """Yield findings for requests that ran but were refused as not run."""
    executed_ids = {run.request_id for run in record.runs}
    for call in record.calls:
        if call.status in NOT_RUN_STATUSES and call.request_id in executed_ids:
            yield records.Finding(
                'requests refused as not run have not run',
                f'{call.request_id} got status {call.status} from '
                f'{call.node} but ran',
            )


def check_responses(record):
    """Yield findings for successful responses that were not correct."""
    for call in record.calls:
        if call.status == 200 and not call.is_correct:
            yield records.Finding(
                'responses are complete and correct',
                f'{call.request_id} got an incorrect response from '
                f'{call.node}',
            )


def check_origins(record):
    """Yield findings for responses that are not those of the call's own run.

    A run is the call's own if this very attempt caused it: a request that
    runs again makes its nested calls again with the same ids.
    """
    runs = {run.stamp: run for run in record.runs}
    for received in record.responses:
        run = runs.get(received.stamp)
        fault = _find_origin_fault(record, received, run)
        if not fault:
            continue
        caller = (
            f'the run {received.caller}' if received.caller else 'a client'
        )
        own_runs = [
            f'{own.stamp} ({record.answers.get(own.stamp)})'
            for own in record.runs
            if own.request_id == received.request_id
            and own.caller == received.caller
        ]
        yield records.Finding(
            'responses are those of the own run',
            f'{received.request_id} of {caller} got '
            f'status {received.status} with the stamp {received.stamp!r}: '
            f'{fault}; its own runs: {", ".join(own_runs) or "none"}',
        )


def _find_origin_fault(record, received, run):
    """Return why a response is not that of a run, empty if it is.

    :param received: the `mesh_target.Received`
    :param run: the `mesh_target.Run` that its stamp names, None for none
    """
    if not received.stamp:
        is_success = 200 <= received.status < 300
        return 'a success without a stamp' if is_success else ''
    if not received.status:
        return ''
    if run is None:
        return 'there is no such run'
    if run.request_id != received.request_id:
        return f'that run is of another request, {run.request_id}'
    if run.caller != received.caller:
        return f'that run is of an earlier attempt, of {run.caller!r}'
    status = record.answers.get(run.stamp)
    if status != received.status:
        return f'that run answered {status}'
    if not received.has_expected_body:
        return 'the body is not that of the run'
    return ''


def check_interruptions(record):
    """Yield findings for calls that were cut without an unplanned fault.

    A request that the node has not read is no finding, see `_may_be_unread`.
    """
    last_runs = {run.request_id: run for run in record.runs}
    ignored_faults = (
        records.PLANNED_FAULTS
        | records.STORE_FAULTS
        | records.TARGET_FAULTS
        | records.MACHINE_FAULTS
    )
    for call in record.calls:
        if call.status:
            continue
        if call.request_id not in last_runs and _may_be_unread(record, call):
            continue
        run = last_runs.get(call.request_id)
        if run is not None and any(
            stop.node == call.node and _may_give_up(record, run, stop)
            for stop in record.stops
        ):
            continue
        if not _is_disrupted(
            record,
            call.node,
            call.sent_at - RECOVERY_S,
            call.ended_at,
            ignored_faults,
        ):
            yield records.Finding(
                'only unplanned faults cut calls',
                f'{call.request_id} at {call.node} had no response, sent '
                f'at {call.sent_at:.2f}, cut at {call.ended_at:.2f}',
            )


def check_closed_connections(record):
    """Yield findings for nodes that often close connections under requests.

    The clients do not send on a connection that they can see to be closed, so
    only a request that crosses the close is lost without having been read.
    """
    run_ids = {run.request_id for run in record.runs}
    unplanned_faults = frozenset((records.Fault.KILL, records.Fault.PAUSE))
    ids_by_node = collections.defaultdict(list)
    for call in record.calls:
        if (
            not call.status
            and not call.used_new_connection
            and call.request_id not in run_ids
            and not any(
                stop.node == call.node
                and stop.at <= call.ended_at
                and call.sent_at <= stop.ended_at
                for stop in record.stops
            )
            and not _is_disrupted(
                record,
                call.node,
                call.sent_at - RECOVERY_S,
                call.ended_at,
                frozenset(records.Fault) - unplanned_faults,
            )
        ):
            ids_by_node[call.node].append(call.request_id)
    for node, request_ids in ids_by_node.items():
        if len(request_ids) > CROSSING_LIMIT:
            yield records.Finding(
                'nodes do not close connections under requests',
                f'{node} closed {len(request_ids)} kept connections under '
                f'requests that had not run, the first is {request_ids[0]}',
            )


def _may_be_unread(record, call):
    """Return whether the node may have closed the connection of a call unread.

    A node may close an idle connection while a request is on its way to it,
    and any connection while it stops; what is sent to it later than `TAKEN_S`
    after its SIGTERM it need not read, however long it takes to close. A new
    connection for which it has no descriptors left waits until it is accepted
    and is then closed; that it has not been read shows by a reset.
    """
    if (
        call.was_reset
        and call.used_new_connection
        and _is_disrupted(
            record,
            call.node,
            call.sent_at,
            call.ended_at,
            frozenset(records.Fault) - records.CROWDING_FAULTS,
        )
    ):
        return True
    is_short = call.ended_at - call.sent_at <= UNREAD_LIMIT_S
    for stop in record.stops:
        if stop.node == call.node and stop.at <= call.sent_at <= stop.ended_at:
            return is_short or call.sent_at > stop.at + TAKEN_S
    return is_short and not call.used_new_connection


def check_stops(record):
    """Yield findings for calls without the answer of their target.

    They were in flight while the node that took them, or that of the target,
    was stopped in order.
    """
    last_runs = {run.request_id: run for run in record.runs}
    for call in record.calls:
        run = last_runs.get(call.request_id)
        if run is None or (call.status and call.is_of_target):
            continue
        limit_s = (
            LONG_CALL_LIMIT_S
            if call.kind is records.CallKind.LONG
            else CALL_LIMIT_S
        )
        if call.ended_at - call.sent_at > limit_s - CALL_LIMIT_MARGIN_S:
            continue
        target_node = _target_node(record, run)
        stops = [
            stop
            for stop in record.stops
            if stop.node in (call.node, target_node)
            and stop.at <= call.ended_at <= stop.at + clusters.GRACE_S
            and call.sent_at <= stop.at + TAKEN_S
        ]
        if (
            not stops
            or any(_may_give_up(record, run, stop) for stop in stops)
            or _is_unplanned(record, call, run)
        ):
            continue
        stop = stops[0]
        yield records.Finding(
            'a stopping node answers what it has taken',
            f'{call.request_id} at {call.node} got status {call.status} '
            f'{call.ended_at - stop.at:.2f} s after the SIGTERM of '
            f'{stop.node}, sent at {call.sent_at - stop.at:.2f} s, at '
            f'{run.instance} of {target_node}, which would have answered at '
            f'{run.at + run.work_s - stop.at:.2f} s',
        )


def check_departures(record):
    """Yield findings for calls sent to a target too long after it departed."""
    latest_run_at = {
        departure.instance: departure.at + DRAIN_LIMIT_S
        for departure in record.departures
    }
    for run in record.runs:
        if run.at > latest_run_at.get(run.instance, float('inf')):
            yield records.Finding(
                'no calls for a departed target',
                f'{run.request_id} ran at {run.instance} '
                f'{run.at - latest_run_at[run.instance]:.2f} s too late',
            )


def check_apply_times(record):
    """Yield findings for configurations that took effect too late.

    Each generation has a route of its own; a node on which an older one is
    in force responds to it with status 404.
    """
    for probe in record.probes:
        due_changes = [
            c
            for c in record.changes
            if c.accepted_at + APPLY_LIMIT_S < probe.sent_at
        ]
        newest = max((c.generation for c in due_changes), default=0)
        if probe.status != NOT_FOUND or probe.generation > newest:
            continue
        later_changes = [
            c for c in record.changes if c.generation > probe.generation
        ]
        if (
            later_changes
            and min(c.accepted_at for c in later_changes)
            <= probe.sent_at + APPLY_LIMIT_S
        ):
            # A later configuration may have removed the route.
            continue
        if not _is_disrupted(
            record, probe.node, probe.sent_at - APPLY_LIMIT_S - RECOVERY_S,
            probe.sent_at, records.TARGET_FAULTS | records.ORDERS,
        ):  # fmt: skip
            yield records.Finding(
                'a configuration is in force in time',
                f'{probe.node} had not applied generation '
                f'{probe.generation} at {probe.sent_at:.2f}',
            )


def check_limits(record):
    """Yield findings for targets that got more calls than their limit.

    A node that was killed, paused or restarted is excused.
    """
    for node, period in record.limits:
        times = sorted(
            run.at
            for run in record.runs
            if run.instance == period.instance
            and period.since + LIMIT_SETTLING_S <= run.at <= period.until
        )
        allowed = LIMIT_RATIO * LIMIT_WINDOW_S * period.rate + LIMIT_EXTRA
        for index, start in enumerate(times):
            end = start + LIMIT_WINDOW_S
            count = bisect.bisect_left(times, end) - index
            if count > allowed and not _is_disrupted(
                record,
                node,
                period.since,
                end,
                records.STORE_FAULTS | records.TARGET_FAULTS | records.ORDERS,
            ):
                yield records.Finding(
                    'targets get no more calls than their limit',
                    f'{period.instance} got {count} calls in '
                    f'{LIMIT_WINDOW_S:g} s from {start:.2f}, '
                    f'{allowed:g} are allowed',
                )
                break


def check_cold_crashes(record):
    """Yield findings for cold targets that crashed under their calls."""
    for crash in record.cold_crashes:
        cause = 'since its start' if crash.is_after_start else 'at run time'
        yield records.Finding(
            'cold targets get no more calls than they bear',
            f'{crash.instance}, cold {cause}, got {crash.calls} calls in '
            f'the second before {crash.at:.2f}',
        )


def check_evacuations(record):
    """Yield findings for calls that reached an evacuated zone too late."""
    for evacuation in record.evacuations:
        for run in record.runs:
            node = evacuation.nodes.get(run.instance.rpartition('-')[0])
            since = evacuation.written_at
            earliest = since + EVACUATE_LIMIT_S
            if node is None or not earliest < run.at < evacuation.deleted_at:
                continue
            elapsed = _undisturbed_s(record, node, since, run.at)
            if elapsed > REACH_S:
                yield records.Finding(
                    'an evacuated zone gets no calls',
                    f'{run.request_id} reached {run.instance} in '
                    f'{evacuation.zone} at {run.at:.2f}, '
                    f'{run.at - since:.2f} s after the order, {elapsed:.2f} '
                    f's without disruptions of {node}',
                )


def check_withdrawals(record):
    """Yield findings for calls that ran though their key was withdrawn.

    The time of sending counts, which a loaded machine can only delay, so no
    fault is an excuse.
    """
    withdrawn_at = {w.key: w.at for w in record.withdrawals}
    for run in record.runs:
        call = record.keyed_calls.get(run.request_id)
        if call is None or call.key not in withdrawn_at:
            continue
        age_s = call.sent_at - withdrawn_at[call.key]
        if age_s > REVOKE_LIMIT_S:
            yield records.Finding(
                'calls with a withdrawn key do not run',
                f'{run.request_id} ran at {run.instance}, sent {age_s:.2f} s '
                'after its key was withdrawn',
            )


def check_organisations(record):
    """Yield findings for runs with a key or a wrong organisation.

    Nested calls and those on public routes belong to no organisation.
    """
    for run in record.runs:
        call = record.keyed_calls.get(run.request_id)
        organisation = call.organisation if call else ''
        if run.has_key:
            yield records.Finding(
                'targets never see a key',
                f'{run.request_id} reached {run.instance} with a key',
            )
        if run.organisation != organisation:
            yield records.Finding(
                "targets see the call's organisation",
                f'{run.request_id} reached {run.instance} with the '
                f'organisation {run.organisation!r}, not {organisation!r}',
            )


def check_regressions(record):
    """Yield findings for nodes that went back to an older configuration."""
    newest_generations = {}
    for probe in sorted(record.probes, key=lambda probe: probe.sent_at):
        if probe.status in (0, 503):
            continue
        key = (probe.node, probe.start_count)
        if probe.status != NOT_FOUND:
            newest_generations[key] = max(
                newest_generations.get(key, 0), probe.generation
            )
        elif probe.generation == newest_generations.get(key) and not any(
            change.generation > probe.generation for change in record.changes
        ):
            yield records.Finding(
                'no return to an older configuration',
                f'{probe.node} had applied generation {probe.generation} '
                f'before {probe.sent_at:.2f}',
            )


def _target_node(record, run):
    return record.target_nodes.get(run.instance.rpartition('-')[0], '')


def _may_give_up(record, run, stop):
    """Return whether a run went on in the last sixth of a stop's grace.

    A target ends a run at once when its connection is closed, so a run that
    the node gave up before does not count.
    """
    ended_at = record.run_ends.get((run.request_id, run.instance), run.at)
    end = stop.at + clusters.GRACE_S
    since = end - clusters.GRACE_S * LAST_SHARE_OF_GRACE
    return run.at <= end and ended_at >= since


def _is_unplanned(record, call, run):
    """Return whether an unplanned fault affected a call or its target."""
    target_faults = records.TARGET_FAULTS - HARMLESS_FAULTS
    target_node = _target_node(record, run)
    return any(
        disruption.since <= call.ended_at
        and disruption.until >= call.sent_at
        and (
            (
                disruption.fault in (records.Fault.KILL, records.Fault.PAUSE)
                and disruption.node in (call.node, target_node)
            )
            or (
                disruption.fault in target_faults
                and disruption.node == target_node
            )
        )
        for disruption in record.disruptions
    ) or any(
        crash.instance == run.instance and run.at <= crash.at <= call.ended_at
        for crash in record.cold_crashes
    )


def _undisturbed_s(record, node, since, until):
    """Return the time in which a node was running and reached the store.

    :param since: start of the period, in seconds of trio's clock
    :param until: end of the period
    :returns: seconds
    """
    faults = records.UNREACHABLE_STORE_FAULTS | records.PROCESS_FAULTS
    elapsed = 0.0
    for disruption in sorted(record.disruptions, key=lambda d: d.since):
        if disruption.fault in faults and disruption.node in ('', node):
            elapsed += max(0.0, min(disruption.since, until) - since)
            since = max(since, disruption.until + RECONNECT_S)
    return elapsed + max(0.0, until - since)


def _is_disrupted(record, node, since, until, ignored_faults=frozenset()):
    """Return whether a fault affected a node in a period of time.

    :param since: start of the period, in seconds of trio's clock
    :param until: end of the period
    :param ignored_faults: the `records.Fault`s that do not count
    """
    return any(
        disruption.node in ('', node)
        and disruption.fault not in ignored_faults
        and disruption.since <= until
        and disruption.until >= since
        for disruption in record.disruptions
    )
