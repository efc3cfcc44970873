"""Opens TCP connections."""

import trio


async def open_stream(host, port):
    """Return a `trio.SocketStream` to a host.

    :raises OSError: if the connection can't be opened
    """
    return await trio.open_tcp_stream(encode_host(host), port)


def encode_host(host):
    """Return a host in the form that is the cheapest to look up.

    For text the socket module imports the codec of international names, which
    takes 3 ms of processor time and 1 MB.

    >>> encode_host('10.0.0.1')
    b'10.0.0.1'
    """
    return host.encode('ascii') if host.isascii() else host
