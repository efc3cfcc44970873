"""Starts stores, nodes and targets as processes and stops them.

Benchmarks may start processes; the processes of the product may not. Each
process is signalled through its own handle only, never by name.
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
    """Allocates ports that were free when they were probed."""

    def __init__(self):
        self._allocated = set()

    def allocate(self, needs_udp=False):
        """Return a port that is free for TCP and, if needed, for UDP."""
        while True:
            with (
                socket.socket() as tcp,
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
            ):
                tcp.bind((HOST, 0))
                port = tcp.getsockname()[1]
                if port in self._allocated:
                    continue
                try:
                    if needs_udp:
                        udp.bind((HOST, port))
                except OSError:
                    continue
                self._allocated.add(port)
                return port


class Process:
    """A Python process that the harness started.

    :param name: name used in messages
    :param command: arguments of the Python interpreter
    :param log: path of the file to which its output is appended
    :param environment: environment variables added to those of this process
    :param options: arguments of `subprocess.Popen` that replace the usual
        ones

    ``was_told_to_end`` is whether SIGTERM or SIGKILL was sent to it.
    """

    def __init__(self, name, command, log, environment=None, **options):
        self.name = name
        self.command = command
        self.log = pathlib.Path(log)
        self.was_told_to_end = False
        self._log_file = self.log.open('ab')
        usual_options = {
            'stdout': self._log_file,
            'stderr': self._log_file,
            'stdin': subprocess.DEVNULL,
            'env': {**os.environ, **(environment or {})},
        }
        self._popen = subprocess.Popen(
            [sys.executable, *command], **{**usual_options, **options}
        )

    @property
    def pid(self):
        """The id of the process."""
        return self._popen.pid

    @property
    def is_running(self):
        """Whether the process is still running."""
        return self._popen.poll() is None

    @property
    def exit_code(self):
        """The exit code, negative for a signal; None while it is running."""
        return self._popen.poll()

    def last_errors(self, count=3):
        """Return the last lines of its log that are not JSON, in one line."""
        lines = self.log.read_text(encoding='utf-8', errors='replace')
        others = [x for x in lines.splitlines() if not x.startswith('{')]
        return ' | '.join(others[-count:])

    def handles(self, signal_number):
        """Whether the process catches or ignores a signal by now.

        Until then, the signal ends it whatever its code does.
        """
        status = pathlib.Path(f'/proc/{self.pid}/status')
        fields = dict(
            line.split(':', 1)
            for line in status.read_text(encoding='ascii').splitlines()
        )
        mask = int(fields.get('SigCgt', '0'), 16)
        mask |= int(fields.get('SigIgn', '0'), 16)
        return bool(mask >> (signal_number - 1) & 1)

    def send_signal(self, signal_number):
        """Send a signal to this process if it is running."""
        if not self.is_running:
            return
        if signal_number in (signal.SIGTERM, signal.SIGKILL):
            self.was_told_to_end = True
        self._popen.send_signal(signal_number)

    def terminate(self):
        """Send SIGTERM to the process."""
        self.send_signal(signal.SIGTERM)

    def kill(self):
        """Send SIGKILL to the process."""
        self.send_signal(signal.SIGKILL)

    def wait(self, timeout=STOP_TIMEOUT_S):
        """Wait for the process to exit and return its exit code.

        Kill it if it is still running after the time-out, in seconds.
        """
        try:
            exit_code = self._popen.wait(timeout)
        except subprocess.TimeoutExpired:
            self._popen.kill()
            exit_code = self._popen.wait()
        self._log_file.close()
        return exit_code

    def adopt_process(self, other):
        """Represent another process, the restarted one, from now on."""
        self._popen, self._log_file = other._popen, other._log_file

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


def send_request(method, url, data=None, timeout=5.0):
    """Send one HTTP request and return (status, content of the response).

    :param data: sent as JSON; None sends an empty body
    :param timeout: seconds for each of connecting, writing and reading
    :returns: the content is decoded from JSON if it can be, else bytes
    :raises OSError: if there is no response
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
        raise OSError(f'no response from {url}: {error!r}') from error
    try:
        return response.status, json.loads(response.content)
    except ValueError:
        return response.status, response.content


def wait_until(predicate, timeout, condition):
    """Wait until a predicate returns a true value.

    :param predicate: a function; an `OSError` that it raises counts as false
    :param timeout: in seconds
    :param condition: what is awaited, for the error message
    :raises TimeoutError: if the predicate is still false after the time-out
    """
    deadline = time.monotonic() + timeout
    while True:
        try:
            if predicate():
                return
        except OSError:
            pass
        if time.monotonic() > deadline:
            raise TimeoutError(f'{condition}: not true within {timeout:g} s')
        time.sleep(0.02)


