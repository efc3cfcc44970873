"""Counts what calls show of the versions of a move."""

import dataclasses

from pumicestand import events
from pumicestand import evidence
from pumicestand import messages

FAILURES_BEFORE_HOLD = 3
HOLD_S = 5.0


class Recorder:
    """Counts what calls show of the versions of a move."""

    def __init__(self):
        self._old_latency = {}
        self._failures_in_row = {}

    def record(self, board, move, route, *, is_new, is_error, latency_s, now):
        """Count one call.

        :param route: name of the route
        :param is_new: whether the new version took the call
        :param latency_s: seconds to the answer's head, None to leave it out
        """
        key = (move.identity, route)
        held = board.counters.get(key)
        if held is None:
            held = messages.Counters(move.identity, route)
        is_slow = self._is_slow(key, move, route, is_new, is_error, latency_s)
        if is_new:
            held = dataclasses.replace(
                held,
                new_calls=held.new_calls + 1,
                new_errors=held.new_errors + is_error,
                new_slow=held.new_slow + is_slow,
            )
            self._hold(board, move, key, is_error, now)
        else:
            held = dataclasses.replace(
                held,
                old_calls=held.old_calls + 1,
                old_errors=held.old_errors + is_error,
                old_slow=held.old_slow + is_slow,
            )
            if is_error:
                # The old version fails as well: no reason to hold.
                self._failures_in_row.pop(key, None)
        board.counters[key] = held

    def _is_slow(self, key, move, route, is_new, is_error, latency_s):
        if latency_s is None or is_error:
            return False
        tracker = self._old_latency.get(key)
        if tracker is None:
            tracker = self._old_latency[key] = evidence.QuantileTracker()
        usual = tracker.value
        if not is_new:
            tracker.add(latency_s)
        if usual is None:
            return False
        return latency_s > usual * move.thresholds_for(route).latency

    def _hold(self, board, move, key, is_error, now):
        """Stop the new version at this node after failures in a row."""
        if not is_error:
            self._failures_in_row.pop(key, None)
            return
        count = self._failures_in_row.get(key, 0) + 1
        self._failures_in_row[key] = count
        if count < FAILURES_BEFORE_HOLD:
            return
        self._failures_in_row[key] = 0
        board.held_moves[move.identity] = now + HOLD_S
        board.emit(
            events.Kind.MOVE_HELD,
            now,
            service=move.service,
            move=move.identity,
            detail=f'{count} calls in a row failed on route {key[1]}; held '
            f'here for {HOLD_S:g} s',
        )
