"""Tests that an error in one step of a stop costs no call or other step."""

import pytest
import trio

from tests.pumicestand_node import test_mesh_node

make_node = test_mesh_node.make_node
GRACE_S = 6.0
# Attribute of the node, and its function that fails.
STEPS = (
    ('_decisions', 'flush'),
    ('_outbound_calls', 'finish_by'),
    ('_target_calls', 'finish_by'),
    ('_client_port', 'close_when_idle'),
    ('_target_calls', 'refuse_all'),
    ('_links', 'refuse_arriving'),
    ('_links', 'schedule_report'),
    (None, '_has_work'),
    ('_store', 'close'),
    ('_target_calls', 'close'),
)


def fail(*arguments, **options):
    raise ValueError('unexpected')


@pytest.mark.parametrize(('owner', 'function'), STEPS)
def test_a_step_of_a_stop_that_fails_does_not_cut_the_calls_in_flight(
    monkeypatch, make_node, owner, function
):
    """The process ended with an error and with all calls."""
    closed = []

    async def test(stopping):
        node = stopping._node
        for name in ('_store', '_target_calls'):
            monkeypatch.setattr(
                getattr(node, name), 'close', make_close(closed, name)
            )
        stopping.answered_at['i1'] = 1.0 + 4.5
        await trio.sleep(0.5)
        holder = node if owner is None else getattr(node, owner)
        monkeypatch.setattr(holder, function, fail)
        status, answered_at = await stopping.send_request(2.2, 'i1', 20.0)
        assert status == 200
        assert answered_at == pytest.approx(4.5, abs=0.1)

    test_mesh_node.run_stopping_node(monkeypatch, make_node, GRACE_S, test)
    others = {'_store', '_target_calls'}
    if function == 'close':
        others.remove(owner)
    assert set(closed) == others


def make_close(closed, name):
    async def close():
        closed.append(name)

    return close


def test_a_store_that_does_not_close_does_not_hold_up_the_stop(
    monkeypatch, make_node
):
    async def test(stopping):
        monkeypatch.setattr(stopping._node._store, 'close', trio.sleep_forever)
        await trio.sleep(1.0)
        with trio.fail_after(GRACE_S):
            while stopping._node._nursery.cancel_scope.cancel_called is False:
                await trio.sleep(0.1)

    test_mesh_node.run_stopping_node(monkeypatch, make_node, GRACE_S, test)
