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
    for memory_mb in (100, 128, 150, 300, 552):
        limit = buffer_budget.limit(memory_mb * MEGABYTE)
        # An idle process has about 40 MB.
        assert limit < (memory_mb - 45) * MEGABYTE
    assert buffer_budget.limit(50 * MEGABYTE) == 8 * MEGABYTE
    assert buffer_budget.limit(None) == float('inf')


def test_longest_body_of_the_pages_fits_into_150_megabytes():
    budget = buffer_budget.BufferBudget(buffer_budget.limit(150 * MEGABYTE))
    body_bytes = 64 * MEGABYTE
    cost = buffer_budget.request_cost(16_384, body_bytes)
    assert budget.has_room_for(body_bytes, cost)
    assert body_bytes <= budget.longest_body


def test_promised_bodies_use_room_until_they_are_taken_back():
    budget = buffer_budget.BufferBudget(10 * MEGABYTE)
    budget.promise(7 * MEGABYTE)
    assert not budget.has_room_for(MEGABYTE, MEGABYTE)
    assert budget.held_bytes == 0
    budget.promise(-7 * MEGABYTE)
    assert budget.has_room_for(MEGABYTE, MEGABYTE)


def test_bodies_leave_room_for_requests_without_one():
    budget = buffer_budget.BufferBudget(10 * MEGABYTE)
    budget.add(int(9.5 * MEGABYTE))
    assert not budget.has_room_for(1)
    assert budget.has_room_for(0)
    assert not budget.has_room_for(0, MEGABYTE)


def test_connections_of_a_port_leave_room_for_their_requests():
    budget = buffer_budget.BufferBudget(10 * MEGABYTE)
    cost = budget.max_connections * buffer_budget.CONNECTION_BYTES
    assert 0.4 * budget.max_bytes < cost <= 0.5 * budget.max_bytes
    assert buffer_budget.BufferBudget().max_connections == float('inf')
