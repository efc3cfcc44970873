"""Tests of what a node tells the others of itself, and how often."""

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


class FakeTargets:
    """A target whose load is set by the test."""

    def __init__(self):
        self.held = hop_messages.Load(slots=4)
        self.evidence = ()

    def load(self):
        return self.held


class FakeFrames:
    """Collects what is sent on one link."""

    def __init__(self):
        self.sent = []

    def send_encoded(self, data):
        self.sent.append(hop.decode(data[hop.LENGTH_PREFIX.size :], 'test'))


class FakeDocument:
    routes = ()


class FakeServer:
    def __init__(self):
        self.frames = FakeFrames()
        self.is_cross_zone = False


class Harness:
    """A node that reports to some others."""

    def __init__(self, listeners=1):
        self.mesh = mesh_fakes.make_mesh()
        self.targets = FakeTargets()
        self.links = mesh_links.MeshLinks(
            self.mesh, self.targets, None, trio.current_time, random.Random(1)
        )
        self.servers = [FakeServer() for _ in range(listeners)]
        self.links._link_servers.update(self.servers)

    @property
    def sent(self):
        return self.servers[0].frames.sent


@pytest.fixture
def play():
    """Return a function that runs a test beside a reporting node."""

    def play_(test, listeners=1):
        async def main():
            harness = Harness(listeners)
            async with trio.open_nursery() as nursery:
                await harness.links.start(nursery)
                await test(harness)
                nursery.cancel_scope.cancel()

        mock_clock.run(main)

    return play_


def kinds(messages):
    return [type(message).__name__ for message in messages]


def test_a_change_of_the_load_alone_is_told_as_such(play):
    async def test(harness):
        await trio.sleep(0.5)
        harness.targets.held = hop_messages.Load(running=3, slots=4)
        await trio.sleep(0.5)
        assert kinds(harness.sent) == ['Report', 'Load']
        assert harness.sent[-1].running == 3

    play(test)


def test_any_other_change_is_told_whole_and_at_once(play):
    async def test(harness):
        await trio.sleep(0.5)
        for change in ('is_leaving', 'store_reachable'):
            value = not getattr(harness.mesh, change)
            setattr(harness.mesh, change, value)
            harness.links.schedule_report()
            await trio.sleep(0.1)
        assert kinds(harness.sent) == ['Report'] * 3
        assert harness.sent[-1].is_leaving

    play(test)


def test_all_is_told_again_after_some_seconds(play):
    async def test(harness):
        await trio.sleep(2.2 * reporting.FULL_REPORT_PERIOD_S)
        whole = kinds(harness.sent).count('Report')
        assert whole == 3

    play(test)


def test_the_progress_of_a_roll_out_is_no_change(play):
    """The time since the order differs in each report."""

    async def test(harness):
        order = mesh_fakes.make_order()
        harness.mesh.rollouts.apply_order(order, trio.current_time())
        await trio.sleep(1.5)
        assert kinds(harness.sent) == ['Report', 'Load', 'Load']

    play(test)


def test_evidence_on_a_roll_out_is_told_each_time(play):
    async def test(harness):
        order = mesh_fakes.make_order()
        harness.mesh.rollouts.apply_order(order, trio.current_time())
        harness.targets.evidence = (hop_messages.Evidence('r', 'v1', 5),)
        await trio.sleep(1.5)
        assert kinds(harness.sent) == ['Report'] * 3

    play(test)


def test_another_zone_hears_of_the_load_more_seldom():
    async def main():
        harness = Harness(listeners=2)
        near, far = harness.servers
        far.is_cross_zone = True
        async with trio.open_nursery() as nursery:
            await harness.links.start(nursery)
            await trio.sleep(6.1)
            harness.mesh.is_leaving = True
            harness.links.schedule_report()
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        near_kinds, far_kinds = (kinds(s.frames.sent) for s in (near, far))
        assert near_kinds.count('Load') == 14
        assert far_kinds.count('Load') == 4
        # Any other change reaches all at once.
        assert far_kinds[-1] == 'Report'

    mock_clock.run(main)


def test_a_new_generation_is_told_at_once_and_alone(play):
    async def test(harness):
        await trio.sleep(0.5)
        harness.mesh.apply_configuration(7, FakeDocument(), b'', 0.0, 'test')
        harness.links.schedule_report()
        await trio.sleep(0.1)
        assert kinds(harness.sent) == ['Report', 'GenerationUpdate']
        assert harness.sent[-1].generation == 7
        await trio.sleep(0.5)
        assert kinds(harness.sent)[2:] == ['Load']

    play(test)
