"""Measures how fast a change is in force at all nodes, and what it costs.

Starts real node processes on loopback, accepts changes in the store, and
reads from each node's time line when it took effect. The plain baseline, in
which every process watches the store itself, runs afterwards with the same
changes. The last line is one JSON object.
"""

import argparse
import json
import random
import time

from benchmarks import documents
from benchmarks import harness
from pumicestand import clocks

FAULTS = ('store-down', 'herd', 'relay-death', 'partition', 'storm')
SERVICES = 22
ROUTES_PER_SERVICE = 6
START_BATCH = 10
SETTLE_S = 8.0
IDLE_S = 10.0
CHANGE_PERIOD_S = 1.0
CHANGE_TIMEOUT_S = 20.0
OUTAGE_S = 5.0
HERD_PART = 0.27


def write_document(label):
    """Return a document of the size to design for, with a label in it."""
    lines = ['schema: pumicestand/v1', 'services:']
    for number in range(SERVICES):
        lines.append(
            f'  service-{number}: {{versions: [v1, v2], current: v1, '
            'resources: [ledger]}'
        )
    lines.append('routes:')
    for number in range(SERVICES):
        for route in range(ROUTES_PER_SERVICE):
            lines.append(
                f'  - {{name: r{number}-{route}, host: s{number}.example, '
                f'path: /{label}/{route}, '
                f'to: [{{service: service-{number}}}], '
                'resources: [ledger], timeout: 2s}'
            )
    return '\n'.join(lines)


