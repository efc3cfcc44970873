"""Sends frames between nodes, as datagrams and over streams."""

import math

import trio

from pumicestand import errors
from pumicestand import events
from pumicestand import wire
from pumicestand_node import listeners
from pumicestand_node import supervision

# Streams of peers that are served at the same time; further ones are closed.
MAX_STREAMS = 64
# A stream is closed if no request arrives on it for this time.
STREAM_IDLE_TIMEOUT_S = 5.0
# A stream is closed if its peer does not take a response within this time.
STREAM_SEND_TIMEOUT_S = 3.0
# The largest UDP datagram.
RECEIVE_BUFFER_BYTES = 65535
MAX_REFUSAL_EVENTS_PER_S = 10


class Transport:
    """Sends and receives frames at one port, UDP and TCP.

    :param board: the `blackboard.Blackboard`, for events and identity
    :param deliver: called with each received frame and its sender's address
    :param make_response: called with the frame of a request, returns the
        frame of the response
    :param clock: returns wall time in seconds
    :param count_bytes: called with the direction, 'sent' or 'received', and
        the number of bytes
    :param tls: a `settings.Tls`, None for plain streams
    """

    def __init__(
        self, board, deliver, make_response, clock, count_bytes, tls=None
    ):
        self._board = board
        self._deliver = deliver
        self._make_response = make_response
        self._clock = clock
        self._count_bytes = count_bytes
        self._tls = tls
        self._socket = None
        self._listeners = []
        self._cancel_scope = trio.CancelScope()
        self._stream_count = 0
        self._refusal_window_end = 0.0
        self._refusals_in_window = 0

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
        self._cancel_scope.cancel()
        if self._socket is not None:
            self._socket.close()
        for listener in self._listeners:
            await listener.aclose()

    async def _serve(self):
        with self._cancel_scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    supervision.supervise, 'datagrams', self._read_datagrams
                )
                await listeners.serve(
                    self._listeners,
                    self._serve_stream,
                    supervision.GuardedNursery(nursery),
                    listeners.log_failure,
                )

    async def send(self, address, frame):
        """Send a frame as a datagram; if that fails, the frame is lost.

        :param address: (host, port)
        """
        data = wire.encode(frame)
        if len(data) > wire.MAX_DATAGRAM_BYTES:
            self._emit_refusal(
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
        """Send a request over a new stream and return the response's frame.

        :param peer: name of the peer, for errors
        :param address: (host, port)
        :param timeout: seconds
        :raises errors.PeerUnavailableError: if no response arrives in time
        :raises errors.InvalidFrameError: if the response cannot be decoded
        """
        step = type(frame.body).__name__.lower()
        try:
            with trio.fail_after(timeout):
                stream = await trio.open_tcp_stream(*address)
                async with stream:
                    await self._send_frame(stream, frame)
                    response = await self._read_frame(stream, peer)
        except (OSError, trio.TooSlowError, trio.BrokenResourceError) as error:
            raise errors.PeerUnavailableError(
                f'no response within {timeout:g} s: {type(error).__name__}',
                step=step,
                peer=peer,
            ) from error
        if response is None:
            raise errors.PeerUnavailableError(
                'the stream ended without a response', step=step, peer=peer
            )
        return response

    async def _send_frame(self, stream, frame):
        data = wire.add_length_prefix(wire.encode(frame))
        await stream.send_all(data)
        self._count_bytes('sent', len(data))

    async def _read_frame(self, stream, peer):
        """Return the next frame, or None at the end of the stream."""
        prefix = await _read_exactly(stream, wire.LENGTH_PREFIX_BYTES)
        if prefix is None:
            return None
        length = wire.parse_length_prefix(prefix, peer)
        data = await _read_exactly(stream, length)
        if data is None:
            raise errors.InvalidFrameError(
                errors.Code.FRAME_INVALID,
                f'the stream ended within a frame of {length} bytes',
                peer=peer,
            )
        self._count_bytes('received', len(prefix) + len(data))
        return self._check_environment(wire.decode(data, peer), peer)

    def _check_environment(self, frame, peer):
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
            data, address = await self._socket.recvfrom(RECEIVE_BUFFER_BYTES)
            self._count_bytes('received', len(data))
            try:
                frame = self._check_environment(
                    wire.decode(data, address), address
                )
            except errors.InvalidFrameError as error:
                self._emit_refusal(address, error.code, error.message)
                continue
            self._deliver(frame, address)

    async def _serve_stream(self, stream):
        if self._stream_count >= MAX_STREAMS:
            # The peer sends its request to another node, after some jitter.
            await stream.aclose()
            return
        self._stream_count += 1
        peer = None
        try:
            async with stream:
                # It fails if the peer has closed the connection already.
                host, port = stream.socket.getpeername()[:2]
                peer = f'{host}:{port}'
                await self._serve_requests(stream, peer)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return
        except errors.InvalidFrameError as error:
            self._emit_refusal(peer, error.code, error.message)
        finally:
            self._stream_count -= 1

    async def _serve_requests(self, stream, peer):
        while True:
            with trio.move_on_after(STREAM_IDLE_TIMEOUT_S) as scope:
                frame = await self._read_frame(stream, peer)
            if scope.cancelled_caught or frame is None:
                return
            self._deliver(frame, stream.socket.getpeername()[:2])
            with trio.move_on_after(STREAM_SEND_TIMEOUT_S) as scope:
                await self._send_frame(stream, self._make_response(frame))
            if scope.cancelled_caught:
                # Responses to a slow peer are not queued.
                return

    def _emit_refusal(self, peer, code, detail):
        """Emit an event for a refused frame, at a bounded rate."""
        now = self._clock()
        if now >= self._refusal_window_end:
            self._refusal_window_end = math.floor(now) + 1
            self._refusals_in_window = 0
        self._refusals_in_window += 1
        if self._refusals_in_window > MAX_REFUSAL_EVENTS_PER_S:
            return
        self._board.emit(
            events.Kind.FRAME_REFUSED,
            now,
            step='read frame',
            peer=str(peer),
            detail=f'{code.value}: {detail}',
        )


async def _read_exactly(stream, count):
    """Return `count` bytes, or None if the stream ends before."""
    parts = []
    remaining = count
    while remaining:
        data = await stream.receive_some(remaining)
        if not data:
            return None
        parts.append(data)
        remaining -= len(data)
    return b''.join(parts)
