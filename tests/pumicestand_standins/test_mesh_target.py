"""Tests of the stand-in for a target of the mesh."""

import itertools
import json
import random

import pytest
import trio

from pumicestand_standins import http_client
from pumicestand_standins import http_server
from pumicestand_standins import mesh_target

BODY_BYTES = len(mesh_target.expected_body('', ''))


class Node:
    """A node that records the requests of its target."""

    def __init__(self):
        self.requests = []
        self.acknowledges = True

    async def handle(self, request):
        self.requests.append((request.path, json.loads(request.body)))
        return http_server.json_response({}, 200 if self.acknowledges else 503)


def run_with_target(test, **options):
    """Run a test function with a target and its node on loopback.

    :param test: coroutine function of the target, the node and a connection
        to the target
    :param options: for `mesh_target.MeshTarget`
    """

    async def main():
        async with trio.open_nursery() as nursery:
            node = Node()
            server = http_server.Server('127.0.0.1', 0, node.handle)
            await server.start(nursery)
            port_probe = http_server.Server('127.0.0.1', 0, node.handle)
            await port_probe.start(nursery)
            address = ('127.0.0.1', port_probe.port)
            await port_probe.close()
            target = mesh_target.MeshTarget(
                't',
                'shop',
                address,
                address,
                ('127.0.0.1', server.port),
                address,
                **options,
            )
            target.behaviour.work_s = 0.001
            await target.start(nursery)
            await test(target, node, http_client.Connection(address))
            nursery.cancel_scope.cancel()

    trio.run(main)


def send_request(connection, request_id='x', **headers):
    return connection.call(
        'GET', '/', {'pumicestand-request-id': request_id, **headers}
    )


def test_target_sends_heartbeats_and_records_runs():
    async def test(target, node, connection):
        response = await send_request(connection)
        assert response.status == 200
        assert response.body == mesh_target.expected_body('x', 't-1.1')
        assert [run.request_id for run in target.ledger] == ['x']
        while not node.requests:
            await trio.sleep(0.01)
        path, body = node.requests[0]
        assert path == '/instances/t-1/heartbeat'
        assert body['status'] == {
            'state': 'ready', 'sequence': 1, 'cold_left_s': 0,
        }  # fmt: skip

    run_with_target(test)


def test_run_tells_key_and_organisation_of_its_request():
    async def test(target, node, connection):
        await send_request(connection)
        headers = {'X-Api-Key': 'k', 'Pumicestand-Tenant-Id': 'acme'}
        await send_request(connection, 'y', **headers)
        first, second = target.ledger
        assert (first.organisation, first.has_key) == ('', False)
        assert (second.organisation, second.has_key) == ('acme', True)

    run_with_target(test)


def test_query_tells_the_time_that_a_run_takes():
    async def test(target, node, connection):
        with trio.move_on_after(0.2):
            await connection.call(
                'GET', '/?work_s=60', {'pumicestand-request-id': 'x'}
            )
        assert [run.work_s for run in target.ledger] == [60.0]
        assert target.ended_at == {}
        # The run is cut with its connection.
        await connection.close()
        while not target.ended_at:
            await trio.sleep(0.01)
        assert list(target.ended_at) == [('x', 't-1')]

    run_with_target(test, nested_path_prefix='/i/')


def test_run_with_a_time_of_its_own_makes_no_nested_call():
    async def test(target, node, connection):
        response = await connection.call(
            'GET', '/?work_s=0.001', {'pumicestand-request-id': 'x'}
        )
        assert response.status == 200
        assert [run.request_id for run in target.ledger] == ['x']

    run_with_target(test, nested_path_prefix='/i/')


def test_request_for_other_instance_is_not_run():
    async def test(target, node, connection):
        headers = {'pumicestand-expect-instance': 'other'}
        response = await send_request(connection, **headers)
        assert response.status == 421
        assert 'pumicestand-not-executed' in response.headers
        assert target.ledger == []

    run_with_target(test)


def test_request_above_slots_is_refused():
    async def test(target, node, connection):
        assert (await send_request(connection)).status == 503
        assert target.ledger == []

    run_with_target(test, slots=0)


