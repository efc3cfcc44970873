"""Tests that no request which a connection has read ends without an answer.

The connection is the real one, on memory streams or on sockets.
"""

import contextlib
import dataclasses
import errno
import random
import socket

import pytest
import trio
import trio.testing

from pumicestand import buffer_budget
from pumicestand import documents
from pumicestand import log
from pumicestand_node import client_connections
from pumicestand_node import client_port
from pumicestand_node import heads
from pumicestand_node import socket_io
from tests import fakes
from tests import mock_clock
from tests.pumicestand_node import test_mesh_calls

make_request = test_mesh_calls.make_request
run_with_target = test_mesh_calls.run_with_target
RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


async def read_to_end(stream):
    """Return all bytes up to the end of the stream, or in the first minute."""
    data = b''
    with trio.move_on_after(60):
        while more := await stream.receive_some(65_536):
            data += more
    return data


def open_lockstep_client(harness):
    """Return a client's stream; a send to it waits until it has received."""
    client_end, node_end = trio.testing.lockstep_stream_pair()
    connection = client_connections.ClientConnection(
        node_end, harness.outbound.serve, trio.current_time
    )
    harness.nursery.start_soon(connection.run)
    return client_end


def run_on_socket(serve, test):
    """Run a test with a client's socket stream to a served connection.

    :param serve: as for `client_connections.ClientConnection`
    :param test: coroutine function (client's stream, connection)
    """

    async def main():
        listener = (await trio.open_tcp_listeners(0, host='127.0.0.1'))[0]
        address = listener.socket.getsockname()
        async with listener, trio.open_nursery() as nursery:
            client_end = await trio.open_tcp_stream(*address)
            connection = client_connections.ClientConnection(
                await listener.accept(), serve, trio.current_time
            )
            nursery.start_soon(connection.run)
            async with client_end:
                await test(client_end, connection)

    trio.run(main)


def test_a_request_behind_the_last_response_reaches_no_target():
    async def test(harness):
        harness.mesh.is_stopping = True
        stream = open_lockstep_client(harness)
        await stream.send_all(make_request(request_id='a', close=False))
        await trio.sleep(0.1)
        # The last response is being sent, but the client does not read yet.
        await stream.send_all(make_request(request_id='b', close=False))
        await trio.sleep(0.1)
        assert harness.script.run_request_ids == [b'a']
        data = await read_to_end(stream)
        assert data.endswith(b'connection: close\r\n\r\nhello')

    run_with_target(test)


def test_a_request_received_in_part_is_answered_by_a_stopping_node():
    async def test(harness):
        harness.mesh.is_stopping = True
        stream = await harness.open_client()
        second = make_request('/o/1', 'POST', request_id='b', close=False)
        await stream.send_all(
            make_request(request_id='a', close=False) + second[:9]
        )
        await trio.sleep(0.2)
        await stream.send_all(second[9:])
        data = await read_to_end(stream)
        assert data.count(b'HTTP/1.1 200') == 2
        assert data.count(b'connection: close') == 1
        assert data.index(b'connection: close') > data.index(b': b\r\n')

    run_with_target(test)


def test_bytes_behind_a_request_to_close_are_not_answered():
    """They must not be taken for a malformed request."""

    async def test(harness):
        stream = await harness.open_client()
        await stream.send_all(make_request() + make_request(request_id='b'))
        data = await read_to_end(stream)
        assert data.count(b'HTTP/1.1 ') == 1
        assert harness.script.run_request_ids == [b'i1']

    run_with_target(test)


def test_a_client_that_still_sends_a_body_reads_its_refusal():
    async def test(harness):
        harness.mesh.configuration = None
        stream = await harness.open_client()
        await stream.send_all(
            make_request('/o/1', 'PUT', extra=b'content-length: 99000\r\n')
        )
        for _ in range(9):
            await trio.sleep(0.05)
            # Fails if the node has closed its end already.
            await stream.send_all(bytes(11_000))
        data = await read_to_end(stream)
        assert data.startswith(b'HTTP/1.1 503')

    run_with_target(test)


def test_no_reset_reaches_a_client_that_sends_after_the_last_response():
    async def serve(request, response):
        await response.send(RESPONSE)
        return False

    async def test(stream, connection):
        await stream.send_all(
            make_request(method='PUT', extra=b'content-length: 9000000\r\n')
        )
        for _ in range(90):
            await stream.send_all(bytes(100_000))
        assert await read_to_end(stream) == RESPONSE

    run_on_socket(serve, test)


