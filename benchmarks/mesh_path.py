"""Measures the processor time of a call that passes through two nodes.

Two nodes, the store, one target and the clients run in one process on
loopback. Each client sends its calls one after the other over one
persistent connection. Usage:

    PYTHONPATH=platform python -m benchmarks.mesh_path [--calls N]

With --profile it prints a profile, sorted by the time spent in each
function. With --quiet the decision log writes no lines, which shows the
cost of logging by comparison.
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

CLIENT_COUNT = 8
RESPONSE_BODY_BYTES = 400
BASE_PORT = 17600
ROUTE = ('r', '/x/', 'idempotent', 's', 2)


def make_settings(name, index, store_port):
    """Return the settings of a node.

    :param index: number of the node; sets its ports and its service
    """
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


async def handle_call(request):
    """Return the response of the target to a call."""
    request_id = request.headers.get('pumicestand-request-id', '')
    return http_server.Response(
        200,
        b'x' * RESPONSE_BODY_BYTES,
        (
            ('Pumicestand-Request-Id', request_id),
            ('Pumicestand-Server-Stamp', 'stamp'),
            ('Keep-Alive', 'timeout=10'),
        ),
    )


async def send_request(address, data):
    """Send a request and return the first part of the response."""
    stream = await trio.open_tcp_stream(address.host, address.port)
    async with stream:
        await stream.send_all(data)
        return await stream.receive_some(65_536)


async def send_heartbeat(settings, target_port):
    """Send a heartbeat that announces the target to its node."""
    body = json.dumps(
        {
            'address': f'127.0.0.1:{target_port}',
            'born': 1,
            'info': {'service': 's', 'version': 'v1', 'max_concurrency': 16},
            'status': {'state': 'ready', 'sequence': 1},
        }
    ).encode()
    await send_request(
        settings.control,
        b'POST /instances/i-1/heartbeat HTTP/1.1\r\nhost: node\r\n'
        b'connection: close\r\ncontent-length: %d\r\n\r\n' % len(body) + body,
    )


async def send_calls(address, call_count, durations_s):
    """Send calls one after the other over one connection.

    :param durations_s: list to which the duration of each call is appended
    """
    stream = await trio.open_tcp_stream(address.host, address.port)
    async with stream:
        for call_number in range(call_count):
            started = time.perf_counter()
            await stream.send_all(
                b'GET /x/1 HTTP/1.1\r\nhost: shop.example\r\n'
                b'user-agent: caller/1\r\naccept: */*\r\n'
                b'pumicestand-request-id: %016x\r\n'
                b'pumicestand-deadline-ms: 1200\r\n\r\n' % call_number
            )
            data = await stream.receive_some(65_536)
            if not data.startswith(b'HTTP/1.1 200'):
                raise SystemExit(f'call failed, response: {data[:300]!r}')
            while len(data) < RESPONSE_BODY_BYTES:
                data += await stream.receive_some(65_536)
            durations_s.append(time.perf_counter() - started)


async def run_benchmark(call_count, profile):
    """Start the nodes, the store and the target, and send the calls.

    :param profile: a `cProfile.Profile`, or None
    :returns: (processor time of all calls, durations of the calls), in
        seconds
    """
    durations_s = []
    async with trio.open_nursery() as nursery:
        store = object_store.ObjectStore()
        configuration = object_store.make_configuration(
            1, [ROUTE], ['s'], 'shop.example'
        )
        store.put('config', 'main', configuration)
        store_server = http_server.Server('127.0.0.1', 0, store.handle)
        target = http_server.Server('127.0.0.1', 0, handle_call)
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
        await trio.sleep(4)
        await send_heartbeat(all_settings[1], target.port)
        await trio.sleep(4)
        if profile:
            profile.enable()
        started = time.process_time()
        async with trio.open_nursery() as client_nursery:
            for _ in range(CLIENT_COUNT):
                client_nursery.start_soon(
                    send_calls,
                    all_settings[0].outbound,
                    call_count // CLIENT_COUNT,
                    durations_s,
                )
        cpu_s = time.process_time() - started
        if profile:
            profile.disable()
        nursery.cancel_scope.cancel()
    return cpu_s, durations_s


def main():
    """Run the benchmark and print its figures as one line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--calls', type=int, default=4000)
    parser.add_argument('--profile', action='store_true')
    parser.add_argument('--quiet', action='store_true')
    arguments = parser.parse_args()
    if arguments.quiet:
        decision_log.MAX_LINES_PER_S = 0
    profile = cProfile.Profile() if arguments.profile else None
    cpu_s, durations_s = trio.run(run_benchmark, arguments.calls, profile)
    durations_s.sort()
    figures = {
        'calls': len(durations_s),
        'processor_ms_per_call': round(cpu_s / len(durations_s) * 1000, 3),
        'p50_ms': round(durations_s[len(durations_s) // 2] * 1000, 2),
        'p99_ms': round(durations_s[len(durations_s) * 99 // 100] * 1000, 2),
    }
    print(json.dumps(figures))
    if profile:
        pstats.Stats(profile).sort_stats('tottime').print_stats(45)


if __name__ == '__main__':
    main()
