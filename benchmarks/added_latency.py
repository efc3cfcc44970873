"""Measures the latency that a node and a plain hop add to a call.

Calls are sent in an open loop at a given rate, in turn directly to the
target, through the node, and through `plain_hop`. The latency of a call
counts from its scheduled time, or from 1 ms before it is sent if that is
later. The last line of the output is one JSON object.
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
MAX_LATENCY_US = 60_000_000
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
ENCODED_REQUEST = (
    b'GET /passes/7 HTTP/1.1\r\nhost: mesh\r\n'
    b'x-request-id: added-latency\r\naccept: application/json\r\n\r\n'
)


class _ClientConnection(asyncio.Protocol):
    """A persistent connection of the client.

    The client uses asyncio, to add as little latency as possible.
    """

    def __init__(self):
        self._parser = None
        self._status_future = None
        self._transport = None

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        self._parser.feed_data(data)

    def on_message_complete(self):
        status = self._parser.get_status_code()
        if not self._status_future.done():
            self._status_future.set_result(status)

    def connection_lost(self, error):
        if self._status_future is not None and not self._status_future.done():
            self._status_future.set_result(0)

    async def call(self):
        """Send the request and return the status of the response.

        The status is 0 if the connection closes before the response.
        """
        if self._transport.is_closing():
            return 0
        self._parser = httptools.HttpResponseParser(self)
        self._status_future = asyncio.get_running_loop().create_future()
        self._transport.write(ENCODED_REQUEST)
        return await self._status_future

    def close(self):
        """Close the connection."""
        self._transport.close()


class LoadGenerator:
    """Sends calls and keeps a histogram of latencies, in us, for each path.

    :param addresses: dict of path to (host, port)
    :param connections: number of persistent connections for each path
    """

    def __init__(self, addresses, connections):
        self._addresses = addresses
        self._connections = connections
        self._idle_connections = {path: [] for path in PATHS}
        self.failures = collections.Counter()
        self.histograms = {
            path: hdrh.histogram.HdrHistogram(
                1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
            for path in PATHS
        }

    async def run(self, count, rate, rng):
        """Send calls after a warm-up.

        :param count: number of calls on each path
        :param rate: calls per second on each path
        """
        loop = asyncio.get_running_loop()
        for path, address in self._addresses.items():
            for _ in range(self._connections):
                _, connection = await loop.create_connection(
                    _ClientConnection, *address
                )
                self._idle_connections[path].append(connection)
        await self._send(WARM_UP_CALLS, rate, rng, is_counted=False)
        gc.collect()
        gc.disable()
        await self._send(count, rate, rng, is_counted=True)
        gc.enable()
        for idle_connections in self._idle_connections.values():
            for connection in idle_connections:
                connection.close()

    async def _send(self, count, rate, rng, is_counted):
        loop = asyncio.get_running_loop()
        tasks = set()
        send_time = loop.time()
        for number in range(count * len(PATHS)):
            path = PATHS[number % len(PATHS)]
            send_time += rng.expovariate(rate * len(PATHS))
            delay_s = send_time - loop.time()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            task = loop.create_task(self._call(path, send_time, is_counted))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.sleep(0.01)

    async def _call(self, path, send_time, is_counted):
        while not self._idle_connections[path]:
            await asyncio.sleep(0.0005)
        connection = self._idle_connections[path].pop()
        loop = asyncio.get_running_loop()
        # A sleep may end late. That is a delay in the client, of which at
        # most 1 ms counts.
        started = max(send_time, loop.time() - 0.001)
        status = await connection.call()
        latency_s = loop.time() - started
        self._idle_connections[path].append(connection)
        if status != 200:
            self.failures[f'{path} {status}'] += 1
        if is_counted:
            self.histograms[path].record_value(max(1, int(latency_s * 1e6)))


def measure(fleet, count, rate, connections, seed):
    """Run the benchmark and return its figures as a dict.

    :param fleet: a `harness.Fleet`
    :param count: number of calls on each path
    :param rate: calls per second on each path
    :param connections: number of persistent connections for each path
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
    hop_process = harness.Process(
        'plain-hop',
        ['-m', 'benchmarks.plain_hop', '--port', str(port)]
        + ['--target', target.url],
        fleet.folder / 'hop.log',
    )
    fleet.processes.append(hop_process)
    harness.wait_until(
        lambda: (
            harness.send_request(
                'GET', f'http://{harness.HOST}:{port}/passes'
            )[0]
            == 200
        ),
        10.0,
        'the plain hop serves calls',
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
    load_generator = LoadGenerator(
        {
            'direct': (harness.HOST, target.port),
            'via': node.call_address,
            'baseline': (harness.HOST, port),
        },
        connections,
    )
    cpu_before = node.cpu_seconds()
    asyncio.run(load_generator.run(count, rate, random.Random(seed)))
    cpu_s = node.cpu_seconds() - cpu_before
    return _make_result(
        load_generator, cpu_s / (count + WARM_UP_CALLS), node.rss_mb()
    )


def _make_result(load_generator, cpu_per_call, rss_mb):
    figures = {}
    for path, histogram in load_generator.histograms.items():
        for percentile in (50, 99):
            value_ms = histogram.get_value_at_percentile(percentile) / 1000
            figures[f'{path}_p{percentile}_ms'] = value_ms
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
        for path, result_key in (
            ('via', f'added_{percentile}_ms'),
            ('baseline', f'baseline_added_{percentile}_ms'),
        ):
            result[result_key] = round(
                figures[f'{path}_{percentile}_ms'] - direct, 3
            )
    result['cpu_ms_per_call'] = round(cpu_per_call * 1000, 3)
    result['rss_mb'] = round(rss_mb, 1)
    result['failed'] = dict(load_generator.failures)
    return result


def main():
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--calls', type=int, default=2000)
    parser.add_argument('--rate', type=float, default=200.0)
    parser.add_argument('--connections', type=int, default=8)
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    with harness.Fleet() as fleet:
        figures = measure(
            fleet,
            arguments.calls,
            arguments.rate,
            arguments.connections,
            arguments.seed,
        )
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
