"""Tests of the order in which exchanges give way."""

from pumicestand import client_progress

STALL_S = client_progress.MIN_STALL_S


def test_exchange_without_progress_gives_way_before_one_with_it():
    progress = client_progress.ClientProgress()
    for name in 'abc':
        progress.record(name, 1, 0, 0.0)
    progress.record('a', 2_000, 0, 0.5)
    assert progress.stalled(STALL_S) == ['b', 'c']
    assert progress.stalled(STALL_S + 0.5) == ['b', 'c', 'a']


def test_few_bytes_are_no_progress():
    progress = client_progress.ClientProgress()
    for tick in range(20):
        progress.record('drips', 1, 0, tick * 0.1)
        progress.record('sends', 1_024, 0, tick * 0.1)
    assert progress.stalled(1.9) == ['drips']


def test_progress_of_a_long_body_is_a_part_of_it():
    progress = client_progress.ClientProgress()
    for tick in range(20):
        progress.record('announces', 10_000, 64_000_000, tick * 0.1)
    assert progress.stalled(1.9) == ['announces']


def test_small_parts_add_up_to_progress():
    progress = client_progress.ClientProgress()
    for tick in range(20):
        progress.record('sends', 300, 0, tick * 0.1)
    assert progress.stalled(1.9) == []


def test_exchange_that_is_discarded_gives_no_way():
    progress = client_progress.ClientProgress()
    progress.record('a', 1, 0, 0.0)
    progress.discard('a')
    progress.discard('unknown')
    assert progress.stalled(100.0) == []
