"""Tests of the links between nodes, over sockets in memory."""

import random

import pytest
import trio
import trio.testing

from pumicestand import fleet as fleets
from pumicestand import hop_messages
from pumicestand import link_meter
from pumicestand_node import frame_streams
from pumicestand_node import link_server
from pumicestand_node import links
from tests import mock_clock
from tests.pumicestand import mesh_fakes
from tests.pumicestand import test_hop

Outcome = hop_messages.Outcome


class OtherSide:
    """What another node does on the link that is tested."""

    def __init__(self, stream):
        self.frames = frame_streams.FrameStream(
            stream, 'test', link_meter.LinkMeter(0.0), trio.current_time
        )
        self.received = []
        self.answer = None

    def take(self, message):
        self.received.append(message)
        match message:
            case hop_messages.Hello():
                self.frames.send(mesh_fakes.make_report('peer'))
            case _ if self.answer is not None:
                self.answer(message)


class FakeTargets:
    """Notes the calls for the target."""

    def __init__(self):
        self.ran = []

    async def run(self, call):
        self.ran.append(call)
        return hop_messages.Result(call.id, Outcome.ANSWERED)


class Harness:
    """One link and its other side."""

    def __init__(self, nursery, monkeypatch):
        self.nursery = nursery
        self.heard = []
        self.sides = []
        self.refuses = False
        self.fleet = fleets.Fleet('own')
        self.peer = self.fleet.get_or_add('peer', '10.0.0.1', 7000, 0.0)
        self.link = links.Link(
            self.peer,
            lambda: hop_messages.Hello(mesh_fakes.make_report('own')),
            self.receive,
            trio.current_time,
            random.Random(1),
            link_meter.LinkMeter(0.0),
        )
        monkeypatch.setattr(links.trio, 'open_tcp_stream', self.connect)
        monkeypatch.setattr(links, 'set_tcp_user_timeout', lambda stream: None)
        nursery.start_soon(self.link.run)

    def receive(self, peer, message):
        self.heard.append(message)
        if isinstance(message, hop_messages.Report):
            self.fleet.apply_report(message, trio.current_time())

    async def connect(self, host, port):
        if self.refuses:
            raise OSError('refused')
        own, other = trio.testing.memory_stream_pair()
        side = OtherSide(other)
        self.sides.append(side)
        self.nursery.start_soon(side.frames.run, side.take)
        return own


@pytest.fixture
def play(monkeypatch):
    """Return a function that runs a test with a harness."""

    def play_(test):
        async def main():
            async with trio.open_nursery() as nursery:
                harness = Harness(nursery, monkeypatch)
                await trio.sleep(0.5)
                await test(harness)
                nursery.cancel_scope.cancel()

        mock_clock.run(main)

    return play_


def test_a_link_is_open_once_the_peer_has_reported(play):
    async def test(harness):
        assert harness.peer.is_linked
        assert isinstance(harness.sides[0].received[0], hop_messages.Hello)
        assert [r.name for r in harness.heard] == ['peer']

    play(test)


def test_a_call_gets_its_own_result_whatever_the_order(play):
    async def test(harness):
        side = harness.sides[0]
        calls = []

        def answer(message):
            calls.append(message.id)
            if len(calls) == 2:
                for id_ in reversed(calls):
                    side.frames.send(
                        hop_messages.Result(
                            id_, Outcome.ANSWERED, body=b'%d' % id_
                        )
                    )

        side.answer = answer
        results = {}

        async def call(id_):
            message = hop_messages.dataclasses.replace(
                test_hop.CALL, id=id_, remaining_bytes=0
            )
            results[id_] = await harness.link.send_call(message)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, 5)
            nursery.start_soon(call, 6)
        assert {i: r.body for i, r in results.items()} == {5: b'5', 6: b'6'}

    play(test)


def test_long_bodies_travel_in_parts_both_ways(play):
    body = bytes(range(256)) * 1000

    async def test(harness):
        side = harness.sides[0]
        assembler = frame_streams.BodyAssembler()

        def answer(message):
            match message:
                case hop_messages.Call():
                    whole = assembler.add_first(message)
                case hop_messages.Part():
                    whole = assembler.add_part(message)
            if whole is not None:
                result = hop_messages.Result(
                    whole.id, Outcome.ANSWERED, body=whole.body
                )
                frame_streams.send_with_parts(side.frames, result)

        side.answer = answer
        call = hop_messages.dataclasses.replace(
            test_hop.CALL, id=1, remaining_bytes=0, body=body
        )
        result = await harness.link.send_call(call)
        assert result.body == body

    play(test)


def test_a_cancelled_call_is_cancelled_at_the_peer(play):
    async def test(harness):
        with trio.move_on_after(1):
            call = hop_messages.dataclasses.replace(
                test_hop.CALL, id=9, remaining_bytes=0
            )
            await harness.link.send_call(call)
        await trio.sleep(0.1)
        assert harness.sides[0].received[-1] == hop_messages.Cancel(9)

    play(test)


