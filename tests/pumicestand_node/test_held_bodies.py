"""Tests of large bodies and late calls between two nodes, without sockets."""

import random

import pytest
import trio
import trio.testing

from pumicestand import body_transfers
from pumicestand import fleet as fleets
from pumicestand import hop_messages
from pumicestand import link_meter
from pumicestand_node import body_receiver
from pumicestand_node import frame_streams
from pumicestand_node import link_server
from pumicestand_node import links
from tests import mock_clock
from tests.pumicestand import mesh_fakes
from tests.pumicestand import test_hop

Outcome = hop_messages.Outcome
NARROW = 625_000.0
BODY = b'x' * 60_000


class FakeTargetCalls:
    """Runs calls for a time, or keeps them waiting for a slot."""

    def __init__(self):
        self.calls = []
        self.withdrawn = {}
        self.is_full = False
        self.keeps_waiting = False
        self.work_s = 0.1

    def refuse_before_body(self, call, arrival_s):
        if not self.is_full:
            return None
        return hop_messages.Result(
            call.id, Outcome.NOT_HANDED_ON, 'overloaded', retry_after_ms=70
        )

    def latest_arrival(self, call):
        return trio.current_time() + call.remaining_ms / 1000

    def refuse_overdue(self, call):
        return hop_messages.Result(
            call.id, Outcome.NOT_HANDED_ON, 'waited-in-vain'
        )

    def withdraw(self, call):
        if self.keeps_waiting:
            self.withdrawn[call.id].set()

    async def run(self, call):
        self.calls.append(call)
        if self.keeps_waiting:
            event = self.withdrawn[call.id] = trio.Event()
            await event.wait()
            return self.refuse_overdue(call)
        await trio.sleep(self.work_s)
        return hop_messages.Result(call.id, Outcome.ANSWERED, status=200)


class TwoNodes:
    """A link from one node to another whose VM has a narrow link."""

    def __init__(self, nursery, monkeypatch, rate):
        self.nursery = nursery
        self.targets = FakeTargetCalls()
        self.receiver_meter = link_meter.LinkMeter(NARROW)
        self.server_scope = trio.CancelScope()
        self._rate = rate
        clock = trio.current_time
        self.bodies = body_receiver.BodyReceiver(
            body_transfers.BodyTransfers(rate), clock
        )
        fleet = fleets.Fleet('own')
        self.peer = fleet.get_or_add('peer', '10.0.0.1', 7000, 0.0)
        self.link = links.Link(
            self.peer,
            lambda: hop_messages.Hello(mesh_fakes.make_report('own')),
            lambda peer, message: fleet.apply_report(message, clock()),
            clock,
            random.Random(1),
            link_meter.LinkMeter(0.0),
        )
        monkeypatch.setattr(links.tcp_streams, 'open_stream', self._connect)
        monkeypatch.setattr(links, 'set_tcp_user_timeout', lambda stream: None)
        nursery.start_soon(self.link.run)

    async def _connect(self, host, port):
        own, other = trio.testing.memory_stream_pair()
        self.nursery.start_soon(self._serve, other)
        return own

    async def _serve(self, stream):
        clock = trio.current_time
        frames = frame_streams.FrameStream(
            stream, 'test', self.receiver_meter, clock
        )
        server = link_server.LinkServer(
            frames,
            self.targets,
            self.bodies,
            mesh_fakes.make_mesh('peer'),
            self._handle_message,
            clock,
        )
        with self.server_scope:
            await server.run()

    def _handle_message(self, server, message):
        server.frames.send(
            mesh_fakes.make_report('peer', link_rate=self._rate)
        )


@pytest.fixture
def run_test(monkeypatch):
    """Return a function that runs a coroutine function with two nodes."""

    def run(test, rate=NARROW):
        async def main():
            async with trio.open_nursery() as nursery:
                nodes = TwoNodes(nursery, monkeypatch, rate)
                await trio.sleep(0.5)
                await test(nodes)
                nursery.cancel_scope.cancel()

        mock_clock.run(main)

    return run


def make_call(id_=1, body=BODY, remaining_ms=900):
    return hop_messages.dataclasses.replace(
        test_hop.CALL,
        id=id_,
        request_id=f'call-{id_}',
        remaining_bytes=0,
        holds_body=False,
        remaining_ms=remaining_ms,
        body=body,
    )


@pytest.mark.parametrize('rate', [NARROW, 125_000_000.0, 0.0])
def test_a_large_body_arrives_whole_whatever_the_link(run_test, rate):
    """Guards against bodies that are never asked for, or sent twice."""

    async def test(nodes):
        result = await nodes.link.send_call(make_call())
        assert result.status == 200
        (call,) = nodes.targets.calls
        assert call.body == BODY

    run_test(test, rate)


def test_a_call_without_room_is_refused_before_its_body_is_sent(run_test):
    """Guards against uploads that cross a narrow link to be refused."""

    async def test(nodes):
        nodes.targets.is_full = True
        result = await nodes.link.send_call(make_call())
        assert result.outcome is Outcome.NOT_HANDED_ON
        assert result.retry_after_ms == 70
        assert nodes.receiver_meter.utilisation(0.0) < 0.01

    run_test(test)


def test_bodies_wait_for_those_before_them_and_all_arrive(run_test):
    """Guards against a waiting body that is forgotten."""

    async def test(nodes):
        results = []

        async def send(id_):
            results.append(await nodes.link.send_call(make_call(id_)))

        async with trio.open_nursery() as nursery:
            for id_ in range(8):
                nursery.start_soon(send, id_)
        assert [result.status for result in results] == [200] * 8

    run_test(test)


def test_a_call_whose_body_is_still_held_has_not_run_when_the_link_breaks(
    run_test,
):
    """Guards against an unknown outcome for a call that can't have run."""

    async def test(nodes):
        results = []

        async def send():
            results.append(await nodes.link.send_call(make_call()))

        nodes.bodies.admit = lambda transfer: trio.sleep_forever()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await trio.sleep(0.1)
            nodes.server_scope.cancel()
        assert results[0].outcome is Outcome.NOT_HANDED_ON

    run_test(test)


def test_a_call_that_waits_at_its_deadline_is_reported_as_not_run(run_test):
    """Guards against 504 for calls that no target has seen."""

    async def test(nodes):
        nodes.targets.keeps_waiting = True
        with trio.move_on_after(0.9) as scope:
            result = await nodes.link.send_call(make_call(body=b''))
        assert not scope.cancelled_caught
        assert result.outcome is Outcome.NOT_HANDED_ON

    run_test(test)


def test_a_call_that_runs_at_its_deadline_goes_on(run_test):
    """Guards against a withdrawal that ends a running call."""

    async def test(nodes):
        nodes.targets.work_s = 0.88
        with trio.move_on_after(0.9):
            result = await nodes.link.send_call(make_call(body=b''))
        assert result.status == 200

    run_test(test)
