"""The fault table of one call: every fault of a target at every step.

Callers and targets talk to the real call path over memory streams. Each
target keeps a ledger of the requests that it ran, and the ledger is what
the caller's answer is compared with.
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
from pumicestand import routing
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


class _Reader:
    """Reads one whole request or answer."""

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
class Bench:
    """A call path with fake targets.

    :param script: for each request that arrives at a target, what it does;
        the last entry goes on for ever
    """

    script: list
    target_count: int = 3
    document: str = DOCUMENT
    version: str = 'v1'
    runs: list = dataclasses.field(default_factory=list)
    heads: list = dataclasses.field(default_factory=list)
    connects: int = 0

    def make_board(self):
        identity = blackboards.Identity('production', 'a', 'z', 'r', 'h', 1, 2)
        board = blackboards.Blackboard(identity, 1)
        _, content = readers.read_yaml(self.document)
        board.in_force = blackboards.InForce(
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
            routing.Router(),
            self.balancer,
            recording.Recorder(),
            pool,
            trio.current_time,
        )

    def _has_pending(self, stream):
        return stream.receive_stream._pipe_closed

    async def _connect(self, host, port):
        self.connects += 1
        action = self.script[0]
        if action == 'refuse':
            self._next()
            raise OSError('refused')
        client, server = trio.testing.memory_stream_pair()
        client.receive_stream._pipe_closed = False
        self.nursery.start_soon(self._serve, server, client)
        return client

    def _next(self):
        return self.script.pop(0) if len(self.script) > 1 else self.script[0]

    async def _serve(self, stream, client):
        try:
            while await self._serve_one(stream):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        client.receive_stream._pipe_closed = True
        await stream.aclose()

    async def _serve_one(self, stream):
        reader = _Reader(httptools.HttpRequestParser)
        action = self.script[0]
        while not reader.is_complete:
            data = await stream.receive_some(65536)
            if not data:
                return False
            reader.parser.feed_data(data)
            if action == 'early answer, kept open':
                self._next()
                await stream.send_all(OK)
                await trio.sleep(60)
                return False
            if action in ('close in request', 'early answer'):
                self._next()
                self.heads.append(reader.headers)
                if action == 'early answer':
                    await stream.send_all(OK.replace(b'200', b'413'))
                return False
        action = self._next()
        self.heads.append(reader.headers)
        if action != 'not run':
            self.runs.append(reader.body)
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
        """Return a caller's stream."""
        client, server = trio.testing.memory_stream_pair()
        connection = client_connections.ClientConnection(
            server, self.handler.serve, trio.current_time
        )
        self.nursery.start_soon(connection.run)
        return client


@dataclasses.dataclass
class Got:
    """What the caller got."""

    status: int
    headers: dict
    body: bytes
    is_whole: bool

    @property
    def outcome(self):
        return self.headers.get(b'pumicestand-outcome', b'').decode()

    @property
    def code(self):
        return self.headers.get(b'pumicestand-code', b'').decode()


async def read_answer(stream):
    reader = _Reader(httptools.HttpResponseParser)
    while not reader.is_complete:
        data = await stream.receive_some(65536)
        if not data:
            break
        reader.parser.feed_data(data)
    status = reader.parser.get_status_code() if reader.has_head else 0
    return Got(status, reader.headers, reader.body, reader.is_complete)


def write_request(method, path, body=b'', headers=b''):
    length = b'content-length: %d\r\n' % len(body) if body else b''
    return (
        f'{method} {path} HTTP/1.1\r\nhost: mesh\r\n'.encode()
        + headers
        + length
        + b'\r\n'
        + body
    )


def run(function, script, **options):
    """Run a coroutine function with a `Bench` on a clock that jumps."""
    bench = Bench(list(script), **options)

    async def main():
        async with trio.open_nursery() as nursery:
            await bench.open(nursery)
            result = await function(bench)
            nursery.cancel_scope.cancel()
        return result

    clock = trio.testing.MockClock(autojump_threshold=0)
    return bench, trio.run(main, clock=clock)


def call(script, request, **options):
    """Send one request; return the bench and what the caller got."""

    async def main(bench):
        stream = await bench.connect()
        await stream.send_all(request)
        return await read_answer(stream)

    return run(main, script, **options)


SALE = write_request('POST', '/sales', b'one pass')
LOOKUP = write_request('GET', '/passes/7')

