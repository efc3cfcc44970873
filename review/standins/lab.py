"""Stand-ins for the platform, workers and clients, and the nodes under test.

It needs nothing but the standard library. Every process and every address is
of the test itself: each machine has a loopback address of its own.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
STORE_PORT, WORKER_PORT = 8309, 8301
READY_PORT, OUTBOUND_PORT, CONTROL_PORT = 8302, 8304, 8306
HOST_NAME = 'shop.example'
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
GRACE_S = 6.0
HEARTBEAT_S = 1.5
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Added to the results, as the interpreter itself exits with 1 or 2.
EXIT_BASE = 40
MAX_RUN_S = 110.0

SETTINGS = """\
node_name={name}
role=node
machine_class=sidecar
serves=sidecar
ip={ip}
zone={zone}
region=region
listen.inbound={ip}:8300
listen.outbound={ip}:8304
listen.ready={ip}:8302
listen.control={ip}:8306
internal_ports=7620,7635
seeds=
bootstrap={bootstrap}
limits.cpu_share=0.86
limits.cpu_cores=1
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
discovery=static
entry=static
heartbeat_s=1.5
contracts=base,drain,config,cost,retry,recover,rollout,platform
bounds.stable_window_s=3
bounds.ack_s=4
bounds.drain_s=2
bounds.grace_s=6
bounds.lost_s=0.2
bounds.config_apply_s=2
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=60
bounds.expose_share=0.1
bounds.expose_slack=50
bounds.rollback_s=5
bounds.recover_s=15
app_addr={ip}:8301
service={service}
platform.address={store}
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
"""


class Record:
    """The account of a run, written to a file line by line."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._started_at = time.monotonic()

    def note(self, text):
        at = time.monotonic() - self._started_at
        self._file.write(f'{at:8.3f} s  {text}\n')
        self._file.flush()


# HTTP


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        parts = urllib.parse.urlsplit(target)
        self.path = urllib.parse.unquote(parts.path)
        self.query = dict(urllib.parse.parse_qsl(parts.query))
        self.headers = headers
        self.body = body


async def read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    """Return the next `Request`, None at the end of the connection."""
    try:
        line, headers = await read_head(reader)
        method, target, _ = line.split(' ', 2)
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Request(method, target, headers, body)


def encode_response(status, body=b'', headers=()):
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'content-length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def json_response(data, status=200):
    body = json.dumps(data).encode()
    return encode_response(
        status, body, (('content-type', 'application/json'),)
    )


async def serve_http(host, port, handle):
    """Serve HTTP/1.1; `handle` returns the bytes of a response or None."""

    async def serve(reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                response = await handle(request, reader)
                if response is None:
                    return
                writer.write(response)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, host, port)


async def call(address, method, path, headers, body=b'', timeout=5.0):
    """Make one request; return (status, headers, body), status 0 for none."""
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body or method != 'GET':
        lines.append(f'content-length: {len(body)}')
    data = '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            line, received = await read_head(reader)
            length = int(received.get('content-length', 0))
            content = await reader.readexactly(length)
            return int(line.split(' ')[1]), received, content
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b''
    finally:
        if writer is not None:
            writer.close()


# The platform's store


