"""Measures what the start of a node on the platform costs.

Processor time, wall time and resident memory of `platform/node.py`, from the
start of the process until it has listened, was ready and has served a call.
The store and the targets are stand-ins in this process. First run the build
line of `deploy/system.toml`. Usage:

    PYTHONPATH=platform python -m benchmarks.start [--nodes N] [TREE ...]

Several trees, for example this one and a copy of an earlier version with its
own `target/deps`, are measured in turn, so that other load on the machine
affects them alike. With --modules it prints instead the processor time and
the memory that each module adds while the node's program is imported.
"""

import argparse
import dataclasses
import json
import os
import pathlib
import re
import shlex
import statistics
import subprocess
import sys
import tempfile
import time
import tomllib

import trio

from pumicestand_standins import http_client
from pumicestand_standins import http_server
from pumicestand_standins import mesh_target
from pumicestand_standins import objects as object_store

ROOT = pathlib.Path(__file__).parents[1]
# Second octet of the loopback addresses of the first measurement; each later
# one uses the next.
FIRST_NETWORK = 130
STORE_PORT, TARGET_PORT = 8309, 8311
OUTBOUND_PORT, READY_PORT, CONTROL_PORT = 8304, 8302, 8306
LISTEN_POLL_PERIOD_S = 0.01
# Long, since each poll is a request that the node answers.
READY_POLL_PERIOD_S = 0.1
START_TIMEOUT_S = 60.0
# Pause after the first call, after which the node is idle.
SETTLE_S = 2.0
HOST_NAME = 'shop.example'
ROUTE = ('r', '/x/', 'idempotent', 'shop', 2)
ZONES = ('zone-a', 'zone-b', 'zone-c')
IMPORT_LINE = re.compile(r'import time:\s+(\d+) \|\s+(\d+) \| (\s*)(\S+)')

SETTINGS_TEMPLATE = f"""\
node_name=node-{{index}}
ip={{ip}}
zone={{zone}}
region=region
service=shop
listen.outbound={{ip}}:{OUTBOUND_PORT}
listen.ready={{ip}}:{READY_PORT}
listen.control={{ip}}:{CONTROL_PORT}
internal_ports=7620,7635
platform.address={{store_ip}}:{STORE_PORT}
bounds.grace_s=6
bounds.retry_budget_ratio=0.2
bounds.retry_budget_slack=60
bounds.budget_window_s=10
bootstrap=true
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used up to a moment.

    :param cpu_ms: processor time, in milliseconds
    :param wall_ms: time since the start of the process, in milliseconds
    :param rss_mb: resident memory, in MB
    """

    cpu_ms: float
    wall_ms: float
    rss_mb: float


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """The costs of one start, each from the start of the process.

    :param listening: until the port for calls accepts connections
    :param ready: until the node reports that it is ready
    :param served: until the first call was served
    :param settled: until `SETTLE_S` after the first call
    """

    listening: Usage
    ready: Usage
    served: Usage
    settled: Usage


def make_command(tree):
    """Return the command that the platform runs in a tree."""
    text = (tree / 'deploy' / 'system.toml').read_text(encoding='utf-8')
    words = shlex.split(tomllib.loads(text)['roles']['node']['run'])
    # The interpreter itself, not that of a virtual environment.
    return [os.path.realpath(sys.executable), *words[1:]]


def make_environment(tree, **variables):
    """Return the environment of a node; its root counts as read-only."""
    return {
        'PATH': os.environ['PATH'],
        'PYTHONPATH': str(tree / 'target' / 'deps'),
        'PYTHONDONTWRITEBYTECODE': '1',
        **variables,
    }


def measure_usage(pid, started):
    """Return the `Usage` of a process.

    :param started: wall time at its start, from `time.perf_counter`
    """
    # The kernel's clock of the processor time of another process, in
    # nanoseconds; /proc shows it in steps of 10 ms only.
    cpu_s = time.clock_gettime((~pid << 3) | 2)
    wall_s = time.perf_counter() - started
    with open(f'/proc/{pid}/statm', encoding='ascii') as file:
        pages = int(file.read().split()[1])
    rss_mb = pages * os.sysconf('SC_PAGE_SIZE') / 1e6
    return Usage(cpu_s * 1000, wall_s * 1000, rss_mb)