class StoreProcess(Process):
    """A process of the stand-in for the platform's store."""

    def __init__(self, port, folder, reads_per_s=2000, writes_per_s=300):
        command = ['-m', 'pumicestand_standins.store', '--port', str(port)]
        command += ['--reads-per-s', str(reads_per_s)]
        command += ['--writes-per-s', str(writes_per_s)]
        super().__init__('store', command, folder / 'store.log')
        self.url = f'http://{HOST}:{port}'

    def set_faults(self, **faults):
        """Switch on the given faults and switch off all others."""
        send_request('PUT', f'{self.url}/standin/faults', faults)

    def counters(self):
        """Return the number of calls by kind."""
        return send_request('GET', f'{self.url}/standin/counters')[1]

    def objects(self):
        """Return all objects as a dict of key to (version, value)."""
        return send_request('GET', f'{self.url}/standin/objects')[1]


class NodeProcess(Process):
    """A process of a node.

    :param settings: dict of the settings that differ from the defaults
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
        """The URL of the operators' endpoint."""
        return f'http://{HOST}:{self.settings["operator_port"]}'

    @property
    def call_address(self):
        """The address at which the node accepts calls, as (host, port)."""
        return (HOST, self.settings['call_port'])

    @property
    def mesh_address(self):
        """The address at which the node accepts frames, as host:port."""
        return f'{HOST}:{self.settings["mesh_port"]}'

    def status(self):
        """Return the node's status."""
        return send_request('GET', f'{self.operator_url}/v1/status')[1]

    def timeline(self):
        """Return the node's events."""
        return send_request('GET', f'{self.operator_url}/v1/timeline')[1]

    def metric(self, name, label=''):
        """Return the sum of a metric's values over its label sets.

        :param label: prefix of a label value; other label sets are left out
        """
        text = send_request('GET', f'{self.operator_url}/metrics')[1].decode()
        return sum(
            float(line.rpartition(' ')[2])
            for line in text.splitlines()
            if line.startswith(name) and f'"{label}' in line
        )


class TargetProcess(Process):
    """A process of a stand-in for a target.

    :param options: ``behaviour``, a dict, and options of its command line
    """

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
        """Return the record of the requests that the target ran."""
        return send_request('GET', f'{self.url}/standin/ledger')[1]

    def drain(self):
        """Make the target announce that it is leaving."""
        send_request('PUT', f'{self.url}/standin/drain')

    def set_behaviour(self, **behaviour):
        """Replace the behaviour of the target; without arguments, reset it."""
        send_request('PUT', f'{self.url}/standin/behaviour', behaviour)


class Fleet:
    """A store, nodes and targets on this machine.

    It is a context manager that kills all of its processes on exit.
    """

    def __init__(self):
        self.ports = PortAllocator()
        self._temporary_folder = tempfile.TemporaryDirectory(
            prefix='pumicestand-'
        )
        self.folder = pathlib.Path(self._temporary_folder.name)
        self.processes = []
        self.store = None
        self.nodes = []
        self.targets = []

    def __enter__(self):
        # SIGTERM raises SystemExit, so that __exit__ kills the processes.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
        return self

    def __exit__(self, *details):
        self.close()

    def close(self):
        """Kill every process and wait until it has ended."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
        self._temporary_folder.cleanup()

    def start_store(self, **options):
        """Start the store, wait until it responds, and return it."""
        self.store = StoreProcess(
            self.ports.allocate(), self.folder, **options
        )
        self.processes.append(self.store)
        wait_until(
            lambda: self.store.counters() is not None,
            START_TIMEOUT_S,
            'the store responds',
        )
        return self.store

    def node_settings(self, name, zone, region, environment='production'):
        """Return the settings of a new node, with newly allocated ports."""
        return {
            'name': name,
            'zone': zone,
            'region': region,
            'environment': environment,
            'call_port': self.ports.allocate(),
            'mesh_port': self.ports.allocate(needs_udp=True),
            'operator_port': self.ports.allocate(),
            'store': self.store.url,
            'seeds': [node.mesh_address for node in self.nodes[:2]],
            'drain': '10s',
        }

    def start_node(self, settings):
        """Start a node and return it without waiting until it responds."""
        node = NodeProcess(settings, self.folder)
        self.processes.append(node)
        self.nodes.append(node)
        return node

    def wait_for_nodes(self, nodes):
        """Wait until the operators' endpoints of the nodes respond."""
        for node in nodes:
            wait_until(node.status, START_TIMEOUT_S, f'{node.name} responds')

    def start_target(self, service, version, node, **options):
        """Start a target of a node and return it without waiting for it."""
        port = self.ports.allocate()
        target = TargetProcess(
            service, version, port, node, self.folder, **options
        )
        self.processes.append(target)
        self.targets.append(target)
        return target

    def wait_for_targets(self, targets):
        """Wait until the targets respond."""
        for target in targets:
            wait_until(
                target.ledger, START_TIMEOUT_S, f'{target.name} responds'
            )
