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
            second = await client.replace(KIND, 'a', {'x': 2}, first.position)
            assert second.position > first.position
            assert second.created_revision == first.created_revision
            third = await client.replace_status(
                KIND, 'a', {'y': 3}, second.position
            )
            assert (third.spec, third.status) == ({'x': 2}, {'y': 3})
            listing = await client.list(KIND)
            assert listing.items == (third,)
            assert listing.position == third.position

    mock_clock.run(main)


def test_write_with_stale_revision_reports_current_one():
    async def main():
        async with open_store() as (client, _, _):
            first = await client.create(KIND, 'a', 1)
            second = await client.replace(KIND, 'a', 2, first.position)
            for attempt in (
                client.create(KIND, 'a', 3),
                client.replace(KIND, 'a', 3, first.position),
                client.replace_status(KIND, 'a', 3, first.position),
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


def make_page(*names):
    items = [
        {'metadata': {'name': name, 'revision': 1}, 'spec': 1}
        for name in names
    ]
    return {'items': items, 'more': True, 'at': 1}


@pytest.mark.parametrize(
    'pages',
    [[('a', 'b')], [('a', 'b'), ('c', 'd')], [('c', 'd'), ('a', 'b')]],
)
def test_list_ends_if_the_store_repeats_its_pages(monkeypatch, pages):
    """It never ended, and its items used up the memory."""
    calls = []

    async def call(self, step, method, path):
        assert len(calls) < 10
        calls.append(path)
        return make_page(*pages[(len(calls) - 1) % len(pages)])

    async def main():
        monkeypatch.setattr(objects.ObjectClient, '_call', call)
        async with open_store() as (client, _, _):
            with pytest.raises(errors.StoreRejectedError) as caught:
                await client.list(KIND)
            assert caught.value.step == 'list'
            assert caught.value.peer == 'store:80'

    mock_clock.run(main)


def test_watch_waits_and_resumes_after_last_revision():
    async def main():
        async with open_store() as (client, store, _):
            at = (await client.list(KIND)).position
            async with trio.open_nursery() as nursery:

                async def write():
                    await trio.sleep(1)
                    store.put('others', 'z', 0)
                    store.put(KIND, 'a', 1)

                nursery.start_soon(write)
                events = await client.watch(KIND, at, 5.0)
            assert [e.object.name for e in events.events] == ['a']
            more = await client.watch(KIND, events.position, 1.0)
            assert more.events == ()

    mock_clock.run(main)


def test_watch_from_dropped_history_expires():
    async def main():
        async with open_store() as (client, store, _):
            at = (await client.list(KIND)).position
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


def test_new_era_is_told_once_and_positions_before_it_are_void():
    async def main():
        async with open_store() as (client, store, _):
            eras = []
            client.on_new_era = lambda *change: eras.append(change)
            stored = await client.create(KIND, 'a', {'x': 1})
            store.take_copy()
            store.put(KIND, 'b', 1)
            store.restore()
            listing = await client.list(KIND)
            assert eras == [(1, 2)]
            assert listing.position > stored.position
            assert [item.name for item in listing.items] == ['a']
            puts = store.counters['PUT']
            for write in (client.replace, client.replace_status):
                with pytest.raises(errors.ConflictError):
                    await write(KIND, 'a', {'x': 2}, stored.position)
            # The revision may be of another object now, so nothing is sent.
            assert store.counters['PUT'] == puts

    mock_clock.run(main)


@pytest.mark.parametrize('revisions_after', [0, 1, 3])
def test_watch_across_a_restore_expires(revisions_after):
    """Also if the revision it waits for has been given out again."""

    async def main():
        async with open_store() as (client, store, _):
            store.put(KIND, 'a', 1)
            store.take_copy()
            store.put(KIND, 'b', 1)
            position = (await client.list(KIND)).position
            store.restore()
            for number in range(revisions_after):
                store.put(KIND, f'c{number}', 1)
            with pytest.raises(errors.WatchExpiredError):
                await client.watch(KIND, position, 1.0)

    mock_clock.run(main)


def test_waiting_watch_ends_when_another_call_shows_a_new_era():
    async def main():
        async with open_store() as (client, store, _):
            position = (await client.list(KIND)).position

            async def hear():
                await trio.sleep(1)
                client.advance_era(2)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(hear)
                started_at = trio.current_time()
                with pytest.raises(errors.WatchExpiredError):
                    await client.watch(KIND, position, 25.0)
                assert trio.current_time() - started_at < 1.1

    mock_clock.run(main)


def test_response_of_an_earlier_era_changes_nothing():
    async def main():
        async with open_store() as (client, store, _):
            store.put(KIND, 'a', 1)
            await client.list(KIND)
            client.advance_era(2)
            with pytest.raises(errors.StoreUnavailableError):
                await client.list(KIND)
            assert client.era == 2

    mock_clock.run(main)


@pytest.mark.parametrize('value', [None, 'x', '-1', ''])
def test_missing_or_unreadable_era_is_the_known_one(value):
    async def main():
        async with open_store() as (client, store, _):
            await client.list(KIND)
            store.era_header = value
            listing = await client.list(KIND)
            assert (listing.position.era, client.era) == (1, 1)

    mock_clock.run(main)


def test_read_returns_one_object_or_none():
    async def main():
        async with open_store() as (client, store, _):
            store.put(KIND, 'a', 1)
            assert (await client.read(KIND, 'a')).spec == 1
            assert await client.read(KIND, 'b') is None

    mock_clock.run(main)


async def fill_pool(client):
    """Leave three connections idle."""
    async with trio.open_nursery() as nursery:
        for number in range(3):
            nursery.start_soon(client.create, KIND, f'{number}', 1)


def test_read_succeeds_although_the_pooled_connections_are_silent():
    async def main():
        async with open_store() as (client, store, backend):
            await fill_pool(client)
            backend.silence()
            for _ in range(2):
                assert (await client.read(KIND, '0')).spec == 1
            assert store.counters['GET'] == 2

    mock_clock.run(main)


def test_write_on_a_silent_connection_is_reported_early_and_not_repeated():
    async def main():
        async with open_store() as (client, store, backend):
            await fill_pool(client)
            backend.silence()
            with (
                pytest.raises(errors.StoreResponseLostError),
                trio.fail_after(objects.LIMITS.reuse_timeout + 0.1),
            ):
                await client.create(KIND, 'a', 1)
            assert store.counters['POST'] == 3

    mock_clock.run(main)


def test_waiting_watch_is_renewed_when_a_read_finds_connections_silent():
    async def main():
        async with open_store() as (client, store, backend):
            await fill_pool(client)
            at = (await client.list(KIND)).position
            async with trio.open_nursery() as nursery:

                async def watch():
                    (event,) = (await client.watch(KIND, at, 5.0)).events
                    assert event.object.name == 'a'

                nursery.start_soon(watch)
                await trio.sleep(1)
                backend.silence()
                store.put(KIND, 'a', 1)
                await client.read(KIND, 'a')
                nursery.cancel_scope.deadline = trio.current_time() + 0.1
            assert not nursery.cancel_scope.cancelled_caught

    mock_clock.run(main)


@pytest.mark.parametrize(
    ('fault', 'value', 'calls'),
    [('slow_s', 0.2, 10), ('slow_s', 0.7, 11), ('silent', True, 11)],
)
def test_slow_or_silent_store_gets_one_more_call_at_most(fault, value, calls):
    async def main():
        async with open_store() as (client, store, _):
            await fill_pool(client)
            setattr(store.faults, fault, value)
            for _ in range(10):
                with contextlib.suppress(errors.StoreUnavailableError):
                    await client.read(KIND, '0')
            assert store.counters['GET'] <= calls

    mock_clock.run(main)
