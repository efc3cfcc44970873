"""Tests of a node's use of the store, under faults of the stand-in store."""

import contextlib
import dataclasses
import json
import random
import zlib

import pytest
import trio
import trio.testing

from pumicestand import decision_log
from pumicestand import freshness
from pumicestand import hop
from pumicestand import hop_messages
from pumicestand import node_records
from pumicestand import rollouts
from pumicestand import targets
from pumicestand import zone_roles
from pumicestand_node import mesh_records
from pumicestand_node import mesh_store
from pumicestand_platform import configuration
from pumicestand_platform import objects
from tests import mock_clock
from tests.pumicestand import mesh_fakes
from tests.pumicestand_platform import test_configuration
from tests.pumicestand_platform import test_objects

State = hop_messages.RolloutState
# Time after a disruption from which a node must act on the newest
# configuration again, in seconds.
STABLE_WINDOW_S = 3.0


class Node:
    """The state of one node and its `mesh_store.MeshStore`."""

    def __init__(
        self, client, name, seed=1, is_first_start=True, evacuation=0.0
    ):
        self.mesh = mesh_fakes.make_mesh(name, seed, evacuation=evacuation)
        self.records = []
        self.change_count = 0
        self.mesh_store = mesh_store.MeshStore(
            self.mesh,
            client,
            configuration.Translator(),
            trio.current_time,
            random.Random(seed),
            self.add_records,
            lambda: None,
            self.count_change,
            is_first_start,
        )

    def add_records(self, records):
        self.records.extend(records)
        for record in records:
            self.mesh.fleet.add_record(record, trio.current_time())

    def count_change(self):
        self.change_count += 1


@contextlib.asynccontextmanager
async def open_nodes(*names, version='0000001f', evacuation=0.0):
    """Yield (nodes, store) after storing a configuration."""
    async with test_objects.open_store() as (_, store, backend):
        spec = {**test_configuration.SPEC, 'version': version}
        store.put('config', 'main', spec)
        async with trio.open_nursery() as nursery:
            # Each node has its own connections; its watches occupy two.
            nodes = [
                Node(
                    objects.ObjectClient('store', 80, backend),
                    name,
                    evacuation=evacuation,
                )
                for name in names
            ]
            for node in nodes:
                target = mesh_fakes.make_target(node.mesh.identity.name)
                node.mesh.target_watch.restore(target)
                await node.mesh_store.start(nursery)
            yield nodes, store
            nursery.cancel_scope.cancel()
        for node in nodes:
            await node.mesh_store.close()


def make_client(nursery, store):
    """Return another client of a store, which is not started."""
    server = test_objects.http_server.Server('memory', 1, store.handle)
    return test_objects.objects.ObjectClient(
        'store',
        80,
        test_objects.memory_network.MemoryBackend(nursery, server),
    )


def put_configuration(store, version):
    spec = {**test_configuration.SPEC, 'version': version}
    store.put('config', 'main', spec)


def put_order(store, version='v2'):
    spec = {'service': 's', 'target_version': version, 'duration_s': 12}
    store.put('rollouts', 's', spec)


def test_nodes_started_together_find_each_other():
    async def main():
        async with open_nodes('a', 'b', 'c') as (nodes, _):
            await trio.sleep(1)
            for node in nodes:
                others = {'a', 'b', 'c'} - {node.mesh.identity.name}
                known = {record.name for record in node.records}
                # Of two nodes, the one that writes later reads the other.
                assert known <= others
            pairs = {
                frozenset((node.mesh.identity.name, record.name))
                for node in nodes
                for record in node.records
            }
            assert len(pairs) == 3

    mock_clock.run(main)


def test_restarted_node_restores_its_target():
    async def main():
        async with test_objects.open_store() as (client, store, _):
            target = mesh_fakes.make_target('t')
            record = node_records.NodeRecord(
                'a', '10.0.0.1', 7000, 'a', target
            )
            store.put(node_records.KIND, 'a', node_records.to_json(record))
            async with trio.open_nursery() as nursery:
                node = Node(client, 'a', is_first_start=False)
                await node.mesh_store.start(nursery)
                await trio.sleep(1)
                assert node.mesh.target_watch.target == target
                nursery.cancel_scope.cancel()

    mock_clock.run(main)


