"""Counts how often a request id comes twice over one connection.

Calls that run again make their nested calls again with the same ids. The load
player decides where they run, and each target has the real pool of
connections; a share of the responses are failures. A copy of a response that
arrives while the next call on its connection runs, and that call has the same
id, could be taken for its response. Usage:

    python -m benchmarks.id_repeats FILE [--failures SHARE ...]
        [--failing SHARE] [--seconds N] [--seeds N]
"""

import argparse
import collections
import dataclasses
import itertools
import json

import trio

from benchmarks.load_player import deployments
from benchmarks.load_player import play
from benchmarks.load_player import policies
from benchmarks.load_player import targets
from pumicestand_node import target_exchange
from pumicestand_node import target_responses

RESPONSE = target_responses.Response(keep_alive=True)
# Times after a response at which its copy arrives.
COPY_DELAYS_S = (0.005, 0.02, 0.1, 0.5, 2.0)


class _Stream(trio.abc.AsyncResource):
    async def aclose(self):
        pass


async def _connect(host, port):
    return _Stream()


def _run_now(coroutine):
    """Return the result of a coroutine that waits for nothing."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise RuntimeError('the coroutine waits')


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _NestedAnswer:
    """Receives the answer to a nested call; the call runs under an id."""

    request_id: str
    receive: object

    def __call__(self, answer, retry_after_s):
        self.receive(answer, retry_after_s)


@dataclasses.dataclass(frozen=True, slots=True)
class _Exchange:
    """The last exchange on a connection."""

    request_id: str
    ended_at: float
    is_success: bool


class Counts(collections.Counter):
    """The counts of one day, and the ids of its calls.

    ``failed_ids`` holds the ids of the calls that a target has failed.
    """

    def __init__(self):
        super().__init__()
        self.failed_ids = set()
        self._numbers = itertools.count(1)
        self._ids = {}

    def request_id(self, call):
        """Return the id of a call, the same for each of its sends."""
        if isinstance(call.on_answer, _NestedAnswer):
            return call.on_answer.request_id
        return self._ids.setdefault(call, f'c{next(self._numbers)}')


def make_target_class(counts, failures, failing, is_failing):
    """Return a class of targets that fail and that have connections.

    :param counts: `Counts` that the targets add to
    :param failures: share of the responses of a failing target
    :param failing: share of the targets that fail
    :param is_failing: returns whether the next target is one, from the share
    """

    class FailingTarget(targets.SimulatedTarget):
        def __init__(self, day, service, queue, pace, make_nested, link):
            super().__init__(
                day, service, queue, pace, self._make_nested_call, link
            )
            self._make_call = make_nested
            self._failures = failures if is_failing(failing) else 0.0
            self._pool = target_exchange.TargetPool(
                lambda: day.events.now, _connect
            )
            self._ids_run = set()
            self._carried = collections.defaultdict(set)
            self._last = {}
            self._exchanges = {}
            self._run_ids = {}
            self._nested_counts = collections.Counter()

        def _make_nested_call(self, kind, run, left_s, on_answer):
            self._nested_counts[run] += 1
            id_ = f'{self._run_ids[run]}.{self._nested_counts[run]}'
            self._make_call(kind, run, left_s, _NestedAnswer(id_, on_answer))

        def _start(self, placement, ticket):
            super()._start(placement, ticket)
            call, now = placement.call, self._events.now
            id_ = counts.request_id(call)
            self._run_ids[self.runs[-1]] = id_
            connection = _run_now(self._pool.acquire('t', 1, id_))
            self._exchanges[ticket.number] = (connection, id_, now, call)
            counts['same connection'] += id_ in self._carried[connection]
            self._carried[connection].add(id_)
            counts['runs'] += 1
            counts['nested runs'] += call.is_nested
            counts['same target'] += id_ in self._ids_run
            self._ids_run.add(id_)

        def _finish(self, number, is_success):
            day = self._day
            is_success &= day.work_rng.random() >= self._failures
            connection, id_, started_at, call = self._exchanges.pop(number)
            now = self._events.now
            kind = 'nested' if call.is_nested else 'outer'
            counts[f'{kind} failures'] += not is_success
            counts[f'{kind} successes after a failure'] += (
                is_success and id_ in counts.failed_ids
            )
            if not is_success:
                counts.failed_ids.add(id_)
            self._compare(connection, id_, started_at, now, is_success)
            self._last[connection] = _Exchange(id_, now, is_success)
            connection.is_clean = True
            _run_now(self._pool.release(connection, RESPONSE, ('t', 1)))
            super()._finish(number, is_success)

        def _compare(self, connection, id_, started_at, now, is_success):
            """Count a call after one of the same id on a connection."""
            last = self._last.get(connection)
            if last is None or last.request_id != id_:
                return
            counts['same connection in a row'] += 1
            if last.is_success == is_success:
                return
            counts['with another status'] += 1
            counts['success, then failure'] += last.is_success
            for delay_s in COPY_DELAYS_S:
                copy_at = last.ended_at + delay_s
                counts[f'copy after {delay_s} s'] += (
                    started_at <= copy_at <= now
                )

        @property
        def pool(self):
            return self._pool

    return FailingTarget


async def count(deployment, failures, failing, seconds, seed):
    """Return the `Counts` of a day."""
    counts = Counts()
    numbers = itertools.count(1)
    target_class = make_target_class(
        counts,
        failures,
        failing,
        lambda share: (next(numbers) * share) % 1 < share,
    )
    day = play.Day(
        deployment, policies.CURRENT, seconds, 1.0, seed, target_class
    )
    day.run()
    for node in day.nodes:
        counts['opened'] += node.target.pool.opened_count
        counts['passed over'] += node.target.pool.repeated_count
    return counts


def main(arguments=None):
    """Print the mean counts of a day for each share of failures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('file', help='deployment, see benchmarks/loads')
    parser.add_argument('--failures', type=float, nargs='+', default=[0.3])
    parser.add_argument(
        '--failing', type=float, default=1.0, help='share of the targets'
    )
    parser.add_argument('--seconds', type=float, default=30.0)
    parser.add_argument('--seeds', type=int, default=1)
    options = parser.parse_args(arguments)
    deployment = deployments.read(options.file)
    for failures in options.failures:
        total = collections.Counter()
        for seed in range(1, options.seeds + 1):
            total.update(
                trio.run(
                    count,
                    deployment,
                    failures,
                    options.failing,
                    options.seconds,
                    seed,
                )
            )
        means = {
            name: round(value / options.seeds, 2)
            for name, value in total.items()
        }
        print(json.dumps({'failures': failures, **means}), flush=True)


if __name__ == '__main__':
    main()
