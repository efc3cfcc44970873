"""Whether a new version of a service is worse than the others.

The versions are compared in slices of time: in each, the new version is
expected to fail as often and to take as long as the others did. A fault that
strikes the targets of all versions then does not count against the version
that happens to get more of its calls during it.
"""

import collections
import dataclasses
import math

from pumicestand import zone_summaries

# Length of a slice in seconds. The evidence of one moment arrives over about
# a second.
SLICE_S = 1.0
# Slices that are also evaluated on their own, so that a version that turns bad
# late is found as soon as one that was bad at once.
RECENT_SLICES = 4
# Calls of the other versions' whole evidence that are added to their evidence
# in a slice, which may be of few calls.
PRIOR_CALLS = 1
# Failed calls on one route from which a version can be found bad.
MIN_ERRORS = 5
# Error rate above that of the other versions from which a version is bad.
MAX_EXCESS_ERROR_RATIO = 0.15
# A lower error rate shows only in many calls, and in those of most targets: a
# fault of a few targets is none of their version. A version is bad if
# what failed without its worst targets exceeds this multiple of what was
# expected, by this many standard deviations and one call.
MAX_ERROR_RATE_RATIO = 3.0
ERROR_DEVIATIONS = 3.0
# Variance of the failures where none is expected.
MIN_ERROR_VARIANCE = 0.25
# Calls of the other versions in a slice without which it has no comparison,
# and their least share of those of the new one.
MIN_COMPARED_CALLS = 3
MIN_COMPARED_RATIO = 0.05
# Timed calls on one route, of both versions, from which a version can be
# found slow.
MIN_TIMED_CALLS = 10
# Ratio of mean latencies from which a version is slow. Targets of the same
# version differ by a factor of two to three among themselves.
MAX_LATENCY_RATIO = 2.6


@dataclasses.dataclass(slots=True)
class _Comparison:
    """The calls of the new version on one route, and what was expected.

    :param calls: calls of the new version
    :param errors: those of them that failed
    :param expected_errors: failures if it had failed as often as the others
    :param timed_calls: calls of the new version whose time is known
    :param work_ms: their processing time in milliseconds
    :param expected_work_ms: their time if it had been as long as the others'
    """

    calls: float = 0.0
    errors: float = 0.0
    expected_errors: float = 0.0
    timed_calls: float = 0.0
    work_ms: float = 0.0
    expected_work_ms: float = 0.0

    def __add__(self, other):
        return _Comparison(
            *(
                getattr(self, field.name) + getattr(other, field.name)
                for field in dataclasses.fields(self)
            )
        )

    def regression(self, route, other_timed_calls):
        """Return why the new version is bad, an empty text if it is not."""
        excess = self.errors - self.expected_errors
        if (
            self.errors >= MIN_ERRORS
            and excess > MAX_EXCESS_ERROR_RATIO * self.calls
        ):
            return (
                f'{self.errors:.0f} of {self.calls:.0f} calls failed on '
                f'{route}, {self.expected_errors:.1f} were expected'
            )
        if (
            self.timed_calls < MIN_TIMED_CALLS
            or other_timed_calls < MIN_TIMED_CALLS
        ):
            return ''
        if self.work_ms > MAX_LATENCY_RATIO * self.expected_work_ms:
            return (
                f'{self.work_ms / self.timed_calls:.0f} ms a call on {route}, '
                f'{self.expected_work_ms / self.timed_calls:.0f} ms were '
                f'expected'
            )
        return ''


