"""Tests of the signals that a node's process gets."""

import signal

import pytest
import trio

from pumicestand_platform import main
from pumicestand_platform import settings
from tests.pumicestand_platform import test_settings

STOP_S = 0.05


class FakeNode:
    """Gets a further signal while it stops."""

    further_signal = None
    has_closed = False

    def __init__(self, node_settings, adapter):
        pass

    async def start(self, nursery):
        signal.raise_signal(signal.SIGTERM)

    async def close(self):
        signal.raise_signal(self.further_signal)
        await trio.sleep(STOP_S)
        FakeNode.has_closed = True


@pytest.mark.parametrize('further_signal', (signal.SIGTERM, signal.SIGHUP))
def test_a_further_signal_during_the_stop_neither_ends_nor_repeats_it(
    monkeypatch, further_signal
):
    late, reloads = [], []
    monkeypatch.setattr(main.mesh_node, 'MeshNode', FakeNode)
    monkeypatch.setattr(main, '_reload', reloads.append)
    FakeNode.further_signal = further_signal
    FakeNode.has_closed = False
    previous = signal.signal(
        further_signal,
        lambda number, frame: late.append(FakeNode.has_closed),
    )
    try:
        trio.run(main.run, settings.parse(test_settings.TEXT))
    finally:
        signal.signal(further_signal, previous)
    assert FakeNode.has_closed
    assert not reloads
    # It is delivered once the node has closed.
    assert late == [True]
