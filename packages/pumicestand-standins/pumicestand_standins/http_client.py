"""A stand-in for callers: sends calls at a set rate and keeps the books."""

import collections
import dataclasses
import hashlib
import json

import httptools
import trio

READ_BYTES = 65_536
CALL_TIMEOUT_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An answer, or what came instead of one.

    :param status: 0 if the connection ended before the answer was whole
    :param duration_s: from the first byte sent to the last one read
    :param was_connected: whether there was a connection to send it on
    :param used_new_connection: whether that was opened for it
    """

    status: int
    headers: dict
    body: bytes
    duration_s: float
    was_connected: bool = True
    used_new_connection: bool = False

    @property
    def outcome(self):
        """What the node says became of the call, empty if nothing."""
        return self.headers.get('pumicestand-outcome', '')


class _ResponseParser:
    def __init__(self):
        self.headers = {}
        self.body = []
        self.is_complete = False
        self.keep_alive = False
        self.status = 0
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name, value):
        self.headers[name.decode().lower()] = value.decode('latin-1')

    def on_headers_complete(self):
        self.status = self.parser.get_status_code()
        self.keep_alive = self.parser.should_keep_alive()

    def on_body(self, data):
        self.body.append(data)

    def on_message_complete(self):
        self.is_complete = True


class Connection:
    """One kept connection to a node or a target.

    :param addresses: (host, port) of each; the first that takes a
        connection is used
    """

    def __init__(self, *addresses):
        self._addresses = addresses
        self._stream = None

    async def _connect(self):
        for address in self._addresses[:-1]:
            try:
                return await trio.open_tcp_stream(*address)
            except OSError:
                continue
        return await trio.open_tcp_stream(*self._addresses[-1])

    async def call(self, method, path, headers=None, body=b''):
        """Send one call and return its `Response`."""
        started = trio.current_time()
        response_parser = _ResponseParser()
        used_new_connection = self._stream is None
        was_connected = False
        with trio.move_on_after(CALL_TIMEOUT_S):
            try:
                if self._stream is None:
                    self._stream = await self._connect()
                was_connected = True
                await self._stream.send_all(
                    _encode_request(method, path, headers or {}, body)
                )
                await self._read(response_parser)
            except (OSError, trio.BrokenResourceError):
                response_parser.is_complete = False
        duration_s = trio.current_time() - started
        is_reusable = (
            response_parser.is_complete and response_parser.keep_alive
        )
        if not is_reusable:
            await self.close()
        if not response_parser.is_complete:
            return Response(
                0,
                response_parser.headers,
                b'',
                duration_s,
                was_connected,
                used_new_connection,
            )
        body = b''.join(response_parser.body)
        return Response(
            response_parser.status,
            response_parser.headers,
            body,
            duration_s,
            True,
            used_new_connection,
        )

    async def _read(self, response_parser):
        while not response_parser.is_complete:
            data = await self._stream.receive_some(READ_BYTES)
            if not data:
                return
            response_parser.parser.feed_data(data)

    async def close(self):
        """Close the connection."""
        if self._stream is not None:
            await trio.aclose_forcefully(self._stream)
            self._stream = None


def _encode_request(method, path, headers, body):
    lines = [f'{method} {path} HTTP/1.1']
    headers = {'host': 'mesh', **headers}
    if body or method != 'GET':
        headers['content-length'] = str(len(body))
    lines += [f'{key}: {value}' for key, value in headers.items()]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


@dataclasses.dataclass(frozen=True, slots=True)
class CallPattern:
    """Calls of one kind.

    :param rate: calls a second
    """

    method: str
    path: str
    rate: float
    body: bytes = b''
    host: str = 'mesh'


@dataclasses.dataclass(slots=True)
class CallLog:
    """What became of all calls.

    :param by_id: request id to outcome
    """

    by_id: dict = dataclasses.field(default_factory=dict)
    counts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    durations_s: list = dataclasses.field(default_factory=list)
    versions: list = dataclasses.field(default_factory=list)
    refusals: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def record(self, request_id, pattern, response, now):
        """Book one call.

        :param now: seconds, kept with the version that answered
        """
        outcome = classify_outcome(request_id, pattern, response)
        self.by_id[request_id] = (outcome, pattern.method)
        self.counts[outcome] += 1
        self.durations_s.append(response.duration_s)
        if outcome == 'answered':
            version = response.headers.get('x-version', '')
            self.versions.append((now, pattern.path, version))
        elif outcome != 'failed':
            code = response.headers.get('pumicestand-code', 'none')
            self.refusals[code] += 1


def classify_outcome(request_id, pattern, response):
    """Return what became of a call.

    answered, failed (a target's own error), not-run, unknown, cut (no whole
    answer), or wrong (the answer to another request).
    """
    if response.status == 0:
        return 'cut'
    if response.outcome:
        return response.outcome
    if response.status >= 500:
        return 'failed'
    if response.status != 200:
        return f'status-{response.status}'
    try:
        data = json.loads(response.body)
    except ValueError:
        return 'wrong'
    digest = hashlib.sha256(pattern.body).hexdigest()
    if data['id'] != request_id or data['digest'] != digest:
        return 'wrong'
    return 'answered'


class LoadGenerator:
    """Sends calls of some patterns to a node in an open loop.

    :param name: prefix of all request ids
    :param addresses: (host, port) for calls of each node, the one to use
        first
    :param call_log: the `CallLog` to keep
    :param rng: a `random.Random`
    """

    def __init__(self, name, addresses, call_log, rng):
        self._name = name
        self._addresses = addresses
        self._call_log = call_log
        self._rng = rng
        self._idle_connections = []
        self._call_count = 0
        self.is_paused = False

    async def run(self, patterns, end_time):
        """Send calls until a time of trio's clock.

        Calls that run then are waited for.
        """
        async with trio.open_nursery() as nursery:
            for pattern in patterns:
                nursery.start_soon(self._send, pattern, end_time, nursery)
        for connection in self._idle_connections:
            await connection.close()

    async def _send(self, pattern, end_time, nursery):
        send_time = trio.current_time()
        while send_time < end_time:
            send_time += self._rng.expovariate(pattern.rate)
            await trio.sleep_until(send_time)
            if not self.is_paused:
                self._call_count += 1
                request_id = f'{self._name}-{self._call_count}'
                nursery.start_soon(self._call, pattern, request_id)

    async def _call(self, pattern, request_id):
        connection = None
        if self._idle_connections:
            connection = self._idle_connections.pop()
        connection = connection or Connection(*self._addresses)
        headers = {'x-request-id': request_id, 'host': pattern.host}
        response = await connection.call(
            pattern.method, pattern.path, headers, pattern.body
        )
        self._idle_connections.append(connection)
        self._call_log.record(
            request_id, pattern, response, trio.current_time()
        )