def test_nothing_follows_a_response_that_is_cut():
    """The client would take it for a part of the cut response."""

    async def serve(request, response):
        if request.head.path == '/first':
            await trio.testing.wait_all_tasks_blocked()
        await response.send(RESPONSE[:-1])
        return False

    async def test(stream, connection):
        await stream.send_all(
            make_request('/first', close=False) + make_request(close=False)
        )
        assert await read_to_end(stream) == RESPONSE[:-1]

    run_on_socket(serve, test)


def test_requests_behind_a_response_that_is_cut_are_named_once():
    lines = []

    async def serve(request, response):
        if request.head.path == '/first':
            await trio.sleep(0.1)
        await response.send(RESPONSE[:-1])
        return False

    requests = [make_request('/first', close=False)]
    requests += 12 * [make_request('/later', close=False)]
    sink = log.logger.add(
        lambda message: lines.append(message.record['extra']), level='ERROR'
    )
    try:
        data = exchange_with_port(serve, b''.join(requests))
    finally:
        log.logger.remove(sink)
    assert data == RESPONSE[:-1]
    (line,) = lines
    assert line['event'] == 'connection-cut'
    named = [request['path'] for request in line['requests']]
    assert named == client_connections.MAX_PIPELINED_REQUESTS * ['/later']


def test_a_disconnect_behind_a_malformed_request_cancels_the_calls():
    async def test(harness):
        stream = await harness.open_client()
        await stream.send_all(make_request(close=False) + b'\0\r\n\r\n')
        await trio.sleep(0.1)
        assert harness.targets.in_flight == 1
        await stream.aclose()
        await trio.sleep(0.1)
        assert harness.targets.in_flight == 0

    run_with_target(test, 'hang')


@pytest.mark.parametrize('is_stopping', [False, True])
def test_the_refusal_of_a_malformed_request_is_the_last_response(is_stopping):
    async def test(harness):
        harness.mesh.is_stopping = is_stopping
        stream = await harness.open_client()
        await stream.send_all(make_request(close=False) + b'\0\r\n\r\n')
        data = await read_to_end(stream)
        first, _, second = data.partition(b'hello')
        assert first.startswith(b'HTTP/1.1 200')
        assert b'connection: close' not in first
        assert second.startswith(b'HTTP/1.1 400')
        assert b'connection: close' in second

    run_with_target(test, 'late limit')


def test_endless_trailers_use_up_no_memory_and_no_processor():
    async def serve(request, response):
        await request.read_all()
        raise AssertionError('the request has no end')

    async def test(stream, connection):
        await stream.send_all(
            make_request(method='PUT', extra=b'transfer-encoding: chunked\r\n')
            + b'2\r\nab\r\n0\r\nx: '
        )
        for _ in range(20):
            await stream.send_all(b'a' * 10_000)
        assert (await read_to_end(stream)).startswith(b'HTTP/1.1 431')

    run_on_socket(serve, test)


def test_a_chunked_body_may_be_longer_than_a_head():
    async def serve(request, response):
        assert len(await request.read_all()) == 100_000
        await response.send(RESPONSE)
        return False

    async def test(stream, connection):
        await stream.send_all(
            make_request(method='PUT', extra=b'transfer-encoding: chunked\r\n')
            + b'1\r\na\r\n' * 100_000
            + b'0\r\nx: y\r\n\r\n'
        )
        assert await read_to_end(stream) == RESPONSE

    run_on_socket(serve, test)


def exchange_with_port(serve, *parts, on_refusal=lambda refusal: None):
    """Return what a port responds to bytes that arrive in parts."""

    async def main():
        port = client_port.ClientPort(serve, on_refusal)
        client_end, node_end = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(port.serve, node_end)
            for part in parts:
                await client_end.send_all(part)
                await trio.sleep(0.1)
            return await read_to_end(client_end)

    return mock_clock.run(main)


