"""Tests of how the process of a node starts and stops."""

import errno
import signal

import pytest
import trio
import trio.testing

from pumicestand_node import main

ARGUMENTS = ['--set', 'name=a', '--set', 'environment=e']


class FakeNode:
    """Gets signals while it stops.

    :param settings: not used
    """

    signals = ()
    error = None
    is_closed = False

    def __init__(self, settings):
        pass

    async def start(self, nursery):
        if self.error is not None:
            raise self.error
        signal.raise_signal(signal.SIGHUP)
        signal.raise_signal(signal.SIGTERM)

    async def close(self):
        for number in self.signals:
            signal.raise_signal(number)
            await trio.testing.wait_all_tasks_blocked()
        FakeNode.is_closed = True


@pytest.mark.parametrize(
    'signals', [(), (signal.SIGTERM,), (signal.SIGTERM, signal.SIGHUP)]
)
def test_no_further_signal_ends_a_stop(monkeypatch, signals):
    late = []
    monkeypatch.setattr(FakeNode, 'signals', signals)
    monkeypatch.setattr(FakeNode, 'is_closed', False)
    monkeypatch.setattr(main.nodes, 'Node', FakeNode)
    numbers = (signal.SIGTERM, signal.SIGHUP)
    previous = [
        signal.signal(number, lambda number, frame: late.append(number))
        for number in numbers
    ]
    try:
        trio.run(main.run, None)
    finally:
        for number, handler in zip(numbers, previous, strict=True):
            signal.signal(number, handler)
    assert FakeNode.is_closed
    assert not late


def test_port_in_use_ends_the_start_with_a_code_of_its_own(
    monkeypatch, capsys
):
    error = OSError(errno.EADDRINUSE, 'Address already in use')
    monkeypatch.setattr(FakeNode, 'error', error)
    monkeypatch.setattr(main.log, 'configure', lambda *arguments: None)
    monkeypatch.setattr(main.nodes, 'Node', FakeNode)
    assert main.main(ARGUMENTS) == main.EXIT_PORT
    assert 'port-unavailable' in capsys.readouterr().err
