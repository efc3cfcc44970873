"""Small HTTP responses of the node itself: control, readiness, metrics."""

import dataclasses

JSON = b'application/json'
TEXT = b'text/plain; charset=utf-8'
_REASONS = {
    200: b'OK',
    400: b'Bad Request',
    404: b'Not Found',
    503: b'Service Unavailable',
}


@dataclasses.dataclass(frozen=True, slots=True)
class PlainResponse:
    """A response with its whole body."""

    status: int
    body: bytes = b''
    content_type: bytes = TEXT


class PlainHandler:
    """Serves requests whose responses are small.

    :param respond: coroutine function (method, path, body) that returns a
        `PlainResponse`
    """

    def __init__(self, respond):
        self._respond = respond

    async def serve(self, request, connection):
        """Respond to a request and return whether to keep the connection."""
        body = await request.read_all()
        head = request.head
        response = await self._respond(head.method, head.path, body)
        keep_alive = head.keep_alive and request.is_complete
        parts = [
            b'HTTP/1.1 %d ' % response.status,
            _REASONS.get(response.status, b'Answered'),
            b'\r\ncontent-type: ',
            response.content_type,
            b'\r\ncontent-length: %d\r\n' % len(response.body),
        ]
        if not keep_alive:
            parts.append(b'connection: close\r\n')
        parts.append(b'\r\n')
        if head.method != 'HEAD':
            parts.append(response.body)
        await connection.send(b''.join(parts))
        return keep_alive
