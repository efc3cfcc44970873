"""Crowds of clients that stop short, and what they cost a node's process.

Each client opens a connection, sends its bytes, reads nothing and keeps the
connection open until the node closes it.
"""

import collections
import dataclasses
import itertools
import pathlib
import resource
import socket
import struct

import trio

from pumicestand_standins import http_client
from soak import clusters
from soak import machines

HOST = clusters.HOST_NAME.encode()
# Limits of the configuration in `clusters.make_configuration`.
MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 1_000_000
# The process is left alone until it has used less processor time than this
# in one period; it is not asked for longer than the timeout.
QUIET_PERIOD_S = 0.5
QUIET_CPU_S = 0.1
QUIET_TIMEOUT_S = 60.0
SAMPLE_PERIOD_S = 0.05
# Attempts of an ordinary client, which returns when it is told to.
MAX_ATTEMPTS = 40
DEFAULT_RETRY_S = 0.25
RETRIED_ALWAYS = (408, 429, 503)
RETRIED_IF_SAFE = (0, 502, 504)
DEADLINE_MS = 15_000
CONNECTS_AT_ONCE = 50
SETTINGS = 'limits.memory_mb={}\nlimits.max_fds={}\n'
LISTEN_STATE = '0A'
# Queues of a connection that has nothing unsent or unread.
EMPTY_QUEUE = ' 00000000:00000000 '

_ids = itertools.count(1)


class LimitedMachine(machines.Machine):
    """A machine with the given limits, whose process writes to a file.

    :param memory_mb: memory of its processes in MiB
    :param max_fds: descriptors of its processes
    """

    def __init__(self, deployment, memory_mb, max_fds):
        super().__init__(deployment, 0)
        self.memory_mb = memory_mb
        self.max_fds = self._soft_limit = max_fds
        self.output = machines.Output.FILE


@dataclasses.dataclass(frozen=True, slots=True)
class Crowd:
    """Clients that all send the same.

    :param size: number of clients
    :param pieces: what each of them sends, in separate writes
    :param pause_s: seconds between two writes
    """

    size: int
    pieces: tuple[bytes, ...]
    pause_s: float = 0.0

    async def run(self, address, nursery):
        """Start all clients; return once they have sent what they can."""
        connecting = trio.CapacityLimiter(CONNECTS_AT_ONCE)
        async with trio.open_nursery() as sending:
            for _ in range(self.size):
                sending.start_soon(
                    self._run_client, address, connecting, nursery
                )

    async def _run_client(self, address, connecting, nursery):
        async with connecting:
            try:
                stream = await trio.open_tcp_stream(*address)
            except OSError:
                return
        nursery.start_soon(_keep_open, stream)
        try:
            for piece in self.pieces:
                # The node need not read all of it.
                with trio.move_on_after(QUIET_TIMEOUT_S / 4) as scope:
                    await stream.send_all(piece)
                if scope.cancelled_caught:
                    return
                await trio.sleep(self.pause_s)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # A client that does not behave may be cut.
            return


async def _keep_open(stream):
    async with stream:
        await trio.sleep_forever()


def format_head(method, path, *lines):
    """Return the head of a request without the empty line at its end."""
    first = f'{method} {path} HTTP/1.1\r\n'.encode()
    fields = (
        b'host: ' + HOST,
        b'pumicestand-request-id: c%d' % next(_ids),
        b'pumicestand-deadline-ms: %d' % DEADLINE_MS,
        *lines,
    )
    return first + b''.join(line + b'\r\n' for line in fields)


def fill_head(head, line):
    """Return a head that is filled up with a line to the limit."""
    count = (MAX_HEAD_BYTES - len(head) - 2) // len(line)
    return head + line * count


def read_unread_bytes():
    """Return the bytes that all sockets hold unread, by their own address."""
    totals = collections.Counter()
    lines = pathlib.Path('/proc/net/tcp').read_text(encoding='ascii')
    for line in lines.splitlines()[1:]:
        if EMPTY_QUEUE in line:
            continue
        fields = line.split(None, 5)
        if fields[3] != LISTEN_STATE:
            host = fields[1].partition(':')[0]
            totals[host] += int(fields[4].partition(':')[2], 16)
    return totals