def test_invalid_node_record_is_ignored():
    async def main():
        async with open_nodes('a') as (_, store):
            store.put(node_records.KIND, 'x', {'name': 7})
            async with trio.open_nursery() as nursery:
                node = Node(make_client(nursery, store), 'b')
                await node.mesh_store.start(nursery)
                await trio.sleep(mesh_records.TARGET_WAIT_S + 0.5)
                assert [record.name for record in node.records] == ['a']
                nursery.cancel_scope.cancel()

    mock_clock.run(main)


def replace_in_responses(client, old, new):
    """Have a client receive other bytes than the store has sent."""
    call = client._calls.call

    async def call_and_replace(*args):
        response = await call(*args)
        content = response.content.replace(old, new)
        return dataclasses.replace(response, content=content)

    client._calls.call = call_and_replace


@pytest.mark.parametrize(
    'odd',
    [
        b'[' * 5000 + b']' * 5000,
        b'9' * 5000,
        b'"\xff"',
        b'"\\ud800"',
        b'-1e400',
    ],
    ids=lambda odd: repr(odd)[:12],
)
@pytest.mark.parametrize('field', ['host', 'port', 'target', 'unknown'])
def test_odd_entry_in_a_page_does_not_hide_the_others(field, odd):
    """Nodes that read the list could not join the fleet any more."""

    async def main():
        async with test_objects.open_store() as (client, store, _):
            put_configuration(store, '0000001f')
            for name in ('b', 'c', 'd'):
                record = node_records.NodeRecord(name, '10.0.0.9', 7000, 'a')
                spec = node_records.to_json(record)
                if name == 'c':
                    spec[field] = 'odd value'
                store.put(node_records.KIND, name, spec)
            replace_in_responses(client, b'"odd value"', odd)
            async with trio.open_nursery() as nursery:
                node = Node(client, 'a', is_first_start=False)
                await node.mesh_store.start(nursery)
                await trio.sleep(mesh_records.TARGET_WAIT_S + 1)
                names = {record.name for record in node.records}
                assert {'b', 'd'} <= names
                assert node.mesh.generation == 0x1F
                for record in node.records:
                    hop.encode(
                        hop_messages.Relay(
                            mesh_fakes.make_report(
                                record.name, target=record.target
                            )
                        )
                    )
                nursery.cancel_scope.cancel()

    mock_clock.run(main)


def test_object_without_a_readable_name_is_left_out():
    """Zones that are evacuated are named by objects, and are reported."""

    async def main():
        async with test_objects.open_store(page_items=2) as (client, store, _):
            for name in ('a', '\ud800', 'b', 'c'):
                store.put('things', name, 1)
            listing = await client.list('things')
            assert [item.name for item in listing.items] == ['a', 'b', 'c']

    mock_clock.run(main)


def test_record_under_the_name_of_another_node_is_ignored():
    """It would redirect the links to the other node."""

    async def main():
        async with open_nodes('a') as (_, store):
            impostor = node_records.NodeRecord('a', '10.9.9.9', 1, 'a')
            store.put(node_records.KIND, 'x', node_records.to_json(impostor))
            async with trio.open_nursery() as nursery:
                node = Node(make_client(nursery, store), 'b')
                await node.mesh_store.start(nursery)
                await trio.sleep(mesh_records.TARGET_WAIT_S + 0.5)
                assert {r.host for r in node.records} == {'10.0.0.1'}
                nursery.cancel_scope.cancel()

    mock_clock.run(main)


def test_changed_configuration_is_put_into_force_at_once():
    async def main():
        async with open_nodes('a') as ((node,), store):
            await trio.sleep(1.5)
            assert node.mesh.generation == 0x1F
            put_configuration(store, '00000020')
            await trio.sleep(0.1)
            assert node.mesh.generation == 0x20

    mock_clock.run(main)


@pytest.mark.parametrize(
    'fault', ['down', 'busy', 'reset', 'silent', 'deaf', 'forgotten']
)
def test_change_during_store_fault_is_in_force_soon_after_it(fault):
    async def main():
        async with open_nodes('a') as ((node,), store):
            await trio.sleep(1.5)
            if fault != 'forgotten':
                setattr(store.faults, fault, True)
            await trio.sleep(3)
            put_configuration(store, '00000020')
            if fault in ('deaf', 'forgotten'):
                store.forget_history()
            await trio.sleep(3)
            if fault != 'forgotten':
                setattr(store.faults, fault, False)
            await trio.sleep(2.5)
            assert node.mesh.generation == 0x20
            assert node.mesh.store_reachable

    mock_clock.run(main)


