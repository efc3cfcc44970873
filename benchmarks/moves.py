"""Simulates moves to a new version with the real decision code.

Each node is a real blackboard with the real controllers for moves; calls,
network and clock are simulated. Two baselines run with the same behaviours
of the new version: a linear ramp with a limit on the error ratio, and a
linear ramp without one. The last line of the output is one JSON object.
"""

import argparse
import dataclasses
import json
import math
import random

from pumicestand import actions
from pumicestand import blackboard as blackboards
from pumicestand import documents
from pumicestand import messages
from pumicestand import moves
from pumicestand import recording
from pumicestand import shares
from pumicestand import wire

START_TIME = 1_800_000_000.0
TICK_S = 0.1
UNPROVEN_SHARE = 0.02
WINDOW_S = 120.0
MEDIAN_LATENCY_S = 0.02
LATENCY_SIGMA = 0.4
BASE_ERROR_RATIO = 0.001
BASELINE_MAX_ERROR_RATIO = 0.05
BASELINE_MIN_CALLS = 50
ROUTE_COUNT = 5
WARM_UP_S = 30.0
# 99th percentile of the standard normal distribution.
P99_SIGMAS = 2.326


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The size of a deployment.

    :param calls_per_s: rate of calls to the service, over all nodes
    """

    node_count: int
    zone_count: int
    calls_per_s: float


DEPLOYMENTS = {
    'cooperative': Deployment(13, 4, 120.0),
    'lacquer': Deployment(10, 3, 60.0),
    'letter': Deployment(60, 7, 600.0),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Behaviour:
    """How the new version behaves while it takes part of the calls.

    :param is_bad: whether it has a fault, so that the move should be taken
        back; the faults are given by the fields down to ``onset_ratio``
    :param error_ratio: fraction of its calls that fail
    :param latency_factor: factor on the latency of all of its calls
    :param tail_factor: factor on the latency of its slowest 1% of calls
    :param min_share: the share of calls from which on it misbehaves
    :param only_route: the only route on which it misbehaves, -1 for all
    :param only_zone: the only zone in which it misbehaves, -1 for all
    :param onset_ratio: fraction of the window after which it misbehaves
    :param has_cold_start: whether its calls are slow for `WARM_UP_S`
    :param old_error_ratio: fraction of the old version's calls that fail
    """

    name: str
    is_bad: bool
    error_ratio: float = 0.0
    latency_factor: float = 1.0
    tail_factor: float = 1.0
    min_share: float = 0.0
    only_route: int = -1
    only_zone: int = -1
    onset_ratio: float = 0.0
    has_cold_start: bool = False
    old_error_ratio: float = 0.0


BEHAVIOURS = (
    Behaviour('good', False),
    Behaviour('good but cold for 30 s', False, has_cold_start=True),
    Behaviour('good while the old one is sick', False, old_error_ratio=0.2),
    Behaviour('errors on 0.5%', True, error_ratio=0.005),
    Behaviour('errors on 2%', True, error_ratio=0.02),
    Behaviour('errors on 5%', True, error_ratio=0.05),
    Behaviour('errors on 100%', True, error_ratio=1.0),
    Behaviour('three times as slow', True, latency_factor=3.0),
    Behaviour('slow at the 99th percentile', True, tail_factor=2.0),
    Behaviour('slow above half load', True, latency_factor=3.0, min_share=0.5),
    Behaviour('bad on one route', True, error_ratio=0.3, only_route=2),
    Behaviour(
        'bad after half the time', True, error_ratio=0.1, onset_ratio=0.5
    ),
    Behaviour('bad in one zone', True, error_ratio=0.3, only_zone=1),
)


@dataclasses.dataclass(slots=True)
class Result:
    """The result of one move; times are in seconds of the simulated clock.

    :param first_bad_call_at: time of the first call that met the fault
    :param bad_call_count: number of calls that met the fault
    :param bytes_sent: size of all frames that the nodes sent
    :param is_share_limit_exceeded: whether the new version took more than
        `UNPROVEN_SHARE` of the calls while it was unproven
    :param has_calls_after_takeback: whether the new version took calls more
        than 1 s after it was taken back
    """

    done_at: float | None = None
    taken_back_at: float | None = None
    first_bad_call_at: float | None = None
    bad_call_count: int = 0
    bytes_sent: int = 0
    is_share_limit_exceeded: bool = False
    has_calls_after_takeback: bool = False


class Workload:
    """The calls during one move, with their nodes, routes and outcomes."""

    def __init__(self, deployment, behaviour, rng):
        self.deployment = deployment
        self.behaviour = behaviour
        self._rng = rng

    def draw_arrivals(self):
        """Yield (node, route) of each call that arrives in one tick."""
        mean = self.deployment.calls_per_s * TICK_S
        for _ in range(_poisson(self._rng, mean)):
            yield (
                self._rng.randrange(self.deployment.node_count),
                self._rng.randrange(ROUTE_COUNT),
            )

    def is_bad_now(self, zone, route, elapsed_s, share):
        """Return whether the new version misbehaves for a call.

        :param elapsed_s: seconds since the start of the move
        :param share: the new version's share of calls
        """
        behaviour = self.behaviour
        if (
            not behaviour.is_bad
            or elapsed_s < behaviour.onset_ratio * WINDOW_S
        ):
            return False
        if share < behaviour.min_share:
            return False
        if behaviour.only_route not in (-1, route):
            return False
        return behaviour.only_zone in (-1, zone)

    def draw_outcome(self, is_new, is_bad, elapsed_s):
        """Return (whether it failed, latency in seconds) of a call."""
        behaviour = self.behaviour
        error_ratio = BASE_ERROR_RATIO
        spread = self._rng.gauss(0.0, 1.0)
        latency_s = MEDIAN_LATENCY_S * math.exp(LATENCY_SIGMA * spread)
        if is_new and is_bad:
            error_ratio += behaviour.error_ratio
            latency_s *= behaviour.latency_factor
            if spread > P99_SIGMAS:
                latency_s *= behaviour.tail_factor
        if is_new and behaviour.has_cold_start and elapsed_s < WARM_UP_S:
            latency_s *= 3.0
        if not is_new:
            error_ratio += behaviour.old_error_ratio
        return self._rng.random() < error_ratio, latency_s


def _poisson(rng, mean):
    """Return a Poisson-distributed number, by Knuth's algorithm."""
    limit = math.exp(-mean)
    count, product = 0, rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count


