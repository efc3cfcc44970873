"""Sends calls through real processes while targets and nodes fail.

Each target logs the requests that it runs to a file that outlives it. The
log is compared with the outcomes that the clients got. The last line of the
output is one JSON object, in which the counts ``not_run_but_ran``,
``ran_twice`` and ``wrong_answer`` must be 0.
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

NODE_COUNT = 4
ZONES = ('zone-a', 'zone-b')
TARGET_COUNT = 6
CALLS_PER_S = 120.0
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


class CallFaultsBenchmark:
    """One run of the benchmark.

    :param fleet: a `harness.Fleet`
    :param seed: seed of all random choices
    """

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._call_log = http_client.CallLog()
        self._targets = []
        self._drained_target = None

    def start(self):
        """Start the store, the nodes and the targets, and let them settle."""
        fleet = self._fleet
        fleet.start_store()
        documents.put(fleet.store, 'production', DOCUMENT)
        for index in range(NODE_COUNT):
            zone = ZONES[index % len(ZONES)]
            settings = fleet.node_settings(f'node-{index}', zone, 'south')
            settings['log_level'] = 'WARNING'
            fleet.start_node(settings)
        fleet.wait_for_nodes(fleet.nodes)
        for index in range(TARGET_COUNT):
            node = fleet.nodes[index % NODE_COUNT]
            target = fleet.start_target('till', 'v1', node, seed=index)
            self._targets.append(target)
        fleet.wait_for_targets(self._targets)
        time.sleep(SETTLE_S)

    async def run(self, calls):
        """Send a number of calls at `CALLS_PER_S` while injecting faults."""
        duration_s = calls / CALLS_PER_S
        end_time = trio.current_time() + duration_s
        patterns = [
            http_client.CallPattern(
                'POST', '/sales', CALLS_PER_S * 0.5 / 3, b'one pass'
            ),
            http_client.CallPattern('GET', '/passes/7', CALLS_PER_S * 0.4 / 3),
            http_client.CallPattern(
                'POST', '/photos', CALLS_PER_S * 0.1 / 3, b'p' * UPLOAD_BYTES
            ),
        ]
        async with trio.open_nursery() as nursery:
            # The last node gets no clients, as a fault kills and restarts it.
            for index in range(NODE_COUNT - 1):
                addresses = [n.call_address for n in self._fleet.nodes[:-1]]
                node_order = addresses[index:] + addresses[:index]
                load_generator = http_client.LoadGenerator(
                    f'c{index}', node_order, self._call_log, self._rng
                )
                nursery.start_soon(load_generator.run, patterns, end_time)
            await self._inject_faults_until(end_time - SETTLE_S)

    async def _inject_faults_until(self, end_time):
        await trio.sleep(FAULT_PERIOD_S)
        await trio.to_thread.run_sync(self._drain)
        while trio.current_time() < end_time:
            fault = self._rng.choice(FAULTS)
            target = self._rng.choice(self._targets[1:])
            await trio.to_thread.run_sync(self._inject_fault, fault, target)
            await trio.sleep(FAULT_PERIOD_S)
            await trio.to_thread.run_sync(self._clear_fault, fault, target)

    def _drain(self):
        self._drained_target = self._targets[0]
        self._drained_target.drain()

    def _inject_fault(self, fault, target):
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

    def _clear_fault(self, fault, target):
        fleet = self._fleet
        match fault:
            case 'kill':
                restarted_process = harness.Process(
                    target.name, target.command, target.log
                )
                fleet.processes.append(restarted_process)
                target.adopt_process(restarted_process)
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
        """Compare the clients' outcomes with the requests that targets ran.

        :returns: the figures as a dict
        """
        run_counts = collections.Counter()
        for target in self._targets:
            for line in target.log.read_text().splitlines():
                kind, _, request_id = line.partition(' ')
                if kind == 'run':
                    run_counts[request_id] += 1
        counts = self._call_log.counts
        by_id = self._call_log.by_id
        return {
            'calls': len(by_id),
            'answered': counts['answered'],
            'failed_by_target': counts['failed'],
            'refused_not_run': counts['not-run'],
            'unknown': counts['unknown'],
            'cut_answers': counts['cut'],
            'not_run_but_ran': sum(
                outcome == 'not-run' and run_counts[request_id] > 0
                for request_id, (outcome, _) in by_id.items()
            ),
            'ran_twice': sum(
                method == 'POST' and run_counts[request_id] > 1
                for request_id, (_, method) in by_id.items()
            ),
            'answered_but_not_run': sum(
                outcome == 'answered' and run_counts[request_id] == 0
                for request_id, (outcome, _) in by_id.items()
            ),
            'wrong_answer': counts['wrong'],
            'new_work_after_drain_s': round(
                self._drained_target.ledger()['new_work_after_drain_s'], 3
            ),
            'refusals': dict(self._call_log.refusals),
        }


def main():
    """Run the benchmark; return 1 if a call broke a rule, else 0."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--calls', type=int, default=2000)
    arguments = parser.parse_args()
    with harness.Fleet() as fleet:
        benchmark = CallFaultsBenchmark(fleet, arguments.seed)
        benchmark.start()
        trio.run(benchmark.run, arguments.calls)
        results = benchmark.results()
    print(json.dumps(results))
    violation_keys = ('not_run_but_ran', 'ran_twice', 'wrong_answer')
    return int(any(results[name] for name in violation_keys))


if __name__ == '__main__':
    sys.exit(main())
