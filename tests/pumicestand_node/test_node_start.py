"""Tests of the ports and the tasks of a node that starts."""

import errno

import pytest
import trio

from pumicestand import errors
from pumicestand_node import mesh_node
from pumicestand_node import mesh_settings
from pumicestand_node import supervision
from tests import mock_clock
from tests.pumicestand_node import test_mesh_node

make_node = test_mesh_node.make_node
ADDRESS = mesh_settings.Address('10.0.0.1', 8304)


class Ports:
    """Stands for the ports of a VM, of which one is in use for a while.

    :param free_at: seconds from which the port can be opened
    :param accept: coroutine function of each listener
    """

    def __init__(self, monkeypatch, free_at, accept=trio.sleep_forever):
        self.free_at = free_at
        self.opened_at = []
        self._accept = accept
        monkeypatch.setattr(mesh_node.listeners, 'open_listeners', self._open)
        monkeypatch.setattr(
            mesh_node.listeners,
            'DrainedListener',
            lambda listener, _: listener,
        )

    async def _open(self, host, port):
        if trio.current_time() < self.free_at:
            raise OSError(errno.EADDRINUSE, 'Address already in use')
        self.opened_at.append(trio.current_time())
        return [Listener(self._accept)]


class Listener(trio.abc.Listener):
    def __init__(self, accept):
        self._accept = accept

    async def accept(self):
        await self._accept()

    async def aclose(self):
        pass


def run_with_nursery(node, test):
    async def main():
        async with trio.open_nursery() as nursery:
            node._nursery = supervision.GuardedNursery(nursery)
            await test()
            nursery.cancel_scope.cancel()

    mock_clock.run(main)


def test_port_that_the_previous_process_still_has_is_opened_once_it_is_free(
    monkeypatch, make_node
):
    """The process ended at once, and its target got no calls."""
    ports = Ports(monkeypatch, free_at=2.0)
    node = make_node(is_strict=False)
    run_with_nursery(node, lambda: node._listen(ADDRESS, None))
    assert ports.opened_at[0] == pytest.approx(2.0, abs=0.2)


def test_port_that_stays_in_use_ends_the_start_with_its_address(
    monkeypatch, make_node
):
    Ports(monkeypatch, free_at=1000.0)
    node = make_node(is_strict=False)

    async def test():
        with pytest.raises(errors.PortError, match=r'10\.0\.0\.1:8304'):
            await node._listen(ADDRESS, None)
        assert trio.current_time() < 2 * mesh_node.PORT_TIMEOUT_S

    run_with_nursery(node, test)


def test_metrics_port_in_use_does_not_stop_the_node(monkeypatch, make_node):
    ports = Ports(monkeypatch, free_at=60.0)
    node = make_node(is_strict=False)

    async def test():
        node._start_serving(ADDRESS, None)
        await trio.sleep(100.0)

    run_with_nursery(node, test)
    assert len(ports.opened_at) == 1


def test_unexpected_error_of_a_port_does_not_end_the_process(
    monkeypatch, make_node
):
    accepted_at = []

    async def accept():
        accepted_at.append(trio.current_time())
        if accepted_at[-1] < 50.0:
            raise OSError(errno.EPERM, 'Operation not permitted')
        await trio.sleep_forever()

    Ports(monkeypatch, free_at=0.0, accept=accept)
    node = make_node(is_strict=False)

    async def test():
        await node._listen(ADDRESS, None)
        await trio.sleep(100.0)

    run_with_nursery(node, test)
    assert 50.0 <= accepted_at[-1] < 51.0
