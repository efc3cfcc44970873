"""A stand-in for a target that registers, serves and fails on demand."""

import argparse
import collections
import dataclasses
import hashlib
import json
import math
import random
import signal

import httpcore
import trio

from pumicestand_standins import http_server

ANNOUNCE_PERIOD_S = 1.0
DRAIN_NOTICE_S = 1.0
DRAIN_TIMEOUT_S = 30.0
CRASH_EXIT_CODE = 70
MAX_LOAD_HISTORY = 10_000


@dataclasses.dataclass(slots=True)
class Behaviour:
    """How a target answers.

    :param latency_s: median duration of a call in seconds; durations are
        log-normal
    :param errors: fraction of calls that fail while the target misbehaves
    :param slow_factor: factor on the duration while the target misbehaves
    :param after_s: the target misbehaves from so many seconds after its start
    :param above_load: the target misbehaves while at least this fraction of
        its slots is in use
    :param only_path: path prefix of the calls on which the target misbehaves,
        empty for all
    :param cold_s: seconds after the start in which calls take three times as
        long
    :param crash_path: path whose calls crash the process
    :param truncate: fraction of responses that are truncated
    :param drop: fraction of calls that run but get no response
    :param health: response of ``/health``, whatever the state is
    :param load_lag_s: age in seconds of the load that ``/load`` reports
    :param load_lie: load that ``/load`` reports instead of the true one,
        unless it is negative
    """

    latency_s: float = 0.002
    errors: float = 0.0
    slow_factor: float = 1.0
    after_s: float = 0.0
    above_load: float = 0.0
    only_path: str = ''
    cold_s: float = 0.0
    crash_path: str = ''
    truncate: float = 0.0
    drop: float = 0.0
    health: str = 'well'
    load_lag_s: float = 0.0
    load_lie: float = -1.0


