"""Opens the ports that a node serves; TLS has its place here."""

import trio

BACKLOG = 512


async def open_listeners(host, port, tls=None):
    """Return trio listeners for TCP.

    :param tls: the settings' `settings.Tls`; the settings refuse it until
        listeners here wrap their streams with it
    """
    if tls is not None:
        raise NotImplementedError('TLS has no listeners yet')
    return await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