class NodeStart:
    """Starts one node and measures it up to the first call.

    :param tree: path of the tree that holds the node's program
    :param index: index from 0; determines address and zone
    :param network: second octet of the loopback addresses
    :param folder: path for settings and log
    """

    def __init__(self, tree, index, network, folder):
        self._tree = tree
        self._index = index
        self._network = network
        self._folder = folder
        self._ip = f'127.{network}.0.{index + 10}'

    async def run(self, nursery):
        """Start node and target; return the `Start`.

        :param nursery: runs the target
        """
        target = mesh_target.MeshTarget(
            f't{self._index}',
            'shop',
            (self._ip, TARGET_PORT),
            (self._ip, TARGET_PORT),
            (self._ip, CONTROL_PORT),
            (self._ip, OUTBOUND_PORT),
        )
        path = self._folder / f'node-{self._index}.conf'
        path.write_text(
            SETTINGS_TEMPLATE.format(
                index=self._index,
                ip=self._ip,
                store_ip=f'127.{self._network}.0.2',
                zone=ZONES[self._index % len(ZONES)],
            ),
            encoding='utf-8',
        )
        started = time.perf_counter()
        process = subprocess.Popen(
            make_command(self._tree),
            cwd=self._tree,
            env=make_environment(self._tree, PUMICESTAND_SETTINGS=str(path)),
            stdin=subprocess.DEVNULL,
            stdout=(self._folder / f'node-{self._index}.log').open('wb'),
            stderr=subprocess.STDOUT,
        )
        try:
            with trio.fail_after(START_TIMEOUT_S):
                await self._wait_until(
                    self._is_listening, LISTEN_POLL_PERIOD_S
                )
                listening = measure_usage(process.pid, started)
                await target.start(nursery)
                await self._wait_until(self._is_ready)
                ready = measure_usage(process.pid, started)
                await self._wait_until(self._is_call_served)
                served = measure_usage(process.pid, started)
                await trio.sleep(SETTLE_S)
                settled = measure_usage(process.pid, started)
        finally:
            process.kill()
            process.wait()
        return Start(listening, ready, served, settled)

    async def _wait_until(self, condition, period_s=READY_POLL_PERIOD_S):
        while not await condition():
            await trio.sleep(period_s)

    async def _is_listening(self):
        try:
            stream = await trio.open_tcp_stream(self._ip, OUTBOUND_PORT)
        except OSError:
            return False
        await stream.aclose()
        return True

    async def _is_ready(self):
        return await self._request(READY_PORT, '/readyz', {}) == 200

    async def _is_call_served(self):
        headers = {
            'host': HOST_NAME,
            'pumicestand-request-id': f'{self._index:016x}',
            'pumicestand-deadline-ms': '5000',
        }
        return await self._request(OUTBOUND_PORT, '/x/1', headers) == 200

    async def _request(self, port, path, headers):
        connection = http_client.Connection((self._ip, port))
        try:
            response = await connection.call('GET', path, headers, b'')
            return response.status
        finally:
            await connection.close()


async def measure_starts(tree, node_count, network):
    """Start nodes at once and return the `Start` of each.

    :param network: second octet of their loopback addresses
    """
    starts = []

    async def run(node, nursery):
        starts.append(await node.run(nursery))

    with tempfile.TemporaryDirectory(prefix='pumicestand-') as folder:
        async with trio.open_nursery() as nursery:
            store = object_store.ObjectStore()
            configuration = object_store.make_configuration(
                1, [ROUTE], ['shop'], HOST_NAME
            )
            store.put('config', 'main', configuration)
            server = http_server.Server(
                f'127.{network}.0.2', STORE_PORT, store.handle
            )
            await server.start(nursery)
            async with trio.open_nursery() as start_nursery:
                for index in range(node_count):
                    node = NodeStart(
                        tree, index, network, pathlib.Path(folder)
                    )
                    start_nursery.start_soon(run, node, nursery)
            nursery.cancel_scope.cancel()
    return starts


def measure_interpreter(tree):
    """Return the processor time of an empty program, in milliseconds."""
    before = os.times()
    subprocess.run(
        [make_command(tree)[0], '-c', 'pass'],
        env=make_environment(tree),
        check=True,
    )
    after = os.times()
    user_s = after.children_user - before.children_user
    return (user_s + after.children_system - before.children_system) * 1000


def summarise(starts):
    """Return the median of each figure of each step as a dict."""
    summary = {}
    for step in dataclasses.fields(Start):
        usages = [getattr(start, step.name) for start in starts]
        summary[step.name] = {
            field.name: round(
                statistics.median(
                    getattr(usage, field.name) for usage in usages
                ),
                1,
            )
            for field in dataclasses.fields(Usage)
        }
    return summary


def list_modules(tree):
    """Print the cost of each module that the node's program imports.

    The first two columns are in milliseconds: the module's own time, and the
    time with all modules that it is the first to import.
    """
    program = "import sys; sys.path.insert(0, 'platform'); "
    program += 'import pumicestand_platform.main'
    result = subprocess.run(
        [make_command(tree)[0], '-X', 'importtime', '-c', program],
        cwd=tree,
        env=make_environment(tree),
        check=True,
        capture_output=True,
        text=True,
    )
    rows = []
    for line in result.stderr.splitlines():
        match = IMPORT_LINE.match(line)
        if match:
            own_us, total_us, indent, name = match.groups()
            rows.append((int(own_us), int(total_us), indent, name))
    for own_us, total_us, indent, name in rows:
        print(f'{own_us / 1000:8.2f} {total_us / 1000:8.2f} {indent}{name}')
    print(f'{sum(row[0] for row in rows) / 1000:8.2f} ms, {len(rows)} modules')


def main():
    """Run the benchmark and print one line of JSON for each tree."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--nodes', type=int, default=1)
    parser.add_argument('--rounds', type=int, default=5)
    parser.add_argument('--modules', action='store_true')
    parser.add_argument('trees', nargs='*', type=pathlib.Path, default=[ROOT])
    arguments = parser.parse_args()
    trees = [tree.resolve() for tree in arguments.trees]
    if arguments.modules:
        for tree in trees:
            list_modules(tree)
        return
    starts = {tree: [] for tree in trees}
    interpreter_ms = {tree: [] for tree in trees}
    network = FIRST_NETWORK
    for _ in range(arguments.rounds):
        for tree in trees:
            interpreter_ms[tree].append(measure_interpreter(tree))
            starts[tree] += trio.run(
                measure_starts, tree, arguments.nodes, network
            )
            network += 1
    for tree in trees:
        figures = {
            'tree': str(tree),
            'nodes': arguments.nodes,
            'interpreter_cpu_ms': statistics.median(interpreter_ms[tree]),
            **summarise(starts[tree]),
        }
        print(json.dumps(figures))


if __name__ == '__main__':
    main()
