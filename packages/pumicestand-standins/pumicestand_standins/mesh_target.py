"""A stand-in for a target on the operators' platform.

It sends heartbeats to the node of its VM, serves calls, makes nested calls,
drains, advertises a rate limit, turns cold, and fails on demand. Its ledger
records every call that it ran. Stamp and body of a response tell the run that
it comes from.
"""

import collections
import dataclasses
import hashlib
import json
import random
import time

import trio

from pumicestand_standins import http_client
from pumicestand_standins import http_server

HEARTBEAT_PERIOD_S = 0.7
ACKNOWLEDGEMENT_TIMEOUT_S = 1.0
SERVER_STAMP_HEADER = 'Pumicestand-Server-Stamp'
# Names the run that makes a nested call.
CALLER_RUN_HEADER = 'X-Caller-Run'
LEAVING_HEADER = ('Server-Leaving', '1')
# A cold target crashes when it gets more calls in one second than this
# multiple of its cold rate and this many more.
COLD_RATIO, COLD_EXTRA = 1.5, 8
COLD_WINDOW_S = 1.0
RESTART_DELAY_S = 1.0
# When the second copy of a response ends, how much of it comes at once, and
# how much of one that breaks off.
COPY_DELAYS_S = (0.02, 0.3)
COPY_EARLY_BYTES = (1, 200)
COPY_KEPT_BYTES = (1, 40)
ENDLESS_CHUNK = b'8000\r\n' + b'x' * 0x8000 + b'\r\n'


