"""Contract tests of the store's client against the stand-in store."""

import contextlib

import pytest
import trio
import trio.testing

from pumicestand import errors
from pumicestand_platform import objects
from pumicestand_standins import http_server
from pumicestand_standins import objects as object_store
from tests import memory_network
from tests import mock_clock

KIND = 'things'


@contextlib.asynccontextmanager
async def open_store(**options):
    """Yield (client, store, backend)."""
    async with trio.open_nursery() as nursery:
        store = object_store.ObjectStore(**options)
        server = http_server.Server('memory', 1, store.handle)
        backend = memory_network.MemoryBackend(nursery, server)
        client = objects.ObjectClient('store', 80, backend)
        await client.start()
        yield client, store, backend
        await client.close()
        nursery.cancel_scope.cancel()


def test_create_replace_and_list():
    async def main():
        async with open_store() as (client, _, _):
            first = await client.create(KIND, 'a', {'x': 1})
            assert (first.name, first.spec) == ('a', {'x': 1})
            second = await client.replace(KIND, 'a', {'x': 2}, first.revision)
            assert second.revision > first.revision
            assert second.created_revision == first.created_revision
            third = await client.replace_status(
                KIND, 'a', {'y': 3}, second.revision
            )
            assert (third.spec, third.status) == ({'x': 2}, {'y': 3})
            listing = await client.list(KIND)
            assert listing.items == (third,)
            assert listing.revision == third.revision

    mock_clock.run(main)


def test_write_with_stale_revision_reports_current_one():
    async def main():
        async with open_store() as (client, _, _):
            first = await client.create(KIND, 'a', 1)
            second = await client.replace(KIND, 'a', 2, first.revision)
            for attempt in (
                client.create(KIND, 'a', 3),
                client.replace(KIND, 'a', 3, first.revision),
                client.replace_status(KIND, 'a', 3, first.revision),
            ):
                with pytest.raises(errors.ConflictError) as caught:
                    await attempt
                assert caught.value.current_version == second.revision

    mock_clock.run(main)


def test_long_list_is_read_in_pages():
    async def main():
        async with open_store(page_items=3) as (client, store, _):
            for number in range(8):
                store.put(KIND, f'n{number}', number)
            listing = await client.list(KIND)
            assert [item.spec for item in listing.items] == list(range(8))
            assert store.counters['GET'] == 3

    mock_clock.run(main)


def test_watch_waits_and_resumes_after_last_revision():
    async def main():
        async with open_store() as (client, store, _):
            at = (await client.list(KIND)).revision
            async with trio.open_nursery() as nursery:

                async def write():
                    await trio.sleep(1)
                    store.put('others', 'z', 0)
                    store.put(KIND, 'a', 1)

                nursery.start_soon(write)
                events = await client.watch(KIND, at, 5.0)
            assert [e.object.name for e in events.events] == ['a']
            more = await client.watch(KIND, events.revision, 1.0)
            assert more.events == ()

    mock_clock.run(main)


def test_watch_from_dropped_history_expires():
    async def main():
        async with open_store() as (client, store, _):
            at = (await client.list(KIND)).revision
            store.put(KIND, 'a', 1)
            store.forget_history()
            with pytest.raises(errors.WatchExpiredError):
                await client.watch(KIND, at, 1.0)

    mock_clock.run(main)


@pytest.mark.parametrize(
    'fault', ['down', 'busy', 'reset', 'silent', 'slow', 'spoilt', 'refused']
)
def test_read_fails_as_unavailable_under_each_fault(fault):
    async def main():
        async with open_store() as (client, store, backend):
            match fault:
                case 'refused':
                    backend.refuses = True
                case 'slow':
                    store.faults.slow_s = 5.0
                case 'spoilt':
                    store.faults.spoilt = 1
                case _:
                    setattr(store.faults, fault, True)
            with pytest.raises(errors.StoreUnavailableError) as caught:
                await client.list(KIND)
            assert caught.value.step == 'list'
            assert caught.value.peer == 'store:80'

    mock_clock.run(main)


@pytest.mark.parametrize('fault', ['lost_writes', 'reset', 'silent'])
def test_write_without_answer_is_reported_as_answer_lost(fault):
    async def main():
        async with open_store() as (client, store, _):
            setattr(store.faults, fault, 1)
            with pytest.raises(errors.StoreResponseLostError):
                await client.create(KIND, 'a', 1)

    mock_clock.run(main)


def test_malformed_answer_is_rejected():
    async def main():
        async with open_store() as (client, store, _):
            store.put(KIND, 'a', 1)
            del store.get(KIND, 'a')['metadata']['revision']
            with pytest.raises(errors.StoreRejectedError):
                await client.list(KIND)

    mock_clock.run(main)