@pytest.mark.parametrize(
    'error',
    [ValueError('bug'), trio.BrokenResourceError('of a link'), None],
    ids=['error', 'broken link', 'no response'],
)
@pytest.mark.parametrize(
    ('may_have_run', 'start'),
    [
        (True, b'HTTP/1.1 502 Bad Gateway\r\n'),
        (False, b'HTTP/1.1 503 Service Unavailable\r\n'),
    ],
)
def test_an_error_in_one_request_costs_no_other_its_response(
    error, may_have_run, start
):
    refused, lines = [], []

    async def serve(request, response):
        if request.head.path != '/bad':
            await response.send(RESPONSE)
            return request.head.keep_alive
        response.may_have_run = may_have_run
        if error is not None:
            raise error
        return True

    sink = log.logger.add(lines.append, format='{message}')
    try:
        data = exchange_with_port(
            serve,
            make_request(close=False)
            + make_request('/bad', close=False)
            + make_request(),
            on_refusal=refused.append,
        )
    finally:
        log.logger.remove(sink)
    assert data.startswith(RESPONSE + start)
    assert data.endswith(RESPONSE)
    assert b'connection: close' not in data
    outcome = 'unknown' if may_have_run else 'not-run'
    assert b'pumicestand-outcome: ' + outcome.encode() in data
    assert [refusal.outcome for refusal in refused] == [outcome]
    (line,) = lines
    assert ('Traceback' in line) == (error is not None)


def fail(*_):
    raise OSError(errno.EMFILE, 'no descriptor')


@pytest.fixture
def failing_log(monkeypatch):
    """Each line that is to be logged raises an error."""
    monkeypatch.setattr(log, 'logger', fakes.FailingLogger())


def test_error_that_cannot_be_logged_costs_no_request_its_answer(failing_log):
    async def serve(request, response):
        if request.head.path == '/bad':
            raise OSError(errno.EMFILE, 'no descriptor')
        await response.send(RESPONSE)
        return request.head.keep_alive

    data = exchange_with_port(
        serve,
        make_request(close=False)
        + make_request('/bad', close=False)
        + make_request(),
    )
    assert data.startswith(RESPONSE + b'HTTP/1.1 502')
    assert data.endswith(RESPONSE)


@pytest.mark.parametrize(
    ('request_data', 'status'),
    [(make_request('/bad'), b' 502 '), (b'\0\r\n\r\n', b' 400 ')],
    ids=['error', 'malformed'],
)
def test_refusal_that_cannot_be_recorded_reaches_the_client(
    request_data, status
):
    async def serve(request, response):
        if request.head.path == '/bad':
            raise ValueError('bug')
        await response.send(RESPONSE)
        return True

    data = exchange_with_port(
        serve, make_request(close=False) + request_data, on_refusal=fail
    )
    assert data.startswith(RESPONSE + b'HTTP/1.1' + status)


def test_unexpected_error_of_the_parser_costs_no_earlier_request_its_answer(
    monkeypatch,
):
    async def serve(request, response):
        await trio.sleep(0.2)
        await response.send(RESPONSE)
        return True

    def validate(head):
        if head.path == '/bad':
            raise KeyError('bug')

    monkeypatch.setattr(heads, 'validate_request', validate)
    data = exchange_with_port(
        serve, make_request(close=False) + make_request('/bad')
    )
    assert data.startswith(RESPONSE + b'HTTP/1.1 503')
    assert b'pumicestand-outcome: not-run' in data


def test_connection_that_cannot_be_read_answers_what_it_has_read(monkeypatch):
    async def receive_some(stream, max_bytes):
        monkeypatch.setattr(socket_io, 'receive_some', fail)
        return 2 * make_request(close=False)

    async def serve(request, response):
        await trio.sleep(0.2)
        await response.send(RESPONSE)
        return True

    monkeypatch.setattr(socket_io, 'receive_some', receive_some)
    assert exchange_with_port(serve) == 2 * RESPONSE


def test_state_of_a_socket_that_cannot_be_read_costs_no_response(monkeypatch):
    async def serve(request, response):
        if request.head.path == '/last':
            monkeypatch.setattr(socket_io, 'is_readable', fail)
        keep_alive = response.decide_keep_alive(is_stopping=True)
        await response.send(RESPONSE)
        return keep_alive

    data = exchange_with_port(
        serve, make_request(close=False) + make_request('/last', close=False)
    )
    assert data == 2 * RESPONSE