def expected_body(request_id, stamp):
    """Return the body of a correct response to a request, as bytes.

    :param stamp: the stamp of the run that it comes from
    """
    return (
        hashlib.sha256(f'{request_id} {stamp}'.encode()).hexdigest().encode()
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One execution of a request.

    :param instance: the instance of the target that ran it
    :param at: start, in seconds of trio's clock, which all stand-ins share
    :param organisation: the organisation that the request named, or empty
    :param has_key: whether the request had a key
    :param work_s: seconds that it takes, without nested calls
    :param number: counts the runs of a target
    :param caller: stamp of the run that made the call, empty for a client
    """

    request_id: str
    instance: str
    at: float
    organisation: str = ''
    has_key: bool = False
    work_s: float = 0.0
    number: int = 0
    caller: str = ''

    @property
    def stamp(self):
        """The stamp of its response, which no other run has."""
        return f'{self.instance}.{self.number}'


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A complete response that the caller of a request got.

    :param caller: stamp of the run that made the call, empty for a client
    :param stamp: the target's stamp, empty if there was none
    """

    request_id: str
    caller: str
    status: int
    stamp: str
    body: bytes

    @classmethod
    def from_response(cls, request_id, response, caller=''):
        """Return it for an `http_client.Response`."""
        stamp = response.headers.get(SERVER_STAMP_HEADER.lower(), '')
        return cls(request_id, caller, response.status, stamp, response.body)

    @property
    def has_expected_body(self):
        """Whether the body is the one of the request and the stamp."""
        return bool(self.stamp) and self.body == expected_body(
            self.request_id, self.stamp
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """The departure of a target, acknowledged by its node.

    :param instance: the instance of the target that departed
    :param at: time of the acknowledgement, in seconds of trio's clock
    """

    instance: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitPeriod:
    """A period in which the target advertised a rate limit.

    :param rate: calls a second
    :param since: start, in seconds of trio's clock
    :param until: end, in seconds of trio's clock
    """

    instance: str
    rate: float
    since: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class ColdCrash:
    """A crash of a cold target that got too many calls.

    :param at: time in seconds of trio's clock
    :param calls: calls that it got in the `COLD_WINDOW_S` before
    :param is_after_start: whether it was cold since its start
    """

    instance: str
    at: float
    calls: int
    is_after_start: bool


@dataclasses.dataclass(slots=True)
class Behaviour:
    """How the target responds to calls.

    :param work_s: seconds that a call takes, unless its query has ``work_s``
    :param loses: every n-th call runs but gets no response; 0 for none
    :param spoils: every n-th response is truncated; 0 for none
    :param fails: every n-th call runs and fails with status 500; 0 for none
    :param fail_percent: percentage of the calls that run and fail by chance
    :param stutter_percent: percentage of the responses that are sent twice
    :param endless: every n-th response has an endless body; 0 for none
    :param limit: rate limit in calls a second, None for none
    :param cold_rate: calls a second that it bears while cold; 0 for any number
    :param cold_start_s: seconds for which it is cold after a restart
    """

    work_s: float = 0.02
    loses: int = 0
    spoils: int = 0
    fails: int = 0
    fail_percent: int = 0
    stutter_percent: int = 0
    endless: int = 0
    limit: float | None = None
    cold_rate: float = 0.0
    cold_start_s: float = 0.0


class MeshTarget:
    """A target beside a node.

    :param name: prefix of the names of its instances
    :param service: name of its service
    :param address: (host, port) that it listens on
    :param announced_address: (host, port) in its heartbeats, for example
        that of a proxy in front of it
    :param control_address: (host, port) where its node receives heartbeats
    :param outbound_address: (host, port) where its node receives its calls
    :param nested_path_prefix: path prefix of the nested call that each of
        its calls makes unless their query has ``work_s``, None for none
    :param slots: calls that it runs at the same time; more are refused
    :param rng: a `random.Random` for what happens by chance

    ``ended_at`` holds the time at which each run ended, finished or cut, by
    request id and instance, in seconds of trio's clock. ``answers`` holds the
    status of the complete response of each run, by its stamp, and
    ``nested_responses`` the `Received` responses to nested calls.
    """

    def __init__(
        self,
        name,
        service,
        address,
        announced_address,
        control_address,
        outbound_address,
        nested_path_prefix=None,
        slots=8,
        rng=None,
    ):
        self._name = name
        self._service = service
        self._address = address
        self._announced_address = announced_address
        self._control_address = control_address
        self._outbound_address = outbound_address
        self._nested_path_prefix = nested_path_prefix
        self._slots = slots
        self._rng = rng or random.Random(name)
        self._start_count = 0
        self._started_ms = 0
        self._sequence = 0
        self._finished_count = 0
        self._in_flight = 0
        self._state = 'ready'
        self._says_leaving = False
        self._active_limits = []
        self._cold_until = 0.0
        # Time from which the calls of a cold target are counted.
        self._cold_counted_from = float('inf')
        self._cold_since_start = False
        self._cold_arrivals = collections.deque()
        self._server = None
        self._nursery = None
        self._heartbeat_scope = None
        self.behaviour = Behaviour()
        self.ledger = []
        self.ended_at = {}
        self.answers = {}
        self.nested_responses = []
        self.departures = []
        self.limit_periods = []
        self.cold_crashes = []

    @property
    def name(self):
        """Name of the target, the same for all its instances."""
        return self._name

    @property
    def instance(self):
        """Name of the current instance; each start has its own."""
        return f'{self._name}-{self._start_count}'

    @property
    def is_running(self):
        """Whether the target is serving."""
        return self._server is not None

    async def start(self, nursery):
        """Start a new instance that serves in a nursery.

        Any start but the first is one during traffic: the instance is cold
        for `Behaviour.cold_start_s`.
        """
        self._nursery = nursery
        self._start_count += 1
        self._cold_arrivals.clear()
        self._cold_since_start = self._start_count > 1
        self._cold_counted_from = now = trio.current_time()
        self._cold_until = now
        if self._cold_since_start:
            self._cold_until += self.behaviour.cold_start_s
        self._sequence = 0
        self._started_ms = int(time.time() * 1000)
        self._state = 'ready'
        self._says_leaving = False
        self._in_flight = 0
        self._server = http_server.Server(*self._address, self._handle)
        await self._server.start(nursery)
        self._heartbeat_scope = trio.CancelScope()
        nursery.start_soon(self._send_heartbeats, self._heartbeat_scope)

    async def crash(self):
        """Stop at once and drop all calls in flight."""
        if self._server is not None:
            self._heartbeat_scope.cancel()
            server, self._server = self._server, None
            await server.close()

    async def leave(self, grace_s):
        """Announce the departure, continue to serve, then stop.

        :param grace_s: seconds between the announcement and the stop
        """
        self._state = 'draining'
        self._says_leaving = True
        instance = self.instance
        if await self._notify_node('heartbeat'):
            now = trio.current_time()
            self.departures.append(Departure(instance, now))
        await trio.sleep(grace_s)
        if self.is_running and self.instance == instance:
            await self._notify_node('deregister')
            await self.crash()

    async def leave_without_heartbeat(self, grace_s):
        """Say only in responses that it leaves, continue to serve, stop.

        :param grace_s: seconds between the first such response, or a second
            without any response, and the stop
        """
        self._says_leaving = True
        instance = self.instance
        with trio.move_on_after(1.0):
            while instance not in {d.instance for d in self.departures}:
                await trio.sleep(0.02)
        await trio.sleep(grace_s)
        if self.is_running and self.instance == instance:
            await self._notify_node('deregister')
            await self.crash()

    async def advertise_limit(self, rate, duration_s):
        """Advertise a rate limit in all responses for a time.

        :param rate: calls a second
        :param duration_s: seconds
        """
        instance, since = self.instance, trio.current_time()
        self._active_limits.append(rate)
        self.behaviour.limit = min(self._active_limits)
        await trio.sleep(duration_s)
        self._active_limits.remove(rate)
        self.behaviour.limit = min(self._active_limits, default=None)
        if self.is_running and self.instance == instance:
            self.limit_periods.append(
                LimitPeriod(instance, rate, since, trio.current_time())
            )

    async def turn_cold(self, duration_s):
        """Turn cold for a time; heartbeats tell so, the first one at once.

        The calls are counted from the first heartbeat that the node has
        acknowledged: before that, it can't know.

        :param duration_s: seconds
        """
        now = trio.current_time()
        if now >= self._cold_until:
            self._cold_since_start = False
            self._cold_counted_from = float('inf')
            self._cold_arrivals.clear()
        self._cold_until = max(self._cold_until, now + duration_s)
        await self._notify_node('heartbeat')

    def _bears_call(self):
        """Count a call that has arrived; return whether it can be borne."""
        now = trio.current_time()
        rate = self.behaviour.cold_rate
        if not rate or not self._cold_counted_from <= now < self._cold_until:
            return True
        arrivals = self._cold_arrivals
        arrivals.append(now)
        while arrivals[0] <= now - COLD_WINDOW_S:
            arrivals.popleft()
        if len(arrivals) <= COLD_RATIO * rate + COLD_EXTRA:
            return True
        self.cold_crashes.append(
            ColdCrash(
                self.instance, now, len(arrivals), self._cold_since_start
            )
        )
        arrivals.clear()
        self._cold_counted_from = float('inf')
        self._nursery.start_soon(self._crash_and_restart)
        return False

    async def _crash_and_restart(self):
        await self.crash()
        await trio.sleep(RESTART_DELAY_S)
        if not self.is_running:
            await self.start(self._nursery)

    def _condition_headers(self):
        """Return the headers that tell of a limit or the departure."""
        headers = []
        if self.behaviour.limit is not None:
            headers.append(('Server-Limit', f'{self.behaviour.limit:g}'))
        if self._says_leaving:
            headers.append(LEAVING_HEADER)
            if self._state == 'ready' and self.instance not in {
                departure.instance for departure in self.departures
            }:
                self.departures.append(
                    Departure(self.instance, trio.current_time())
                )
        return tuple(headers)

    async def _send_heartbeats(self, scope):
        with scope:
            while True:
                await self._notify_node('heartbeat')
                await trio.sleep(HEARTBEAT_PERIOD_S)

    async def _notify_node(self, kind):
        """Send a request to the node; return whether it was acknowledged.

        :param kind: ``heartbeat`` or ``deregister``
        """
        self._sequence += 1
        host, port = self._announced_address
        cold_until = self._cold_until
        cold_left_s = max(0, cold_until - trio.current_time())
        body = {
            'address': f'{host}:{port}',
            'born': self._started_ms,
            'info': {
                'service': self._service,
                'version': 'v1',
                'zone': '',
                'max_concurrency': self._slots,
            },
            'status': {
                'state': self._state,
                'sequence': self._sequence,
                'cold_left_s': cold_left_s,
            },
        }
        connection = http_client.Connection(self._control_address)
        response = None
        with trio.move_on_after(ACKNOWLEDGEMENT_TIMEOUT_S):
            response = await connection.call(
                'POST',
                f'/instances/{self.instance}/{kind}',
                {'content-type': 'application/json'},
                json.dumps(body).encode(),
            )
        await connection.close()
        is_acknowledged = response is not None and response.status == 200
        if is_acknowledged and cold_left_s and cold_until == self._cold_until:
            self._cold_counted_from = min(
                self._cold_counted_from, trio.current_time()
            )
        return is_acknowledged

    async def _handle(self, request):
        response = await self._run_or_refuse(request)
        if not isinstance(
            response, http_server.Response
        ) or not self._happens_by_chance(self.behaviour.stutter_percent):
            return response
        early_bytes, kept_bytes = 0, None
        if self._happens_by_chance(40):
            early_bytes = self._rng.randint(*COPY_EARLY_BYTES)
        elif self._happens_by_chance(30):
            kept_bytes = self._rng.randint(*COPY_KEPT_BYTES)
        shortest_s, longest_s = COPY_DELAYS_S
        # Short delays, after which a call may have come again, are as likely
        # as long ones.
        delay_s = shortest_s * (longest_s / shortest_s) ** self._rng.random()
        return http_server.RepeatedResponse(
            response, delay_s, early_bytes, kept_bytes
        )

    def _happens_by_chance(self, percent):
        return self._rng.random() * 100 < percent

    async def _run_or_refuse(self, request):
        request_id = request.headers.get('pumicestand-request-id', '')
        expected = request.headers.get('pumicestand-expect-instance')
        if expected not in (None, self.instance):
            return _not_run_response(421, request_id)
        if not self._bears_call():
            return http_server.RawResponse()
        if self._in_flight >= self._slots:
            return _not_run_response(503, request_id)
        run = Run(
            request_id,
            self.instance,
            trio.current_time(),
            request.headers.get('pumicestand-tenant-id', ''),
            'x-api-key' in request.headers,
            float(request.query('work_s', self.behaviour.work_s)),
            len(self.ledger) + 1,
            request.headers.get(CALLER_RUN_HEADER.lower(), ''),
        )
        self.ledger.append(run)
        self._in_flight += 1
        try:
            response = await self._answer(request, run)
        finally:
            self._in_flight -= 1
            self.ended_at[request_id, run.instance] = trio.current_time()
        if not isinstance(response, http_server.Response):
            return response
        self.answers[run.stamp] = response.status
        return dataclasses.replace(
            response, headers=response.headers + self._condition_headers()
        )

    async def _answer(self, request, run):
        """Run a call and return its response, which may be a faulty one."""
        await trio.sleep(run.work_s)
        if (
            self._nested_path_prefix
            and not request.query('work_s')
            and not await self._make_nested_call(request, run)
        ):
            return _run_response(500, run)
        self._finished_count += 1
        response = _run_response(200, run)
        if self._is_due(self.behaviour.fails) or self._happens_by_chance(
            self.behaviour.fail_percent
        ):
            return _run_response(500, run)
        if self._is_due(self.behaviour.loses):
            return http_server.RawResponse()
        if self._is_due(self.behaviour.endless):
            head = http_server.encode_response(response, is_head=True)
            head = head.partition(b'content-length')[0]
            return http_server.EndlessResponse(
                head + b'transfer-encoding: chunked\r\n\r\n', ENDLESS_CHUNK
            )
        if self._is_due(self.behaviour.spoils):
            return http_server.RawResponse(
                http_server.encode_response(response)[:-9]
            )
        return response

    def _is_due(self, period):
        return period > 0 and self._finished_count % period == 0

    async def _make_nested_call(self, request, run):
        """Make a nested call; return whether the response was correct.

        Each run of a request makes it with the same id.
        """
        nested_id = f'{run.request_id}.1'
        connection = http_client.Connection(self._outbound_address)
        deadline_ms = request.headers.get('pumicestand-deadline-ms', '500')
        response = await connection.call(
            'GET',
            self._nested_path_prefix + 'inner',
            {
                'host': 'shop.example',
                'pumicestand-request-id': nested_id,
                'pumicestand-deadline-ms': deadline_ms,
                CALLER_RUN_HEADER: run.stamp,
            },
        )
        await connection.close()
        received = Received.from_response(nested_id, response, run.stamp)
        self.nested_responses.append(received)
        return received.status == 200 and received.has_expected_body


def _request_id_header(request_id):
    return ('Pumicestand-Request-Id', request_id)


def _run_response(status, run):
    headers = (
        _request_id_header(run.request_id),
        (SERVER_STAMP_HEADER, run.stamp),
    )
    body = expected_body(run.request_id, run.stamp)
    return http_server.Response(status, body, headers)


def _not_run_response(status, request_id):
    headers = (
        _request_id_header(request_id),
        ('Pumicestand-Not-Executed', '1'),
    )
    return http_server.Response(status, b'', headers)
