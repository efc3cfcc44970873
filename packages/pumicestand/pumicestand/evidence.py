"""Evidence on a new version, and the test that may be read at any time.

The test bets against the claim that the new version fails no more often
than a bound. Its capital is a product over single calls that depends only
on how many calls there were and how many of them failed, so counters that
are summed over the fleet in any order give the same capital. Under the
claim the capital exceeds 1/alpha with a probability of at most alpha, no
matter how often it is read (Ville's inequality).
"""

import dataclasses
import math

from pumicestand import messages

BETS = (0.01, 0.03, 0.1, 0.3, 0.9)
FALSE_ALARM_PROBABILITY = 1e-5
MIN_BOUND = 1e-4
MAX_BOUND = 0.95
OLD_SPREAD = 2.0
SLOW_TOLERANCE = 0.003
ALL_ROUTES = '*'
LATENCY_QUANTILE = 0.95
QUANTILE_GAIN = 0.05
WINDOWS_S = (5.0, 20.0, 60.0, 300.0)
HISTORY_STEP_S = 1.0


def log_capital(calls, failures, bound):
    """Return the log of the capital after some calls.

    :param calls: how many calls there were
    :param failures: how many of them failed
    :param bound: the failure probability that is still allowed

    >>> log_capital(1000, 10, 0.02) < 0 < log_capital(10, 10, 0.02)
    True
    """
    bound = min(max(bound, MIN_BOUND), MAX_BOUND)
    logs = []
    for bet in BETS:
        stake = bet / bound
        win = math.log1p(stake * (1 - bound))
        loss = math.log1p(-bet)
        logs.append(failures * win + (calls - failures) * loss)
    top = max(logs)
    mean = sum(math.exp(value - top) for value in logs) / len(logs)
    return top + math.log(mean)


def allowed_rate(old_calls, old_failures, tolerance):
    """Return the failure rate that the new version is allowed.

    It is the old version's rate over the same time, with a margin for how
    little is known of it, and the tolerance on top.
    """
    if old_calls == 0:
        return tolerance
    rate = old_failures / old_calls
    spread = math.sqrt(max(old_failures, 1)) / old_calls
    margin = OLD_SPREAD * spread if old_failures else 0.0
    return rate + margin + tolerance


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
    """Return the later of two states of counters that only grow."""
    return messages.Counters(
        first.move,
        first.route,
        *(
            max(a, b)
            for a, b in zip(_numbers(first), _numbers(second), strict=True)
        ),
    )


def subtract_counters(now, before):
    """Return what was counted between two states."""
    return messages.Counters(
        now.move,
        now.route,
        *(
            max(0, a - b)
            for a, b in zip(_numbers(now), _numbers(before), strict=True)
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
    """Follows one quantile of a stream of latencies, in constant memory.

    A step of stochastic approximation on the logarithm for each value.

    :param quantile: which quantile, from 0 to 1

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
        """The estimate in the unit of the values, None without any."""
        return None if self._log is None else math.exp(self._log)

    def add(self, value):
        """Take a value into account."""
        log = math.log(max(value, 1e-6))
        if self._log is None:
            self._log = log
            return
        if log > self._log:
            self._log += QUANTILE_GAIN * self._quantile
        else:
            self._log -= QUANTILE_GAIN * (1 - self._quantile)


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """What the test found against a version on one route."""

    route: str
    what: str
    calls: int
    failures: int
    allowed: float
    seconds: float

    @property
    def where(self):
        """The route, or that all routes are meant."""
        if self.route == ALL_ROUTES:
            return 'all routes'
        return f'route {self.route}'

    def __str__(self):
        return (
            f'{self.failures} of {self.calls} calls of the new version on '
            f'{self.where} {self.what} within {self.seconds:.0f} s, '
            f'allowed are {self.allowed:.2%}'
        )


class History:
    """The fleet's counters of one move over time.

    Reads them from several starts, so that a version that turns bad late
    is not protected by the good calls it answered before.
    """

    def __init__(self):
        self._states = []

    def add(self, now, totals):
        """Keep a state of the totals: route name to counters."""
        if self._states and now - self._states[-1][0] < HISTORY_STEP_S:
            return
        self._states.append((now, dict(totals)))
        oldest = now - WINDOWS_S[-1] - HISTORY_STEP_S
        while len(self._states) > 1 and self._states[1][0] < oldest:
            self._states.pop(0)

    def windows(self, now, totals):
        """Yield (seconds, route, counters) from each start until now."""
        first = self._states[0][0] if self._states else now
        starts = {self._state_at(now - length) for length in WINDOWS_S}
        starts.discard(None)
        for route, counters in totals.items():
            yield now - first, route, counters
            for index in starts:
                at, state = self._states[index]
                before = state.get(route)
                if before is None and route == ALL_ROUTES and state:
                    before = _sum_routes(state)
                if before is not None:
                    yield now - at, route, subtract_counters(counters, before)

    def _state_at(self, at):
        """Return the index of the last state not after a time."""
        found = None
        for index, (stamp, _) in enumerate(self._states):
            if stamp > at:
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
    """What the tests say of a version at one moment.

    :param finding: the `Finding` that condemns it, or None
    :param log_capital: of the test that speaks most against it
    """

    finding: Finding | None
    log_capital: float


def assess(move, now, totals, history):
    """Return the `Assessment` of all tests on a move's new version.

    :param move: the `documents.Move`
    :param totals: route name to the fleet's counters
    :param history: the `History` of these totals
    """
    tests = 2 * (1 + len(totals)) * (1 + len(WINDOWS_S))
    threshold = math.log(tests / FALSE_ALARM_PROBABILITY)
    if len(totals) > 1:
        totals = {**totals, ALL_ROUTES: _sum_routes(totals)}
    highest = 0.0
    for seconds, route, counters in history.windows(now, totals):
        for what, failures, allowed in _comparisons(move, route, counters):
            capital = log_capital(counters.new_calls, failures, allowed)
            highest = max(highest, capital)
            if capital >= threshold:
                finding = Finding(
                    route,
                    what,
                    counters.new_calls,
                    failures,
                    allowed,
                    seconds,
                )
                return Assessment(finding, capital)
    return Assessment(None, highest)


def _comparisons(move, route, counters):
    """Yield what is compared: its name, failures and allowed rate."""
    thresholds = move.thresholds_for(route)
    errors = allowed_rate(
        counters.old_calls, counters.old_errors, thresholds.errors
    )
    yield 'failed', counters.new_errors, errors
    slow = allowed_rate(counters.old_calls, counters.old_slow, SLOW_TOLERANCE)
    yield (
        f'were over {thresholds.latency:g}x as slow as the old version',
        counters.new_slow,
        slow,
    )
