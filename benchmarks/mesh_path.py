"""Processor time of a call over two hops, in one process.

Two nodes, the store and one target run in one process on loopback; callers
keep connections and send one call after the other. Use:

    PYTHONPATH=platform python -m benchmarks.mesh_path [--calls N]

With --profile it shows where the time goes; with --quiet no line of the log
is written, to see what the log costs.
"""

import argparse
import cProfile
import json
import pstats
import time

import trio

from pumicestand import decision_log
from pumicestand_node import mesh_node
from pumicestand_node import mesh_settings
from pumicestand_platform import main as platform_main
from pumicestand_standins import http_server
from pumicestand_standins import objects as object_store

CALLERS = 8
ANSWER_BYTES = 400
BASE_PORT = 17600
ROUTE = ('r', '/x/', 'idempotent', 's', 2)


def make_settings(name, index, store_port):
    """Return the settings of a node with ports of its own."""
    ports = [
        mesh_settings.Address('127.0.0.1', BASE_PORT + 10 * index + offset)
        for offset in range(5)
    ]
    return mesh_settings.MeshSettings(
        name=name,
        zone='zone-a',
        region='region-a',
        service='s' if index else 'other',
        outbound=ports[0],
        ready=ports[1],
        control=ports[2],
        link=ports[3],
        metrics=ports[4],
        store=mesh_settings.Address('127.0.0.1', store_port),
        bounds=mesh_settings.MeshBounds(
            grace=6.0,
            retry_ratio=0.2,
            retry_constant=60.0,
            retry_window=10.0,
        ),
    )


async def answer(request):
    """Answer as a target does."""
    id_ = request.headers.get('pumicestand-request-id', '')
    return http_server.Response(
        200,
        b'x' * ANSWER_BYTES,
        (
            ('Pumicestand-Request-Id', id_),
            ('Pumicestand-Server-Stamp', 'stamp'),
            ('Keep-Alive', 'timeout=10'),
        ),
    )


async def say(address, data):
    """Send a request and return all of the answer that comes at once."""
    stream = await trio.open_tcp_stream(address.host, address.port)
    async with stream:
        await stream.send_all(data)
        return await stream.receive_some(65_536)


async def heartbeat(settings, target_port):
    """Announce the target to its node."""
    body = json.dumps(
        {
            'address': f'127.0.0.1:{target_port}',
            'born': 1,
            'info': {'service': 's', 'version': 'v1', 'max_concurrency': 16},
            'status': {'state': 'ready', 'sequence': 1},
        }
    ).encode()
    await say(
        settings.control,
        b'POST /instances/i-1/heartbeat HTTP/1.1\r\nhost: node\r\n'
        b'connection: close\r\ncontent-length: %d\r\n\r\n' % len(body) + body,
    )


async def call(address, calls, times):
    """Send calls one after the other over one connection."""
    stream = await trio.open_tcp_stream(address.host, address.port)
    async with stream:
        for number in range(calls):
            started = time.perf_counter()
            await stream.send_all(
                b'GET /x/1 HTTP/1.1\r\nhost: shop.example\r\n'
                b'user-agent: caller/1\r\naccept: */*\r\n'
                b'pumicestand-request-id: %016x\r\n'
                b'pumicestand-deadline-ms: 1200\r\n\r\n' % number
            )
            data = await stream.receive_some(65_536)
            if not data.startswith(b'HTTP/1.1 200'):
                raise SystemExit(f'answered: {data[:300]!r}')
            while len(data) < ANSWER_BYTES:
                data += await stream.receive_some(65_536)
            times.append(time.perf_counter() - started)


async def play(calls, profile):
    """Run all, return (seconds of processor, times of calls)."""
    times = []
    async with trio.open_nursery() as nursery:
        store = object_store.ObjectStore()
        spec = object_store.make_configuration(
            1, [ROUTE], ['s'], 'shop.example'
        )
        store.put('config', 'main', spec)
        store_server = http_server.Server('127.0.0.1', 0, store.handle)
        target = http_server.Server('127.0.0.1', 0, answer)
        await store_server.start(nursery)
        await target.start(nursery)
        all_settings = [
            make_settings(name, index, store_server.port)
            for index, name in enumerate(('caller-node', 'target-node'))
        ]
        for settings in all_settings:
            adapter = platform_main.make_adapter(settings)
            node = mesh_node.MeshNode(settings, adapter)
            await node.start(nursery)
        await trio.sleep(1.0)
        await heartbeat(all_settings[1], target.port)
        await trio.sleep(0.5)
        if profile:
            profile.enable()
        started = time.process_time()
        async with trio.open_nursery() as callers:
            for _ in range(CALLERS):
                callers.start_soon(
                    call, all_settings[0].outbound, calls // CALLERS, times
                )
        spent = time.process_time() - started
        if profile:
            profile.disable()
        nursery.cancel_scope.cancel()
    return spent, times


def main():
    """Print the figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--calls', type=int, default=4000)
    parser.add_argument('--profile', action='store_true')
    parser.add_argument('--quiet', action='store_true')
    arguments = parser.parse_args()
    if arguments.quiet:
        decision_log.MAX_LINES_PER_S = 0
    profile = cProfile.Profile() if arguments.profile else None
    spent, times = trio.run(play, arguments.calls, profile)
    times.sort()
    figures = {
        'calls': len(times),
        'processor_ms_per_call': round(spent / len(times) * 1000, 3),
        'p50_ms': round(times[len(times) // 2] * 1000, 2),
        'p99_ms': round(times[len(times) * 99 // 100] * 1000, 2),
    }
    print(json.dumps(figures))
    if profile:
        pstats.Stats(profile).sort_stats('tottime').print_stats(45)


if __name__ == '__main__':
    main()
