"""Tests of the buckets and grants of a coordinator."""

import pytest

from pumicestand import documents
from pumicestand import hop_messages
from pumicestand import quota_buckets
from pumicestand import quota_coordination
from pumicestand import quota_fleet

BOUNDS = quota_buckets.QuotaBounds()
ALL_SLOTS = 2**quota_fleet.SLOT_COUNT - 1


def make_organisations(rate=100.0, burst=20.0):
    quota = documents.Organisation('north', frozenset(), None, rate, burst)
    return {'north': quota}


class Fleet:
    """Sends the requests of nodes to a coordinator."""

    def __init__(self, node_count=4, **quota):
        self.coordinator = quota_coordination.Coordinator('c', BOUNDS)
        self.coordinator.set_organisations(make_organisations(**quota), 0.0)
        self.node_count = node_count
        self.number = 0
        self.coordinator.set_node_count(node_count, 0.0)

    def request(self, used=0, wanted=0, number=None, acknowledged=0, at=0.0):
        if number is None:
            self.number += 1
            number = self.number
        return hop_messages.QuotaRequest(
            number,
            self.node_count,
            (hop_messages.QuotaUse('north', used, wanted),),
            ALL_SLOTS,
            int(at * 1000),
            acknowledged,
        )

    def send(self, now, name='n0', incarnation=1, **kwargs):
        """Return the grant for a request that was sent just now."""
        reply = self.coordinator.handle(
            name, incarnation, self.request(at=now, **kwargs), now
        )
        return reply.grants[0] if reply else None

    def keep_delegating(self, start, end, names):
        """Renew the delegations of nodes and return the time of the last."""
        steps = round((end - start) / 0.5)
        for step in range(steps + 1):
            for name in names:
                self.send(start + step * 0.5, name)
        return start + steps * 0.5

    def level(self):
        return self.coordinator._accounts['north'].bucket.level


ALL = ('n0', 'n1', 'n2', 'n3')


def test_bucket_starts_empty():
    """A new coordinator would give the burst of its predecessor again."""
    assert Fleet().send(0.0, wanted=5).granted == 0


def test_first_call_of_an_idle_organisation_has_the_tokens_until_then():
    """The first call of each organisation would be refused."""
    fleet = Fleet()
    for now in (0.0, 0.5, 1.0):
        for name in ALL:
            request = hop_messages.QuotaRequest(
                int(now * 2) + 1, 4, (), ALL_SLOTS, int(now * 1000)
            )
            fleet.coordinator.handle(name, 1, request, now)
    assert fleet.send(1.1, wanted=1, number=9).granted


def test_tokens_are_lost_while_nobody_has_delegated():
    """Other coordinators have used the shares of that time."""
    fleet = Fleet(burst=400.0)
    now = fleet.keep_delegating(0.0, 4.0, ALL)
    assert fleet.level() > 100.0
    fleet.send(now + 10.0)
    assert fleet.level() <= 0.0


def test_bucket_fills_with_the_share_of_the_delegations():
    """Two halves of a fleet that is cut would each use the whole rate."""
    levels = []
    for names in (ALL[:2], ALL):
        fleet = Fleet(burst=400.0)
        fleet.keep_delegating(0.0, 1.0, names)
        levels.append(fleet.level())
    assert levels[0] == pytest.approx(50.0, rel=0.05)
    assert levels[1] == pytest.approx(100.0, rel=0.05)


def test_delegation_ends_a_second_after_its_request_was_sent():
    """The node may have delegated to another coordinator since then."""
    fleet = Fleet(burst=400.0)
    fleet.send(0.0)
    assert fleet.coordinator.delegation_count == 1
    fleet.coordinator.set_organisations(make_organisations(), 1.01)
    assert fleet.coordinator.delegation_count == 0


def test_late_request_delegates_only_for_the_rest_of_its_second():
    """A frozen coordinator reads requests that are seconds old."""
    fleet = Fleet()
    fleet.send(0.0)
    late = fleet.request(at=0.1)
    assert fleet.coordinator.handle('n0', 1, late, 0.9) is not None
    fleet.coordinator.set_organisations(make_organisations(), 1.15)
    assert fleet.coordinator.delegation_count == 0
    too_late = fleet.request(at=1.2)
    assert fleet.coordinator.handle('n0', 1, too_late, 2.3) is None
    assert fleet.coordinator.delegation_count == 0


def test_doubled_request_is_not_answered_again():
    """Its calls would be counted and its tokens be granted twice."""
    fleet = Fleet(burst=400.0)
    now = fleet.keep_delegating(0.0, 4.0, ALL)
    request = fleet.request(used=3, wanted=2, at=now)
    before = fleet.level()
    assert fleet.coordinator.handle('n0', 1, request, now) is not None
    assert fleet.coordinator.handle('n0', 1, request, now) is None
    assert before - fleet.level() == 3


