"""Tests of the ports of a node."""

import errno
import socket

import pytest
import trio
import trio.testing

from pumicestand import errors
from pumicestand_node import listeners
from tests import mock_clock


class Listener(trio.abc.Listener):
    """A listener at which a connection waits that can't be accepted.

    :param socket: a socket at which a connection waits
    :param error: raised when it is accepted, None if it has gone
    """

    def __init__(self, socket, error):
        self.socket = socket
        self.is_closed = False
        self._error = error

    async def accept(self):
        if self._error is not None:
            raise self._error
        await trio.sleep_forever()

    async def aclose(self):
        self.is_closed = True


@pytest.mark.parametrize(
    'error', [OSError(errno.EMFILE, 'full'), RuntimeError(), None]
)
def test_port_closes_although_a_waiting_connection_can_not_be_accepted(error):
    """The node ended at once, with the calls in flight, or never."""

    async def main():
        (real,) = await listeners.open_listeners('127.0.0.1', 0)
        client = await trio.open_tcp_stream(*real.socket.getsockname())
        faulty = Listener(real.socket, error)
        with trio.fail_after(5.0):
            await listeners.DrainedListener(faulty, [].append).aclose()
        assert faulty.is_closed
        await client.aclose()
        await real.aclose()

    trio.run(main)


SYSTEM_ERRORS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ECONNABORTED,
    errno.EPERM,
    errno.EPROTO,
    errno.EIO,
)


class ScriptedListener(trio.abc.Listener):
    """A listener that plays errors and connections, then waits.

    :param script: what each try to accept raises or returns
    """

    def __init__(self, script):
        self._script = list(script)
        self.socket = socket.socket()
        self.is_closed = False

    async def accept(self):
        await trio.lowlevel.checkpoint()
        if not self._script:
            await trio.sleep_forever()
        step = self._script.pop(0)
        if isinstance(step, Exception):
            raise step
        return step

    async def aclose(self):
        self.socket.close()
        self.is_closed = True


class Play:
    """What `listeners.serve` did with the connections of a script."""

    def __init__(self):
        self.served = []
        self.failures = []
        self.rooms_made = 0

    async def handle(self, stream):
        self.served.append(stream)
        if len(self.served) == 1:
            raise RuntimeError('of one connection')

    def make_room(self):
        self.rooms_made += 1
        return True


def play(script, seconds=60.0):
    """Return the `Play` of a script and the listener."""
    result = Play()
    listener = ScriptedListener(script)

    async def main():
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                await listeners.serve(
                    [listener],
                    result.handle,
                    nursery,
                    result.failures.append,
                    result.make_room,
                )

    mock_clock.run(main)
    return result, listener


@pytest.mark.parametrize(
    'error',
    [
        *(OSError(number, 'accept') for number in SYSTEM_ERRORS),
        RuntimeError('unexpected'),
        MemoryError(),
    ],
    ids=repr,
)
def test_error_of_accept_ends_neither_port_nor_process(error):
    stream, _ = trio.testing.memory_stream_pair()
    result, listener = play([error, error, stream])
    assert result.served == [stream]
    assert result.failures[0].code is errors.Code.ACCEPT_FAILED
    assert result.failures[0].error is error
    assert listener.is_closed


def test_error_on_one_connection_leaves_the_others_served():
    streams = [trio.testing.memory_stream_pair()[0] for _ in range(2)]
    result, _ = play(streams)
    assert result.served == streams
    (failure,) = result.failures
    assert failure.code is errors.Code.CONNECTION_FAILED


def test_errors_that_go_on_do_not_flood_the_log():
    script = [OSError(errno.EMFILE, 'full')] * 1000
    result, _ = play(script, seconds=1000 * listeners.RETRY_DELAY_S + 0.01)
    assert len(result.failures) == 1000
    lines = [f.count for f in result.failures if f.count]
    assert len(lines) == 5
    assert sum(lines) > 500


def test_room_is_made_if_no_descriptor_is_left():
    result, _ = play(
        [OSError(errno.EMFILE, 'full'), OSError(errno.EPERM, 'filtered')]
    )
    assert result.rooms_made == 1
