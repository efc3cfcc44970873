"""Opens the ports of a node. TLS is to be added here."""

import select

import trio

from pumicestand import log
from pumicestand import tcp_streams

BACKLOG_CONNECTIONS = 512
# Time in which a closing port accepts the connections that wait, in seconds.
DRAIN_TIMEOUT_S = 0.2


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
        try:
            with trio.move_on_after(DRAIN_TIMEOUT_S, shield=True):
                await self._accept_waiting()
        except OSError as error:
            log.logger.bind(event='connections-dropped').warning(
                'connections wait at a port that closes and are reset: {}',
                error,
            )
        finally:
            with trio.CancelScope(shield=True):
                await self._listener.aclose()

    async def _accept_waiting(self):
        poll = select.poll()
        poll.register(self._listener.socket.fileno(), select.POLLIN)
        for _ in range(BACKLOG_CONNECTIONS):
            if not poll.poll(0):
                return
            self._on_waiting(await self._listener.accept())
