"""Tests of the bound on the memory for bodies."""

from pumicestand import buffer_budget

MEGABYTE = 1024 * 1024


def test_long_bodies_leave_room_for_short_ones():
    budget = buffer_budget.BufferBudget(10 * MEGABYTE)
    for _ in range(7):
        budget.add(MEGABYTE)
        assert budget.has_room_for(MEGABYTE)
    budget.add(MEGABYTE)
    assert not budget.has_room_for(MEGABYTE)
    assert budget.has_room_for(1000)
    budget.remove(MEGABYTE)
    assert budget.has_room_for(MEGABYTE)


def test_bodies_that_are_held_may_exceed_the_limit_for_a_while():
    """A response is held whether there is room or not."""
    budget = buffer_budget.BufferBudget(MEGABYTE)
    budget.add(2 * MEGABYTE)
    assert budget.is_exceeded
    assert not budget.has_room_for(1)
    budget.remove(2 * MEGABYTE)
    assert budget.held_bytes == 0
    assert not budget.is_exceeded


def test_limit_follows_the_memory_of_the_process():
    assert buffer_budget.limit(150 * MEGABYTE) < 40 * MEGABYTE
    assert buffer_budget.limit(300 * MEGABYTE) > 70 * MEGABYTE
    assert buffer_budget.limit(64 * MEGABYTE) == 8 * MEGABYTE
    assert buffer_budget.limit(None) == float('inf')