def test_lost_watch_is_logged_with_the_time_of_its_silence():
    async def main():
        async with open_nodes('a') as ((node,), store):
            written = []
            node.mesh.decisions = decision_log.DecisionLog(
                'a', trio.current_time, mesh_fakes.writer_to(written)
            )
            await trio.sleep(1.5)
            store.faults.silent = True
            await trio.sleep(2 * mesh_store.WATCH_TIMEOUT_S + 3)
            node.mesh.decisions.flush()
            lines = [json.loads(line) for line in written[0].splitlines()]
            lost = [line for line in lines if line['event'] == 'watch-lost']
            assert {line['kind'] for line in lost} == {'config', 'rollouts'}
            for line in lost:
                assert line['silent_s'] >= mesh_store.WATCH_TIMEOUT_S

    mock_clock.run(main)


@pytest.mark.parametrize('silent_at', [1.5, 4.0, 6.5, 9.0, 11.4])
def test_change_is_in_force_although_connections_have_gone_silent(silent_at):
    async def main():
        async with test_objects.open_store() as (client, store, backend):
            put_configuration(store, '0000001f')
            async with trio.open_nursery() as nursery:
                node = Node(client, 'a')
                node.mesh.target_watch.restore(mesh_fakes.make_target('a'))
                await node.mesh_store.start(nursery)
                await trio.sleep(silent_at)
                backend.silence()
                put_configuration(store, '00000020')
                await trio.sleep(STABLE_WINDOW_S)
                assert node.mesh.generation == 0x20
                nursery.cancel_scope.cancel()

    mock_clock.run(main)


@contextlib.asynccontextmanager
async def open_silenced_node():
    """Yield (node, store); all open connections have just gone silent."""
    async with test_objects.open_store() as (client, store, backend):
        put_configuration(store, '0000001f')
        put_order(store)
        async with trio.open_nursery() as nursery:
            node = Node(client, 'a')
            node.mesh.target_watch.restore(mesh_fakes.make_target('a'))
            await node.mesh_store.start(nursery)
            await trio.sleep(1.5)
            backend.silence()
            yield node, store
            nursery.cancel_scope.cancel()


def test_lost_watch_is_renewed_at_once_on_a_new_connection():
    """A back-off would tell the other nodes that the store is lost."""

    async def main():
        async with open_silenced_node() as (node, store):
            put_configuration(store, '00000020')
            for _ in range(300):
                await trio.sleep(0.01)
                assert node.mesh.store_reachable
            assert node.mesh.generation == 0x20

    mock_clock.run(main)


def test_silent_connections_do_not_delay_the_record_beyond_its_bound():
    """The acknowledgement of a leaving target waits no longer."""

    async def main():
        async with open_silenced_node() as (node, store):
            target = mesh_fakes.make_target('t', started_ms=2)
            node.mesh.target_watch.apply(targets.Heartbeat(target, 1), 0.0)
            await node.mesh_store.save_own_record()
            record = store.get(node_records.KIND, 'a')['spec']
            assert record['target']['instance'] == 'i-t'
            assert node.mesh.store_reachable

    mock_clock.run(main)


def test_older_configuration_is_not_applied():
    async def main():
        async with open_nodes('a') as ((node,), store):
            await trio.sleep(1)
            put_configuration(store, '00000003')
            await trio.sleep(1)
            assert node.mesh.generation == 0x1F

    mock_clock.run(main)


def test_invalid_configuration_is_ignored():
    async def main():
        async with open_nodes('a') as ((node,), store):
            await trio.sleep(1)
            store.put('config', 'main', {'version': 'x'})
            await trio.sleep(1)
            assert node.mesh.generation == 0x1F

    mock_clock.run(main)


def test_node_reports_that_store_is_unreachable():
    async def main():
        async with open_nodes('a') as ((node,), store):
            await trio.sleep(1)
            change_count = node.change_count
            store.faults.down = True
            await trio.sleep(6)
            assert not node.mesh.store_reachable
            assert node.change_count > change_count

    mock_clock.run(main)


