"""Tests of the links between nodes, over in-memory streams."""

import dataclasses
import random

import pytest
import trio
import trio.testing

from pumicestand import fleet as fleets
from pumicestand import hop
from pumicestand import hop_messages
from pumicestand import link_meter
from pumicestand import link_resumption
from pumicestand_node import frame_streams
from pumicestand_node import link_server
from pumicestand_node import links
from tests import mock_clock
from tests.pumicestand import mesh_fakes
from tests.pumicestand import test_hop

Outcome = hop_messages.Outcome


class RemoteEnd:
    """The other node's end of the tested link.

    `respond` is called with each message but the first.

    :param report: `hop_messages.Report` with which it answers the first
    """

    def __init__(self, stream, report):
        self._report = report
        self.frames = frame_streams.FrameStream(
            stream, 'test', link_meter.LinkMeter(0.0), trio.current_time
        )
        self.received = []
        self.respond = None

    def handle_message(self, message):
        self.received.append(message)
        match message:
            case hop_messages.Hello():
                self.frames.send(self._report)
            case _ if self.respond is not None:
                self.respond(message)


class FakeTargetCalls:
    """Records the calls for the target and returns empty results."""

    def __init__(self):
        self.calls = []

    async def run(self, call):
        self.calls.append(call)
        return hop_messages.Result(call.id, Outcome.ANSWERED)


class Harness:
    """A link under test and the remote ends of its connections."""

    def __init__(self, nursery, monkeypatch):
        self.nursery = nursery
        self.received_by_node = []
        self.remote_ends = []
        self.is_refusing = False
        self.remote_report = mesh_fakes.make_report('peer')
        self.meter = link_meter.LinkMeter(0.0)
        self.fleet = fleets.Fleet('own')
        self.peer = self.fleet.get_or_add('peer', '10.0.0.1', 7000, 0.0)
        self.link = links.Link(
            self.peer,
            lambda: hop_messages.Hello(mesh_fakes.make_report('own')),
            self.receive,
            trio.current_time,
            random.Random(1),
            self.meter,
        )
        monkeypatch.setattr(links.tcp_streams, 'open_stream', self.connect)
        monkeypatch.setattr(links, 'set_tcp_user_timeout', lambda stream: None)
        nursery.start_soon(self.link.run)
        self.fails_once = False

    def receive(self, peer, message):
        if self.fails_once:
            self.fails_once = False
            raise KeyError('unexpected')
        self.received_by_node.append(message)
        if isinstance(message, hop_messages.Report):
            self.fleet.apply_report(message, trio.current_time())

    async def connect(self, host, port):
        if self.is_refusing:
            raise OSError('refused')
        own, other = trio.testing.memory_stream_pair()
        remote = RemoteEnd(other, self.remote_report)
        self.remote_ends.append(remote)
        self.nursery.start_soon(remote.frames.run, remote.handle_message)
        return own


@pytest.fixture
def run_test(monkeypatch):
    """Return a function that runs a coroutine function with a harness."""

    def run_with_harness(test):
        async def main():
            async with trio.open_nursery() as nursery:
                harness = Harness(nursery, monkeypatch)
                await trio.sleep(0.5)
                await test(harness)
                nursery.cancel_scope.cancel()

        mock_clock.run(main)

    return run_with_harness


def test_link_is_open_once_peer_has_reported(run_test):
    async def test(harness):
        assert harness.peer.is_linked
        assert isinstance(
            harness.remote_ends[0].received[0], hop_messages.Hello
        )
        assert [r.name for r in harness.received_by_node] == ['peer']

    run_test(test)


@pytest.mark.parametrize(
    ('zone', 'accepts_compressed', 'is_compressed'),
    [('b', True, True), ('b', False, False), ('a', True, False)],
)
def test_frames_are_compressed_for_nodes_of_other_zones_that_accept_it(
    run_test, zone, accepts_compressed, is_compressed
):
    """Guards against frames that an earlier release can't read."""

    async def test(harness):
        harness.remote_report = mesh_fakes.make_report(
            'peer',
            zone=zone,
            incarnation=2,
            accepts_compressed=accepts_compressed,
        )
        harness.peer.report = harness.remote_report
        harness.remote_ends[0].frames.stop()
        await trio.sleep(2)
        remote = harness.remote_ends[-1]
        harness.meter.sent_bytes.clear()
        for _ in range(3):
            harness.nursery.start_soon(harness.link.send_call, test_hop.CALL)
        await trio.sleep(1)
        assert remote.received[1:4] == [test_hop.CALL] * 3
        sent_bytes = sum(
            size
            for (kind, _), size in harness.meter.sent_bytes.items()
            if kind == 'Call'
        )
        plain_bytes = 3 * len(hop.encode(test_hop.CALL))
        assert (sent_bytes < plain_bytes / 2) == is_compressed

    run_test(test)


def test_results_are_matched_to_calls_in_any_order(run_test):
    async def test(harness):
        remote = harness.remote_ends[0]
        call_ids = []

        def respond(message):
            call_ids.append(message.id)
            if len(call_ids) == 2:
                for id_ in reversed(call_ids):
                    remote.frames.send(
                        hop_messages.Result(
                            id_, Outcome.ANSWERED, body=b'%d' % id_
                        )
                    )

        remote.respond = respond
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

    run_test(test)