@pytest.mark.parametrize(
    ('name', 'status'), [('loses', 0), ('spoils', 0), ('fails', 500)]
)
def test_request_with_faulty_response_is_recorded_as_run(name, status):
    async def test(target, node, connection):
        setattr(target.behaviour, name, 1)
        assert (await send_request(connection)).status == status
        assert [run.request_id for run in target.ledger] == ['x']

    run_with_target(test)


def test_unacknowledged_departure_is_not_recorded():
    async def test(target, node, connection):
        node.acknowledges = False
        await target.leave(0.0)
        assert target.departures == []
        assert not target.is_running

    run_with_target(test)


def test_each_start_is_a_new_instance():
    async def test(target, node, connection):
        await target.leave(0.0)
        assert [d.instance for d in target.departures] == ['t-1']
        assert node.requests[-1][0] == '/instances/t-1/deregister'
        async with trio.open_nursery() as nursery:
            await target.start(nursery)
            assert target.instance == 't-2'
            nursery.cancel_scope.cancel()

    run_with_target(test)


def test_target_advertises_its_limit_for_a_time():
    async def test(target, node, connection):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(target.advertise_limit, 7.5, 0.2)
            await trio.sleep(0.05)
            response = await send_request(connection)
            assert response.headers['server-limit'] == '7.5'
        response = await send_request(connection, 'y')
        assert 'server-limit' not in response.headers
        (period,) = target.limit_periods
        assert (period.instance, period.rate) == ('t-1', 7.5)

    run_with_target(test)


def test_limit_lasts_until_the_last_of_overlapping_periods_ends():
    async def test(target, node, connection):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(target.advertise_limit, 7.5, 0.1)
            nursery.start_soon(target.advertise_limit, 5.0, 0.4)
            await trio.sleep(0.2)
            response = await send_request(connection)
            assert response.headers['server-limit'] == '5'
        response = await send_request(connection, 'y')
        assert 'server-limit' not in response.headers

    run_with_target(test)


def test_target_that_only_responses_say_leaves_sends_no_such_heartbeat():
    async def test(target, node, connection):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(target.leave_without_heartbeat, 0.1)
            await trio.sleep(0.05)
            response = await send_request(connection)
            assert response.headers['server-leaving'] == '1'
        assert [d.instance for d in target.departures] == ['t-1']
        states = {body['status']['state'] for _, body in node.requests}
        assert states == {'ready'}
        assert not target.is_running

    run_with_target(test)


def test_endless_response_ends_when_its_connection_is_closed():
    async def test(target, node, connection):
        target.behaviour.endless = 1
        with trio.move_on_after(0.2):
            await send_request(connection)
        await connection.close()
        target.behaviour.endless = 0
        other = http_client.Connection(connection._addresses[0])
        assert (await send_request(other, 'y')).status == 200
        await other.close()

    run_with_target(test)


async def crash_under_calls(target, connection):
    """Send calls until the target has crashed; return how many it bore."""
    count = 0
    while not target.cold_crashes:
        await send_request(connection, f'x{count}')
        count += 1
    return count - 1


def test_target_crashes_when_cold_under_too_many_calls():
    async def test(target, node, connection):
        target.behaviour.cold_rate = 100.0
        for number in range(200):
            await send_request(connection, f'w{number}')
        assert target.cold_crashes == []
        target.behaviour.cold_rate = 4.0
        await target.turn_cold(60.0)
        cold_left_s = node.requests[-1][1]['status']['cold_left_s']
        assert 50.0 < cold_left_s <= 60.0
        assert await crash_under_calls(target, connection) >= 14
        assert len(target.ledger) >= 214
        assert not target.cold_crashes[0].is_after_start

    run_with_target(test)


def test_calls_before_the_node_acknowledged_the_coldness_do_not_count():
    async def test(target, node, connection):
        node.acknowledges = False
        target.behaviour.cold_rate = 1.0
        await target.turn_cold(60.0)
        for number in range(50):
            await send_request(connection, f'w{number}')
        assert target.cold_crashes == []

    run_with_target(test)


def test_restarted_target_is_cold_before_its_first_heartbeat():
    async def test(target, node, connection):
        node.acknowledges = False
        target.behaviour.cold_rate = 4.0
        target.behaviour.cold_start_s = 60.0
        await target.crash()
        async with trio.open_nursery() as nursery:
            await target.start(nursery)
            await crash_under_calls(target, connection)
            (crash,) = target.cold_crashes
            assert crash.is_after_start
            assert (crash.instance, crash.calls) == ('t-2', 15)
            nursery.cancel_scope.cancel()

    run_with_target(test)


