"""Tests of the faults that a seed draws, and of the proxy."""

import random

import pytest
import trio

from soak import faults
from soak import proxies
from soak import records


def draw(seed, seconds=25.0, size=6):
    return faults.draw(random.Random(seed), seconds, size)


def test_a_seed_decides_all():
    assert draw(3) == draw(3)
    assert draw(3) != draw(4)


@pytest.mark.parametrize('seed', range(20))
def test_the_last_seconds_are_calm(seed):
    for planned in draw(seed):
        assert planned.at + planned.lasts <= 25.0 - faults.CALM_S
        assert 0 <= planned.node < 6


def test_every_fault_comes_in_a_few_dozen_seeds():
    drawn = {p.fault for seed in range(50) for p in draw(seed)}
    assert drawn == set(records.Fault)


def echo_through(test):
    """Run a test with a proxy before a server that repeats all."""

    async def echo(stream):
        async for data in stream:
            await stream.send_all(data)

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
            nursery.start_soon(trio.serve_listeners, echo, listeners)
            far = listeners[0].socket.getsockname()
            probe = trio.socket.socket()
            await probe.bind(('127.0.0.1', 0))
            near = probe.getsockname()
            probe.close()
            proxy = proxies.Proxy(near, far)
            await proxy.start(nursery)
            stream = await trio.open_tcp_stream(*near)
            await test(proxy, stream)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_proxy_passes_on_what_it_gets():
    async def test(proxy, stream):
        await stream.send_all(b'x')
        assert await stream.receive_some(10) == b'x'

    echo_through(test)


@pytest.mark.parametrize('name', ['is_silent', 'is_deaf'])
def test_a_silent_way_passes_nothing_until_it_is_well(name):
    async def test(proxy, stream):
        setattr(proxy.spoiling, name, True)
        await stream.send_all(b'x')
        answer = b''
        with trio.move_on_after(0.2):
            answer = await stream.receive_some(10)
        assert answer == b''
        setattr(proxy.spoiling, name, False)
        assert await stream.receive_some(10) == b'x'

    echo_through(test)


def test_a_reset_ends_all_connections():
    async def test(proxy, stream):
        await stream.send_all(b'x')
        await stream.receive_some(10)
        proxy.reset()
        try:
            assert await stream.receive_some(10) == b''
        except trio.BrokenResourceError:
            pass

    echo_through(test)
