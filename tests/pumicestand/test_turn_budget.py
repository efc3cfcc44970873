"""Tests of the turns of clients with very many small parts."""

from pumicestand import turn_budget


def test_client_with_few_parts_does_not_pause():
    turns = turn_budget.TurnBudget()
    turns.pause_s(10_000, 0.0)
    assert turns.pause_s(turn_budget.MIN_PARTS - 1, 0.0) == 0.0


def test_clients_with_many_parts_get_a_share_of_the_time():
    turns = turn_budget.TurnBudget()
    now = 1.0
    pauses = [turns.pause_s(1_000, now) for _ in range(10)]
    assert pauses == sorted(pauses)
    work_s = 10 * 1_000 * turn_budget.PART_S
    assert pauses[-1] >= work_s * (1 / turn_budget.SHARE - 1)


def test_pause_ends_with_the_crowd():
    turns = turn_budget.TurnBudget()
    for _ in range(1_000):
        turns.pause_s(1_000, 0.0)
    assert turns.pause_s(1_000, 100.0) < 0.01
