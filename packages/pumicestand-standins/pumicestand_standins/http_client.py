"""An HTTP/1.1 client and a load generator that records all outcomes."""

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
    """A response, or the lack of one.

    :param status: 0 if the connection ended or the time-out expired before
        the response was complete
    :param headers: names in lower case
    :param duration_s: seconds from the start of the call, including the time
        to connect
    :param was_connected: whether there was a connection to send the call on
    :param used_new_connection: whether there was no open connection before
        the call
    :param was_reset: whether the server reset the connection, as it does when
        it closes it before it has read all
    """

    status: int
    headers: dict
    body: bytes
    duration_s: float
    was_connected: bool = True
    used_new_connection: bool = False
    was_reset: bool = False

    @property
    def outcome(self):
        """The outcome that the node reports, empty if it reports none."""
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
    """A persistent connection to a node or a target.

    It is opened by the first call and again after it was closed.

    :param addresses: (host, port) of each server, in the order in which they
        are tried
    """

    def __init__(self, *addresses):
        self._addresses = addresses
        self._stream = None

    async def _connect(self):
        """Return a stream to the first address that accepts a connection."""
        for address in self._addresses[:-1]:
            try:
                return await trio.open_tcp_stream(*address)
            except OSError:
                continue
        return await trio.open_tcp_stream(*self._addresses[-1])

    async def call(self, method, path, headers=None, body=b''):
        """Send one call and return its `Response`.

        A call without a complete response within `CALL_TIMEOUT_S` closes the
        connection; its response has the status 0.
        """
        started = trio.current_time()
        response_parser = _ResponseParser()
        if self._stream is not None and self._stream.socket.is_readable():
            # The server has closed it, or sent what nobody asked for.
            await self.close()
        used_new_connection = self._stream is None
        was_connected = was_reset = False
        with trio.move_on_after(CALL_TIMEOUT_S):
            try:
                if self._stream is None:
                    self._stream = await self._connect()
                was_connected = True
                await self._stream.send_all(
                    _encode_request(method, path, headers or {}, body)
                )
                await self._read(response_parser)
            except (OSError, trio.BrokenResourceError) as error:
                response_parser.is_complete = False
                was_reset = isinstance(error.__cause__, ConnectionResetError)
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
                was_reset,
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
    """A kind of call and how often it is sent.

    :param rate: calls per second
    :param host: the Host header
    """

    method: str
    path: str
    rate: float
    body: bytes = b''
    host: str = 'mesh'


@dataclasses.dataclass(slots=True)
class CallLog:
    """The outcomes of all calls.

    :param by_id: request id to (outcome, method)
    :param counts: number of calls by outcome
    :param durations_s: duration of each call, in seconds
    :param versions: (time, path, version) of each answered call
    :param refusals: number of refused calls by code
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
        """Record one call.

        :param now: time in seconds, recorded with the version that answered
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
    """Return the outcome of a call.

    It is one of ``answered``, ``failed`` (an error of the target), ``cut``
    (no complete response), ``wrong`` (the response to another request),
    ``status-NNN`` (any other status) or the outcome that the node reports,
    such as ``not-run`` or ``unknown``.
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
    """Sends calls at random times, without waiting for responses.

    :param name: prefix of all request ids
    :param addresses: (host, port) of each node, in the order in which they
        are tried
    :param call_log: the `CallLog` that records the outcomes
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
        """Send calls until a time of trio's clock, then wait for the last.

        :param patterns: the `CallPattern`s to send
        :param end_time: seconds of trio's clock
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
