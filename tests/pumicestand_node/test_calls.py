"""Tests of the call handler with faults of targets at each step of a call.

Clients and targets talk to the real call path over memory streams. The
targets record the requests that they execute, which the responses to the
clients are compared with.
"""

import dataclasses
import random

import httptools
import pytest
import trio
import trio.testing

from pumicestand import balancing
from pumicestand import blackboard as blackboards
from pumicestand import documents
from pumicestand import messages
from pumicestand import readers
from pumicestand import recording
from pumicestand import routers
from pumicestand_node import calls
from pumicestand_node import client_connections
from pumicestand_node import target_connections

DOCUMENT = """\
schema: pumicestand/v1
services:
  till:
    versions: [v1]
    current: v1
    resources: [ledger]
    limits: {slots: 2, connections: 20, queue: 1}
routes:
  - {name: sale, path: /sales, to: [{service: till}], resources: [ledger],
     timeout: 2s, idempotent: false}
  - {name: lookup, path: /passes, to: [{service: till}],
     timeout: 2s, idempotent: true}
  - {name: photo, path: /photos, to: [{service: till}], resources: [lens],
     timeout: 2s}
"""
DOCUMENT = DOCUMENT.replace(
    '[ledger]\n    limits', '[ledger, lens]\n    limits'
)
OK = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nsold'
NOT_RUN = (
    b'HTTP/1.1 503 Busy\r\npumicestand-outcome: not-run\r\n'
    b'content-length: 0\r\n\r\n'
)


class _MessageReader:
    """Reads one complete request or response."""

    def __init__(self, parser_class):
        self.is_complete = False
        self.has_head = False
        self.headers = {}
        self.body = b''
        self.parser = parser_class(self)

    def on_header(self, name, value):
        self.headers[name.lower()] = value

    def on_headers_complete(self):
        self.has_head = True

    def on_body(self, data):
        self.body += data

    def on_message_complete(self):
        self.is_complete = True


@dataclasses.dataclass
class Harness:
    """A call path with fake targets.

    :param actions: what a target does with each request or connection, in
        their order; the last action is repeated
    :param version: version of the targets
    :param executed_bodies: bodies of the requests that targets executed
    :param request_headers: headers of the requests that targets received
    :param connection_attempts: number of connections opened or refused
    """

    actions: list
    target_count: int = 3
    document: str = DOCUMENT
    version: str = 'v1'
    executed_bodies: list = dataclasses.field(default_factory=list)
    request_headers: list = dataclasses.field(default_factory=list)
    connection_attempts: int = 0

    def make_board(self):
        identity = blackboards.Identity('production', 'a', 'z', 'r', 'h', 1, 2)
        board = blackboards.Blackboard(identity, 1)
        _, content = readers.read_yaml(self.document)
        board.in_force = documents.InForce(
            documents.Accepted(1, 'aa'), readers.read_content(content), 0.0
        )
        board.has_verdicts = True
        for port in range(self.target_count):
            target = messages.Target(
                'till', self.version, 'h', 9000 + port, ('ledger',), slots=2
            )
            board.local_targets[target.key] = blackboards.LocalTarget(
                target, 1e12
            )
        board.announce_self(0.0)
        return board

    async def open(self, nursery):
        self.nursery = nursery
        self.board = self.make_board()
        pool = target_connections.TargetPool(
            trio.current_time, self._connect, self._has_pending
        )
        self.balancer = balancing.Balancer(random.Random(1))
        self.handler = calls.CallHandler(
            self.board,
            routers.Router(),
            self.balancer,
            recording.Recorder(),
            pool,
            trio.current_time,
        )

    def _has_pending(self, stream):
        return stream.receive_stream._pipe_closed

    async def _connect(self, host, port):
        self.connection_attempts += 1
        action = self.actions[0]
        if action == 'refuse':
            self._next_action()
            raise OSError('refused')
        client, server = trio.testing.memory_stream_pair()
        client.receive_stream._pipe_closed = False
        self.nursery.start_soon(self._serve, server, client)
        return client

    def _next_action(self):
        return (
            self.actions.pop(0) if len(self.actions) > 1 else self.actions[0]
        )

    async def _serve(self, stream, client):
        try:
            while await self._serve_one(stream):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        client.receive_stream._pipe_closed = True
        await stream.aclose()

    async def _serve_one(self, stream):
        reader = _MessageReader(httptools.HttpRequestParser)
        action = self.actions[0]
        while not reader.is_complete:
            data = await stream.receive_some(65536)
            if not data:
                return False
            reader.parser.feed_data(data)
            if action == 'early response, kept open':
                self._next_action()
                await stream.send_all(OK)
                await trio.sleep(60)
                return False
            if action in ('close in request', 'early response'):
                self._next_action()
                self.request_headers.append(reader.headers)
                if action == 'early response':
                    await stream.send_all(OK.replace(b'200', b'413'))
                return False
        action = self._next_action()
        self.request_headers.append(reader.headers)
        if action != 'not run':
            self.executed_bodies.append(reader.body)
        return await self._act(action, stream)

    async def _act(self, action, stream):
        match action:
            case 'ok':
                await stream.send_all(OK)
                return True
            case 'not run':
                await stream.send_all(NOT_RUN)
                return True
            case 'hang':
                await trio.sleep(60)
            case 'close':
                return False
            case 'late':
                await trio.sleep(1.5)
                await stream.send_all(OK)
                return True
            case 'error':
                await stream.send_all(OK.replace(b'200', b'500'))
                return True
            case 'garbage':
                await stream.send_all(b'what is this\r\n\r\n')
            case 'cut in head':
                await stream.send_all(OK[:20])
            case 'cut in body':
                await stream.send_all(OK[:-2])
            case 'cut in long body':
                head = b'HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n'
                await stream.send_all(head + b's' * 50_000)
            case 'too long':
                await stream.send_all(OK + b'HTTP/1.1 200 OK\r\n')
                return True
            case 'interim':
                await stream.send_all(b'HTTP/1.1 100 Continue\r\n\r\n' + OK)
                return True
            case 'chunked':
                await stream.send_all(
                    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
                    b'2\r\nso\r\n2\r\nld\r\n0\r\ntrailer: x\r\n\r\n'
                )
                return True
            case 'cut in chunk':
                await stream.send_all(
                    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
                    b'2\r\nso\r\n2\r\nl'
                )
            case 'until the end':
                await stream.send_all(b'HTTP/1.1 200 OK\r\n\r\nsold')
        return False

    async def connect(self):
        """Return the stream of a new client."""
        client, server = trio.testing.memory_stream_pair()
        connection = client_connections.ClientConnection(
            server, self.handler.serve, trio.current_time
        )
        self.nursery.start_soon(connection.run)
        return client


