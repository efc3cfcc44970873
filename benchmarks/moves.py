"""Measures the policy of moves by driving its decision code.

Each node is a real blackboard with the real controllers for moves; only the
calls and the network are made up, on a clock that the benchmark turns. The
same behaviours are run through two baselines: a linear ramp with a
threshold on errors, and a linear ramp with none. The last line is one JSON
object.
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

EPOCH = 1_800_000_000.0
TICK_S = 0.1
UNPROVEN_SHARE = 0.02
WINDOW_S = 120.0
LATENCY_S = 0.02
LATENCY_SPREAD = 0.4
BASE_ERRORS = 0.001
BASELINE_THRESHOLD = 0.05
BASELINE_MIN_CALLS = 50
ROUTES = 5
COLD_S = 30.0
# Of a normal distribution.
SLOWEST_HUNDREDTH = 2.326


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes: nodes, zones, and calls a second to the service."""

    nodes: int
    zones: int
    calls_per_s: float


DEPLOYMENTS = {
    'cooperative': Deployment(13, 4, 120.0),
    'lacquer': Deployment(10, 3, 60.0),
    'letter': Deployment(60, 7, 600.0),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Behaviour:
    """How the new version behaves; all but the last fields are off at 0.

    :param errors: fraction of its calls that fail
    :param slow: factor on its latency
    :param tail: factor on the slowest hundredth of its calls
    :param above_share: from which share on it is bad
    :param on_route: the only route on which it is bad, -1 for all
    :param in_zone: the only zone in which it is bad, -1 for all
    :param after: part of the window after which it is bad
    :param cold: whether its calls are slow for the first seconds
    :param old_errors: fraction of the old version's calls that fail
    """

    name: str
    is_bad: bool
    errors: float = 0.0
    slow: float = 1.0
    tail: float = 1.0
    above_share: float = 0.0
    on_route: int = -1
    in_zone: int = -1
    after: float = 0.0
    cold: bool = False
    old_errors: float = 0.0


BEHAVIOURS = (
    Behaviour('good', False),
    Behaviour('good but cold for 30 s', False, cold=True),
    Behaviour('good while the old one is sick', False, old_errors=0.2),
    Behaviour('errors on 0.5%', True, errors=0.005),
    Behaviour('errors on 2%', True, errors=0.02),
    Behaviour('errors on 5%', True, errors=0.05),
    Behaviour('errors on 100%', True, errors=1.0),
    Behaviour('three times as slow', True, slow=3.0),
    Behaviour('slow at the 99th percentile', True, tail=2.0),
    Behaviour('slow above half load', True, slow=3.0, above_share=0.5),
    Behaviour('bad on one route', True, errors=0.3, on_route=2),
    Behaviour('bad after half the time', True, errors=0.1, after=0.5),
    Behaviour('bad in one zone', True, errors=0.3, in_zone=1),
)


@dataclasses.dataclass(slots=True)
class Result:
    """What became of one move."""

    done_at: float | None = None
    taken_back_at: float | None = None
    bad_since: float | None = None
    calls_hit: int = 0
    bytes_sent: int = 0
    is_share_limit_exceeded: bool = False
    has_calls_after_takeback: bool = False


class Workload:
    """The calls of one move: who makes them and how they end."""

    def __init__(self, deployment, behaviour, rng):
        self.deployment = deployment
        self.behaviour = behaviour
        self._rng = rng

    def arrivals(self):
        """Yield (node, route) of the calls of one tick."""
        mean = self.deployment.calls_per_s * TICK_S
        for _ in range(_poisson(self._rng, mean)):
            yield (
                self._rng.randrange(self.deployment.nodes),
                self._rng.randrange(ROUTES),
            )

    def is_bad_now(self, zone, route, passed, share):
        """Whether the new version misbehaves for such a call."""
        behaviour = self.behaviour
        if not behaviour.is_bad or passed < behaviour.after * WINDOW_S:
            return False
        if share < behaviour.above_share:
            return False
        if behaviour.on_route not in (-1, route):
            return False
        return behaviour.in_zone in (-1, zone)

    def outcome(self, is_new, is_bad, passed):
        """Return (whether it failed, seconds) of a call."""
        behaviour = self.behaviour
        errors = BASE_ERRORS
        spread = self._rng.gauss(0.0, 1.0)
        seconds = LATENCY_S * math.exp(LATENCY_SPREAD * spread)
        if is_new and is_bad:
            errors += behaviour.errors
            seconds *= behaviour.slow
            if spread > SLOWEST_HUNDREDTH:
                seconds *= behaviour.tail
        if is_new and behaviour.cold and passed < COLD_S:
            seconds *= 3.0
        if not is_new:
            errors += behaviour.old_errors
        return self._rng.random() < errors, seconds


def _poisson(rng, mean):
    """Return a Poisson number by counting arrivals (Knuth's way)."""
    limit = math.exp(-mean)
    count, product = 0, rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count


def make_document():
    """Return a document with one service, its routes and one move."""
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
        for number in range(ROUTES)
    )
    move = documents.Move(
        'passdesk-v2',
        'passdesk',
        'v1',
        'v2',
        EPOCH,
        EPOCH + WINDOW_S,
        UNPROVEN_SHARE,
        documents.RollbackThresholds(0.01, 2.0),
        (),
    )
    return documents.Document((service,), routes, (move,))