class Gauge:
    """The highest figures of one process, sampled.

    ``memory`` is the resident memory with the unread bytes of its sockets,
    in bytes, ``descriptors`` the number of open descriptors.

    :param node: `clusters.NodeUnderTest`
    """

    def __init__(self, node):
        self._process = node.process
        # As in the system's table of connections.
        address = struct.unpack('=I', socket.inet_aton(node.ip))[0]
        self._address = f'{address:08X}'
        self.memory = 0
        self.descriptors = 0

    def sample(self, unread_bytes):
        """Sample once, with the peak that the system has recorded.

        :param unread_bytes: see `read_unread_bytes`
        """
        folder = pathlib.Path(f'/proc/{self._process.pid}')
        try:
            status = (folder / 'status').read_text(encoding='ascii')
            open_count = len(list((folder / 'fd').iterdir()))
        except OSError:
            # The process has ended.
            return
        unread = unread_bytes[self._address]
        self.memory = max(
            self.memory,
            _kilobytes(status, 'VmHWM') * 1024,
            _kilobytes(status, 'VmRSS') * 1024 + unread,
        )
        self.descriptors = max(self.descriptors, open_count)


def _kilobytes(status, name):
    for line in status.splitlines():
        if line.startswith(name + ':'):
            return int(line.split()[1])
    return 0


async def sample_all(gauges):
    """Sample gauges until cancelled."""
    while True:
        unread_bytes = read_unread_bytes()
        for gauge in gauges:
            gauge.sample(unread_bytes)
        await trio.sleep(SAMPLE_PERIOD_S)


async def wait_until_quiet(process):
    """Wait until a process has worked off what it was sent."""
    with trio.move_on_after(QUIET_TIMEOUT_S):
        while process.is_running:
            before = process.cpu_seconds()
            await trio.sleep(QUIET_PERIOD_S)
            if not process.is_running:
                return
            if process.cpu_seconds() - before < QUIET_CPU_S:
                return


async def call(address, method, path, body=b'', lines=()):
    """Call as an ordinary client does, and return the last response.

    The client returns after a refusal, and with a request that may be repeated
    after any failure.

    :param lines: (name, value) of further headers
    """
    response = None
    for _ in range(MAX_ATTEMPTS):
        connection = http_client.Connection(address)
        headers = {
            'host': clusters.HOST_NAME,
            'pumicestand-request-id': f'o{next(_ids)}',
            'pumicestand-deadline-ms': str(DEADLINE_MS),
            **dict(lines),
        }
        response = await connection.call(method, path, headers, body)
        await connection.close()
        is_failed = response.status in RETRIED_ALWAYS or (
            method == 'GET' and response.status in RETRIED_IF_SAFE
        )
        if not is_failed:
            return response
        retry_s = response.headers.get('retry-after', DEFAULT_RETRY_S)
        await trio.sleep(float(retry_s))
    return response


class Stage:
    """A small system with little memory, of which one node meets a crowd.

    :param folder: path for settings and logs
    :param node_count: nodes 0 and 1 serve ``/r/``, 2 and 3 ``/u/``
    :param memory_mb: memory of each process in MiB
    :param max_fds: descriptors of each process
    """

    def __init__(self, folder, node_count=3, memory_mb=100, max_fds=1024):
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        deployment = machines.Deployment.from_sources(clusters.ROOT)
        self.cluster = clusters.Cluster(
            node_count, folder, deployment=deployment
        )
        for node in self.cluster.nodes:
            node.machine = LimitedMachine(deployment, memory_mb, max_fds)

    @property
    def node(self):
        """The `clusters.NodeUnderTest` that meets the crowd."""
        return self.cluster.nodes[0]

    @property
    def findings(self):
        """What the platform would have noticed, as texts."""
        return [
            f'{finding.promise}: {finding.detail}'
            for node in self.cluster.nodes
            for finding in node.findings
        ]

    async def play(self, act):
        """Start the system, act, and return the `Gauge` of each node.

        :param act: coroutine function that takes this stage and a nursery
        """
        raise_descriptor_limit()
        gauges = []
        async with trio.open_nursery() as nursery:
            try:
                await self.cluster.start(nursery)
                gauges = [Gauge(node) for node in self.cluster.nodes]
                nursery.start_soon(sample_all, gauges)
                await act(self, nursery)
                for gauge in gauges:
                    gauge.sample(read_unread_bytes())
            finally:
                await self.cluster.close()
                nursery.cancel_scope.cancel()
        return gauges

    async def meet(self, crowd, nursery):
        """Have the node meet a crowd and work off what was sent."""
        await crowd.run(self.node.outbound_address, nursery)
        await wait_until_quiet(self.node.process)


def raise_descriptor_limit():
    """Raise the soft limit of this process to its hard limit."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
