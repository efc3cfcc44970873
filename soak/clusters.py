"""The real nodes as processes, with stand-ins for all around them."""

import pathlib
import signal
import socket

import trio

from benchmarks import harness
from pumicestand_standins import http_server
from pumicestand_standins import mesh_target
from pumicestand_standins import objects
from soak import proxies

ROOT = pathlib.Path(__file__).parents[1]
ZONES = ('zone-a', 'zone-b')
SERVICES = ('shop', 'till')
HOST_NAME = 'shop.example'
START_TIMEOUT_S = 30.0
# Grace of the platform between its request to stop and the kill, and what a
# busy machine may take beyond it to be seen.
GRACE_S = 6.0
EXIT_MARGIN_S = 2.0
READY_PERIOD_S = 0.2
OUTBOUND_PORT, READY_PORT, CONTROL_PORT = 8304, 8302, 8306
LOCK_PORT = 8300
NETWORK_NUMBERS = range(64, 120)
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
note={{note}}
"""


def make_configuration(generation):
    """Return the operator's configuration of a generation.

    Each has a route of its own, so that a request shows which one a node
    acts on.
    """
    routes = [
        ('again', '/r/', 'idempotent', 'shop', 2),
        ('once', '/o/', 'non_idempotent', 'shop', 1),
        ('upload', '/u/', 'upload', 'till', 1),
        ('inner', '/i/', 'idempotent', 'till', 2),
        ('own', f'/g{generation}/', 'idempotent', 'till', 2),
    ]
    return objects.make_configuration(generation, routes, SERVICES, HOST_NAME)


class NodeUnderTest:
    """One node's process with its target and proxies.

    :param index: from 0; decides address, zone and service
    :param network_number: the second number of all addresses, so that two
        soaks do not meet
    """

    def __init__(self, index, network_number, folder):
        self.name = f'node-{index}'
        self.ip = f'127.{network_number}.0.{index + 10}'
        self.start_count = 0
        self.process = None
        self._folder = folder
        self._zone = ZONES[index % len(ZONES)]
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
        )

    @property
    def outbound(self):
        """Where callers send their requests."""
        return (self.ip, OUTBOUND_PORT)

    def write_settings(self, note):
        """Write the settings file; the note is ignored by the node."""
        text = SETTINGS_TEMPLATE.format(
            name=self.name,
            ip=self.ip,
            zone=self._zone,
            service=self._service,
            note=note,
        )
        path = self._folder / f'{self.name}.conf'
        path.write_text(text, encoding='utf-8')
        return path

    async def start(self, nursery):
        """Start proxies, target and process; return once it is ready."""
        await self.store_proxy.start(nursery)
        await self.target_proxy.start(nursery)
        await self.target.start(nursery)
        await self.start_process()

    async def start_process(self):
        """Start the process anew; return once it is ready."""
        path = self.write_settings('start')
        self.start_count += 1
        self.process = harness.Process(
            self.name,
            [str(ROOT / 'platform' / 'node.py')],
            self._folder / f'{self.name}.log',
            {'PUMICESTAND_SETTINGS': str(path)},
        )
        await self.wait_until_ready()

    async def wait_until_ready(self):
        """Wait until the node takes callers, for a bounded time.

        :raises RuntimeError: if the process ends meanwhile
        """
        with trio.move_on_after(START_TIMEOUT_S):
            while not await self._is_ready():
                if not self.process.is_running:
                    raise RuntimeError(f'{self.name} ended at its start')
                await trio.sleep(READY_PERIOD_S)
        if not self.process.is_running:
            raise RuntimeError(f'another process serves for {self.name}')

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

    async def wait_for_exit(self, timeout):
        """Wait until the process has ended, or kill it; return whether."""
        with trio.move_on_after(timeout):
            while self.process.is_running:
                await trio.sleep(0.02)
        has_ended = not self.process.is_running
        self.process.kill()
        self.process.wait()
        return has_ended

    def kill(self):
        """End the process at once, also one that is paused."""
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()


class LoopbackNetwork:
    """The second number of the addresses of one soak, taken from others.

    Each node has an address of its own; soaks that run side by side must not
    share them.
    """

    def __init__(self):
        self._socket = None
        self.number = 0

    def start(self):
        """Take the first number that is free."""
        for number in NETWORK_NUMBERS:
            lock = socket.socket()
            try:
                lock.bind((f'127.{number}.0.1', LOCK_PORT))
            except OSError:
                lock.close()
                continue
            self._socket, self.number = lock, number
            return
        raise RuntimeError('all loopback networks of soaks are in use')

    def close(self):
        """Leave the number to others."""
        if self._socket is not None:
            self._socket.close()


class Cluster:
    """All nodes, the store and their ways.

    :param folder: path for settings and logs
    """

    def __init__(self, node_count, folder):
        self._network = LoopbackNetwork()
        self._network.start()
        network_number = self._network.number
        self.store = objects.ObjectStore()
        self._server = http_server.Server(
            f'127.{network_number}.0.2', STORE_PORT, self.store.handle
        )
        self.nodes = [
            NodeUnderTest(index, network_number, folder)
            for index in range(node_count)
        ]
        self.generation = 0

    def accept_next_configuration(self):
        """Accept the next configuration; return its generation."""
        self.generation += 1
        self.store.put('config', 'main', make_configuration(self.generation))
        return self.generation

    async def start(self, nursery):
        """Start everything; return once all nodes are ready."""
        await self._server.start(nursery)
        self.accept_next_configuration()
        async with trio.open_nursery() as start_nursery:
            for node in self.nodes:
                start_nursery.start_soon(node.start, nursery)

    async def close(self):
        """End all processes that were started here."""
        for node in self.nodes:
            if node.process is not None:
                node.kill()
        await self._server.close()
        self._network.close()
