"""Tests of the size of the fleet and the choice of the coordinators."""

import pytest

from pumicestand import fleet as fleets
from pumicestand import quota_fleet
from pumicestand import zone_roles
from tests.pumicestand import mesh_fakes

SLOW = zone_roles.MIN_FAST_LINK_BYTES_PER_S / 4
FAST = zone_roles.MIN_FAST_LINK_BYTES_PER_S * 4


def make_fleet(count, link_rate=lambda number: FAST):
    """Return a fleet of nodes, of which the first is this one."""
    return mesh_fakes.make_fleet(
        *(
            mesh_fakes.make_report(f'n{number}', link_rate=link_rate(number))
            for number in range(count)
        ),
        own_name='n0',
    )


def observe(observer, fleet, now=0.0, excluded=()):
    return observer.observe(fleet, FAST, set(excluded), now)


def test_all_nodes_choose_the_same_coordinators():
    """Otherwise each bucket would get a part of the rate only."""
    seen = set()
    for name in ('n0', 'n7', 'n12'):
        fleet = make_fleet(13)
        observer = quota_fleet.QuotaFleetObserver(name)
        seen.add(observe(observer, fleet))
    assert len(seen) == 1


@pytest.mark.parametrize(
    ('nodes', 'count'), [(1, 1), (91, 1), (100, 1), (195, 2), (660, 7)]
)
def test_there_is_one_coordinator_for_a_hundred_nodes(nodes, count):
    observer = quota_fleet.QuotaFleetObserver('n0')
    quota_view = observe(observer, make_fleet(nodes))
    assert len(quota_view.coordinators) == count
    assert quota_view.node_count == nodes


def test_nodes_on_slow_links_coordinate_only_if_there_are_no_others():
    """A coordinator's link carries the requests of all nodes."""
    observer = quota_fleet.QuotaFleetObserver('n0')
    fleet = make_fleet(30, lambda number: FAST if number == 5 else SLOW)
    view = observer.observe(fleet, SLOW, set(), 0.0)
    assert view.coordinators == ('n5',)
    view = observer.observe(fleet, SLOW, {'n5'}, 0.0)
    assert view.coordinators != ('n5',)


def test_unreachable_coordinator_is_replaced():
    observer = quota_fleet.QuotaFleetObserver('n0')
    fleet = make_fleet(30)
    (first,) = observe(observer, fleet).coordinators
    peer = fleet.get(first)
    peer.is_linked, peer.unreachable_since = False, 0.0
    assert observe(observer, fleet, 1.0).coordinators == (first,)
    assert observe(observer, fleet, 2.5).coordinators != (first,)


def test_half_of_the_fleet_stays_counted_when_it_vanishes():
    """Each half would use the whole rate after the other is removed."""
    observer = quota_fleet.QuotaFleetObserver('n0')
    fleet = make_fleet(40)
    observe(observer, fleet)
    for number in range(20, 40):
        peer = fleet.get(f'n{number}')
        peer.is_linked, peer.unreachable_since = False, 0.0
    fleet.remove_unreachable(100.0)
    assert len(fleet.peers) == 20
    assert observe(observer, fleet, 100.0).node_count == 39
    after = 100.0 + quota_fleet.RETAIN_LOST_S
    assert observe(observer, fleet, after).node_count == 20


def test_leaving_node_is_not_counted():
    """Its share would be lost until it is removed."""
    observer = quota_fleet.QuotaFleetObserver('n0')
    fleet = make_fleet(20)
    observe(observer, fleet)
    report = mesh_fakes.make_report('n7', sequence=2, is_leaving=True)
    fleet.apply_report(report, 1.0)
    assert observe(observer, fleet, 1.0).node_count == 19


def test_slots_are_spread_over_the_coordinators():
    view = quota_fleet.QuotaFleet(195, ('a', 'b'))
    names = [view.coordinator_of(slot) for slot in range(4)]
    assert names == ['a', 'b', 'a', 'b']


def test_own_node_coordinates_an_empty_fleet():
    observer = quota_fleet.QuotaFleetObserver('n0')
    view = observe(observer, fleets.Fleet('n0'))
    assert view == quota_fleet.QuotaFleet(1, ('n0',))