def test_requests_behind_others_wait_unserved_and_end_with_their_client():
    """Each was started, and the disconnect behind them was not noticed."""
    running, counts = [], []

    async def serve(request, response):
        running.append(request)
        try:
            await trio.sleep_forever()
        finally:
            running.remove(request)

    async def test(stream, connection):
        await stream.send_all(50 * make_request(close=False))
        await trio.sleep(0.1)
        counts.append(len(running))
        await stream.aclose()
        await trio.sleep(0.1)
        counts.append(len(running))
        connection._cancel_scope.cancel()

    run_on_memory(serve, test)
    assert counts == [client_connections.MAX_PIPELINED_REQUESTS + 1, 0]


@pytest.mark.parametrize('seed', range(5))
def test_any_number_of_pipelined_requests_is_answered_in_order(seed):
    rng = random.Random(seed)
    paths = [f'/{number}' for number in range(300)]
    requests = [
        make_request(path, rng.choice(('GET', 'POST')), close=False)
        for path in paths
    ]

    async def serve(request, response):
        await trio.sleep(rng.choice((0, 0.01)))
        body = request.head.path.encode() + b' '
        length = b'content-length: %d' % len(body)
        head = RESPONSE.partition(b'content-length')[0] + length
        await response.send(head + b'\r\n\r\n' + body)
        return True

    async def test(stream, connection):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream.send_all, b''.join(requests))
            data = b''
            while (
                data.count(b'HTTP/1.1 200') < len(paths) or data[-1:] != b' '
            ):
                data += await stream.receive_some(65_536)
        bodies = [p.partition(b'\r\n\r\n')[2] for p in data.split(b'HTTP/')]
        assert b''.join(bodies).decode().split() == paths

    run_on_memory(serve, test)


def test_no_refusal_follows_a_part_of_a_response():
    """The client would take it for the rest of the response."""

    async def serve(request, response):
        await response.send(b'HTTP/1.1 100 Continue\r\n\r\n')
        await response.send(RESPONSE[:-1])
        await request.read_all()

    head = make_request(
        method='PUT', extra=b'transfer-encoding: chunked\r\n', close=False
    )
    data = exchange_with_port(serve, head, b'1\r\nx\r\nno chunk')
    assert data == b'HTTP/1.1 100 Continue\r\n\r\n' + RESPONSE[:-1]


def test_no_body_follows_the_refusal_of_a_head_request():
    async def serve(request, response):
        await request.read_all()

    head = make_request(method='HEAD', extra=b'content-length: 99000000\r\n')
    data = exchange_with_port(serve, head)
    assert data.startswith(b'HTTP/1.1 413')
    assert data.endswith(b'\r\n\r\n')


async def serve_ok(request, response):
    await request.read_all()
    await response.send(RESPONSE)
    return request.head.keep_alive


def run_on_memory(serve, test):
    """Run a test as `run_on_socket` does, on memory streams."""

    async def main():
        client_end, node_end = trio.testing.memory_stream_pair()
        connection = client_connections.ClientConnection(
            node_end, serve, trio.current_time
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.run)
            await test(client_end, connection)
            await client_end.aclose()

    mock_clock.run(main)


def test_a_request_that_is_not_read_yet_is_answered_by_a_draining_node():
    async def test(stream, connection):
        await stream.send_all(make_request(close=False))
        assert await stream.receive_some() == RESPONSE
        # Without a checkpoint, so that the node can't read it before.
        socket_io.send_nowait(stream, make_request(close=False))
        connection.close_when_idle()
        assert await read_to_end(stream) == RESPONSE

    run_on_socket(serve_ok, test)


def test_a_response_is_not_the_last_before_a_request_that_is_not_read_yet():
    async def test(client_end, connection):
        async def serve(request, response):
            if request.head.path == '/first':
                socket_io.send_nowait(client_end, make_request(close=False))
            kept.append(response.decide_keep_alive(is_stopping=True))
            await response.send(RESPONSE)
            return kept[-1]

        connection._serve = serve
        await client_end.send_all(make_request('/first', close=False))
        assert await read_to_end(client_end) == 2 * RESPONSE
        assert kept == [True, False]

    kept = []
    run_on_socket(serve_ok, test)


@pytest.mark.parametrize('split', [3, -1], ids=['head', 'body'])
def test_a_request_received_in_part_is_answered_by_a_draining_node(split):
    request = make_request(
        method='PUT', extra=b'content-length: 2\r\n', close=False
    )
    request += b'xy'

    async def test(stream, connection):
        await stream.send_all(make_request(close=False) + request[:split])
        await trio.sleep(0.1)
        connection.close_when_idle()
        await trio.sleep(0.1)
        await stream.send_all(request[split:])
        assert await read_to_end(stream) == 2 * RESPONSE

    run_on_memory(serve_ok, test)


