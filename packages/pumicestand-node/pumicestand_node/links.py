"""Links between nodes: many calls at once over one TCP connection.

Each node opens one link to every other node and sends its calls there; the
other one answers on it and reports how busy its target is.
"""

import socket

import loguru
import trio

from pumicestand import hop_messages
from pumicestand import link_meter
from pumicestand_node import frame_streams

CONNECT_TIMEOUT_S = 1.0
# Silence after which a link with calls on it is asked for a sign of life.
PING_AFTER_SILENCE_S = 0.5
# Silence after which a link is given up, its calls' outcome unknown.
MAX_SILENCE_S = 1.3
# Time that a byte may stay unacknowledged before the kernel resets, in ms.
TCP_USER_TIMEOUT_MS = 2_000
# Time between two attempts to open a link, growing up to the second.
MIN_RECONNECT_DELAY_S = 0.15
MAX_RECONNECT_DELAY_S = 1.5


class _PendingCall:
    """A call that was sent and has no result yet."""

    __slots__ = ('done', 'result')

    def __init__(self):
        self.done = trio.Event()
        self.result = None


class Link:
    """The link from this node to another; kept open until it is stopped.

    :param peer: the `fleet.Peer`
    :param make_hello: returns the `hop_messages.Hello` to begin with
    :param on_message: called with (peer, message) for all but results
    :param clock: returns monotonic seconds
    :param rng: a `random.Random`
    :param meter: the `link_meter.LinkMeter` of this VM
    """

    def __init__(self, peer, make_hello, on_message, clock, rng, meter):
        self._peer = peer
        self._make_hello = make_hello
        self._on_message = on_message
        self._clock = clock
        self._rng = rng
        self._meter = meter
        self._stream = None
        self._pending = {}
        self._assembler = frame_streams.BodyAssembler()
        self._last_received_at = 0.0
        self._pinged_at = None
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
        delay = MIN_RECONNECT_DELAY_S
        with self._scope:
            while True:
                stream = await self._connect()
                if stream is None:
                    await trio.sleep(delay * (0.5 + self._rng.random()))
                    delay = min(MAX_RECONNECT_DELAY_S, delay * 2)
                    continue
                delay = MIN_RECONNECT_DELAY_S
                await self._run_connection(stream)
                await trio.sleep(MIN_RECONNECT_DELAY_S * self._rng.random())

    async def _connect(self):
        peer = self._peer
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(peer.host, peer.port)
        except (OSError, trio.TooSlowError):
            return None
        set_tcp_user_timeout(stream)
        return stream

    async def _run_connection(self, stream):
        frames = frame_streams.FrameStream(
            stream, self._peer.name, self._meter, self._clock
        )
        frames.send(self._make_hello())
        self._stream = frames
        # Whoever answers on a new connection is the process that runs now;
        # what was heard before may bear a higher incarnation, since these
        # come from clocks, and clocks go back.
        self._peer.report = None
        self._last_received_at = self._clock()
        self._pinged_at = None
        try:
            await frames.run(self._handle_message)
        finally:
            self._stream = None
            self._peer.is_linked = False
            self._peer.unreachable_since = self._clock()
            pending, self._pending = self._pending, {}
            self._assembler = frame_streams.BodyAssembler()
            for entry in pending.values():
                entry.done.set()

    def _handle_message(self, message):
        self._last_received_at = self._clock()
        self._pinged_at = None
        match message:
            case hop_messages.Result():
                self._complete_call(self._assembler.add_first(message))
            case hop_messages.Part():
                self._complete_call(self._assembler.add_part(message))
            case hop_messages.Pong():
                pass
            case hop_messages.Report(name=name) if name != self._peer.name:
                # Another node has taken the address over.
                loguru.logger.warning(
                    'at the address of {} is {} now; the link is closed',
                    self._peer.name,
                    name,
                )
                self._on_message(self._peer, message)
                self.stop()
            case hop_messages.Report():
                if not self._peer.is_linked:
                    self._peer.is_linked = True
                    self._peer.unreachable_since = None
                self._on_message(self._peer, message)
            case _:
                self._on_message(self._peer, message)

    def _complete_call(self, result):
        if result is None:
            return
        pending = self._pending.pop(result.id, None)
        if pending is not None:
            pending.result = result
            pending.done.set()

    async def send_call(self, call):
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
        pending = self._pending[id_] = _PendingCall()
        frame_streams.send_with_parts(stream, call)
        try:
            await pending.done.wait()
        finally:
            if self._pending.pop(id_, None) is not None:
                self._assembler.discard(id_)
                stream.send(hop_messages.Cancel(id_))
        return pending.result

    def check_liveness(self, now):
        """Ask a silent link for a sign of life; give up a dead one."""
        if self._stream is None or not self._pending:
            self._pinged_at = None
            return
        if now - self._last_received_at < PING_AFTER_SILENCE_S:
            return
        if self._pinged_at is None:
            self._pinged_at = now
            self._stream.send(hop_messages.Ping(1))
            return
        if now - self._pinged_at > self._ping_timeout_s():
            loguru.logger.warning(
                'the link to {} is silent for {:.1f} s with {} calls on it '
                'and is closed',
                self._peer.name,
                now - self._last_received_at,
                len(self._pending),
            )
            self._stream.stop()

    def _ping_timeout_s(self):
        """Return the seconds in which a living peer answers a ping.

        On a narrow link the answer stands behind the bodies of other calls.
        """
        report = self._peer.report
        rates = (self._meter.rate, report.link_rate if report else 0.0)
        return (
            MAX_SILENCE_S
            - PING_AFTER_SILENCE_S
            + link_meter.backlog_delay_s(*rates)
        )


def set_tcp_user_timeout(stream):
    """Have the kernel give up a connection whose bytes go unacknowledged."""
    stream.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
