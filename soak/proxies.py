"""A TCP proxy on loopback that spoils the connections it carries."""

import dataclasses

import trio

READ_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class Spoiling:
    """What is wrong with the way.

    :param is_silent: nothing passes in either direction; nothing is reset
    :param is_deaf: nothing passes back to whoever connected
    :param delay_s: each piece takes so much longer
    """

    is_silent: bool = False
    is_deaf: bool = False
    delay_s: float = 0.0


class Proxy:
    """Passes connections on to one address.

    :param listen: (host, port)
    :param forward: (host, port)
    """

    def __init__(self, listen, forward):
        self._listen = listen
        self._forward = forward
        self._scopes = set()
        self.spoiling = Spoiling()

    async def start(self, nursery):
        """Open the port and serve it in a nursery."""
        host, port = self._listen
        listeners = await trio.open_tcp_listeners(port, host=host)
        nursery.start_soon(trio.serve_listeners, self._carry, listeners)

    def reset(self):
        """Break all connections."""
        for scope in list(self._scopes):
            scope.cancel()

    async def _carry(self, near):
        try:
            far = await trio.open_tcp_stream(*self._forward)
        except OSError:
            await trio.aclose_forcefully(near)
            return
        scope = trio.CancelScope()
        self._scopes.add(scope)
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pass_on, near, far, False, nursery)
                nursery.start_soon(self._pass_on, far, near, True, nursery)
        self._scopes.discard(scope)
        await trio.aclose_forcefully(near)
        await trio.aclose_forcefully(far)

    async def _pass_on(self, source, sink, is_back, nursery):
        try:
            while data := await source.receive_some(READ_BYTES):
                await self._hold(is_back)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()

    async def _hold(self, is_back):
        """Wait as long as the way is spoilt."""
        if self.spoiling.delay_s:
            await trio.sleep(self.spoiling.delay_s)
        while self.spoiling.is_silent or (is_back and self.spoiling.is_deaf):
            await trio.sleep(0.02)