def test_a_draining_node_answers_the_first_request_of_a_connection():
    async def test(stream, connection):
        connection.close_when_idle()
        await trio.sleep(0.5)
        await stream.send_all(make_request(close=False))
        assert await read_to_end(stream) == RESPONSE
        assert trio.current_time() < 2

    run_on_memory(serve_ok, test)


def test_a_connection_opened_to_a_draining_port_ends_after_a_response():
    async def main():
        port = client_port.ClientPort(serve_ok, None)
        client_end, node_end = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            port.close_when_idle()
            nursery.start_soon(port.serve, node_end)
            await client_end.send_all(make_request(close=False))
            assert await read_to_end(client_end) == RESPONSE
            await client_end.aclose()
        assert trio.current_time() < 2

    mock_clock.run(main)


@pytest.mark.parametrize('has_served', [False, True])
def test_a_connection_without_a_request_does_not_delay_a_drain(has_served):
    async def test(stream, connection):
        if has_served:
            await stream.send_all(make_request(close=False))
            assert await stream.receive_some() == RESPONSE
        connection.close_when_idle()
        for _ in range(4):
            await trio.sleep(0.5)
            connection.enforce_timeouts(trio.current_time())
        assert await read_to_end(stream) == b''
        assert trio.current_time() < 5

    run_on_memory(serve_ok, test)


def test_a_drain_does_not_cut_a_connection_that_is_closing():
    async def test(stream, connection):
        await stream.send_all(make_request())
        assert await read_to_end(stream) == RESPONSE
        connection.close_when_idle()
        await trio.sleep(0.1)
        # Fails if the node has closed its end already.
        await stream.send_all(b'x')

    run_on_memory(serve_ok, test)


@pytest.mark.parametrize(
    ('rest', 'statuses'),
    [
        (b'GET /x/2 HT', []),
        (
            make_request(method='PUT', extra=b'content-length: 2\r\n') + b'x',
            [b'408'],
        ),
    ],
    ids=['head', 'body'],
)
def test_a_request_that_stalls_costs_no_earlier_one_its_response(
    rest, statuses
):
    async def serve(request, response):
        await request.read_all()
        await trio.sleep(50)
        await response.send(RESPONSE)
        return True

    async def test(stream, connection):
        await stream.send_all(make_request(close=False) + rest)
        for _ in range(40):
            await trio.sleep(1)
            connection.enforce_timeouts(trio.current_time())
        data = await read_to_end(stream)
        assert data.startswith(RESPONSE)
        assert data[len(RESPONSE) :].split(b' ')[1:2] == statuses

    run_on_memory(serve, test)


@pytest.mark.parametrize('received', [b'', b'GET /x/2 HT'])
def test_a_request_that_is_not_read_yet_ends_no_time_limit(received):
    """A node that was paused finds the bytes and the time passed at once."""

    async def test(stream, connection):
        await stream.send_all(make_request(close=False))
        assert await stream.receive_some() == RESPONSE
        if received:
            await stream.send_all(received)
            while not connection._parser.is_in_head:
                await trio.lowlevel.checkpoint()
        request = make_request('/x/2')
        socket_io.send_nowait(stream, request[len(received) :])
        connection.enforce_timeouts(trio.current_time() + 1000)
        assert await read_to_end(stream) == RESPONSE

    run_on_socket(serve_ok, test)


def test_a_connection_that_is_cut_does_not_reset_its_last_response():
    async def test(stream, connection):
        await stream.send_all(make_request(close=True))
        assert await stream.receive_some() == RESPONSE
        socket_io.send_nowait(stream, make_request(close=False))
        connection._cancel_scope.cancel()
        # Fails if the connection was reset.
        assert await read_to_end(stream) == b''

    run_on_socket(serve_ok, test)


def test_a_request_that_crosses_the_close_of_an_idle_connection_stays_unread():
    """The reset tells its client that it can be sent again."""

    async def test(stream, connection):
        await stream.send_all(make_request(close=False))
        assert await stream.receive_some() == RESPONSE
        connection.close_when_idle()
        socket_io.send_nowait(stream, make_request(close=False))
        with pytest.raises(trio.BrokenResourceError):
            await read_to_end(stream)

    run_on_socket(serve_ok, test)


