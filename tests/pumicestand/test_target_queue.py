"""Tests of the slots of a target and of the calls that wait for them."""

import pytest

from pumicestand import target_queue


def make_queue(slots=2, work=0.1):
    queue = target_queue.TargetQueue()
    queue.set_slots(slots)
    # Enough observations to make the mean the work itself.
    for _ in range(200):
        ticket = make_ticket(0.0)
        queue.offer(ticket, 0.0)
        queue.finish(ticket, work, True)
    return queue


def make_ticket(now, objective=0.3, deadline=1.0, **kwargs):
    fields = {
        'priority': 1,
        'is_nested': False,
        'is_client_retry': False,
        'route': 'r',
        **kwargs,
    }
    return target_queue.Ticket(
        deadline=now + deadline, objective_at=now + objective, **fields
    )


def offer(queue, now=10.0, **kwargs):
    ticket = make_ticket(now, **kwargs)
    return ticket, queue.offer(ticket, now)


def test_calls_start_while_there_are_slots_then_wait():
    queue = make_queue(slots=2)
    answers = [offer(queue)[1] for _ in range(3)]
    assert answers == [
        target_queue.Start(),
        target_queue.Start(),
        target_queue.Wait(),
    ]
    assert (queue.running, queue.queued) == (2, 1)


def test_a_call_that_can_not_make_its_objective_is_refused_at_once():
    queue = make_queue(slots=1, work=0.1)
    offer(queue)
    offer(queue)
    _, answer = offer(queue, objective=0.25)
    assert isinstance(answer, target_queue.Refuse)
    # Room is expected when what runs and waits is done.
    assert answer.retry_after == pytest.approx(0.2, rel=0.1)


def test_a_client_that_came_back_may_be_served_late():
    queue = make_queue(slots=1, work=0.1)
    for _ in range(3):
        offer(queue)
    _, answer = offer(queue, objective=0.0, deadline=1.0, is_client_retry=True)
    assert answer == target_queue.Wait()


def test_urgent_calls_go_first_and_equal_ones_in_order():
    queue = make_queue(slots=1, work=0.01)
    running, _ = offer(queue)
    late, _ = offer(queue, priority=2)
    first, _ = offer(queue, priority=1)
    second, _ = offer(queue, priority=1)
    inner, _ = offer(queue, priority=2, is_nested=True)
    order = []
    ticket = running
    for _ in range(4):
        queue.finish(ticket, 10.0, True)
        ((ticket,), refused) = queue.dispatch(10.0)
        assert not refused
        order.append(ticket)
    assert order == [inner, first, second, late]


def test_a_call_overtaken_until_it_is_late_is_given_back():
    queue = make_queue(slots=1, work=0.1)
    running, _ = offer(queue)
    waiting, answer = offer(queue, objective=0.3, priority=2)
    assert answer == target_queue.Wait()
    queue.finish(running, 10.25, True)
    started, refused = queue.dispatch(10.25)
    assert (started, refused) == ([], [waiting])


def test_urgent_calls_to_come_are_reckoned_with():
    """Calls that go first take three of four slots, again and again."""
    queue = make_queue(slots=4, work=0.1)
    now = 10.0
    for step in range(400):
        now = 10.0 + step * 0.033
        queue.offer(make_ticket(now, is_nested=True, deadline=9.0), now)
        queue.dispatch(now)
        if queue.running == 4:
            for _ in range(3):
                queue.finish(make_ticket(now), now, False)
    while queue.running < 4:
        queue.offer(make_ticket(now, is_nested=True, deadline=9.0), now)
    alone = make_queue(slots=4, work=0.1)
    for _ in range(4):
        alone.offer(make_ticket(now), now)
    plain = make_ticket(now, priority=2)
    assert queue.expected_wait(now, plain) > 2 * alone.expected_wait(
        now, plain
    )


def test_no_slot_means_refusal():
    queue = target_queue.TargetQueue()
    _, answer = offer(queue)
    assert isinstance(answer, target_queue.Refuse)


def test_a_cancelled_wait_frees_its_place():
    queue = make_queue(slots=1)
    offer(queue)
    waiting, _ = offer(queue)
    queue.cancel(waiting)
    assert queue.queued == 0


@pytest.mark.parametrize('share', [0.5, 1.0, 2.0])
def test_a_burst_is_served_in_time_or_refused_at_once(share):
    """Plays ten times what fits: nobody waits for nothing."""
    queue = make_queue(slots=4, work=0.1)
    now, running, in_time, refused, held = 0.0, [], 0, 0, 0
    for step in range(1000):
        now = step * 0.0025 / share
        for ticket in [t for t in running if t.started_at + 0.1 <= now]:
            running.remove(ticket)
            queue.finish(ticket, now, True)
            in_time += now <= ticket.objective_at + 0.01
            started, given_back = queue.dispatch(now)
            running += started
            held += len(given_back)
        ticket = make_ticket(now)
        match queue.offer(ticket, now):
            case target_queue.Start():
                running.append(ticket)
            case target_queue.Refuse():
                refused += 1
    assert held == 0
    assert refused > 0
    capacity = 4 / 0.1 * now
    assert in_time > 0.9 * capacity


class TestPace:
    def test_it_is_the_ratio_to_what_calls_take_elsewhere(self):
        pace = target_queue.SlownessEstimator()
        for _ in range(300):
            pace.record_call(200, 100, 1.0)
        assert pace.slowness(1.0) == pytest.approx(2.0, rel=0.01)

    def test_it_fades_so_that_a_target_is_tried_again(self):
        pace = target_queue.SlownessEstimator()
        for _ in range(300):
            pace.record_call(900, 100, 1.0)
        later = 1.0 + 3 * target_queue.SLOWNESS_HALF_LIFE_S
        assert pace.slowness(later) == pytest.approx(2.0, rel=0.01)

    def test_long_calls_do_not_make_a_target_look_slow(self):
        pace = target_queue.SlownessEstimator()
        for _ in range(300):
            pace.record_call(500, 500, 1.0)
        assert pace.slowness(1.0) == pytest.approx(1.0)
