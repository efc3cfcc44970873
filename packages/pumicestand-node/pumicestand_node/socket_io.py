"""Reads and writes sockets with as few steps as the kernel allows.

Most sends fit the socket's buffer, and most reads have to wait. Handing the
bytes over directly, and waiting before a read in place of after a failed
one, saves the scheduler's part, which is larger than the system calls.
"""

import os
import select

import trio


def is_readable(stream):
    """Return whether an idle socket was closed or has bytes to read."""
    if not isinstance(stream, trio.SocketStream):
        return False
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def send_nowait(stream, data):
    """Return the bytes of data that the kernel did not take.

    Nothing else may be sending on the stream.

    :raises trio.BrokenResourceError: if the connection is gone
    """
    if not isinstance(stream, trio.SocketStream):
        return data
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        raise trio.ClosedResourceError
    try:
        sent = os.write(descriptor, data)
    except BlockingIOError:
        return data
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from error
    return data[sent:] if sent < len(data) else b''


async def send_all(stream, data):
    """Send data, waiting only if the kernel does not take all of it."""
    rest = send_nowait(stream, data)
    if rest:
        await stream.send_all(rest)


async def receive_some(stream, max_bytes):
    """Return the next bytes, empty at the end of the stream.

    :raises trio.BrokenResourceError: if the connection was reset
    """
    if not isinstance(stream, trio.SocketStream):
        return await stream.receive_some(max_bytes)
    while True:
        await trio.lowlevel.wait_readable(stream.socket)
        try:
            return os.read(stream.socket.fileno(), max_bytes)
        except BlockingIOError:
            continue
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error