def test_save_of_own_record_does_not_wait_for_unreachable_store():
    async def main():
        async with open_nodes('a') as ((node,), store):
            await trio.sleep(1)
            store.faults.silent = True
            target = mesh_fakes.make_target('t', started_ms=2)
            node.mesh.target_watch.apply(targets.Heartbeat(target, 1), 0.0)
            before = trio.current_time()
            assert not await node.mesh_store.save_own_record()
            waited = trio.current_time() - before
            assert waited <= mesh_records.RECORD_WRITE_TIMEOUT_S
            store.faults.silent = False
            await trio.sleep(4)
            assert await node.mesh_store.save_own_record()
            record = store.get(node_records.KIND, 'a')['spec']
            assert record['target']['instance'] == 'i-t'

    mock_clock.run(main)


def test_record_whose_response_was_lost_is_looked_up_after_a_conflict():
    """Another write would overwrite what the conflict is about."""

    async def main():
        async with open_nodes('a') as ((node,), store):
            await trio.sleep(1)
            writes = store.counters['PUT']
            store.faults.lost_writes = 1
            target = mesh_fakes.make_target('t', started_ms=2)
            node.mesh.target_watch.apply(targets.Heartbeat(target, 1), 0.0)
            await node.mesh_store.save_own_record()
            await trio.sleep(1)
            # The one that was carried out and the one that was refused.
            assert store.counters['PUT'] == writes + 2

    mock_clock.run(main)


@pytest.mark.parametrize('fault', [None, 'lost_writes', 'conflict'])
def test_roll_out_state_is_written_to_store(fault):
    async def main():
        async with open_nodes('a') as ((node,), store):
            put_order(store)
            await trio.sleep(1)
            order, _ = node.mesh.rollouts.order_and_state('s')
            if fault == 'lost_writes':
                store.faults.lost_writes = 1
            if fault == 'conflict':
                store.put('rollouts', 's', status={'note': 'x'})
            action = rollouts.WriteStatus(order, State.RUNNING, '')
            node.mesh_store.write_rollout_status(action)
            await trio.sleep(2)
            order, _ = node.mesh.rollouts.order_and_state('s')
            if order.stored_state is None:
                node.mesh_store.write_rollout_status(
                    rollouts.WriteStatus(order, State.RUNNING, '')
                )
                await trio.sleep(1)
            status = store.get('rollouts', 's')['status']
            assert status == {'state': 'running', 'target_version': 'v2'}
            order, _ = node.mesh.rollouts.order_and_state('s')
            assert order.stored_state is State.RUNNING

    mock_clock.run(main)


def test_only_node_that_reaches_store_is_designated_writer():
    async def main():
        async with open_nodes('a') as ((node,), _):
            await trio.sleep(1)
            assert node.mesh_store.is_designated_writer()
            node.mesh.store_reachable = False
            assert not node.mesh_store.is_designated_writer()

    mock_clock.run(main)


def test_node_on_slow_link_ranks_last():
    async def main():
        async with open_nodes('own') as ((node,), _):
            await trio.sleep(1)
            for number in range(4):
                report = mesh_fakes.make_report(
                    f'narrow-{number}',
                    store_reachable=True,
                    link_rate=zone_roles.MIN_FAST_LINK_BYTES_PER_S - 1,
                )
                node.mesh.fleet.apply_report(report, 0.0)
                node.mesh.fleet.get(report.name).is_linked = True
            assert node.mesh_store.is_designated_writer()
            node.mesh.link_meter.rate = (
                zone_roles.MIN_FAST_LINK_BYTES_PER_S - 1
            )
            fast = mesh_fakes.make_report(
                'wide',
                store_reachable=True,
                link_rate=zone_roles.MIN_FAST_LINK_BYTES_PER_S,
            )
            node.mesh.fleet.apply_report(fast, 0.0)
            node.mesh.fleet.get('wide').is_linked = True
            assert not node.mesh_store.is_designated_writer()

    mock_clock.run(main)


def test_restarted_node_makes_one_call_to_join():
    """Its record is unchanged, so that it need not be written."""

    async def main():
        async with test_objects.open_store() as (client, store, _):
            record = node_records.NodeRecord('a', '10.0.0.1', 7000, 'a')
            store.put(node_records.KIND, 'a', node_records.to_json(record))
            store.put(
                node_records.KIND,
                'b',
                node_records.to_json(
                    node_records.NodeRecord('b', '10.0.0.2', 7000, 'a')
                ),
            )
            async with trio.open_nursery() as nursery:
                node = Node(client, 'a', is_first_start=False)
                await node.mesh_store.start(nursery)
                await trio.sleep(0.5)
                assert [r.name for r in node.records] == ['b']
                # One list of each of the three kinds.
                assert store.counters == {'GET': 3}
                nursery.cancel_scope.cancel()

    mock_clock.run(main)