@pytest.mark.parametrize('has_stalled', [False, True])
def test_the_last_response_says_so_whatever_ends_the_connection(has_stalled):
    """Otherwise the client sends its next request to a closed connection."""
    decisions = []

    async def serve(request, response):
        await trio.sleep(50)
        decisions.append(response.decide_keep_alive(is_stopping=False))
        await response.send(RESPONSE)
        return decisions[-1]

    async def test(stream, connection):
        await stream.send_all(make_request(close=False))
        if has_stalled:
            await stream.send_all(b'GET /x/2 HT')
            await trio.sleep(30)
            connection.enforce_timeouts(trio.current_time())
        else:
            await trio.sleep(30)
            connection.close_when_idle()
        assert await read_to_end(stream) == RESPONSE
        assert decisions == [False]

    run_on_memory(serve, test)


def test_a_client_that_reads_no_refusal_does_not_keep_its_connection():
    async def main():
        client_end, node_end = trio.testing.lockstep_stream_pair()
        connection = client_connections.ClientConnection(
            node_end, serve_ok, trio.current_time
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.run)
            with pytest.raises(trio.BrokenResourceError):
                for _ in range(100):
                    await client_end.send_all(b'\0')
                    await trio.sleep(1)
                    connection.enforce_timeouts(trio.current_time())

    mock_clock.run(main)


def split_random_requests(rng):
    """Return the parts of up to 12 requests."""
    parts = []
    for _ in range(rng.randrange(1, 13)):
        request = make_request(close=False)
        if rng.random() < 0.3:
            length = b'content-length: 3\r\n'
            request = make_request(method='PUT', extra=length, close=False)
            request += b'xyz'
        position = rng.choice((1, 50, len(request) - 1))
        parts += [request[:position], request[position:]]
    return parts


async def send_parts(stream, parts, rng):
    """Send each part at a random time until the node closes."""
    with contextlib.suppress(trio.BrokenResourceError):
        for part in parts:
            await trio.sleep(rng.choice((0, 0, 0.01, 0.3)))
            await stream.send_all(part)


@pytest.mark.parametrize('seed', range(100))
def test_each_request_that_is_served_is_answered_while_a_node_stops(seed):
    rng = random.Random(seed)
    stop_at = rng.uniform(0, 2)
    drain_at = stop_at + rng.choice((0, 0.3, 2))
    served = []

    async def serve(request, response):
        await request.read_all()
        served.append(request)
        await trio.sleep(rng.choice((0, 0, 0.01, 0.5)))
        if rng.random() < 0.1:
            raise ValueError('bug')
        await response.wait_for_turn()
        keep_alive = response.decide_keep_alive(trio.current_time() > stop_at)
        end = b'\r\n' if keep_alive else b'connection: close\r\n\r\n'
        await response.send(RESPONSE.replace(b'\r\n\r\n', b'\r\n' + end))
        return keep_alive

    async def main():
        pair = rng.choice(
            (
                trio.testing.lockstep_stream_pair,
                trio.testing.memory_stream_pair,
            )
        )
        client_end, node_end = pair()
        connection = client_connections.ClientConnection(
            node_end, serve, trio.current_time
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.run)
            parts = split_random_requests(rng)
            nursery.start_soon(send_parts, client_end, parts, rng)
            nursery.start_soon(close_later, connection)
            received = b''
            while more := await client_end.receive_some():
                received += more
                # Meanwhile the node waits with its next response.
                await trio.sleep(rng.choice((0, 0, 0.3)))
            nursery.cancel_scope.cancel()
        return received

    async def close_later(connection):
        await trio.sleep(drain_at)
        connection.close_when_idle()

    received = mock_clock.run(main)
    assert received.count(b'HTTP/1.1 ') == len(served)
    assert not received or received.endswith((b'ok', b'node\n'))
    assert b'connection: close' not in received[: received.rfind(b'HTTP/')]


def test_a_request_whose_route_is_dropped_meanwhile_is_answered():
    async def test(harness):
        stream = await harness.open_client()
        length = b'content-length: 3\r\n'
        await stream.send_all(
            make_request(close=False)
            + make_request('/x/2', 'PUT', extra=length)
        )
        await trio.sleep(0.05)
        harness.mesh.configuration = dataclasses.replace(
            harness.mesh.configuration, document=documents.Document(routes=())
        )
        await stream.send_all(b'xyz')
        first, _, second = (await read_to_end(stream)).partition(b'hello')
        assert first.startswith(b'HTTP/1.1 200')
        assert second.startswith(b'HTTP/1.1 404')

    run_with_target(test, 'late limit')


