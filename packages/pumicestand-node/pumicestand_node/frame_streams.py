"""Frames over a TCP connection between two nodes.

Bodies travel in parts, behind all other frames, so that a long one does not
hold up the calls beside it.
"""

import collections
import dataclasses

import loguru
import trio

from pumicestand import errors
from pumicestand import hop
from pumicestand import hop_messages
from pumicestand_node import socket_io

MAX_READ_BYTES = 65_536
# Bytes of a body in one frame, and of bodies handed to the kernel at once:
# a short frame waits for no more than these, 50 ms at 5 Mbit/s.
MAX_PART_BYTES = 16_384
MAX_PARTS_PER_WRITE_BYTES = 32_768
# Bytes waiting to be sent at which a link counts as stuck.
MAX_BACKLOG_BYTES = 16_000_000


class FrameStream:
    """Frames over a stream, written by one task and read by one.

    Parts of bodies wait behind all other frames.

    :param stream: the connection
    :param peer: name of the other node, for errors
    :param meter: the `link_meter.LinkMeter` of this VM
    :param clock: returns monotonic seconds
    """

    def __init__(self, stream, peer, meter, clock):
        self._stream = stream
        self._peer = peer
        self._meter = meter
        self._clock = clock
        self._frames = []
        self._parts = collections.deque()
        self._backlog_bytes = 0
        self._is_writing = False
        self._data_queued = trio.Event()
        self._scope = trio.CancelScope()
        self.is_closed = False

    def send(self, message):
        """Queue a message; a peer that does not read loses the link."""
        self.send_encoded(hop.encode(message))

    def send_encoded(self, data):
        """Queue a frame that is encoded already."""
        if self.is_closed:
            return
        self._meter.record_sent(len(data), self._clock())
        if not self._is_writing and not self._frames and not self._parts:
            try:
                data = socket_io.send_nowait(self._stream, data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self.stop()
                return
            if not data:
                return
        self._enqueue(self._frames, data)

    def send_part(self, part):
        """Queue a part of a body behind the frames that are no parts."""
        if self.is_closed:
            return
        data = hop.encode(part)
        self._meter.record_sent(len(data), self._clock())
        self._enqueue(self._parts, data)

    def _enqueue(self, queue, data):
        queue.append(data)
        self._backlog_bytes += len(data)
        if self._backlog_bytes > MAX_BACKLOG_BYTES:
            self.stop()
            return
        self._data_queued.set()

    def stop(self):
        """End both tasks; `run` closes the stream."""
        self.is_closed = True
        self._scope.cancel()

    async def run(self, on_message):
        """Carry frames until the stream ends.

        :param on_message: called with each message
        """
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    await self._read(on_message)
                    nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        except* errors.FrameRefused as group:
            loguru.logger.warning('a link is closed: {}', group.exceptions[0])
        finally:
            self.is_closed = True
            await trio.aclose_forcefully(self._stream)

    async def _write(self):
        while True:
            while not self._frames and not self._parts:
                await self._data_queued.wait()
                self._data_queued = trio.Event()
            data = self._next_write()
            self._backlog_bytes -= len(data)
            self._is_writing = True
            await self._stream.send_all(data)
            self._is_writing = False

    def _next_write(self):
        """Return the bytes to write next."""
        if self._frames:
            data, self._frames = b''.join(self._frames), []
            return data
        data = self._parts.popleft()
        while (
            self._parts
            and len(data) + len(self._parts[0]) <= MAX_PARTS_PER_WRITE_BYTES
        ):
            data += self._parts.popleft()
        return data

    async def _read(self, on_message):
        buffer = bytearray()
        size = hop.LENGTH_PREFIX.size
        while True:
            data = await socket_io.receive_some(self._stream, MAX_READ_BYTES)
            if not data:
                return
            self._meter.record_received(len(data), self._clock())
            buffer += data
            position = 0
            while len(buffer) - position >= size:
                (length,) = hop.LENGTH_PREFIX.unpack_from(buffer, position)
                if length > hop.MAX_FRAME_BYTES:
                    raise errors.FrameRefused(
                        errors.Code.FRAME_TOO_LARGE,
                        f'a frame of {length} bytes',
                        peer=self._peer,
                    )
                end = position + size + length
                if len(buffer) < end:
                    break
                frame = bytes(buffer[position + size : end])
                position = end
                on_message(hop.decode(frame, self._peer))
            if position:
                del buffer[:position]


def send_with_parts(stream, message):
    """Send a call or a result, a long body in parts."""
    body = message.body
    if len(body) <= MAX_PART_BYTES:
        stream.send(message)
        return
    rest = len(body) - MAX_PART_BYTES
    stream.send(
        dataclasses.replace(
            message, body=body[:MAX_PART_BYTES], remaining_bytes=rest
        )
    )
    for start in range(MAX_PART_BYTES, len(body), MAX_PART_BYTES):
        chunk = body[start : start + MAX_PART_BYTES]
        is_last = start + MAX_PART_BYTES >= len(body)
        stream.send_part(hop_messages.Part(message.id, chunk, is_last))


class BodyAssembler:
    """Puts bodies together that came in parts."""

    def __init__(self):
        self._incomplete = {}

    def add_first(self, message):
        """Take the first part; return the message if it is whole."""
        if not message.remaining_bytes:
            return message
        self._incomplete[message.id] = (message, [message.body])
        return None

    def add_part(self, part):
        """Take a further part; return the message once it is whole."""
        entry = self._incomplete.get(part.id)
        if entry is None:
            return None
        message, parts = entry
        parts.append(part.body)
        if not part.is_last:
            return None
        del self._incomplete[part.id]
        return dataclasses.replace(
            message, body=b''.join(parts), remaining_bytes=0
        )

    def discard(self, id_):
        """Forget a body that is no longer wanted."""
        self._incomplete.pop(id_, None)
