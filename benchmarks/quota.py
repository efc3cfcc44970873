"""Compares ways to keep an organisation within its quota over a fleet.

On a simulated clock, a large organisation and one of 3 calls a second offer
more calls than their quotas allow, at nodes of uneven load. For each way the
share of the allowed rate that is really used is shown: by coordinators (the
real `quotas.QuotaNode` and `quota_coordination.Coordinator`), by an equal
split, and by a split by demand, in which a node's share follows its part of
the calls of the last second, as in a fleet that exchanges them for nothing.
Messages and bytes are those of requests and replies, over all nodes. Usage:

    python -m benchmarks.quota [--nodes N ...] [--seconds S] [--decisions]
"""

import argparse
import collections
import dataclasses
import json
import random
import time

from benchmarks import quota_simulation
from pumicestand import documents
from pumicestand import hop_messages
from pumicestand import quota_buckets
from pumicestand import quota_coordination
from pumicestand import quota_fleet
from pumicestand import quotas

SIZES = (13, 91, 195, 660)
ORGANISATIONS = {
    'large': quota_simulation.organisation('large', 200.0, 100.0),
    'small': quota_simulation.organisation('small', 3.0, 3.0),
}
# Calls offered, as a multiple of the rate.
LOADS = (0.7, 1.2, 5.0)
# Time before calls are counted, in seconds: buckets start empty.
WARM_UP_S = 3.0
# Part of the nodes that get half of an organisation's calls.
BUSY_SHARE = 0.15
# Period at which a split by demand is renewed, in seconds.
SPLIT_PERIOD_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What one way has done for one organisation.

    :param used: started calls over those that the rate allows of the offered
        ones
    :param bound: largest number of calls in a window over its bound
    """

    used: float
    bound: float


def traffic_of(name, rate, nodes, seconds):
    """Return the `quota_simulation.Traffic` of an organisation."""
    busy = tuple(range(max(1, round(nodes * BUSY_SHARE))))
    return (
        quota_simulation.Traffic(name, rate / 2, 0.0, seconds),
        quota_simulation.Traffic(name, rate / 2, 0.0, seconds, busy),
    )


class _Split:
    """Gives each node a token bucket of its own.

    Each bucket starts with a random part of a token: a node of a large fleet
    gets one in minutes, so an empty bucket would admit nothing here.

    :param follows_demand: whether a share follows the node's part of the
        calls; else it is equal
    """

    def __init__(self, quota, nodes, follows_demand, rng):
        self._quota = quota
        self._nodes = nodes
        self._follows_demand = follows_demand
        self._tokens = [rng.random() for _ in range(nodes)]
        self._updated_at = [0.0] * nodes
        self._shares = [1 / nodes] * nodes
        self._demand = collections.Counter()
        self._split_at = 0.0

    def try_start(self, node, now):
        """Return whether a call may start at a node."""
        self._demand[node] += 1
        if self._follows_demand and now - self._split_at >= SPLIT_PERIOD_S:
            total = sum(self._demand.values())
            self._shares = [
                self._demand[index] / total for index in range(self._nodes)
            ]
            self._demand.clear()
            self._split_at = now
        share = self._shares[node]
        capacity = self._quota.burst * share + 1
        tokens = self._tokens[node] + self._quota.rate * share * (
            now - self._updated_at[node]
        )
        self._tokens[node] = min(capacity, tokens)
        self._updated_at[node] = now
        if self._tokens[node] < 1:
            return False
        self._tokens[node] -= 1
        return True


def split_started(name, load, nodes, seconds, follows_demand, seed):
    """Return the times at which calls start with a split, and arrivals."""
    quota = ORGANISATIONS[name]
    rng = random.Random(seed)
    split = _Split(quota, nodes, follows_demand, rng)
    arrivals = []
    for traffic in traffic_of(name, quota.rate * load, nodes, seconds):
        at = 0.0
        while (at := at + rng.expovariate(traffic.rate)) < seconds:
            node = rng.choice(traffic.nodes or range(nodes))
            arrivals.append((at, node))
    arrivals.sort()
    return [at for at, node in arrivals if split.try_start(node, at)], [
        at for at, _ in arrivals
    ]


def judge(name, started, arrived_count, seconds):
    """Return the `Result` of the calls of one organisation."""
    quota = ORGANISATIONS[name]
    bounds = quota_buckets.QuotaBounds()
    counted = sum(at >= WARM_UP_S for at in started)
    duration = seconds - WARM_UP_S
    offered = arrived_count * duration / seconds
    most = quota_simulation.max_in_window(started, bounds.window)
    return Result(
        round(counted / min(offered, quota.rate * duration), 3),
        round(most / bounds.limit(quota.rate, quota.burst), 2),
    )


def measure(nodes, load, seconds, seed):
    """Return one row of the table as a dictionary."""
    scenario = quota_simulation.Scenario(
        nodes,
        seconds,
        dict(ORGANISATIONS),
        sum(
            (
                traffic_of(name, quota.rate * load, nodes, seconds)
                for name, quota in ORGANISATIONS.items()
            ),
            (),
        ),
    )
    simulation = quota_simulation.Simulation(scenario, seed).run()
    waits = sorted(simulation.waits)
    row = {'nodes': nodes, 'load': load}
    for name in ORGANISATIONS:
        results = {
            'coordinators': judge(
                name,
                simulation.started[name],
                simulation.arrived[name],
                seconds,
            )
        }
        for way, follows_demand in (('equal', False), ('demand', True)):
            started, arrived = split_started(
                name, load, nodes, seconds, follows_demand, seed
            )
            results[way] = judge(name, started, len(arrived), seconds)
        row[name] = {
            way: dataclasses.asdict(result) for way, result in results.items()
        }
    row['messages_per_s'] = round(2 * simulation.requests / seconds)
    row['bytes_per_s'] = round(simulation.bytes / seconds)
    row['node_bytes_per_s'] = round(simulation.bytes / seconds / nodes)
    row['wait_p50_ms'] = round(waits[len(waits) // 2] * 1000, 1)
    row['wait_p99_ms'] = round(waits[len(waits) * 99 // 100] * 1000, 1)
    return row


def measure_decisions(nodes=660, calls=50_000):
    """Return the microseconds that decisions cost with a number of nodes."""
    bounds = quota_buckets.QuotaBounds()
    # As many organisations as the largest known configuration has.
    organisations = {
        f'o{number}': documents.Organisation(
            f'o{number}', frozenset(), None, 1e6, 1e6
        )
        for number in range(87)
    }
    names = list(organisations)
    coordinator = quota_coordination.Coordinator('c', bounds)
    coordinator.set_organisations(organisations, 0.0)
    coordinator.set_node_count(nodes, 0.0)
    slots = 2**quota_fleet.SLOT_COUNT - 1
    began = time.perf_counter()
    for index in range(calls):
        now = index * 1e-4
        request = hop_messages.QuotaRequest(
            index + 1,
            nodes,
            (hop_messages.QuotaUse(names[index % 87], 1, 1),),
            slots,
            int(now * 1000),
            index,
        )
        coordinator.handle(f'n{index % nodes}', 1, request, now)
    request_us = (time.perf_counter() - began) / calls * 1e6
    node = quotas.QuotaNode('own', bounds)
    node.set_organisations(organisations)
    observer = quota_fleet.QuotaFleetObserver('own')
    others = {f'n{index}' for index in range(nodes)}
    observer.choose(nodes, others)
    began = time.perf_counter()
    for _ in range(100):
        fleet = observer.choose(nodes, others)
    choose_us = (time.perf_counter() - began) / 100 * 1e6
    node.set_fleet(fleet, 0.0)
    for send in node.due(0.0):
        node.apply_reply(
            send.coordinator,
            hop_messages.QuotaReply(send.request.number),
            0.0,
        )
    began = time.perf_counter()
    for index in range(calls):
        node.try_start(names[index % 87], 0.1)
    start_us = (time.perf_counter() - began) / calls * 1e6
    began = time.perf_counter()
    for _ in range(calls):
        node.due(0.1)
        node.next_due()
    due_us = (time.perf_counter() - began) / calls * 1e6
    return {
        'nodes': nodes,
        'try_start_us': round(start_us, 2),
        'due_us': round(due_us, 2),
        'request_us': round(request_us, 2),
        'choose_us': round(choose_us, 1),
    }


def main():
    """Print one line of JSON for each size and load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--nodes', type=int, nargs='+', default=SIZES)
    parser.add_argument('--seconds', type=float, default=23.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--decisions', action='store_true')
    arguments = parser.parse_args()
    if arguments.decisions:
        print(json.dumps(measure_decisions()))
        return
    for nodes in arguments.nodes:
        for load in LOADS:
            row = measure(nodes, load, arguments.seconds, arguments.seed)
            print(json.dumps(row), flush=True)


if __name__ == '__main__':
    main()