class PolicyFleet:
    """Nodes with the real decision code, joined by a perfect network."""

    def __init__(self, deployment, rng):
        self.document = make_document()
        self.move = self.document.moves[0]
        self._boards = []
        self._controllers = []
        self._recorders = []
        self._pickers = {}
        self.bytes_sent = 0
        accepted = documents.Accepted(1, 'aa')
        for index in range(deployment.nodes):
            zone = f'zone-{index % deployment.zones}'
            identity = blackboards.Identity(
                'production', f'n{index}', zone, 'r', f'h{index}', 1, 2
            )
            board = blackboards.Blackboard(identity, 1)
            board.in_force = blackboards.InForce(
                accepted, self.document, EPOCH
            )
            board.has_verdicts = True
            self._boards.append(board)
            self._controllers.append(moves.MoveController(rng))
            self._recorders.append(recording.Recorder())
        members = [board.own_member() for board in self._boards]
        for board in self._boards:
            for member in members:
                board.table.merge(member, EPOCH)

    def share(self, node, now):
        """Return the new version's share at a node."""
        service = self.document.services[0]
        split = shares.split_of(self._boards[node], service, now)
        if split.move is None:
            return 1.0 if split.base_version == self.move.new_version else 0.0
        return split.share

    def picks_new(self, node, route, now):
        """Return whether the next call goes to the new version."""
        share = self.share(node, now)
        if share >= 1.0:
            return True
        key = (node, route)
        picker = self._pickers.setdefault(key, shares.SharePicker())
        return picker.pick(share)

    def record(self, node, route, is_new, is_error, seconds, now):
        """Tell a node how a call ended."""
        # Targets have just started: no latency counts while they are cold.
        if now - EPOCH < COLD_S:
            seconds = None
        self._recorders[node].record(
            self._boards[node],
            self.move,
            f'route-{route}',
            is_new=is_new,
            is_error=is_error,
            latency_s=seconds,
            now=now,
        )

    def step(self, now):
        """Step all nodes; what they send arrives before their next step."""
        by_address = {b.identity.host: b for b in self._boards}
        for board, controller in zip(
            self._boards, self._controllers, strict=True
        ):
            taken = controller.step(board, now)
            board.inbox.clear()
            for action in taken:
                match action:
                    case actions.SendDatagram(address, frame):
                        self.bytes_sent += len(wire.encode(frame))
                        by_address[address[0]].inbox.append(
                            blackboards.ReceivedFrame(frame, address)
                        )
            news, board.pending_rumours = board.pending_rumours, []
            for rumour in news:
                for other in self._boards:
                    other.table.merge(rumour, now)

    def stage(self):
        """Return the highest stage that any node knows."""
        verdicts = [b.table.verdict(self.move.identity) for b in self._boards]
        return max((v.stage for v in verdicts if v is not None), default=0)


class RampFleet:
    """A baseline: a linear ramp, with or without a threshold on errors."""

    def __init__(self, rng, has_threshold):
        self._rng = rng
        self._has_threshold = has_threshold
        self._calls = 0
        self._errors = 0
        self._stage = 0
        self.bytes_sent = 0

    def share(self, node, now):
        """Return the share, the same at all nodes."""
        if self._stage == messages.STAGE_TAKEN_BACK:
            return 0.0
        return min(1.0, max(0.0, (now - EPOCH) / WINDOW_S))

    def picks_new(self, node, route, now):
        """Return whether the next call goes to the new version."""
        return self._rng.random() < self.share(node, now)

    def record(self, node, route, is_new, is_error, seconds, now):
        """Count a call of the new version."""
        self._calls += is_new
        self._errors += is_new and is_error

    def step(self, now):
        """Compare the errors with the threshold."""
        if self._stage == messages.STAGE_TAKEN_BACK:
            return
        if now >= EPOCH + WINDOW_S:
            self._stage = messages.STAGE_DONE
        if not self._has_threshold or self._calls < BASELINE_MIN_CALLS:
            return
        if self._errors > BASELINE_THRESHOLD * self._calls:
            self._stage = messages.STAGE_TAKEN_BACK

    def stage(self):
        """Return the stage."""
        return self._stage


