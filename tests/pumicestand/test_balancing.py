"""Tests of routing, load balancing and admission control."""

import collections
import random

import hypothesis
from hypothesis import strategies as st

from pumicestand import admission
from pumicestand import balancing
from pumicestand import blackboard as blackboards
from pumicestand import documents
from pumicestand import messages
from pumicestand import refusals
from pumicestand import routers
from pumicestand import routing
from pumicestand import target_states

NOW = 1000.0
LIMITS = documents.TargetLimits(20, 120, 40)
SERVICE = documents.Service('till', ('v1',), 'v1', (), (), LIMITS)


def make_route(name, path='/', methods=(), host='*', idempotent=True):
    return documents.Route(
        name,
        host,
        path,
        methods,
        (documents.Backend('till', 1),),
        (),
        2.0,
        idempotent,
        documents.Retries(2, 0.1),
    )


CHOICE = routers.Choice(make_route('r'), SERVICE, 'v1', None, False, 'v1')


def make_board(zones, connections=120, slots=20, nodes=0):
    identity = blackboards.Identity('production', 'self', 'a', 'r', 'h', 1, 2)
    board = blackboards.Blackboard(identity, 1)
    for index, zone in enumerate(zones):
        target = messages.Target(
            'till', 'v1', f'h{index}', 9, (), slots, connections
        )
        add_member(board, f'n{index}', zone, (target,))
    for index in range(nodes):
        add_member(board, f'x{index}', 'a', ())
    return board


def add_member(board, name, zone, targets, revision=1):
    member = messages.Member(
        name,
        1,
        revision,
        messages.Status.ALIVE,
        zone,
        'r',
        name,
        1,
        2,
        targets,
    )
    board.table.merge(member, NOW)


def choose_many(board, balancer, count, now=NOW + 60):
    chosen = collections.Counter()
    for _ in range(count):
        target = balancer.choose(board, now, CHOICE, 'v1')
        if target is not None:
            chosen[target.host] += 1
    return chosen


def end_slow_start(board, balancer):
    """Make all targets known for longer than the slow start lasts."""
    for member in board.table.reachable():
        for target in member.targets:
            balancer.stats_of(target, NOW - 60)


def test_routes_match_host_then_longest_path_then_method():
    document = documents.Document(
        (SERVICE,),
        (
            make_route('all'),
            make_route('passes', '/passes'),
            make_route('sale', '/passes', ('POST',)),
            make_route('deep', '/passes/gate'),
            make_route('host', '/passes', host='a.example'),
        ),
        (),
    )
    table = routing.RouteTable(document)
    cases = {
        ('b.example', '/other', 'GET'): 'all',
        ('b.example', '/passes/7', 'GET'): 'passes',
        ('b.example', '/passes2', 'GET'): 'all',
        ('b.example', '/passes', 'POST'): 'sale',
        ('b.example', '/passes/gate/1', 'POST'): 'deep',
        ('a.example', '/passes/7', 'GET'): 'host',
        ('a.example', '/other', 'GET'): 'all',
    }
    for (host, path, method), name in cases.items():
        assert table.match(host, path, method).name == name


def test_weights_hold_for_a_few_calls():
    backends = (documents.Backend('a', 3), documents.Backend('b', 1))
    picker = routing.WeightedPicker()
    picked = [picker.pick(backends).service for _ in range(8)]
    assert picked.count('a') == 6
    assert 'b' in picked[:4]


def test_own_zone_is_preferred_until_its_targets_are_loaded():
    board = make_board(['a', 'b'], slots=10)
    balancer = balancing.Balancer(random.Random(1))
    end_slow_start(board, balancer)
    assert set(choose_many(board, balancer, 50)) == {'h0'}
    local = board.table.member('n0').targets[0]
    for _ in range(8):
        balancer.record_start(local, NOW)
    assert 'h1' in choose_many(board, balancer, 50)


def test_target_without_free_slots_gets_no_call():
    board = make_board(['a'], slots=2)
    balancer = balancing.Balancer(random.Random(1))
    target = board.table.member('n0').targets[0]
    balancer.record_start(target, NOW)
    balancer.record_start(target, NOW)
    assert balancer.choose(board, NOW, CHOICE, 'v1') is None
    balancer.record_success(target, NOW, 0.01)
    assert balancer.choose(board, NOW, CHOICE, 'v1') == target


def test_slots_of_the_document_limit_a_target_that_announces_more():
    board = make_board(['a'], slots=1000)
    balancer = balancing.Balancer(random.Random(1))
    target = board.table.member('n0').targets[0]
    for _ in range(LIMITS.slots):
        assert balancer.choose(board, NOW, CHOICE, 'v1') == target
        balancer.record_start(target, NOW)
    assert balancer.choose(board, NOW, CHOICE, 'v1') is None


