"""Does to a node what its machine and other clients do to it."""

import collections
import contextlib
import itertools

import trio

from benchmarks import harness
from pumicestand_standins import http_client
from soak import clusters

UPLOAD_BYTES, SENT_BYTES = 200_000, 20_000
DEADLINE_MS = 1500
MAX_STAY_S = 1.5
OPEN_TIMEOUT_S = 0.5
# Most connections that one fault holds, and calls that one of them gets.
MAX_HELD, MAX_PIPELINED = 600, 30
LEAVING_COUNTS = (10, 40, 120, 300)
SCRAPER_COUNTS, SCRAPE_COUNTS = (1, 4, 8), (1, 60, 300, 1000)
HOG_COUNTS = (8, 16, 32)
# The node serves again this long after a fault of its machine at the latest.
SERVE_LIMIT_S = 10.0
ANSWER_TIMEOUT_S = 2.0
# Time for which the nodes are left alone, and for which their use of the
# processor is then measured, and the most that is no finding.
SETTLING_S, IDLE_S = 0.5, 1.0
MAX_IDLE_CORES = 0.5
SCRAPE = b'GET %s HTTP/1.1\r\nhost: node\r\n\r\n'
_HOG = """
import time
end = time.monotonic() + {}
while time.monotonic() < end:
    pass
"""
_ids = itertools.count()


def _request(method, path, extra=''):
    return (
        f'{method} {path} HTTP/1.1\r\nhost: {clusters.HOST_NAME}\r\n'
        f'pumicestand-request-id: m{next(_ids)}\r\n'
        f'pumicestand-deadline-ms: {DEADLINE_MS}\r\n{extra}\r\n'
    ).encode()


def _half_upload():
    """Return the start of an upload."""
    head = _request('POST', '/u/x', f'content-length: {UPLOAD_BYTES}\r\n')
    return head + b'u' * SENT_BYTES


async def _open(address):
    """Return a new stream, None if there is no connection."""
    with trio.move_on_after(OPEN_TIMEOUT_S):
        with contextlib.suppress(OSError):
            return await trio.open_tcp_stream(*address)
    return None


async def _send_and_leave(address, data, stay_s):
    """Send some bytes, read nothing, and close the connection."""
    stream = await _open(address)
    if stream is None:
        return
    with trio.move_on_after(stay_s):
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(data)
        await trio.sleep_forever()
    await trio.aclose_forcefully(stream)


async def fill(node, rng, seconds):
    """Hold more connections than the node has descriptors, if that few.

    They are idle or have half a request, on all ports.
    """
    count = min(MAX_HELD, node.machine.max_fds + 50)
    async with trio.open_nursery() as nursery:
        for _ in range(count):
            address = rng.choice(
                [node.outbound_address] * 7 + node.other_addresses
            )
            data = rng.choice((b'', _request('GET', '/r/x')[:-20]))
            nursery.start_soon(_send_and_leave, address, data, seconds)
            await trio.sleep(0)


async def leave(node, rng, seconds):
    """Have clients leave in uploads and in pipelined calls, all in a time."""
    uploads, pipelines = rng.choices(LEAVING_COUNTS, (4, 3, 2, 1), k=2)
    jobs = [_half_upload] * uploads + [_draw_pipeline] * pipelines
    rng.shuffle(jobs)
    async with trio.open_nursery() as nursery:
        for make_data in jobs:
            data = make_data()
            nursery.start_soon(
                _send_and_leave,
                node.outbound_address,
                data,
                rng.uniform(0.0, MAX_STAY_S),
            )
            await trio.sleep(rng.expovariate(len(jobs) / seconds))


def _draw_pipeline():
    """Return pipelined calls, each with an id that no other call has."""
    return b''.join(_request('GET', '/r/x') for _ in range(MAX_PIPELINED))


async def leave_unread(node, rng, seconds):
    """Have clients send many calls and scrapes and read no response."""
    path = node.machine.deployment.metrics_address[1].encode()
    jobs = [(node.outbound_address, _draw_pipeline()) for _ in range(10)]
    jobs += [(node.metrics_address, SCRAPE % path * 40)] * 3
    jobs += [(node.other_addresses[0], SCRAPE % b'/readyz' * 200)] * 3
    async with trio.open_nursery() as nursery:
        for address, data in jobs:
            nursery.start_soon(_send_and_leave, address, data, seconds)