@dataclasses.dataclass
class ClientResponse:
    """The response that the client received."""

    status: int
    headers: dict
    body: bytes
    is_complete: bool

    @property
    def outcome(self):
        return self.headers.get(b'pumicestand-outcome', b'').decode()

    @property
    def code(self):
        return self.headers.get(b'pumicestand-code', b'').decode()


async def read_response(stream):
    reader = _MessageReader(httptools.HttpResponseParser)
    while not reader.is_complete:
        data = await stream.receive_some(65536)
        if not data:
            break
        reader.parser.feed_data(data)
    status = reader.parser.get_status_code() if reader.has_head else 0
    return ClientResponse(
        status, reader.headers, reader.body, reader.is_complete
    )


def make_request(method, path, body=b'', headers=b''):
    length = b'content-length: %d\r\n' % len(body) if body else b''
    return (
        f'{method} {path} HTTP/1.1\r\nhost: mesh\r\n'.encode()
        + headers
        + length
        + b'\r\n'
        + body
    )


def run(function, actions, harness_type=Harness, **options):
    """Run a coroutine function with a `Harness` on an autojump clock.

    Return the harness and the result of the function.
    """
    harness = harness_type(list(actions), **options)

    async def main():
        async with trio.open_nursery() as nursery:
            await harness.open(nursery)
            result = await function(harness)
            nursery.cancel_scope.cancel()
        return result

    clock = trio.testing.MockClock(autojump_threshold=0)
    return harness, trio.run(main, clock=clock)


def send_one_request(actions, request, **options):
    """Send one request; return the harness and the response."""

    async def main(harness):
        stream = await harness.connect()
        await stream.send_all(request)
        return await read_response(stream)

    return run(main, actions, **options)


SALE = make_request('POST', '/sales', b'one pass')
LOOKUP = make_request('GET', '/passes/7')

