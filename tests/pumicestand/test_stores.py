"""Contract tests of the store client against the store stand-in.

They cover the normal protocol and each fault that the stand-in can inject.
"""

import contextlib

import pytest
import trio
import trio.testing

from pumicestand import errors
from pumicestand import stores
from pumicestand_standins import http_server
from pumicestand_standins import store as store_standin
from tests import memory_network
from tests import mock_clock

KEY = 'documents/production'


@contextlib.asynccontextmanager
async def open_store(**options):
    """Yield (client, store, network backend).

    :param options: passed to the `Store` of the stand-ins
    """
    async with trio.open_nursery() as nursery:
        store = store_standin.Store(trio.current_time, **options)
        server = http_server.Server('memory', 1, store.handle)
        backend = memory_network.MemoryBackend(nursery, server)
        client = stores.StoreClient('http://store', backend)
        await client.start()
        yield client, store, backend
        await client.close()
        nursery.cancel_scope.cancel()


def test_write_succeeds_only_with_the_current_version():
    async def main():
        async with open_store() as (client, store, _):
            assert not (await client.read(KEY)).exists
            first = await client.write(KEY, 'one', 0)
            stored = await client.read(KEY)
            assert (stored.version, stored.value) == (first, 'one')
            second = await client.write(KEY, 'two', first)
            with pytest.raises(errors.ConflictError) as caught:
                await client.write(KEY, 'three', first)
            assert caught.value.current_version == second
            assert (await client.read(KEY)).value == 'two'
            listed = await client.list('documents/')
            assert [item.key for item in listed] == [KEY]
            assert store.counters == {'read': 3, 'write': 3, 'list': 1}

    mock_clock.run(main)


def test_watch_waits_for_a_newer_version_in_one_call():
    async def main():
        async with open_store() as (client, store, _):
            version = await client.write(KEY, 'one', 0)
            assert await client.watch(KEY, version, seconds=5) is None
            received = []

            async def watch():
                received.append(await client.watch(KEY, version, seconds=5))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                await trio.sleep(1)
                await client.write(KEY, 'two', version)
            assert received[0].value == 'two'
            assert store.counters['watch'] == 2

    mock_clock.run(main)


# Each case: the faults, the call and the error that the client raises, None
# if the call succeeds.
FAULTS = {
    'down, read': ({'down': True}, 'read', errors.StoreUnavailableError),
    'down, write': ({'down': True}, 'write', errors.StoreUnavailableError),
    'down, list': ({'down': True}, 'list', errors.StoreUnavailableError),
    'refusing, read': (
        {'refusing': True},
        'read',
        errors.StoreUnavailableError,
    ),
    'refusing, write': (
        {'refusing': True},
        'write',
        errors.StoreResponseLostError,
    ),
    'hanging, read': ({'hanging': True}, 'read', errors.StoreUnavailableError),
    'hanging, write': (
        {'hanging': True},
        'write',
        errors.StoreResponseLostError,
    ),
    'hanging, watch': (
        {'hanging': True},
        'watch',
        errors.StoreUnavailableError,
    ),
    'too slow, read': ({'slow_s': 9.0}, 'read', errors.StoreUnavailableError),
    'slow, read': ({'slow_s': 1.0}, 'read', None),
    'answer lost, write': (
        {'lost_answers': 1},
        'write',
        errors.StoreResponseLostError,
    ),
    'watch closes': (
        {'watch_closes': 1},
        'watch',
        errors.StoreUnavailableError,
    ),
    'watch expires': ({'watch_expires': 1}, 'watch', errors.WatchExpiredError),
}


@pytest.mark.parametrize('name', FAULTS)
def test_each_fault_raises_the_matching_error(name):
    faults, call, expected = FAULTS[name]

    async def main():
        async with open_store() as (client, store, _):
            version = await client.write(KEY, 'one', 0)
            store.faults = store_standin.Faults(**faults)
            calls = {
                'read': lambda: client.read(KEY),
                'write': lambda: client.write(KEY, 'two', version),
                'list': lambda: client.list('documents/'),
                'watch': lambda: client.watch(KEY, version, seconds=5),
            }
            if expected is None:
                await calls[call]()
                return
            with pytest.raises(expected) as caught:
                await calls[call]()
            assert caught.value.step == call
            assert caught.value.peer == 'http://store'

    mock_clock.run(main)


def test_refused_connection_is_reported_as_not_written():
    async def main():
        async with open_store() as (client, _, backend):
            backend.refuses = True
            with pytest.raises(errors.StoreUnavailableError):
                await client.write(KEY, 'one', 0)

    mock_clock.run(main)


def test_write_takes_effect_although_its_response_is_lost():
    async def main():
        async with open_store() as (client, store, _):
            store.faults.lost_answers = 1
            with pytest.raises(errors.StoreResponseLostError):
                await client.write(KEY, 'one', 0)
            assert (await client.read(KEY)).value == 'one'

    mock_clock.run(main)


def test_watch_may_lag_and_skip_versions_but_reads_are_current():
    async def main():
        async with open_store() as (client, store, _):
            version = await client.write(KEY, 'one', 0)
            store.faults = store_standin.Faults(watch_skips=1)
            await client.write(KEY, 'two', version)
            assert await client.watch(KEY, version, seconds=5) is None
            assert (await client.read(KEY)).value == 'two'
            store.faults = store_standin.Faults(watch_lag_s=3.0)
            version = (await client.read(KEY)).version
            await client.write(KEY, 'three', version)
            started_at = trio.current_time()
            stored = await client.watch(KEY, version, seconds=5)
            assert stored.value == 'three'
            assert trio.current_time() - started_at >= 3.0

    mock_clock.run(main)


def test_list_may_be_stale():
    async def main():
        async with open_store() as (client, store, _):
            version = await client.write(KEY, 'one', 0)
            store.faults = store_standin.Faults(stale_lists=True)
            await client.write(KEY, 'two', version)
            listed = await client.list('documents/')
            assert [item.value for item in listed] == ['one']

    mock_clock.run(main)


def test_store_limits_the_value_size_and_the_read_rate():
    async def main():
        async with open_store(reads_per_s=3) as (client, _, _):
            with pytest.raises(errors.StoreRejectedError):
                await client.write(KEY, 'x' * 1_000_001, 0)
            for _ in range(3):
                await client.read(KEY)
            with pytest.raises(errors.StoreUnavailableError):
                await client.read(KEY)
            await trio.sleep(1)
            await client.read(KEY)

    mock_clock.run(main)