async def scrape(node, rng, seconds):
    """Have several scrapers read the metrics at once, also pipelined."""
    path = node.machine.deployment.metrics_address[1].encode()
    count = rng.choice(SCRAPE_COUNTS)

    async def read_metrics():
        stream = await _open(node.metrics_address)
        if stream is None:
            return
        with trio.move_on_after(seconds):
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(SCRAPE % path * count)
                while await stream.receive_some(http_client.READ_BYTES):
                    pass
        await trio.aclose_forcefully(stream)

    async with trio.open_nursery() as nursery:
        for _ in range(rng.choice(SCRAPER_COUNTS)):
            nursery.start_soon(read_metrics)


async def reload(node, rng, seconds):
    """Tell a node to read torn settings files, and a whole one at last.

    Only the process that runs at first: the next one starts with whole ones.
    """
    process = node.process
    count = rng.randint(1, 6)
    for _ in range(count):
        if node.process is not process or not process.is_running:
            return
        tear_settings(node, rng)
        node.send_hangup()
        await trio.sleep(rng.uniform(0.0, seconds / count))
    node.hang_up('whole again')


def tear_settings(node, rng):
    """Write a settings file that is torn, or remove it."""
    whole = node.write_settings('torn').read_bytes()
    port = b':%d' % clusters.OUTBOUND_PORT
    torn = rng.choice(
        (
            None,
            b'',
            whole[: rng.randrange(len(whole))],
            whole + b'\xff\xfe\n',
            whole.replace(port, ':830²'.encode()),
            whole.replace(b'grace_s=', b'grace_s=\0'),
        )
    )
    if torn is None:
        node.settings_path.unlink()
    else:
        node.settings_path.write_bytes(torn)


async def hog_processors(folder, rng, seconds):
    """Run some processes that do nothing but use the processors."""
    script = _HOG.format(seconds)
    hogs = [
        harness.Process('hog', ['-c', script], folder / 'hogs.err')
        for _ in range(rng.choice(HOG_COUNTS))
    ]
    try:
        await trio.sleep(seconds)
    finally:
        for hog in hogs:
            hog.kill()
            hog.wait()


async def repeat_signal(process, signal_number, rng, seconds):
    """Send a signal to a process a few more times within some seconds."""
    for delay_s in sorted(rng.uniform(0.0, seconds) for _ in range(3)):
        await trio.sleep(delay_s / 3)
        process.send_signal(signal_number)


async def find_repeated_series(node):
    """Return the series that one scrape of a node's metrics has twice."""
    path = node.machine.deployment.metrics_address[1]
    connection = http_client.Connection(node.metrics_address)
    response = await connection.call('GET', path)
    await connection.close()
    counts = collections.Counter(
        line.rpartition(b' ')[0]
        for line in response.body.splitlines()
        if not line.startswith(b'#')
    )
    return sorted(x.decode() for x, count in counts.items() if count > 1)


async def measure_idle_cores(nodes):
    """Return the cores that each node uses though nobody sends it calls."""
    await trio.sleep(SETTLING_S)
    used_s = {node: node.process.cpu_seconds() for node in nodes}
    since = trio.current_time()
    await trio.sleep(IDLE_S)
    elapsed_s = trio.current_time() - since
    return {
        node.name: (node.process.cpu_seconds() - used_s[node]) / elapsed_s
        for node in nodes
    }


async def find_silent_ports(node):
    """Return the ports at which a node does not answer in time.

    A node that has been stopped or killed meanwhile is excused.
    """
    process = node.process
    metrics_port, metrics_path = node.machine.deployment.metrics_address
    silent = {
        clusters.OUTBOUND_PORT: '/r/x',
        clusters.READY_PORT: '/readyz',
        clusters.CONTROL_PORT: '/',
        metrics_port: metrics_path,
    }
    end = trio.current_time() + SERVE_LIMIT_S
    while silent and trio.current_time() < end:
        if process.was_told_to_end or node.process is not process:
            return []
        for port, path in list(silent.items()):
            connection = http_client.Connection((node.ip, port))
            response = None
            with trio.move_on_after(ANSWER_TIMEOUT_S):
                response = await connection.call(
                    'GET', path, {'host': clusters.HOST_NAME}
                )
            await connection.close()
            if response is not None and response.status:
                del silent[port]
        await trio.sleep(clusters.READY_PERIOD_S)
    return sorted(silent)