# What the target does, then: status, outcome, whole, runs for a sale, and
# status and runs for a lookup, which may be sent again.
TABLE = {
    'ok': (['ok'], (200, '', True, 1), (200, 1)),
    'connect refused': (['refuse', 'ok'], (200, '', True, 1), (200, 1)),
    'all connects refused': (['refuse'], (503, 'not-run', True, 0), (503, 0)),
    'closed in the request': (
        ['close in request', 'ok'],
        (502, 'unknown', True, 0),
        (200, 1),
    ),
    'closed without answer': (
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
    'interim answer': (['interim'], (200, '', True, 1), (200, 1)),
    'chunked': (['chunked'], (200, '', True, 1), (200, 1)),
    'until the end': (['until the end'], (200, '', True, 1), (200, 1)),
    'lost, then refused': (
        ['close', 'refuse'],
        (502, 'unknown', True, 1),
        (502, 1),
    ),
}


@pytest.mark.parametrize('name', TABLE)
def test_a_sale_runs_at_most_once_and_not_run_is_true(name):
    script, (status, outcome, is_whole, runs), _ = TABLE[name]
    bench, got = call(script, SALE)
    assert (got.status, got.outcome, got.is_whole) == (
        status,
        outcome,
        is_whole,
    )
    assert len(bench.runs) == runs <= 1
    if got.is_whole and got.status == 200:
        assert got.body == b'sold'


@pytest.mark.parametrize('name', TABLE)
def test_a_lookup_may_run_again_but_is_never_falsely_not_run(name):
    script, _, (status, runs) = TABLE[name]
    bench, got = call(script, LOOKUP)
    assert (got.status, len(bench.runs)) == (status, runs)
    if got.outcome == 'not-run':
        assert bench.runs == []


def test_a_refusal_says_when_to_come_back_and_comes_at_once():
    async def main(bench):
        stream = await bench.connect()
        started = trio.current_time()
        await stream.send_all(SALE)
        got = await read_answer(stream)
        return got, trio.current_time() - started

    _, (got, seconds) = run(main, ['not run'])
    assert got.headers[b'retry-after'] == b'1'
    assert seconds < 1.0


def test_a_route_without_its_resource_sends_nothing():
    bench, got = call(['ok'], write_request('POST', '/photos', b'x'))
    assert (got.outcome, got.code) == ('not-run', 'no-resource')
    assert bench.connects == 0


def test_without_targets_the_call_is_refused():
    _, got = call(['ok'], SALE, target_count=0)
    assert (got.outcome, got.code) == ('not-run', 'no-target')


def test_a_retry_of_a_node_further_up_is_not_multiplied():
    request = write_request(
        'GET', '/passes/7', headers=b'pumicestand-attempt: 2\r\n'
    )
    bench, got = call(['close', 'ok'], request)
    assert (got.status, len(bench.runs)) == (502, 1)


def test_the_deadline_is_passed_on_and_kept():
    request = write_request(
        'POST', '/sales', b'x', b'pumicestand-deadline-ms: 300\r\n'
    )

    async def main(bench):
        stream = await bench.connect()
        await stream.send_all(request)
        got = await read_answer(stream)
        return got, trio.current_time()

    bench, (got, now) = run(main, ['hang'])
    assert (got.status, got.code) == (504, 'deadline')
    assert int(bench.heads[0][b'pumicestand-deadline-ms']) <= 300
    assert now <= 0.4


def test_a_caller_who_leaves_cancels_its_call():
    async def main(bench):
        stream = await bench.connect()
        await stream.send_all(SALE)
        await trio.sleep(0.1)
        assert bench.handler.in_flight == 1
        await stream.aclose()
        await trio.sleep(0.1)
        return bench.handler.in_flight

    _, running = run(main, ['hang'])
    assert running == 0


def test_a_connection_is_kept_for_the_next_call():
    async def main(bench):
        stream = await bench.connect()
        for _ in range(5):
            await stream.send_all(SALE)
            assert (await read_answer(stream)).status == 200

    bench, _ = run(main, ['ok'], target_count=1)
    assert (bench.connects, len(bench.runs)) == (1, 5)


def test_an_answer_that_is_too_long_touches_no_other_call():
    async def main(bench):
        stream = await bench.connect()
        bodies = []
        for _ in range(3):
            await stream.send_all(LOOKUP)
            bodies.append((await read_answer(stream)).body)
        return bodies

    bench, bodies = run(main, ['too long', 'ok'], target_count=1)
    assert bodies == [b'sold'] * 3
    assert bench.connects == 2


def test_pipelined_requests_are_answered_in_their_order():
    async def main(bench):
        stream = await bench.connect()
        bodies = [b'%d' % number for number in range(4)]
        await stream.send_all(
            b''.join(write_request('POST', '/sales', b) for b in bodies)
        )
        received = b''
        while received.count(b'sold') < 4:
            received += await stream.receive_some(65536)

    bench, _ = run(main, ['ok'], target_count=1)
    assert bench.runs == [b'0', b'1', b'2', b'3']


def test_a_head_request_gets_the_length_and_no_body():
    async def main(bench):
        stream = await bench.connect()
        await stream.send_all(write_request('HEAD', '/passes/7'))
        return await stream.receive_some(65536)

    _, data = run(main, ['ok'])
    assert b'content-length: 4\r\n' in data
    assert data.endswith(b'\r\n\r\n')


def upload(pieces, script, leaves=False):
    """Send a chunked upload piece by piece."""

    async def main(bench):
        stream = await bench.connect()
        await stream.send_all(
            b'POST /sales HTTP/1.1\r\nhost: mesh\r\n'
            b'transfer-encoding: chunked\r\n\r\n'
        )
        try:
            for piece in pieces:
                await stream.send_all(b'%x\r\n%b\r\n' % (len(piece), piece))
                await trio.sleep(0.01)
            if leaves:
                await stream.aclose()
                await trio.sleep(0.1)
                return None
            await stream.send_all(b'0\r\n\r\n')
        except trio.BrokenResourceError:
            pass
        return await read_answer(stream)

    return run(main, script)


def test_an_upload_streams_whole():
    pieces = [bytes([number]) * 50_000 for number in range(1, 9)]
    bench, got = upload(pieces, ['ok'])
    assert got.status == 200
    assert bench.runs == [b''.join(pieces)]


@pytest.mark.parametrize('action', ['close in request', 'close'])
def test_a_lost_upload_is_reported_as_such(action):
    bench, got = upload([b'x' * 1000] * 5, [action])
    assert got.status == 502
    assert got.outcome == 'unknown'
    assert len(bench.runs) <= 1


def test_an_early_answer_to_an_upload_is_passed_back():
    _, got = upload([b'x' * 1000] * 50, ['early answer'])
    assert got.status == 413


def test_a_connection_with_half_an_upload_is_not_used_again():
    """The target would take the next request as the rest of the body."""

    async def main(bench):
        stream = await bench.connect()
        await stream.send_all(
            b'POST /sales HTTP/1.1\r\nhost: mesh\r\n'
            b'transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n'
        )
        first = await read_answer(stream)
        other = await bench.connect()
        await other.send_all(SALE)
        return first, await read_answer(other)

    bench, (first, second) = run(
        main, ['early answer, kept open', 'ok'], target_count=1
    )
    assert (first.status, second.status) == (200, 200)
    assert bench.connects == 2
    assert bench.runs == [b'one pass']


def test_an_upload_whose_caller_leaves_never_runs():
    bench, _ = upload([b'x' * 1000] * 3, ['ok'], leaves=True)
    assert bench.runs == []


# Each case: what is sent, then the status of the answer.
BAD_REQUESTS = {
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
        b'GET /passes HTTP/1.1\r\nhost: m\r\n' + b'x: y\r\n' * 120 + b'\r\n',
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


@pytest.mark.parametrize('name', BAD_REQUESTS)
def test_a_bad_request_gets_a_clear_answer_and_reaches_no_target(name):
    request, status = BAD_REQUESTS[name]
    bench, got = call(['ok'], request)
    assert got.status == status
    assert got.outcome == 'bad-request'
    assert bench.connects == 0


def test_headers_of_one_hop_are_not_passed_on():
    request = write_request(
        'GET',
        '/passes/7',
        headers=b'connection: keep-alive, x-secret\r\nx-secret: 1\r\n'
        b'te: trailers\r\nx-kept: 2\r\npumicestand-outcome: not-run\r\n',
    )
    bench, got = call(['ok'], request)
    assert got.status == 200
    head = bench.heads[0]
    assert head[b'x-kept'] == b'2'
    for name in (b'x-secret', b'te', b'connection', b'pumicestand-outcome'):
        assert name not in head


def test_a_slow_head_and_an_idle_connection_end():
    async def main(bench):
        client, server = trio.testing.memory_stream_pair()
        connection = client_connections.ClientConnection(
            server, bench.handler.serve, trio.current_time
        )
        bench.nursery.start_soon(connection.run)
        await client.send_all(b'GET /passes HTTP/1.1\r\n')
        await trio.sleep(documents.ClientLimits().head_timeout + 1)
        connection.enforce_timeouts(trio.current_time())
        return await client.receive_some(100)

    _, data = run(main, ['ok'])
    assert data == b''


def test_calls_beyond_slots_and_queue_are_refused_at_once():
    async def main(bench):
        outcomes = []

        async def one():
            stream = await bench.connect()
            await stream.send_all(SALE)
            got = await read_answer(stream)
            outcomes.append((got.status, got.code))

        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(one)
        return outcomes

    bench, outcomes = run(main, ['late'], target_count=1)
    # Two slots and a queue of one; the queue gives up after its wait.
    assert outcomes.count((200, '')) == 2
    assert outcomes.count((503, 'overloaded')) == 4
    assert len(bench.runs) == 2


def test_a_request_that_crashes_targets_is_recognised_and_refused():
    async def main(bench):
        codes = []
        for _ in range(4):
            stream = await bench.connect()
            await stream.send_all(write_request('POST', '/sales', b'poison'))
            codes.append((await read_answer(stream)).code)
        bench.script[:] = ['ok']
        stream = await bench.connect()
        await stream.send_all(SALE)
        good = await read_answer(stream)
        await trio.sleep(61)
        bench.board.table.remove_expired(trio.current_time())
        stream = await bench.connect()
        await stream.send_all(write_request('POST', '/sales', b'poison'))
        return codes, good, await read_answer(stream)

    bench, (codes, good, after) = run(main, ['close'])
    assert codes == ['answer-lost'] * 2 + ['quarantined'] * 2
    assert good.status == 200
    assert after.status == 200


def test_a_stopping_node_finishes_what_runs_and_keeps_nothing():
    async def main(bench):
        stream = await bench.connect()
        await stream.send_all(SALE)
        await trio.sleep(0.1)
        bench.board.is_leaving = True
        got = await read_answer(stream)
        rest = await stream.receive_some(100)
        return got, rest

    _, (got, rest) = run(main, ['late'])
    assert (got.status, got.body) == (200, b'sold')
    assert got.headers[b'connection'] == b'close'
    assert rest == b''


def test_a_chunk_that_turns_bad_under_way_is_a_bad_request():
    async def main(bench):
        stream = await bench.connect()
        await stream.send_all(
            b'POST /sales HTTP/1.1\r\nhost: mesh\r\n'
            b'transfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n'
        )
        await trio.sleep(0.1)
        await stream.send_all(b'zz\r\n')
        return await read_answer(stream)

    bench, got = run(main, ['ok'])
    assert (got.status, got.outcome) == (400, 'bad-request')
    assert bench.runs == []


MOVING = (
    DOCUMENT.replace('[v1]', '[v1, v2]')
    + """\
moves:
  - {name: m, service: till, to: v2, start: 1970-01-01T00:00:00Z,
     by: 2999-01-01T00:00:00Z, unproven_share: 100%}
"""
)

# What the new version does, then: calls and errors booked against it.
BOOKED = {
    'ok': (1, 0),
    'error': (1, 1),
    'close': (1, 1),
    'hang': (1, 1),
    'garbage': (1, 1),
    'cut in body': (1, 1),
}


@pytest.mark.parametrize('action', BOOKED)
def test_a_move_books_what_its_new_version_does(action):
    bench, _ = call([action], SALE, document=MOVING, version='v2')
    booked = next(iter(bench.board.counters.values()))
    assert (booked.new_calls, booked.new_errors) == BOOKED[action]


def test_a_refusal_as_not_run_is_not_booked_against_a_version():
    bench, got = call(['not run'], SALE, document=MOVING, version='v2')
    assert got.outcome == 'not-run'
    assert bench.board.counters == {}


def test_a_caller_who_leaves_is_not_booked_against_a_version():
    async def main(bench):
        stream = await bench.connect()
        await stream.send_all(SALE)
        await trio.sleep(0.1)
        await stream.aclose()
        await trio.sleep(0.1)

    bench, _ = run(main, ['hang'], document=MOVING, version='v2')
    assert bench.board.counters == {}


def test_a_target_that_hangs_is_ejected():
    async def main(bench):
        for _ in range(balancing.FAILURES_BEFORE_EJECTION):
            stream = await bench.connect()
            await stream.send_all(SALE)
            assert (await read_answer(stream)).status == 504
        return bench.balancer.stats_of(
            bench.board.table.member('a').targets[0], 0.0
        )

    _, state = run(main, ['hang'], target_count=1)
    assert state.ejections == 1
    assert state.in_flight == 0
