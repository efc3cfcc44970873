"""Tests of the detection of requests that crash targets."""

import random

import pytest

from pumicestand import suspects


class Fleet:
    """The suspects of some nodes, whose reports arrive at once."""

    def __init__(self, size):
        self.nodes = [suspects.Suspects() for _ in range(size)]

    def exchange_reports(self, now):
        for number, node in enumerate(self.nodes):
            reported = node.own_suspects(now)
            for other in self.nodes:
                if other is not node:
                    other.set_reported(str(number), reported)

    def crash(self, number, fingerprints, now):
        for fingerprint in fingerprints:
            self.nodes[number].record_lost(fingerprint, now)
        self.nodes[number].record_crash(now)
        self.exchange_reports(now)


@pytest.mark.parametrize('size', [1, 3, 13, 89])
def test_request_is_refused_by_all_nodes_from_its_third_crash(size):
    fleet = Fleet(size)
    for crash in range(3):
        assert not any(node.is_refused(7) for node in fleet.nodes)
        fleet.crash(crash % size, [7], float(crash))
    assert all(node.is_refused(7) for node in fleet.nodes)
    assert all(node.refused_count() == 1 for node in fleet.nodes)
    assert not any(node.is_refused(8) for node in fleet.nodes)


def test_requests_beside_the_faulty_one_are_cleared_by_an_answer():
    """Twelve others run at each crash; a target answers each one later."""
    rng = random.Random(3)
    fleet = Fleet(5)
    others = list(range(100, 112))
    for crash in range(3):
        fleet.crash(crash, [7, *others], float(crash))
    assert fleet.nodes[4].is_refused(others[0])
    for fingerprint in others:
        node = rng.choice(fleet.nodes)
        assert node.record_answer(fingerprint, 5.0)
        fleet.exchange_reports(5.0)
    for node in fleet.nodes:
        assert node.is_refused(7)
        assert not any(node.is_refused(fingerprint) for fingerprint in others)


def test_answer_is_reported_once():
    fleet = Fleet(2)
    fleet.crash(0, [7], 0.0)
    assert fleet.nodes[1].record_answer(7, 1.0)
    assert not fleet.nodes[1].record_answer(7, 1.1)
    assert not fleet.nodes[1].record_answer(8, 1.2)


def test_refusal_expires():
    fleet = Fleet(3)
    for crash in range(3):
        fleet.crash(crash, [7], float(crash))
    fleet.exchange_reports(suspects.SUSPECT_RETENTION_S + 2.1)
    for node in fleet.nodes:
        assert not node.is_refused(7)
        assert not node.has_any


def test_broken_connection_without_a_crash_does_not_count():
    node = suspects.Suspects()
    node.record_lost(7, 0.0)
    assert node.record_crash(suspects.CRASH_DETECTION_S + 0.1) == []
    assert not node.has_any


def test_remembered_requests_are_bounded():
    node = suspects.Suspects()
    for fingerprint in range(10 * suspects.MAX_LOST_REQUESTS):
        node.record_lost(fingerprint, 0.0)
        if fingerprint % 50 == 49:
            node.record_crash(0.0)
    assert len(node.own_suspects(1.0)) == suspects.MAX_SUSPECTS


class RestartedFleet(Fleet):
    """A fleet whose nodes restart and are told what they have reported."""

    def __init__(self, size):
        super().__init__(size)
        self.starts = [0] * size

    def restart(self, number, now):
        self.nodes[number] = suspects.Suspects()
        self.starts[number] += 1
        self.exchange_reports(now)
        self.exchange_reports(now)

    def exchange_reports(self, now):
        for number, node in enumerate(self.nodes):
            reported = node.own_suspects(now)
            for other in self.nodes:
                if other is node:
                    continue
                other.set_reported(
                    str(number), reported, self.starts[number], now
                )
                node.restore(other.lost_by(str(number)), now)


@pytest.mark.parametrize('rounds', [1, 3])
def test_request_stays_refused_while_all_nodes_restart_in_turn(rounds):
    fleet = RestartedFleet(4)
    for crash in range(3):
        fleet.crash(crash, [7], float(crash))
    for step in range(4 * rounds):
        now = 3.0 + step
        fleet.restart(step % 4, now)
        assert all(node.is_refused(7) for node in fleet.nodes)
    now += suspects.SUSPECT_RETENTION_S + 1
    fleet.exchange_reports(now)
    fleet.exchange_reports(now)
    assert not any(node.has_any for node in fleet.nodes)


def test_answer_after_a_restart_clears_a_request():
    fleet = RestartedFleet(3)
    for crash in range(3):
        fleet.crash(crash, [7, 8], float(crash))
    fleet.restart(0, 4.0)
    assert fleet.nodes[0].record_answer(8, 5.0)
    fleet.exchange_reports(5.0)
    for node in fleet.nodes:
        assert node.is_refused(7)
        assert not node.is_refused(8)


def test_answer_before_a_node_is_reminded_is_kept():
    node = suspects.Suspects()
    node.record_lost(7, 0.0)
    node.record_crash(0.0)
    reminder = node.own_suspects(0.0)
    restarted = suspects.Suspects()
    restarted.record_lost(7, 1.0)
    restarted._own[7] = suspects._Count(0, 1, 60.0)
    assert restarted.restore(reminder, 2.0)
    (suspect,) = restarted.own_suspects(2.0)
    assert (suspect.crashes, suspect.answers) == (1, 1)


def test_suspects_of_a_node_that_is_gone_are_forgotten():
    fleet = RestartedFleet(2)
    fleet.crash(0, [7], 0.0)
    fleet.nodes[1].forget_reported('0')
    assert not fleet.nodes[1].has_any


def test_request_that_was_answered_stays_cleared_while_all_nodes_restart():
    """Answers are counted by one node, like crashes."""
    rng = random.Random(8)
    fleet = RestartedFleet(4)
    for crash in range(3):
        fleet.crash(crash, [7], float(crash))
    assert fleet.nodes[3].record_answer(7, 3.0)
    fleet.exchange_reports(3.0)
    for step in range(20):
        fleet.restart(rng.randrange(4), 4.0 + step)
        assert not any(node.is_refused(7) for node in fleet.nodes)


def test_answer_counts_for_as_long_as_crashes_at_other_targets():
    """A node that starts anew counts its crashes for a further time."""
    fleet = RestartedFleet(3)
    for crash in range(3):
        fleet.crash(0, [7], float(crash))
    assert fleet.nodes[1].record_answer(7, 3.0)
    fleet.exchange_reports(3.0)
    fleet.restart(0, 50.0)
    answered_until = 3.0 + suspects.SUSPECT_RETENTION_S
    for now in (answered_until, 100.0):
        fleet.exchange_reports(now)
        assert not any(node.is_refused(7) for node in fleet.nodes)
    for now in (111.0, 112.0, 113.0):
        fleet.exchange_reports(now)
    assert not any(node.has_any for node in fleet.nodes)
