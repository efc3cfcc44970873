"""Starts real nodes as processes, with stand-ins for store and targets."""

import pathlib
import random
import signal
import socket

import trio

from benchmarks import harness
from pumicestand_standins import http_server
from pumicestand_standins import mesh_target
from pumicestand_standins import objects
from soak import machines
from soak import proxies
from soak import records

ROOT = pathlib.Path(__file__).parents[1]
ZONES = ('zone-a', 'zone-b')
SERVICES = ('shop', 'till')
HOST_NAME = 'shop.example'
START_TIMEOUT_S = 30.0
# Time between the platform's request to stop and its kill.
GRACE_S = 6.0
# A busy machine may need longer than the grace period to show the exit.
EXIT_MARGIN_S = 2.0
# Calls a second that a cold target bears, about a quarter of what it gets, and
# the time for which it is cold after a restart.
COLD_RATE, COLD_START_S = 6.0, 3.0
# Time limit of the route of long calls, longer than the grace period.
LONG_TIMEOUT_S = 10.0
# A stopping node takes new calls for about this time.
ACCEPT_AFTER_STOP_S = 2.2
READY_PERIOD_S = 0.2
WATCH_PERIOD_S = 0.05
# Time between the end of a process and its next start by the platform.
RESTART_DELAY_S = 0.3
OUTBOUND_PORT, READY_PORT, CONTROL_PORT = 8304, 8302, 8306
# Bound by a soak while it uses its loopback network.
LOCK_PORT = 8300
NETWORK_NUMBERS = range(64, 120)
# Last octet of the address of the first node.
FIRST_HOST = 10
STORE_PROXY_PORT, STORE_PORT = 8310, 8309
TARGET_PROXY_PORT, TARGET_PORT = 8301, 8311

SETTINGS_TEMPLATE = f"""\
node_name={{name}}
ip={{ip}}
zone={{zone}}
region=region
service={{service}}
listen.outbound={{ip}}:{OUTBOUND_PORT}
listen.ready={{ip}}:{READY_PORT}
listen.control={{ip}}:{CONTROL_PORT}
internal_ports=7620,7635
platform.address={{ip}}:{STORE_PROXY_PORT}
bounds.grace_s={GRACE_S:g}
bounds.retry_budget_ratio=0.2
bounds.retry_budget_slack=60
bounds.budget_window_s=10
bootstrap={{bootstrap}}
note={{note}}
"""
# Settings that a part adds.
PART_SETTINGS = {
    records.Part.EVACUATION: 'bounds.evacuate_s=5\n',
    records.Part.KEYS: 'bounds.strict_revoke=true\nbounds.revoke_s=5\n',
}


def make_configuration(generation, parts=(), tenants=()):
    """Return the operators' configuration of a generation.

    Each generation has a route of its own, so that a request shows which
    generation is in force at a node. Where there are organisations, these
    routes are public.

    :param parts: the `records.Part`s to play
    :param tenants: (name, list of keys, priority) of each organisation
    """
    routes = [
        ('again', '/r/', 'idempotent', 'shop', 2),
        ('once', '/o/', 'non_idempotent', 'shop', 1),
        ('upload', '/u/', 'upload', 'till', 1),
        ('inner', '/i/', 'idempotent', 'till', 2),
        ('own', f'/g{generation}/', 'idempotent', 'till', 2),
    ]
    spec = objects.make_configuration(
        generation, routes, SERVICES, HOST_NAME, tenants
    )
    if tenants:
        spec['routes']['columns'].append('public')
        for row in spec['routes']['rows']:
            row.append(row[0] == 'own')
    if records.Part.STOPS in parts:
        columns, rows = spec['routes']['columns'], spec['routes']['rows']
        row = dict(zip(columns, rows[1], strict=True))
        row |= {
            'name': 'long',
            'path_prefix': '/l/',
            'timeout_s': LONG_TIMEOUT_S,
            'target_latency_s': LONG_TIMEOUT_S / 2,
        }
        rows.append(list(row.values()))
    if records.Part.COLD in parts:
        spec['services'] = {
            'columns': ['name', 'cold_start_s', 'cold_per_s'],
            'rows': [[name, COLD_START_S, COLD_RATE] for name in SERVICES],
        }
    return spec


def describe_end(process):
    """Return how a `harness.Process` ended, for a finding."""
    return (
        f'{process.name} ended with {process.exit_code}: '
        f'{process.last_errors() or "no error in its output"}'
    )


async def wait_for_exit(process, timeout):
    """Wait for the end of a `harness.Process`; return its exit code.

    It is killed after the time-out, and None returned.

    :param timeout: seconds
    """
    with trio.move_on_after(timeout):
        while process.is_running:
            await trio.sleep(0.02)
    exit_code = process.exit_code
    process.kill()
    process.wait()
    return exit_code


