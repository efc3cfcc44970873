"""Tests of the nodes that act for their availability zone."""

import pytest

from tests.pumicestand import mesh_fakes


def make_zone(count, zones=('a',)):
    """Return the mesh states of nodes that are all linked to each other."""
    names = [f'{zone}-{n}' for zone in zones for n in range(count)]
    states = []
    for own in names:
        mesh = mesh_fakes.make_mesh(own)
        for name in names:
            report = mesh_fakes.make_report(
                name, zone=name.partition('-')[0], store_reachable=True
            )
            mesh.fleet.apply_report(report, 0.0)
            mesh.fleet.get(name).is_linked = True
        states.append(mesh)
    return states


@pytest.mark.parametrize(
    ('role', 'count'),
    [('is_gateway', 2), ('is_collector', 1), ('is_fetcher', 1)],
)
def test_each_role_has_as_many_nodes_as_it_needs(role, count):
    for size in (1, 2, 8, 33):
        holders = [getattr(m.zone_roles, role)() for m in make_zone(size)]
        assert sum(holders) == min(size, count)


@pytest.mark.parametrize(
    ('zones', 'count'), [('a', 3), ('ab', 2), ('abc', 1), ('abcdef', 1)]
)
def test_each_zone_has_watchers_and_the_fleet_three(zones, count):
    states = make_zone(5, tuple(zones))
    own_zone = [m for m in states if m.identity.name.startswith('a')]
    assert sum(m.zone_roles.is_watcher() for m in own_zone) == count


def test_next_node_takes_over_from_one_that_is_gone_or_lost_the_store():
    states = {m.identity.name: m for m in make_zone(4, ('a', 'b', 'c'))}
    own_zone = [m for n, m in states.items() if n.startswith('a')]
    (first,) = [m for m in own_zone if m.zone_roles.is_watcher()]
    others = [m for m in own_zone if m is not first]
    for mesh in others:
        peer = mesh.fleet.get(first.identity.name)
        peer.report = mesh_fakes.make_report(peer.name, store_reachable=False)
    assert sum(m.zone_roles.is_watcher() for m in others) == 1
    assert sum(m.zone_roles.is_collector() for m in own_zone) == 1
    for mesh in others:
        mesh.fleet.get(first.identity.name).is_linked = False
    assert sum(m.zone_roles.is_collector() for m in others) == 1


def test_node_without_links_has_all_roles():
    mesh = mesh_fakes.make_mesh()
    roles = mesh.zone_roles
    assert roles.is_watcher()
    assert roles.is_gateway()
    assert roles.is_collector()
    assert roles.is_writer()
