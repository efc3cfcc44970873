"""Tests of the shares of organisations and of the order that they lead to."""

import random

import pytest

from pumicestand import fair_shares
from pumicestand import target_queue

SLOTS = 3
WORK_S = 0.1
ORGANISATIONS = [f'o{number}' for number in range(8)]
HOT = ORGANISATIONS[0]
# Calls a second of each organisation; together 0.8 of the capacity.
USUAL_RATE = 0.8 * SLOTS / WORK_S / len(ORGANISATIONS)
HOT_FROM_S, HOT_UNTIL_S = 20.0, 27.0


def make_ticket(now, organisation):
    return target_queue.Ticket(
        priority=1,
        is_nested=False,
        is_client_retry=False,
        deadline=now + 1.0,
        objective_at=now + 0.4,
        route='r',
        organisation=organisation,
    )


def play_hot_organisation(has_organisations=True):
    """Return the share of calls served in the hot time, by organisation.

    The first organisation sends seven times its usual calls meanwhile.
    """
    rng = random.Random(3)
    queue = target_queue.TargetQueue()
    queue.set_slots(SLOTS)
    asked = dict.fromkeys(ORGANISATIONS, 0)
    served = dict.fromkeys(ORGANISATIONS, 0)
    # Ticket number to the name of its organisation.
    names = {}
    running = []
    for step in range(int(HOT_UNTIL_S * 1000)):
        now = step / 1000
        is_hot = now >= HOT_FROM_S
        for ticket in [t for t in running if t.started_at + WORK_S <= now]:
            running.remove(ticket)
            queue.finish(ticket, now, True)
            served[names[ticket.number]] += is_hot
        for name in ORGANISATIONS:
            factor = 7 if is_hot and name == HOT else 1
            if rng.random() >= USUAL_RATE * factor / 1000:
                continue
            asked[name] += is_hot
            ticket = make_ticket(now, name if has_organisations else '')
            if queue.offer(ticket, now) == target_queue.Start():
                running.append(ticket)
            names[ticket.number] = name
        running += queue.dispatch(now)[0]
    return {name: served[name] / asked[name] for name in ORGANISATIONS}


def test_hot_organisation_does_not_take_the_room_of_the_others():
    """Guards against one organisation's burst refusing everyone's calls."""
    shares = play_hot_organisation()
    others = [share for name, share in shares.items() if name != HOT]
    unordered = play_hot_organisation(has_organisations=False)
    others_before = [s for name, s in unordered.items() if name != HOT]
    assert sum(others) > sum(others_before) + 0.5
    assert min(others) > 0.8


def test_hot_organisation_is_not_starved():
    """Guards against serving it less than a quarter as often as all."""
    shares = play_hot_organisation()
    assert shares[HOT] > 0.25 * sum(shares.values()) / len(shares)


def test_organisation_that_is_always_large_is_within_its_share():
    """Guards against penalising a large customer for its usual load."""
    shares = fair_shares.FairShares()
    for step in range(2000):
        shares.record_start(f'o{step % 10}', 0.02, step * 0.05)
        shares.record_start('large', 0.05, step * 0.05)
    assert not shares.is_above_share('large')


def test_share_is_regained_after_a_burst():
    """Guards against an organisation that stays behind after its burst."""
    shares = fair_shares.FairShares()
    for step in range(2000):
        shares.record_start(f'o{step % 10}', 0.1, step * 0.05)
    for step in range(60):
        shares.record_start('o0', 0.1, 100.0 + step * 0.05)
    assert shares.is_above_share('o0')
    for step in range(400):
        shares.record_start(f'o{step % 10}', 0.1, 103.0 + step * 0.05)
    assert not shares.is_above_share('o0')


@pytest.mark.parametrize('organisation', ['', 'unknown'])
def test_calls_without_usage_are_never_above_their_share(organisation):
    """Guards against an effect where there are no organisations."""
    shares = fair_shares.FairShares()
    for step in range(100):
        shares.record_start('', 0.1, step * 0.05)
    shares.record_start('o1', 0.1, 5.0)
    shares.record_start('o2', 0.1, 5.0)
    assert not shares.is_above_share(organisation)


def test_organisation_with_few_short_calls_is_remembered():
    """Otherwise a hot one seems to be alone and never above its share."""
    shares = fair_shares.FairShares()
    for second in range(60):
        for organisation in ORGANISATIONS:
            shares.record_start(organisation, 0.005, float(second))
        if second >= 55:
            for number in range(100):
                shares.record_start(HOT, 0.005, second + number / 100)
    assert shares.is_above_share(HOT)
