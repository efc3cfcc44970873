"""Tests of the choice of a peer for a call."""

import collections
import dataclasses
import random

from pumicestand import hop_messages
from pumicestand import placing
from tests.pumicestand import mesh_fakes


def load(running=0, slots=4, **kwargs):
    fields = {'work_ms': 50.0, **kwargs}
    return hop_messages.Load(running=running, slots=slots, **fields)


def peers(**loads):
    """Return peers by name and load; the first letter is the zone."""
    fleet = mesh_fakes.make_fleet(
        *(
            mesh_fakes.make_report(name, zone=name[0], load=peer_load)
            for name, peer_load in loads.items()
        )
    )
    return list(fleet.peers)


def choose(candidates, excluded=(), now=0.0, kilobytes=1.0):
    selector = placing.PeerSelector(random.Random(1), 'a1', 'a')
    requirements = placing.CallRequirements(50.0, 300.0, kilobytes)
    peer = selector.choose(candidates, excluded, now, requirements)
    return peer and peer.name


def test_own_zone_is_chosen_among_equal_peers():
    assert choose(peers(b1=load(), a1=load(), c1=load())) == 'a1'


def test_target_of_another_zone_is_chosen_over_a_full_one():
    candidates = peers(a1=load(running=12), b1=load())
    assert choose(candidates) == 'b1'


def test_large_body_stays_in_its_zone_while_it_meets_the_objective():
    candidates = peers(a1=load(running=5), b1=load())
    assert choose(candidates, kilobytes=60.0) == 'a1'


def test_slow_target_is_not_preferred():
    candidates = peers(a1=load(slowness=6.0), a2=load())
    assert choose(candidates) == 'a2'


def test_failing_target_is_not_preferred():
    candidates = peers(a1=load(failure_ratio=0.5), a2=load())
    assert choose(candidates) == 'a2'


def test_node_that_was_tried_is_not_chosen_again():
    candidates = peers(a1=load(), b1=load())
    assert choose(candidates, excluded={'a1'}) == 'b1'
    assert choose(candidates, excluded={'a1', 'b1'}) is None


def test_avoided_node_is_chosen_only_if_there_is_no_other():
    candidates = peers(a1=load(), b1=load())
    candidates[0].avoided_until = 2.0
    assert choose(candidates, now=1.0) == 'b1'
    assert choose(candidates, now=1.0, excluded={'b1'}) == 'a1'
    assert choose(candidates, now=3.0) == 'a1'


def test_calls_spread_over_equal_targets():
    selector = placing.PeerSelector(random.Random(1), 'a1', 'a')
    requirements = placing.CallRequirements(50.0, 300.0, 1.0)
    candidates = peers(a1=load(), a2=load(), a3=load())
    chosen = collections.Counter()
    for _ in range(300):
        peer = selector.choose(candidates, (), 1.0, requirements)
        peer.sent_since_load += 1
        if peer.sent_since_load > 3:
            peer.sent_since_load = 0
        chosen[peer.name] += 1
    assert min(chosen.values()) > 60


def set_link(candidates, name, mbps, busy=0.0):
    """Set the link of a peer.

    :param mbps: its rate in megabits per second
    :param busy: fraction of it in use
    """
    peer = next(peer for peer in candidates if peer.name == name)
    peer.report = dataclasses.replace(peer.report, link_rate=mbps * 1e6 / 8)
    peer.load = dataclasses.replace(peer.load, link_utilisation=busy)


def test_large_body_avoids_a_slow_link():
    candidates = peers(a2=load(), a3=load(running=2))
    set_link(candidates, 'a2', 5)
    set_link(candidates, 'a3', 100)
    assert choose(candidates, kilobytes=360.0) == 'a3'
    assert choose(candidates, kilobytes=1.0) == 'a2'


def test_large_body_avoids_a_link_that_is_in_use():
    candidates = peers(a2=load(), a3=load(running=2))
    set_link(candidates, 'a2', 50, busy=0.95)
    set_link(candidates, 'a3', 50)
    assert choose(candidates, kilobytes=100.0) == 'a3'


def test_large_body_avoids_a_node_at_which_others_wait():
    """Guards against uploads that queue at one node while others are free."""
    candidates = peers(a2=load(body_delay_ms=400.0), a3=load(running=2))
    set_link(candidates, 'a2', 5)
    set_link(candidates, 'a3', 5)
    assert choose(candidates, kilobytes=60.0) == 'a3'
    assert choose(candidates, kilobytes=1.0) == 'a2'


def test_call_to_the_own_target_uses_no_link():
    candidates = peers(a1=load(running=2), a2=load())
    set_link(candidates, 'a1', 5)
    set_link(candidates, 'a2', 5)
    assert choose(candidates, kilobytes=60.0) == 'a1'


def report_loads(candidates, now, running):
    """Report loads for ten seconds, so that the mean number of calls settles.

    :param running: calls that run at the targets, by name; 0 for others
    """
    for tick in range(100):
        for peer in candidates:
            calls = running.get(peer.name, 0)
            reported = load(running=calls, slots=7, work_ms=200.0)
            peer.update_load(reported, now - 10 + tick / 10)


def test_nodes_with_old_reports_do_not_all_choose_the_same_target():
    """Each of 40 nodes heard 1 s ago that one of eight targets is idle."""
    requirements = placing.CallRequirements(200.0, 700.0, 1.0)
    names = [f'a{number}' for number in range(8)]
    chosen = collections.Counter()
    for seed in range(40):
        selector = placing.PeerSelector(random.Random(seed), 'own', 'a')
        candidates = peers(**{name: load() for name in names})
        report_loads(candidates, 10.0, dict.fromkeys(names, 3))
        candidates[0].update_load(load(slots=7, work_ms=200.0), 10.0)
        chosen[selector.choose(candidates, (), 11.0, requirements).name] += 1
    assert max(chosen.values()) <= 14


def test_target_that_is_always_full_is_not_preferred_for_its_speed():
    """Nodes would prefer the full target, a third faster, by its speed."""
    candidates = peers(a0=load(), a1=load())
    report_loads(candidates, 10.0, {'a0': 8, 'a1': 1})
    candidates[0].load = dataclasses.replace(candidates[0].load, slowness=0.67)
    requirements = placing.CallRequirements(200.0, 700.0, 1.0)
    selector = placing.PeerSelector(random.Random(1), 'own', 'a')
    assert selector.choose(candidates, (), 12.0, requirements).name == 'a1'


def test_recent_report_of_an_idle_target_counts():
    candidates = peers(
        a0=load(slots=7), a1=load(running=6, slots=7), a2=load(running=5)
    )
    assert choose(candidates) == 'a0'
