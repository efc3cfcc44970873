"""Carries frames between nodes: datagrams and streams over trio."""

import math

import trio

from pumicestand import errors
from pumicestand import events
from pumicestand import wire
from pumicestand_node import listeners

MAX_STREAMS = 64
STREAM_IDLE_S = 5.0
STREAM_SEND_S = 3.0
MAX_DATAGRAM_READ = 65535
REFUSAL_EVENTS_PER_S = 10


class Transport:
    """Sends and receives frames at one port, UDP and TCP.

    :param board: the `blackboard.Blackboard`, for events and identity
    :param deliver: called with (frame, address) for each frame
    :param answer: called with a request's frame, returns the answer's
    :param clock: returns wall time in seconds
    :param count_bytes: called with (direction, bytes)
    :param tls: a `settings.Tls`, None for plain streams
    """

    def __init__(self, board, deliver, answer, clock, count_bytes, tls=None):
        self._board = board
        self._deliver = deliver
        self._answer = answer
        self._clock = clock
        self._count_bytes = count_bytes
        self._tls = tls
        self._socket = None
        self._listeners = []
        self._scope = trio.CancelScope()
        self._streams = 0
        self._refusals_until = 0.0
        self._refusals = 0

    async def start(self, nursery):
        """Open the port and serve it in a nursery."""
        identity = self._board.identity
        self._socket = trio.socket.socket(
            trio.socket.AF_INET, trio.socket.SOCK_DGRAM
        )
        await self._socket.bind((identity.host, identity.port))
        self._listeners = await listeners.open_listeners(
            identity.host, identity.port, self._tls
        )
        nursery.start_soon(self._serve)

    async def close(self):
        """Close the port and all streams."""
        self._scope.cancel()
        if self._socket is not None:
            self._socket.close()
        for listener in self._listeners:
            await listener.aclose()

    async def _serve(self):
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_datagrams)
                nursery.start_soon(
                    trio.serve_listeners, self._serve_stream, self._listeners
                )

    async def send(self, address, frame):
        """Send a datagram; what can't be sent is lost, as datagrams are."""
        data = wire.encode(frame)
        if len(data) > wire.MAX_DATAGRAM_BYTES:
            self._report(
                address,
                errors.Code.FRAME_TOO_LARGE,
                f'a datagram of {len(data)} bytes to send, the bound is '
                f'{wire.MAX_DATAGRAM_BYTES}',
            )
        try:
            await self._socket.sendto(data, address)
            self._count_bytes('sent', len(data))
        except OSError:
            return

    async def request(self, peer, address, frame, timeout):
        """Send a request over a stream and return the answer's frame.

        :raises errors.PeerUnavailableError: without an answer in time
        :raises errors.InvalidFrameError: if the answer can't be read
        """
        step = type(frame.body).__name__.lower()
        try:
            with trio.fail_after(timeout):
                stream = await trio.open_tcp_stream(*address)
                async with stream:
                    await self._send_frame(stream, frame)
                    answer = await self._read_frame(stream, peer)
        except (OSError, trio.TooSlowError, trio.BrokenResourceError) as e:
            raise errors.PeerUnavailableError(
                f'no answer within {timeout:g} s: {type(e).__name__}',
                step=step,
                peer=peer,
            ) from e
        if answer is None:
            raise errors.PeerUnavailableError(
                'the stream ended without an answer', step=step, peer=peer
            )
        return answer

    async def _send_frame(self, stream, frame):
        data = wire.add_length_prefix(wire.encode(frame))
        await stream.send_all(data)
        self._count_bytes('sent', len(data))

    async def _read_frame(self, stream, peer):
        """Return the next frame, or None at the end of the stream."""
        head = await _read_exactly(stream, wire.LENGTH_PREFIX_BYTES)
        if head is None:
            return None
        length = wire.parse_length_prefix(head, peer)
        data = await _read_exactly(stream, length)
        if data is None:
            raise errors.InvalidFrameError(
                errors.Code.FRAME_INVALID,
                f'the stream ended within a frame of {length} bytes',
                peer=peer,
            )
        self._count_bytes('received', len(head) + len(data))
        return self._check(wire.decode(data, peer), peer)

    def _check(self, frame, peer):
        expected = self._board.identity.environment
        if frame.environment != expected:
            raise errors.InvalidFrameError(
                errors.Code.WRONG_ENVIRONMENT,
                f'environment {frame.environment!r}, this is {expected!r}',
                peer=peer,
            )
        return frame

    async def _read_datagrams(self):
        while True:
            data, address = await self._socket.recvfrom(MAX_DATAGRAM_READ)
            self._count_bytes('received', len(data))
            try:
                frame = self._check(wire.decode(data, address), address)
            except errors.InvalidFrameError as error:
                self._report(address, error.code, error.message)
                continue
            self._deliver(frame, address)

    async def _serve_stream(self, stream):
        if self._streams >= MAX_STREAMS:
            # A peer that is turned away asks another one, with jitter.
            await stream.aclose()
            return
        self._streams += 1
        peer = ':'.join(str(part) for part in stream.socket.getpeername()[:2])
        try:
            async with stream:
                await self._answer_requests(stream, peer)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return
        except errors.InvalidFrameError as error:
            self._report(peer, error.code, error.message)
        finally:
            self._streams -= 1

    async def _answer_requests(self, stream, peer):
        while True:
            with trio.move_on_after(STREAM_IDLE_S) as scope:
                frame = await self._read_frame(stream, peer)
            if scope.cancelled_caught or frame is None:
                return
            self._deliver(frame, stream.socket.getpeername()[:2])
            with trio.move_on_after(STREAM_SEND_S) as scope:
                await self._send_frame(stream, self._answer(frame))
            if scope.cancelled_caught:
                # A slow peer is cut off, not queued for.
                return

    def _report(self, peer, code, detail):
        """Put a refused frame into the time line, bounded in rate."""
        now = self._clock()
        if now >= self._refusals_until:
            self._refusals_until = math.floor(now) + 1
            self._refusals = 0
        self._refusals += 1
        if self._refusals > REFUSAL_EVENTS_PER_S:
            return
        self._board.emit(
            events.Kind.FRAME_REFUSED,
            now,
            step='read frame',
            peer=str(peer),
            detail=f'{code.value}: {detail}',
        )


async def _read_exactly(stream, count):
    """Return so many bytes, or None if the stream ends before."""
    parts = []
    missing = count
    while missing:
        data = await stream.receive_some(missing)
        if not data:
            return None
        parts.append(data)
        missing -= len(data)
    return b''.join(parts)
