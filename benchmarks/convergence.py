"""Measures how fast a change takes effect on all nodes, and what it costs.

Starts node processes on loopback, writes changes to the store, and reads
from the timeline of each node when they took effect. A plain baseline, in
which every process watches the store itself, runs afterwards with the same
changes. The last line of the output is one JSON object.
"""

import argparse
import json
import random
import time

from benchmarks import documents
from benchmarks import harness
from pumicestand import clocks

FAULTS = ('store-down', 'herd', 'relay-death', 'partition', 'storm')
SERVICE_COUNT = 22
ROUTES_PER_SERVICE = 6
START_BATCH_SIZE = 10
SETTLE_S = 8.0
IDLE_S = 10.0
CHANGE_PERIOD_S = 1.0
CHANGE_TIMEOUT_S = 20.0
OUTAGE_S = 5.0
# Share of the nodes that the fault 'herd' restarts together.
HERD_SHARE = 0.27


def make_document_yaml(label):
    """Return a document of the size that the system is designed for, as YAML.

    :param label: part of all paths, which makes documents differ
    """
    lines = ['schema: pumicestand/v1', 'services:']
    for number in range(SERVICE_COUNT):
        lines.append(
            f'  service-{number}: {{versions: [v1, v2], current: v1, '
            'resources: [ledger]}'
        )
    lines.append('routes:')
    for number in range(SERVICE_COUNT):
        for route in range(ROUTES_PER_SERVICE):
            lines.append(
                f'  - {{name: r{number}-{route}, host: s{number}.example, '
                f'path: /{label}/{route}, '
                f'to: [{{service: service-{number}}}], '
                'resources: [ledger], timeout: 2s}'
            )
    return '\n'.join(lines)