def test_each_run_has_a_stamp_and_a_body_of_its_own():
    async def test(target, node, connection):
        responses = [await send_request(connection) for _ in range(2)]
        stamps = [r.headers['pumicestand-server-stamp'] for r in responses]
        assert stamps == ['t-1.1', 't-1.2']
        assert stamps == [run.stamp for run in target.ledger]
        for response, stamp in zip(responses, stamps, strict=True):
            assert response.body == mesh_target.expected_body('x', stamp)
        assert responses[0].body != responses[1].body
        await connection.close()
        await target.crash()
        async with trio.open_nursery() as nursery:
            await target.start(nursery)
            await send_request(connection, 'y')
            assert target.ledger[-1].stamp == 't-2.3'
            nursery.cancel_scope.cancel()

    run_with_target(test)


def test_answers_hold_the_status_of_each_complete_response():
    async def test(target, node, connection):
        for name in ('', 'fails', 'loses', 'spoils'):
            target.behaviour = mesh_target.Behaviour(work_s=0.001)
            if name:
                setattr(target.behaviour, name, 1)
            await send_request(connection)
        assert target.answers == {'t-1.1': 200, 't-1.2': 500}

    run_with_target(test)


def test_target_fails_a_share_of_its_calls_by_chance():
    async def test(target, node, connection):
        target.behaviour.fail_percent = 30
        for number in range(100):
            response = await send_request(connection, f'x{number}')
            stamp = response.headers['pumicestand-server-stamp']
            assert response.status == target.answers[stamp]
        statuses = list(target.answers.values())
        rng = random.Random(5)
        expected = []
        for _ in statuses:
            expected.append(500 if rng.random() < 0.3 else 200)
            rng.random()
        assert statuses == expected
        assert 15 <= statuses.count(500) <= 45

    run_with_target(test, rng=random.Random(5))


class StutterRng:
    """Has a target send each response twice.

    :param early_bytes: first bytes of the copy that are sent at once
    """

    def __init__(self, early_bytes):
        self._early_bytes = early_bytes

    def random(self):
        return 0.0 if self._early_bytes else 0.9

    def randint(self, low, high):
        assert low <= self._early_bytes <= high
        return self._early_bytes


def encode_request(request_id):
    head = f'GET / HTTP/1.1\r\nhost: h\r\npumicestand-request-id: {request_id}'
    return head.encode() + b'\r\n\r\n'


async def receive_responses(stream, count):
    """Return what a connection carries up to a number of responses."""
    data = b''
    while True:
        *heads, body = data.split(b'\r\n\r\n')
        if len(heads) >= count and len(body) >= BODY_BYTES:
            return data
        data += await stream.receive_some(65_536)


