"""Starts stores, nodes and targets as processes, and ends them.

A benchmark may start processes; the product's processes may not. Every
process is ended by its own handle.
"""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import httpcore

HOST = '127.0.0.1'
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0


class PortAllocator:
    """Hands out ports that were free a moment ago."""

    def __init__(self):
        self._given = set()

    def take(self, both=False):
        """Return a port that is free for TCP, and for UDP if asked."""
        while True:
            with (
                socket.socket() as tcp,
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
            ):
                tcp.bind((HOST, 0))
                port = tcp.getsockname()[1]
                if port in self._given:
                    continue
                try:
                    if both:
                        udp.bind((HOST, port))
                except OSError:
                    continue
                self._given.add(port)
                return port


class Process:
    """A process that this harness started.

    :param name: for messages
    :param command: arguments behind the interpreter
    :param log: path that takes its output
    :param environment: variables beside those of this process
    """

    def __init__(self, name, command, log, environment=None):
        self.name = name
        self.command = command
        self.log = pathlib.Path(log)
        self._file = self.log.open('ab')
        self._popen = subprocess.Popen(
            [sys.executable, *command],
            stdout=self._file,
            stderr=self._file,
            stdin=subprocess.DEVNULL,
            env={**os.environ, **(environment or {})},
        )

    @property
    def pid(self):
        """The process's id."""
        return self._popen.pid

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self._popen.poll() is None

    def send_signal(self, number):
        """Send a signal to this process alone."""
        if self.is_running:
            self._popen.send_signal(number)

    def terminate(self):
        """Ask the process to end."""
        self.send_signal(signal.SIGTERM)

    def kill(self):
        """End the process at once."""
        self.send_signal(signal.SIGKILL)

    def wait(self, timeout=STOP_TIMEOUT_S):
        """Wait for the end; kill the process if it takes too long."""
        try:
            code = self._popen.wait(timeout)
        except subprocess.TimeoutExpired:
            self._popen.kill()
            code = self._popen.wait()
        self._file.close()
        return code

    def replace(self, other):
        """Stand for another process, started again in this one's place."""
        self._popen, self._file = other._popen, other._file

    def rss_mb(self):
        """Return the resident memory in MB."""
        with open(f'/proc/{self.pid}/statm', encoding='ascii') as file:
            pages = int(file.read().split()[1])
        return pages * os.sysconf('SC_PAGE_SIZE') / 1e6

    def cpu_seconds(self):
        """Return the processor time used so far, in seconds."""
        with open(f'/proc/{self.pid}/stat', encoding='ascii') as file:
            fields = file.read().rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')


def fetch(method, url, data=None, timeout=5.0):
    """Make one HTTP call and return (status, data from JSON).

    :raises OSError: if there is no answer
    """
    body = b'' if data is None else json.dumps(data).encode()
    headers = {'content-length': str(len(body)), 'host': 'harness'}
    timeouts = dict.fromkeys(('connect', 'read', 'write', 'pool'), timeout)
    try:
        with httpcore.ConnectionPool() as pool:
            response = pool.request(
                method,
                url,
                headers=headers,
                content=body,
                extensions={'timeout': timeouts},
            )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as error:
        raise OSError(f'no answer from {url}: {error!r}') from error
    try:
        return response.status, json.loads(response.content)
    except ValueError:
        return response.status, response.content


def wait_until(check, timeout, what):
    """Wait until a check is true.

    :raises TimeoutError: after so many seconds
    """
    end = time.monotonic() + timeout
    while True:
        try:
            if check():
                return
        except OSError:
            pass
        if time.monotonic() > end:
            raise TimeoutError(f'{what}: not within {timeout:g} s')
        time.sleep(0.02)


class StoreProcess(Process):
    """The platform stand-in as a process."""

    def __init__(self, port, folder, reads_per_s=2000, writes_per_s=300):
        command = ['-m', 'pumicestand_standins.store', '--port', str(port)]
        command += ['--reads-per-s', str(reads_per_s)]
        command += ['--writes-per-s', str(writes_per_s)]
        super().__init__('store', command, folder / 'store.log')
        self.url = f'http://{HOST}:{port}'

    def set_faults(self, **faults):
        """Switch on these faults and no others."""
        fetch('PUT', f'{self.url}/standin/faults', faults)

    def counters(self):
        """Return the calls counted by kind."""
        return fetch('GET', f'{self.url}/standin/counters')[1]

    def objects(self):
        """Return all objects: key to (version, value)."""
        return fetch('GET', f'{self.url}/standin/objects')[1]


