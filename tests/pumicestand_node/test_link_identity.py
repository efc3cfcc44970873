"""Tests that a result on a link is for the call that gets it.

Nodes restart, so that ids and numbers of connections are used again, while
connections break or go silent and results arrive late.
"""

import dataclasses
import random

import pytest
import trio

from pumicestand import hop_messages
from pumicestand import link_meter
from pumicestand_node import links
from pumicestand_node import mesh_links
from tests import mock_clock
from tests.pumicestand import mesh_fakes
from tests.pumicestand import test_hop
from tests.pumicestand_node import test_link_resume

Outcome = hop_messages.Outcome
# Narrow enough that large bodies are sent only when they are asked for.
NARROW_LINK_RATE = 2_000_000.0


class Stream(test_link_resume.Stream):
    """A stream that goes silent once ``silent_after`` bytes have arrived."""

    silent_after = float('inf')

    async def receive_some(self, max_bytes=None):
        data = await super().receive_some(max_bytes)
        if len(data) <= self.silent_after:
            self.silent_after -= len(data)
            return data
        if not self.silent_after:
            self.is_silent = True
            await trio.sleep_forever()
        data, self.silent_after = data[: self.silent_after], 0
        return data


class EchoTarget(test_link_resume.FakeTargetCalls):
    """Responds with a status, a header and a body that name the call."""

    def refuse_before_body(self, call, arrival_s):
        return None

    def refuse_overdue(self, call):
        return hop_messages.Result(call.id, Outcome.NOT_HANDED_ON)

    def latest_arrival(self, call):
        return trio.current_time() + 2.0

    async def run(self, call):
        name = call.request_id
        self.started.append(name)
        await trio.sleep(self.work_s)
        status, body = expected_response(name)
        assert call.body.startswith(name.encode())
        return hop_messages.Result(
            call.id,
            Outcome.ANSWERED,
            status=status,
            headers=b'name: %b\r\n' % name.encode(),
            body=body,
        )


def expected_response(name):
    """Return the status and body that the call of a name gets."""
    rng = random.Random(name)
    size = rng.choice((0, 10, 5_000, 40_000, 120_000))
    status = rng.choice((200, 404, 500))
    return status, (f'{name}.'.encode() * size)[:size]


class RestartingNodes(test_link_resume.TwoNodes):
    """A node with a link to another one; both can start anew.

    The incarnation of a node is the number of its start unless
    ``has_equal_incarnations`` is set.
    """

    def __init__(self, nursery, monkeypatch, link_rate, zone):
        self._link_rate = link_rate
        self._zone = zone
        self.has_equal_incarnations = False
        self.starts = 1
        self.connections = 0
        super().__init__(nursery, monkeypatch)
        self.targets = EchoTarget()
        self.start_peer(1)

    def start_peer(self, incarnation):
        mesh = mesh_fakes.make_mesh('peer', link_rate=self._link_rate)
        mesh.incarnation = self.peer_incarnation = incarnation
        self.far = mesh_links.MeshLinks(
            mesh, self.targets, None, trio.current_time, random.Random(1)
        )

    async def restart_opener(self):
        """Open the link as a new process does: its numbers begin anew.

        The other node may not notice that the earlier process has ended.
        """
        self.link.stop()
        await trio.sleep(0)
        self.starts += 1
        self.connections = 0
        if not self.has_equal_incarnations:
            self.incarnation = self.starts
        self._near = mesh_links.MeshLinks(
            mesh_fakes.make_mesh(),
            self.targets,
            None,
            trio.current_time,
            random.Random(self.starts),
        )
        self.link = links.Link(
            self.peer,
            self._make_hello,
            self._handle_message,
            trio.current_time,
            random.Random(1),
            link_meter.LinkMeter(0.0),
        )
        self.nursery.start_soon(self.link.run)

    async def _connect(self, host, port):
        stream = await super()._connect(host, port)
        self.streams[-1] = Stream(stream._stream)
        return self.streams[-1]

    def _make_hello(self):
        self.connections += 1
        return dataclasses.replace(
            self._near._make_hello(),
            report=mesh_fakes.make_report(
                'own',
                zone=self._zone,
                incarnation=self.incarnation,
                accepts_compressed=True,
            ),
        )

    async def call(self, id_, body=b'', timeout_s=10.0, remaining_s=None):
        """Send a call whose id begins anew with each start of the opener."""
        name = f'{self.starts}:{id_}'
        call = dataclasses.replace(
            test_hop.CALL,
            id=id_,
            request_id=name,
            body=name.encode() + body,
            remaining_bytes=0,
            remaining_ms=int((remaining_s or timeout_s) * 1000),
        )
        with trio.move_on_after(timeout_s):
            self.results[name] = await self.link.send_call(call)