def run_with_pipelined(count, test, first=b''):
    """Run a test with requests that were sent at once.

    :param count: number of requests, for /0, /1 and so on
    :param first: request that is sent in front of them
    :param test: coroutine function (client's stream, connection, paths that
        are served so far, event that lets them be answered)
    """
    served = []

    async def main():
        released = trio.Event()

        async def serve(request, response):
            served.append(request.head.path)
            await released.wait()
            await response.wait_for_turn()
            keep_alive = response.decide_keep_alive(False)
            await response.send(RESPONSE)
            return keep_alive

        client_end, node_end = trio.testing.memory_stream_pair()
        connection = client_connections.ClientConnection(
            node_end, serve, trio.current_time
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.run)
            await client_end.send_all(
                first
                + b''.join(
                    b'GET /%d HTTP/1.1\r\nhost: h\r\n\r\n' % n
                    for n in range(count)
                )
            )
            await trio.sleep(60.0)
            await test(client_end, connection, served, released)
            nursery.cancel_scope.cancel()

    mock_clock.run(main)


def test_requests_sent_at_once_do_not_fill_the_memory():
    """Each waited in a task of its own, hundreds for each connection."""
    count = 500
    paths = [f'/{n}' for n in range(count)]

    async def test(client, connection, served, released):
        assert len(served) == client_connections.MAX_PIPELINED_REQUESTS + 1
        connection.enforce_timeouts(trio.current_time())
        released.set()
        data = b''
        while data.count(RESPONSE) < count:
            data += await client.receive_some()
        assert sorted(served) == sorted(paths)

    run_with_pipelined(count, test)


@pytest.mark.parametrize(
    'body',
    [
        b'content-length: 1200\r\n\r\n' + bytes(1200),
        b'transfer-encoding: chunked\r\n\r\n4B0\r\n'
        + bytes(1200)
        + b'\r\n0\r\n\r\n',
    ],
    ids=['length', 'chunks'],
)
def test_requests_sent_behind_a_body_do_not_fill_the_memory(body):
    count = 500

    async def test(client, connection, served, released):
        assert len(served) < 100
        released.set()
        data = b''
        while data.count(RESPONSE) < count + 1:
            data += await client.receive_some()
        assert len(served) == count + 1

    first = b'PUT /first HTTP/1.1\r\nhost: h\r\n' + body
    run_with_pipelined(count, test, first)


def test_requests_that_wait_to_be_parsed_are_answered_by_a_stopping_node():
    async def test(client, connection, served, released):
        connection.close_when_idle()
        released.set()
        assert (await read_to_end(client)).count(RESPONSE) == 100

    run_with_pipelined(100, test)


class Uploads:
    """Connections of clients that share 1,000,000 bytes for bodies.

    Each request is answered once its body is complete and `released` is set.
    """

    def __init__(self, nursery):
        self._nursery = nursery
        self.budget = buffer_budget.BufferBudget(1_000_000)
        self.released = trio.Event()
        self.bodies = []
        self.refusals = []

    async def _serve(self, request, response):
        self.bodies.append(await request.read_all())
        await self.released.wait()
        await response.send(RESPONSE)
        return True

    async def start(self, framing, data=b''):
        """Return a new client's stream that has sent a part of a request."""
        client, node_end = trio.testing.memory_stream_pair()
        connection = client_connections.ClientConnection(
            node_end,
            self._serve,
            trio.current_time,
            on_refusal=self.refusals.append,
            budget=self.budget,
        )
        self._nursery.start_soon(connection.run)
        head = b'POST /x HTTP/1.1\r\nhost: h\r\n' + framing + b'\r\n\r\n'
        await client.send_all(head + data)
        await trio.testing.wait_all_tasks_blocked()
        return client


def run_uploads(test):
    """Run a test, a coroutine function of `Uploads`."""

    async def main():
        async with trio.open_nursery() as nursery:
            uploads = Uploads(nursery)
            await test(uploads)
            nursery.cancel_scope.cancel()
        assert uploads.budget.held_bytes == 0
        assert uploads.budget.promised_bytes == 0

    mock_clock.run(main)


