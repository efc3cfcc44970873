"""Tests of the target stand-in, without a network."""

import json
import random

import pytest
import trio
import trio.testing

from pumicestand_standins import http_server
from pumicestand_standins import target as targets


def run(function, **behaviour):
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


def test_a_call_is_booked_and_answered_with_its_own_id():
    async def main(target):
        reply = await target.handle(make_request())
        return target.ledger, json.loads(reply.body)

    ledger, data = run(main)
    assert ledger == {'a1': 1}
    assert (data['id'], data['version'], data['bytes']) == ('a1', 'v1', 3)


def test_a_full_target_says_not_run_and_books_nothing():
    async def main(target):
        replies = []

        async def one():
            replies.append(await target.handle(make_request()))

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(one)
        return replies, target

    replies, target = run(main, latency_s=1.0)
    refused = [r for r in replies if r.status == 503]
    assert len(refused) == 1
    assert refused[0].headers == (('pumicestand-outcome', 'not-run'),)
    assert (target.ledger['a1'], target.shed) == (2, 1)


def test_a_deadline_is_kept():
    async def main(target):
        headers = {'pumicestand-deadline-ms': '500'}
        reply = await target.handle(make_request(**headers))
        return reply.status, target.past_deadline, trio.current_time()

    status, past, now = run(main, latency_s=60.0)
    assert (status, past) == (504, 1)
    assert now == pytest.approx(0.5)


def test_a_caller_who_leaves_cancels_the_call():
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

    target = run(main, latency_s=60.0)
    assert (target.in_flight, target.cancelled) == (0, 1)


# Each case: the behaviour, seconds to wait first, the path, the status.
BEHAVIOURS = {
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


@pytest.mark.parametrize('name', BEHAVIOURS)
def test_versions_misbehave_as_told(name):
    behaviour, wait, path, status = BEHAVIOURS[name]

    async def main(target):
        await trio.sleep(wait)
        return (await target.handle(make_request(path))).status

    assert run(main, **behaviour) == status


def test_health_and_load_may_lie_and_lag():
    async def shown(target, path):
        return (await target.handle(make_request(path))).body

    async def main(target):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(target.handle, make_request())
            await trio.sleep(1.0)
            truth = await shown(target, '/load')
            target.behaviour.load_lag_s = 5.0
            lag = await shown(target, '/load')
            target.behaviour.load_lie = 0.1
            lie = await shown(target, '/load')
            health = await shown(target, '/health')
            nursery.cancel_scope.cancel()
        return truth, lag, lie, health

    truth, lag, lie, health = run(main, latency_s=60.0, health='splendid')
    assert json.loads(truth) == {'load': 0.5}
    assert json.loads(lag) == {'load': 0.0}
    assert json.loads(lie) == {'load': 0.1}
    assert health == b'splendid'


def test_a_crash_is_asked_for_by_path():
    async def main(target):
        with trio.move_on_after(1.0):
            await target.handle(make_request('/poison'))
        return target.has_crashed.is_set()

    assert run(main, crash_path='/poison')


def test_work_after_the_drain_is_measured():
    async def main(target):
        target.drain()
        await trio.sleep(4.0)
        await target.handle(make_request())
        return target.new_work_after_drain_s

    assert run(main) == pytest.approx(4.0)
