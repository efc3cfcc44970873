"""Tests of what a node starts, asks for and refuses of a quota."""

import pytest

from pumicestand import documents
from pumicestand import hop_messages
from pumicestand import quota_buckets
from pumicestand import quota_coordination
from pumicestand import quota_fleet
from pumicestand import quotas

BOUNDS = quota_buckets.QuotaBounds()


def make_organisation(rate=100.0, burst=20.0):
    return documents.Organisation('north', frozenset(), None, rate, burst)


class Harness:
    """A node with quotas whose coordinator is played by the test."""

    def __init__(self, *coordinators, node_count=4):
        self.node = quotas.QuotaNode('own', BOUNDS)
        self.node.set_organisations({'north': make_organisation()})
        self.set_fleet(*(coordinators or ('c',)), node_count=node_count)

    def set_fleet(self, *names, node_count=4, now=0.0):
        self.node.set_fleet(quota_fleet.QuotaFleet(node_count, names), now)

    def due(self, now):
        """Return the requests that are due, by coordinator."""
        return {send.coordinator: send.request for send in self.node.due(now)}

    def reply(self, request, now, name='c', **grant):
        grants = ()
        if grant:
            grants = (hop_messages.QuotaGrant('north', **grant),)
        reply = hop_messages.QuotaReply(request.number, grants)
        return self.node.apply_reply(name, reply, now)

    def exchange(self, now, name='c', **grant):
        """Answer the request that is due; return it."""
        request = self.due(now)[name]
        assert self.reply(request, now, name, **grant)
        return request

    def start(self, now):
        return self.node.try_start('north', now)


def test_organisation_without_quota_is_admitted():
    assert Harness().node.try_start('other', 0.0) == quotas.Admitted()


def test_node_delegates_all_slots_and_renews_the_delegation():
    """Buckets would fill with less than the rate, though nobody failed."""
    harness = Harness()
    request = harness.exchange(0.0)
    assert request.slots == 2**quota_fleet.SLOT_COUNT - 1
    assert request.node_count == 4
    assert not harness.due(0.6)
    assert harness.node.next_due() == pytest.approx(quotas.RENEW_S)
    renewal = harness.exchange(quotas.RENEW_S)
    assert renewal.number > request.number
    assert renewal.acknowledged == request.number


def test_call_without_a_token_asks_at_once():
    harness = Harness()
    harness.exchange(0.0)
    assert harness.start(0.1) == quotas.MustAsk()
    harness.node.add_waiting('north')
    request = harness.exchange(0.1, granted=1)
    assert request.uses == (hop_messages.QuotaUse('north', 0, 1),)
    assert harness.start(0.11) == quotas.Admitted()
    harness.node.remove_waiting('north')
    assert harness.start(0.11) == quotas.MustAsk()


def test_grant_expires_by_the_time_of_its_request():
    """A coordinator's late reply would be used beside its successor's."""
    harness = Harness()
    harness.exchange(0.0)
    harness.node.add_waiting('north')
    request = harness.due(0.1)['c']
    assert harness.reply(request, 0.55, granted=2)
    assert harness.start(0.59) == quotas.Admitted()
    assert harness.start(0.61) != quotas.Admitted()


def test_relaxed_calls_start_at_once_and_are_reported_in_time():
    harness = Harness()
    harness.exchange(0.0)
    harness.node.add_waiting('north')
    harness.exchange(0.1, granted=3, is_relaxed=True)
    harness.node.remove_waiting('north')
    assert [harness.start(0.2) for _ in range(3)] == [quotas.Admitted()] * 3
    assert harness.start(0.2) == quotas.MustAsk()
    assert harness.node.next_due() <= 0.2 + 0.2
    request = harness.exchange(0.35)
    assert request.uses == (hop_messages.QuotaUse('north', 3, 0),)


def test_relaxed_state_expires():
    harness = Harness()
    harness.exchange(0.0)
    harness.node.add_waiting('north')
    harness.exchange(0.1, granted=3, is_relaxed=True)
    assert harness.start(0.61) == quotas.MustAsk()


def test_used_calls_are_reported_until_they_are_acknowledged():
    """A lost report would leave calls uncounted."""
    harness = Harness()
    harness.exchange(0.0)
    harness.node.add_waiting('north')
    harness.exchange(0.1, granted=3, is_relaxed=True)
    harness.node.remove_waiting('north')
    harness.start(0.1)
    lost = harness.due(0.3)['c']
    assert lost.uses[0].used == 1
    harness.start(0.31)
    resent = harness.due(0.41)['c']
    assert resent.uses[0].used == 2
    harness.reply(resent, 0.42, granted=3, is_relaxed=True)
    harness.start(0.43)
    assert harness.due(0.6)['c'].uses[0].used == 1


