"""Tests of what a node knows of the other nodes."""

from pumicestand import fleet as fleets
from pumicestand import hop_messages
from pumicestand import target_states
from tests.pumicestand import mesh_fakes


def test_report_replaces_only_an_earlier_one():
    fleet = mesh_fakes.make_fleet(mesh_fakes.make_report('a', sequence=5))
    assert not fleet.apply_report(mesh_fakes.make_report('a', sequence=4), 1.0)
    assert fleet.apply_report(mesh_fakes.make_report('a', sequence=6), 1.0)
    restarted = mesh_fakes.make_report('a', incarnation=2, sequence=1)
    assert fleet.apply_report(restarted, 1.0)
    assert not fleet.apply_report(mesh_fakes.make_report('a', sequence=9), 1.0)


def test_serving_returns_only_reachable_targets_that_accept_calls():
    fleet = mesh_fakes.make_fleet(
        mesh_fakes.make_report('good'),
        mesh_fakes.make_report('leaving', is_leaving=True),
        mesh_fakes.make_report('none', target=None),
        mesh_fakes.make_report('full', load=hop_messages.Load(slots=0)),
        mesh_fakes.make_report(
            'draining',
            target=mesh_fakes.make_target(
                'draining', state=target_states.TargetState.DRAINING
            ),
        ),
        mesh_fakes.make_report(
            'other', target=mesh_fakes.make_target('other', service='t')
        ),
        mesh_fakes.make_report('cut'),
    )
    fleet.get('cut').is_linked = False
    assert [p.name for p in fleet.serving('s')] == ['good']


def test_node_with_a_new_address_is_no_longer_linked():
    fleet = mesh_fakes.make_fleet(mesh_fakes.make_report('a'))
    peer = fleet.get_or_add('a', '10.9.9.9', 7000, 3.0)
    assert not peer.is_linked
    assert (peer.host, peer.unreachable_since) == ('10.9.9.9', 3.0)


def test_node_unreachable_for_long_is_removed():
    fleet = mesh_fakes.make_fleet(mesh_fakes.make_report('a'))
    fleet.get('a').unreachable_since = 1.0
    assert fleet.remove_unreachable(2.0) == []
    assert fleet.remove_unreachable(1.1 + fleets.REMOVE_AFTER_S) == ['a']
    assert fleet.get('a') is None


def test_own_node_is_counted_but_not_among_the_others():
    fleet = mesh_fakes.make_fleet(
        mesh_fakes.make_report('own'), mesh_fakes.make_report('a')
    )
    assert [p.name for p in fleet.others] == ['a']
    assert fleet.linked_count == 2


def test_restarted_node_does_not_bring_back_a_target_that_leaves():
    """The node has forgotten what the target said in its responses."""
    draining = mesh_fakes.make_target(
        'n', state=target_states.TargetState.DRAINING
    )
    fleet = mesh_fakes.make_fleet(mesh_fakes.make_report('n', target=draining))
    fleet.apply_report(mesh_fakes.make_report('n', incarnation=2), 1.0)
    assert fleet.serving('s') == []
    started_again = mesh_fakes.make_target('n', started_ms=2)
    report = mesh_fakes.make_report('n', incarnation=3, target=started_again)
    fleet.apply_report(report, 2.0)
    assert [peer.name for peer in fleet.serving('s')] == ['n']


def test_targets_of_evacuated_zones_get_no_calls_until_they_are_back():
    fleet = mesh_fakes.make_fleet(
        mesh_fakes.make_report('a-1', zone='a'),
        mesh_fakes.make_report('b-1', zone='b'),
    )
    assert [p.name for p in fleet.serving('s')] == ['a-1', 'b-1']
    count = fleet.change_count
    fleet.set_evacuated_zones(frozenset(('a',)))
    assert [p.name for p in fleet.serving('s')] == ['b-1']
    # Links to targets of other zones have to be selected.
    assert fleet.change_count > count
    fleet.set_evacuated_zones(frozenset())
    assert [p.name for p in fleet.serving('s')] == ['a-1', 'b-1']