def _find_spread_errors(route, by_source):
    """Return why a version with a low error rate is bad, else an empty text.

    :param by_source: `_Comparison` of each source of evidence on the version
    """
    sources = sorted(
        (c for c in by_source if c.calls), key=lambda c: c.errors / c.calls
    )
    # The worse half of the sources, rounded down, is left out.
    kept = sources[: len(sources) - len(sources) // 2]
    total = sum(kept, start=_Comparison())
    expected = total.expected_errors
    bound = (
        MAX_ERROR_RATE_RATIO * expected
        + ERROR_DEVIATIONS * math.sqrt(expected + MIN_ERROR_VARIANCE)
        + 1
    )
    if total.errors < MIN_ERRORS or total.errors <= bound:
        return ''
    return (
        f'{total.errors:.0f} of {total.calls:.0f} calls failed on {route} at '
        f'{len(kept)} of {len(sources)} sources, {expected:.1f} were expected'
    )


def _compare(new, old, all_old):
    """Return the `_Comparison` of the evidence of one slice on one route.

    :param all_old: the whole evidence of the other versions so far
    """
    prior = PRIOR_CALLS if all_old.calls else 0
    error_rate = (old.errors + prior * all_old.error_rate) / max(
        1, old.calls + prior
    )
    prior = PRIOR_CALLS if all_old.timed_calls else 0
    mean_work_ms = (old.work_ms + prior * all_old.mean_work_ms) / max(
        1, old.timed_calls + prior
    )
    return _Comparison(
        new.calls,
        new.errors,
        new.calls * error_rate,
        new.timed_calls,
        new.work_ms,
        new.timed_calls * mean_work_ms,
    )


class EvidenceHistory:
    """The evidence on the versions of one service, by slices of time."""

    def __init__(self):
        self._slice_start = None
        self._first_new = {}
        self._first_old = {}
        # (Route, source) to its evidence at the start of the slice, and to
        # the sum of the complete slices that have a comparison.
        self._first_by_source = {}
        self._compared = collections.defaultdict(_Comparison)
        # Route to the sum of all complete slices, and to the last ones.
        self._total = collections.defaultdict(_Comparison)
        self._recent = collections.defaultdict(
            lambda: collections.deque(maxlen=RECENT_SLICES)
        )

    def find_regression(self, new, old, now, by_source=None):
        """Return why the new version is bad, an empty text if it is not.

        :param new: sums of all evidence of the new version by route
        :param old: sums of all evidence of the other versions by route
        :param now: monotonic seconds
        :param by_source: sums of the evidence of the new version by (route,
            source), a source being a target or an availability zone
        """
        by_source = by_source or {}
        nothing = zone_summaries.EvidenceSum()
        is_complete = (
            self._slice_start is not None
            and now - self._slice_start >= SLICE_S
        )
        reason = ''
        for route, total in new.items():
            all_old = old.get(route, nothing)
            current = _compare(
                total.since(self._first_new.get(route, nothing)),
                all_old.since(self._first_old.get(route, nothing)),
                all_old,
            )
            recent = sum(self._recent[route], start=current)
            reason = (
                reason
                or (self._total[route] + current).regression(
                    route, all_old.timed_calls
                )
                or recent.regression(route, all_old.timed_calls)
            )
            if is_complete:
                self._total[route] += current
                self._recent[route].append(current)
        if is_complete:
            # They show in seconds, so once a slice is often enough.
            reason = reason or self._find_spread_errors(old, by_source)
        if is_complete or self._slice_start is None:
            self._slice_start = now
            self._first_new, self._first_old = new, old
            # A zone's sum may be missing for a while.
            self._first_by_source = {**self._first_by_source, **by_source}
        return reason

    def _find_spread_errors(self, old, by_source):
        """Compare the error rates of the sources at the end of a slice."""
        nothing = zone_summaries.EvidenceSum()
        by_route = collections.defaultdict(list)
        for (route, source), total in by_source.items():
            all_old = old.get(route, nothing)
            old_slice = all_old.since(self._first_old.get(route, nothing))
            new_slice = total.since(
                self._first_by_source.get((route, source), nothing)
            )
            if old_slice.calls >= max(
                MIN_COMPARED_CALLS, MIN_COMPARED_RATIO * new_slice.calls
            ):
                self._compared[(route, source)] += _compare(
                    new_slice, old_slice, all_old
                )
            by_route[route].append(self._compared[(route, source)])
        for route, comparisons in by_route.items():
            reason = _find_spread_errors(route, comparisons)
            if reason:
                return reason
        return ''
