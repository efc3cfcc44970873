"""Tests of the stand-in for a target of the mesh."""

import json

import pytest
import trio

from pumicestand_standins import http_client
from pumicestand_standins import http_server
from pumicestand_standins import mesh_target


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
        assert response.body == mesh_target.expected_body('x')
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