# Each case: the targets' actions; status, outcome, completeness and number of
# executions of a sale; status and number of executions of a lookup, which is
# idempotent.
FAULT_CASES = {
    'ok': (['ok'], (200, '', True, 1), (200, 1)),
    'connect refused': (['refuse', 'ok'], (200, '', True, 1), (200, 1)),
    'all connects refused': (['refuse'], (503, 'not-run', True, 0), (503, 0)),
    'closed in the request': (
        ['close in request', 'ok'],
        (502, 'unknown', True, 0),
        (200, 1),
    ),
    'closed without response': (
        ['close', 'ok'],
        (502, 'unknown', True, 1),
        (200, 2),
    ),
    'not run, then ok': (['not run', 'ok'], (200, '', True, 1), (200, 1)),
    'never run': (['not run'], (503, 'not-run', True, 0), (503, 0)),
    'hangs': (['hang'], (504, 'unknown', True, 1), (504, 1)),
    'late': (['late'], (200, '', True, 1), (200, 1)),
    'error': (['error'], (500, '', True, 1), (500, 1)),
    'garbage': (['garbage', 'ok'], (502, 'unknown', True, 1), (200, 2)),
    'cut in the head': (
        ['cut in head', 'ok'],
        (502, 'unknown', True, 1),
        (200, 2),
    ),
    'cut in the body': (
        ['cut in body'],
        (502, 'unknown', True, 1),
        (502, 2),
    ),
    'cut in the body once': (
        ['cut in body', 'ok'],
        (502, 'unknown', True, 1),
        (200, 2),
    ),
    'cut in a long body': (
        ['cut in long body'],
        (200, '', False, 1),
        (200, 1),
    ),
    'cut in a chunk': (['cut in chunk'], (200, '', False, 1), (200, 1)),
    'too long': (['too long'], (200, '', True, 1), (200, 1)),
    'interim response': (['interim'], (200, '', True, 1), (200, 1)),
    'chunked': (['chunked'], (200, '', True, 1), (200, 1)),
    'until the end': (['until the end'], (200, '', True, 1), (200, 1)),
    'lost, then refused': (
        ['close', 'refuse'],
        (502, 'unknown', True, 1),
        (502, 1),
    ),
}


@pytest.mark.parametrize('name', FAULT_CASES)
def test_non_idempotent_call_runs_at_most_once(name):
    actions, (status, outcome, is_complete, runs), _ = FAULT_CASES[name]
    harness, response = send_one_request(actions, SALE)
    assert (response.status, response.outcome, response.is_complete) == (
        status,
        outcome,
        is_complete,
    )
    assert len(harness.executed_bodies) == runs <= 1
    if response.is_complete and response.status == 200:
        assert response.body == b'sold'


@pytest.mark.parametrize('name', FAULT_CASES)
def test_idempotent_call_is_retried_and_not_run_is_true(name):
    actions, _, (status, runs) = FAULT_CASES[name]
    harness, response = send_one_request(actions, LOOKUP)
    assert (response.status, len(harness.executed_bodies)) == (status, runs)
    if response.outcome == 'not-run':
        assert harness.executed_bodies == []


def test_refusal_is_immediate_and_has_retry_after():
    async def main(harness):
        stream = await harness.connect()
        started = trio.current_time()
        await stream.send_all(SALE)
        response = await read_response(stream)
        return response, trio.current_time() - started

    _, (response, elapsed_s) = run(main, ['not run'])
    assert response.headers[b'retry-after'] == b'1'
    assert elapsed_s < 1.0


def test_call_without_target_that_has_the_resource_is_not_sent():
    harness, response = send_one_request(
        ['ok'], make_request('POST', '/photos', b'x')
    )
    assert (response.outcome, response.code) == ('not-run', 'no-resource')
    assert harness.connection_attempts == 0


def test_call_without_targets_is_refused():
    _, response = send_one_request(['ok'], SALE, target_count=0)
    assert (response.outcome, response.code) == ('not-run', 'no-target')


def test_retry_of_an_upstream_node_is_not_retried_again():
    request = make_request(
        'GET', '/passes/7', headers=b'pumicestand-attempt: 2\r\n'
    )
    harness, response = send_one_request(['close', 'ok'], request)
    assert (response.status, len(harness.executed_bodies)) == (502, 1)


