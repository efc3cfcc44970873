"""Tests of changing the accepted document, also by several operators."""

import json

import pytest
import trio

from pumicestand import documents
from pumicestand import errors
from pumicestand import messages
from pumicestand import readers
from pumicestand import verdicts
from pumicestand import watching
from pumicestand_standins import store as store_standin
from pumicestandctl import editing
from tests import fakes
from tests import mock_clock
from tests.pumicestand import test_readers
from tests.pumicestand import test_stores

NOW = fakes.EPOCH
FIRST, FIRST_DIGEST = fakes.make_content('first')
SECOND, _ = fakes.make_content('second')


def write(client, content, change_id, **options):
    return editing.write_document(
        client, 'trial', content, change_id=change_id, now=NOW, **options
    )


def test_each_change_increments_generation():
    async def main():
        async with test_stores.open_store() as (client, _, _):
            first = await write(client, FIRST, 'a')
            assert (first.generation, first.is_new) == (1, True)
            again = await write(client, FIRST, 'b')
            assert (again.generation, again.is_new) == (1, False)
            second = await write(client, SECOND, 'c', expected=1)
            assert second.generation == 2
            record, _ = await editing.read_accepted(client, 'trial')
            assert record.previous == 1
            assert record.digest == documents.content_digest(SECOND)

    mock_clock.run(main)


def test_conflict_reports_accepted_generation():
    async def main():
        async with test_stores.open_store() as (client, _, _):
            await write(client, FIRST, 'a')
            with pytest.raises(errors.ConflictError) as caught:
                await write(client, SECOND, 'b', expected=0)
            assert caught.value.current_version == 1
            assert 'change a' in caught.value.message

    mock_clock.run(main)


def test_one_of_two_concurrent_writes_gets_conflict():
    async def main():
        async with test_stores.open_store() as (client, store, _):
            store.faults = store_standin.Faults(slow_s=0.1)
            outcomes = []

            async def apply(content, change_id):
                try:
                    change = await write(client, content, change_id)
                    outcomes.append(('applied', change.generation))
                except errors.ConflictError as error:
                    outcomes.append(('conflict', error.current_version))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(apply, FIRST, 'a')
                nursery.start_soon(apply, SECOND, 'b')
            assert sorted(outcomes) == [('applied', 1), ('conflict', 1)]

    mock_clock.run(main)


@pytest.mark.parametrize('reads_fail', [False, True])
def test_write_with_lost_answer_is_confirmed_by_reading(reads_fail):
    async def main():
        async with test_stores.open_store() as (client, store, backend):
            store.faults.lost_answers = 1

            async def outage():
                while not store.objects:
                    await trio.sleep(0.01)
                store.faults.down = reads_fail
                await trio.sleep(1.0)
                store.faults.down = False

            async with trio.open_nursery() as nursery:
                nursery.start_soon(outage)
                change = await write(client, FIRST, 'a')
            assert change.generation == 1
            assert store.counters['write'] == 1

    mock_clock.run(main)


def test_write_without_effect_is_not_repeated():
    async def main():
        async with test_stores.open_store() as (client, store, _):

            async def outage():
                while store.counters['write'] == 0:
                    await trio.sleep(0.01)
                store.faults.hanging = True
                await trio.sleep(2.5)
                store.faults.hanging = False

            store.faults.slow_s = 0.05
            async with trio.open_nursery() as nursery:
                nursery.start_soon(outage)
                with pytest.raises(errors.StoreUnavailableError) as caught:
                    await write(client, FIRST, 'a')
            assert 'did not take effect' in caught.value.message
            assert store.counters['write'] == 1
            assert store.objects == {}

    mock_clock.run(main)


def test_lost_answer_and_concurrent_write_give_conflict():
    async def main():
        async with test_stores.open_store() as (client, store, _):
            await write(client, FIRST, 'a')
            store.faults.refusing = False
            held, version = await editing.read_accepted(client, 'trial')
            # Another operator writes; this operator's write gets no answer.
            await write(client, SECOND, 'other')
            error = errors.StoreResponseLostError(
                'lost', step='write', peer='s'
            )
            record = editing.records.DocumentRecord(
                2, 'mine', 'd', 1, '', '{}'
            )
            with pytest.raises(errors.ConflictError) as caught:
                await editing._confirm_write(client, 'trial', record, error)
            assert caught.value.current_version == 2

    mock_clock.run(main)


def report_in_force(client, digest):
    value = json.dumps({'generation': 1, 'digest': digest})
    return client.write(watching.status_key('trial'), value, 0)


def promote(client, **options):
    return editing.promote(
        client, 'trial', 'production', change_id='p', now=NOW, **options
    )


def test_promote_requires_document_in_force_on_trial():
    async def main():
        async with test_stores.open_store() as (client, store, _):
            with pytest.raises(errors.PumicestandError) as caught:
                await promote(client)
            assert caught.value.code == errors.Code.NOT_IN_FORCE_ON_TRIAL
            await write(client, FIRST, 'a')
            with pytest.raises(errors.PumicestandError) as caught:
                await promote(client)
            assert 'generation 1' in caught.value.message
            assert watching.document_key('production') not in store.objects
            await report_in_force(client, FIRST_DIGEST)
            change = await promote(client)
            assert change.environment == 'production'
            record, _ = await editing.read_accepted(client, 'production')
            assert record.origin == 'trial/1'
            with pytest.raises(errors.PumicestandError):
                await promote(client, digest='ff' * 32)

    mock_clock.run(main)


def test_move_taken_back_on_trial_is_not_promoted():
    async def main():
        async with test_stores.open_store() as (client, _, _):
            document, content = readers.read_yaml(test_readers.VALID_DOCUMENT)
            move = document.moves[0]
            await editing.write_document(
                client, 'trial', content, change_id='a', now=move.start - 60
            )
            await report_in_force(client, documents.content_digest(content))
            verdict = messages.MoveVerdict(
                move.identity, messages.STAGE_TAKEN_BACK, 'bad', NOW, 'n'
            )
            action = verdicts.make_write_action('trial', verdict)
            await client.write(action.key, action.value, 0)
            with pytest.raises(errors.PumicestandError) as caught:
                await promote(client)
            assert caught.value.code == errors.Code.MOVE_TAKEN_BACK

    mock_clock.run(main)


def test_new_move_without_enough_time_is_refused():
    async def main():
        async with test_stores.open_store() as (client, store, _):
            document, content = readers.read_yaml(test_readers.VALID_DOCUMENT)
            late = document.moves[0].deadline - 5
            with pytest.raises(errors.PumicestandError) as caught:
                await editing.write_document(
                    client, 'trial', content, change_id='a', now=late
                )
            assert caught.value.code == errors.Code.DOCUMENT_MOVE_TIME
            assert store.objects == {}

    mock_clock.run(main)
