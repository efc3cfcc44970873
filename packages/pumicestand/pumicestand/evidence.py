"""Sequential test of a new version by the fleet's counters.

It is a test by betting and may be read at any time. It bets against the
hypothesis that the new version fails no more often than a bound. Its capital
is a product over single calls that depends only on the number of calls and of
failures, so counters that are summed over the fleet in any order give the
same capital. Under the hypothesis the capital exceeds 1/alpha with a
probability of at most alpha, however often it is read (Ville's inequality).
"""

import dataclasses
import math

from pumicestand import messages

# Fractions of the capital that are bet on the failure of each call; the
# capital of the test is the mean over all of them.
BET_FRACTIONS = (0.01, 0.03, 0.1, 0.3, 0.9)
# Bound on the probability that a good version is taken back, for all tests
# that are read together.
FALSE_ALARM_PROBABILITY = 1e-5
# Bounds of the allowed failure ratio in the test, which divides by it.
MIN_ALLOWED_RATIO = 1e-4
MAX_ALLOWED_RATIO = 0.95
# Margin on the old version's failure ratio, in standard deviations.
MARGIN_DEVIATIONS = 2.0
# Allowed excess of the new version's ratio of slow calls over the old one's.
SLOW_TOLERANCE_RATIO = 0.003
# Stands for the name of a route in counters of all routes together.
ALL_ROUTES = '*'
# Quantile of the latencies that `QuantileTracker` estimates by default.
LATENCY_QUANTILE = 0.95
# Step of the estimated quantile, as a difference of natural logarithms.
QUANTILE_LOG_STEP = 0.05
# Lengths of the windows that are tested besides the whole time of a move, in
# ascending order.
WINDOWS_S = (5.0, 20.0, 60.0, 300.0)
# Least time between two snapshots of the counters.
HISTORY_PERIOD_S = 1.0


def log_capital(calls, failures, allowed_ratio):
    """Return the natural logarithm of the test's capital.

    :param calls: number of calls
    :param failures: number of these calls that failed
    :param allowed_ratio: failure probability allowed by the hypothesis

    >>> log_capital(1000, 10, 0.02) < 0 < log_capital(10, 10, 0.02)
    True
    """
    ratio = min(max(allowed_ratio, MIN_ALLOWED_RATIO), MAX_ALLOWED_RATIO)
    log_capitals = []
    for bet in BET_FRACTIONS:
        stake = bet / ratio
        log_gain = math.log1p(stake * (1 - ratio))
        log_loss = math.log1p(-bet)
        log_capitals.append(
            failures * log_gain + (calls - failures) * log_loss
        )
    # The mean is taken relative to the largest value to avoid an overflow.
    largest = max(log_capitals)
    mean = sum(math.exp(value - largest) for value in log_capitals) / len(
        log_capitals
    )
    return largest + math.log(mean)


def allowed_failure_ratio(old_calls, old_failures, tolerance):
    """Return the failure ratio that the new version is allowed.

    It is the old version's ratio over the same time, plus a margin for the
    uncertainty of that ratio, plus the tolerance.
    """
    if old_calls == 0:
        return tolerance
    ratio = old_failures / old_calls
    deviation = math.sqrt(max(old_failures, 1)) / old_calls
    margin = MARGIN_DEVIATIONS * deviation if old_failures else 0.0
    return ratio + margin + tolerance


def add_counters(first, second):
    """Return the sum of two `messages.Counters` of one move and route."""
    return messages.Counters(
        first.move,
        first.route,
        *(
            a + b
            for a, b in zip(_numbers(first), _numbers(second), strict=True)
        ),
    )


def merge_counters(first, second):
    """Return the later of two states of counters that only grow.

    It is the maximum of each number.
    """
    return messages.Counters(
        first.move,
        first.route,
        *(
            max(a, b)
            for a, b in zip(_numbers(first), _numbers(second), strict=True)
        ),
    )


def subtract_counters(later, earlier):
    """Return what was counted between two states of counters."""
    return messages.Counters(
        later.move,
        later.route,
        *(
            max(0, a - b)
            for a, b in zip(_numbers(later), _numbers(earlier), strict=True)
        ),
    )


def _numbers(counters):
    return (
        counters.new_calls,
        counters.new_errors,
        counters.new_slow,
        counters.old_calls,
        counters.old_errors,
        counters.old_slow,
    )


