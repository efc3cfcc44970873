"""Whether the promises held, from what callers and targets saw."""

import collections

from soak import records

# The operators' bounds, in seconds: a departure binds, a configuration is
# in force, a machine or the store has been well for so long, and a request
# has been read after so long.
DRAIN_S = 2.0
APPLY_S = 2.0
STABLE_S = 3.0
LOST_S = 0.2
REFUSALS = frozenset((408, 421, 429, 503))
NOT_FOUND = 404


def check(record, is_timed=True):
    """Return the `records.Finding`s of a soak.

    :param is_timed: whether to check what depends on the time that the
        machine took; off where it is shared with much else
    """
    found = [
        *check_once(record),
        *check_refusals(record),
        *check_answers(record),
        *check_stops(record),
        *check_regress(record),
    ]
    if is_timed:
        found += [*check_departures(record), *check_changes(record)]
    return found


def check_once(record):
    """Yield requests that may run once and ran more often."""
    counts = collections.Counter(run.request_id for run in record.runs)
    for attempt in record.attempts:
        if attempt.kind is records.Kind.REPEATABLE:
            continue
        if counts[attempt.identity] > 1:
            yield records.Finding(
                'at most once',
                f'{attempt.identity} ran {counts[attempt.identity]} times',
            )


def check_refusals(record):
    """Yield requests that were refused as not run and ran."""
    ran = {run.request_id for run in record.runs}
    for attempt in record.attempts:
        if attempt.status in REFUSALS and attempt.identity in ran:
            yield records.Finding(
                'not run means not run',
                f'{attempt.identity} got {attempt.status} from '
                f'{attempt.node} and ran',
            )


def check_answers(record):
    """Yield successes that were not the caller's own, whole answer."""
    for attempt in record.attempts:
        if attempt.status == 200 and not attempt.is_own:
            yield records.Finding(
                'own and whole answers',
                f'{attempt.identity} got another body from {attempt.node}',
            )


def check_stops(record):
    """Yield requests that were cut although nothing unplanned happened.

    A request that crossed the close of its connection was not read.
    """
    ran = {run.request_id for run in record.runs}
    excused = records.PLANNED | records.OF_STORE | records.OF_TARGET
    for attempt in record.attempts:
        if attempt.status:
            continue
        was_read = attempt.ended_at - attempt.sent_at > LOST_S
        if attempt.identity not in ran and not was_read:
            continue
        if not _is_disrupted(
            record,
            attempt.node,
            attempt.sent_at - STABLE_S,
            attempt.ended_at,
            excused,
        ):
            yield records.Finding(
                'a planned stop cuts nothing',
                f'{attempt.identity} at {attempt.node} had no answer, sent '
                f'at {attempt.sent_at:.2f}, cut at {attempt.ended_at:.2f}',
            )


def check_departures(record):
    """Yield runs at a target later than its acknowledged leaving allows."""
    until = {
        departure.instance: departure.at + DRAIN_S
        for departure in record.departures
    }
    for run in record.runs:
        if run.at > until.get(run.instance, float('inf')):
            yield records.Finding(
                'nothing for a target that leaves',
                f'{run.request_id} ran at {run.instance} '
                f'{run.at - until[run.instance]:.2f} s too late',
            )


def check_changes(record):
    """Yield probes handled as only an older configuration allows.

    Each generation has one route of its own; a node that acts on an older
    one answers 404 to it.
    """
    for probe in record.probes:
        due = [c for c in record.changes if c.at + APPLY_S < probe.sent_at]
        newest = max((c.generation for c in due), default=0)
        if probe.status != NOT_FOUND or probe.generation > newest:
            continue
        later = [c for c in record.changes if c.generation > probe.generation]
        if later and min(c.at for c in later) <= probe.sent_at + APPLY_S:
            # The route may be gone by now.
            continue
        if not _is_disrupted(
            record, probe.node, probe.sent_at - APPLY_S - STABLE_S,
            probe.sent_at, records.OF_TARGET,
        ):  # fmt: skip
            yield records.Finding(
                'a configuration is in force in time',
                f'{probe.node} does not know generation {probe.generation} '
                f'at {probe.sent_at:.2f}',
            )


def check_regress(record):
    """Yield probes that an older configuration answered after a newer."""
    newest = {}
    for probe in sorted(record.probes, key=lambda held: held.sent_at):
        if probe.status in (0, 503):
            continue
        key = (probe.node, probe.boot)
        if probe.status != NOT_FOUND:
            newest[key] = max(newest.get(key, 0), probe.generation)
        elif probe.generation == newest.get(key) and not any(
            change.generation > probe.generation for change in record.changes
        ):
            yield records.Finding(
                'no way back to an older configuration',
                f'{probe.node} knew generation {probe.generation} before '
                f'{probe.sent_at:.2f}',
            )


def _is_disrupted(record, node, since, until, besides=frozenset()):
    """Whether a node or the store was disrupted in a span of time.

    :param besides: faults that do not count
    """
    return any(
        disruption.node in ('', node)
        and disruption.fault not in besides
        and disruption.since <= until
        and disruption.until >= since
        for disruption in record.disruptions
    )