def check_results(results):
    """Check that each response is the one to its call; return their number."""
    answered = {
        name: result
        for name, result in results.items()
        if result is not None and result.outcome is Outcome.ANSWERED
    }
    for name, result in answered.items():
        assert (result.status, result.body) == expected_response(name)
        assert result.headers == b'name: %b\r\n' % name.encode()
    return len(answered)


@pytest.fixture
def run_test(monkeypatch):
    def run(test, link_rate=0.0, zone='a'):
        async def main():
            async with trio.open_nursery() as nursery:
                nodes = RestartingNodes(nursery, monkeypatch, link_rate, zone)
                await trio.sleep(0.5)
                await nodes.restart_opener()
                await trio.sleep(0.5)
                await test(nodes)
                nursery.cancel_scope.cancel()

        mock_clock.run(main)

    return run


def test_result_for_an_earlier_process_is_not_delivered_to_the_next(run_test):
    """Its clock was set back, so that both had the same incarnation."""

    async def test(nodes):
        nodes.has_equal_incarnations = True
        nodes.targets.work_s = 1.0
        nodes.nursery.start_soon(nodes.call, 1)
        await trio.sleep(0.2)
        nodes.streams[-1].is_silent = True
        await nodes.restart_opener()
        await trio.sleep(0.5)
        nodes.targets.work_s = 30.0
        nodes.nursery.start_soon(nodes.call, 1)
        await trio.sleep(0.1)
        await nodes.streams[-1].reset()
        await trio.sleep(2)
        check_results(nodes.results)

    run_test(test)


@pytest.mark.parametrize('count', [1, 300, 16_700, 60_000, 110_000])
def test_result_that_arrived_in_part_is_sent_again_as_a_whole(run_test, count):
    async def test(nodes):
        nodes.starts = 10
        assert len(expected_response('10:1')[1]) == 120_000
        nodes.streams[-1].silent_after = count
        with trio.fail_after(3):
            await nodes.call(1)
        assert check_results(nodes.results) == 1
        assert nodes.targets.started == ['10:1']
        assert nodes.connections == 2

    run_test(test)


async def play(nodes, rng):
    """Send calls while connections fail and both nodes restart."""
    id_ = 0
    for _ in range(150):
        id_ += 1
        nodes.targets.work_s = rng.choice((0.0, 0.1, 0.6, 1.5))
        body = b'x' * rng.choice((0, 0, 40_000, 150_000))
        timeout_s = rng.choice((0.2, 0.4, 5.0, 5.0))
        nodes.nursery.start_soon(nodes.call, id_, body, timeout_s)
        await trio.sleep(rng.choice((0.0, 0.02, 0.1)))
        stream = rng.choice(nodes.streams[-3:])
        match rng.randrange(30):
            case 0 | 1:
                stream.is_silent = True
            case 2:
                await stream.reset()
            case 3 | 4 | 5 if stream.is_silent:
                nodes.nursery.start_soon(stream.release)
            case 6:
                await nodes.restart_opener()
                id_ = 0
            case 7:
                nodes.start_peer(
                    nodes.peer_incarnation + (not nodes.has_equal_incarnations)
                )
                await stream.reset()
    await trio.sleep(8)


@pytest.mark.parametrize('seed', (*range(12), 16))
def test_responses_are_those_to_their_calls_whatever_restarts(run_test, seed):
    async def test(nodes):
        nodes.has_equal_incarnations = seed % 4 == 0
        await play(nodes, random.Random(seed))
        assert check_results(nodes.results) > 10

    run_test(
        test,
        NARROW_LINK_RATE if seed % 2 else 0.0,
        'b' if seed % 3 else 'a',
    )
