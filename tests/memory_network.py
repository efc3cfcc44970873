"""Connects HTTP clients to stand-in servers through memory."""

import trio
import trio.testing


class _Stream(trio.abc.Stream):
    """A client's end of a connection; nothing passes it while silent."""

    def __init__(self, stream):
        self._stream = stream
        self.is_silent = False

    async def receive_some(self, max_bytes=None):
        data = await self._stream.receive_some(max_bytes)
        if self.is_silent:
            await trio.sleep_forever()
        return data

    async def send_all(self, data):
        if self.is_silent:
            return
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self._stream.wait_send_all_might_not_block()

    async def aclose(self):
        await self._stream.aclose()


class MemoryBackend:
    """A network backend that connects every client to one server.

    Connections fail while `refuses` is true.

    :param nursery: the nursery in which connections are served
    :param server: a `http_server.Server` that has not been started
    """

    def __init__(self, nursery, server):
        self._nursery = nursery
        self._server = server
        self._streams = []
        self.refuses = False

    def silence(self):
        """Let nothing pass the present connections, without a reset."""
        for stream in self._streams:
            stream.is_silent = True

    async def connect(self, host, port):
        if self.refuses:
            raise ConnectionRefusedError('refused')
        client, server = trio.testing.memory_stream_pair()
        self._nursery.start_soon(self._server._serve_stream, server)
        self._streams.append(_Stream(client))
        return self._streams[-1]