class QuantileTracker:
    """Estimates one quantile of a stream of latencies in constant memory.

    Each value moves the logarithm of the estimate by one step of stochastic
    approximation.

    :param quantile: the quantile to estimate, from 0 to 1

    >>> tracker = QuantileTracker(0.5)
    >>> for value in [1.0, 3.0] * 500:
    ...     tracker.add(value)
    >>> 0.9 < tracker.value < 3.1
    True
    """

    def __init__(self, quantile=LATENCY_QUANTILE):
        self._quantile = quantile
        self._log = None

    @property
    def value(self):
        """The estimate in the unit of the values, None before the first."""
        return None if self._log is None else math.exp(self._log)

    def add(self, value):
        """Update the estimate with a value."""
        log = math.log(max(value, 1e-6))
        if self._log is None:
            self._log = log
            return
        if log > self._log:
            self._log += QUANTILE_LOG_STEP * self._quantile
        else:
            self._log -= QUANTILE_LOG_STEP * (1 - self._quantile)


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Evidence that a new version is worse than allowed on a route.

    :param symptom: what the calls did, such as "failed"
    :param calls: calls of the new version
    :param failures: calls of the new version that show the symptom
    :param allowed_ratio: failures per call that are allowed
    :param window_s: seconds over which the calls were counted
    """

    route: str
    symptom: str
    calls: int
    failures: int
    allowed_ratio: float
    window_s: float

    @property
    def scope(self):
        """The route as text, or that the finding is on all routes."""
        if self.route == ALL_ROUTES:
            return 'all routes'
        return f'route {self.route}'

    def __str__(self):
        return (
            f'{self.failures} of {self.calls} calls of the new version on '
            f'{self.scope} {self.symptom} within {self.window_s:.0f} s, '
            f'allowed are {self.allowed_ratio:.2%}'
        )


class History:
    """The fleet's counters of one move over time.

    The counters are compared over several windows, so that the good calls
    that a version answered earlier do not hide that it has turned bad.
    """

    def __init__(self):
        self._snapshots = []

    def add(self, now, totals):
        """Store a snapshot unless the last one is too recent.

        :param now: wall time in seconds
        :param totals: route name to `messages.Counters`
        """
        if self._snapshots and now - self._snapshots[-1][0] < HISTORY_PERIOD_S:
            return
        self._snapshots.append((now, dict(totals)))
        oldest_at = now - WINDOWS_S[-1] - HISTORY_PERIOD_S
        while len(self._snapshots) > 1 and self._snapshots[1][0] < oldest_at:
            self._snapshots.pop(0)

    def windows(self, now, totals):
        """Yield (length in seconds, route, counters) of each window."""
        first_at = self._snapshots[0][0] if self._snapshots else now
        starts = {self._index_at(now - length) for length in WINDOWS_S}
        starts.discard(None)
        for route, counters in totals.items():
            yield now - first_at, route, counters
            for index in starts:
                taken_at, snapshot = self._snapshots[index]
                earlier = snapshot.get(route)
                if earlier is None and route == ALL_ROUTES and snapshot:
                    earlier = _sum_routes(snapshot)
                if earlier is not None:
                    yield (
                        now - taken_at,
                        route,
                        subtract_counters(counters, earlier),
                    )

    def _index_at(self, at):
        """Return the index of the last snapshot not after a time."""
        found = None
        for index, (taken_at, _) in enumerate(self._snapshots):
            if taken_at > at:
                break
            found = index
        return found


def _sum_routes(totals):
    """Return the counters of a move over all its routes."""
    first = next(iter(totals.values()))
    total = messages.Counters(first.move, ALL_ROUTES)
    for counters in totals.values():
        total = add_counters(total, counters)
    return total


@dataclasses.dataclass(frozen=True, slots=True)
class Assessment:
    """Result of all tests on a new version.

    :param finding: the first `Finding` that justifies taking it back, or None
    :param log_capital: the highest of all tests that were read
    """

    finding: Finding | None
    log_capital: float


def assess(move, now, totals, history):
    """Return the `Assessment` of all tests on a move's new version.

    :param move: the `documents.Move`
    :param now: wall time in seconds
    :param totals: route name to the fleet's `messages.Counters`
    :param history: the `History` of these totals
    """
    # Two comparisons for each route and for all routes together, each over
    # the whole time and over each window, share the false alarm probability.
    test_count = 2 * (1 + len(totals)) * (1 + len(WINDOWS_S))
    threshold = math.log(test_count / FALSE_ALARM_PROBABILITY)
    if len(totals) > 1:
        totals = {**totals, ALL_ROUTES: _sum_routes(totals)}
    highest = 0.0
    for window_s, route, counters in history.windows(now, totals):
        for symptom, failures, allowed_ratio in _comparisons(
            move, route, counters
        ):
            capital = log_capital(counters.new_calls, failures, allowed_ratio)
            highest = max(highest, capital)
            if capital >= threshold:
                finding = Finding(
                    route,
                    symptom,
                    counters.new_calls,
                    failures,
                    allowed_ratio,
                    window_s,
                )
                return Assessment(finding, capital)
    return Assessment(None, highest)


def _comparisons(move, route, counters):
    """Yield (symptom, failures, allowed failure ratio) of each comparison."""
    thresholds = move.thresholds_for(route)
    allowed_errors = allowed_failure_ratio(
        counters.old_calls, counters.old_errors, thresholds.errors
    )
    yield 'failed', counters.new_errors, allowed_errors
    allowed_slow = allowed_failure_ratio(
        counters.old_calls, counters.old_slow, SLOW_TOLERANCE_RATIO
    )
    yield (
        f'were over {thresholds.latency:g}x as slow as the old version',
        counters.new_slow,
        allowed_slow,
    )
