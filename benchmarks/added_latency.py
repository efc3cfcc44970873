"""Measures what the node adds to a call, beside a plain hop.

Calls go out in an open loop at a set rate, in turn direct to the target,
through the node, and through the plain hop; each is timed from the moment
at which it was due. The last line is one JSON object.
"""

import argparse
import asyncio
import collections
import gc
import json
import random

import hdrh.histogram
import httptools

from benchmarks import documents
from benchmarks import harness

PATHS = ('direct', 'via', 'baseline')
MAX_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
WARM_UP_CALLS = 300
DOCUMENT = """\
schema: pumicestand/v1
services:
  passdesk:
    versions: [v1]
    current: v1
    limits: {slots: 100, connections: 200, queue: 100}
routes:
  - name: lookup
    path: /passes
    to: [{service: passdesk}]
    idempotent: true
    timeout: 5s
"""
REQUEST = (
    b'GET /passes/7 HTTP/1.1\r\nhost: mesh\r\n'
    b'x-request-id: added-latency\r\naccept: application/json\r\n\r\n'
)


class _Answer(asyncio.Protocol):
    """One kept connection; the caller is asyncio so that it costs little."""

    def __init__(self):
        self._parser = None
        self._done = None
        self._transport = None

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        self._parser.feed_data(data)

    def on_message_complete(self):
        status = self._parser.get_status_code()
        if not self._done.done():
            self._done.set_result(status)

    def connection_lost(self, error):
        if self._done is not None and not self._done.done():
            self._done.set_result(0)

    async def call(self):
        """Send the request; return the answer's status, 0 without one."""
        if self._transport.is_closing():
            return 0
        self._parser = httptools.HttpResponseParser(self)
        self._done = asyncio.get_running_loop().create_future()
        self._transport.write(REQUEST)
        return await self._done

    def close(self):
        """Close the connection."""
        self._transport.close()


class Load:
    """Sends the calls and keeps a histogram for each path.

    :param addresses: path to (host, port)
    :param connections: kept for each path
    """

    def __init__(self, addresses, connections):
        self._addresses = addresses
        self._connections = connections
        self._idle = {path: [] for path in PATHS}
        self.failed = collections.Counter()
        self.histograms = {
            path: hdrh.histogram.HdrHistogram(
                1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS
            )
            for path in PATHS
        }

    async def run(self, count, rate, rng):
        """Send so many calls a path at so many calls a second a path."""
        loop = asyncio.get_running_loop()
        for path, address in self._addresses.items():
            for _ in range(self._connections):
                _, connection = await loop.create_connection(_Answer, *address)
                self._idle[path].append(connection)
        await self._send(WARM_UP_CALLS, rate, rng, is_counted=False)
        gc.collect()
        gc.disable()
        await self._send(count, rate, rng, is_counted=True)
        gc.enable()
        for idle in self._idle.values():
            for connection in idle:
                connection.close()

    async def _send(self, count, rate, rng, is_counted):
        loop = asyncio.get_running_loop()
        tasks = set()
        due = loop.time()
        for number in range(count * len(PATHS)):
            path = PATHS[number % len(PATHS)]
            due += rng.expovariate(rate * len(PATHS))
            delay = due - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            task = loop.create_task(self._call(path, due, is_counted))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.sleep(0.01)

    async def _call(self, path, due, is_counted):
        while not self._idle[path]:
            await asyncio.sleep(0.0005)
        connection = self._idle[path].pop()
        loop = asyncio.get_running_loop()
        # A sleep may end a little late; that is the caller's own doing.
        started = max(due, loop.time() - 0.001)
        status = await connection.call()
        taken = loop.time() - started
        self._idle[path].append(connection)
        if status != 200:
            self.failed[f'{path} {status}'] += 1
        if is_counted:
            self.histograms[path].record_value(max(1, int(taken * 1e6)))


def measure(fleet, count, rate, connections, seed):
    """Return the figures as a dict.

    :param fleet: a `harness.Fleet`
    :param rate: calls a second on each path
    """
    fleet.start_store()
    documents.put(fleet.store, 'production', DOCUMENT)
    node = fleet.start_node(fleet.node_settings('node', 'zone-a', 'south'))
    fleet.wait_for_nodes([node])
    target = fleet.start_target(
        'passdesk',
        'v1',
        node,
        slots=100,
        connections=200,
        behaviour={'latency_s': 0.0},
    )
    fleet.wait_for_targets([target])
    port = fleet.ports.allocate()
    hop = harness.Process(
        'plain-hop',
        ['-m', 'benchmarks.plain_hop', '--port', str(port)]
        + ['--target', target.url],
        fleet.folder / 'hop.log',
    )
    fleet.processes.append(hop)
    harness.wait_until(
        lambda: (
            harness.send_request(
                'GET', f'http://{harness.HOST}:{port}/passes'
            )[0]
            == 200
        ),
        10.0,
        'the plain hop starts',
    )
    host, call_port = node.call_address
    harness.wait_until(
        lambda: (
            harness.send_request('GET', f'http://{host}:{call_port}/passes')[0]
            == 200
        ),
        10.0,
        'the node serves calls',
    )
    load = Load(
        {
            'direct': (harness.HOST, target.port),
            'via': node.call_address,
            'baseline': (harness.HOST, port),
        },
        connections,
    )
    cpu_before = node.cpu_seconds()
    asyncio.run(load.run(count, rate, random.Random(seed)))
    cpu = node.cpu_seconds() - cpu_before
    return _figures(load, cpu / (count + WARM_UP_CALLS), node.rss_mb())


def _figures(load, cpu_per_call, rss_mb):
    figures = {}
    for path, histogram in load.histograms.items():
        for percentile in (50, 99):
            value = histogram.get_value_at_percentile(percentile) / 1000
            figures[f'{path}_p{percentile}_ms'] = value
    result = {
        key: figures[key]
        for key in (
            'direct_p50_ms',
            'direct_p99_ms',
            'via_p50_ms',
            'via_p99_ms',
        )
    }
    for percentile in ('p50', 'p99'):
        direct = figures[f'direct_{percentile}_ms']
        for path, name in (
            ('via', f'added_{percentile}_ms'),
            ('baseline', f'baseline_added_{percentile}_ms'),
        ):
            result[name] = round(
                figures[f'{path}_{percentile}_ms'] - direct, 3
            )
    result['cpu_ms_per_call'] = round(cpu_per_call * 1000, 3)
    result['rss_mb'] = round(rss_mb, 1)
    result['failed'] = dict(load.failed)
    return result


def main():
    """Run the benchmark."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--calls', type=int, default=2000)
    parser.add_argument('--rate', type=float, default=200.0)
    parser.add_argument('--connections', type=int, default=8)
    parser.add_argument('--seed', type=int, default=1)
    parsed = parser.parse_args()
    with harness.Fleet() as fleet:
        figures = measure(
            fleet,
            parsed.calls,
            parsed.rate,
            parsed.connections,
            parsed.seed,
        )
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
