"""Tests of calls whose connection goes silent or breaks, between two nodes."""

import contextlib
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
from pumicestand_node import mesh_links
from tests import mock_clock
from tests.pumicestand import mesh_fakes
from tests.pumicestand import test_hop

Outcome = hop_messages.Outcome


class Stream(trio.abc.Stream):
    """The near end of a connection, which nothing passes while silent.

    What was sent meanwhile arrives late, if it is released.
    """

    def __init__(self, stream):
        self._stream = stream
        self._held = []
        self.is_closed = False
        self.is_silent = False

    async def send_all(self, data):
        if self.is_silent:
            self._held.append(data)
            return
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        data = await self._stream.receive_some(max_bytes)
        while self.is_silent:
            await trio.sleep(0.05)
        return data

    async def release(self):
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            while self._held:
                data, self._held = b''.join(self._held), []
                await self._stream.send_all(data)
        self.is_silent = False
        if self.is_closed:
            await self._stream.aclose()

    async def aclose(self):
        self.is_closed = True
        if not self.is_silent:
            await self._stream.aclose()

    async def reset(self):
        await self._stream.aclose()


class FakeTargetCalls:
    """Runs calls for a time and counts them."""

    def __init__(self):
        self.started = []
        self.cancelled = []
        self.work_s = 0.0
        self.is_full = False
        self.withdrawn = trio.Event()
        self.evidence = ()

    def load(self):
        return hop_messages.Load(slots=4)

    def withdraw(self, call):
        if self.is_full:
            self.withdrawn.set()

    async def run(self, call):
        if self.is_full:
            await self.withdrawn.wait()
            return hop_messages.Result(call.id, Outcome.NOT_HANDED_ON)
        self.started.append(call.id)
        try:
            await trio.sleep(self.work_s)
        except trio.Cancelled:
            self.cancelled.append(call.id)
            raise
        return hop_messages.Result(call.id, Outcome.ANSWERED, body=call.body)


class FakeFrames:
    """Records what is sent and ends when it is stopped."""

    def __init__(self):
        self.sent = []
        self.is_closed = False
        self._scope = trio.CancelScope()

    def send(self, message):
        self.sent.append(message)

    def stop(self):
        self._scope.cancel()

    async def run(self, on_message):
        with self._scope:
            await trio.sleep_forever()


def make_server(targets, frames):
    """Return the `link_server.LinkServer` of a connection."""
    return link_server.LinkServer(
        frames,
        targets,
        None,
        mesh_fakes.make_mesh(),
        None,
        trio.current_time,
    )


class TwoNodes:
    """A link to a node that accepts any number of connections."""

    def __init__(self, nursery, monkeypatch):
        self.nursery = nursery
        self.targets = FakeTargetCalls()
        self.streams = []
        self.results = {}
        self.incarnation = 1
        self.is_frozen = False
        self.has_ended = False
        # Connections from this number on are silent once the peer reported.
        self.silent_from = None
        self.start_peer(incarnation=1)
        self.fleet = fleets.Fleet('own')
        self.peer = self.fleet.get_or_add('peer', '10.0.0.1', 7000, 0.0)
        self.link = links.Link(
            self.peer,
            lambda: hop_messages.Hello(
                mesh_fakes.make_report('own', incarnation=self.incarnation),
                len(self.streams),
            ),
            self._handle_message,
            trio.current_time,
            random.Random(1),
            link_meter.LinkMeter(0.0),
        )
        monkeypatch.setattr(links.tcp_streams, 'open_stream', self._connect)
        monkeypatch.setattr(links, 'set_tcp_user_timeout', lambda stream: None)
        nursery.start_soon(self.link.run)
        nursery.start_soon(self._check_link)

    def start_peer(self, incarnation):
        mesh = mesh_fakes.make_mesh('peer')
        mesh.incarnation = incarnation
        self.far = mesh_links.MeshLinks(
            mesh, self.targets, None, trio.current_time, random.Random(1)
        )

    async def _connect(self, host, port):
        own, other = trio.testing.memory_stream_pair()
        self.streams.append(Stream(own))
        if self.has_ended:
            await other.aclose()
        elif not self.is_frozen:
            self.nursery.start_soon(self.far.serve, other)
        return self.streams[-1]

    def _handle_message(self, peer, message):
        if isinstance(message, hop_messages.Report):
            self.fleet.apply_report(message, trio.current_time())
            if len(self.streams) - 1 == self.silent_from:
                self.streams[-1].is_silent = True

    async def _check_link(self):
        while True:
            await trio.sleep(0.1)
            self.link.check_liveness(trio.current_time())

    async def call(self, id_, body=b'', timeout_s=10.0, remaining_s=None):
        call = dataclasses.replace(
            test_hop.CALL,
            id=id_,
            body=body,
            remaining_bytes=0,
            remaining_ms=int((remaining_s or timeout_s) * 1000),
        )
        with trio.move_on_after(timeout_s):
            self.results[id_] = await self.link.send_call(call)


