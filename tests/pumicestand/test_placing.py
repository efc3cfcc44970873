"""Tests of the choice of a node for a call."""

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
    """Return the peers of a fleet; the name's first letter is the zone."""
    fleet = mesh_fakes.make_fleet(
        *(
            mesh_fakes.make_report(name, zone=name[0], load=held)
            for name, held in loads.items()
        )
    )
    return list(fleet.peers)


def choose(candidates, excluded=(), now=0.0, kilobytes=1.0):
    placement = placing.PeerSelector(random.Random(1), 'a1', 'a')
    need = placing.CallRequirements(50.0, 300.0, kilobytes)
    peer = placement.choose(candidates, excluded, now, need)
    return peer and peer.name


def test_the_own_zone_is_chosen_among_equals():
    assert choose(peers(b1=load(), a1=load(), c1=load())) == 'a1'


def test_a_full_target_loses_to_one_of_another_zone():
    held = peers(a1=load(running=12), b1=load())
    assert choose(held) == 'b1'


def test_a_long_body_stays_in_the_zone_while_it_is_in_time():
    held = peers(a1=load(running=5), b1=load())
    assert choose(held, kilobytes=60.0) == 'a1'


def test_a_slow_target_gets_less():
    held = peers(a1=load(slowness=6.0), a2=load())
    assert choose(held) == 'a2'


def test_a_target_that_fails_its_calls_gets_less():
    held = peers(a1=load(failure_ratio=0.5), a2=load())
    assert choose(held) == 'a2'


def test_a_node_that_was_tried_is_not_chosen_again():
    held = peers(a1=load(), b1=load())
    assert choose(held, excluded={'a1'}) == 'b1'
    assert choose(held, excluded={'a1', 'b1'}) is None


def test_a_node_whose_link_broke_is_avoided_unless_it_is_the_only_one():
    held = peers(a1=load(), b1=load())
    held[0].avoided_until = 2.0
    assert choose(held, now=1.0) == 'b1'
    assert choose(held, now=1.0, excluded={'b1'}) == 'a1'
    assert choose(held, now=3.0) == 'a1'


def test_equal_targets_share_the_calls():
    placement = placing.PeerSelector(random.Random(1), 'a1', 'a')
    need = placing.CallRequirements(50.0, 300.0, 1.0)
    held = peers(a1=load(), a2=load(), a3=load())
    chosen = collections.Counter()
    for _ in range(300):
        peer = placement.choose(held, (), 1.0, need)
        peer.sent_since_load += 1
        if peer.sent_since_load > 3:
            peer.sent_since_load = 0
        chosen[peer.name] += 1
    assert min(chosen.values()) > 60


def narrow(held, name, mbps, busy=0.0):
    """Put a peer behind a link of some megabits per second."""
    peer = next(peer for peer in held if peer.name == name)
    peer.report = dataclasses.replace(peer.report, link_rate=mbps * 1e6 / 8)
    peer.load = dataclasses.replace(peer.load, link_busy=busy)


def test_a_long_body_avoids_a_narrow_link():
    held = peers(a2=load(), a3=load(running=2))
    narrow(held, 'a2', 5)
    narrow(held, 'a3', 100)
    assert choose(held, kilobytes=360.0) == 'a3'
    assert choose(held, kilobytes=1.0) == 'a2'


def test_a_long_body_avoids_a_link_that_is_in_use():
    held = peers(a2=load(), a3=load(running=2))
    narrow(held, 'a2', 50, busy=0.95)
    narrow(held, 'a3', 50)
    assert choose(held, kilobytes=100.0) == 'a3'


def test_what_stays_on_the_vm_uses_no_link():
    held = peers(a1=load(running=2), a2=load())
    narrow(held, 'a1', 5)
    narrow(held, 'a2', 5)
    assert choose(held, kilobytes=60.0) == 'a1'


def settle(held, now, busy):
    """Have peers heard often enough that their usual load is known.

    :param busy: calls there by name, 0 for others
    """
    for tick in range(100):
        for peer in held:
            running = busy.get(peer.name, 0)
            heard = load(running=running, slots=7, work_ms=200.0)
            peer.update_load(heard, now - 10 + tick / 10)


def test_nodes_with_old_news_do_not_all_choose_the_same_target():
    """Each of 40 nodes heard a second ago that one of eight was idle."""
    need = placing.CallRequirements(200.0, 700.0, 1.0)
    names = [f'a{number}' for number in range(8)]
    chosen = collections.Counter()
    for seed in range(40):
        placement = placing.PeerSelector(random.Random(seed), 'own', 'a')
        held = peers(**{name: load() for name in names})
        settle(held, 10.0, dict.fromkeys(names, 3))
        held[0].update_load(load(slots=7, work_ms=200.0), 10.0)
        chosen[placement.choose(held, (), 11.0, need).name] += 1
    assert max(chosen.values()) <= 14


def test_a_target_that_is_always_full_is_known_as_such():
    """It is a third faster, and so everyone's first choice until then."""
    held = peers(a0=load(), a1=load())
    settle(held, 10.0, {'a0': 8, 'a1': 1})
    held[0].load = dataclasses.replace(held[0].load, slowness=0.67)
    need = placing.CallRequirements(200.0, 700.0, 1.0)
    placement = placing.PeerSelector(random.Random(1), 'own', 'a')
    assert placement.choose(held, (), 12.0, need).name == 'a1'


def test_fresh_news_of_an_idle_target_counts():
    held = peers(
        a0=load(slots=7), a1=load(running=6, slots=7), a2=load(running=5)
    )
    assert choose(held) == 'a0'
