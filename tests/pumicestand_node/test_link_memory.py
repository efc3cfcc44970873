"""Tests of the memory for the bodies that other nodes send."""

import dataclasses

import pytest
import trio
import trio.testing

from pumicestand import body_transfers
from pumicestand import buffer_budget
from pumicestand import hop
from pumicestand import hop_messages
from pumicestand import link_meter
from pumicestand_node import body_receiver
from pumicestand_node import frame_streams
from pumicestand_node import link_server
from tests import mock_clock
from tests.pumicestand import mesh_fakes
from tests.pumicestand import test_hop
from tests.pumicestand_node import test_held_bodies
from tests.pumicestand_node import test_target_faults

SIZE = 100_000
HELLO = hop_messages.Hello(mesh_fakes.make_report('peer'))


class TargetCalls(test_held_bodies.FakeTargetCalls):
    """Runs calls for a time and tells its load."""

    def load(self):
        return hop_messages.Load(0, 0, 1, 0.0, 0.0)


class Server:
    """A `link_server.LinkServer` with room for three bodies."""

    def __init__(self, nursery):
        self.targets = TargetCalls()
        self.budget = buffer_budget.BufferBudget(4 * SIZE + 50_000)
        own, self.stream = trio.testing.memory_stream_pair()
        clock = trio.current_time
        frames = frame_streams.FrameStream(
            own, 'test', link_meter.LinkMeter(0.0), clock
        )
        self.server = link_server.LinkServer(
            frames,
            self.targets,
            body_receiver.BodyReceiver(
                body_transfers.BodyTransfers(0.0), clock, self.budget
            ),
            mesh_fakes.make_mesh(),
            lambda server, message: None,
            clock,
            budget=self.budget,
        )
        self.peer = frame_streams.FrameStream(
            self.stream, 'test', link_meter.LinkMeter(0.0), clock
        )
        self.received = []
        nursery.start_soon(self.server.run)
        nursery.start_soon(self.peer.run, self.received.append)
        self.peer.send(HELLO)

    def send(self, id_, **changes):
        call = dataclasses.replace(test_hop.CALL, id=id_, **changes)
        self.peer.send(call)

    def codes(self):
        return {
            message.id: message.code
            for message in self.received
            if isinstance(message, hop_messages.Result)
        }

    def requested(self):
        return [
            message.id
            for message in self.received
            if isinstance(message, hop_messages.SendBody)
        ]


def run(test):
    """Run a test, a coroutine function of `Server`."""

    async def main():
        async with trio.open_nursery() as nursery:
            server = Server(nursery)
            await test(server)
            nursery.cancel_scope.cancel()
        assert server.budget.held_bytes == 0
        assert server.budget.promised_bytes == 0

    mock_clock.run(main)


def test_body_counts_from_its_first_part_to_the_end_of_its_call():
    async def test(server):
        server.targets.work_s = 2.0
        server.send(1, body=b'x' * 10, remaining_bytes=SIZE - 10)
        await trio.sleep(0.1)
        assert server.budget.held_bytes == 10
        assert server.budget.promised_bytes == SIZE - 10
        server.peer.send(hop_messages.Part(1, b'y' * (SIZE - 10), True))
        await trio.sleep(0.1)
        assert server.budget.held_bytes == SIZE
        assert server.budget.promised_bytes == 0
        (call,) = server.targets.calls
        assert call.body == b'x' * 10 + b'y' * (SIZE - 10)
        await trio.sleep(3)
        assert server.budget.held_bytes == 0

    run(test)


def test_body_for_which_there_is_no_room_is_refused_as_not_run():
    async def test(server):
        for id_ in range(1, 6):
            server.send(id_, body=b'', remaining_bytes=SIZE)
        await trio.sleep(0.1)
        assert server.codes() == {4: 'overloaded', 5: 'overloaded'}
        # What is on its way of a refused body is discarded.
        server.peer.send(hop_messages.Part(5, b'y' * SIZE, True))
        server.peer.send(hop_messages.Cancel(1))
        await trio.sleep(0.1)
        assert server.targets.calls == []
        assert server.budget.promised_bytes == 2 * SIZE

    run(test)


def test_body_that_is_held_by_its_sender_is_asked_for_once_there_is_room():
    async def test(server):
        server.targets.work_s = 2.0
        for id_ in range(1, 6):
            server.send(
                id_,
                body=b'',
                remaining_bytes=SIZE,
                holds_body=True,
                remaining_ms=10_000,
            )
            await trio.sleep(0.1)
        assert server.requested() == [1, 2, 3]
        server.peer.send(hop_messages.Part(2, b'y' * SIZE, True))
        await trio.sleep(1)
        assert server.requested() == [1, 2, 3]
        await trio.sleep(2)
        assert server.requested() == [1, 2, 3, 4]

    run(test)


def test_body_that_never_fits_is_refused_without_a_wait():
    async def test(server):
        server.send(1, body=b'', remaining_bytes=9 * SIZE, holds_body=True)
        await trio.sleep(0.1)
        assert server.codes() == {1: 'overloaded'}

    run(test)


@pytest.mark.parametrize('is_identified', [False, True])
def test_long_frame_is_accepted_only_after_the_hello(is_identified):
    async def main():
        async with trio.open_nursery() as nursery:
            server = Server(nursery)
            if is_identified:
                await trio.sleep(0.1)
            else:
                server.peer.stop()
                own, stream = trio.testing.memory_stream_pair()
                server.server.frames._stream = own
                server.stream = stream
                nursery.start_soon(server.server.run)
            size = link_server.MAX_UNIDENTIFIED_FRAME_BYTES + 1
            await server.stream.send_all(hop.LENGTH_PREFIX.pack(size))
            await trio.sleep(0.1)
            assert server.server.frames.is_closed is not is_identified
            nursery.cancel_scope.cancel()

    mock_clock.run(main)


def test_body_of_a_call_that_has_ended_is_sent_no_further():
    async def main():
        frames, remote = (
            frame_streams.FrameStream(
                stream, 'test', link_meter.LinkMeter(0.0), trio.current_time
            )
            for stream in trio.testing.lockstep_stream_pair()
        )
        received = []
        budget = buffer_budget.BufferBudget()
        frames.send_body(1, bytes(10 * SIZE), budget=budget)
        frames.send_body(2, bytes(SIZE), budget=budget)
        assert budget.held_bytes == 11 * SIZE
        frames.discard_body(1)
        assert budget.held_bytes == SIZE
        async with trio.open_nursery() as nursery:
            nursery.start_soon(frames.run, received.append)
            nursery.start_soon(remote.run, received.append)
            await trio.sleep(1)
            assert {part.id for part in received} == {2}
            assert sum(len(part.body) for part in received) == SIZE
            nursery.cancel_scope.cancel()
        assert budget.held_bytes == 0

    mock_clock.run(main)


def test_call_without_an_answer_is_remembered_without_its_body():
    """Its target may go on with it and make calls of its own."""

    async def respond(stream, number, request_id):
        await stream.aclose()
        return False

    async def test(harness):
        call = dataclasses.replace(
            test_target_faults.make_call('i1'), body=bytes(SIZE), is_retry=True
        )
        result = await harness.targets.run(call)
        assert result.outcome is hop_messages.Outcome.UNKNOWN
        parent = harness.targets.find_running('i1')
        assert (parent.request_id, parent.is_retry) == ('i1', True)
        assert parent.body == b''

    test_target_faults.run_scripted(test, respond)