def test_connection_limit_of_the_document_limits_the_subset():
    pairs = [
        ('a', messages.Target('till', 'v1', f'h{n}', 9, (), 20, 1000))
        for n in range(30)
    ]
    assert balancing.subset_size(pairs, 100) == 30
    assert balancing.subset_size(pairs, 100, limit=40) == 6


def test_failing_target_is_ejected_for_a_time():
    board = make_board(['a', 'a', 'a'])
    balancer = balancing.Balancer(random.Random(1))
    end_slow_start(board, balancer)
    failing = board.table.member('n0').targets[0]
    for _ in range(balancing.FAILURES_BEFORE_EJECTION):
        balancer.record_start(failing, NOW)
        balancer.record_failure(failing, NOW)
    assert 'h0' not in choose_many(board, balancer, 50, NOW + 1)
    later = NOW + balancing.EJECTION_S + 1
    assert 'h0' in choose_many(board, balancer, 50, later)


def test_no_target_is_left_out_if_more_than_half_are_ejected():
    board = make_board(['a', 'a', 'a'])
    balancer = balancing.Balancer(random.Random(1))
    for name in ('n0', 'n1', 'n2'):
        target = board.table.member(name).targets[0]
        for _ in range(balancing.FAILURES_BEFORE_EJECTION):
            balancer.record_start(target, NOW)
            balancer.record_failure(target, NOW)
    assert len(choose_many(board, balancer, 200, NOW + 1)) == 3


def test_new_target_gets_fewer_calls_at_first():
    board = make_board(['a', 'a', 'a'])
    balancer = balancing.Balancer(random.Random(1))
    end_slow_start(board, balancer)
    new = board.table.member('n0').targets[0]
    balancer.stats_of(new, NOW).first_seen = NOW
    chosen = choose_many(board, balancer, 300, NOW + 1)
    assert chosen['h0'] < chosen['h1'] / 2


def test_draining_target_is_not_chosen():
    board = make_board(['a', 'a'])
    balancer = balancing.Balancer(random.Random(1))
    assert len(choose_many(board, balancer, 50)) == 2
    draining = messages.Target(
        'till', 'v1', 'h0', 9, (), 20, 120, target_states.TargetState.DRAINING
    )
    add_member(board, 'n0', 'a', (draining,), revision=2)
    assert set(choose_many(board, balancer, 50)) == {'h1'}


def test_subsets_of_a_large_fleet_keep_within_connection_limits():
    """660 nodes call 30 targets that take 120 connections each.

    Without subsets, each target would get a connection from every node.
    """
    board = make_board(['a'] * 30, nodes=630)
    balancer = balancing.Balancer(random.Random(1))
    pool = balancer.pool(board, 'till', 'v1', ())
    assert len(pool) == balancing.MIN_SUBSET
    # Each node chooses its own subset, and no target is in too many of them.
    uses = collections.Counter()
    for index in range(660):
        identity = blackboards.Identity(
            'production', f'caller{index}', 'a', 'r', 'h', 1, 2
        )
        other = blackboards.Blackboard(identity, 1)
        other.table = board.table
        for _, target in balancing.Balancer(random.Random(1)).pool(
            other, 'till', 'v1', ()
        ):
            uses[target.host] += 1
    assert max(uses.values()) <= 120


def test_queue_is_limited_and_newest_first_under_overload():
    woken = []
    queue = admission.WaitQueue()
    waiters = [
        admission.Waiter(NOW + 9, lambda number=number: woken.append(number))
        for number in range(5)
    ]
    for waiter in waiters[:4]:
        assert queue.add(waiter, 4) is None
    refused = queue.add(waiters[4], 4)
    assert refused.code == refusals.CallCode.OVERLOADED
    assert refused.retry_after == 1
    for _ in range(4):
        queue.wake_next(NOW, 4)
    assert woken == [3, 2, 0, 1]


def test_waiters_past_their_deadline_are_skipped():
    woken = []
    queue = admission.WaitQueue()
    queue.add(admission.Waiter(NOW - 1, lambda: woken.append('late')), 9)
    queue.add(admission.Waiter(NOW + 1, lambda: woken.append('live')), 9)
    queue.wake_next(NOW, 9)
    assert woken == ['live']


@hypothesis.given(
    st.booleans(), st.integers(1, 6), st.integers(1, 6), st.booleans()
)
def test_sent_non_idempotent_calls_are_not_retried(
    idempotent, attempt, upstream, was_sent
):
    route = make_route('r', idempotent=idempotent)
    allowed = admission.may_retry(route, attempt, upstream, was_sent=was_sent)
    if was_sent and (not idempotent or upstream > 1):
        assert not allowed
    if attempt >= route.retries.attempts:
        assert not allowed


@hypothesis.given(st.integers(1, 500))
def test_retries_stay_within_the_budget(calls):
    budget = admission.RetryBudget()
    retries = 0
    for _ in range(calls):
        budget.record_call(0.1)
        retries += budget.try_acquire(0.1)
    assert retries <= 0.1 * calls + admission.RetryBudget.INITIAL_TOKENS
