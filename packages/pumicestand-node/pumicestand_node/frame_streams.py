"""Frames over a TCP connection between two nodes.

Long bodies are sent in parts after all other frames, so that they do not
delay concurrent calls. Frames to another availability zone are compressed,
except for the parts of bodies, whose order among the other frames varies.
"""

import collections
import dataclasses

import trio

from pumicestand import buffer_budget
from pumicestand import errors
from pumicestand import frame_compression
from pumicestand import hop
from pumicestand import hop_messages
from pumicestand import log
from pumicestand_node import socket_io

MAX_READ_BYTES = 65_536
# Largest part of a body in one frame, and largest total of the parts in one
# write. A short frame waits for at most one such write, which takes 50 ms at
# 5 Mbit/s.
MAX_PART_BYTES = 16_384
MAX_PARTS_PER_WRITE_BYTES = 32_768
# Queued bytes, besides bodies, above which the link is closed because the peer
# does not read.
MAX_BACKLOG_BYTES = 16_000_000


@dataclasses.dataclass(slots=True)
class _QueuedBody:
    """A body, or what is left of one, that is sent in parts.

    :param id: id of the call or result that it belongs to
    :param position: bytes of it that have been sent
    :param budget: counts the body until `release`, None if something else
        counts it
    """

    id: int
    body: bytes
    position: int = 0
    budget: buffer_budget.BufferBudget | None = None

    @property
    def is_sent(self):
        return self.position >= len(self.body)

    def next_part(self):
        """Return the next part as an encoded frame."""
        start, self.position = self.position, self.position + MAX_PART_BYTES
        chunk = bytes(self.body[start : self.position])
        return hop.encode(hop_messages.Part(self.id, chunk, self.is_sent))

    def release(self):
        """Count the body no longer."""
        if self.budget is not None:
            self.budget.remove(len(self.body))