def test_calls_started_since_the_request_count_against_the_grant():
    """They would be started twice: the coordinator reserves one grant."""
    harness = Harness()
    harness.exchange(0.0)
    harness.node.add_waiting('north')
    harness.exchange(0.1, granted=4, is_relaxed=True)
    harness.node.remove_waiting('north')
    harness.start(0.1)
    request = harness.due(0.3)['c']
    harness.start(0.31)
    harness.start(0.31)
    harness.reply(request, 0.32, granted=2, is_relaxed=True)
    assert harness.start(0.33) != quotas.Admitted()


def test_refused_calls_are_told_when_a_token_is_expected():
    harness = Harness()
    harness.exchange(0.0)
    harness.node.add_waiting('north')
    harness.exchange(0.1, delay_ms=300)
    harness.node.remove_waiting('north')
    refused = harness.start(0.15)
    assert refused.retry_after == pytest.approx(0.25)
    assert not harness.due(0.15)


def test_share_of_a_lost_coordinator_is_delegated_after_its_second():
    """Both coordinators would use the share."""
    harness = Harness('c', node_count=2)
    harness.exchange(0.0)
    harness.due(0.7)
    sent_at = last = 0.7
    while harness.node.coordinators and sent_at < 2.0:
        sent_at += 0.1
        if harness.due(sent_at):
            last = sent_at
    assert sent_at <= 0.7 + quotas.LOST_S + 0.1
    assert harness.node.excluded(sent_at) == {'c'}
    harness.set_fleet('d', now=sent_at)
    assert not harness.due(last + quota_coordination.DELEGATION_S - 0.01)
    assert 'd' in harness.due(last + quota_coordination.DELEGATION_S + 0.01)
    assert [type(event) for event in harness.node.take_events()] == [
        quotas.CoordinatorTaken,
        quotas.CoordinatorLost,
        quotas.CoordinatorTaken,
    ]


def test_part_of_the_own_share_is_used_while_nobody_has_it():
    """All calls would be refused for a second after a coordinator's death."""
    harness = Harness(node_count=1)
    harness.node.set_organisations({'north': make_organisation(rate=500.0)})
    harness.exchange(0.0)
    harness.node.lose_coordinator('c', 0.1)
    admitted = sum(
        harness.start(0.1 + step * 0.01) == quotas.Admitted()
        for step in range(90)
    )
    share = 500 * quotas.OWN_SHARE * 0.9
    assert 0.3 * share < admitted <= share + 1


def test_confirmed_release_is_delegated_at_once():
    """Calls would be refused for a second whenever the ranks change."""
    harness = Harness()
    harness.exchange(0.0)
    harness.set_fleet('d', now=0.1)
    request = harness.due(0.1)['c']
    assert request.slots == 0
    assert 'd' not in harness.due(0.11)
    harness.reply(request, 0.12)
    assert harness.due(0.12)['d'].slots == 2**quota_fleet.SLOT_COUNT - 1
    assert harness.node.coordinators == ('d',)


def test_release_that_is_not_confirmed_waits_for_the_delegation_to_end():
    harness = Harness()
    harness.exchange(0.5)
    harness.set_fleet('d', now=0.6)
    assert 'c' in harness.due(0.6)
    assert 'd' not in harness.due(1.45)
    assert 'd' in harness.due(1.51)


def test_slots_are_spread_over_the_coordinators():
    harness = Harness('c', 'd', node_count=150)
    requests = harness.due(0.0)
    assert requests['c'].slots & requests['d'].slots == 0
    assert (
        requests['c'].slots | requests['d'].slots
        == 2**quota_fleet.SLOT_COUNT - 1
    )


def test_frozen_coordinator_does_not_make_each_call_wait():
    harness = Harness()
    harness.exchange(0.0)
    harness.node.add_waiting('north')
    harness.due(0.1)
    assert harness.start(0.12) == quotas.MustAsk()
    assert isinstance(harness.start(0.16), quotas.Refused)


def test_returned_token_is_used_by_the_next_call():
    harness = Harness()
    harness.exchange(0.0)
    harness.node.give_back(quotas.Token('north', 0.0), 0.1)
    assert harness.start(0.2) == quotas.Admitted()
    harness.node.give_back(quotas.Token('north', 0.2), 0.3)
    assert harness.start(0.8) != quotas.Admitted()


def test_token_that_was_held_for_long_is_lost():
    """Calls held during a fault of targets must not all start after it."""
    harness = Harness()
    harness.exchange(0.0)
    for _ in range(50):
        harness.node.give_back(quotas.Token('north', 0.0), 2.0)
    assert harness.start(2.01) != quotas.Admitted()


def test_tokens_of_a_higher_quota_are_dropped_when_it_is_lowered():
    harness = Harness()
    harness.exchange(0.0)
    harness.node.give_back(quotas.Token('north', 0.0), 0.1)
    harness.node.set_organisations({'north': make_organisation(rate=1.0)})
    assert harness.start(0.2) != quotas.Admitted()


def test_reply_to_an_unknown_request_is_ignored():
    harness = Harness()
    request = harness.exchange(0.0)
    assert not harness.reply(request, 0.1, granted=5)
    assert not harness.node.apply_reply(
        'other', hop_messages.QuotaReply(1), 0.1
    )
