"""Plays the queue before a target under more load than it has room for.

The real `target_queue.TargetQueue` decides, on a simulated clock: calls
arrive at random, a target that has just started is slow at first, and who
is refused comes back once. Beside it play the order in which clients that
came back always go first, and a plain queue that refuses nobody. Use:

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
WORK_S = 0.09
OBJECTIVE_S = 0.3
DEADLINE_S = 1.2
SECONDS = 20.0
# The target starts cold: its calls take so much longer for so long.
COLD_S, COLD_FACTOR = 3.0, 2.0
# What an answer in time, a late one, and a second refusal count for.
IN_TIME, LATE, REFUSED_AGAIN = 1.0, 0.1, -0.3


@dataclasses.dataclass(slots=True)
class Counts:
    """What became of the calls of one play."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    refused_again: int = 0

    @property
    def worth(self):
        """Of all calls, against that of answers in time."""
        earned = IN_TIME * self.in_time + LATE * self.late
        return (earned + REFUSED_AGAIN * self.refused_again) / self.asked


class ReturnedFirst(target_queue.TargetQueue):
    """Clients that came back go first, however late they are."""

    def _is_late(self, ticket, now):
        return False


class Plain(target_queue.TargetQueue):
    """First come, first served, and nobody is refused before its deadline."""

    def _sort_key(self, ticket, now):
        return (ticket.number,)

    def _latest_finish(self, ticket):
        return ticket.deadline

    def expected_wait_s(self, now, ticket):
        """Claim that there is always room."""
        return 0.0


POLICIES = {
    'in time first': target_queue.TargetQueue,
    'returned first': ReturnedFirst,
    'plain': Plain,
}


class _Play:
    def __init__(self, queue, load, rng):
        self._queue = queue
        self._rng = rng
        self._numbers = itertools.count()
        self._events = []
        self.counts = Counts()
        at = 0.0
        while at < SECONDS:
            at += rng.expovariate(load * SLOTS / WORK_S)
            self._push(at, 'arrive', at)

    def _push(self, at, kind, what):
        heapq.heappush(self._events, (at, next(self._numbers), kind, what))

    def run(self):
        self._queue.set_slots(SLOTS)
        while self._events:
            now, _, kind, what = heapq.heappop(self._events)
            match kind:
                case 'arrive':
                    self.counts.asked += 1
                    self._offer(what, now)
                case 'return':
                    self._offer(what, now)
                case 'end':
                    self._end(what, now)
        return self.counts

    def _offer(self, asked_at, now):
        ticket = target_queue.Ticket(
            priority=1,
            is_nested=False,
            is_client_retry=now > asked_at,
            deadline=asked_at + DEADLINE_S,
            objective_at=asked_at + OBJECTIVE_S,
            route='r',
        )
        match self._queue.offer(ticket, now):
            case target_queue.Start():
                self._start(ticket, now)
            case target_queue.Refuse(retry_after):
                self._refuse(ticket, now, retry_after)

    def _start(self, ticket, now):
        mean = WORK_S * (COLD_FACTOR if now < COLD_S else 1.0)
        self._push(now + self._rng.expovariate(1 / mean), 'end', ticket)

    def _refuse(self, ticket, now, retry_after):
        if ticket.is_client_retry:
            self.counts.refused_again += 1
            return
        self.counts.refused += 1
        left = ticket.deadline - now
        asked_at = ticket.deadline - DEADLINE_S
        if left > 0:
            again = now + min(retry_after, left / 3)
            self._push(again, 'return', asked_at)

    def _end(self, ticket, now):
        self._queue.finish(ticket, now, True)
        if now <= ticket.objective_at:
            self.counts.in_time += 1
        elif now <= ticket.deadline:
            self.counts.late += 1
        started, refused = self._queue.dispatch(now)
        for other in started:
            self._start(other, now)
        for other in refused:
            self._refuse(other, now, target_queue.MIN_RETRY_AFTER_S)


def play(policy, load, seed):
    """Return the `Counts` of a play.

    :param policy: a class of queue
    :param load: calls that arrive, against what fits when it is warm
    """
    return _Play(policy(), load, random.Random(seed)).run()


def main(arguments=None):
    """Print the figures of each policy and load as JSON lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=5)
    options = parser.parse_args(arguments)
    for load in (0.6, 0.9, 1.2, 2.0):
        for name, policy in POLICIES.items():
            plays = [play(policy, load, n) for n in range(options.seeds)]
            asked = sum(counts.asked for counts in plays)
            figures = {
                'load': load,
                'policy': name,
                'worth': sum(c.worth for c in plays) / len(plays),
                'in_time': sum(c.in_time for c in plays) / asked,
                'late': sum(c.late for c in plays) / asked,
                'refused_again': sum(c.refused_again for c in plays) / asked,
            }
            print(
                json.dumps(
                    {
                        key: round(held, 3)
                        if isinstance(held, float)
                        else held
                        for key, held in figures.items()
                    }
                )
            )


if __name__ == '__main__':
    main()
