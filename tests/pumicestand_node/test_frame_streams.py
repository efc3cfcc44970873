"""Tests of the frames between two nodes, over in-memory streams."""

import trio
import trio.testing

from pumicestand import hop_messages
from pumicestand import link_meter
from pumicestand_node import frame_streams
from pumicestand_node import socket_io
from tests import mock_clock
from tests.pumicestand import test_hop


def make_frame_streams(meter):
    """Return two connected `frame_streams.FrameStream` objects."""
    return [
        frame_streams.FrameStream(stream, 'test', meter, trio.current_time)
        for stream in trio.testing.memory_stream_pair()
    ]


def test_short_frame_is_sent_before_parts_of_long_body():
    async def main():
        meter = link_meter.LinkMeter(0.0)
        frames, remote_frames = make_frame_streams(meter)
        received = []
        body = b'x' * (10 * frame_streams.MAX_PART_BYTES)
        call = hop_messages.dataclasses.replace(
            test_hop.CALL, id=1, remaining_bytes=0, body=body
        )
        frame_streams.send_with_parts(frames, call)
        frames.send(hop_messages.Ping(7))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(frames.run, received.append)
            nursery.start_soon(remote_frames.run, received.append)
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        message_types = [type(message).__name__ for message in received]
        assert message_types == ['Call', 'Ping'] + ['Part'] * 9
        assert [part.is_last for part in received[2:]] == [False] * 8 + [True]

    mock_clock.run(main)


def test_compressed_frames_and_parts_arrive_in_order():
    """Guards against frames that are compressed in another order than sent."""

    async def main():
        meter = link_meter.LinkMeter(0.0)
        frames, remote_frames = make_frame_streams(meter)
        received = []
        frames.is_cross_zone = True
        frames.send(hop_messages.Ping(0))
        frames.start_compression()
        body = b'x' * (3 * frame_streams.MAX_PART_BYTES)
        for number in range(1, 20):
            call = hop_messages.dataclasses.replace(
                test_hop.CALL, id=number, remaining_bytes=0, body=body
            )
            frame_streams.send_with_parts(frames, call)
            frames.send(hop_messages.Ping(number))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(frames.run, received.append)
            nursery.start_soon(remote_frames.run, received.append)
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        numbers = [m.number for m in received if type(m).__name__ == 'Ping']
        assert numbers == list(range(20))
        bodies = [m.body for m in received if type(m).__name__ != 'Ping']
        assert b''.join(bodies) == 19 * body
        assert meter.sent_bytes[('Call', 'other-zone')] < 19 * 1000

    mock_clock.run(main)


def test_body_larger_than_the_backlog_is_sent_whole():
    """One large upload closed its link, and was lost on two more."""

    async def main():
        meter = link_meter.LinkMeter(0.0)
        frames, remote_frames = make_frame_streams(meter)
        assembler = frame_streams.BodyAssembler()
        complete = []
        others = []
        body = bytes(range(256)) * (3 * frame_streams.MAX_BACKLOG_BYTES // 256)
        call = hop_messages.dataclasses.replace(
            test_hop.CALL, id=1, remaining_bytes=0, body=body
        )

        def receive(message):
            match message:
                case hop_messages.Call():
                    assembler.add_first(message)
                case hop_messages.Part():
                    complete.append(assembler.add_part(message))
                case _:
                    others.append(message)

        frame_streams.send_with_parts(frames, call)
        frames.send(hop_messages.Ping(7))
        assert frames.has_unsent
        async with trio.open_nursery() as nursery:
            nursery.start_soon(frames.run, receive)
            nursery.start_soon(remote_frames.run, receive)
            await trio.sleep(1)
            assert not frames.is_closed
            nursery.cancel_scope.cancel()
        assert complete[-1].body == body
        assert len(others) == 1
        assert meter.sent_bytes[('Part', 'own-zone')] >= len(body) - (
            frame_streams.MAX_PART_BYTES
        )

    mock_clock.run(main)


def test_backlog_of_frames_closes_the_link():
    """The other node does not read."""

    async def main():
        frames, _ = make_frame_streams(link_meter.LinkMeter(0.0))
        part = hop_messages.Configuration(1, b'x' * 1_000_000)
        for _ in range(frame_streams.MAX_BACKLOG_BYTES // 1_000_000):
            assert not frames.is_closed
            frames.send(part)
        frames.send(part)
        assert frames.is_closed

    mock_clock.run(main)


def test_frames_sent_last_are_not_lost_with_what_stays_unread():
    frame = bytes(15_000)
    received = bytearray()
    sent_bytes = 0

    async def main():
        nonlocal sent_bytes
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        async with listener, trio.open_nursery() as nursery:
            peer = await trio.open_tcp_stream(*listener.socket.getsockname())
            frames = frame_streams.FrameStream(
                await listener.accept(),
                'test',
                link_meter.LinkMeter(0.0),
                trio.current_time,
            )
            nursery.start_soon(frames.run, None)
            await trio.testing.wait_all_tasks_blocked()
            while not frames.has_unsent:
                frames.send_encoded(frame, 'Result')
                sent_bytes += len(frame)
            sent_bytes -= frames._backlog_bytes
            # Without a checkpoint, so that it is not read.
            socket_io.send_nowait(peer, b'x')
            frames.stop()
            while data := await peer.receive_some(65_536):
                received.extend(data)
            await peer.aclose()

    trio.run(main)
    assert len(received) == sent_bytes