def test_deadline_is_forwarded_and_enforced():
    request = make_request(
        'POST', '/sales', b'x', b'pumicestand-deadline-ms: 300\r\n'
    )

    async def main(harness):
        stream = await harness.connect()
        await stream.send_all(request)
        response = await read_response(stream)
        return response, trio.current_time()

    harness, (response, now) = run(main, ['hang'])
    assert (response.status, response.code) == (504, 'deadline')
    assert int(harness.request_headers[0][b'pumicestand-deadline-ms']) <= 300
    assert now <= 0.4


def test_call_of_a_disconnected_client_is_cancelled():
    async def main(harness):
        stream = await harness.connect()
        await stream.send_all(SALE)
        await trio.sleep(0.1)
        assert harness.handler.in_flight == 1
        await stream.aclose()
        await trio.sleep(0.1)
        return harness.handler.in_flight

    _, in_flight = run(main, ['hang'])
    assert in_flight == 0


def test_target_connection_is_reused():
    async def main(harness):
        stream = await harness.connect()
        for _ in range(5):
            await stream.send_all(SALE)
            assert (await read_response(stream)).status == 200

    harness, _ = run(main, ['ok'], target_count=1)
    assert (harness.connection_attempts, len(harness.executed_bodies)) == (
        1,
        5,
    )


def test_too_long_response_affects_no_other_call():
    async def main(harness):
        stream = await harness.connect()
        bodies = []
        for _ in range(3):
            await stream.send_all(LOOKUP)
            bodies.append((await read_response(stream)).body)
        return bodies

    harness, bodies = run(main, ['too long', 'ok'], target_count=1)
    assert bodies == [b'sold'] * 3
    assert harness.connection_attempts == 2


@pytest.mark.parametrize('position', range(1, len(OK) + 1))
def test_start_of_a_copy_behind_a_response_ends_its_connection(position):
    class CopyingHarness(Harness):
        async def _act(self, action, stream):
            copy = OK[:position] if len(self.executed_bodies) == 1 else b''
            await stream.send_all(OK.replace(b'200', b'500') + copy)
            return True

    async def main(harness):
        stream = await harness.connect()
        for _ in range(2):
            await stream.send_all(SALE)
            assert (await read_response(stream)).status == 500

    harness, _ = run(main, ['ok'], harness_type=CopyingHarness, target_count=1)
    assert harness.connection_attempts == 2


@pytest.mark.parametrize('position', range(1, OK.index(b'sold')))
def test_response_is_not_read_as_the_rest_of_a_copy(position):
    class CopyingHarness(Harness):
        async def _act(self, action, stream):
            if len(self.executed_bodies) == 2:
                await stream.send_all(OK[:position])
                await trio.sleep(0.05)
            await stream.send_all(OK.replace(b'200', b'500'))
            return True

    async def main(harness):
        stream = await harness.connect()
        statuses = []
        for _ in range(2):
            await stream.send_all(SALE)
            statuses.append((await read_response(stream)).status)
        return statuses

    _, statuses = run(
        main, ['ok'], harness_type=CopyingHarness, target_count=1
    )
    assert statuses == [500, 502]


class RepeatingHarness(Harness):
    """Targets write the response before the last one once more.

    A response names its run, and its exchange unless that is forgotten.
    """

    copied = b''

    async def _act(self, action, stream):
        run = len(self.executed_bodies)
        exchange = self.request_headers[-1].get(b'pumicestand-exchange', b'')
        response = (
            b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n'
            b'pumicestand-exchange: %b\r\n\r\nrun %d' % (exchange, run)
        )
        copied, self.copied = self.copied, response
        if run == 2:
            if action == 'forgetful':
                copied = copied.replace(b'pumicestand-exchange', b'x')
            await stream.send_all(copied)
            await trio.sleep(0.1)
        await stream.send_all(response)
        return True


@pytest.mark.parametrize('action', ['ok', 'forgetful'])
@pytest.mark.parametrize(
    ('request_', 'responses'),
    [
        (LOOKUP, [(200, b'run 1'), (200, b'run 3')]),
        (SALE, [(200, b'run 1'), (502, b'')]),
    ],
    ids=['lookup', 'sale'],
)
def test_late_copy_of_a_response_is_not_taken_for_the_next_one(
    request_, responses, action
):
    headers = {}

    async def main(harness):
        received = []
        for _ in range(2):
            stream = await harness.connect()
            await stream.send_all(request_)
            response = await read_response(stream)
            headers.update(response.headers)
            body = response.body if response.status == 200 else b''
            received.append((response.status, body))
        return received

    _, received = run(
        main, [action], harness_type=RepeatingHarness, target_count=2
    )
    assert received == responses
    assert b'pumicestand-exchange' not in headers


