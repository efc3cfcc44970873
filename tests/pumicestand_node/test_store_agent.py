"""Tests of the agent that reads, watches and writes the store for a node."""

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
    """Yield the agent, the delivered facts, the client and the store."""
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


def delivered_generations(facts):
    return [
        fact.accepted.generation
        for fact in facts
        if isinstance(fact, blackboards.StoreDocument)
    ]


def test_read_delivers_seeds_then_verdicts_then_document():
    async def main():
        async with open_agent() as (agent, facts, client, _):
            await write_document(client, 'first', 1)
            value = json.dumps({'addresses': [['10.0.0.1', 7200]]})
            seeds_key = watching.seeds_key('production', 'r')
            await client.write(seeds_key, value, 0)
            agent.schedule_read(0.1)
            await trio.sleep(1)
            fact_types = [type(fact) for fact in facts]
            assert fact_types == [
                blackboards.StoreSeeds,
                blackboards.StoreVerdicts,
                blackboards.StoreDocument,
            ]
            assert facts[0].addresses == (('10.0.0.1', 7200),)

    mock_clock.run(main)


def test_verdicts_are_read_while_lists_are_stale():
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
            store_verdicts = [
                fact
                for fact in facts
                if isinstance(fact, blackboards.StoreVerdicts)
            ]
            assert store_verdicts[0].verdicts == (verdict,)

    mock_clock.run(main)


# Faults that begin while a watch is running; the next document must arrive.
FAULT_CASES = {
    'none': {},
    'closes': {'watch_closes': 3},
    'expires': {'watch_expires': 2},
    'skips': {'watch_skips': 1},
    'lags': {'watch_lag_s': 3.0},
    'slow': {'slow_s': 0.5},
}


@pytest.mark.parametrize('name', FAULT_CASES)
def test_watch_recovers_from_faults_within_seven_seconds(name):
    async def main():
        async with open_agent() as (agent, facts, client, store):
            version = await write_document(client, 'first', 1)
            agent.start_watch()
            await trio.sleep(7)
            store.faults = store_standin.Faults(**FAULT_CASES[name])
            await write_document(client, 'second', 2, version)
            await trio.sleep(7)
            assert delivered_generations(facts)[-1] == 2

    mock_clock.run(main)


def test_watch_resumes_after_an_outage():
    async def main():
        async with open_agent() as (agent, facts, client, store):
            version = await write_document(client, 'first', 1)
            agent.start_watch()
            await trio.sleep(1)
            store.faults = store_standin.Faults(refusing=True)
            store._notify_watches()
            await trio.sleep(60)
            failures = [
                fact
                for fact in facts
                if isinstance(fact, blackboards.StoreFailed)
            ]
            # Back-off bounds the attempts; without it there is one every few
            # milliseconds.
            assert 10 <= len(failures) <= 60
            store.faults = store_standin.Faults()
            await write_document(client, 'second', 2, version)
            await trio.sleep(6)
            assert delivered_generations(facts)[-1] == 2

    mock_clock.run(main)


def test_lower_rank_does_not_overwrite_a_higher_one():
    async def main():
        async with open_agent() as (agent, _, client, store):
            for rank in (5, 3, 7, 6):
                value = json.dumps({'label': rank})
                agent.schedule_write(
                    actions.WriteStore('moves/m', value, rank)
                )
                await trio.sleep(1)
            stored_data = json.loads((await client.read('moves/m')).value)
            assert stored_data == {'label': 7, 'rank': 7}
            assert store.counters['write'] == 2

    mock_clock.run(main)


def test_write_with_lost_response_is_not_repeated():
    async def main():
        async with open_agent() as (agent, _, client, store):
            store.faults.lost_answers = 1
            agent.schedule_write(actions.WriteStore('moves/m', '{}', 5))
            await trio.sleep(10)
            assert store.counters['write'] == 1
            assert (await client.read('moves/m')).exists

    mock_clock.run(main)


def test_write_is_retried_until_an_outage_ends():
    async def main():
        async with open_agent() as (agent, _, client, store):
            store.faults = store_standin.Faults(down=True)
            agent.schedule_write(actions.WriteStore('moves/m', '{}', 5))
            await trio.sleep(120)
            store.faults = store_standin.Faults()
            await trio.sleep(6)
            assert (await client.read('moves/m')).exists

    mock_clock.run(main)