class Target:
    """A target and its ledger, without the network.

    :param name: name that responses contain
    :param version: version that responses contain
    :param slots: calls that run at the same time; more are refused as not run
    :param behaviour: the initial `Behaviour`
    :param rng: a `random.Random`
    :param clock: function that returns seconds
    :param record_run: function that takes the id of each request before it
        runs, so that the record survives a crash of this process
    """

    def __init__(
        self,
        name,
        version,
        slots,
        behaviour,
        rng,
        clock,
        record_run=lambda request_id: None,
    ):
        self._name = name
        self._version = version
        self._slots = slots
        self._rng = rng
        self._clock = clock
        self._record_run = record_run
        self._started = clock()
        self.behaviour = behaviour
        self.ledger = collections.Counter()
        self.in_flight = 0
        self.shed = 0
        self.cancelled = 0
        self.past_deadline = 0
        self._load_history = collections.deque(maxlen=MAX_LOAD_HISTORY)
        self.drain_requested = trio.Event()
        self.drained_at = None
        self.new_work_after_drain_s = 0.0
        self.crashed = trio.Event()

    async def handle(self, request):
        """Answer a `http_server.Request`."""
        if request.path.startswith('/standin/'):
            return self._handle_control(request)
        if request.path == '/health':
            return http_server.Response(200, self.behaviour.health.encode())
        if request.path == '/load':
            return http_server.json_response({'load': self._reported_load()})
        if self.in_flight >= self._slots:
            self.shed += 1
            return _not_run_response('no slot is free')
        if self.drain_requested.is_set():
            seconds_since_drain = self._clock() - self.drained_at
            self.new_work_after_drain_s = max(
                self.new_work_after_drain_s, seconds_since_drain
            )
        self._change_load(1)
        try:
            return await self._run_within_deadline(request)
        except trio.Cancelled:
            self.cancelled += 1
            raise
        finally:
            self._change_load(-1)

    def _change_load(self, change):
        self.in_flight += change
        self._load_history.append(
            (self._clock(), self.in_flight / self._slots)
        )

    def _reported_load(self):
        """Return the load that the target reports, which may be wrong."""
        if self.behaviour.load_lie >= 0:
            return self.behaviour.load_lie
        latest = self._clock() - self.behaviour.load_lag_s
        past_loads = [load for at, load in self._load_history if at <= latest]
        return past_loads[-1] if past_loads else 0.0

    async def _run_within_deadline(self, request):
        """Run a call; abandon it at its deadline with status 504."""
        remaining_ms = request.headers.get('pumicestand-deadline-ms', '')
        seconds = (
            int(remaining_ms) / 1000 if remaining_ms.isdigit() else math.inf
        )
        response = http_server.Response(504, b'deadline')
        with trio.move_on_after(seconds) as scope:
            response = await self._run(request)
        self.past_deadline += scope.cancelled_caught
        return response

    async def _run(self, request):
        request_id = request.headers.get('x-request-id', '')
        if request_id:
            self.ledger[request_id] += 1
            self._record_run(request_id)
        behaviour = self.behaviour
        if behaviour.crash_path and request.path == behaviour.crash_path:
            self.crashed.set()
            await trio.sleep_forever()
        is_misbehaving = self._is_misbehaving(request)
        await trio.sleep(self._draw_latency(is_misbehaving))
        if is_misbehaving and self._rng.random() < behaviour.errors:
            return http_server.Response(500, b'failed')
        if self._rng.random() < behaviour.drop:
            return http_server.RawResponse()
        body = self._make_body(request, request_id)
        if self._rng.random() < behaviour.truncate:
            complete_response = http_server.encode_response(
                http_server.Response(200, body)
            )
            return http_server.RawResponse(complete_response[:-10])
        headers = (('x-target', self._name), ('x-version', self._version))
        return http_server.Response(200, body, headers)

    def _is_misbehaving(self, request):
        behaviour = self.behaviour
        if self._clock() - self._started < behaviour.after_s:
            return False
        if self.in_flight < behaviour.above_load * self._slots:
            return False
        return request.path.startswith(behaviour.only_path)

    def _draw_latency(self, is_misbehaving):
        behaviour = self.behaviour
        seconds = behaviour.latency_s * self._rng.lognormvariate(0, 0.3)
        if is_misbehaving:
            seconds *= behaviour.slow_factor
        if self._clock() - self._started < behaviour.cold_s:
            seconds *= 3
        return seconds

    def _make_body(self, request, request_id):
        digest = hashlib.sha256(request.body).hexdigest()
        return json.dumps(
            {
                'id': request_id,
                'target': self._name,
                'version': self._version,
                'path': request.path,
                'bytes': request.body_bytes,
                'digest': digest,
            }
        ).encode()

    def _handle_control(self, request):
        match request.method, request.path:
            case 'PUT', '/standin/behaviour':
                self.behaviour = Behaviour(**json.loads(request.body))
                return http_server.Response(200)
            case 'GET', '/standin/ledger':
                return http_server.json_response(
                    {
                        'target': self._name,
                        'version': self._version,
                        'runs': dict(self.ledger),
                        'shed': self.shed,
                        'cancelled': self.cancelled,
                        'past_deadline': self.past_deadline,
                        'new_work_after_drain_s': self.new_work_after_drain_s,
                    }
                )
            case 'PUT', '/standin/drain':
                self.drain()
                return http_server.Response(200)
        return http_server.Response(404)

    def drain(self):
        """Start draining: announce from now on that the target is leaving."""
        if not self.drain_requested.is_set():
            self.drain_requested.set()
            self.drained_at = self._clock()


