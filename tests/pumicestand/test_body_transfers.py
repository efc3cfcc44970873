"""Tests of the schedule of request bodies."""

import pytest

from pumicestand import body_transfers

RATE = 690_000.0
BODY = 60_000
OUTER = (True, 1)
NESTED = (False, 1)


def make_transfer(size=BODY, priority_key=OUTER, start_by=10.0):
    return body_transfers.Transfer(size, priority_key, start_by)


@pytest.fixture
def transfers():
    return body_transfers.BodyTransfers(RATE)


def test_bodies_in_transit_are_bounded_by_the_link(transfers):
    """Guards against bodies that fill the queue of a narrow link."""
    offered = [make_transfer() for _ in range(20)]
    for transfer in offered:
        transfers.offer(transfer)
    requested = transfers.plan(0.0).requested
    assert requested == (offered[0],)
    assert transfers.plan(0.01).requested == ()
    transfers.finish(requested[0])
    assert transfers.plan(0.1).requested == (offered[1],)


def test_the_next_body_is_requested_before_the_last_part_arrives(transfers):
    """Guards against a link that is idle between two bodies."""
    first, second = make_transfer(), make_transfer()
    for transfer in (first, second):
        transfers.offer(transfer)
    transfers.plan(0.0)
    transfers.record_part(first, 16_384)
    assert transfers.plan(0.02).requested == ()
    transfers.record_part(first, 16_384)
    assert transfers.plan(0.05).requested == (second,)


def test_a_body_larger_than_the_bound_is_requested_alone(transfers):
    """Guards against large bodies that are never requested."""
    large, small = make_transfer(size=500_000), make_transfer()
    for transfer in (large, small):
        transfers.offer(transfer)
    assert transfers.plan(0.0).requested == (large,)
    transfers.finish(large)
    assert transfers.plan(0.7).requested == (small,)


def test_urgent_bodies_are_requested_first(transfers):
    """Guards against a nested call that waits behind outer uploads."""
    first, second = make_transfer(), make_transfer()
    for transfer in (first, second):
        transfers.offer(transfer)
    transfers.plan(0.0)
    nested = make_transfer(priority_key=NESTED)
    transfers.offer(nested)
    transfers.finish(first)
    assert transfers.plan(0.1).requested == (nested,)


def test_a_body_that_would_arrive_too_late_is_refused(transfers):
    """Guards against bodies that cross the link for a call without time."""
    for _ in range(2):
        transfers.offer(make_transfer())
    transfers.plan(0.0)
    late = make_transfer(start_by=0.2)
    transfers.offer(late)
    assert transfers.next_check_s(0.1) == pytest.approx(0.1)
    assert transfers.plan(0.21).overdue == (late,)
    assert transfers.waiting == 1


def test_a_sender_that_stops_does_not_block_the_link(transfers):
    """Guards against a lost body that counts as in transit for ever."""
    offered = [make_transfer() for _ in range(2)]
    for transfer in offered:
        transfers.offer(transfer)
    requested = transfers.plan(0.0).requested
    lost_at = requested[0].counts_until
    assert transfers.next_check_s(0.0) == pytest.approx(lost_at)
    assert transfers.plan(lost_at).requested == (offered[1],)


def test_expected_time_counts_what_is_ahead(transfers):
    """Guards against accepting uploads that the link can't carry in time."""
    alone = transfers.expected_s(BODY, OUTER, 0.0)
    assert alone == pytest.approx(BODY / RATE / 0.8)
    for _ in range(4):
        transfers.offer(make_transfer())
    transfers.plan(0.0)
    assert transfers.expected_s(BODY, OUTER, 0.0) == pytest.approx(5 * alone)
    # Nested calls do not wait for the outer ones that are not in transit.
    assert transfers.expected_s(BODY, NESTED, 0.0) == pytest.approx(2 * alone)


def test_without_a_known_rate_bodies_are_requested_at_once():
    """Guards against a VM without link settings that takes no uploads."""
    transfers = body_transfers.BodyTransfers(0.0)
    offered = [make_transfer() for _ in range(5)]
    for transfer in offered:
        transfers.offer(transfer)
    assert transfers.plan(0.0).requested == tuple(offered)
    assert transfers.expected_s(BODY, OUTER, 0.0) == 0.0
