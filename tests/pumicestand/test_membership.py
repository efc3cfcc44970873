"""Tests of membership: joining, leaving, and healing of partitions."""

import pytest

from pumicestand import messages
from tests import fakes

ZONES = ('e1', 'e1', 'e2', 'w1', 'w1', 'w2')


def is_converged(fleet):
    """Return whether each running node sees exactly the running nodes."""
    running = {n for n, node in fleet.nodes.items() if node.is_running}
    return all(
        {m.name for m in fleet.nodes[name].board.table.reachable()} == running
        for name in running
    )


def make_joined_fleet(seed=0):
    fleet = fakes.FakeFleet(ZONES, seed)
    assert fleet.run(30.0, lambda: is_converged(fleet))
    return fleet


@pytest.mark.parametrize('seed', range(5))
def test_all_nodes_join(seed):
    make_joined_fleet(seed)


def test_nodes_that_joined_without_their_seed_find_it_later():
    """The seed starts last: the others have found each other by then."""
    fleet = fakes.FakeFleet(ZONES)
    first = next(iter(fleet.nodes))
    fleet.stop(first)
    for node in list(fleet.nodes.values())[1:]:
        node.seeds = None
    # One node learns of the others without the seed, as if they had joined
    # through it.
    names = list(fleet.nodes)
    for name in names[2:]:
        record = fleet.nodes[name].board.own_member()
        fleet.nodes[names[1]].board.table.merge(record, fleet.now)
    assert fleet.run(30.0, lambda: is_converged(fleet))
    fleet.nodes[first] = fleet.make_node(
        fleet.nodes[first].board.identity, [], 0.0
    )
    assert fleet.run(60.0, lambda: is_converged(fleet))


@pytest.mark.parametrize('duration', [15.0, 300.0])
def test_regions_rejoin_after_a_partition(duration):
    fleet = make_joined_fleet()
    east = [name for name in fleet.nodes if name[0] == 'e']
    west = [name for name in fleet.nodes if name[0] == 'w']
    fleet.cut(east, west)
    fleet.cut(west, east)
    fleet.run(duration)
    board = fleet.nodes[east[0]].board
    assert {m.name for m in board.table.reachable()} == set(east)
    fleet.cuts.clear()
    assert fleet.run(60.0, lambda: is_converged(fleet))


def test_stopped_node_is_declared_dead():
    fleet = make_joined_fleet()
    fleet.stop('e10')
    assert fleet.run(20.0, lambda: is_converged(fleet))
    board = fleet.nodes['w25'].board
    assert board.table.member('e10').status == messages.Status.DEAD


def test_paused_node_refutes_its_death():
    fleet = make_joined_fleet()
    fleet.nodes['e10'].paused_until = fleet.now + 20.0
    fleet.run(20.0)
    assert fleet.run(60.0, lambda: is_converged(fleet))


def test_leaving_node_is_known_to_have_left_within_a_second():
    fleet = make_joined_fleet()
    board = fleet.nodes['e10'].board
    board.is_leaving = True
    board.announce_self(fleet.now)

    def all_have_learned():
        records = [
            node.board.table.member('e10') for node in fleet.nodes.values()
        ]
        return all(r.status == messages.Status.LEFT for r in records)

    assert fleet.run(1.0, all_have_learned)


def test_restart_with_a_clock_set_back_replaces_the_record():
    fleet = make_joined_fleet()
    fleet.stop('e10')
    fleet.run(1.0)
    fleet.restart('e10', clock_offset=-3600.0)
    assert fleet.run(30.0, lambda: is_converged(fleet))
    board = fleet.nodes['e10'].board
    others = [n.board for n in fleet.nodes.values()]
    assert fleet.run(
        30.0,
        lambda: all(
            b.table.member('e10').incarnation == board.incarnation
            for b in others
        ),
    )


def test_older_of_two_processes_with_one_name_is_replaced():
    fleet = make_joined_fleet()
    fleet.accept('first')
    assert fleet.run(20.0, lambda: fleet.has_converged_on(1))
    old = fleet.nodes['e10'].board
    newer = old.own_member()
    newer = messages.Member(
        **{
            field: getattr(newer, field)
            for field in newer.__dataclass_fields__
            if field != 'incarnation'
        },
        incarnation=old.incarnation + 1000,
    )
    old.table.merge(newer, fleet.now)
    fleet.run(1.0)
    assert old.is_replaced
