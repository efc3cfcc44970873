"""Tests of how the descriptors of a process are divided."""

import pytest

from pumicestand import descriptor_budget

FLEET = descriptor_budget.Demand(nodes=60, target_slots=6)


def total(shares):
    return (
        shares.files
        + descriptor_budget.FIXED
        + descriptor_budget.OTHER_PORTS * shares.port
        + shares.links
        + shares.targets
        + shares.clients
        + shares.refusals
    )


@pytest.mark.parametrize('limit', [100, 150, 256, 1024, 4100, 8192])
@pytest.mark.parametrize('nodes', [0, 3, 60, 300])
@pytest.mark.parametrize('slots', [0, 3, 100])
def test_clients_can_not_use_up_the_descriptors_of_others(limit, nodes, slots):
    demand = descriptor_budget.Demand(nodes, slots)
    shares = descriptor_budget.divide(limit, demand)
    assert total(shares) <= limit
    assert shares.clients > 0
    assert shares.refusals > 0


@pytest.mark.parametrize('limit', [4100, 8192])
def test_links_and_targets_get_what_they_need_of_a_usual_limit(limit):
    demand = descriptor_budget.Demand(nodes=300, target_slots=9)
    shares = descriptor_budget.divide(limit, demand)
    assert shares.links >= 2 * demand.nodes
    assert shares.targets >= 2 * demand.target_slots
    assert shares.clients > limit / 2
    assert shares.files == 200


def test_links_grow_with_the_fleet_at_the_cost_of_clients():
    small = descriptor_budget.divide(1024, FLEET)
    large = descriptor_budget.divide(
        1024, descriptor_budget.Demand(nodes=120, target_slots=6)
    )
    assert large.links == small.links + 120
    assert large.clients < small.clients


def test_lower_limit_holds():
    assert descriptor_budget.process_limit(1024, 4100) == 1024
    assert descriptor_budget.process_limit(8192, 4100) == 4100
    assert descriptor_budget.process_limit(None, 4100) == 4100
    assert descriptor_budget.process_limit(1024, None) == 1024
    assert descriptor_budget.process_limit(None, None) is None