@pytest.fixture
def run_test(monkeypatch):
    def run(test):
        async def main():
            async with trio.open_nursery() as nursery:
                nodes = TwoNodes(nursery, monkeypatch)
                await trio.sleep(0.5)
                await test(nodes)
                nursery.cancel_scope.cancel()

        mock_clock.run(main)

    return run


def test_call_that_a_silent_link_swallowed_has_not_run(run_test):
    async def test(nodes):
        nodes.streams[0].is_silent = True
        with trio.fail_after(0.6):
            await nodes.call(1, b'x' * 40_000)
        await nodes.streams[0].release()
        await trio.sleep(1)
        assert nodes.results[1].outcome is Outcome.NOT_HANDED_ON
        assert nodes.targets.started == []
        await nodes.call(2)
        assert nodes.results[2].outcome is Outcome.ANSWERED

    run_test(test)


@pytest.mark.parametrize('breaks', [False, True])
@pytest.mark.parametrize('work_s', [0.3, 1.2])
def test_result_lost_with_its_connection_comes_on_another(
    run_test, work_s, breaks
):
    """It has ended by the time it is asked for, or still runs."""

    async def test(nodes):
        nodes.targets.work_s = work_s
        nodes.nursery.start_soon(nodes.call, 1)
        await trio.sleep(0.2)
        nodes.streams[0].is_silent = True
        if breaks:
            await nodes.streams[0].reset()
        await trio.sleep(2)
        assert nodes.results[1].outcome is Outcome.ANSWERED
        assert nodes.targets.started == [1]

    run_test(test)


def test_second_request_is_answered_if_the_first_was_lost(run_test):
    async def test(nodes):
        nodes.targets.work_s = 3.0
        nodes.silent_from = 1
        nodes.nursery.start_soon(nodes.call, 1)
        await trio.sleep(0.2)
        await nodes.streams[0].reset()
        await trio.sleep(0.3)
        await nodes.streams[1].reset()
        await trio.sleep(4)
        assert len(nodes.streams) == 3
        assert nodes.results[1].outcome is Outcome.ANSWERED

    run_test(test)


def test_request_on_an_abandoned_connection_is_ignored():
    """It would send the results where nobody waits for them."""

    async def main():
        targets = FakeTargetCalls()
        targets.work_s = 1.0
        servers = [make_server(targets, FakeFrames()) for _ in range(3)]
        for number, server in enumerate(servers):
            server.connection = number
        async with trio.open_nursery() as nursery:
            nursery.start_soon(servers[0].run)
            await trio.testing.wait_all_tasks_blocked()
            servers[0]._handle_message(
                dataclasses.replace(test_hop.CALL, remaining_bytes=0)
            )
            for carrier in (servers[2], servers[1]):
                servers[0].resume(hop_messages.Resume(0, 1, (3,)), carrier)
        assert servers[1].frames.sent == []
        assert [type(m) for m in servers[2].frames.sent] == [
            hop_messages.Resumed,
            hop_messages.Result,
        ]

    mock_clock.run(main)


def test_body_that_arrived_in_part_is_not_completed_later(run_test):
    async def test(nodes):
        nodes.nursery.start_soon(nodes.call, 1, b'x' * 300_000)
        for _ in range(4):
            await trio.lowlevel.checkpoint()
        nodes.streams[0].is_silent = True
        await trio.sleep(2)
        await nodes.streams[0].release()
        await trio.sleep(1)
        assert nodes.results[1].outcome is Outcome.NOT_HANDED_ON
        assert nodes.targets.started == []

    run_test(test)


@pytest.mark.parametrize('knows_connection', [False, True])
def test_outcome_at_a_restarted_peer_is_unknown(run_test, knows_connection):
    async def test(nodes):
        servers = nodes.far._resumable_servers
        nodes.start_peer(incarnation=2)
        if knows_connection:
            nodes.far._resumable_servers = servers
        nodes.streams[0].is_silent = True
        await nodes.call(1)
        assert nodes.results[1] is None

    run_test(test)


