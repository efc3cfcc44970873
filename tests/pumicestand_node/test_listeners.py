"""Tests of the ports of a node."""

import errno

import pytest
import trio

from pumicestand_node import listeners


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


@pytest.mark.parametrize('error', [OSError(errno.EMFILE, 'full'), None])
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
