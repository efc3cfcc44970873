"""Tests of how a configuration spreads through the fleet."""

import random

import pytest

from pumicestand import fetches

ZONES = 'abcd'
LATENCY_S = 0.01
TRANSFER_S = 0.01


def test_one_node_is_asked_however_many_announce_a_generation():
    planner = fetches.FetchPlanner('a', random.Random(1))
    asked = []
    for number in range(50):
        planner.record_generation(f'n{number}', 'a', 2)
        asked.append(planner.next_source(1, lambda: True, number / 1000))
    assert [name for name in asked if name] == ['n0']


def test_another_node_is_asked_if_no_answer_comes():
    planner = fetches.FetchPlanner('a', random.Random(1))
    planner.record_generation('silent', 'a', 2)
    planner.record_generation('other', 'a', 2)
    first = planner.next_source(1, lambda: True, 0.0)
    assert (
        planner.next_source(1, lambda: True, fetches.ANSWER_TIMEOUT_S / 2)
        is None
    )
    second = planner.next_source(1, lambda: True, fetches.ANSWER_TIMEOUT_S)
    assert {first, second} == {'silent', 'other'}


def test_node_with_an_unusable_configuration_is_not_asked_again():
    planner = fetches.FetchPlanner('a', random.Random(1))
    planner.record_generation('broken', 'a', 2)
    assert planner.next_source(1, lambda: True, 0.0) == 'broken'
    planner.remove_source('broken')
    assert planner.next_source(1, lambda: True, 0.0) is None
    planner.record_generation('broken', 'a', 3)
    assert planner.next_source(1, lambda: True, 0.1) == 'broken'


def test_generation_announced_during_a_fetch_is_fetched_next():
    planner = fetches.FetchPlanner('a', random.Random(1))
    planner.record_generation('n', 'a', 2)
    assert planner.next_source(1, lambda: True, 0.0) == 'n'
    planner.record_generation('n', 'a', 3)
    planner.record_answer('n')
    assert planner.next_source(2, lambda: True, 0.01) == 'n'
    planner.record_answer('n')
    assert planner.next_source(3, lambda: True, 0.02) is None


def test_other_zone_is_asked_only_by_the_zone_fetcher():
    planner = fetches.FetchPlanner('a', random.Random(1))
    planner.record_generation('far', 'b', 2)
    assert planner.next_source(1, lambda: False, 0.0) is None
    planner.record_generation('near', 'a', 2)
    assert planner.next_source(1, lambda: False, 0.1) == 'near'


def test_other_zone_is_asked_if_own_zone_gets_no_generation():
    planner = fetches.FetchPlanner('a', random.Random(1))
    planner.record_generation('far', 'b', 2)
    assert planner.next_source(1, lambda: False, 0.0) is None
    assert (
        planner.next_source(1, lambda: False, fetches.OWN_ZONE_WAIT_S) == 'far'
    )


def simulate_spread(size, seed):
    """Simulate how a new generation spreads from one node to all.

    :returns: (seconds, requests, requests to another zone)
    """
    rng = random.Random(seed)
    zones = [ZONES[number % len(ZONES)] for number in range(size)]
    planners = [
        fetches.FetchPlanner(zone, random.Random(seed)) for zone in zones
    ]
    received_at = {0: 0.0}
    arrivals = {}
    requests = cross_zone = 0
    now = 0.0
    while len(received_at) < size and now < 5:
        now = round(now + 0.005, 3)
        for number in range(size):
            for other, since in received_at.items():
                if other != number and since + LATENCY_S <= now:
                    planners[number].record_generation(
                        str(other), zones[other], 2
                    )
        for number in rng.sample(range(size), size):
            if arrivals.get(number, now + 1) <= now:
                received_at.setdefault(number, now)
            if number in received_at or number in arrivals:
                continue
            is_zone_fetcher = number < len(ZONES)
            name = planners[number].next_source(
                1, lambda value=is_zone_fetcher: value, now
            )
            if name is not None:
                requests += 1
                cross_zone += zones[int(name)] != zones[number]
                arrivals[number] = now + LATENCY_S + TRANSFER_S
    return now, requests, cross_zone


@pytest.mark.parametrize('size', [4, 13, 58, 89])
def test_generation_is_fetched_across_zones_once_per_zone(size):
    seconds, requests, cross_zone = simulate_spread(size, 1)
    assert seconds < 0.3
    assert requests == size - 1
    assert cross_zone == len(ZONES) - 1


def test_other_zone_is_asked_if_the_only_node_of_own_zone_is_silent():
    """A node may hang right after it has announced the generation."""
    planner = fetches.FetchPlanner('a', random.Random(1))
    planner.record_generation('near', 'a', 2)
    planner.record_generation('far', 'b', 2)
    assert planner.next_source(1, lambda: False, 0.0) == 'near'
    assert (
        planner.next_source(1, lambda: False, fetches.ANSWER_TIMEOUT_S)
        == 'far'
    )
    # Both nodes hang: they are asked in turn until one answers.
    asked = {
        planner.next_source(
            1, lambda: False, (fetches.ANSWER_TIMEOUT_S + 0.01) * turn
        )
        for turn in range(2, 6)
    }
    assert asked == {'near', 'far'}