def _not_run_response(detail):
    return http_server.Response(
        503, detail.encode(), (('pumicestand-outcome', 'not-run'),)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Command line options of the stand-in.

    :param node: URL of the node's operator API
    :param connections: connections that the target accepts at the same time
    """

    service: str
    version: str
    host: str
    port: int
    node: str
    resources: tuple[str, ...]
    slots: int
    connections: int
    behaviour: Behaviour
    seed: int


class Announcer:
    """Announces a target to its node, once a second.

    :param options: the target's `Options`
    :param target: the `Target`
    """

    def __init__(self, options, target):
        self._options = options
        self._target = target
        self._pool = httpcore.AsyncConnectionPool(max_connections=1)
        self.state = 'serving'

    async def run(self):
        """Announce periodically until cancelled.

        The start of draining is announced without delay.
        """
        while True:
            if (
                self._target.drain_requested.is_set()
                and self.state == 'serving'
            ):
                self.state = 'draining'
            await self.announce()
            if self.state != 'serving':
                await trio.sleep(ANNOUNCE_PERIOD_S)
                continue
            with trio.move_on_after(ANNOUNCE_PERIOD_S):
                await self._target.drain_requested.wait()

    async def announce(self):
        """Announce once; failures are ignored, as the next one follows."""
        options = self._options
        body = json.dumps(
            {
                'service': options.service,
                'version': options.version,
                'host': options.host,
                'port': options.port,
                'resources': list(options.resources),
                'slots': options.slots,
                'connections': options.connections,
                'state': self.state,
            }
        ).encode()
        headers = {'host': 'node', 'content-length': str(len(body))}
        try:
            with trio.move_on_after(1.0):
                await self._pool.request(
                    'PUT',
                    f'{options.node}/v1/target',
                    headers=headers,
                    content=body,
                )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return


async def run(options):
    """Serve a target until SIGTERM, SIGINT or a crash.

    :returns: the exit code of the process
    """
    target = Target(
        f'{options.service}-{options.port}',
        options.version,
        options.slots,
        options.behaviour,
        random.Random(options.seed),
        trio.current_time,
        lambda request_id: print('run', request_id, flush=True),
    )
    exit_code = 0
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT
    ) as stop_signals:
        async with trio.open_nursery() as nursery:
            server = http_server.Server(
                options.host,
                options.port,
                target.handle,
                options.connections,
            )
            await server.start(nursery)
            announcer = Announcer(options, target)
            nursery.start_soon(announcer.run)
            async with trio.open_nursery() as wait_nursery:
                wait_nursery.start_soon(
                    _wait_for_signal, stop_signals, wait_nursery
                )
                wait_nursery.start_soon(_wait_for_crash, target, wait_nursery)
            if target.crashed.is_set():
                exit_code = CRASH_EXIT_CODE
            else:
                await _shut_down(target, announcer)
            nursery.cancel_scope.cancel()
    return exit_code


async def _wait_for_signal(stop_signals, nursery):
    async for _ in stop_signals:
        nursery.cancel_scope.cancel()
        return


async def _wait_for_crash(target, nursery):
    await target.crashed.wait()
    nursery.cancel_scope.cancel()


async def _shut_down(target, announcer):
    """Drain: announce it, wait for calls in flight, announce the end."""
    target.drain()
    announcer.state = 'draining'
    await announcer.announce()
    await trio.sleep(DRAIN_NOTICE_S)
    with trio.move_on_after(DRAIN_TIMEOUT_S):
        while target.in_flight:
            await trio.sleep(0.02)
    announcer.state = 'gone'
    await announcer.announce()


def main():
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--service', required=True)
    parser.add_argument('--version', required=True)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--node', required=True)
    parser.add_argument('--resources', default='')
    parser.add_argument('--slots', type=int, default=20)
    parser.add_argument('--connections', type=int, default=120)
    parser.add_argument('--behaviour', default='{}')
    parser.add_argument('--seed', type=int, default=0)
    parsed = parser.parse_args()
    options = Options(
        service=parsed.service,
        version=parsed.version,
        host=parsed.host,
        port=parsed.port,
        node=parsed.node,
        resources=tuple(filter(None, parsed.resources.split(','))),
        slots=parsed.slots,
        connections=parsed.connections,
        behaviour=Behaviour(**json.loads(parsed.behaviour)),
        seed=parsed.seed,
    )
    raise SystemExit(trio.run(run, options))


if __name__ == '__main__':
    main()
