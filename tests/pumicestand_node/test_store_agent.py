"""Tests of the agent that watches and writes the store for a node."""

import contextlib
import json
import random

import pytest
import trio

from pumicestand import actions
from pumicestand import blackboard as blackboards
from pumicestand import messages
from pumicestand import records
from pumicestand import verdicts
from pumicestand import watching
from pumicestand_node import store_agent
from pumicestand_standins import store as store_standin
from tests import fakes
from tests import mock_clock
from tests.pumicestand import test_readers
from tests.pumicestand import test_stores

KEY = watching.document_key('production')


@contextlib.asynccontextmanager
async def open_agent():
    """Yield (agent, facts, client, store)."""
    async with test_stores.open_store() as (client, store, _):
        facts = []
        agent = store_agent.StoreAgent(
            client, 'production', facts.append, random.Random(1)
        )
        async with trio.open_nursery() as nursery:
            await agent.start(nursery)
            yield agent, facts, client, store
            nursery.cancel_scope.cancel()


def write_document(client, label, generation, version=0):
    content, digest = fakes.make_content(label)
    record = records.DocumentRecord(
        generation, label, digest, generation - 1, '', content.decode()
    )
    return client.write(KEY, records.to_json(record), version)


def generations(facts):
    return [
        fact.accepted.generation
        for fact in facts
        if isinstance(fact, blackboards.StoreDocument)
    ]


def test_a_start_reads_seeds_verdicts_and_document():
    async def main():
        async with open_agent() as (agent, facts, client, _):
            await write_document(client, 'first', 1)
            value = json.dumps({'addresses': [['10.0.0.1', 7200]]})
            key = watching.seeds_key('production', 'r')
            await client.write(key, value, 0)
            agent.schedule_read(0.1)
            await trio.sleep(1)
            kinds = [type(fact) for fact in facts]
            assert kinds == [
                blackboards.StoreSeeds,
                blackboards.StoreVerdicts,
                blackboards.StoreDocument,
            ]
            assert facts[0].addresses == (('10.0.0.1', 7200),)

    mock_clock.run(main)


def test_verdicts_are_read_even_while_lists_are_stale():
    async def main():
        async with open_agent() as (agent, facts, client, store):
            document, content = test_readers.readers.read_yaml(
                test_readers.VALID_DOCUMENT
            )
            record = records.DocumentRecord(
                1, 'a', 'd', 0, '', content.decode()
            )
            await client.write(KEY, records.to_json(record), 0)
            verdict = messages.MoveVerdict(
                document.moves[0].identity,
                messages.STAGE_TAKEN_BACK,
                'bad',
                1.0,
                'n',
            )
            store.faults = store_standin.Faults(stale_lists=True)
            agent.schedule_write(
                verdicts.make_write_action('production', verdict)
            )
            await trio.sleep(1)
            agent.schedule_read(0.0)
            await trio.sleep(1)
            found = [
                fact
                for fact in facts
                if isinstance(fact, blackboards.StoreVerdicts)
            ]
            assert found[0].verdicts == (verdict,)

    mock_clock.run(main)


# Each fault strikes a running watch; the next document must arrive.
FAULTS = {
    'none': {},
    'closes': {'watch_closes': 3},
    'expires': {'watch_expires': 2},
    'skips': {'watch_skips': 1},
    'lags': {'watch_lag_s': 3.0},
    'slow': {'slow_s': 0.5},
}


@pytest.mark.parametrize('name', FAULTS)
def test_a_watch_recovers_from_each_fault_within_seven_seconds(name):
    async def main():
        async with open_agent() as (agent, facts, client, store):
            version = await write_document(client, 'first', 1)
            agent.start_watch()
            await trio.sleep(7)
            store.faults = store_standin.Faults(**FAULTS[name])
            await write_document(client, 'second', 2, version)
            await trio.sleep(7)
            assert generations(facts)[-1] == 2

    mock_clock.run(main)


def test_a_watch_outlives_an_outage():
    async def main():
        async with open_agent() as (agent, facts, client, store):
            version = await write_document(client, 'first', 1)
            agent.start_watch()
            await trio.sleep(1)
            store.faults = store_standin.Faults(refusing=True)
            store._notify_watches()
            await trio.sleep(60)
            failed = [
                fact
                for fact in facts
                if isinstance(fact, blackboards.StoreFailed)
            ]
            # Bounded by back-off: not a call each few milliseconds.
            assert 10 <= len(failed) <= 60
            store.faults = store_standin.Faults()
            await write_document(client, 'second', 2, version)
            await trio.sleep(6)
            assert generations(facts)[-1] == 2

    mock_clock.run(main)


def test_a_lower_rank_never_overwrites_a_higher_one():
    async def main():
        async with open_agent() as (agent, _, client, store):
            for rank in (5, 3, 7, 6):
                value = json.dumps({'label': rank})
                agent.schedule_write(
                    actions.WriteStore('moves/m', value, rank)
                )
                await trio.sleep(1)
            held = json.loads((await client.read('moves/m')).value)
            assert held == {'label': 7, 'rank': 7}
            assert store.counters['write'] == 2

    mock_clock.run(main)


def test_a_write_whose_answer_is_lost_is_not_repeated():
    async def main():
        async with open_agent() as (agent, _, client, store):
            store.faults.lost_answers = 1
            agent.schedule_write(actions.WriteStore('moves/m', '{}', 5))
            await trio.sleep(10)
            assert store.counters['write'] == 1
            assert (await client.read('moves/m')).exists

    mock_clock.run(main)


def test_a_write_waits_for_the_end_of_an_outage():
    async def main():
        async with open_agent() as (agent, _, client, store):
            store.faults = store_standin.Faults(down=True)
            agent.schedule_write(actions.WriteStore('moves/m', '{}', 5))
            await trio.sleep(120)
            store.faults = store_standin.Faults()
            await trio.sleep(6)
            assert (await client.read('moves/m')).exists

    mock_clock.run(main)