class NodeUnderTest:
    """The process of one node, its target and its proxies.

    :param index: index from 0; determines address, zone and service
    :param network_number: second octet of all addresses, see
        `LoopbackNetwork`
    :param folder: path for settings and logs
    :param parts: the `records.Part`s to play
    :param seed: determines what happens at the target by chance
    :param machine: the `machines.Machine` that it runs on, None to start it
        from the environment of the soak
    """

    def __init__(
        self, index, network_number, folder, parts=(), seed=0, machine=None
    ):
        self.name = f'node-{index}'
        self.ip = f'127.{network_number}.0.{index + FIRST_HOST}'
        self.start_count = 0
        # Time of the last or next stop under calls, in seconds of trio's
        # clock.
        self.stop_at = float('-inf')
        self.process = None
        self.findings = []
        self._processes = []
        self._nursery = None
        self.machine = machine
        self._folder = folder
        self._parts = parts
        self.zone = ZONES[index % len(ZONES)]
        self._service = SERVICES[index // len(ZONES) % len(SERVICES)]
        store = (f'127.{network_number}.0.2', STORE_PORT)
        self.store_proxy = proxies.Proxy((self.ip, STORE_PROXY_PORT), store)
        self.target_proxy = proxies.Proxy(
            (self.ip, TARGET_PROXY_PORT), (self.ip, TARGET_PORT)
        )
        self.target = mesh_target.MeshTarget(
            f't{index}',
            self._service,
            (self.ip, TARGET_PORT),
            (self.ip, TARGET_PROXY_PORT),
            (self.ip, CONTROL_PORT),
            (self.ip, OUTBOUND_PORT),
            '/i/' if self._service == 'shop' else None,
            rng=random.Random(f'{self.name} {seed}'),
        )
        if records.Part.COLD in parts:
            self.target.behaviour.cold_rate = COLD_RATE
            self.target.behaviour.cold_start_s = COLD_START_S

    @property
    def outbound_address(self):
        """The (host, port) that receives the calls of clients."""
        return (self.ip, OUTBOUND_PORT)

    @property
    def metrics_address(self):
        """The (host, port) of the metrics."""
        return (self.ip, self.machine.deployment.metrics_address[0])

    @property
    def other_addresses(self):
        """The (host, port) of the ports that clients do not use."""
        ports = (READY_PORT, CONTROL_PORT, self.metrics_address[1])
        return [(self.ip, port) for port in ports]

    @property
    def folder(self):
        """The path for settings and logs."""
        return self._folder

    @property
    def settings_path(self):
        """The path of the settings file."""
        return self._folder / f'{self.name}.conf'

    def write_settings(self, note):
        """Write the settings file and return its path.

        :param note: text for the setting ``note``, which the node ignores
        """
        text = SETTINGS_TEMPLATE.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            service=self._service,
            note=note,
            bootstrap='true' if self.start_count == 0 else 'false',
        )
        text += ''.join(PART_SETTINGS.get(part, '') for part in self._parts)
        if self.machine is not None:
            text += self.machine.settings
        # A process that starts meanwhile must not read half of it.
        path = self._folder / f'{self.name}.conf.new'
        path.write_text(text, encoding='utf-8')
        return path.replace(self.settings_path)

    def hang_up(self, note):
        """Change the settings and tell the process, once it can be told.

        :param note: see `write_settings`
        """
        self.write_settings(note)
        self.send_hangup()

    def send_hangup(self):
        """Send SIGHUP, unless the interpreter itself is still starting."""
        if self.process.is_running and self.process.handles(signal.SIGHUP):
            self.process.send_signal(signal.SIGHUP)

    async def start(self, nursery):
        """Start proxies, target and process; return once the node is ready."""
        await self.store_proxy.start(nursery)
        await self.target_proxy.start(nursery)
        await self.target.start(nursery)
        self._nursery = nursery
        self.spawn()
        nursery.start_soon(self._watch)
        await self.wait_until_ready()

    async def start_process(self):
        """Start a process if none runs; return once the node is ready."""
        if self.process is None or not self.process.is_running:
            self.spawn()
        await self.wait_until_ready()

    def spawn(self):
        """Start a new process, even beside one that is still stopping."""
        path = self.write_settings('start')
        self.start_count += 1
        if self.machine is not None:
            log = self._folder / f'{self.name}-{self.start_count}.log'
            self.process = self.machine.start(
                self.name, path, log, self._nursery
            )
        else:
            self.process = harness.Process(
                self.name,
                [str(ROOT / 'platform' / 'node.py')],
                self._folder / f'{self.name}.log',
                {'PUMICESTAND_SETTINGS': str(path)},
            )
        self._processes.append(self.process)

    async def wait_until_ready(self):
        """Wait until the node is ready, at most `START_TIMEOUT_S`.

        :raises RuntimeError: if the process has ended and is not watched
        """
        with trio.move_on_after(START_TIMEOUT_S):
            while not await self._is_ready():
                if not self.process.is_running and self._nursery is None:
                    raise RuntimeError(f'{self.name} ended during its start')
                await trio.sleep(READY_PERIOD_S)
        if not self.process.is_running and self._nursery is None:
            raise RuntimeError(
                f'{self.name} ended, but another process responds at '
                f'{self.ip}:{READY_PORT}'
            )

    async def _is_ready(self):
        try:
            stream = await trio.open_tcp_stream(self.ip, READY_PORT)
        except OSError:
            return False
        async with stream:
            try:
                await stream.send_all(
                    b'GET /readyz HTTP/1.1\r\nhost: node\r\n\r\n'
                )
                return b' 200 ' in await stream.receive_some(100)
            except trio.BrokenResourceError:
                return False

    async def _watch(self):
        """Start a new process whenever one ends that was not told to end.

        On a machine of its own, one that uses too much memory is killed.
        """
        while True:
            await trio.sleep(WATCH_PERIOD_S)
            process = self.process
            if process.is_running and self.machine is not None:
                self._check_memory()
                continue
            if process.is_running or process.was_told_to_end:
                continue
            self.findings.append(
                records.Finding(
                    'processes end only when they are told to',
                    describe_end(process),
                )
            )
            await trio.sleep(RESTART_DELAY_S)
            if self.process is process:
                self.spawn()

    def _check_memory(self):
        rss_mb = self.process.rss_mb()
        if rss_mb > self.machine.memory_mb:
            self.findings.append(
                records.Finding(
                    'processes stay within their memory',
                    f'{self.name} used {rss_mb:.0f} MB, more than '
                    f'{self.machine.memory_mb} MB',
                )
            )
            self.kill()
            self.spawn()

    def kill(self):
        """Kill the process, even if it is paused."""
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()

    def close(self):
        """Kill all processes that still run."""
        for process in self._processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()