def make_document():
    """Return a document with one service, `ROUTE_COUNT` routes and a move."""
    limits = documents.TargetLimits(20, 120, 40)
    service = documents.Service('passdesk', ('v1', 'v2'), 'v1', (), (), limits)
    routes = tuple(
        documents.Route(
            f'route-{number}',
            '*',
            f'/{number}',
            (),
            (documents.Backend('passdesk', 1),),
            (),
            2.0,
            True,
            documents.Retries(2, 0.1),
        )
        for number in range(ROUTE_COUNT)
    )
    move = documents.Move(
        'passdesk-v2',
        'passdesk',
        'v1',
        'v2',
        START_TIME,
        START_TIME + WINDOW_S,
        UNPROVEN_SHARE,
        documents.RollbackThresholds(0.01, 2.0),
        (),
    )
    return documents.Document((service,), routes, (move,))


class PolicyFleet:
    """Nodes that run the real decision code over a network without loss.

    A frame arrives before the next step of its recipient.
    """

    def __init__(self, deployment, rng):
        self.document = make_document()
        self.move = self.document.moves[0]
        self._boards = []
        self._controllers = []
        self._recorders = []
        self._pickers = {}
        self.bytes_sent = 0
        accepted = documents.Accepted(1, 'aa')
        for index in range(deployment.node_count):
            zone = f'zone-{index % deployment.zone_count}'
            identity = blackboards.Identity(
                'production', f'n{index}', zone, 'r', f'h{index}', 1, 2
            )
            board = blackboards.Blackboard(identity, 1)
            board.in_force = documents.InForce(
                accepted, self.document, START_TIME
            )
            board.has_verdicts = True
            self._boards.append(board)
            self._controllers.append(moves.MoveController(rng))
            self._recorders.append(recording.Recorder())
        members = [board.own_member() for board in self._boards]
        for board in self._boards:
            for member in members:
                board.table.merge(member, START_TIME)

    def share(self, node, now):
        """Return the new version's share of calls at a node."""
        service = self.document.services[0]
        split = shares.split_of(self._boards[node], service, now)
        if split.move is None:
            return 1.0 if split.base_version == self.move.new_version else 0.0
        return split.share

    def picks_new_version(self, node, route, now):
        """Return whether the next call goes to the new version."""
        share = self.share(node, now)
        if share >= 1.0:
            return True
        key = (node, route)
        picker = self._pickers.setdefault(key, shares.SharePicker())
        return picker.pick(share)

    def record(self, node, route, is_new, is_error, latency_s, now):
        """Record the outcome of a call at its node."""
        # The targets have just started; latencies during their warm-up are
        # left out.
        if now - START_TIME < WARM_UP_S:
            latency_s = None
        self._recorders[node].record(
            self._boards[node],
            self.move,
            f'route-{route}',
            is_new=is_new,
            is_error=is_error,
            latency_s=latency_s,
            now=now,
        )

    def step(self, now):
        """Run one step of each node and deliver what it sends."""
        by_address = {b.identity.host: b for b in self._boards}
        for board, controller in zip(
            self._boards, self._controllers, strict=True
        ):
            new_actions = controller.step(board, now)
            board.inbox.clear()
            for action in new_actions:
                match action:
                    case actions.SendDatagram(address, frame):
                        self.bytes_sent += len(wire.encode(frame))
                        by_address[address[0]].inbox.append(
                            blackboards.ReceivedFrame(frame, address)
                        )
            updates, board.pending_updates = board.pending_updates, []
            for update in updates:
                for other in self._boards:
                    other.table.merge(update, now)

    def stage(self):
        """Return the highest stage of the move that any node knows."""
        verdicts = [b.table.verdict(self.move.identity) for b in self._boards]
        return max((v.stage for v in verdicts if v is not None), default=0)