class NodeProcess(Process):
    """A node as a process.

    :param settings: values that differ from the defaults
    """

    def __init__(self, settings, folder):
        self.settings = settings
        command = ['-m', 'pumicestand_node.main']
        for name, value in settings.items():
            command += ['--set', f'{name}={json.dumps(value)}']
        log = folder / f'{settings["name"]}.log'
        super().__init__(settings['name'], command, log)

    @property
    def operator_url(self):
        """Where the operators' endpoint is."""
        return f'http://{HOST}:{self.settings["operator_port"]}'

    @property
    def call_address(self):
        """Where calls are taken: (host, port)."""
        return (HOST, self.settings['call_port'])

    @property
    def mesh_address(self):
        """Where frames are taken, as host:port."""
        return f'{HOST}:{self.settings["mesh_port"]}'

    def status(self):
        """Return the node's status."""
        return fetch('GET', f'{self.operator_url}/v1/status')[1]

    def timeline(self):
        """Return the node's events."""
        return fetch('GET', f'{self.operator_url}/v1/timeline')[1]

    def metric(self, name, label=''):
        """Return a metric's value, summed over the lines with a label."""
        text = fetch('GET', f'{self.operator_url}/metrics')[1].decode()
        return sum(
            float(line.rpartition(' ')[2])
            for line in text.splitlines()
            if line.startswith(name) and f'"{label}' in line
        )


class TargetProcess(Process):
    """A target stand-in as a process."""

    def __init__(self, service, version, port, node, folder, **options):
        command = ['-m', 'pumicestand_standins.target']
        command += ['--service', service, '--version', version]
        command += ['--port', str(port), '--node', node.operator_url]
        behaviour = options.pop('behaviour', None)
        if behaviour:
            command += ['--behaviour', json.dumps(behaviour)]
        for name, value in options.items():
            command += [f'--{name}', str(value)]
        name = f'{service}-{version}-{port}'
        super().__init__(name, command, folder / f'{name}.log')
        self.service = service
        self.version = version
        self.port = port
        self.url = f'http://{HOST}:{port}'

    def ledger(self):
        """Return what the target ran."""
        return fetch('GET', f'{self.url}/standin/ledger')[1]

    def drain(self):
        """Have the target announce that it is leaving."""
        fetch('PUT', f'{self.url}/standin/drain')

    def set_behaviour(self, **behaviour):
        """Change how the target answers."""
        fetch('PUT', f'{self.url}/standin/behaviour', behaviour)


class Fleet:
    """A store, nodes and targets on this machine.

    Use as a context manager: at its end every process is ended.
    """

    def __init__(self):
        self.ports = PortAllocator()
        self._folder = tempfile.TemporaryDirectory(prefix='pumicestand-')
        self.folder = pathlib.Path(self._folder.name)
        self.processes = []
        self.store = None
        self.nodes = []
        self.targets = []

    def __enter__(self):
        # Ended from outside, the processes are still ended in their turn.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
        return self

    def __exit__(self, *details):
        self.close()

    def close(self):
        """End every process and wait for it."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
        self._folder.cleanup()

    def start_store(self, **options):
        """Start the store and wait until it answers."""
        self.store = StoreProcess(self.ports.take(), self.folder, **options)
        self.processes.append(self.store)
        wait_until(
            lambda: self.store.counters() is not None,
            START_TIMEOUT_S,
            'the store starts',
        )
        return self.store

    def node_settings(self, name, zone, region, environment='production'):
        """Return the settings of a new node with ports of its own."""
        return {
            'name': name,
            'zone': zone,
            'region': region,
            'environment': environment,
            'call_port': self.ports.take(),
            'mesh_port': self.ports.take(both=True),
            'operator_port': self.ports.take(),
            'store': self.store.url,
            'seeds': [node.mesh_address for node in self.nodes[:2]],
            'drain': '10s',
        }

    def start_node(self, settings):
        """Start a node without waiting for it."""
        node = NodeProcess(settings, self.folder)
        self.processes.append(node)
        self.nodes.append(node)
        return node

    def wait_for_nodes(self, nodes):
        """Wait until nodes answer operators."""
        for node in nodes:
            wait_until(node.status, START_TIMEOUT_S, f'{node.name} starts')

    def start_target(self, service, version, node, **options):
        """Start a target beside a node without waiting for it."""
        port = self.ports.take()
        target = TargetProcess(
            service, version, port, node, self.folder, **options
        )
        self.processes.append(target)
        self.targets.append(target)
        return target

    def wait_for_targets(self, targets):
        """Wait until targets answer."""
        for target in targets:
            wait_until(target.ledger, START_TIMEOUT_S, f'{target.name}')