def test_call_cancelled_on_a_silent_link_is_cancelled_at_the_peer(run_test):
    async def test(nodes):
        nodes.targets.work_s = 30.0
        nodes.nursery.start_soon(nodes.call, 1, b'', 0.3)
        nodes.nursery.start_soon(nodes.call, 2)
        await trio.sleep(0.2)
        nodes.streams[0].is_silent = True
        await trio.sleep(1.5)
        assert nodes.targets.cancelled == [1]
        assert nodes.results == {}

    run_test(test)


def test_calls_of_an_opener_that_restarted_are_ended(run_test):
    async def test(nodes):
        nodes.targets.work_s = 30.0
        nodes.nursery.start_soon(nodes.call, 1)
        await trio.sleep(0.2)
        nodes.incarnation = 2
        await nodes.streams[0].reset()
        await trio.sleep(0.4)
        assert nodes.targets.cancelled == [1]

    run_test(test)


def test_call_withdrawn_on_a_silent_link_is_withdrawn_at_the_peer(run_test):
    async def test(nodes):
        nodes.targets.is_full = True
        nodes.nursery.start_soon(nodes.call, 1, b'', 10.0, 0.45)
        await trio.sleep(0.2)
        nodes.streams[0].is_silent = True
        with trio.fail_after(2):
            await nodes.targets.withdrawn.wait()

    run_test(test)


def test_calls_at_a_frozen_peer_end_as_soon_as_without_other_links(run_test):
    async def test(nodes):
        nodes.is_frozen = True
        nodes.streams[0].is_silent = True
        started_at = trio.current_time()
        await nodes.call(1)
        assert nodes.results[1] is None
        assert trio.current_time() - started_at < (
            link_resumption.MAX_SILENCE_S + 0.4
        )

    run_test(test)


def test_calls_at_a_peer_that_has_ended_do_not_wait_for_it(run_test):
    """What accepts connections for it closes them at once."""

    async def test(nodes):
        nodes.targets.work_s = 1.0
        nodes.nursery.start_soon(nodes.call, 1)
        await trio.sleep(0.2)
        nodes.has_ended = True
        await nodes.streams[0].reset()
        await trio.sleep(0.1)
        assert nodes.results == {1: None}

    run_test(test)


def test_suspicion_of_a_slow_peer_costs_one_connection(run_test):
    async def test(nodes):
        nodes.is_frozen = True
        nodes.targets.work_s = 0.3
        nodes.nursery.start_soon(nodes.call, 1)
        await trio.sleep(0.2)
        nodes.streams[0].is_silent = True
        await trio.sleep(0.5)
        assert nodes.peer.avoided_until > trio.current_time()
        await trio.sleep(0.3)
        assert len(nodes.streams) == 2
        await nodes.streams[0].release()
        await trio.sleep(2)
        assert nodes.results[1].outcome is Outcome.ANSWERED
        assert [s.is_closed for s in nodes.streams] == [False, True]
        assert nodes.peer.is_linked

    run_test(test)


def test_frames_read_along_with_the_request_start_no_call():
    """A cancelled read can still return what had arrived."""

    async def main():
        own, other = trio.testing.memory_stream_pair()
        targets = FakeTargetCalls()
        frames = frame_streams.FrameStream(
            other, 'test', link_meter.LinkMeter(0.0), trio.current_time
        )
        servers = [
            make_server(targets, frames),
            make_server(targets, FakeFrames()),
        ]
        servers[1].connection = 1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(servers[0].run)
            await trio.testing.wait_all_tasks_blocked()
            call = dataclasses.replace(test_hop.CALL, remaining_bytes=0)
            await own.send_all(hop.encode(call))
            servers[0].resume(hop_messages.Resume(0, 1, (3,)), servers[1])
            await trio.sleep(5)
        assert targets.started == []

    mock_clock.run(main)


def test_call_read_along_with_its_cancellation_does_not_start():
    """A node that was frozen reads what the other one gave up meanwhile."""

    async def main():
        targets = FakeTargetCalls()
        server = make_server(targets, FakeFrames())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run)
            await trio.testing.wait_all_tasks_blocked()
            call = dataclasses.replace(test_hop.CALL, remaining_bytes=0)
            server._handle_message(call)
            server._handle_message(hop_messages.Cancel(call.id))
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        assert targets.started == []

    mock_clock.run(main)


