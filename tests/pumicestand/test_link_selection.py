"""Tests of which nodes a node keeps links to, in fleets of several sizes."""

import collections

import pytest

from pumicestand import fleet as fleets
from pumicestand import link_selection
from pumicestand import target_states
from tests.pumicestand import mesh_fakes

# (Zones, targets of each service), such as a small and a large deployment and
# the size to design for.
FLEETS = {
    'small': (4, {'s': 5, 't': 4, 'u': 4}),
    'large': (6, {'s': 89, 't': 75, 'u': 31}),
    'design': (7, {f's{number}': 30 for number in range(22)}),
}


def make_peers(zone_count, services):
    """Return one peer for each target, over all zones."""
    fleet = fleets.Fleet('none')
    number = 0
    for service, count in services.items():
        for _ in range(count):
            name = f'{service}-{number}'
            report = mesh_fakes.make_report(
                name,
                zone=f'z{number % zone_count}',
                target=mesh_fakes.make_target(name, service=service),
            )
            fleet.apply_report(report, 0.0)
            number += 1
    return list(fleet.peers)


def select(peer, peers, now=0.0, evacuated_zones=frozenset()):
    selector = link_selection.LinkSelector(peer.name, peer.zone)
    return selector.select(peers, now, evacuated_zones)


def count_targets(names, peers):
    """Return the number of selected targets of each service."""
    return collections.Counter(
        peer.target.service for peer in peers if peer.name in names
    )


@pytest.mark.parametrize('name', FLEETS)
def test_each_node_has_enough_targets_of_each_service(name):
    zone_count, services = FLEETS[name]
    peers = make_peers(zone_count, services)
    for peer in peers[:: len(peers) // 10]:
        counts = count_targets(select(peer, peers), peers)
        for service, count in services.items():
            others = count - (peer.target.service == service)
            assert counts[service] >= min(
                others, link_selection.MIN_TARGETS - 1
            )


@pytest.mark.parametrize(
    ('name', 'bound'), [('small', 12), ('large', 50), ('design', 270)]
)
def test_links_are_few(name, bound):
    """With a full mesh they would be 12, 194 and 659."""
    peers = make_peers(*FLEETS[name])
    assert len(select(peers[0], peers)) <= bound


@pytest.mark.parametrize('name', FLEETS)
def test_each_other_zone_has_contacts(name):
    peers = make_peers(*FLEETS[name])
    selected = select(peers[0], peers)
    by_zone = collections.Counter(
        peer.zone for peer in peers if peer.name in selected
    )
    for zone in {peer.zone for peer in peers}:
        assert by_zone[zone] >= link_selection.CONTACTS_PER_ZONE


def test_targets_are_selected_by_about_as_many_nodes_of_other_zones():
    peers = make_peers(*FLEETS['large'])
    counts = collections.Counter()
    for peer in peers:
        zones = {other.name: other.zone for other in peers}
        counts.update(
            name for name in select(peer, peers) if zones[name] != peer.zone
        )
    for service in FLEETS['large'][1]:
        selected = [
            counts[p.name] for p in peers if p.target.service == service
        ]
        mean = sum(selected) / len(selected)
        # The selections are independent, so the counts vary as chance has it.
        assert max(selected) < mean + 5 * mean**0.5
        assert min(selected) > 0


def test_the_loss_of_a_node_changes_few_selections():
    peers = make_peers(*FLEETS['large'])
    lost = peers[7]
    changed = 0
    for peer in peers[:60]:
        if peer is lost:
            continue
        before = select(peer, peers)
        after = select(peer, [p for p in peers if p is not lost])
        assert len(before - after) <= 1
        changed += bool(after - before)
    assert changed < 15


def test_all_targets_of_a_new_version_are_selected_while_they_are_few():
    peers = make_peers(*FLEETS['large'])
    fleet = fleets.Fleet('none')
    for number in range(3):
        name = f'new-{number}'
        report = mesh_fakes.make_report(
            name,
            zone=f'z{number}',
            target=mesh_fakes.make_target(name, service='s', version='v2'),
        )
        fleet.apply_report(report, 0.0)
    new = {peer.name for peer in fleet.peers}
    for peer in peers[::20]:
        assert new <= select(peer, [*peers, *fleet.peers])


@pytest.mark.parametrize('fault', ['unreachable', 'draining', 'leaving'])
def test_lost_zone_is_replaced_by_the_others(fault):
    peers = make_peers(*FLEETS['large'])
    own = peers[0]
    for peer in peers:
        if peer.zone != 'z1':
            continue
        if fault == 'unreachable':
            peer.unreachable_since = 0.0
        else:
            state = target_states.TargetState.DRAINING
            peer.report = mesh_fakes.make_report(
                peer.name,
                zone='z1',
                is_leaving=fault == 'leaving',
                target=mesh_fakes.make_target(
                    peer.name, service=peer.target.service, state=state
                ),
            )
    now = link_selection.REPLACE_AFTER_S + 1
    selected = select(own, peers, now)
    usable = [peer for peer in peers if peer.zone != 'z1']
    counts = count_targets(selected, usable)
    for service in FLEETS['large'][1]:
        assert counts[service] >= link_selection.MIN_TARGETS - 1


@pytest.mark.parametrize('name', FLEETS)
def test_node_of_an_evacuated_zone_links_to_more_targets_of_others(name):
    """All calls of its clients and its target's nested calls go there."""
    zone_count, services = FLEETS[name]
    peers = make_peers(zone_count, services)
    own = peers[0]
    selected = select(own, peers, evacuated_zones={own.zone})
    others = [peer for peer in peers if peer.zone != own.zone]
    counts = count_targets(selected, others)
    for service in services:
        available = sum(p.target.service == service for p in others)
        assert counts[service] == min(
            available, link_selection.MIN_TARGETS_IF_EVACUATED
        )
    # It still hears of its own zone.
    assert {p.name for p in peers if p.zone == own.zone} - selected == {
        own.name
    }


@pytest.mark.parametrize('name', FLEETS)
def test_evacuated_zone_is_replaced_by_the_others(name):
    zone_count, services = FLEETS[name]
    peers = make_peers(zone_count, services)
    selected = select(peers[0], peers, evacuated_zones={'z1'})
    usable = [peer for peer in peers if peer.zone != 'z1']
    counts = count_targets(selected, usable)
    for service in services:
        available = sum(p.target.service == service for p in usable)
        assert counts[service] >= min(
            available - 1, link_selection.MIN_TARGETS - 1
        )
    # Its nodes still pass on what their zone has to know.
    by_zone = collections.Counter(
        peer.zone for peer in peers if peer.name in selected
    )
    assert by_zone['z1'] >= link_selection.CONTACTS_PER_ZONE


def test_coordinators_of_other_zones_are_linked():
    """Without a link, a node would use a part of its own share only."""
    peers = make_peers(*FLEETS['large'])
    own = peers[0]
    remote = [p.name for p in peers if p.zone != own.zone]
    unlinked = sorted(set(remote) - select(own, peers))[:2]
    selector = link_selection.LinkSelector(own.name, own.zone)
    selected = selector.select(peers, 0.0, coordinators=frozenset(unlinked))
    assert selected - select(own, peers) == set(unlinked)
