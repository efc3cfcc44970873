"""A TCP proxy that injects faults into the connections it forwards."""

import dataclasses

import trio

READ_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class ProxyFaults:
    """The faults of a proxy at present.

    :param is_stalled: data is held back in both directions, and connections
        stay open
    :param is_response_stalled: data from the server to the client is held
        back
    :param delay_s: seconds by which each piece of data is delayed
    """

    is_stalled: bool = False
    is_response_stalled: bool = False
    delay_s: float = 0.0


@dataclasses.dataclass(eq=False, slots=True)
class _Connection:
    """One forwarded connection; its data is discarded once it is silent."""

    scope: trio.CancelScope
    is_silent: bool = False


class Proxy:
    """Forwards connections to one server.

    :param listen_address: (host, port) that it listens on
    :param server_address: (host, port) of the server
    """

    def __init__(self, listen_address, server_address):
        self._listen_address = listen_address
        self._server_address = server_address
        self._connections = set()
        self.faults = ProxyFaults()

    async def start(self, nursery):
        """Listen and serve connections in a nursery."""
        host, port = self._listen_address
        listeners = await trio.open_tcp_listeners(port, host=host)
        nursery.start_soon(
            trio.serve_listeners, self._serve_connection, listeners
        )

    def reset(self):
        """Close all connections at once."""
        for connection in list(self._connections):
            connection.scope.cancel()

    def silence(self):
        """Discard all data on the present connections, without a reset."""
        for connection in self._connections:
            connection.is_silent = True

    async def _serve_connection(self, client_stream):
        try:
            server_stream = await trio.open_tcp_stream(*self._server_address)
        except OSError:
            await trio.aclose_forcefully(client_stream)
            return
        connection = _Connection(trio.CancelScope())
        self._connections.add(connection)
        with connection.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._forward_data,
                    connection,
                    client_stream,
                    server_stream,
                    False,
                    nursery,
                )
                nursery.start_soon(
                    self._forward_data,
                    connection,
                    server_stream,
                    client_stream,
                    True,
                    nursery,
                )
        self._connections.discard(connection)
        await trio.aclose_forcefully(client_stream)
        await trio.aclose_forcefully(server_stream)

    async def _forward_data(
        self, connection, source, sink, is_response, nursery
    ):
        try:
            while data := await source.receive_some(READ_BYTES):
                await self._wait_while_stalled(is_response)
                if not connection.is_silent:
                    await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()

    async def _wait_while_stalled(self, is_response):
        """Wait for the delay, then until data may pass."""
        if self.faults.delay_s:
            await trio.sleep(self.faults.delay_s)
        while self.faults.is_stalled or (
            is_response and self.faults.is_response_stalled
        ):
            await trio.sleep(0.02)