def test_restarted_node_without_a_record_creates_it():
    async def main():
        async with (
            test_objects.open_store() as (client, store, _),
            trio.open_nursery() as nursery,
        ):
            node = Node(client, 'a', is_first_start=False)
            await node.mesh_store.start(nursery)
            await trio.sleep(mesh_records.TARGET_WAIT_S + 0.5)
            assert store.get(node_records.KIND, 'a') is not None
            nursery.cancel_scope.cancel()

    mock_clock.run(main)


def test_node_without_links_finds_the_nodes_that_came_meanwhile():
    """After a long partition both sides have removed each other."""

    async def main():
        async with open_nodes('a') as ((node,), store):
            await trio.sleep(1)
            assert node.records == []
            record = node_records.NodeRecord('z', '10.0.0.9', 7000, 'a')
            store.put(node_records.KIND, 'z', node_records.to_json(record))
            await trio.sleep(1.6 * mesh_records.SEARCH_PERIOD_S)
            assert {r.name for r in node.records} == {'z'}

    mock_clock.run(main)


RECORD_KIND = node_records.KIND


@pytest.mark.parametrize('with_copy_of_record', [True, False])
def test_own_record_lost_with_the_store_is_written_again(with_copy_of_record):
    async def main():
        async with open_nodes('a') as ((node,), store):
            if not with_copy_of_record:
                store.take_copy()
            await trio.sleep(1.5)
            if with_copy_of_record:
                store.take_copy()
                target = mesh_fakes.make_target('t', started_ms=2)
                node.mesh.target_watch.apply(targets.Heartbeat(target, 1), 0.0)
                await node.mesh_store.save_own_record()
            expected = store.get(RECORD_KIND, 'a')['spec']
            store.restore()
            assert (store.get(RECORD_KIND, 'a') or {}).get('spec') != expected
            # Nothing else changes, so the next watch shows the era.
            await trio.sleep(
                mesh_store.WATCH_TIMEOUT_S
                + mesh_records.ERA_CHECK_SPREAD_S
                + 1
            )
            assert store.get(RECORD_KIND, 'a')['spec'] == expected
            assert node.mesh.store_era == 2

    mock_clock.run(main)


def test_node_that_does_not_watch_hears_of_a_new_era():
    async def main():
        async with open_nodes('a') as ((node,), store):
            store.take_copy()
            await trio.sleep(1.5)
            expected = store.get(RECORD_KIND, 'a')['spec']
            # The watch of this node stays silent, as if it had none.
            store.faults.deaf = True
            store.restore()
            node.mesh_store.hear_era(2)
            await trio.sleep(mesh_records.ERA_CHECK_SPREAD_S + 1)
            assert store.get(RECORD_KIND, 'a')['spec'] == expected

    mock_clock.run(main)


def test_configuration_in_force_survives_an_older_copy():
    async def main():
        async with open_nodes('a') as ((node,), store):
            await trio.sleep(1.5)
            store.take_copy()
            put_configuration(store, '00000020')
            await trio.sleep(0.1)
            store.restore()
            await trio.sleep(1)
            assert node.mesh.generation == 0x20
            put_configuration(store, '00000020')
            put_configuration(store, '00000021')
            await trio.sleep(0.1)
            assert node.mesh.generation == 0x21

    mock_clock.run(main)


@pytest.mark.parametrize('restores', [1, 2])
def test_roll_out_state_lost_with_the_store_is_written_again(restores):
    async def main():
        async with open_nodes('a') as ((node,), store):
            put_order(store)
            store.take_copy()
            await trio.sleep(1.5)
            order, _ = node.mesh.rollouts.order_and_state('s')
            verdict = hop_messages.Verdict(
                's', 'v2', State.ROLLED_BACK, 12_000, 0, order.order_id
            )
            node.mesh.rollouts.apply_verdict(verdict, trio.current_time())
            for _ in range(restores):
                await write_pending_states(node)
                status = store.get('rollouts', 's')['status']
                assert status['state'] == 'rolled_back'
                store.restore()
                assert store.get('rollouts', 's')['status'] is None
                await trio.sleep(0.5)
            await write_pending_states(node)
            status = store.get('rollouts', 's')['status']
            assert status['state'] == 'rolled_back'

    async def write_pending_states(node):
        for action in node.mesh.rollouts.evaluate(
            node.mesh.fleet, trio.current_time(), lambda: True
        ):
            node.mesh_store.write_rollout_status(action)
        await trio.sleep(0.5)

    mock_clock.run(main)


