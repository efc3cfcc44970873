"""Small answers of the node itself: control, readiness and metrics."""

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
    """An answer with its whole body."""

    status: int
    body: bytes = b''
    content_type: bytes = TEXT


class PlainHandler:
    """Serves requests whose answers are small.

    :param answer: coroutine function (method, path, body) that returns a
        `PlainResponse`
    """

    def __init__(self, answer):
        self._answer = answer

    async def serve(self, request, connection):
        """Answer one request; return whether to keep the connection."""
        body = await request.read_all()
        head = request.head
        answer = await self._answer(head.method, head.path, body)
        keep = head.keep_alive and request.is_complete
        parts = [
            b'HTTP/1.1 %d ' % answer.status,
            _REASONS.get(answer.status, b'Answered'),
            b'\r\ncontent-type: ',
            answer.content_type,
            b'\r\ncontent-length: %d\r\n' % len(answer.body),
        ]
        if not keep:
            parts.append(b'connection: close\r\n')
        parts.append(b'\r\n')
        parts.append(answer.body)
        await connection.send(b''.join(parts))
        return keep
