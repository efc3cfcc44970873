"""Tests of the node's own record in the store and of its target in it."""

import contextlib

import pytest
import trio

from pumicestand import node_records
from pumicestand import target_states
from pumicestand import targets
from tests import mock_clock
from tests.pumicestand import mesh_fakes
from tests.pumicestand_node import test_mesh_store
from tests.pumicestand_platform import test_objects

State = target_states.TargetState
OUTAGE_S = 6.0
# Time after the end of an outage in which a node reads its record: the longest
# delay between two tries, and the calls.
RECOVERY_S = 2.5


def put_record(store, target, departed=()):
    """Store the record of the node ``a``, as another process has left it."""
    record = node_records.NodeRecord(
        'a', '10.0.0.1', 7000, 'a', target, departed
    )
    store.put(node_records.KIND, 'a', node_records.to_json(record))


def read_target(store):
    spec = store.get(node_records.KIND, 'a')['spec']
    return node_records.from_json(spec).target


@contextlib.asynccontextmanager
async def open_restarted(recorded, fault=None):
    """Yield (node, store) right after a restart of the node ``a``.

    :param recorded: the target in its record
    :param fault: attribute of the store's faults that is set from the start
    """
    async with test_objects.open_store() as (client, store, _):
        if recorded is not None:
            put_record(store, recorded)
        if fault is not None:
            setattr(store.faults, fault, True)
        async with trio.open_nursery() as nursery:
            node = test_mesh_store.Node(client, 'a', is_first_start=False)
            await node.mesh_store.start(nursery)
            yield node, store
            nursery.cancel_scope.cancel()


@pytest.mark.parametrize('state', [State.DRAINING, State.GONE])
@pytest.mark.parametrize('fault', ['down', 'busy', 'silent'])
def test_late_heartbeat_does_not_undo_the_departure_in_the_record(
    state, fault
):
    """It came first, so that the restarted node used the target again."""

    async def main():
        left = mesh_fakes.make_target('a', started_ms=100, state=state)
        late = targets.Heartbeat(
            mesh_fakes.make_target('a', started_ms=100), 7
        )
        async with open_restarted(left, fault) as (node, store):
            watch = node.mesh.target_watch
            await trio.sleep(1.0)
            watch.apply(late, trio.current_time())
            assert watch.target is None
            await trio.sleep(OUTAGE_S)
            setattr(store.faults, fault, False)
            await trio.sleep(RECOVERY_S)
            assert watch.target.state is state
            assert read_target(store).state is state

    mock_clock.run(main)


def test_target_serves_as_soon_as_there_is_no_record_that_it_left():
    async def main():
        heartbeat = targets.Heartbeat(mesh_fakes.make_target('a'), 1)
        async with open_restarted(None) as (node, _):
            watch = node.mesh.target_watch
            watch.apply(heartbeat, trio.current_time())
            await trio.sleep(0.5)
            assert watch.target == heartbeat.target

    mock_clock.run(main)


def test_departure_in_a_write_that_is_carried_out_late_is_kept():
    """The earlier process had sent it; the conflict overwrote it."""

    async def main():
        target = mesh_fakes.make_target('a', started_ms=100)
        async with open_restarted(target) as (node, store):
            watch = node.mesh.target_watch
            await trio.sleep(1.0)
            gone = mesh_fakes.make_target(
                'a', started_ms=100, state=State.GONE
            )
            put_record(store, gone)
            heartbeat = targets.Heartbeat(
                mesh_fakes.make_target('a', started_ms=100, slots=9), 7
            )
            watch.apply(heartbeat, trio.current_time())
            assert await node.mesh_store.save_own_record()
            assert watch.target.state is State.GONE
            assert read_target(store).state is State.GONE
            assert read_target(store).slots == 9

    mock_clock.run(main)


def test_departures_of_other_incarnations_outlast_a_restart():
    async def main():
        target = mesh_fakes.make_target('a', started_ms=100)
        departure = targets.Departure('i-b', 300)
        async with open_restarted(target) as (node, store):
            await trio.sleep(1.0)
            node.mesh.target_watch.apply(departure, trio.current_time())
            assert await node.mesh_store.save_own_record()
            spec = store.get(node_records.KIND, 'a')['spec']
        record = node_records.from_json(spec)
        watch = targets.TargetWatch()
        watch.restore(record.target, record.departed)
        late = mesh_fakes.make_target('b', started_ms=300)
        watch.apply(targets.Heartbeat(late, 4), 0.0)
        assert watch.target.state is State.GONE

    mock_clock.run(main)