class Run:
    """One run with some nodes.

    :param fleet: a `harness.Fleet`
    :param rng: a `random.Random`
    """

    def __init__(self, fleet, rng, count, zones, regions=2):
        self._fleet = fleet
        self._rng = rng
        self._count = count
        self._zones = zones
        self._regions = regions
        self._generation = 0
        self._version = 0
        self._written = {}

    def start(self):
        """Start the store, a first document and all nodes."""
        fleet = self._fleet
        fleet.start_store()
        self.change()
        for index in range(self._count):
            zone = index % self._zones
            settings = fleet.node_settings(
                f'n{index:03}', f'zone-{zone}', f'r{zone % self._regions}'
            )
            settings['log_level'] = 'ERROR'
            node = fleet.start_node(settings)
            if index % START_BATCH == START_BATCH - 1:
                fleet.wait_for_nodes([node])
        fleet.wait_for_nodes(fleet.nodes)
        harness.wait_until(
            lambda: all(
                node.status()['acting'] == self._generation
                for node in fleet.nodes
            ),
            60.0,
            'all nodes act',
        )
        time.sleep(SETTLE_S)

    def change(self):
        """Accept one more document."""
        self._generation += 1
        text = write_document(f'change-{self._generation}')
        self._version = documents.put(
            self._fleet.store,
            'production',
            text,
            self._generation,
            self._version,
        )
        self._written[self._generation] = time.time()

    def measure_idle(self):
        """Return what an idle node costs."""
        before = self._costs()
        started = time.monotonic()
        time.sleep(IDLE_S)
        seconds = time.monotonic() - started
        return self._difference(before, self._costs(), seconds)

    def _costs(self):
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

    def _difference(self, before, after, seconds):
        def mean(key):
            pairs = zip(before[key], after[key], strict=True)
            return sum(b - a for a, b in pairs) / len(before[key]) / seconds

        return {
            'control_bytes_per_node_per_s': round(mean('bytes'), 1),
            'cpu_percent_per_node': round(100 * mean('cpu'), 2),
            'store_reads_per_s': round(
                (after['reads'] - before['reads']) / seconds, 2
            ),
            'store_writes_per_s': round(
                (after['writes'] - before['writes']) / seconds, 2
            ),
        }

    def run_changes(self, count, fault):
        """Accept changes, a fault in their middle; wait for the last."""
        for number in range(count):
            self.change()
            if number == count // 2 and fault is not None:
                self._strike(fault)
            time.sleep(CHANGE_PERIOD_S)
        try:
            harness.wait_until(
                lambda: not self._stale(), CHANGE_TIMEOUT_S, 'convergence'
            )
        except TimeoutError as error:
            print(error)

    def _stale(self):
        return [
            node.name
            for node in self._fleet.nodes
            if node.status()['acting'] < self._generation
        ]

    def _strike(self, fault):
        match fault:
            case 'store-down':
                self._fleet.store.set_faults(refusing=True)
                time.sleep(OUTAGE_S)
                self._fleet.store.set_faults()
            case 'herd':
                self._restart(int(self._count * HERD_PART) or 1)
            case 'storm':
                self._restart(self._count)
            case 'relay-death':
                watching = [
                    n for n in self._fleet.nodes if n.status()['watching']
                ]
                self._restart(0, watching)
            case 'partition':
                # A paused process neither hears nor answers.
                chosen = self._rng.sample(
                    self._fleet.nodes, max(1, self._count // 4)
                )
                for node in chosen:
                    node.send_signal(harness.signal.SIGSTOP)
                time.sleep(OUTAGE_S)
                for node in chosen:
                    node.send_signal(harness.signal.SIGCONT)

    def _restart(self, count, chosen=None):
        """Kill nodes at once and start them again at once."""
        fleet = self._fleet
        chosen = chosen or self._rng.sample(fleet.nodes, count)
        for node in chosen:
            node.kill()
        for node in chosen:
            node.wait()
        for node in chosen:
            again = harness.NodeProcess(node.settings, fleet.folder)
            fleet.nodes[fleet.nodes.index(node)] = again
            fleet.processes.append(again)
        fleet.wait_for_nodes(fleet.nodes)

    def results(self):
        """Return convergence and the invariants, from all time lines."""
        seconds = []
        reverts = partial = 0
        for node in self._fleet.nodes:
            last = 0
            for event in node.timeline():
                if event['kind'] != 'version-in-force':
                    partial += event['kind'] == 'version-refused'
                    continue
                generation = event['generation']
                reverts += generation < last
                last = generation
                if generation > 1:
                    at = clocks.stamp_seconds(event['stamp'])
                    seconds.append(at - self._written[generation])
        seconds.sort()
        nodes = self._fleet.nodes
        return {
            'convergence_p50_s': _pick(seconds, 0.5),
            'convergence_p99_s': _pick(seconds, 0.99),
            'convergence_max_s': _pick(seconds, 1.0),
            'rss_mb_per_node': round(
                sum(node.rss_mb() for node in nodes) / len(nodes), 1
            ),
            'rss_mb_max': round(max(node.rss_mb() for node in nodes), 1),
            'reverts': reverts,
            'partial': partial,
            'stale_nodes_at_end': len(self._stale()),
        }


def _pick(ordered, part):
    if not ordered:
        return None
    return round(ordered[min(len(ordered) - 1, int(len(ordered) * part))], 3)


def run_nodes(count, zones, changes, seed, fault=None):
    """Return the figures of the system."""
    with harness.Fleet() as fleet:
        run = Run(fleet, random.Random(seed), count, zones)
        run.start()
        costs = run.measure_idle()
        run.run_changes(changes, fault)
        return run.results() | costs


def run_baseline(count, changes):
    """Return the figures of the plain baseline."""
    with harness.Fleet() as fleet:
        fleet.start_store()
        written = {1: time.time()}
        version = documents.put(
            fleet.store, 'production', write_document('change-1')
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
                'a plain watcher starts',
            )
        before = fleet.store.counters()
        started = time.monotonic()
        time.sleep(IDLE_S)
        after = fleet.store.counters()
        reads = (after['watch'] - before['watch']) / (
            time.monotonic() - started
        )
        for generation in range(2, changes + 2):
            text = write_document(f'change-{generation}')
            version = documents.put(
                fleet.store, 'production', text, generation, version
            )
            written[generation] = time.time()
            time.sleep(CHANGE_PERIOD_S)
        time.sleep(CHANGE_PERIOD_S)
        seconds = []
        for _, url in watchers:
            in_force = harness.send_request('GET', url)[1]['in_force']
            for generation, at in in_force.items():
                if int(generation) > 1:
                    seconds.append(at - written[int(generation)])
        seconds.sort()
        return {
            'convergence_p50_s': _pick(seconds, 0.5),
            'convergence_p99_s': _pick(seconds, 0.99),
            'convergence_max_s': _pick(seconds, 1.0),
            'store_reads_per_s': round(reads, 2),
            'seen': len(seconds),
            'expected': count * changes,
        }


def main():
    """Run the benchmark."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--nodes', type=int, default=20)
    parser.add_argument('--zones', type=int, default=7)
    parser.add_argument('--changes', type=int, default=10)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--fault', choices=FAULTS)
    parser.add_argument('--no-baseline', action='store_true')
    parsed = parser.parse_args()
    figures = run_nodes(
        parsed.nodes,
        parsed.zones,
        parsed.changes,
        parsed.seed,
        parsed.fault,
    )
    if not parsed.no_baseline:
        figures['baseline'] = run_baseline(parsed.nodes, parsed.changes)
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