def test_a_broken_link_leaves_the_outcome_unknown_and_is_opened_anew(play):
    async def test(harness):
        side = harness.sides[0]
        side.answer = lambda message: side.frames.stop()
        call = hop_messages.dataclasses.replace(
            test_hop.CALL, id=1, remaining_bytes=0
        )
        assert await harness.link.send_call(call) is None
        assert not harness.peer.is_linked
        await trio.sleep(2)
        assert harness.peer.is_linked
        assert len(harness.sides) == 2

    play(test)


def test_a_silent_link_with_calls_is_given_up(play):
    async def test(harness):
        call = hop_messages.dataclasses.replace(
            test_hop.CALL, id=1, remaining_bytes=0
        )
        results = []

        async def send():
            results.append(await harness.link.send_call(call))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            for _ in range(30):
                await trio.sleep(0.1)
                harness.link.check_liveness(trio.current_time())
        assert results == [None]
        asked = [
            m
            for m in harness.sides[0].received
            if isinstance(m, hop_messages.Ping)
        ]
        assert len(asked) == 1

    play(test)


def test_a_narrow_link_may_be_silent_for_longer(play):
    """The answer to a ping stands behind the bodies of other calls."""

    async def test(harness):
        report = mesh_fakes.make_report('peer', sequence=2, link_rate=5e6 / 8)
        harness.sides[0].frames.send(report)
        await trio.sleep(0.1)
        call = hop_messages.dataclasses.replace(
            test_hop.CALL, id=1, remaining_bytes=0
        )
        sent_at = trio.current_time()
        result = []

        async def send():
            result.append(await harness.link.send_call(call))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            while not result:
                await trio.sleep(0.1)
                harness.link.check_liveness(trio.current_time())
        silence = trio.current_time() - sent_at
        assert links.MAX_SILENCE_S + 1.6 <= silence < links.MAX_SILENCE_S + 2.0

    play(test)


def test_a_slow_but_living_peer_keeps_its_link(play):
    async def test(harness):
        side = harness.sides[0]

        def answer(message):
            if isinstance(message, hop_messages.Ping):
                side.frames.send(hop_messages.Pong(message.number))

        side.answer = answer
        call = hop_messages.dataclasses.replace(
            test_hop.CALL, id=1, remaining_bytes=0
        )
        with trio.move_on_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(harness.link.send_call, call)
                while True:
                    await trio.sleep(0.1)
                    harness.link.check_liveness(trio.current_time())
        assert harness.peer.is_linked
        assert len(harness.sides) == 1

    play(test)


def test_another_node_at_the_address_does_not_open_the_link(play):
    async def test(harness):
        harness.sides[0].frames.send(mesh_fakes.make_report('thief'))
        await trio.sleep(0.1)
        assert not harness.peer.is_linked
        assert harness.heard[-1].name == 'thief'

    play(test)


def test_a_call_without_a_link_was_not_handed_on(play):
    async def test(harness):
        harness.refuses = True
        harness.sides[0].frames.stop()
        await trio.sleep(0.5)
        call = hop_messages.dataclasses.replace(
            test_hop.CALL, id=1, remaining_bytes=0
        )
        result = await harness.link.send_call(call)
        assert result.outcome is Outcome.NOT_HANDED_ON

    play(test)


def test_a_frame_that_can_not_be_read_ends_the_link(play):
    async def test(harness):
        harness.sides[0].frames.send_encoded(b'\xff' * 64)
        await trio.sleep(0.01)
        assert not harness.peer.is_linked

    play(test)


def test_a_peer_whose_clock_went_back_is_heard_after_its_restart(play):
    """Incarnations come from clocks; a new connection outranks them."""

    async def test(harness):
        fleet = harness.fleet
        late = mesh_fakes.make_report('peer', incarnation=9, sequence=9)
        fleet.apply_report(late, 0.0)
        harness.sides[0].frames.stop()
        await trio.sleep(2)
        assert fleet.get('peer').is_linked
        assert fleet.get('peer').report.incarnation == 1

    play(test)


def test_the_deadline_of_a_call_passes_while_its_body_arrives():
    async def main():
        own, other = trio.testing.memory_stream_pair()
        meter = link_meter.LinkMeter(0.0)
        sender = frame_streams.FrameStream(
            own, 'test', meter, trio.current_time
        )
        frames = frame_streams.FrameStream(
            other, 'test', meter, trio.current_time
        )
        targets = FakeTargets()
        server = link_server.LinkServer(
            frames, targets, None, None, trio.current_time
        )
        call = hop_messages.dataclasses.replace(
            test_hop.CALL,
            id=1,
            remaining_bytes=4,
            remaining_ms=900,
            objective_remaining_ms=100,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sender.run, lambda message: None)
            nursery.start_soon(server.run)
            sender.send(call)
            await trio.sleep(0.5)
            sender.send(hop_messages.Part(1, b'rest', True))
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
        (ran,) = targets.ran
        assert ran.remaining_ms == pytest.approx(400, abs=1)
        assert ran.objective_remaining_ms == pytest.approx(-400, abs=1)

    mock_clock.run(main)
