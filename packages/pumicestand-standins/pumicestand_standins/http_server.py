"""A small HTTP/1.1 server for the stand-ins, able to send bad responses."""

import dataclasses
import json
import math

import httptools
import trio

READ_BYTES = 65_536
BACKLOG = 512


@dataclasses.dataclass(slots=True)
class Request:
    """A complete request.

    :param url: path and query
    :param headers: names in lower case
    :param body: the body, cut if it is too long to keep
    :param body_bytes: length of the whole body
    """

    method: str = ''
    url: str = ''
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    body_bytes: int = 0

    @property
    def path(self):
        """The URL without its query."""
        return self.url.partition('?')[0]

    def query(self, name, default=''):
        """Return a parameter of the query, percent-encoded as in the URL."""
        for parameter in self.url.partition('?')[2].split('&'):
            key, _, value = parameter.partition('=')
            if key == name:
                return value
        return default


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int = 200
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RawResponse:
    """Bytes to send unchanged before the connection is closed."""

    data: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class EndlessResponse:
    """Bytes to send first, and bytes to repeat until the client closes.

    :param most_bytes: bytes after which the connection is closed in any case
    """

    first: bytes
    repeated: bytes
    most_bytes: int = 200_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatedResponse:
    """A response and a late copy of it on the same connection.

    :param delay_s: seconds between the response and the end of the copy
    :param early_bytes: first bytes of the copy that follow the response at
        once; later responses then wait for the end of the copy
    :param kept_bytes: length at which the copy breaks off, None for never
    """

    response: Response
    delay_s: float
    early_bytes: int = 0
    kept_bytes: int | None = None


def json_response(data, status=200):
    """Return a `Response` with data as JSON."""
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
    """Return a `Response` as bytes.

    :param is_head: whether to leave out the body, as for a HEAD request
    """
    lines = [f'HTTP/1.1 {response.status} Answer']
    lines += [f'{key}: {value}' for key, value in response.headers]
    lines.append(f'content-length: {len(response.body)}')
    head = '\r\n'.join(lines).encode() + b'\r\n\r\n'
    return head if is_head else head + response.body


async def _send_copy(stream, lock, data, response):
    """Send the copy of a `RepeatedResponse`.

    :param lock: held while a response is sent
    :param data: the copy, as bytes
    """
    try:
        if not response.early_bytes:
            await trio.sleep(response.delay_s)
        async with lock:
            if response.early_bytes:
                await stream.send_all(data[: response.early_bytes])
                await trio.sleep(response.delay_s)
            await stream.send_all(
                data[response.early_bytes : response.kept_bytes]
            )
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # The client has closed the connection, which ends all its tasks.
        return


async def _send_endless(stream, response):
    await stream.send_all(response.first)
    for _ in range(response.most_bytes // len(response.repeated)):
        await stream.send_all(response.repeated)


class Server:
    """Serves HTTP/1.1 on one port.

    :param port: 0 to let the system choose one
    :param handler: coroutine function from `Request` to `Response`,
        `RawResponse`, `EndlessResponse` or `RepeatedResponse`
    :param max_connections: connections above this number are closed at once
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
        """Open the port and serve connections in a nursery."""
        self._listeners = await trio.open_tcp_listeners(
            self._port, host=self._host, backlog=BACKLOG
        )
        self._port = self._listeners[0].socket.getsockname()[1]
        nursery.start_soon(self._serve)

    @property
    def port(self):
        """The port that the server listens on."""
        return self._port

    async def close(self):
        """Close the port and all connections, without finishing requests."""
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
        """Answer requests in order until the client closes the connection.

        The request in progress is then cancelled.
        """
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
        lock = trio.Lock()
        try:
            async for request in requests:
                response = answer = await self._handler(request)
                match response:
                    case RawResponse(data):
                        async with lock:
                            await stream.send_all(data)
                        break
                    case EndlessResponse():
                        async with lock:
                            await _send_endless(stream, response)
                        break
                    case RepeatedResponse(answer):
                        pass
                data = encode_response(answer, request.method == 'HEAD')
                async with lock:
                    await stream.send_all(data)
                if isinstance(response, RepeatedResponse):
                    nursery.start_soon(
                        _send_copy, stream, lock, data, response
                    )
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()
