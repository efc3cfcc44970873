"""Tests of the way a configuration takes through the fleet."""

import random

import pytest

from pumicestand import fetches

ZONES = 'abcd'
LATENCY_S = 0.01
TRANSFER_S = 0.01


def test_one_node_is_asked_however_many_tell():
    held = fetches.FetchPlanner('a', random.Random(1))
    asked = []
    for number in range(50):
        held.record_generation(f'n{number}', 'a', 2)
        asked.append(held.next_source(1, lambda: True, number / 1000))
    assert [name for name in asked if name] == ['n0']


def test_another_is_asked_if_no_answer_comes():
    held = fetches.FetchPlanner('a', random.Random(1))
    held.record_generation('silent', 'a', 2)
    held.record_generation('other', 'a', 2)
    first = held.next_source(1, lambda: True, 0.0)
    assert (
        held.next_source(1, lambda: True, fetches.ANSWER_TIMEOUT_S / 2) is None
    )
    second = held.next_source(1, lambda: True, fetches.ANSWER_TIMEOUT_S)
    assert {first, second} == {'silent', 'other'}


def test_a_node_whose_configuration_is_useless_is_not_asked_again():
    held = fetches.FetchPlanner('a', random.Random(1))
    held.record_generation('broken', 'a', 2)
    assert held.next_source(1, lambda: True, 0.0) == 'broken'
    held.remove_source('broken')
    assert held.next_source(1, lambda: True, 0.0) is None
    held.record_generation('broken', 'a', 3)
    assert held.next_source(1, lambda: True, 0.1) == 'broken'


def test_what_came_while_an_answer_was_on_its_way_is_asked_for_next():
    held = fetches.FetchPlanner('a', random.Random(1))
    held.record_generation('n', 'a', 2)
    assert held.next_source(1, lambda: True, 0.0) == 'n'
    held.record_generation('n', 'a', 3)
    held.record_answer('n')
    assert held.next_source(2, lambda: True, 0.01) == 'n'
    held.record_answer('n')
    assert held.next_source(3, lambda: True, 0.02) is None


def test_another_zone_is_asked_by_the_first_only():
    held = fetches.FetchPlanner('a', random.Random(1))
    held.record_generation('far', 'b', 2)
    assert held.next_source(1, lambda: False, 0.0) is None
    held.record_generation('near', 'a', 2)
    assert held.next_source(1, lambda: False, 0.1) == 'near'


def test_another_zone_is_asked_if_the_own_one_stays_without():
    held = fetches.FetchPlanner('a', random.Random(1))
    held.record_generation('far', 'b', 2)
    assert held.next_source(1, lambda: False, 0.0) is None
    assert held.next_source(1, lambda: False, fetches.OWN_ZONE_WAIT_S) == 'far'


def spread(size, seed):
    """Give one node a new generation; return (seconds, asked, far)."""
    rng = random.Random(seed)
    zones = [ZONES[number % len(ZONES)] for number in range(size)]
    views = [fetches.FetchPlanner(zone, random.Random(seed)) for zone in zones]
    has = {0: 0.0}
    coming = {}
    asked = far = 0
    now = 0.0
    while len(has) < size and now < 5:
        now = round(now + 0.005, 3)
        for number in range(size):
            for other, since in has.items():
                if other != number and since + LATENCY_S <= now:
                    views[number].record_generation(
                        str(other), zones[other], 2
                    )
        for number in rng.sample(range(size), size):
            if coming.get(number, now + 1) <= now:
                has.setdefault(number, now)
            if number in has or number in coming:
                continue
            is_first = number < len(ZONES)
            name = views[number].next_source(
                1, lambda first=is_first: first, now
            )
            if name is not None:
                asked += 1
                far += zones[int(name)] != zones[number]
                coming[number] = now + LATENCY_S + TRANSFER_S
    return now, asked, far


@pytest.mark.parametrize('size', [4, 13, 58, 89])
def test_a_generation_crosses_each_border_once(size):
    seconds, asked, far = spread(size, 1)
    assert seconds < 0.3
    assert asked == size - 1
    assert far == len(ZONES) - 1


def test_another_zone_is_asked_if_the_only_near_node_does_not_answer():
    """It may stand still right after it has told of the generation."""
    held = fetches.FetchPlanner('a', random.Random(1))
    held.record_generation('near', 'a', 2)
    held.record_generation('far', 'b', 2)
    assert held.next_source(1, lambda: False, 0.0) == 'near'
    assert (
        held.next_source(1, lambda: False, fetches.ANSWER_TIMEOUT_S) == 'far'
    )
    # Both stand still: they are asked in turn until one answers.
    asked = {
        held.next_source(
            1, lambda: False, (fetches.ANSWER_TIMEOUT_S + 0.01) * turn
        )
        for turn in range(2, 6)
    }
    assert asked == {'near', 'far'}
