"""Reads and writes sockets with less overhead than trio's streams.

Most sends fit into the socket's buffer, and most reads have to wait. Therefore
data is written without a checkpoint, and a read waits before its system call
instead of after a failed one. The trio scheduler would cost more time than the
system calls do.
"""

import array
import fcntl
import os
import socket

import trio

from pumicestand import log
from pumicestand import tcp_streams

# The request for the bytes that are sent and not acknowledged, from sockios.h.
SIOCOUTQ = 0x5411
# Most bytes that are discarded before a socket is closed: 4 MB.
DISCARD_BYTES = 65_536
MAX_DISCARDS = 64


def is_readable(stream):
    """Return whether a read from a stream would end at once.

    It does if there is data to read, the peer has closed the connection or
    this end has. False for streams that are no sockets.
    """
    if not isinstance(stream, trio.SocketStream):
        return False
    return tcp_streams.is_readable(stream)


def set_receive_buffer(stream, size):
    """Set the size of a receive buffer; return whether it is set.

    False for streams that are no sockets, and where the system refuses it.

    :param stream: a stream, or a listener whose connections inherit the size
    :param size: in bytes; the system may double it
    """
    if not isinstance(stream, trio.SocketStream | trio.SocketListener):
        return False
    try:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
    except OSError as error:
        if log.is_written('DEBUG'):
            log.logger.debug('receive buffer of {} bytes: {}', size, error)
        return False
    return True


def has_undelivered(stream):
    """Return whether the peer has not acknowledged all that was sent to it.

    False for streams that are no sockets, and where the system can't tell.
    """
    if not isinstance(stream, trio.SocketStream):
        return False
    size = array.array('i', [0])
    try:
        fcntl.ioctl(stream.socket.fileno(), SIOCOUTQ, size)
    except (OSError, ValueError):
        return False
    return size[0] > 0


def send_nowait(stream, data):
    """Send data without waiting and return what could not be sent.

    No other task may be sending on the stream.

    :raises trio.BrokenResourceError: if the connection is broken
    :raises trio.ClosedResourceError: if the stream is closed
    """
    if not isinstance(stream, trio.SocketStream):
        return data
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        raise trio.ClosedResourceError
    try:
        sent_bytes = os.write(descriptor, data)
    except BlockingIOError:
        return data
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from error
    # A copy of the rest would double the memory of a long body.
    return memoryview(data)[sent_bytes:] if sent_bytes < len(data) else b''


async def send_all(stream, data):
    """Send data, waiting only if the socket's buffer is full."""
    rest = send_nowait(stream, data)
    if rest:
        await stream.send_all(rest)


async def receive_some(stream, max_bytes):
    """Return up to max_bytes of data, empty at the end of the stream.

    :raises trio.BrokenResourceError: if the connection was reset
    :raises trio.ClosedResourceError: if the stream is closed
    """
    if not isinstance(stream, trio.SocketStream):
        return await stream.receive_some(max_bytes)
    while True:
        if stream.socket.fileno() < 0:
            raise trio.ClosedResourceError
        await trio.lowlevel.wait_readable(stream.socket)
        try:
            return os.read(stream.socket.fileno(), max_bytes)
        except BlockingIOError:
            continue
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error


def discard_received(stream):
    """Discard what was received but not read, without waiting for more.

    Closing a socket with unread bytes resets the connection, which can lose
    what was sent to the peer before.
    """
    if not isinstance(stream, trio.SocketStream):
        return
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        return
    try:
        for _ in range(MAX_DISCARDS):
            if not os.read(descriptor, DISCARD_BYTES):
                return
    except OSError:
        # No more bytes, or the peer has reset the connection.
        return