class RampFleet:
    """A baseline: a linear ramp with or without a limit on the error ratio."""

    def __init__(self, rng, has_threshold):
        self._rng = rng
        self._has_threshold = has_threshold
        self._calls = 0
        self._errors = 0
        self._stage = 0
        self.bytes_sent = 0

    def share(self, node, now):
        """Return the new version's share of calls, equal at all nodes."""
        if self._stage == messages.STAGE_TAKEN_BACK:
            return 0.0
        return min(1.0, max(0.0, (now - START_TIME) / WINDOW_S))

    def picks_new_version(self, node, route, now):
        """Return whether the next call goes to the new version."""
        return self._rng.random() < self.share(node, now)

    def record(self, node, route, is_new, is_error, latency_s, now):
        """Count a call of the new version."""
        self._calls += is_new
        self._errors += is_new and is_error

    def step(self, now):
        """End the move, or take it back if its error ratio is too high."""
        if self._stage == messages.STAGE_TAKEN_BACK:
            return
        if now >= START_TIME + WINDOW_S:
            self._stage = messages.STAGE_DONE
        if not self._has_threshold or self._calls < BASELINE_MIN_CALLS:
            return
        if self._errors > BASELINE_MAX_ERROR_RATIO * self._calls:
            self._stage = messages.STAGE_TAKEN_BACK

    def stage(self):
        """Return the stage of the move."""
        return self._stage


def run_move(fleet, workload):
    """Run one move until 5 s after its window; return its `Result`."""
    result = Result()
    call_count = new_call_count = 0
    is_unproven = True
    for tick in range(int((WINDOW_S + 5.0) / TICK_S)):
        now = START_TIME + tick * TICK_S
        elapsed_s = now - START_TIME
        is_unproven = is_unproven and fleet.stage() == 0
        for node, route in workload.draw_arrivals():
            zone = node % workload.deployment.zone_count
            share = fleet.share(node, now)
            is_new = fleet.picks_new_version(node, route, now)
            is_bad = workload.is_bad_now(zone, route, elapsed_s, share)
            is_error, latency_s = workload.draw_outcome(
                is_new, is_bad, elapsed_s
            )
            fleet.record(node, route, is_new, is_error, latency_s, now)
            call_count += 1
            new_call_count += is_new
            if is_new and is_bad:
                result.bad_call_count += 1
                if result.first_bad_call_at is None:
                    result.first_bad_call_at = now
            if is_new and result.taken_back_at is not None:
                result.has_calls_after_takeback |= (
                    now > result.taken_back_at + 1.0
                )
        if is_unproven and new_call_count > UNPROVEN_SHARE * call_count + 1e-6:
            result.is_share_limit_exceeded = True
        fleet.step(now)
        stage = fleet.stage()
        if stage == messages.STAGE_TAKEN_BACK:
            result.taken_back_at = result.taken_back_at or now
        elif stage >= messages.STAGE_DONE and result.done_at is None:
            result.done_at = now
    result.bytes_sent = fleet.bytes_sent
    return result