class ResettingHarness(Harness):
    """Targets reset connections instead of closing them."""

    async def _connect(self, host, port):
        stream = await super()._connect(host, port)
        receive_some = stream.receive_some

        async def receive_or_reset(max_bytes=None):
            data = await receive_some(max_bytes)
            if not data:
                raise trio.BrokenResourceError('reset')
            return data

        stream.receive_some = receive_or_reset
        return stream


def test_response_without_length_that_ends_in_a_reset_is_not_complete():
    async def main(harness):
        stream = await harness.connect()
        await stream.send_all(SALE)
        return await read_response(stream)

    _, response = run(main, ['until the end'], harness_type=ResettingHarness)
    assert not (response.status == 200 and response.is_complete)


def test_pipelined_requests_are_executed_in_order():
    async def main(harness):
        stream = await harness.connect()
        bodies = [b'%d' % number for number in range(4)]
        await stream.send_all(
            b''.join(make_request('POST', '/sales', b) for b in bodies)
        )
        received = b''
        while received.count(b'sold') < 4:
            received += await stream.receive_some(65536)

    harness, _ = run(main, ['ok'], target_count=1)
    assert harness.executed_bodies == [b'0', b'1', b'2', b'3']


def test_head_request_gets_the_length_and_no_body():
    async def main(harness):
        stream = await harness.connect()
        await stream.send_all(make_request('HEAD', '/passes/7'))
        return await stream.receive_some(65536)

    _, data = run(main, ['ok'])
    assert b'content-length: 4\r\n' in data
    assert data.endswith(b'\r\n\r\n')


def upload(pieces, actions, client_leaves=False):
    """Send a chunked upload piece by piece.

    Return the harness and the response, None if the client leaves.
    """

    async def main(harness):
        stream = await harness.connect()
        await stream.send_all(
            b'POST /sales HTTP/1.1\r\nhost: mesh\r\n'
            b'transfer-encoding: chunked\r\n\r\n'
        )
        try:
            for piece in pieces:
                await stream.send_all(b'%x\r\n%b\r\n' % (len(piece), piece))
                await trio.sleep(0.01)
            if client_leaves:
                await stream.aclose()
                await trio.sleep(0.1)
                return None
            await stream.send_all(b'0\r\n\r\n')
        except trio.BrokenResourceError:
            pass
        return await read_response(stream)

    return run(main, actions)


def test_upload_is_streamed_completely():
    pieces = [bytes([number]) * 50_000 for number in range(1, 9)]
    harness, response = upload(pieces, ['ok'])
    assert response.status == 200
    assert harness.executed_bodies == [b''.join(pieces)]


@pytest.mark.parametrize('action', ['close in request', 'close'])
def test_upload_to_a_closing_target_has_unknown_outcome(action):
    harness, response = upload([b'x' * 1000] * 5, [action])
    assert response.status == 502
    assert response.outcome == 'unknown'
    assert len(harness.executed_bodies) <= 1


def test_early_response_to_an_upload_is_forwarded():
    _, response = upload([b'x' * 1000] * 50, ['early response'])
    assert response.status == 413


def test_connection_with_an_incomplete_upload_is_not_reused():
    """The target would read the next request as the rest of the body."""

    async def main(harness):
        stream = await harness.connect()
        await stream.send_all(
            b'POST /sales HTTP/1.1\r\nhost: mesh\r\n'
            b'transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n'
        )
        first = await read_response(stream)
        other = await harness.connect()
        await other.send_all(SALE)
        return first, await read_response(other)

    harness, (first, second) = run(
        main, ['early response, kept open', 'ok'], target_count=1
    )
    assert (first.status, second.status) == (200, 200)
    assert harness.connection_attempts == 2
    assert harness.executed_bodies == [b'one pass']


def test_upload_of_a_disconnected_client_is_not_executed():
    harness, _ = upload([b'x' * 1000] * 3, ['ok'], client_leaves=True)
    assert harness.executed_bodies == []


