"""Tests of the stand-in for a target on the platform."""

import json

import pytest
import trio

from pumicestand_standins import http_client
from pumicestand_standins import http_server
from pumicestand_standins import mesh_target


class Node:
    """Takes the target's heartbeats, as its node does."""

    def __init__(self):
        self.said = []
        self.acknowledges = True

    async def handle(self, request):
        self.said.append((request.path, json.loads(request.body)))
        return http_server.json_response({}, 200 if self.acknowledges else 503)


def play(test, **options):
    """Run a test with a target and its node on loopback."""

    async def main():
        async with trio.open_nursery() as nursery:
            node = Node()
            server = http_server.Server('127.0.0.1', 0, node.handle)
            await server.start(nursery)
            probe = http_server.Server('127.0.0.1', 0, node.handle)
            await probe.start(nursery)
            address = ('127.0.0.1', probe.port)
            await probe.close()
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


def ask(connection, identity='x', **headers):
    return connection.call(
        'GET', '/', {'pumicestand-request-id': identity, **headers}
    )


def test_it_announces_itself_and_keeps_a_ledger():
    async def test(target, node, connection):
        answer = await ask(connection)
        assert answer.status == 200
        assert answer.body == mesh_target.expected_body('x')
        assert [run.request_id for run in target.ledger] == ['x']
        while not node.said:
            await trio.sleep(0.01)
        path, body = node.said[0]
        assert path == '/instances/t-1/heartbeat'
        assert body['status'] == {
            'state': 'ready', 'sequence': 1, 'cold_left_s': 0,
        }  # fmt: skip

    play(test)


def test_a_request_for_another_instance_is_not_run():
    async def test(target, node, connection):
        headers = {'pumicestand-expect-instance': 'other'}
        answer = await ask(connection, **headers)
        assert answer.status == 421
        assert 'pumicestand-not-executed' in answer.headers
        assert target.ledger == []

    play(test)


def test_above_its_slots_it_refuses():
    async def test(target, node, connection):
        assert (await ask(connection)).status == 503
        assert target.ledger == []

    play(test, slots=0)


@pytest.mark.parametrize(
    ('name', 'status'), [('loses', 0), ('spoils', 0), ('fails', 500)]
)
def test_each_fault_of_an_answer_is_a_run(name, status):
    async def test(target, node, connection):
        setattr(target.behaviour, name, 1)
        assert (await ask(connection)).status == status
        assert [run.request_id for run in target.ledger] == ['x']

    play(test)


def test_a_departure_counts_once_it_is_acknowledged():
    async def test(target, node, connection):
        node.acknowledges = False
        await target.leave(0.0)
        assert target.departures == []
        assert not target.is_running

    play(test)


def test_each_start_is_another_instance():
    async def test(target, node, connection):
        await target.leave(0.0)
        assert [d.instance for d in target.departures] == ['t-1']
        assert node.said[-1][0] == '/instances/t-1/deregister'
        async with trio.open_nursery() as nursery:
            await target.start(nursery)
            assert target.instance == 't-2'
            nursery.cancel_scope.cancel()

    play(test)
