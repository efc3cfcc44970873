"""Whether the promises held, from what callers and targets saw."""

import collections

from soak import records

# The operators' bounds, in seconds: a departure binds, a configuration is
# in force, a machine or the store has been well for so long, and a request
# has been read after so long.
DRAIN_LIMIT_S = 2.0
APPLY_LIMIT_S = 2.0
RECOVERY_S = 3.0
UNREAD_LIMIT_S = 0.2
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
NOT_FOUND = 404


def check(record, checks_timing=True):
    """Return the `records.Finding`s of a soak.

    :param checks_timing: whether to check what depends on the time that the
        machine took; off where it is shared with much else
    """
    findings = [
        *check_at_most_once(record),
        *check_not_run(record),
        *check_responses(record),
        *check_interruptions(record),
        *check_regressions(record),
    ]
    if checks_timing:
        findings += [*check_departures(record), *check_apply_times(record)]
    return findings


def check_at_most_once(record):
    """Yield requests that may run once and ran more often."""
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
    """Yield requests that were refused as not run and ran."""
    executed_ids = {run.request_id for run in record.runs}
    for call in record.calls:
        if call.status in NOT_RUN_STATUSES and call.request_id in executed_ids:
            yield records.Finding(
                'not run means not run',
                f'{call.request_id} got {call.status} from '
                f'{call.node} and ran',
            )


def check_responses(record):
    """Yield successes that were not the caller's own, whole response."""
    for call in record.calls:
        if call.status == 200 and not call.is_correct:
            yield records.Finding(
                'own and whole answers',
                f'{call.request_id} got another body from {call.node}',
            )


def check_interruptions(record):
    """Yield requests that were cut although nothing unplanned happened.

    A request that crossed the close of its connection was not read.
    """
    executed_ids = {run.request_id for run in record.runs}
    ignored_faults = (
        records.PLANNED_FAULTS | records.STORE_FAULTS | records.TARGET_FAULTS
    )
    for call in record.calls:
        if call.status:
            continue
        may_have_been_read = call.ended_at - call.sent_at > UNREAD_LIMIT_S
        if call.request_id not in executed_ids and not may_have_been_read:
            continue
        if not _is_disrupted(
            record,
            call.node,
            call.sent_at - RECOVERY_S,
            call.ended_at,
            ignored_faults,
        ):
            yield records.Finding(
                'a planned stop cuts nothing',
                f'{call.request_id} at {call.node} had no response, sent '
                f'at {call.sent_at:.2f}, cut at {call.ended_at:.2f}',
            )


def check_departures(record):
    """Yield runs at a target later than its acknowledged leaving allows."""
    latest_run_at = {
        departure.instance: departure.at + DRAIN_LIMIT_S
        for departure in record.departures
    }
    for run in record.runs:
        if run.at > latest_run_at.get(run.instance, float('inf')):
            yield records.Finding(
                'nothing for a target that leaves',
                f'{run.request_id} ran at {run.instance} '
                f'{run.at - latest_run_at[run.instance]:.2f} s too late',
            )


def check_apply_times(record):
    """Yield probes handled as only an older configuration allows.

    Each generation has one route of its own; a node that acts on an older
    one answers 404 to it.
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
            # The route may be gone by now.
            continue
        if not _is_disrupted(
            record, probe.node, probe.sent_at - APPLY_LIMIT_S - RECOVERY_S,
            probe.sent_at, records.TARGET_FAULTS,
        ):  # fmt: skip
            yield records.Finding(
                'a configuration is in force in time',
                f'{probe.node} does not know generation {probe.generation} '
                f'at {probe.sent_at:.2f}',
            )


def check_regressions(record):
    """Yield probes that an older configuration answered after a newer."""
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
                'no way back to an older configuration',
                f'{probe.node} knew generation {probe.generation} before '
                f'{probe.sent_at:.2f}',
            )


def _is_disrupted(record, node, since, until, ignored_faults=frozenset()):
    """Whether a node or the store was disrupted in a span of time.

    :param ignored_faults: faults that do not count
    """
    return any(
        disruption.node in ('', node)
        and disruption.fault not in ignored_faults
        and disruption.since <= until
        and disruption.until >= since
        for disruption in record.disruptions
    )
