"""A stand-in for a target on the operators' platform.

It announces itself to the node of its VM, runs calls, makes calls of its
own, drains, and goes wrong on demand. What it ran stands in its ledger.
"""

import dataclasses
import hashlib
import json
import time

import trio

from pumicestand_standins import http_client
from pumicestand_standins import http_server

HEARTBEAT_S = 0.7
ACKNOWLEDGE_TIMEOUT_S = 1.0
STAMP = ('Pumicestand-Server-Stamp', 'stand-in')


def expected_body(identity):
    """Return the only right answer to a request, as bytes."""
    return hashlib.sha256(identity.encode()).hexdigest().encode()


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run of a request.

    :param at: seconds of the clock that all stand-ins share
    """

    request_id: str
    instance: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A target's leaving that its node has acknowledged."""

    instance: str
    at: float


@dataclasses.dataclass(slots=True)
class Behaviour:
    """How the target answers now.

    :param work_s: time that a call takes
    :param loses: answers that are lost after the run, every so many; 0 none
    :param spoils: answers that end early, every so many; 0 none
    :param fails: runs that end in a failure, every so many; 0 none
    """

    work_s: float = 0.02
    loses: int = 0
    spoils: int = 0
    fails: int = 0


class MeshTarget:
    """A target beside a node.

    :param name: its instances are numbered behind it
    :param address: (host, port) that it serves
    :param announced: (host, port) that it tells its node; a proxy may stand
        between
    :param control: (host, port) at which its node takes heartbeats
    :param outbound: (host, port) for its own calls
    :param asks: path prefix that its runs call in their turn, None for none
    """

    def __init__(
        self,
        name,
        service,
        address,
        announced,
        control,
        outbound,
        asks=None,
        slots=8,
    ):
        self._name = name
        self._service = service
        self._address = address
        self._announced = announced
        self._control = control
        self._outbound = outbound
        self._asks = asks
        self._slots = slots
        self._starts = 0
        self._born = 0
        self._sequence = 0
        self._answered = 0
        self._running = 0
        self._state = 'ready'
        self._server = None
        self._scope = None
        self.behaviour = Behaviour()
        self.ledger = []
        self.departures = []

    @property
    def name(self):
        """Of the target, whatever its instance."""
        return self._name

    @property
    def instance(self):
        """Names this start of the target."""
        return f'{self._name}-{self._starts}'

    @property
    def is_running(self):
        """Whether it serves."""
        return self._server is not None

    async def start(self, nursery):
        """Begin a new start of the target, serving in a nursery."""
        self._starts += 1
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._state = 'ready'
        self._running = 0
        self._server = http_server.Server(*self._address, self._handle)
        await self._server.start(nursery)
        self._scope = trio.CancelScope()
        nursery.start_soon(self._beat, self._scope)

    async def crash(self):
        """End at once, with all that runs."""
        if self._server is not None:
            self._scope.cancel()
            server, self._server = self._server, None
            await server.close()

    async def leave(self, grace_s):
        """Announce the end, serve on for a while, then end."""
        self._state = 'draining'
        instance = self.instance
        if await self._say('heartbeat'):
            now = trio.current_time()
            self.departures.append(Departure(instance, now))
        await trio.sleep(grace_s)
        if self.is_running and self.instance == instance:
            await self._say('deregister')
            await self.crash()

    async def _beat(self, scope):
        with scope:
            while True:
                await self._say('heartbeat')
                await trio.sleep(HEARTBEAT_S)

    async def _say(self, what):
        """Tell the node; return whether it has acknowledged."""
        self._sequence += 1
        host, port = self._announced
        body = {
            'address': f'{host}:{port}',
            'born': self._born,
            'info': {
                'service': self._service,
                'version': 'v1',
                'zone': '',
                'max_concurrency': self._slots,
            },
            'status': {
                'state': self._state,
                'sequence': self._sequence,
                'cold_left_s': 0,
            },
        }
        connection = http_client.Connection(self._control)
        answer = None
        with trio.move_on_after(ACKNOWLEDGE_TIMEOUT_S):
            answer = await connection.call(
                'POST',
                f'/instances/{self.instance}/{what}',
                {'content-type': 'application/json'},
                json.dumps(body).encode(),
            )
        await connection.close()
        return answer is not None and answer.status == 200

    async def _handle(self, request):
        identity = request.headers.get('pumicestand-request-id', '')
        expected = request.headers.get('pumicestand-expect-instance')
        if expected not in (None, self.instance):
            return _not_run(421, identity)
        if self._running >= self._slots:
            return _not_run(503, identity)
        run = Run(identity, self.instance, trio.current_time())
        self.ledger.append(run)
        self._running += 1
        try:
            return await self._run(request, identity)
        finally:
            self._running -= 1

    async def _run(self, request, identity):
        await trio.sleep(self.behaviour.work_s)
        if self._asks and not await self._ask(request, identity):
            return http_server.Response(500, b'', (_id(identity), STAMP))
        self._answered += 1
        reply = http_server.Response(
            200, expected_body(identity), (_id(identity), STAMP)
        )
        if self._is_due(self.behaviour.fails):
            return http_server.Response(500, b'', (_id(identity), STAMP))
        if self._is_due(self.behaviour.loses):
            return http_server.RawResponse()
        if self._is_due(self.behaviour.spoils):
            return http_server.RawResponse(
                http_server.encode_response(reply)[:-9]
            )
        return reply

    def _is_due(self, every):
        return every > 0 and self._answered % every == 0

    async def _ask(self, request, identity):
        """Make a call of its own; return whether it was answered."""
        own_id = f'{identity}.1'
        connection = http_client.Connection(self._outbound)
        deadline = request.headers.get('pumicestand-deadline-ms', '500')
        answer = await connection.call(
            'GET',
            self._asks + 'inner',
            {
                'host': 'shop.example',
                'pumicestand-request-id': own_id,
                'pumicestand-deadline-ms': deadline,
            },
        )
        await connection.close()
        return answer.status == 200 and answer.body == expected_body(own_id)


def _id(identity):
    return ('Pumicestand-Request-Id', identity)


def _not_run(status, identity):
    headers = (_id(identity), ('Pumicestand-Not-Executed', '1'))
    return http_server.Response(status, b'', headers)
