"""Counts the calls, errors and slow calls of the versions of a move."""

import dataclasses

from pumicestand import events
from pumicestand import evidence
from pumicestand import messages

# Failures in a row on one route after which a node holds the new version.
FAILURES_BEFORE_HOLD = 3
HOLD_S = 5.0


class Recorder:
    """Counts the calls of a node for its moves, by route.

    The counters are in `Blackboard.counters`. After several failures in a
    row the node holds the new version without waiting for the fleet.
    """

    def __init__(self):
        self._old_latencies = {}
        self._consecutive_failures = {}

    def record(self, board, move, route, *, is_new, is_error, latency_s, now):
        """Count one call.

        :param board: the `blackboard.Blackboard`
        :param move: the `documents.Move`
        :param route: name of the route
        :param is_new: whether the call went to the new version
        :param is_error: whether the call failed
        :param latency_s: seconds to the response head, None to leave the
            call out of the comparison of latencies
        :param now: wall time in seconds
        """
        key = (move.identity, route)
        counters = board.counters.get(key)
        if counters is None:
            counters = messages.Counters(move.identity, route)
        is_slow = self._is_slow(key, move, route, is_new, is_error, latency_s)
        if is_new:
            counters = dataclasses.replace(
                counters,
                new_calls=counters.new_calls + 1,
                new_errors=counters.new_errors + is_error,
                new_slow=counters.new_slow + is_slow,
            )
            self._hold(board, move, key, is_error, now)
        else:
            counters = dataclasses.replace(
                counters,
                old_calls=counters.old_calls + 1,
                old_errors=counters.old_errors + is_error,
                old_slow=counters.old_slow + is_slow,
            )
            if is_error:
                # The old version fails as well, so the failures of the new
                # version are no reason to hold it.
                self._consecutive_failures.pop(key, None)
        board.counters[key] = counters

    def _is_slow(self, key, move, route, is_new, is_error, latency_s):
        """Return whether a call was slow compared with the old version.

        A call of the old version also updates the latency to compare with.
        """
        if latency_s is None or is_error:
            return False
        tracker = self._old_latencies.get(key)
        if tracker is None:
            tracker = self._old_latencies[key] = evidence.QuantileTracker()
        old_latency_s = tracker.value
        if not is_new:
            tracker.add(latency_s)
        if old_latency_s is None:
            return False
        return latency_s > old_latency_s * move.thresholds_for(route).latency

    def _hold(self, board, move, key, is_error, now):
        """Hold the new version at this node after failures in a row."""
        if not is_error:
            self._consecutive_failures.pop(key, None)
            return
        count = self._consecutive_failures.get(key, 0) + 1
        self._consecutive_failures[key] = count
        if count < FAILURES_BEFORE_HOLD:
            return
        self._consecutive_failures[key] = 0
        board.held_moves[move.identity] = now + HOLD_S
        board.emit(
            events.Kind.MOVE_HELD,
            now,
            service=move.service,
            move=move.identity,
            detail=f'{count} calls in a row failed on route {key[1]}; held '
            f'here for {HOLD_S:g} s',
        )