class FrameStream:
    """Sends and receives frames over a stream, with one task for each.

    Parts of bodies are sent after all other queued frames. ``is_cross_zone``
    is whether the other node is known to be in another availability zone,
    ``max_frame_bytes`` the size of the longest frame that is accepted.

    :param stream: trio stream to the other node
    :param peer: name of the other node, for errors
    :param meter: `link_meter.LinkMeter` of this VM
    :param clock: returns monotonic seconds
    """

    def __init__(self, stream, peer, meter, clock):
        self._stream = stream
        self._peer = peer
        self._meter = meter
        self._clock = clock
        self._frames = []
        # Bodies are encoded as they are sent: they may be larger than what
        # may be queued.
        self._bodies = collections.deque()
        self._backlog_bytes = 0
        self._is_writing = False
        self._data_queued = trio.Event()
        self._scope = trio.CancelScope()
        self._compressor = None
        self._decompressor = None
        self.max_frame_bytes = hop.MAX_FRAME_BYTES
        self.is_closed = False
        self.is_cross_zone = False

    @property
    def has_unsent(self):
        """Whether frames wait to be written."""
        return not self.is_closed and (
            self._is_writing or self._backlog_bytes > 0 or bool(self._bodies)
        )

    def start_compression(self):
        """Compress further frames; the other node must accept that."""
        if self._compressor is None:
            self._compressor = frame_compression.FrameCompressor()

    def send(self, message):
        """Send a message or queue it.

        The link is closed if more than `MAX_BACKLOG_BYTES` are queued.
        """
        self.send_encoded(hop.encode(message), type(message).__name__)

    def send_encoded(self, data, kind):
        """Send or queue an encoded frame; see `send`.

        :param kind: name of the message's type
        """
        if self.is_closed:
            return
        data = self._compress(data)
        self._record_sent(len(data), kind)
        if not self._is_writing and not self._frames and not self._bodies:
            try:
                data = socket_io.send_nowait(self._stream, data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self.stop()
                return
            if not data:
                return
        self._enqueue(data)

    def send_body(self, id_, body, position=0, budget=None):
        """Queue a body, to be sent in parts after all other frames.

        :param id_: id of the call or result that it belongs to
        :param position: bytes of it that were sent with the message
        :param budget: `buffer_budget.BufferBudget` that counts the body while
            it is queued, None if something else counts it
        """
        if self.is_closed or position >= len(body):
            return
        self._record_sent(len(body) - position, 'Part')
        if budget is not None:
            budget.add(len(body))
        self._bodies.append(_QueuedBody(id_, body, position, budget))
        self._data_queued.set()

    def discard_body(self, id_):
        """Send no more of the body of a call that has ended.

        The peer must not wait for the rest.
        """
        for queued in [q for q in self._bodies if q.id == id_]:
            self._bodies.remove(queued)
            queued.release()

    def _compress(self, data):
        """Return an encoded frame as it is sent, with its length prefix."""
        size = hop.LENGTH_PREFIX.size
        if (
            self._compressor is None
            or len(data) - size > frame_compression.MAX_COMPRESSED_BYTES
        ):
            return data
        frame = self._compressor.compress(data[size:])
        return hop.LENGTH_PREFIX.pack(len(frame) | hop.COMPRESSED_FLAG) + frame

    def _decompress(self, frame):
        if self._decompressor is None:
            self._decompressor = frame_compression.FrameDecompressor(
                self._peer
            )
        return self._decompressor.decompress(frame)

    def _record_sent(self, size, kind):
        self._meter.record_sent(size, self._clock(), kind, self.is_cross_zone)

    def _enqueue(self, data):
        """Queue an encoded frame; close the stream if too much is queued."""
        self._frames.append(data)
        self._backlog_bytes += len(data)
        if self._backlog_bytes > MAX_BACKLOG_BYTES:
            self.stop()
            return
        self._data_queued.set()

    def stop(self):
        """Stop both tasks; `run` then closes the stream."""
        self.is_closed = True
        self._scope.cancel()

    async def run(self, on_message):
        """Send and receive frames until the stream ends or is stopped.

        :param on_message: called with each message received
        """
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    await self._read(on_message)
                    nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        except* errors.InvalidFrameError as group:
            log.logger.warning('closing a link: {}', group.exceptions[0])
        finally:
            self.is_closed = True
            for queued in self._bodies:
                queued.release()
            self._bodies.clear()
            # A reset would lose the results that were sent last.
            socket_io.discard_received(self._stream)
            await trio.aclose_forcefully(self._stream)

    async def _write(self):
        """Write queued data until cancelled."""
        while True:
            while not self._frames and not self._bodies:
                await self._data_queued.wait()
                self._data_queued = trio.Event()
            data = self._next_write()
            self._is_writing = True
            await self._stream.send_all(data)
            self._is_writing = False

    def _next_write(self):
        """Remove and return the bytes to write next."""
        if self._frames:
            data, self._frames = b''.join(self._frames), []
            self._backlog_bytes = 0
            return data
        data = b''
        while (
            self._bodies
            and len(data) + MAX_PART_BYTES <= MAX_PARTS_PER_WRITE_BYTES
        ):
            queued = self._bodies[0]
            data += queued.next_part()
            if queued.is_sent:
                self._bodies.popleft()
                queued.release()
        return data

    async def _read(self, on_message):
        """Read frames until the stream ends.

        :raises errors.InvalidFrameError: if a frame is too large or invalid
        """
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
                (prefix,) = hop.LENGTH_PREFIX.unpack_from(buffer, position)
                length = prefix & ~hop.COMPRESSED_FLAG
                if length > self.max_frame_bytes:
                    raise errors.InvalidFrameError(
                        errors.Code.FRAME_TOO_LARGE,
                        f'frame of {length} bytes exceeds the limit of '
                        f'{self.max_frame_bytes} bytes',
                        peer=self._peer,
                    )
                end = position + size + length
                if len(buffer) < end:
                    break
                frame = bytes(buffer[position + size : end])
                position = end
                if prefix & hop.COMPRESSED_FLAG:
                    frame = self._decompress(frame)
                on_message(hop.decode(frame, self._peer))
            if position:
                del buffer[:position]


def send_with_parts(frames, message, budget=None):
    """Send a call or a result, with a long body in parts.

    :param frames: `FrameStream`
    :param message: `hop_messages.Call` or `hop_messages.Result`
    :param budget: see `FrameStream.send_body`
    """
    body = message.body
    if len(body) <= MAX_PART_BYTES:
        frames.send(message)
        return
    rest = len(body) - MAX_PART_BYTES
    frames.send(
        dataclasses.replace(
            message,
            body=bytes(body[:MAX_PART_BYTES]),
            remaining_bytes=rest,
        )
    )
    frames.send_body(message.id, body, MAX_PART_BYTES, budget)


def send_without_body(frames, call):
    """Send a call whose body the other node has to ask for.

    :param frames: `FrameStream`
    :param call: `hop_messages.Call`
    """
    frames.send(
        dataclasses.replace(
            call, body=b'', remaining_bytes=len(call.body), holds_body=True
        )
    )


class BodyAssembler:
    """Assembles the bodies of messages that arrive in parts.

    :param budget: `buffer_budget.BufferBudget` that counts what has arrived of
        bodies that are not complete, and the rest as promised
    """

    def __init__(self, budget=None):
        self._budget = budget or buffer_budget.BufferBudget()
        # Id to message and to what has arrived of its body.
        self._incomplete = {}

    def add_first(self, message):
        """Add a message with the first part of its body.

        :returns: the message if its body is complete, else None
        """
        if not message.remaining_bytes:
            return message
        self.discard(message.id)
        self._incomplete[message.id] = (message, bytearray(message.body))
        self._count(len(message.body), message.remaining_bytes)
        return None

    def add_part(self, part):
        """Add another part of a body.

        :param part: `hop_messages.Part`; ignored if its message is unknown
        :returns: the complete message if this is the last part, else None
        """
        entry = self._incomplete.get(part.id)
        if entry is None:
            return None
        message, body = entry
        promised_bytes = _promised_bytes(message, body)
        body += part.body
        self._count(
            len(part.body), _promised_bytes(message, body) - promised_bytes
        )
        if not part.is_last:
            return None
        self.discard(part.id)
        return dataclasses.replace(message, body=body, remaining_bytes=0)

    def discard(self, id_):
        """Discard the parts of a message that is no longer needed."""
        entry = self._incomplete.pop(id_, None)
        if entry is not None:
            message, body = entry
            self._count(-len(body), -_promised_bytes(message, body))

    def discard_all(self):
        """Discard the parts of all messages."""
        for id_ in list(self._incomplete):
            self.discard(id_)

    def _count(self, held_bytes, promised_bytes):
        self._budget.add(held_bytes)
        self._budget.promise(promised_bytes)


def _promised_bytes(message, body):
    """Return how much of a message's body has not arrived, in bytes."""
    size = len(message.body) + message.remaining_bytes
    return max(0, size - len(body))