# Each case: the data sent and the status of the response.
INVALID_REQUESTS = {
    'two framings': (
        b'POST /sales HTTP/1.1\r\nhost: m\r\ncontent-length: 4\r\n'
        b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
        400,
    ),
    'two lengths': (
        b'POST /sales HTTP/1.1\r\nhost: m\r\ncontent-length: 4\r\n'
        b'content-length: 5\r\n\r\nabcd',
        400,
    ),
    'a signed length': (
        b'POST /sales HTTP/1.1\r\nhost: m\r\ncontent-length: +4\r\n\r\nabcd',
        400,
    ),
    'a disguised coding': (
        b'POST /sales HTTP/1.1\r\nhost: m\r\n'
        b'transfer-encoding: xchunked\r\n\r\n0\r\n\r\n',
        400,
    ),
    'a bad chunk': (
        b'POST /sales HTTP/1.1\r\nhost: m\r\n'
        b'transfer-encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n',
        400,
    ),
    'an absolute url': (
        b'GET http://other/passes HTTP/1.1\r\nhost: m\r\n\r\n',
        400,
    ),
    'no host': (b'GET /passes HTTP/1.1\r\n\r\n', 400),
    'two hosts': (b'GET /passes HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n', 400),
    'a space before the colon': (
        b'GET /passes HTTP/1.1\r\nhost : m\r\n\r\n',
        400,
    ),
    'a folded header': (
        b'GET /passes HTTP/1.1\r\nhost: m\r\nx: a\r\n b\r\n\r\n',
        400,
    ),
    'a null in a header': (
        b'GET /passes HTTP/1.1\r\nhost: m\r\nx: a\x00b\r\n\r\n',
        400,
    ),
    'a bare line feed': (b'GET /passes HTTP/1.1\nhost: m\n\n', 400),
    'a large head': (
        b'GET /passes HTTP/1.1\r\nhost: m\r\nx: ' + b'a' * 40_000,
        431,
    ),
    'many headers': (
        b'GET /passes HTTP/1.1\r\nhost: m\r\n' + b'x: y\r\n' * 6_000,
        431,
    ),
    'connect': (b'CONNECT a:1 HTTP/1.1\r\nhost: a:1\r\n\r\n', 501),
    'upgrade': (
        b'GET /passes HTTP/1.1\r\nhost: m\r\nconnection: upgrade\r\n'
        b'upgrade: websocket\r\n\r\n',
        501,
    ),
    'no http': (b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03', 400),
}


@pytest.mark.parametrize('name', INVALID_REQUESTS)
def test_invalid_request_is_rejected_and_reaches_no_target(name):
    request, status = INVALID_REQUESTS[name]
    harness, response = send_one_request(['ok'], request)
    assert response.status == status
    assert response.outcome == 'bad-request'
    assert harness.connection_attempts == 0


def test_hop_by_hop_headers_are_not_forwarded():
    request = make_request(
        'GET',
        '/passes/7',
        headers=b'connection: keep-alive, x-secret\r\nx-secret: 1\r\n'
        b'te: trailers\r\nx-kept: 2\r\npumicestand-outcome: not-run\r\n',
    )
    harness, response = send_one_request(['ok'], request)
    assert response.status == 200
    head = harness.request_headers[0]
    assert head[b'x-kept'] == b'2'
    for name in (b'x-secret', b'te', b'connection', b'pumicestand-outcome'):
        assert name not in head


def test_connection_with_a_slow_request_head_is_closed():
    async def main(harness):
        client, server = trio.testing.memory_stream_pair()
        connection = client_connections.ClientConnection(
            server, harness.handler.serve, trio.current_time
        )
        harness.nursery.start_soon(connection.run)
        await client.send_all(b'GET /passes HTTP/1.1\r\n')
        await trio.sleep(documents.ClientLimits().head_timeout + 1)
        connection.enforce_timeouts(trio.current_time())
        return await client.receive_some(100)

    _, data = run(main, ['ok'])
    assert data == b''


def test_calls_beyond_slots_and_queue_are_refused():
    async def main(harness):
        outcomes = []

        async def send_sale():
            stream = await harness.connect()
            await stream.send_all(SALE)
            response = await read_response(stream)
            outcomes.append((response.status, response.code))

        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(send_sale)
        return outcomes

    harness, outcomes = run(main, ['late'], target_count=1)
    # Two calls hold the slots and one waits in the queue, until it exceeds
    # the maximum wait.
    assert outcomes.count((200, '')) == 2
    assert outcomes.count((503, 'overloaded')) == 4
    assert len(harness.executed_bodies) == 2


def test_request_that_crashes_targets_is_quarantined():
    async def main(harness):
        codes = []
        for _ in range(4):
            stream = await harness.connect()
            await stream.send_all(make_request('POST', '/sales', b'poison'))
            codes.append((await read_response(stream)).code)
        harness.actions[:] = ['ok']
        stream = await harness.connect()
        await stream.send_all(SALE)
        good = await read_response(stream)
        await trio.sleep(61)
        harness.board.table.remove_expired(trio.current_time())
        stream = await harness.connect()
        await stream.send_all(make_request('POST', '/sales', b'poison'))
        return codes, good, await read_response(stream)

    harness, (codes, good, after) = run(main, ['close'])
    assert codes == ['answer-lost'] * 2 + ['quarantined'] * 2
    assert good.status == 200
    assert after.status == 200


def test_stopping_node_finishes_calls_and_closes_connections():
    async def main(harness):
        stream = await harness.connect()
        await stream.send_all(SALE)
        await trio.sleep(0.1)
        harness.board.is_leaving = True
        response = await read_response(stream)
        remaining_data = await stream.receive_some(100)
        return response, remaining_data

    _, (response, remaining_data) = run(main, ['late'])
    assert (response.status, response.body) == (200, b'sold')
    assert response.headers[b'connection'] == b'close'
    assert remaining_data == b''


def test_stopping_node_answers_pipelined_requests_before_it_closes():
    """The response to the first one must not end the connection."""

    async def main(harness):
        stream = await harness.connect()
        await stream.send_all(SALE + SALE)
        await trio.sleep(0.1)
        harness.board.is_leaving = True
        received = b''
        while more := await stream.receive_some(65536):
            received += more
        return received

    _, received = run(main, ['late'])
    assert received.count(b'sold') == 2
    assert received.lower().count(b'connection: close') == 1


def test_invalid_chunk_within_an_upload_is_a_bad_request():
    async def main(harness):
        stream = await harness.connect()
        await stream.send_all(
            b'POST /sales HTTP/1.1\r\nhost: mesh\r\n'
            b'transfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n'
        )
        await trio.sleep(0.1)
        await stream.send_all(b'zz\r\n')
        return await read_response(stream)

    harness, response = run(main, ['ok'])
    assert (response.status, response.outcome) == (400, 'bad-request')
    assert harness.executed_bodies == []


MOVING = (
    DOCUMENT.replace('[v1]', '[v1, v2]')
    + """\
moves:
  - {name: m, service: till, to: v2, start: 1970-01-01T00:00:00Z,
     by: 2999-01-01T00:00:00Z, unproven_share: 100%}
"""
)

# For each action of the new version, the calls and errors counted for it.
EXPECTED_COUNTERS = {
    'ok': (1, 0),
    'error': (1, 1),
    'close': (1, 1),
    'hang': (1, 1),
    'garbage': (1, 1),
    'cut in body': (1, 1),
}


@pytest.mark.parametrize('action', EXPECTED_COUNTERS)
def test_results_of_the_new_version_are_counted(action):
    harness, _ = send_one_request(
        [action], SALE, document=MOVING, version='v2'
    )
    counters = next(iter(harness.board.counters.values()))
    assert (counters.new_calls, counters.new_errors) == EXPECTED_COUNTERS[
        action
    ]


def test_not_run_is_not_counted_against_a_version():
    harness, response = send_one_request(
        ['not run'], SALE, document=MOVING, version='v2'
    )
    assert response.outcome == 'not-run'
    assert harness.board.counters == {}


def test_disconnected_client_is_not_counted_against_a_version():
    async def main(harness):
        stream = await harness.connect()
        await stream.send_all(SALE)
        await trio.sleep(0.1)
        await stream.aclose()
        await trio.sleep(0.1)

    harness, _ = run(main, ['hang'], document=MOVING, version='v2')
    assert harness.board.counters == {}


def test_hanging_target_is_ejected():
    async def main(harness):
        for _ in range(balancing.FAILURES_BEFORE_EJECTION):
            stream = await harness.connect()
            await stream.send_all(SALE)
            assert (await read_response(stream)).status == 504
        return harness.balancer.stats_of(
            harness.board.table.member('a').targets[0], 0.0
        )

    _, stats = run(main, ['hang'], target_count=1)
    assert stats.ejections == 1
    assert stats.in_flight == 0
