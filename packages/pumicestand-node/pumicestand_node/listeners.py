"""Opens the ports of a node. TLS is to be added here."""

import trio

from pumicestand import tcp_streams

BACKLOG_CONNECTIONS = 512


async def open_listeners(host, port, tls=None):
    """Return trio listeners for a TCP port.

    :param tls: a `settings.Tls`, or None; the settings reject TLS because it
        is not implemented yet
    :raises NotImplementedError: if TLS is requested
    """
    if tls is not None:
        raise NotImplementedError('TLS is not implemented for listeners')
    return await trio.open_tcp_listeners(
        port, host=tcp_streams.encode_host(host), backlog=BACKLOG_CONNECTIONS
    )
