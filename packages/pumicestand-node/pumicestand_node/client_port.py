"""The connections of clients to one port."""

import time

import trio

from pumicestand import documents
from pumicestand import log
from pumicestand_node import client_connections


class ClientPort:
    """Serves the connections that clients open to a port.

    :param serve: coroutine function that responds to one request, as for
        `client_connections.ClientConnection`
    :param on_refusal: called with the `refusals.Refusal` of a request that
        could not be read, or whose serving failed
    :param limits: returns the `documents.ClientLimits` in force
    :param max_connections: further connections are closed at once
    """

    def __init__(
        self,
        serve,
        on_refusal,
        limits=documents.ClientLimits,
        max_connections=float('inf'),
    ):
        self._serve = serve
        self._on_refusal = on_refusal
        self._limits = limits
        self._max_connections = max_connections
        self._connections = set()
        self._is_draining = False

    @property
    def connection_count(self):
        """Number of open connections."""
        return len(self._connections)

    async def serve(self, stream):
        """Serve one connection until it ends.

        :param stream: a trio stream
        """
        if self.connection_count >= self._max_connections:
            await trio.aclose_forcefully(stream)
            return
        connection = client_connections.ClientConnection(
            stream,
            self._serve,
            time.monotonic,
            self._limits(),
            self._on_refusal,
        )
        self._connections.add(connection)
        if self._is_draining:
            connection.close_when_idle()
        try:
            await connection.run()
        except OSError as error:
            if log.is_written('DEBUG'):
                log.logger.debug('connection from a client failed: {}', error)
        finally:
            self._connections.discard(connection)

    def enforce_timeouts(self):
        """End the connections whose clients exceed a time limit."""
        now = time.monotonic()
        for connection in list(self._connections):
            connection.enforce_timeouts(now)

    def close_when_idle(self):
        """Close each connection once no request is received or served on it.

        This also holds for the connections that are opened later.
        """
        self._is_draining = True
        for connection in list(self._connections):
            connection.close_when_idle()
