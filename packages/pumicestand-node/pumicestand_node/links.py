"""Links between nodes: many calls at once over one TCP connection.

Each node opens one link to every other node and sends its calls there; the
other one answers on it and reports how busy its target is. Bodies travel in
parts, so that a long one does not hold up the calls beside it.
"""

import collections
import dataclasses
import socket

import loguru
import trio

from pumicestand import errors
from pumicestand import hop
from pumicestand import hop_messages
from pumicestand import link_meter
from pumicestand_node import socket_io

READ_BYTES = 65_536
# Bytes of a body in one frame, and of bodies handed to the kernel at once:
# a short frame waits for no more than these, 50 ms at 5 Mbit/s.
PART_BYTES = 16_384
BULK_BYTES = 32_768
# Bytes waiting to be sent at which a link counts as stuck.
MAX_BACKLOG_BYTES = 16_000_000
CONNECT_TIMEOUT_S = 1.0
# Silence after which a link with calls on it is asked for a sign of life.
PING_AFTER_S = 0.5
# Silence after which a link is given up, its calls' outcome unknown.
DEAD_AFTER_S = 1.3
# Time that a byte may stay unacknowledged before the kernel resets, in ms.
USER_TIMEOUT_MS = 2_000
# Time between two attempts to open a link, growing up to the second.
MIN_REDIAL_S = 0.15
MAX_REDIAL_S = 1.5


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
        self._out = []
        self._parts = collections.deque()
        self._backlog = 0
        self._is_writing = False
        self._wake = trio.Event()
        self._scope = trio.CancelScope()
        self.is_closed = False

    def send(self, message):
        """Queue a message; a peer that does not read loses the link."""
        self.send_bytes(hop.encode(message))

    def send_bytes(self, data):
        """Queue a frame that is encoded already."""
        if self.is_closed:
            return
        self._meter.note_sent(len(data), self._clock())
        if not self._is_writing and not self._out and not self._parts:
            try:
                data = socket_io.send_now(self._stream, data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self.stop()
                return
            if not data:
                return
        self._queue(self._out, data)

    def send_part(self, part):
        """Queue a part of a body behind the frames that are no parts."""
        if self.is_closed:
            return
        data = hop.encode(part)
        self._meter.note_sent(len(data), self._clock())
        self._queue(self._parts, data)

    def _queue(self, queue, data):
        queue.append(data)
        self._backlog += len(data)
        if self._backlog > MAX_BACKLOG_BYTES:
            self.stop()
            return
        self._wake.set()

    def stop(self):
        """End both tasks; `run` closes the stream."""
        self.is_closed = True
        self._scope.cancel()

    async def run(self, receive):
        """Carry frames until the stream ends.

        :param receive: called with each message
        """
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    await self._read(receive)
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
            while not self._out and not self._parts:
                await self._wake.wait()
                self._wake = trio.Event()
            data = self._take_next()
            self._backlog -= len(data)
            self._is_writing = True
            await self._stream.send_all(data)
            self._is_writing = False

    def _take_next(self):
        """Return the bytes to write next."""
        if self._out:
            data, self._out = b''.join(self._out), []
            return data
        data = self._parts.popleft()
        while self._parts and len(data) + len(self._parts[0]) <= BULK_BYTES:
            data += self._parts.popleft()
        return data

    async def _read(self, receive):
        buffer = bytearray()
        size = hop.LENGTH.size
        while True:
            data = await socket_io.receive_some(self._stream, READ_BYTES)
            if not data:
                return
            self._meter.note_received(len(data), self._clock())
            buffer += data
            position = 0
            while len(buffer) - position >= size:
                (length,) = hop.LENGTH.unpack_from(buffer, position)
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
                receive(hop.decode(frame, self._peer))
            if position:
                del buffer[:position]


def send_with_parts(stream, message):
    """Send a call or a result, a long body in parts."""
    body = message.body
    if len(body) <= PART_BYTES:
        stream.send(message)
        return
    rest = len(body) - PART_BYTES
    stream.send(
        dataclasses.replace(message, body=body[:PART_BYTES], rest=rest)
    )
    for start in range(PART_BYTES, len(body), PART_BYTES):
        piece = body[start : start + PART_BYTES]
        is_last = start + PART_BYTES >= len(body)
        stream.send_part(hop_messages.Part(message.id, piece, is_last))


class Assembler:
    """Puts bodies together that came in parts."""

    def __init__(self):
        self._open = {}

    def begin(self, message):
        """Take the first part; return the message if it is whole."""
        if not message.rest:
            return message
        self._open[message.id] = (message, [message.body])
        return None

    def add(self, part):
        """Take a further part; return the message once it is whole."""
        held = self._open.get(part.id)
        if held is None:
            return None
        message, parts = held
        parts.append(part.body)
        if not part.is_last:
            return None
        del self._open[part.id]
        return dataclasses.replace(message, body=b''.join(parts), rest=0)

    def drop(self, id_):
        """Forget a body that is no longer wanted."""
        self._open.pop(id_, None)


class _Pending:
    """A call that was sent and has no result yet."""

    __slots__ = ('event', 'result')

    def __init__(self):
        self.event = trio.Event()
        self.result = None


class Link:
    """The link from this node to another; kept open until it is stopped.

    :param peer: the `fleet.Peer`
    :param hello: returns the `hop_messages.Hello` to begin with
    :param receive: called with (peer, message) for all but results
    :param clock: returns monotonic seconds
    :param rng: a `random.Random`
    :param meter: the `link_meter.LinkMeter` of this VM
    """

    def __init__(self, peer, hello, receive, clock, rng, meter):
        self._peer = peer
        self._hello = hello
        self._receive = receive
        self._clock = clock
        self._rng = rng
        self._meter = meter
        self._stream = None
        self._pending = {}
        self._assembler = Assembler()
        self._heard_at = 0.0
        self._asked_at = None
        self._scope = trio.CancelScope()

    def stop(self):
        """Close the link for good."""
        self._scope.cancel()

    def send(self, message):
        """Send a message if the link is open."""
        if self._stream is not None:
            self._stream.send(message)

    async def run(self):
        """Keep the link open."""
        delay = MIN_REDIAL_S
        with self._scope:
            while True:
                stream = await self._dial()
                if stream is None:
                    await trio.sleep(delay * (0.5 + self._rng.random()))
                    delay = min(MAX_REDIAL_S, delay * 2)
                    continue
                delay = MIN_REDIAL_S
                await self._carry(stream)
                await trio.sleep(MIN_REDIAL_S * self._rng.random())

    async def _dial(self):
        peer = self._peer
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(peer.host, peer.port)
        except (OSError, trio.TooSlowError):
            return None
        set_user_timeout(stream)
        return stream

    async def _carry(self, stream):
        frames = FrameStream(stream, self._peer.name, self._meter, self._clock)
        frames.send(self._hello())
        self._stream = frames
        # Whoever answers on a new connection is the process that runs now;
        # what was heard before may bear a higher incarnation, since these
        # come from clocks, and clocks go back.
        self._peer.report = None
        self._heard_at = self._clock()
        self._asked_at = None
        try:
            await frames.run(self._take)
        finally:
            self._stream = None
            self._peer.is_linked = False
            self._peer.unreached_since = self._clock()
            pending, self._pending = self._pending, {}
            self._assembler = Assembler()
            for entry in pending.values():
                entry.event.set()

    def _take(self, message):
        self._heard_at = self._clock()
        self._asked_at = None
        match message:
            case hop_messages.Result():
                self._finish(self._assembler.begin(message))
            case hop_messages.Part():
                self._finish(self._assembler.add(message))
            case hop_messages.Pong():
                pass
            case hop_messages.Report(name=name) if name != self._peer.name:
                # Another node has taken the address over.
                loguru.logger.warning(
                    'at the address of {} is {} now; the link is closed',
                    self._peer.name,
                    name,
                )
                self._receive(self._peer, message)
                self.stop()
            case hop_messages.Report():
                if not self._peer.is_linked:
                    self._peer.is_linked = True
                    self._peer.unreached_since = None
                self._receive(self._peer, message)
            case _:
                self._receive(self._peer, message)

    def _finish(self, result):
        if result is None:
            return
        pending = self._pending.pop(result.id, None)
        if pending is not None:
            pending.result = result
            pending.event.set()

    async def call(self, call):
        """Send a call and return its result.

        If it is cancelled, the other node is told.

        :param call: with an id that no other call of this node has
        :returns: a `hop_messages.Result`, None if the link broke
        """
        stream = self._stream
        if stream is None:
            return hop_messages.Result(
                0, hop_messages.Outcome.NOT_HANDED_ON, 'no-link'
            )
        id_ = call.id
        pending = self._pending[id_] = _Pending()
        send_with_parts(stream, call)
        try:
            await pending.event.wait()
        finally:
            if self._pending.pop(id_, None) is not None:
                self._assembler.drop(id_)
                stream.send(hop_messages.Cancel(id_))
        return pending.result

    def check(self, now):
        """Ask a silent link for a sign of life; give up a dead one."""
        if self._stream is None or not self._pending:
            self._asked_at = None
            return
        if now - self._heard_at < PING_AFTER_S:
            return
        if self._asked_at is None:
            self._asked_at = now
            self._stream.send(hop_messages.Ping(1))
            return
        if now - self._asked_at > self._answer_time():
            loguru.logger.warning(
                'the link to {} is silent for {:.1f} s with {} calls on it '
                'and is closed',
                self._peer.name,
                now - self._heard_at,
                len(self._pending),
            )
            self._stream.stop()

    def _answer_time(self):
        """Return the seconds in which a living peer answers a ping.

        On a narrow link the answer stands behind the bodies of other calls.
        """
        report = self._peer.report
        rates = (self._meter.rate, report.link_rate if report else 0.0)
        return DEAD_AFTER_S - PING_AFTER_S + link_meter.silence_s(*rates)


def set_user_timeout(stream):
    """Have the kernel give up a connection whose bytes go unacknowledged."""
    stream.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