@pytest.mark.parametrize('early_bytes', [0, 1, 15, 100])
def test_stuttering_target_sends_a_response_twice(early_bytes):
    async def test(target, node, connection):
        target.behaviour.stutter_percent = 100
        target.behaviour.work_s = 0.0
        address = connection._addresses[0]
        async with await trio.open_tcp_stream(*address) as stream:
            await stream.send_all(encode_request('x'))
            data = await receive_responses(stream, 2)
            first, second = data[: len(data) // 2], data[len(data) // 2 :]
            assert first == second
            assert b't-1.1' in first
            # The connection still serves calls.
            target.behaviour.stutter_percent = 0
            await stream.send_all(encode_request('y'))
            assert b't-1.2' in await receive_responses(stream, 1)

    run_with_target(test, rng=StutterRng(early_bytes))


@pytest.mark.parametrize('early_bytes', [0, 15])
def test_copy_arrives_before_or_after_the_next_response_but_not_inside(
    early_bytes,
):
    async def test(target, node, connection):
        target.behaviour.stutter_percent = 100
        address = connection._addresses[0]
        async with await trio.open_tcp_stream(*address) as stream:
            await stream.send_all(encode_request('x') + encode_request('y'))
            data = await receive_responses(stream, 4)
        heads = [part for part in data.split(b'HTTP/1.1 200') if part]
        assert len({len(head) for head in heads}) == 1
        assert sorted(b't-1.1' in head for head in heads) == [
            False, False, True, True,
        ]  # fmt: skip

    run_with_target(test, rng=StutterRng(early_bytes))


class BreakOffRng:
    """Has a target send each response and the first bytes of a copy."""

    def __init__(self, kept_bytes):
        self._kept_bytes = kept_bytes
        # Whether a call fails, stutters, starts the copy at once and breaks
        # it off, and the delay.
        self._draws = itertools.cycle((0.9, 0.0, 0.9, 0.0, 0.0))

    def random(self):
        return next(self._draws)

    def randint(self, low, high):
        assert low <= self._kept_bytes <= high
        return self._kept_bytes


@pytest.mark.parametrize('kept_bytes', [1, 13, 40])
def test_next_response_follows_a_copy_that_breaks_off(kept_bytes):
    async def test(target, node, connection):
        target.behaviour.stutter_percent = 100
        target.behaviour.work_s = 0.0
        address = connection._addresses[0]
        async with await trio.open_tcp_stream(*address) as stream:
            await stream.send_all(encode_request('x'))
            first = await receive_responses(stream, 1)
            whole_bytes = first.index(b'\r\n\r\n') + 4 + BODY_BYTES
            first, copy = first[:whole_bytes], first[whole_bytes:]
            while len(copy) < kept_bytes:
                copy += await stream.receive_some(65_536)
            assert copy == first[:kept_bytes]
            await stream.send_all(encode_request('y'))
            second = await receive_responses(stream, 1)
            assert second.startswith(b'HTTP/1.1 200 ')
            assert b't-1.2' in second

    run_with_target(test, rng=BreakOffRng(kept_bytes))


def test_refusal_may_be_sent_twice():
    async def test(target, node, connection):
        target.behaviour.stutter_percent = 100
        address = connection._addresses[0]
        async with await trio.open_tcp_stream(*address) as stream:
            await stream.send_all(b'GET / HTTP/1.1\r\nhost: h\r\n\r\n')
            data = b''
            while data.count(b'Not-Executed: 1') < 2:
                data += await stream.receive_some(65_536)
        assert target.ledger == []

    run_with_target(test, slots=0, rng=StutterRng(0))


def run_with_nested_target(test, nested_handler):
    """Run a test function with a target that makes nested calls.

    :param test: coroutine function of the target and a connection to it
    :param nested_handler: coroutine function that answers the nested calls
    """

    async def outer(target, node, connection):
        async with trio.open_nursery() as nursery:
            server = http_server.Server('127.0.0.1', 0, nested_handler)
            await server.start(nursery)
            target._outbound_address = ('127.0.0.1', server.port)
            await test(target, connection)
            nursery.cancel_scope.cancel()

    run_with_target(outer, nested_path_prefix='/i/')


@pytest.mark.parametrize(
    ('status', 'stamp', 'expected'),
    [(200, 's-1.4', 200), (200, '', 500), (500, 's-1.4', 500)],
)
def test_each_run_makes_its_nested_call_again_with_the_same_id(
    status, stamp, expected
):
    requests = []

    async def handle_nested(request):
        requests.append(request)
        return http_server.Response(
            status,
            mesh_target.expected_body('x.1', stamp),
            (('Pumicestand-Server-Stamp', stamp),) if stamp else (),
        )

    async def test(target, connection):
        for _ in range(2):
            assert (await send_request(connection)).status == expected
        headers = [request.headers for request in requests]
        ids = [h['pumicestand-request-id'] for h in headers]
        assert ids == ['x.1', 'x.1']
        callers = [h['x-caller-run'] for h in headers]
        assert callers == ['t-1.1', 't-1.2']
        received = target.nested_responses
        assert [r.caller for r in received] == callers
        assert {(r.request_id, r.status, r.stamp) for r in received} == {
            ('x.1', status, stamp)
        }

    run_with_nested_target(test, handle_nested)


def test_run_tells_the_run_that_called_it():
    async def test(target, node, connection):
        await send_request(connection, **{'x-caller-run': 'p-1.3'})
        await send_request(connection)
        assert [run.caller for run in target.ledger] == ['p-1.3', '']

    run_with_target(test)