def _check_unused(number):
    """Raise an `OSError` if a node of an earlier soak still has a port.

    A node that starts waits for its ports, so that its clients would reach
    the other one.

    :param number: second octet of the addresses
    """
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((f'127.{number}.0.{FIRST_HOST}', OUTBOUND_PORT))
        probe.listen()


class LoopbackNetwork:
    """A range of loopback addresses that is reserved for one soak.

    Each node has an address of its own, and soaks that run at the same time
    must not share addresses. A network is identified by the second octet of
    its addresses, and reserved by a socket bound to its `LOCK_PORT`.
    """

    def __init__(self):
        self._socket = None
        self.number = 0

    def start(self):
        """Reserve the first free network.

        :raises RuntimeError: if there is none
        """
        for number in NETWORK_NUMBERS:
            lock = socket.socket()
            try:
                lock.bind((f'127.{number}.0.1', LOCK_PORT))
                _check_unused(number)
            except OSError:
                lock.close()
                continue
            self._socket, self.number = lock, number
            return
        raise RuntimeError(
            f'all {len(NETWORK_NUMBERS)} loopback networks of soaks are in use'
        )

    def close(self):
        """Release the network."""
        if self._socket is not None:
            self._socket.close()


class Cluster:
    """All nodes with their targets and proxies, and the store.

    :param node_count: number of nodes
    :param folder: path for settings and logs
    :param parts: the `records.Part`s to play
    :param key_ring: the `key_rings.KeyRing` of the organisations, None if
        there are none
    :param seed: see `NodeUnderTest`
    :param deployment: the `machines.Deployment` of nodes that run on machines
        of their own, None to start them from the environment of the soak
    """

    def __init__(
        self,
        node_count,
        folder,
        parts=(),
        key_ring=None,
        seed=0,
        deployment=None,
    ):
        self._parts = parts
        self.folder = folder
        self.key_ring = key_ring
        self._network = LoopbackNetwork()
        self._network.start()
        network_number = self._network.number
        self.store = objects.ObjectStore()
        self._server = http_server.Server(
            f'127.{network_number}.0.2', STORE_PORT, self.store.handle
        )
        self.nodes = [
            NodeUnderTest(
                index,
                network_number,
                folder,
                parts,
                seed,
                deployment and machines.Machine(deployment, f'{index} {seed}'),
            )
            for index in range(node_count)
        ]
        self.generation = 0

    @property
    def has_long_calls(self):
        """Whether the configuration has a route for long calls."""
        return records.Part.STOPS in self._parts

    def accept_next_configuration(self):
        """Store the next configuration; return its generation."""
        self.generation += 1
        configuration = make_configuration(
            self.generation,
            self._parts,
            self.key_ring.rows() if self.key_ring else (),
        )
        self.store.put('config', 'main', configuration)
        return self.generation

    async def start(self, nursery):
        """Start everything; return once all nodes are ready."""
        await self._server.start(nursery)
        self.accept_next_configuration()
        async with trio.open_nursery() as start_nursery:
            for node in self.nodes:
                start_nursery.start_soon(node.start, nursery)

    async def close(self):
        """Kill the processes of all nodes and stop the store."""
        for node in self.nodes:
            node.close()
        await self._server.close()
        self._network.close()