def run_move(fleet, world):
    """Run one move to a little past its time; return its `Result`."""
    result = Result()
    total = new_total = 0
    is_unproven = True
    for tick in range(int((WINDOW_S + 5.0) / TICK_S)):
        now = EPOCH + tick * TICK_S
        passed = now - EPOCH
        is_unproven = is_unproven and fleet.stage() == 0
        for node, route in world.arrivals():
            zone = node % world.deployment.zones
            share = fleet.share(node, now)
            is_new = fleet.picks_new(node, route, now)
            is_bad = world.is_bad_now(zone, route, passed, share)
            is_error, seconds = world.outcome(is_new, is_bad, passed)
            fleet.record(node, route, is_new, is_error, seconds, now)
            total += 1
            new_total += is_new
            if is_new and is_bad:
                result.calls_hit += 1
                if result.bad_since is None:
                    result.bad_since = now
            if is_new and result.taken_back_at is not None:
                result.has_calls_after_takeback |= (
                    now > result.taken_back_at + 1.0
                )
        if is_unproven and new_total > UNPROVEN_SHARE * total + 1e-6:
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
    """Return the figures of many (behaviour, result)."""
    good = [r for b, r in results if not b.is_bad]
    bad = [r for b, r in results if b.is_bad]
    detected = [
        r.taken_back_at - r.bad_since
        for r in bad
        if r.taken_back_at is not None and r.bad_since is not None
    ]
    due = EPOCH + WINDOW_S
    return {
        'good_total': len(good),
        'good_on_time': sum(
            r.done_at is not None and r.done_at <= due for r in good
        ),
        'bad_total': len(bad),
        'bad_taken_back': sum(r.taken_back_at is not None for r in bad),
        'false_takebacks': sum(r.taken_back_at is not None for r in good),
        'share_bound_broken': sum(
            r.is_share_limit_exceeded for _, r in results
        ),
        'detect_p50_s': _percentile(detected, 50),
        'detect_p99_s': _percentile(detected, 99),
        'calls_hit_by_bad_per_move': round(
            sum(r.calls_hit for r in bad) / max(1, len(bad)), 1
        ),
        'control_bytes_per_move': round(
            sum(r.bytes_sent for _, r in results) / max(1, len(results))
        ),
        'returned_after_takeback': sum(
            r.has_calls_after_takeback for _, r in results
        ),
    }


def measure(kind, deployment, seeds, behaviours=BEHAVIOURS):
    """Run all behaviours with some seeds.

    :param kind: ``policy``, ``threshold`` or ``ramp``
    :returns: list of (behaviour, result)
    """
    results = []
    for seed in range(seeds):
        for behaviour in behaviours:
            rng = random.Random(f'{seed}/{behaviour.name}')
            if kind == 'policy':
                fleet = PolicyFleet(deployment, rng)
            else:
                fleet = RampFleet(rng, kind == 'threshold')
            world = Workload(deployment, behaviour, rng)
            results.append((behaviour, run_move(fleet, world)))
    return results


def _print_by_behaviour(results):
    for behaviour in BEHAVIOURS:
        chosen = [r for b, r in results if b is behaviour]
        if not chosen:
            continue
        done = sum(r.done_at is not None for r in chosen)
        back = sum(r.taken_back_at is not None for r in chosen)
        hit = sum(r.calls_hit for r in chosen) / len(chosen)
        times = [
            r.taken_back_at - r.bad_since
            for r in chosen
            if r.taken_back_at is not None and r.bad_since is not None
        ]
        print(
            f'{behaviour.name:<32} done {done:>3}, taken back {back:>3} of '
            f'{len(chosen)}, p50 {_percentile(times, 50)} s, '
            f'{hit:.0f} calls hit'
        )


def main():
    """Run the benchmark."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument(
        '--deployment', choices=sorted(DEPLOYMENTS), default='cooperative'
    )
    parsed = parser.parse_args()
    deployment = DEPLOYMENTS[parsed.deployment]
    figures = {}
    for kind in ('policy', 'threshold', 'ramp'):
        results = measure(kind, deployment, parsed.seeds)
        if kind == 'policy':
            _print_by_behaviour(results)
            figures |= summarise(results)
        else:
            figures[kind] = summarise(results)
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
