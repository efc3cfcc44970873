"""A TCP proxy on loopback that spoils the connections it carries."""

import dataclasses

import trio

READ_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class ProxyFaults:
    """What is wrong with the proxy.

    :param is_stalled: nothing passes in either direction; nothing is reset
    :param is_response_stalled: nothing passes back to whoever connected
    :param delay_s: each piece takes so much longer
    """

    is_stalled: bool = False
    is_response_stalled: bool = False
    delay_s: float = 0.0


class Proxy:
    """Passes connections on to one address.

    :param listen_address: (host, port)
    :param server_address: (host, port)
    """

    def __init__(self, listen_address, server_address):
        self._listen_address = listen_address
        self._server_address = server_address
        self._scopes = set()
        self.faults = ProxyFaults()

    async def start(self, nursery):
        """Open the port and serve it in a nursery."""
        host, port = self._listen_address
        listeners = await trio.open_tcp_listeners(port, host=host)
        nursery.start_soon(
            trio.serve_listeners, self._serve_connection, listeners
        )

    def reset(self):
        """Break all connections."""
        for scope in list(self._scopes):
            scope.cancel()

    async def _serve_connection(self, client):
        try:
            server = await trio.open_tcp_stream(*self._server_address)
        except OSError:
            await trio.aclose_forcefully(client)
            return
        scope = trio.CancelScope()
        self._scopes.add(scope)
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._forward_data, client, server, False, nursery
                )
                nursery.start_soon(
                    self._forward_data, server, client, True, nursery
                )
        self._scopes.discard(scope)
        await trio.aclose_forcefully(client)
        await trio.aclose_forcefully(server)

    async def _forward_data(self, source, sink, is_response, nursery):
        try:
            while data := await source.receive_some(READ_BYTES):
                await self._wait_while_stalled(is_response)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()

    async def _wait_while_stalled(self, is_response):
        """Wait as long as the proxy is spoilt."""
        if self.faults.delay_s:
            await trio.sleep(self.faults.delay_s)
        while self.faults.is_stalled or (
            is_response and self.faults.is_response_stalled
        ):
            await trio.sleep(0.02)