class Store:
    """The metadata store; each machine reaches it at an address of its own.

    ``turned_away`` holds the names of the machines whose calls are answered
    with status 503 while it serves the others.
    """

    def __init__(self, record):
        self._record = record
        self._objects = {}
        self._history = []
        self._revision = 1
        self._changed = asyncio.Event()
        self.turned_away = set()

    async def open_door(self, machine, address):
        async def handle(request, reader):
            if machine in self.turned_away:
                return json_response({'error': 'busy'}, 503)
            return await self._answer(request, machine)

        await serve_http(*address, handle)

    def get(self, kind, name):
        return self._objects.get((kind, name))

    def put(self, kind, name, spec=None, status=None):
        """Write an object as the operator does."""
        current = self._objects.get((kind, name))
        if spec is None and current:
            spec = current['spec']
        self._write(kind, name, spec, status, current)

    def _write(self, kind, name, spec, status, current):
        self._revision += 1
        created = current['metadata']['created'] if current else self._revision
        data = {
            'metadata': {
                'name': name,
                'revision': self._revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': status,
        }
        self._objects[kind, name] = data
        self._history.append((self._revision, kind, data))
        self._changed.set()
        self._changed = asyncio.Event()
        return data

    async def _answer(self, request, machine):
        await asyncio.sleep(0.004)
        parts = request.path.strip('/').split('/')
        if len(parts) < 2 or parts[0] != 'objects':
            return json_response({'error': 'no such path'}, 404)
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        if request.method != 'GET':
            self._record.note(
                f'store: {machine} sends {request.method} {request.path} '
                f'{request.body.decode()[:400]}'
            )
        if request.method == 'GET' and 'watch' in request.query:
            return await self._watch(kind, request.query)
        if request.method == 'GET' and name is None:
            return self._list(kind, request.query.get('after', ''))
        current = self._objects.get((kind, name))
        if request.method == 'GET':
            if current is None:
                return json_response({'error': 'no such object'}, 404)
            return json_response(current)
        data = json.loads(request.body)
        if request.method == 'POST':
            name = data['metadata']['name']
            current = self._objects.get((kind, name))
            if current is not None:
                return json_response(current, 409)
            stored = self._write(kind, name, data.get('spec'), None, None)
            return json_response(stored, 201)
        if current is None:
            return json_response({'error': 'no such object'}, 404)
        wanted = data.get('metadata', {}).get('revision')
        if wanted not in (None, current['metadata']['revision']):
            return json_response(current, 409)
        spec, status = current['spec'], current['status']
        if len(parts) > 3:
            status = data.get('status')
        else:
            spec = data.get('spec')
        if (spec, status) == (current['spec'], current['status']):
            return json_response(current)
        return json_response(self._write(kind, name, spec, status, current))

    def _list(self, kind, after):
        items = [
            data
            for (item_kind, name), data in sorted(self._objects.items())
            if item_kind == kind and name > after
        ]
        return json_response(
            {'items': items, 'more': False, 'at': self._revision}
        )

    async def _watch(self, kind, query):
        after = int(query['watch'])
        end = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            changed = self._changed
            events = [
                {'object': data, 'deleted': False}
                for revision, changed_kind, data in self._history
                if revision > after and changed_kind == kind
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return json_response({'events': events, 'at': self._revision})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()


def make_configuration(generation, routes, services, tenants=()):
    """Return a configuration as the operator writes it.

    :param routes: (name, path prefix, type, service) of each route
    :param services: names
    :param tenants: (name, keys) of each tenant
    """
    spec = {
        'version': f'{generation:08x}',
        'routes': {
            'columns': [
                *('name', 'host', 'path_prefix', 'route_type', 'timeout_s'),
                *('target_latency_s', 'priority', 'max_attempts', 'service'),
            ],
            'rows': [
                [name, HOST_NAME, prefix, type_, 2.0, 0.8, 1, 2, service]
                for name, prefix, type_, service in routes
            ],
        },
        'services': {
            'columns': ['name', 'health_path', 'max_connections'],
            'rows': [[name, '/healthz', 110] for name in services],
        },
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
    }
    if tenants:
        spec['tenants'] = {
            'columns': ['name', 'api_keys'],
            'rows': [[name, list(keys)] for name, keys in tenants],
        }
    return spec


# Workers


class Worker:
    """A worker that sends heartbeats and records what reaches it.

    ``runs`` holds (time, request id) of each request that it began to run.

    :param nested_path: path of the call that it makes while it runs a
        request, None for none
    :param is_dropping: whether it drops a request when its connection closes
    """

    def __init__(
        self,
        machine,
        service,
        record,
        work_s=0.05,
        nested_path=None,
        is_dropping=True,
    ):
        self.machine = machine
        self.service = service
        self.instance = f'i-{machine.name}-{random.randrange(16**6):06x}'
        self.work_s = work_s
        self.runs = []
        self.nested_answers = []
        self._nested_path = nested_path
        self._is_dropping = is_dropping
        self._record = record
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._state = 'ready'
        self._beats = None
        self._tasks = set()

    async def start(self):
        await serve_http(self.machine.ip, WORKER_PORT, self._handle)
        self._beats = asyncio.create_task(self._send_heartbeats())

    def make_heartbeat(self):
        """Return the body of the next heartbeat."""
        self._sequence += 1
        return {
            'address': f'{self.machine.ip}:{WORKER_PORT}',
            'born': self._born,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.machine.zone,
                'max_concurrency': 16,
            },
            'status': {
                'state': self._state,
                'sequence': self._sequence,
                'cold_left_s': 0,
            },
        }

    async def send(self, kind, body):
        """Send a heartbeat or a departure; return whether it was acked."""
        status, _, _ = await call(
            (self.machine.ip, CONTROL_PORT),
            'POST',
            f'/instances/{self.instance}/{kind}',
            {'host': 'control', 'content-type': 'application/json'},
            json.dumps(body).encode(),
            timeout=1.0,
        )
        return 200 <= status < 300

    async def _send_heartbeats(self):
        while True:
            await self.send('heartbeat', self.make_heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    async def drain(self):
        """Say that it drains until that is acked; return when it was."""
        self._state = 'draining'
        while not await self.send('heartbeat', self.make_heartbeat()):
            await asyncio.sleep(0.3)
        return time.monotonic()

    async def deregister(self):
        """Say that it leaves, and send no more heartbeats."""
        self._beats.cancel()
        while not await self.send('deregister', {'born': self._born}):
            await asyncio.sleep(0.3)
        return time.monotonic()

    async def _handle(self, request, reader):
        if request.path == '/healthz':
            return encode_response(200)
        request_id = request.headers.get('pumicestand-request-id', '')
        echo = ('Pumicestand-Request-Id', request_id)
        expected = request.headers.get('pumicestand-expect-instance')
        if expected not in (None, self.instance):
            return encode_response(421, b'', (echo,))
        self.runs.append((time.monotonic(), request_id))
        self._record.note(
            f'worker {self.instance} ({self.service}) runs {request_id}'
        )
        run = asyncio.create_task(self._run(request, request_id))
        self._tasks.add(run)
        run.add_done_callback(self._tasks.discard)
        closed = asyncio.create_task(reader.read(1))
        await asyncio.wait((run, closed), return_when='FIRST_COMPLETED')
        if not run.done():
            # The caller has closed the connection.
            if self._is_dropping:
                run.cancel()
            return None
        closed.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await closed
        status = run.result()
        stamp = ('Pumicestand-Server-Stamp', f'{self.instance}.{request_id}')
        body = f'{request_id} by {self.instance}'.encode()
        return encode_response(
            status, body if status == 200 else b'', (echo, stamp)
        )

    async def _run(self, request, request_id):
        await asyncio.sleep(float(request.query.get('work_s', self.work_s)))
        if self._nested_path is None or '.' in request_id:
            return 200
        status, _, body = await call(
            (self.machine.ip, OUTBOUND_PORT),
            'GET',
            self._nested_path,
            {
                'host': HOST_NAME,
                'pumicestand-request-id': f'{request_id}.1',
                'pumicestand-deadline-ms': '1000',
            },
        )
        self.nested_answers.append((f'{request_id}.1', status))
        self._record.note(
            f'worker {self.instance}: its call {request_id}.1 is answered '
            f'{status} {body.decode(errors="replace").strip()[:100]}'
        )
        return 200 if status == 200 else 500


# Machines


class Machine:
    """One machine: an address, and the process of the node on it."""

    def __init__(self, name, ip, zone, service, folder, record, extra=''):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = service
        self.started_at = 0.0
        self.process = None
        self.own_ends = 0
        self.is_stopping = False
        self.stopped_at = float('-inf')
        self._folder = folder
        self._record = record
        self._extra = extra
        self._start_count = 0

    @property
    def store_address(self):
        return (self.ip, STORE_PORT)

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def start(self):
        """Start the node as the deploy file says."""
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            service=self.service,
            store=f'{self.ip}:{STORE_PORT}',
            bootstrap='true' if self._start_count == 0 else 'false',
        )
        path = self._folder / f'{self.name}.conf'
        path.write_text(text + self._extra, encoding='utf-8')
        names = ('PATH', 'HOME', 'LANG')
        environment = {n: os.environ[n] for n in names if n in os.environ}
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PUMICESTAND_SETTINGS'] = str(path)
        with open(self._folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-S', 'platform/node.py'],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._start_count += 1
        self.started_at = time.monotonic()
        self._record.note(f'machine {self.name}: process started')

    def send_signal(self, number):
        self._record.note(f'machine {self.name}: {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def stop(self, number):
        """Signal the process and wait for its end."""
        self.is_stopping = True
        self.send_signal(number)
        end = time.monotonic() + GRACE_S
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        self.kill()

    def restart(self):
        """Start the process again after a stop."""
        self.start()
        self.stopped_at = self.started_at
        self.is_stopping = False

    def kill(self):
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        status, _, _ = await call(
            (self.ip, READY_PORT), 'GET', '/readyz', {'host': 'node'}, b'', 1.0
        )
        return status == 200

    async def restart_when_it_ends(self):
        """Start the process again whenever it ends, as the platform does.

        Ends during a stop of this machine, and within a second after it, do
        not count as its own.
        """
        while True:
            await asyncio.sleep(0.1)
            if self.is_stopping or self.is_running:
                continue
            is_own = time.monotonic() > self.stopped_at + 1.0
            self.own_ends += is_own
            self._record.note(
                f'machine {self.name}: the process ended by itself with code '
                f'{self.process.returncode}, counted ends {self.own_ends}; '
                f'its error: {self.last_error()}'
            )
            await asyncio.sleep(0.5)
            self.start()

    def last_error(self):
        """Return the line of the log that names the last exception."""
        log = self._folder / f'{self.name}.log'
        lines = log.read_text(errors='replace').splitlines()
        found = [line for line in lines if 'Error: ' in line]
        return found[-1].strip(' |')[:200] if found else 'none'


class NotRunError(Exception):
    """The case could not run."""


class Lab:
    """All stand-ins and processes of one run."""

    def __init__(self, record):
        self.record = record
        self.store = Store(record)
        self.machines = []
        self.workers = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._lock, self._network = self._reserve_network()

    @staticmethod
    def _reserve_network():
        numbers = list(range(130, 250))
        random.shuffle(numbers)
        for number in numbers:
            lock = socket.socket()
            try:
                lock.bind((f'127.{number}.0.1', STORE_PORT))
            except OSError:
                lock.close()
                continue
            return lock, number
        raise NotRunError('no free loopback network')

    def add_machine(self, zone, service, extra='', **worker_options):
        index = len(self.machines)
        machine = Machine(
            f'sidecar-{zone}-{index}',
            f'127.{self._network}.0.{10 + index}',
            zone,
            service,
            self.folder,
            self.record,
            extra,
        )
        self.machines.append(machine)
        self.workers.append(
            Worker(machine, service, self.record, **worker_options)
        )
        return machine

    async def start(self):
        """Start everything; return once all nodes are ready."""
        if not (ROOT / 'target' / 'deps').is_dir():
            raise NotRunError('target/deps is missing: run the build first')
        for machine, worker in zip(self.machines, self.workers, strict=True):
            await self.store.open_door(machine.name, machine.store_address)
            machine.start()
            await worker.start()
        end = time.monotonic() + 30
        for machine in self.machines:
            while not await machine.is_ready():
                if time.monotonic() > end or not machine.is_running:
                    raise NotRunError(f'{machine.name} does not get ready')
                await asyncio.sleep(0.1)
        self.record.note('all machines are ready')

    def close(self):
        for machine in self.machines:
            machine.kill()
        self._lock.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Consumer:
    """Sends requests to the node of one machine at a steady rate.

    ``answers`` holds (time sent, id, status) of each.
    """

    def __init__(self, machine, path, per_s, record, method='GET', key=None):
        self._machine = machine
        self._path = path
        self._period_s = 1 / per_s
        self._record = record
        self._method = method
        self._key = key
        self._tasks = set()
        self.answers = []

    async def run(self):
        while True:
            task = asyncio.create_task(self._send())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._period_s)

    async def _send(self):
        request_id = f'{random.randrange(16**16):016x}'
        sent_at = time.monotonic()
        headers = {
            'host': HOST_NAME,
            'pumicestand-request-id': request_id,
            'pumicestand-deadline-ms': '1500',
        }
        if self._key:
            headers['x-api-key'] = self._key
        status, _, body = await call(
            (self._machine.ip, OUTBOUND_PORT),
            self._method,
            self._path,
            headers,
            timeout=1.5,
        )
        self.answers.append((sent_at, request_id, status))
        self._record.note(
            f'consumer on {self._machine.name}: {self._method} {self._path} '
            f'{request_id} is answered {status or "nothing"} '
            f'{body.decode(errors="replace").strip()[:80]}'
        )


class KeptConsumer:
    """Sends requests one after the other on a connection that it keeps.

    ``lost`` holds the id of each request whose connection ended without an
    answer, and ``served`` counts the answers with status 200.
    """

    def __init__(self, machine, path, record, method='GET'):
        self.machine = machine
        self._path = path
        self._method = method
        self._record = record
        self.lost = []
        self.served = 0

    async def run(self):
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(
                        self.machine.ip, OUTBOUND_PORT
                    )
                try:
                    await self._use(reader, writer)
                finally:
                    writer.close()
            await asyncio.sleep(0.2)

    async def _use(self, reader, writer):
        is_kept = False
        while True:
            request_id = f'{random.randrange(16**16):016x}'
            lines = [
                f'{self._method} {self._path} HTTP/1.1',
                f'host: {HOST_NAME}',
                f'pumicestand-request-id: {request_id}',
                'pumicestand-deadline-ms: 1500',
            ]
            if self._method != 'GET':
                lines.append('content-length: 0')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
            try:
                async with asyncio.timeout(3.0):
                    line, headers = await read_head(reader)
                    length = int(headers.get('content-length', 0))
                    await reader.readexactly(length)
            except (asyncio.IncompleteReadError, ConnectionError):
                if is_kept:
                    self.lost.append(request_id)
                self._record.note(
                    f'consumer on {self.machine.name}: the connection ends '
                    f'without an answer to {self._method} {self._path} '
                    f'{request_id}'
                )
                return
            is_kept = True
            status = int(line.split(' ')[1])
            self.served += status == 200
            self._record.note(
                f'consumer on {self.machine.name}: {self._method} '
                f'{self._path} {request_id} is answered {status}'
            )
            if headers.get('connection', '').lower() == 'close':
                return
            await asyncio.sleep(0.05)


def has_trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


def main(scenario, folder):
    """Run a scenario and exit with its result.

    :param scenario: coroutine function from the `Lab` to (result, text)
    :param folder: where `record.txt` is written
    """
    record = Record(pathlib.Path(folder) / 'record.txt')
    record.note(f'TROUBLE={int(has_trouble())}')
    # A termination of this process ends the processes that it started, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_BASE + NOT_RUN))

    async def run():
        lab = Lab(record)
        try:
            async with asyncio.timeout(MAX_RUN_S):
                return await scenario(lab)
        finally:
            lab.close()

    try:
        result, text = asyncio.run(run())
    except Exception as error:
        result, text = NOT_RUN, f'the case could not run: {error!r}'
    record.note(f'result {result}: {text}')
    print(text)
    sys.exit(EXIT_BASE + result)