def _percentile(values, percent):
    if not values:
        return None
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return round(ordered[index], 2)


def summarise(results):
    """Return the figures of a list of (behaviour, result) as a dict."""
    good = [r for b, r in results if not b.is_bad]
    bad = [r for b, r in results if b.is_bad]
    detection_times_s = [
        r.taken_back_at - r.first_bad_call_at
        for r in bad
        if r.taken_back_at is not None and r.first_bad_call_at is not None
    ]
    due_time = START_TIME + WINDOW_S
    return {
        'good_total': len(good),
        'good_on_time': sum(
            r.done_at is not None and r.done_at <= due_time for r in good
        ),
        'bad_total': len(bad),
        'bad_taken_back': sum(r.taken_back_at is not None for r in bad),
        'false_takebacks': sum(r.taken_back_at is not None for r in good),
        'share_bound_broken': sum(
            r.is_share_limit_exceeded for _, r in results
        ),
        'detect_p50_s': _percentile(detection_times_s, 50),
        'detect_p99_s': _percentile(detection_times_s, 99),
        'calls_hit_by_bad_per_move': round(
            sum(r.bad_call_count for r in bad) / max(1, len(bad)), 1
        ),
        'control_bytes_per_move': round(
            sum(r.bytes_sent for _, r in results) / max(1, len(results))
        ),
        'returned_after_takeback': sum(
            r.has_calls_after_takeback for _, r in results
        ),
    }


def measure(strategy, deployment, seeds, behaviours=BEHAVIOURS):
    """Run a move for each seed and behaviour.

    :param strategy: ``policy`` for the real decision code, ``threshold`` or
        ``ramp`` for the baselines with and without a limit on errors
    :param seeds: number of seeds, from 0
    :returns: list of (behaviour, result)
    """
    results = []
    for seed in range(seeds):
        for behaviour in behaviours:
            rng = random.Random(f'{seed}/{behaviour.name}')
            if strategy == 'policy':
                fleet = PolicyFleet(deployment, rng)
            else:
                fleet = RampFleet(rng, strategy == 'threshold')
            workload = Workload(deployment, behaviour, rng)
            results.append((behaviour, run_move(fleet, workload)))
    return results


def _print_by_behaviour(results):
    for behaviour in BEHAVIOURS:
        chosen = [r for b, r in results if b is behaviour]
        if not chosen:
            continue
        done_count = sum(r.done_at is not None for r in chosen)
        taken_back_count = sum(r.taken_back_at is not None for r in chosen)
        mean_bad_calls = sum(r.bad_call_count for r in chosen) / len(chosen)
        detection_times_s = [
            r.taken_back_at - r.first_bad_call_at
            for r in chosen
            if r.taken_back_at is not None and r.first_bad_call_at is not None
        ]
        print(
            f'{behaviour.name:<32} done {done_count:>3}, '
            f'taken back {taken_back_count:>3} of '
            f'{len(chosen)}, p50 {_percentile(detection_times_s, 50)} s, '
            f'{mean_bad_calls:.0f} calls hit'
        )


def main():
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument(
        '--deployment', choices=sorted(DEPLOYMENTS), default='cooperative'
    )
    arguments = parser.parse_args()
    deployment = DEPLOYMENTS[arguments.deployment]
    figures = {}
    for strategy in ('policy', 'threshold', 'ramp'):
        results = measure(strategy, deployment, arguments.seeds)
        if strategy == 'policy':
            _print_by_behaviour(results)
            figures |= summarise(results)
        else:
            figures[strategy] = summarise(results)
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