def test_long_bodies_are_sent_in_parts_in_both_directions(run_test):
    body = bytes(range(256)) * 1000

    async def test(harness):
        remote = harness.remote_ends[0]
        assembler = frame_streams.BodyAssembler()

        def respond(message):
            match message:
                case hop_messages.Call():
                    complete = assembler.add_first(message)
                case hop_messages.Part():
                    complete = assembler.add_part(message)
            if complete is not None:
                result = hop_messages.Result(
                    complete.id, Outcome.ANSWERED, body=complete.body
                )
                frame_streams.send_with_parts(remote.frames, result)

        remote.respond = respond
        call = hop_messages.dataclasses.replace(
            test_hop.CALL, id=1, remaining_bytes=0, body=body
        )
        result = await harness.link.send_call(call)
        assert result.body == body

    run_test(test)


def test_cancelled_call_is_cancelled_at_the_peer(run_test):
    async def test(harness):
        with trio.move_on_after(1):
            call = hop_messages.dataclasses.replace(
                test_hop.CALL, id=9, remaining_bytes=0
            )
            await harness.link.send_call(call)
        await trio.sleep(0.1)
        assert harness.remote_ends[0].received[-1] == hop_messages.Cancel(9)

    run_test(test)


def test_broken_link_leaves_outcome_unknown_and_is_reopened(run_test):
    async def test(harness):
        remote = harness.remote_ends[0]
        remote.respond = lambda message: remote.frames.stop()
        call = hop_messages.dataclasses.replace(
            test_hop.CALL, id=1, remaining_bytes=0
        )
        results = []

        async def send():
            results.append(await harness.link.send_call(call))

        harness.nursery.start_soon(send)
        await trio.testing.wait_all_tasks_blocked()
        assert not harness.peer.is_linked
        await trio.sleep(2)
        assert results == [None]
        assert harness.peer.is_linked
        assert len(harness.remote_ends) == 2

    run_test(test)


def test_silent_link_with_pending_calls_is_closed(run_test):
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
        pings = [
            m
            for m in harness.remote_ends[0].received
            if isinstance(m, hop_messages.Ping)
        ]
        assert len(pings) == 1

    run_test(test)


def test_narrow_link_may_be_silent_for_longer(run_test):
    """The response to a ping is queued behind the bodies of other calls."""

    async def test(harness):
        report = mesh_fakes.make_report('peer', sequence=2, link_rate=5e6 / 8)
        harness.remote_ends[0].frames.send(report)
        received_at = trio.current_time()
        await trio.sleep(0.1)
        harness.is_refusing = True
        call = hop_messages.dataclasses.replace(
            test_hop.CALL, id=1, remaining_bytes=0
        )
        result = []

        async def send():
            result.append(await harness.link.send_call(call))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            while not result:
                await trio.sleep(0.1)
                harness.link.check_liveness(trio.current_time())
        silence = trio.current_time() - received_at
        max_silence_s = link_resumption.MAX_SILENCE_S + 1.6
        assert max_silence_s <= silence < max_silence_s + 0.4

    run_test(test)


def test_busy_narrow_link_is_not_suspected_soon(run_test):
    async def test(harness):
        load = hop_messages.Load(slots=4, link_utilisation=1.0)
        report = mesh_fakes.make_report(
            'peer', sequence=2, link_rate=5e6 / 8, load=load
        )
        harness.remote_ends[0].frames.send(report)
        call = hop_messages.dataclasses.replace(
            test_hop.CALL, id=1, remaining_bytes=0
        )
        harness.nursery.start_soon(harness.link.send_call, call)
        for _ in range(15):
            await trio.sleep(0.1)
            harness.link.check_liveness(trio.current_time())
        assert len(harness.remote_ends) == 1

    run_test(test)


def test_link_stays_open_while_peer_answers_pings(run_test):
    async def test(harness):
        remote = harness.remote_ends[0]

        def respond(message):
            if isinstance(message, hop_messages.Ping):
                remote.frames.send(hop_messages.Pong(message.number))

        remote.respond = respond
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
        assert len(harness.remote_ends) == 1

    run_test(test)


def test_report_of_another_node_does_not_open_the_link(run_test):
    async def test(harness):
        harness.remote_ends[0].frames.send(mesh_fakes.make_report('thief'))
        await trio.sleep(0.1)
        assert not harness.peer.is_linked
        assert harness.received_by_node[-1].name == 'thief'

    run_test(test)


def test_call_without_open_link_is_not_handed_on(run_test):
    async def test(harness):
        harness.is_refusing = True
        harness.remote_ends[0].frames.stop()
        await trio.sleep(0.5)
        call = hop_messages.dataclasses.replace(
            test_hop.CALL, id=1, remaining_bytes=0
        )
        result = await harness.link.send_call(call)
        assert result.outcome is Outcome.NOT_HANDED_ON

    run_test(test)


