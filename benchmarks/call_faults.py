"""Runs calls through real processes while targets and nodes fail.

Targets write each request that they run to a ledger that outlives them; it
is compared with what the callers were told. The last line is one JSON
object; all its bad counts must be zero.
"""

import argparse
import collections
import json
import random
import signal
import sys
import time

import trio

from benchmarks import documents
from benchmarks import harness
from pumicestand_standins import http_client

NODES = 4
ZONES = ('zone-a', 'zone-b')
TARGETS = 6
RATE = 120.0
UPLOAD_BYTES = 200_000
FAULT_PERIOD_S = 0.7
SETTLE_S = 3.0
FAULTS = ('kill', 'freeze', 'drop', 'truncate', 'fail', 'store', 'node')
DOCUMENT = """\
schema: pumicestand/v1
services:
  till:
    versions: [v1]
    current: v1
    limits: {slots: 20, connections: 120, queue: 40}
routes:
  - {name: sale, path: /sales, methods: [POST], to: [{service: till}],
     timeout: 2s, idempotent: false}
  - {name: photo, path: /photos, methods: [POST], to: [{service: till}],
     timeout: 5s, idempotent: false}
  - {name: lookup, path: /passes, methods: [GET], to: [{service: till}],
     timeout: 2s, idempotent: true}
"""


class Bench:
    """One run.

    :param fleet: a `harness.Fleet`
    :param seed: of all random choices
    """

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._books = http_client.CallLog()
        self._targets = []
        self._drained = None

    def start(self):
        """Start the store, the nodes and the targets."""
        fleet = self._fleet
        fleet.start_store()
        documents.put(fleet.store, 'production', DOCUMENT)
        for index in range(NODES):
            zone = ZONES[index % len(ZONES)]
            settings = fleet.node_settings(f'node-{index}', zone, 'south')
            settings['log_level'] = 'WARNING'
            fleet.start_node(settings)
        fleet.wait_for_nodes(fleet.nodes)
        for index in range(TARGETS):
            node = fleet.nodes[index % NODES]
            target = fleet.start_target('till', 'v1', node, seed=index)
            self._targets.append(target)
        fleet.wait_for_targets(self._targets)
        time.sleep(SETTLE_S)

    async def run(self, calls):
        """Send so many calls, at a set rate, while faults strike."""
        seconds = calls / RATE
        until = trio.current_time() + seconds
        patterns = [
            http_client.CallPattern(
                'POST', '/sales', RATE * 0.5 / 3, b'one pass'
            ),
            http_client.CallPattern('GET', '/passes/7', RATE * 0.4 / 3),
            http_client.CallPattern(
                'POST', '/photos', RATE * 0.1 / 3, b'p' * UPLOAD_BYTES
            ),
        ]
        async with trio.open_nursery() as nursery:
            # The last node takes no callers: it is killed and restarted.
            for index in range(NODES - 1):
                addresses = [n.call_address for n in self._fleet.nodes[:-1]]
                order = addresses[index:] + addresses[:index]
                source = http_client.LoadGenerator(
                    f'c{index}', order, self._books, self._rng
                )
                nursery.start_soon(source.run, patterns, until)
            await self._strike_until(until - SETTLE_S)

    async def _strike_until(self, until):
        await trio.sleep(FAULT_PERIOD_S)
        await trio.to_thread.run_sync(self._drain)
        while trio.current_time() < until:
            fault = self._rng.choice(FAULTS)
            target = self._rng.choice(self._targets[1:])
            await trio.to_thread.run_sync(self._strike, fault, target)
            await trio.sleep(FAULT_PERIOD_S)
            await trio.to_thread.run_sync(self._heal, fault, target)

    def _drain(self):
        self._drained = self._targets[0]
        self._drained.drain()

    def _strike(self, fault, target):
        match fault:
            case 'kill':
                target.kill()
                target.wait()
            case 'freeze':
                target.send_signal(signal.SIGSTOP)
            case 'drop':
                target.set_behaviour(drop=0.5)
            case 'truncate':
                target.set_behaviour(truncate=0.5)
            case 'fail':
                target.set_behaviour(errors=0.5)
            case 'store':
                self._fleet.store.set_faults(refusing=True)
            case 'node':
                self._fleet.nodes[-1].kill()
                self._fleet.nodes[-1].wait()

    def _heal(self, fault, target):
        fleet = self._fleet
        match fault:
            case 'kill':
                again = harness.Process(
                    target.name, target.command, target.log
                )
                fleet.processes.append(again)
                target.adopt_process(again)
                harness.wait_until(target.ledger, 10.0, target.name)
            case 'freeze':
                target.send_signal(signal.SIGCONT)
            case 'drop' | 'truncate' | 'fail':
                target.set_behaviour()
            case 'store':
                fleet.store.set_faults()
            case 'node':
                settings = fleet.nodes.pop().settings
                fleet.start_node(settings)

    def results(self):
        """Compare the callers' books with the targets' ledgers."""
        runs = collections.Counter()
        for target in self._targets:
            for line in target.log.read_text().splitlines():
                kind, _, identity = line.partition(' ')
                if kind == 'run':
                    runs[identity] += 1
        counts = self._books.counts
        by_id = self._books.by_id
        return {
            'calls': len(by_id),
            'answered': counts['answered'],
            'failed_by_target': counts['failed'],
            'refused_not_run': counts['not-run'],
            'unknown': counts['unknown'],
            'cut_answers': counts['cut'],
            'not_run_but_ran': sum(
                outcome == 'not-run' and runs[identity] > 0
                for identity, (outcome, _) in by_id.items()
            ),
            'ran_twice': sum(
                method == 'POST' and runs[identity] > 1
                for identity, (_, method) in by_id.items()
            ),
            'answered_but_not_run': sum(
                outcome == 'answered' and runs[identity] == 0
                for identity, (outcome, _) in by_id.items()
            ),
            'wrong_answer': counts['wrong'],
            'new_work_after_drain_s': round(
                self._drained.ledger()['new_work_after_drain_s'], 3
            ),
            'refusals': dict(self._books.refusals),
        }


def main():
    """Run the benchmark; end with 1 if a bad count isn't zero."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--calls', type=int, default=2000)
    parsed = parser.parse_args()
    with harness.Fleet() as fleet:
        bench = Bench(fleet, parsed.seed)
        bench.start()
        trio.run(bench.run, parsed.calls)
        results = bench.results()
    print(json.dumps(results))
    bad = ('not_run_but_ran', 'ran_twice', 'wrong_answer')
    return int(any(results[name] for name in bad))


if __name__ == '__main__':
    sys.exit(main())