@pytest.mark.parametrize('seed', range(30))
def test_outcomes_are_true_whatever_is_lost(run_test, seed):
    """No call runs twice, none runs that was reported as not run."""
    rng = random.Random(seed)

    async def test(nodes):
        for id_ in range(1, 120):
            nodes.targets.work_s = rng.choice((0.0, 0.1, 0.6, 1.5))
            body = b'x' * rng.choice((0, 0, 40_000, 150_000))
            timeout_s = rng.choice((0.4, 5.0, 5.0))
            nodes.nursery.start_soon(nodes.call, id_, body, timeout_s)
            await trio.sleep(rng.choice((0.0, 0.02, 0.1)))
            stream = rng.choice(nodes.streams[-3:])
            match rng.randrange(30):
                case 0 | 1 | 2:
                    stream.is_silent = True
                case 3:
                    await stream.reset()
                case 4 | 5 if stream.is_silent:
                    nodes.nursery.start_soon(stream.release)
                case 6:
                    nodes.is_frozen = True
                case 7 | 8 | 9:
                    nodes.is_frozen = False
        nodes.is_frozen = False
        await trio.sleep(6)
        started = nodes.targets.started
        assert len(started) == len(set(started))
        by_outcome = {outcome: set() for outcome in (*Outcome, None)}
        for id_, result in nodes.results.items():
            by_outcome[result and result.outcome].add(id_)
        assert not by_outcome[Outcome.NOT_HANDED_ON] & set(started)
        assert by_outcome[Outcome.ANSWERED] <= set(started)
        assert by_outcome[Outcome.ANSWERED]

    run_test(test)


def run_beside_a_failure(run_test, harm):
    """Return the results of call 1, which is harmed, and call 2.

    :param harm: called with the `TwoNodes`
    """

    async def test(nodes):
        nodes.targets.work_s = 0.3
        nodes.nursery.start_soon(nodes.call, 2)
        await trio.sleep(0.1)
        harm(nodes)
        await nodes.call(1, timeout_s=1.0)
        await trio.sleep(1)
        results.update(nodes.results)
        assert nodes.targets.cancelled == []
        assert len(nodes.streams) == 1

    results = {}
    run_test(test)
    return results[1], results[2]


def test_call_that_fails_unexpectedly_costs_no_other_on_its_link(run_test):
    def harm(nodes):
        run = nodes.targets.run

        async def fail(call):
            if call.id == 1:
                raise KeyError('unexpected')
            return await run(call)

        nodes.targets.run = fail

    failed, other = run_beside_a_failure(run_test, harm)
    assert (failed.outcome, failed.code) == (Outcome.UNKNOWN, 'internal-error')
    assert other.outcome is Outcome.ANSWERED


def test_call_that_cannot_be_received_is_not_handed_on(run_test):
    def harm(nodes):
        def fail(id_):
            raise KeyError('unexpected')

        (server,) = nodes.far._link_servers
        server._received.record_received = fail

    failed, other = run_beside_a_failure(run_test, harm)
    assert failed.outcome is Outcome.NOT_HANDED_ON
    assert other.outcome is Outcome.ANSWERED


def test_result_that_cannot_be_encoded_leaves_an_unknown_outcome(run_test):
    def harm(nodes):
        run = nodes.targets.run

        async def spoil(call):
            result = await run(call)
            if call.id == 1:
                result.status = 'a word'
            return result

        nodes.targets.run = spoil

    failed, other = run_beside_a_failure(run_test, harm)
    assert failed.outcome is Outcome.UNKNOWN
    assert other.outcome is Outcome.ANSWERED


def test_connection_that_fails_unexpectedly_costs_no_result(run_test):
    """The opener asks for it on the next connection."""

    async def test(nodes):
        def fail(*_):
            (server,) = nodes.far._link_servers
            server.frames._meter.record_received = keep
            raise KeyError('unexpected')

        (server,) = nodes.far._link_servers
        meter = server.frames._meter
        keep = meter.record_received
        nodes.targets.work_s = 0.5
        nodes.nursery.start_soon(nodes.call, 1)
        await trio.sleep(0.1)
        meter.record_received = fail
        nodes.link.send(hop_messages.Ping(1))
        await trio.sleep(1.5)
        assert nodes.targets.cancelled == []
        assert nodes.targets.started == [1]
        assert nodes.results[1].outcome is Outcome.ANSWERED

    run_test(test)