def test_invalid_frame_closes_the_link(run_test):
    async def test(harness):
        harness.remote_ends[0].frames.send_encoded(b'\xff' * 64, 'invalid')
        await trio.sleep(0.01)
        assert not harness.peer.is_linked

    run_test(test)


def test_restarted_peer_with_lower_incarnation_is_accepted(run_test):
    """Incarnations come from clocks, which can be set back.

    The first report on a new connection is accepted although an earlier one
    had a higher incarnation.
    """

    async def test(harness):
        fleet = harness.fleet
        earlier = mesh_fakes.make_report('peer', incarnation=9, sequence=9)
        fleet.apply_report(earlier, 0.0)
        harness.remote_ends[0].frames.stop()
        await trio.sleep(2)
        assert fleet.get('peer').is_linked
        assert fleet.get('peer').report.incarnation == 1

    run_test(test)


def test_deadline_includes_time_in_which_body_arrives():
    async def main():
        own, other = trio.testing.memory_stream_pair()
        meter = link_meter.LinkMeter(0.0)
        sender = frame_streams.FrameStream(
            own, 'test', meter, trio.current_time
        )
        frames = frame_streams.FrameStream(
            other, 'test', meter, trio.current_time
        )
        target_calls = FakeTargetCalls()
        server = link_server.LinkServer(
            frames,
            target_calls,
            None,
            mesh_fakes.make_mesh(),
            None,
            trio.current_time,
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
        (received_call,) = target_calls.calls
        assert received_call.remaining_ms == pytest.approx(400, abs=1)
        assert received_call.objective_remaining_ms == pytest.approx(
            -400, abs=1
        )

    mock_clock.run(main)


@pytest.mark.parametrize('step', ['connect', 'hello'])
def test_error_in_opening_a_link_costs_only_the_link(
    run_test, monkeypatch, step
):
    """One entry that could not be encoded ended all processes."""

    async def test(harness):
        opened_count = len(harness.remote_ends)
        make_hello = harness.link._make_hello
        fail_count = 3

        def fail(result):
            nonlocal fail_count
            fail_count -= 1
            if fail_count >= 0:
                raise OverflowError('a value from another writer')
            return result

        async def connect(host, port):
            return fail(await harness.connect(host, port))

        if step == 'connect':
            monkeypatch.setattr(links.tcp_streams, 'open_stream', connect)
        else:
            harness.link._make_hello = lambda: fail(make_hello())
        harness.remote_ends[0].frames.stop()
        await trio.sleep(0.05)
        assert not harness.peer.is_linked
        await trio.sleep(5)
        assert harness.peer.is_linked
        assert len(harness.remote_ends) == opened_count + 4
        call = hop_messages.dataclasses.replace(
            test_hop.CALL, id=1, remaining_bytes=0
        )
        remote = harness.remote_ends[-1]
        remote.respond = lambda message: remote.frames.send(
            hop_messages.Result(1, Outcome.ANSWERED, body=b'x')
        )
        assert (await harness.link.send_call(call)).body == b'x'

    run_test(test)


def test_message_that_raises_an_unexpected_error_costs_no_call(run_test):
    async def test(harness):
        harness.fails_once = True
        remote = harness.remote_ends[0]
        report = mesh_fakes.make_report('peer', sequence=2)

        def respond(message):
            remote.frames.send(report)
            remote.frames.send(
                hop_messages.Result(1, Outcome.ANSWERED, body=b'x')
            )

        remote.respond = respond
        call = dataclasses.replace(test_hop.CALL, id=1, remaining_bytes=0)
        assert (await harness.link.send_call(call)).body == b'x'
        await trio.sleep(1.0)
        assert not harness.fails_once
        assert len(harness.remote_ends) == 1
        assert harness.peer.is_linked
        remote.frames.send(report)
        await trio.sleep(0.1)
        assert harness.received_by_node[-1].sequence == 2

    run_test(test)


def test_call_that_cannot_be_encoded_is_not_handed_on(run_test):
    async def test(harness):
        call = dataclasses.replace(
            test_hop.CALL, id=1, remaining_bytes=0, priority='a word'
        )
        result = await harness.link.send_call(call)
        assert result.outcome is Outcome.NOT_HANDED_ON
        assert not harness.link.has_calls
        await trio.sleep(1.0)
        assert len(harness.remote_ends) == 1

    run_test(test)


def fail_option(stream):
    raise OSError('reset')


def test_option_that_cannot_be_set_costs_no_other_connection(
    run_test, monkeypatch
):
    """A candidate beside a silent connection ended the calls on it."""

    async def send_late(remote):
        await trio.sleep(0.3)
        remote.frames.send(hop_messages.Result(1, Outcome.ANSWERED, body=b'x'))

    async def test(harness):
        monkeypatch.setattr(links, 'set_tcp_user_timeout', fail_option)
        harness.link._current.watch.is_suspected = True
        harness.link._wake.set()
        harness.nursery.start_soon(send_late, harness.remote_ends[0])
        call = dataclasses.replace(test_hop.CALL, id=1, remaining_bytes=0)
        assert (await harness.link.send_call(call)).body == b'x'

    run_test(test)
