"""Tests of the streams between nodes."""

import errno
import types

import trio

from pumicestand import blackboard
from pumicestand_node import transport


class ClosedStream(trio.abc.Stream):
    """A stream whose peer has closed it before it is served."""

    is_closed = False

    def __init__(self):
        self.socket = types.SimpleNamespace(getpeername=self._fail)

    def _fail(self):
        raise OSError(errno.ENOTCONN, 'not connected')

    async def receive_some(self, max_bytes=None):
        return b''

    async def send_all(self, data):
        raise trio.BrokenResourceError

    async def wait_send_all_might_not_block(self):
        pass

    async def aclose(self):
        self.is_closed = True


def test_connection_that_its_peer_has_closed_does_not_end_the_process():
    identity = blackboard.Identity('e', 'n', 'z', 'r', '127.0.0.1', 1, 2)
    board = blackboard.Blackboard(identity, incarnation=1)
    served = transport.Transport(board, None, None, None, None)
    stream = ClosedStream()
    trio.run(served._serve_stream, stream)
    assert stream.is_closed
    assert served._stream_count == 0