def test_used_calls_are_counted_once_until_acknowledged():
    fleet = Fleet(burst=400.0)
    now = fleet.keep_delegating(0.0, 4.0, ALL)
    before = fleet.level()
    fleet.send(now, used=3)
    # The reply was lost, and two further calls were started.
    fleet.send(now, used=5)
    assert before - fleet.level() == 5
    # It arrived now.
    fleet.send(now, used=1, acknowledged=fleet.number)
    assert before - fleet.level() == 6


def test_restarted_node_whose_numbers_start_again_is_answered():
    fleet = Fleet()
    fleet.send(0.0, number=50)
    assert fleet.send(0.1, number=1, incarnation=2) is not None
    assert fleet.coordinator.delegation_count == 1


def test_largest_node_count_sets_the_share():
    """A coordinator that has just started does not know all nodes."""
    fleet = Fleet(burst=4000.0)
    fleet.coordinator.set_node_count(1, 0.0)
    fleet.keep_delegating(0.0, 1.0, ALL[:1])
    assert fleet.level() == pytest.approx(25.0, rel=0.05)


def test_full_bucket_lets_calls_start_ahead_and_reserves_them():
    fleet = Fleet()
    now = fleet.keep_delegating(0.0, 2.0, ALL)
    grants = [fleet.send(now, name, wanted=3) for name in ALL]
    assert grants[0].is_relaxed
    assert grants[0].granted == 6
    # 20 burst: half of it, 4 of the slack and a tenth of the excess, 5, and 1.
    assert sum(g.granted for g in grants if g.is_relaxed) <= 10


def test_share_of_another_coordinator_is_not_granted():
    fleet = Fleet()
    now = fleet.keep_delegating(0.0, 2.0, ALL)
    request = hop_messages.QuotaRequest(
        99, 4, (hop_messages.QuotaUse('north', 0, 1),), 0, int(now * 1000)
    )
    reply = fleet.coordinator.handle('n0', 1, request, now)
    (grant,) = reply.grants
    assert grant.granted == 0
    assert grant.delay_ms == quota_coordination.NO_QUOTA_DELAY_MS


def test_refused_call_is_told_when_a_token_is_expected():
    fleet = Fleet(node_count=1, rate=4.0, burst=0.0)
    now = fleet.keep_delegating(0.0, 0.0, ALL[:1])
    grant = fleet.send(now, wanted=1)
    assert (grant.granted, grant.delay_ms) == (0, 250)
    grant = fleet.send(now, wanted=1)
    assert grant.delay_ms == 500


def test_lowered_quota_cuts_the_bucket():
    """The tokens of the former quota would be used under the new one."""
    fleet = Fleet(burst=400.0)
    now = fleet.keep_delegating(0.0, 4.0, ALL)
    assert fleet.level() > 100.0
    lowered = make_organisations(rate=2.0, burst=1.0)
    fleet.coordinator.set_organisations(lowered, now)
    assert fleet.level() < 6.0


def test_debt_of_a_higher_quota_is_not_paid_back_at_the_lower_rate():
    fleet = Fleet(burst=0.0)
    fleet.keep_delegating(0.0, 0.0, ALL)
    fleet.send(0.0, used=200)
    assert fleet.level() <= -199.0
    fleet.coordinator.set_organisations(make_organisations(rate=1.0), 0.1)
    assert fleet.level() >= 0.0


def test_tokens_of_many_small_buckets_are_not_kept():
    """Of 660 nodes that are cut off, each would keep a token at a time."""
    rate, nodes = 3.0, 660
    buckets = [
        quota_buckets.Bucket(f'n{n} north', BOUNDS, rate, 0.0)
        for n in range(nodes)
    ]
    for elapsed_s in (0.0, 50.0, 350.0, 600.0):
        available = 0
        for bucket in buckets:
            bucket.refill(1 / nodes, elapsed_s / nodes)
            if bucket.available >= 1.0:
                available += 1
        assert available <= BOUNDS.limit(rate, 0.0)


def test_small_bucket_fills_at_its_rate():
    bucket = quota_buckets.Bucket('n0 north', BOUNDS, 20.0, 0.0)
    taken = 0
    for _ in range(10_000):
        bucket.refill(0.01, 0.01 * 0.1)
        if bucket.available >= 1.0:
            bucket.take(1)
            taken += 1
    assert taken == pytest.approx(200, abs=2)