class ConvergenceBenchmark:
    """One run of the benchmark.

    :param fleet: a `harness.Fleet`
    :param rng: a `random.Random`
    :param count: number of nodes
    :param zones: number of zones
    :param regions: number of regions
    """

    def __init__(self, fleet, rng, count, zones, regions=2):
        self._fleet = fleet
        self._rng = rng
        self._count = count
        self._zones = zones
        self._regions = regions
        self._generation = 0
        self._version = 0
        self._accepted_at = {}

    def start(self):
        """Start the store and all nodes, with a first document accepted.

        :raises TimeoutError: if it is not in force at all nodes in time
        """
        fleet = self._fleet
        fleet.start_store()
        self.accept_change()
        for index in range(self._count):
            zone = index % self._zones
            settings = fleet.node_settings(
                f'n{index:03}', f'zone-{zone}', f'r{zone % self._regions}'
            )
            settings['log_level'] = 'ERROR'
            node = fleet.start_node(settings)
            if index % START_BATCH_SIZE == START_BATCH_SIZE - 1:
                fleet.wait_for_nodes([node])
        fleet.wait_for_nodes(fleet.nodes)
        harness.wait_until(
            lambda: all(
                node.status()['acting'] == self._generation
                for node in fleet.nodes
            ),
            60.0,
            f'generation {self._generation} is in force at all nodes',
        )
        time.sleep(SETTLE_S)

    def accept_change(self):
        """Write the next generation of the document as the accepted one."""
        self._generation += 1
        text = make_document_yaml(f'change-{self._generation}')
        self._version = documents.put(
            self._fleet.store,
            'production',
            text,
            self._generation,
            self._version,
        )
        self._accepted_at[self._generation] = time.time()

    def measure_idle(self):
        """Return the costs over `IDLE_S` without changes, as a dict."""
        before = self._read_counters()
        started = time.monotonic()
        time.sleep(IDLE_S)
        elapsed_s = time.monotonic() - started
        return self._cost_rates(before, self._read_counters(), elapsed_s)

    def _read_counters(self):
        nodes = self._fleet.nodes
        counters = self._fleet.store.counters()
        return {
            'bytes': [
                node.metric('pumicestand_control_bytes_total', 'sent')
                for node in nodes
            ],
            'cpu': [node.cpu_seconds() for node in nodes],
            'reads': sum(
                counters.get(kind, 0) for kind in ('read', 'list', 'watch')
            ),
            'writes': counters.get('write', 0),
        }

    def _cost_rates(self, before, after, elapsed_s):
        def mean(counter_name):
            pairs = zip(before[counter_name], after[counter_name], strict=True)
            return (
                sum(b - a for a, b in pairs)
                / len(before[counter_name])
                / elapsed_s
            )

        return {
            'control_bytes_per_node_per_s': round(mean('bytes'), 1),
            'cpu_percent_per_node': round(100 * mean('cpu'), 2),
            'store_reads_per_s': round(
                (after['reads'] - before['reads']) / elapsed_s, 2
            ),
            'store_writes_per_s': round(
                (after['writes'] - before['writes']) / elapsed_s, 2
            ),
        }

    def run_changes(self, count, fault):
        """Write changes and wait until the last is in force at all nodes.

        Print a message if it is not in force within `CHANGE_TIMEOUT_S`.

        :param count: number of changes
        :param fault: one of `FAULTS`, injected after half of them, or None
        """
        for number in range(count):
            self.accept_change()
            if number == count // 2 and fault is not None:
                self._inject_fault(fault)
            time.sleep(CHANGE_PERIOD_S)
        try:
            harness.wait_until(
                lambda: not self._find_stale_nodes(),
                CHANGE_TIMEOUT_S,
                'convergence',
            )
        except TimeoutError as error:
            print(error)

    def _find_stale_nodes(self):
        return [
            node.name
            for node in self._fleet.nodes
            if node.status()['acting'] < self._generation
        ]

    def _inject_fault(self, fault):
        match fault:
            case 'store-down':
                self._fleet.store.set_faults(refusing=True)
                time.sleep(OUTAGE_S)
                self._fleet.store.set_faults()
            case 'herd':
                self._restart(int(self._count * HERD_SHARE) or 1)
            case 'storm':
                self._restart(self._count)
            case 'relay-death':
                watching_nodes = [
                    n for n in self._fleet.nodes if n.status()['watching']
                ]
                self._restart(0, watching_nodes)
            case 'partition':
                # A stopped process neither reads nor sends messages.
                affected_nodes = self._rng.sample(
                    self._fleet.nodes, max(1, self._count // 4)
                )
                for node in affected_nodes:
                    node.send_signal(harness.signal.SIGSTOP)
                time.sleep(OUTAGE_S)
                for node in affected_nodes:
                    node.send_signal(harness.signal.SIGCONT)

    def _restart(self, count, affected_nodes=None):
        """Kill nodes together and restart them with the same settings.

        :param count: number of random nodes, if none are given
        """
        fleet = self._fleet
        affected_nodes = affected_nodes or self._rng.sample(fleet.nodes, count)
        for node in affected_nodes:
            node.kill()
        for node in affected_nodes:
            node.wait()
        for node in affected_nodes:
            restarted_node = harness.NodeProcess(node.settings, fleet.folder)
            fleet.nodes[fleet.nodes.index(node)] = restarted_node
            fleet.processes.append(restarted_node)
        fleet.wait_for_nodes(fleet.nodes)

    def results(self):
        """Return convergence times, memory and counts of broken invariants."""
        delays_s = []
        revert_count = refusal_count = 0
        for node in self._fleet.nodes:
            last_generation = 0
            for event in node.timeline():
                if event['kind'] != 'version-in-force':
                    refusal_count += event['kind'] == 'version-refused'
                    continue
                generation = event['generation']
                revert_count += generation < last_generation
                last_generation = generation
                if generation > 1:
                    in_force_at = clocks.stamp_seconds(event['stamp'])
                    delays_s.append(
                        in_force_at - self._accepted_at[generation]
                    )
        delays_s.sort()
        nodes = self._fleet.nodes
        return {
            'convergence_p50_s': _quantile(delays_s, 0.5),
            'convergence_p99_s': _quantile(delays_s, 0.99),
            'convergence_max_s': _quantile(delays_s, 1.0),
            'rss_mb_per_node': round(
                sum(node.rss_mb() for node in nodes) / len(nodes), 1
            ),
            'rss_mb_max': round(max(node.rss_mb() for node in nodes), 1),
            'reverts': revert_count,
            'partial': refusal_count,
            'stale_nodes_at_end': len(self._find_stale_nodes()),
        }


def _quantile(sorted_values, quantile):
    if not sorted_values:
        return None
    return round(
        sorted_values[
            min(len(sorted_values) - 1, int(len(sorted_values) * quantile))
        ],
        3,
    )


def measure_nodes(count, zones, changes, seed, fault=None):
    """Run the benchmark on nodes and return its figures as a dict.

    :param fault: one of `FAULTS`, or None
    """
    with harness.Fleet() as fleet:
        benchmark = ConvergenceBenchmark(
            fleet, random.Random(seed), count, zones
        )
        benchmark.start()
        costs = benchmark.measure_idle()
        benchmark.run_changes(changes, fault)
        return benchmark.results() | costs


def measure_baseline(count, changes):
    """Run the plain baseline and return its figures as a dict.

    :param count: number of watchers
    :param changes: number of changes
    """
    with harness.Fleet() as fleet:
        fleet.start_store()
        accepted_at = {1: time.time()}
        version = documents.put(
            fleet.store, 'production', make_document_yaml('change-1')
        )
        watchers = []
        for number in range(count):
            port = fleet.ports.allocate()
            process = harness.Process(
                f'plain-{number}',
                ['-m', 'benchmarks.plain_watcher', '--port', str(port)]
                + ['--store', fleet.store.url],
                fleet.folder / f'plain-{number}.log',
            )
            fleet.processes.append(process)
            watchers.append((process, f'http://{harness.HOST}:{port}/'))
        for _, url in watchers:
            harness.wait_until(
                lambda url=url: harness.send_request('GET', url)[1][
                    'in_force'
                ],
                60.0,
                'a plain watcher has the first document',
            )
        before = fleet.store.counters()
        started = time.monotonic()
        time.sleep(IDLE_S)
        after = fleet.store.counters()
        reads_per_s = (after['watch'] - before['watch']) / (
            time.monotonic() - started
        )
        for generation in range(2, changes + 2):
            text = make_document_yaml(f'change-{generation}')
            version = documents.put(
                fleet.store, 'production', text, generation, version
            )
            accepted_at[generation] = time.time()
            time.sleep(CHANGE_PERIOD_S)
        time.sleep(CHANGE_PERIOD_S)
        delays_s = []
        for _, url in watchers:
            in_force = harness.send_request('GET', url)[1]['in_force']
            for generation, in_force_at in in_force.items():
                if int(generation) > 1:
                    delays_s.append(in_force_at - accepted_at[int(generation)])
        delays_s.sort()
        return {
            'convergence_p50_s': _quantile(delays_s, 0.5),
            'convergence_p99_s': _quantile(delays_s, 0.99),
            'convergence_max_s': _quantile(delays_s, 1.0),
            'store_reads_per_s': round(reads_per_s, 2),
            'seen': len(delays_s),
            'expected': count * changes,
        }


def main():
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--nodes', type=int, default=20)
    parser.add_argument('--zones', type=int, default=7)
    parser.add_argument('--changes', type=int, default=10)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--fault', choices=FAULTS)
    parser.add_argument('--no-baseline', action='store_true')
    arguments = parser.parse_args()
    figures = measure_nodes(
        arguments.nodes,
        arguments.zones,
        arguments.changes,
        arguments.seed,
        arguments.fault,
    )
    if not arguments.no_baseline:
        figures['baseline'] = measure_baseline(
            arguments.nodes, arguments.changes
        )
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
