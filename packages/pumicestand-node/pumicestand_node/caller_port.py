"""All connections of callers at one port."""

import time

import loguru
import trio

from pumicestand import documents
from pumicestand_node import caller_connections


class CallerPort:
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
    def open(self):
        """How many connections are open."""
        return len(self._connections)

    async def serve(self, stream):
        """Serve one connection until it ends."""
        if self.open >= self._max_connections:
            await trio.aclose_forcefully(stream)
            return
        connection = caller_connections.CallerConnection(
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

    def check_progress(self):
        """End connections whose callers take too long."""
        now = time.monotonic()
        for connection in list(self._connections):
            connection.check_progress(now)

    def finish(self):
        """Close connections, each behind the last answer that it waits for."""
        for connection in list(self._connections):
            connection.finish()