def test_starting_node_does_not_act_on_an_older_copy_than_its_peers():
    """It links to a node that has a newer configuration in force."""

    async def main():
        async with test_objects.open_store() as (client, store, _):
            put_configuration(store, '0000001f')
            for name in ('a', 'b'):
                record = node_records.NodeRecord(name, '10.0.0.1', 7000, 'a')
                store.put(RECORD_KIND, name, node_records.to_json(record))
            async with trio.open_nursery() as nursery:
                node = Node(client, 'a', is_first_start=False)
                nursery.start_soon(link_to_peer, node)
                await node.mesh_store.start(nursery)
                generations = set()
                for _ in range(100):
                    await trio.sleep(0.01)
                    generations.add(node.mesh.generation)
                assert generations == {0, 0x30}
                nursery.cancel_scope.cancel()

    async def link_to_peer(node):
        await trio.sleep(0.2)
        report = mesh_fakes.make_report('b', generation=0x30)
        node.mesh.fleet.apply_report(report, trio.current_time())
        node.mesh.fleet.get('b').is_linked = True
        await trio.sleep(0.02)
        spec = {**test_configuration.SPEC, 'version': '00000030'}
        content = zlib.compress(json.dumps(spec).encode())
        node.mesh_store.apply_peer_configuration(
            hop_messages.Configuration(0x30, content), 'b'
        )

    mock_clock.run(main)


def test_starting_node_without_peers_acts_on_the_store():
    async def main():
        async with test_objects.open_store() as (client, store, _):
            put_configuration(store, '0000001f')
            for name in ('a', 'b'):
                record = node_records.NodeRecord(name, '10.0.0.1', 7000, 'a')
                store.put(RECORD_KIND, name, node_records.to_json(record))
            async with trio.open_nursery() as nursery:
                node = Node(client, 'a', is_first_start=False)
                await node.mesh_store.start(nursery)
                await trio.sleep(mesh_store.MAX_HOLD_S + 0.1)
                assert node.mesh.generation == 0x1F
                nursery.cancel_scope.cancel()

    mock_clock.run(main)


def test_read_configuration_is_applied_if_it_is_newer():
    """The watch may be silent although there are changes."""

    async def main():
        async with open_nodes('a') as ((node,), store):
            await trio.sleep(1.5)
            changes = node.change_count
            found = await node.mesh_store.read_configuration()
            assert found == freshness.Found(0x1F, 1)
            assert node.change_count == changes
            store.faults.deaf = True
            put_configuration(store, '00000020')
            found = await node.mesh_store.read_configuration()
            assert found == freshness.Found(0x20, 1)
            assert node.mesh.generation == 0x20
            assert node.change_count == changes + 1

    mock_clock.run(main)


def test_read_of_unusable_configuration_tells_its_generation():
    async def main():
        async with open_nodes('a') as ((node,), store):
            await trio.sleep(1.5)
            store.put('config', 'main', {'version': '00000020'})
            found = await node.mesh_store.read_configuration()
            assert found == freshness.Found(0x20, 1)
            assert node.mesh.generation == 0x1F
            store.put('config', 'main', {'version': 'x'})
            assert await node.mesh_store.read_configuration() is None

    mock_clock.run(main)


@pytest.mark.parametrize(
    'fault', ['down', 'busy', 'reset', 'silent', 'spoilt', 'slow_s']
)
def test_failed_read_of_the_configuration_finds_nothing(fault):
    async def main():
        async with open_nodes('a') as ((node,), store):
            await trio.sleep(1.5)
            setattr(store.faults, fault, 5.0 if fault == 'slow_s' else True)
            assert await node.mesh_store.read_configuration() is None

    mock_clock.run(main)


def test_configuration_that_does_not_exist_is_not_found():
    async def main():
        async with open_nodes('a') as ((node,), store):
            await trio.sleep(1.5)
            del store._objects[('config', 'main')]
            assert await node.mesh_store.read_configuration() is None

    mock_clock.run(main)


