"""Tests of the target stand-in, without a network."""

import json
import random

import pytest
import trio
import trio.testing

from pumicestand_standins import http_server
from pumicestand_standins import target as targets


def run_with_target(function, **behaviour):
    clock = trio.testing.MockClock(autojump_threshold=0)

    async def main():
        target = targets.Target(
            'till-1',
            'v1',
            2,
            targets.Behaviour(**behaviour),
            random.Random(1),
            trio.current_time,
        )
        return await function(target)

    return trio.run(main, clock=clock)


def make_request(path='/sales', **headers):
    headers = {'x-request-id': 'a1', **headers}
    return http_server.Request('POST', path, headers, b'one', 3)


def test_call_is_recorded_and_answered_with_its_id():
    async def main(target):
        response = await target.handle(make_request())
        return target.ledger, json.loads(response.body)

    ledger, data = run_with_target(main)
    assert ledger == {'a1': 1}
    assert (data['id'], data['version'], data['bytes']) == ('a1', 'v1', 3)


def test_full_target_refuses_without_recording():
    async def main(target):
        responses = []

        async def send_one():
            responses.append(await target.handle(make_request()))

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(send_one)
        return responses, target

    responses, target = run_with_target(main, latency_s=1.0)
    refused = [r for r in responses if r.status == 503]
    assert len(refused) == 1
    assert refused[0].headers == (('pumicestand-outcome', 'not-run'),)
    assert (target.ledger['a1'], target.shed) == (2, 1)


def test_call_is_abandoned_at_its_deadline():
    async def main(target):
        headers = {'pumicestand-deadline-ms': '500'}
        response = await target.handle(make_request(**headers))
        return response.status, target.past_deadline, trio.current_time()

    status, past_deadline, now = run_with_target(main, latency_s=60.0)
    assert (status, past_deadline) == (504, 1)
    assert now == pytest.approx(0.5)


def test_closing_the_connection_cancels_the_call():
    async def main(target):
        server = http_server.Server('memory', 1, target.handle)
        client, stream = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server._serve_stream, stream)
            await client.send_all(b'GET /a HTTP/1.1\r\nhost: t\r\n\r\n')
            await trio.sleep(1.0)
            assert target.in_flight == 1
            await client.aclose()
        return target

    target = run_with_target(main, latency_s=60.0)
    assert (target.in_flight, target.cancelled) == (0, 1)


# Name to (behaviour, seconds to wait before the call, path, status).
BEHAVIOUR_CASES = {
    'good': ({}, 0, '/sales', 200),
    'fails at once': ({'errors': 1.0}, 0, '/sales', 500),
    'not yet': ({'errors': 1.0, 'after_s': 10.0}, 5, '/sales', 200),
    'later': ({'errors': 1.0, 'after_s': 10.0}, 11, '/sales', 500),
    'under load only': (
        {'errors': 1.0, 'above_load': 0.9},
        0,
        '/sales',
        200,
    ),
    'on another route': (
        {'errors': 1.0, 'only_path': '/passes'},
        0,
        '/sales',
        200,
    ),
    'on this route': (
        {'errors': 1.0, 'only_path': '/sales'},
        0,
        '/sales',
        500,
    ),
}


@pytest.mark.parametrize('name', BEHAVIOUR_CASES)
def test_behaviour_determines_status(name):
    behaviour, wait, path, status = BEHAVIOUR_CASES[name]

    async def main(target):
        await trio.sleep(wait)
        return (await target.handle(make_request(path))).status

    assert run_with_target(main, **behaviour) == status


def test_health_and_load_can_be_false_or_delayed():
    async def fetch(target, path):
        return (await target.handle(make_request(path))).body

    async def main(target):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(target.handle, make_request())
            await trio.sleep(1.0)
            true_load = await fetch(target, '/load')
            target.behaviour.load_lag_s = 5.0
            lagging_load = await fetch(target, '/load')
            target.behaviour.load_lie = 0.1
            false_load = await fetch(target, '/load')
            health = await fetch(target, '/health')
            nursery.cancel_scope.cancel()
        return true_load, lagging_load, false_load, health

    true_load, lagging_load, false_load, health = run_with_target(
        main, latency_s=60.0, health='splendid'
    )
    assert json.loads(true_load) == {'load': 0.5}
    assert json.loads(lagging_load) == {'load': 0.0}
    assert json.loads(false_load) == {'load': 0.1}
    assert health == b'splendid'


def test_crash_path_triggers_crash():
    async def main(target):
        with trio.move_on_after(1.0):
            await target.handle(make_request('/poison'))
        return target.crashed.is_set()

    assert run_with_target(main, crash_path='/poison')


def test_work_after_drain_is_measured():
    async def main(target):
        target.drain()
        await trio.sleep(4.0)
        await target.handle(make_request())
        return target.new_work_after_drain_s

    assert run_with_target(main) == pytest.approx(4.0)