def test_body_that_can_not_be_held_is_refused_at_once_as_not_run():
    """The process would be killed for its memory, with all calls."""

    async def test(uploads):
        length = b'content-length: 300000'
        held = [await uploads.start(length, b'u') for _ in range(2)]
        refused = await uploads.start(length)
        response = await read_to_end(refused)
        assert response.startswith(b'HTTP/1.1 503 ')
        assert b'pumicestand-outcome: not-run\r\n' in response
        assert b'retry-after: ' in response
        short = await uploads.start(b'content-length: 10', b'0123456789')
        uploads.released.set()
        assert await short.receive_some() == RESPONSE
        for client in held:
            await client.send_all(b'u' * 299_999)
            assert await client.receive_some() == RESPONSE
        assert sorted(map(len, uploads.bodies)) == [10, 300_000, 300_000]
        assert uploads.budget.held_bytes == 0
        again = await uploads.start(length, b'u' * 300_000)
        assert await again.receive_some() == RESPONSE

    run_uploads(test)


def test_body_without_a_length_is_refused_once_it_does_not_fit():
    async def test(uploads):
        client = await uploads.start(b'transfer-encoding: chunked')
        chunk = b'%x\r\n' % 100_000 + b'u' * 100_000 + b'\r\n'
        for _ in range(7):
            await client.send_all(chunk)
        await trio.testing.wait_all_tasks_blocked()
        assert not uploads.refusals
        await client.send_all(chunk)
        assert (await read_to_end(client)).startswith(b'HTTP/1.1 503 ')
        assert uploads.bodies == []
        assert uploads.budget.held_bytes == 0

    run_uploads(test)


def test_body_of_a_client_that_leaves_is_held_no_longer():
    async def test(uploads):
        client = await uploads.start(b'content-length: 700000', b'u' * 9)
        budget = uploads.budget
        assert budget.promised_bytes == 700_000 - 9
        assert budget.held_bytes > 9
        await client.aclose()
        await trio.testing.wait_all_tasks_blocked()
        assert budget.held_bytes == budget.promised_bytes == 0

    run_uploads(test)


@pytest.mark.parametrize('seed', range(20))
def test_requests_with_bodies_sent_at_once_are_all_read(seed):
    rng = random.Random(seed)
    bodies, data = [], b''
    for _ in range(60):
        body = bytes(rng.choices(b'\r\nx', k=rng.randrange(40)))
        bodies.append(body)
        if rng.random() < 0.5:
            data += b'PUT /x HTTP/1.1\r\nhost: h\r\n'
            data += b'content-length: %d\r\n\r\n' % len(body) + body
            continue
        data += b'PUT /x HTTP/1.1\r\nhost: h\r\n'
        data += b'transfer-encoding: chunked\r\n\r\n'
        if body:
            data += b'%x\r\n' % len(body) + body + b'\r\n'
        data += b'0\r\n\r\n'
    read = []

    async def serve(request, response):
        read.append(await request.read_all())
        await response.send(RESPONSE)
        return True

    async def main():
        client, node_end = trio.testing.memory_stream_pair()
        connection = client_connections.ClientConnection(
            node_end, serve, trio.current_time
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.run)
            rest = data
            while rest:
                size = rng.choice((10, 1000, 9000))
                await client.send_all(rest[:size])
                await trio.sleep(0.1)
                rest = rest[size:]
            nursery.cancel_scope.cancel()

    mock_clock.run(main)
    assert read == bodies


def test_response_that_is_not_delivered_yet_is_not_lost_with_a_drain():
    """A request that crossed the close reset the rest of the response."""
    sent = []

    async def serve(request, response):
        await response.send(RESPONSE)
        if not sent:
            # As much as the kernel takes while the client does not read.
            stream = response._connection._stream
            rest = socket_io.send_nowait(stream, bytes(10_000_000))
            sent.append(10_000_000 - len(rest))
        return True

    async def test(stream, connection):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        await stream.send_all(make_request(close=False))
        while not connection._has_served:
            await trio.lowlevel.checkpoint()
        connection.close_when_idle()
        await trio.testing.wait_all_tasks_blocked()
        socket_io.send_nowait(stream, make_request(close=False))
        await trio.testing.wait_all_tasks_blocked()
        data = b''
        while len(data) < 2 * len(RESPONSE) + sent[0]:
            more = await stream.receive_some()
            assert more, (len(data), sent)
            data += more
        assert await read_to_end(stream) == b''

    run_on_socket(serve, test)
