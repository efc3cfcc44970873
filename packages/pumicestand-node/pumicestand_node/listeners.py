"""Opens the ports of a node. TLS is to be added here."""

import select

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


class DrainedListener(trio.abc.Listener):
    """A listener that accepts the connections that wait before it closes.

    The kernel would reset them.

    :param listener: `trio.SocketListener`
    :param on_waiting: called with the stream of each of these connections
    """

    def __init__(self, listener, on_waiting):
        self._listener = listener
        self._on_waiting = on_waiting

    async def accept(self):
        return await self._listener.accept()

    async def aclose(self):
        poll = select.poll()
        poll.register(self._listener.socket.fileno(), select.POLLIN)
        with trio.CancelScope(shield=True):
            for _ in range(BACKLOG_CONNECTIONS):
                if not poll.poll(0):
                    break
                self._on_waiting(await self._listener.accept())
            await self._listener.aclose()
