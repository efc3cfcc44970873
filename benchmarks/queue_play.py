"""Simulates the queue in front of a target, up to twice its capacity.

The real `target_queue.TargetQueue` runs on a simulated clock: calls arrive
at random, the target is slow while it warms up, and a client whose call is
refused retries once. For comparison, the same load runs through a queue in
which retries always go first, and through a plain first-in, first-out queue
that refuses no call before its deadline. Usage:

    python -m benchmarks.queue_play [--seeds N]
"""

import argparse
import dataclasses
import heapq
import itertools
import json
import random

from pumicestand import target_queue

SLOTS = 16
MEAN_WORK_S = 0.09
OBJECTIVE_S = 0.3
DEADLINE_S = 1.2
ARRIVAL_PERIOD_S = 20.0
# During its warm-up the target takes longer for a call by this factor.
WARM_UP_S, WARM_UP_WORK_FACTOR = 3.0, 2.0
# Scores of a call answered within its objective, of one answered after it
# but before the deadline, and of one that was refused twice.
IN_TIME_SCORE, LATE_SCORE, REFUSED_AGAIN_SCORE = 1.0, 0.1, -0.3


@dataclasses.dataclass(slots=True)
class Counts:
    """The outcomes of the calls of one simulation.

    :param in_time: calls answered within their objective
    :param late: calls answered after their objective, before their deadline
    :param refused: calls whose first attempt was refused
    :param refused_again: calls whose retry was refused, too
    """

    calls: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    refused_again: int = 0

    @property
    def score(self):
        """Mean score of a call; 1 if all are answered in time."""
        total_score = IN_TIME_SCORE * self.in_time + LATE_SCORE * self.late
        return (
            total_score + REFUSED_AGAIN_SCORE * self.refused_again
        ) / self.calls


class RetriesFirstQueue(target_queue.TargetQueue):
    """A queue in which retries of clients go first, however late."""

    def _is_late(self, ticket, now):
        return False


class FifoQueue(target_queue.TargetQueue):
    """A first-in, first-out queue that refuses no call before its deadline."""

    def _sort_key(self, ticket, now):
        return (ticket.number,)

    def _latest_finish(self, ticket):
        return ticket.deadline

    def _wait_behind_s(self, calls, work_s, reserved_slots, open_slots, now):
        """Return 0, so that no call is refused because of its wait."""
        return 0.0


POLICIES = {
    'in time first': target_queue.TargetQueue,
    'returned first': RetriesFirstQueue,
    'plain': FifoQueue,
}


class _Simulation:
    def __init__(self, queue, load, rng):
        self._queue = queue
        self._rng = rng
        self._event_numbers = itertools.count()
        self._events = []
        self.counts = Counts()
        time = 0.0
        while time < ARRIVAL_PERIOD_S:
            time += rng.expovariate(load * SLOTS / MEAN_WORK_S)
            self._push(time, 'arrive', time)

    def _push(self, time, kind, payload):
        heapq.heappush(
            self._events, (time, next(self._event_numbers), kind, payload)
        )

    def run(self):
        self._queue.set_slots(SLOTS)
        while self._events:
            now, _, kind, payload = heapq.heappop(self._events)
            match kind:
                case 'arrive':
                    self.counts.calls += 1
                    self._offer_call(payload, now)
                case 'return':
                    self._offer_call(payload, now)
                case 'end':
                    self._finish(payload, now)
        return self.counts

    def _offer_call(self, arrived_at, now):
        ticket = target_queue.Ticket(
            priority=1,
            is_nested=False,
            is_client_retry=now > arrived_at,
            deadline=arrived_at + DEADLINE_S,
            objective_at=arrived_at + OBJECTIVE_S,
            route='r',
        )
        match self._queue.offer(ticket, now):
            case target_queue.Start():
                self._start_call(ticket, now)
            case target_queue.Refuse(retry_after):
                self._refuse_call(ticket, now, retry_after)

    def _start_call(self, ticket, now):
        mean = MEAN_WORK_S * (WARM_UP_WORK_FACTOR if now < WARM_UP_S else 1.0)
        self._push(now + self._rng.expovariate(1 / mean), 'end', ticket)

    def _refuse_call(self, ticket, now, retry_after):
        if ticket.is_client_retry:
            self.counts.refused_again += 1
            return
        self.counts.refused += 1
        remaining_s = ticket.deadline - now
        arrived_at = ticket.deadline - DEADLINE_S
        if remaining_s > 0:
            retry_time = now + min(retry_after, remaining_s / 3)
            self._push(retry_time, 'return', arrived_at)

    def _finish(self, ticket, now):
        self._queue.finish(ticket, now, True)
        if now <= ticket.objective_at:
            self.counts.in_time += 1
        elif now <= ticket.deadline:
            self.counts.late += 1
        started, refused = self._queue.dispatch(now)
        for other in started:
            self._start_call(other, now)
        for other in refused:
            self._refuse_call(other, now, target_queue.MIN_RETRY_AFTER_S)


def simulate(policy, load, seed):
    """Return the `Counts` of one simulation.

    :param policy: the class of the queue
    :param load: rate of calls as a ratio of the capacity of a warm target
    :param seed: seed of the random arrivals and durations
    """
    return _Simulation(policy(), load, random.Random(seed)).run()


def main(arguments=None):
    """Print one line of JSON for each policy and load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=5)
    options = parser.parse_args(arguments)
    for load in (0.6, 0.9, 1.2, 2.0):
        for name, policy in POLICIES.items():
            counts_by_seed = [
                simulate(policy, load, seed) for seed in range(options.seeds)
            ]
            calls = sum(counts.calls for counts in counts_by_seed)
            figures = {
                'load': load,
                'policy': name,
                'worth': sum(c.score for c in counts_by_seed)
                / len(counts_by_seed),
                'in_time': sum(c.in_time for c in counts_by_seed) / calls,
                'late': sum(c.late for c in counts_by_seed) / calls,
                'refused_again': sum(c.refused_again for c in counts_by_seed)
                / calls,
            }
            print(
                json.dumps(
                    {
                        key: round(value, 3)
                        if isinstance(value, float)
                        else value
                        for key, value in figures.items()
                    }
                )
            )


if __name__ == '__main__':
    main()
