"""A small HTTP server that can also misbehave, for the stand-ins."""

import dataclasses
import json
import math

import httptools
import trio

READ_BYTES = 65_536
BACKLOG = 512


@dataclasses.dataclass(slots=True)
class Request:
    """A whole request.

    :param body_bytes: length of the body; only its first part is kept
    """

    method: str = ''
    url: str = ''
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    body_bytes: int = 0

    @property
    def path(self):
        """The path without its query."""
        return self.url.partition('?')[0]

    def query(self, name, default=''):
        """Return a value of the query."""
        for parameter in self.url.partition('?')[2].split('&'):
            key, _, value = parameter.partition('=')
            if key == name:
                return value
        return default


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A whole answer."""

    status: int = 200
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RawResponse:
    """Bytes to send as they are, then the connection is closed."""

    data: bytes = b''


def json_response(data, status=200):
    """Return a `Response` that holds data as JSON."""
    return Response(status, json.dumps(data).encode())


class _RequestParser:
    MAX_KEPT_BODY_BYTES = 2_000_000

    def __init__(self):
        self.requests = []
        self._request = None
        self.parser = httptools.HttpRequestParser(self)

    def on_message_begin(self):
        self._request = Request()

    def on_url(self, url):
        self._request.url += url.decode('latin-1')

    def on_header(self, name, value):
        key = name.decode('latin-1').lower()
        self._request.headers[key] = value.decode('latin-1')

    def on_body(self, data):
        self._request.body_bytes += len(data)
        if len(self._request.body) < self.MAX_KEPT_BODY_BYTES:
            self._request.body += data

    def on_message_complete(self):
        self._request.method = self.parser.get_method().decode()
        self.requests.append(self._request)
        self._request = None


def encode_response(response, is_head=False):
    """Return the bytes of a `Response`."""
    lines = [f'HTTP/1.1 {response.status} Answer']
    lines += [f'{key}: {value}' for key, value in response.headers]
    lines.append(f'content-length: {len(response.body)}')
    head = '\r\n'.join(lines).encode() + b'\r\n\r\n'
    return head if is_head else head + response.body


class Server:
    """Serves HTTP/1.1 at one port.

    :param handler: coroutine function from `Request` to `Response` or
        `RawResponse`
    :param max_connections: further ones are closed at once
    """

    def __init__(self, host, port, handler, max_connections=10_000):
        self._host = host
        self._port = port
        self._handler = handler
        self._max_connections = max_connections
        self._listeners = []
        self._cancel_scope = trio.CancelScope()
        self.open_connections = 0
        self.peak_connections = 0

    async def start(self, nursery):
        """Open the port and serve it in a nursery."""
        self._listeners = await trio.open_tcp_listeners(
            self._port, host=self._host, backlog=BACKLOG
        )
        self._port = self._listeners[0].socket.getsockname()[1]
        nursery.start_soon(self._serve)

    @property
    def port(self):
        """The port that is served."""
        return self._port

    async def close(self):
        """Close the port and all connections."""
        self._cancel_scope.cancel()
        for listener in self._listeners:
            await listener.aclose()

    async def _serve(self):
        with self._cancel_scope:
            await trio.serve_listeners(self._serve_stream, self._listeners)

    async def _serve_stream(self, stream):
        if self.open_connections >= self._max_connections:
            await trio.aclose_forcefully(stream)
            return
        self.open_connections += 1
        self.peak_connections = max(
            self.peak_connections, self.open_connections
        )
        try:
            await self._serve_requests(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.open_connections -= 1
            await trio.aclose_forcefully(stream)

    async def _serve_requests(self, stream):
        """Answer requests in their order; a caller who leaves cancels."""
        request_parser = _RequestParser()
        send, receive = trio.open_memory_channel(math.inf)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_responses, stream, receive, nursery)
            try:
                while data := await stream.receive_some(READ_BYTES):
                    request_parser.parser.feed_data(data)
                    while request_parser.requests:
                        send.send_nowait(request_parser.requests.pop(0))
            except httptools.HttpParserError:
                await stream.send_all(encode_response(Response(400)))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            nursery.cancel_scope.cancel()

    async def _send_responses(self, stream, requests, nursery):
        try:
            async for request in requests:
                response = await self._handler(request)
                if isinstance(response, RawResponse):
                    await stream.send_all(response.data)
                    break
                await stream.send_all(
                    encode_response(response, request.method == 'HEAD')
                )
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()
