"""Tests of the content and frequency of the reports of a node."""

import random

import pytest
import trio
import trio.testing

from pumicestand import hop
from pumicestand import hop_messages
from pumicestand import reporting
from pumicestand_node import mesh_links
from tests import mock_clock
from tests.pumicestand import mesh_fakes


class FakeTargetCalls:
    """Returns the load that the test sets."""

    def __init__(self):
        self.current_load = hop_messages.Load(slots=4)
        self.evidence = ()

    def load(self):
        return self.current_load


class FakeFrames:
    """Records the messages sent on one link."""

    def __init__(self):
        self.sent = []

    def send_encoded(self, data):
        self.sent.append(hop.decode(data[hop.LENGTH_PREFIX.size :], 'test'))


class FakeDocument:
    routes = ()


class FakeLinkServer:
    def __init__(self):
        self.frames = FakeFrames()
        self.is_cross_zone = False


class Harness:
    """A node that sends reports to some peers."""

    def __init__(self, peer_count=1):
        self.mesh = mesh_fakes.make_mesh()
        self.target_calls = FakeTargetCalls()
        self.links = mesh_links.MeshLinks(
            self.mesh,
            self.target_calls,
            None,
            trio.current_time,
            random.Random(1),
        )
        self.link_servers = [FakeLinkServer() for _ in range(peer_count)]
        self.links._link_servers.update(self.link_servers)

    @property
    def sent(self):
        return self.link_servers[0].frames.sent


@pytest.fixture
def run_test():
    """Return a function that runs a coroutine function with a harness."""

    def run_with_harness(test, peer_count=1):
        async def main():
            harness = Harness(peer_count)
            async with trio.open_nursery() as nursery:
                await harness.links.start(nursery)
                await test(harness)
                nursery.cancel_scope.cancel()

        mock_clock.run(main)

    return run_with_harness


def message_types(messages):
    return [type(message).__name__ for message in messages]


def test_change_of_load_only_sends_load(run_test):
    async def test(harness):
        await trio.sleep(0.5)
        harness.target_calls.current_load = hop_messages.Load(
            running=3, slots=4
        )
        await trio.sleep(0.5)
        assert message_types(harness.sent) == ['Report', 'Load']
        assert harness.sent[-1].running == 3

    run_test(test)


def test_other_change_sends_full_report_at_once(run_test):
    async def test(harness):
        await trio.sleep(0.5)
        for change in ('is_leaving', 'store_reachable'):
            value = not getattr(harness.mesh, change)
            setattr(harness.mesh, change, value)
            harness.links.schedule_report()
            await trio.sleep(0.1)
        assert message_types(harness.sent) == ['Report'] * 3
        assert harness.sent[-1].is_leaving

    run_test(test)


def test_full_report_is_repeated_periodically(run_test):
    async def test(harness):
        await trio.sleep(2.2 * reporting.FULL_REPORT_PERIOD_S)
        full_reports = message_types(harness.sent).count('Report')
        assert full_reports == 3

    run_test(test)


def test_roll_out_progress_sends_no_full_report(run_test):
    """The time since the order differs between reports but is no change."""

    async def test(harness):
        order = mesh_fakes.make_order()
        harness.mesh.rollouts.apply_order(order, trio.current_time())
        await trio.sleep(1.5)
        assert message_types(harness.sent) == ['Report', 'Load', 'Load']

    run_test(test)


def test_roll_out_evidence_is_sent_in_each_report(run_test):
    async def test(harness):
        order = mesh_fakes.make_order()
        harness.mesh.rollouts.apply_order(order, trio.current_time())
        harness.target_calls.evidence = (hop_messages.Evidence('r', 'v1', 5),)
        await trio.sleep(1.5)
        assert message_types(harness.sent) == ['Report'] * 3

    run_test(test)


def test_load_is_sent_less_often_to_other_zones():
    async def main():
        harness = Harness(peer_count=2)
        same_zone, other_zone = harness.link_servers
        other_zone.is_cross_zone = True
        async with trio.open_nursery() as nursery:
            await harness.links.start(nursery)
            await trio.sleep(6.1)
            harness.mesh.is_leaving = True
            harness.links.schedule_report()
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        same_zone_types, other_zone_types = (
            message_types(s.frames.sent) for s in (same_zone, other_zone)
        )
        assert same_zone_types.count('Load') == 14
        assert other_zone_types.count('Load') == 4
        # Any other change is sent to all zones at once.
        assert other_zone_types[-1] == 'Report'

    mock_clock.run(main)


def test_new_generation_is_sent_at_once_and_alone(run_test):
    async def test(harness):
        await trio.sleep(0.5)
        harness.mesh.apply_configuration(7, FakeDocument(), b'', 0.0, 'test')
        harness.links.schedule_report()
        await trio.sleep(0.1)
        assert message_types(harness.sent) == ['Report', 'GenerationUpdate']
        assert harness.sent[-1].generation == 7
        await trio.sleep(0.5)
        assert message_types(harness.sent)[2:] == ['Load']

    run_test(test)
