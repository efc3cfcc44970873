"""Tests of the connections to the target on the same VM."""

import errno
import socket

import pytest
import trio

from pumicestand import hop_messages
from pumicestand import log
from pumicestand import log_throttle
from pumicestand_node import target_exchange
from tests import fakes
from tests.pumicestand_node import test_mesh_calls
from tests.pumicestand_node import test_target_faults

Outcome = hop_messages.Outcome

# Time after a disruption from which calls are expected to succeed again, in
# seconds.
STABLE_WINDOW_S = 3.0


def test_silent_idle_connections_to_the_target_are_closed_by_the_kernel():
    async def main():
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        host, port = listener.socket.getsockname()
        pool = target_exchange.TargetPool(trio.current_time)
        connection = await pool.acquire(host, port)
        option = connection._stream.getsockopt
        assert option(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        tcp = socket.IPPROTO_TCP
        silence_s = option(tcp, socket.TCP_KEEPIDLE) + option(
            tcp, socket.TCP_KEEPINTVL
        ) * option(tcp, socket.TCP_KEEPCNT)
        assert silence_s < STABLE_WINDOW_S
        assert option(tcp, socket.TCP_USER_TIMEOUT) < STABLE_WINDOW_S * 1000
        await connection.close()
        await listener.aclose()

    trio.run(main)


async def respond(stream, number, request_id):
    """Respond as a sound target."""
    response = test_mesh_calls.OK_RESPONSE.replace(b'%b', request_id)
    await stream.send_all(response)
    return True


def count_connections(request_ids):
    """Make calls one after the other; return how many connections they use."""
    counts = []

    async def test(harness):
        for request_id in request_ids:
            await harness.targets.run(test_target_faults.make_call(request_id))
        counts.append(harness.targets.connections_opened)

    test_target_faults.run_scripted(test, respond)
    return counts[0]


def test_connection_is_passed_over_for_an_id_that_it_has_carried():
    assert count_connections(['i1', 'i2', 'i3']) == 1
    assert count_connections(['i1', 'i1']) == 2
    # The first connection stays in use for other ids.
    assert count_connections(['i1', 'i1', 'i2', 'i3', 'i2']) == 2


def test_call_whose_id_comes_again_is_counted_once():
    counts = []

    async def test(harness):
        for request_id in ('i1', 'i1', 'i1', 'i2'):
            await harness.targets.run(test_target_faults.make_call(request_id))
        counts.append(harness.targets.repeated_calls)

    test_target_faults.run_scripted(test, respond)
    assert counts == [2]


def test_connection_that_has_carried_many_calls_is_closed(monkeypatch):
    monkeypatch.setattr(target_exchange, 'MAX_CALLS', 3)
    assert count_connections(['i1', 'i2', 'i3']) == 1
    assert count_connections(['i1', 'i2', 'i3', 'i4', 'i5']) == 2


def test_calls_with_one_id_leave_few_connections_open():
    counts = []

    async def test(harness):
        for _ in range(20):
            await harness.targets.run(test_target_faults.make_call('i1'))
        counts.append(len(harness.targets._pool._idle))

    test_target_faults.run_scripted(test, respond)
    assert counts[0] <= target_exchange.MAX_PASSED_OVER


def test_call_without_an_id_is_not_sent_on_a_used_connection():
    """Its response has no id, and was awaited until the deadline."""
    results = []

    async def respond_to_any(stream, number, request_id):
        if request_id:
            return await respond(stream, number, request_id)
        await stream.send_all(
            b'HTTP/1.1 400 No Id\r\nPumicestand-Not-Executed: 1\r\n'
            b'content-length: 0\r\n\r\n'
        )
        return True

    async def test(harness):
        for request_id in ('i1', '', 'i2', ''):
            with trio.move_on_after(1.0):
                result = await harness.targets.run(
                    test_target_faults.make_call(request_id)
                )
                results.append(result.outcome)

    test_target_faults.run_scripted(test, respond_to_any)
    assert results == [
        Outcome.ANSWERED,
        Outcome.NOT_RUN,
        Outcome.ANSWERED,
        Outcome.NOT_RUN,
    ]


@pytest.mark.parametrize(
    'code',
    [
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
    ],
)
def test_shortage_on_the_vm_is_no_crash_of_the_target(code):
    is_short = [False]

    async def test(harness):
        connect = harness.targets._pool._connect

        async def fail(host, port):
            if is_short[0]:
                # As trio reports that no attempt to connect has succeeded.
                errors = ExceptionGroup('attempts', [OSError(code, 'short')])
                raise OSError('all attempts failed') from errors
            return await connect(host, port)

        harness.targets._pool._connect = fail
        lost = await harness.targets.run(test_target_faults.make_call('i1'))
        assert lost.outcome is Outcome.UNKNOWN
        is_short[0] = True
        result = await harness.targets.run(test_target_faults.make_call('i2'))
        assert result.outcome is Outcome.NOT_HANDED_ON
        assert result.code == 'connection-shortage'
        assert harness.targets._suspects.has_any is False
        is_short[0] = False
        result = await harness.targets.run(test_target_faults.make_call('i3'))
        assert result.outcome is Outcome.ANSWERED

    async def respond_or_lose(stream, number, request_id):
        if number > 1:
            return await respond(stream, number, request_id)
        await stream.aclose()
        return False

    test_target_faults.run_scripted(test, respond_or_lose)


def test_a_shortage_costs_one_line_in_a_period_with_the_number_of_calls():
    """Each call wrote a line while the VM was short of resources."""
    records = []

    async def fail(host, port):
        raise OSError(errno.EMFILE, 'short')

    async def run_calls(harness, count):
        for _ in range(count):
            result = await harness.targets.run(
                test_target_faults.make_call('i1')
            )
            assert result.code == 'connection-shortage'

    async def test(harness):
        harness.targets._pool._connect = fail
        await run_calls(harness, 20)
        await trio.sleep(log_throttle.PERIOD_S)
        harness.apply_heartbeat(2)
        await run_calls(harness, 2)

    sink = log.logger.add(lambda line: records.append(line.record))
    try:
        test_target_faults.run_scripted(test, respond)
    finally:
        log.logger.remove(sink)
    counts = [
        record['extra'].get('count')
        for record in records
        if record['extra'].get('event') == 'connection-shortage'
    ]
    # The 19 others of the first period count for the second line.
    assert counts == [1, 20]


def test_client_gets_a_refusal_at_once_while_descriptors_are_used_up():
    async def test(harness):
        async def fail(host, port):
            errors = ExceptionGroup('attempts', [OSError(errno.EMFILE, 'x')])
            raise OSError('all attempts failed') from errors

        harness.targets._pool._connect = fail
        status, data = await harness.send_request('/o/1', 'POST', 'i1')
        assert status == 503
        assert b'pumicestand-outcome: not-run' in data
        assert trio.current_time() < 0.1

    test_target_faults.run_scripted(test, respond)


@pytest.mark.parametrize(
    ('step', 'status'),
    [('connect', 503), ('format', 503), ('exchange', 502), ('evaluate', 502)],
)
def test_unexpected_error_costs_one_call_and_no_slot(
    monkeypatch, step, status
):
    def fail_once(owner, name):
        method = getattr(owner, name)

        def fail(*_):
            monkeypatch.setattr(owner, name, method)
            raise KeyError('unexpected')

        monkeypatch.setattr(owner, name, fail)

    async def test(harness):
        targets = harness.targets
        owner, name = {
            'connect': (targets._pool, '_connect'),
            'format': (targets, '_format_request_head'),
            'exchange': (target_exchange.TargetConnection, 'exchange'),
            'evaluate': (targets, '_evaluate_response'),
        }[step]
        fail_once(owner, name)
        got, data = await harness.send_request('/o/1', 'POST', 'i1')
        assert got == status
        assert (b'outcome: not-run' in data) == (status == 503)
        assert targets.in_flight == 0
        got, _ = await harness.send_request('/o/1', 'POST', 'i2')
        assert got == 200

    test_target_faults.run_scripted(test, respond)


def test_line_that_cannot_be_logged_costs_no_call_its_answer(monkeypatch):
    """It was closed without an answer while descriptors were used up."""

    async def test(harness):
        async def refuse(host, port):
            raise OSError(errno.ECONNREFUSED, 'refused')

        harness.targets._pool._connect = refuse
        status, data = await harness.send_request('/o/1', 'POST', 'i1')
        assert status == 503
        assert b'outcome: not-run' in data

    monkeypatch.setattr(log, 'logger', fakes.FailingLogger())
    test_target_faults.run_scripted(test, respond)


def test_call_that_cannot_be_recorded_costs_no_response_of_its_target():
    def fail(*_, **__):
        raise OSError(errno.ENOSPC, 'no room')

    async def test(harness):
        harness.mesh.decisions.note = fail
        status, data = await harness.send_request('/o/1', 'POST', 'i1')
        assert status == 200
        assert data.endswith(b'hello')

    test_target_faults.run_scripted(test, respond)


def test_option_that_cannot_be_set_leaves_no_connection_open(monkeypatch):
    async def main():
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        async with listener:
            opened = []

            async def connect(host, port):
                opened.append(await trio.open_tcp_stream(host, port))
                monkeypatch.setattr(opened[0], 'setsockopt', fail)
                return opened[0]

            def fail(*option):
                raise OSError(errno.EINVAL, 'reset')

            pool = target_exchange.TargetPool(trio.current_time, connect)
            with pytest.raises(target_exchange.ExchangeError) as raised:
                await pool.acquire(*listener.socket.getsockname())
            assert not raised.value.may_be_sent
            assert opened[0].socket.fileno() < 0

    trio.run(main)
