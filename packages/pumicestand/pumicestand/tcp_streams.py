"""Opens TCP connections."""

import select

import trio


async def open_stream(host, port):
    """Return a `trio.SocketStream` to a host.

    :raises OSError: if the connection can't be opened
    """
    return await trio.open_tcp_stream(encode_host(host), port)


def is_readable(stream):
    """Return whether a read from a `trio.SocketStream` would end at once.

    It does if there is data to read, the peer has closed the connection or
    this end has.
    """
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def encode_host(host):
    """Return a host in the form that is the cheapest to look up.

    For text the socket module imports the codec of international names, which
    takes 3 ms of processor time and 1 MB.

    >>> encode_host('10.0.0.1')
    b'10.0.0.1'
    """
    return host.encode('ascii') if host.isascii() else host