# Time after the store's acknowledgement from which a zone that is evacuated
# gets no calls, in seconds.
EVACUATION_S = 5.0


def test_evacuation_and_its_end_take_effect_at_once():
    async def main():
        async with open_nodes('a', evacuation=EVACUATION_S) as (
            (node,),
            store,
        ):
            heard = []
            node.mesh.on_own_zone_changed = heard.append
            await trio.sleep(1.5)
            fleet = node.mesh.fleet
            assert fleet.evacuated_zones == frozenset()
            change_count = node.change_count
            store.put('evacuations', 'a', {})
            store.put('evacuations', 'z', {})
            await trio.sleep(0.1)
            assert fleet.evacuated_zones == {'a', 'z'}
            assert node.change_count > change_count
            store.delete('evacuations', 'a')
            await trio.sleep(0.1)
            assert fleet.evacuated_zones == {'z'}
            assert heard == [True, False]

    mock_clock.run(main)


def test_zone_that_is_evacuated_at_the_start_is_read():
    async def main():
        async with test_objects.open_store() as (client, store, _):
            put_configuration(store, '0000001f')
            store.put('evacuations', 'a', {})
            async with trio.open_nursery() as nursery:
                node = Node(
                    client, 'a', is_first_start=False, evacuation=EVACUATION_S
                )
                await node.mesh_store.start(nursery)
                assert node.mesh.evacuations.is_awaited
                await trio.sleep(0.5)
                assert node.mesh.fleet.evacuated_zones == {'a'}
                nursery.cancel_scope.cancel()

    mock_clock.run(main)


@pytest.mark.parametrize('fault', ['down', 'reset', 'silent', 'forgotten'])
@pytest.mark.parametrize('is_deleted', [False, True])
def test_change_of_evacuations_during_store_fault_is_seen(fault, is_deleted):
    """A deletion leaves no object behind that a listing could show."""

    async def main():
        async with open_nodes('a', evacuation=EVACUATION_S) as (
            (node,),
            store,
        ):
            if is_deleted:
                store.put('evacuations', 'z', {})
            await trio.sleep(1.5)
            if fault != 'forgotten':
                setattr(store.faults, fault, True)
            await trio.sleep(1)
            if is_deleted:
                store.delete('evacuations', 'z')
            else:
                store.put('evacuations', 'z', {})
            if fault == 'forgotten':
                store.forget_history()
            else:
                await trio.sleep(1)
                setattr(store.faults, fault, False)
            await trio.sleep(3.5)
            zones = set() if is_deleted else {'z'}
            assert node.mesh.fleet.evacuated_zones == zones

    mock_clock.run(main)


def test_node_cut_off_from_the_store_keeps_what_it_knows():
    async def main():
        async with open_nodes('a', evacuation=EVACUATION_S) as (
            (node,),
            store,
        ):
            store.put('evacuations', 'z', {})
            await trio.sleep(1.5)
            store.faults.down = True
            # The watch that is open would still tell of it.
            await trio.sleep(mesh_store.WATCH_TIMEOUT_S + 1)
            store.delete('evacuations', 'z')
            await trio.sleep(30)
            assert node.mesh.fleet.evacuated_zones == {'z'}

    mock_clock.run(main)


def test_store_is_asked_for_evacuations_only_where_they_happen():
    async def main():
        async with open_nodes('a') as ((node,), store):
            store.put('evacuations', 'z', {})
            await trio.sleep(5)
            assert 'evacuations' not in store.kinds_read
            assert node.mesh.fleet.evacuated_zones == frozenset()

    mock_clock.run(main)


@pytest.mark.parametrize('with_copy_of_object', [True, False])
def test_evacuations_are_read_again_from_an_older_copy(with_copy_of_object):
    async def main():
        async with open_nodes('a', evacuation=EVACUATION_S) as (
            (node,),
            store,
        ):
            if not with_copy_of_object:
                store.take_copy()
            store.put('evacuations', 'z', {})
            await trio.sleep(1.5)
            if with_copy_of_object:
                store.take_copy()
                store.delete('evacuations', 'z')
                await trio.sleep(0.1)
            store.restore()
            await trio.sleep(mesh_store.WATCH_TIMEOUT_S + 1)
            zones = {'z'} if with_copy_of_object else set()
            assert node.mesh.fleet.evacuated_zones == zones
            assert node.mesh.evacuations.state.era == 2

    mock_clock.run(main)
