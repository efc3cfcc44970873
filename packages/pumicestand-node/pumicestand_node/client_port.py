"""All connections of callers at one port."""

import time

import loguru
import trio

from pumicestand import documents
from pumicestand_node import client_connections


class ClientPort:
    """Serves the connections that are opened at a port.

    :param serve: coroutine function that answers one request
    :param on_refusal: called with the `refusals.Refusal` of a request that
        could not be read
    :param limits: returns the `documents.CallerLimits` in force
    :param max_connections: further ones are closed at once
    """

    def __init__(
        self,
        serve,
        on_refusal,
        limits=documents.CallerLimits,
        max_connections=float('inf'),
    ):
        self._serve = serve
        self._on_refusal = on_refusal
        self._limits = limits
        self._max_connections = max_connections
        self._connections = set()

    @property
    def connection_count(self):
        """How many connections are open."""
        return len(self._connections)

    async def serve(self, stream):
        """Serve one connection until it ends."""
        if self.connection_count >= self._max_connections:
            await trio.aclose_forcefully(stream)
            return
        connection = client_connections.ClientConnection(
            stream, self._serve, time.monotonic, self._limits()
        )
        self._connections.add(connection)
        try:
            await connection.run()
        except OSError as error:
            loguru.logger.debug('a connection ended: {}', error)
        finally:
            self._connections.discard(connection)
            if connection.refusal is not None:
                self._on_refusal(connection.refusal)

    def enforce_timeouts(self):
        """End connections whose callers take too long."""
        now = time.monotonic()
        for connection in list(self._connections):
            connection.enforce_timeouts(now)

    def close_when_idle(self):
        """Close connections, each behind the last answer that it waits for."""
        for connection in list(self._connections):
            connection.close_when_idle()
