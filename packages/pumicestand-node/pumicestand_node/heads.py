"""Validates, filters and formats the heads of requests and responses."""

import dataclasses

from pumicestand import refusals
from pumicestand_node import header_lines

EXCHANGE_HEADER = refusals.EXCHANGE_HEADER.lower().encode()
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
_NOT_FORWARDED = _HOP_BY_HOP | {
    b'content-length',
    b'expect',
    refusals.DEADLINE_HEADER.lower().encode(),
    refusals.ATTEMPT_HEADER.lower().encode(),
    refusals.OUTCOME_HEADER.lower().encode(),
    refusals.CODE_HEADER.lower().encode(),
}
_REASONS = {
    200: b'OK',
    400: b'Bad Request',
    401: b'Unauthorized',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    431: b'Request Header Fields Too Large',
    501: b'Not Implemented',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


@dataclasses.dataclass(slots=True)
class RequestHead:
    """The head of a request as it was received.

    :param headers: `header_lines.HeaderLines`
    :param body_length: of the body in bytes, None for a chunked one
    """

    method: str
    url: bytes
    version: str
    headers: header_lines.HeaderLines
    body_length: int | None
    keep_alive: bool

    @property
    def size(self):
        """Size of URL and headers in bytes."""
        return len(self.url) + self.headers.size

    def header(self, name):
        """Return the first value of a header, or None."""
        return self.headers.first(name)

    @property
    def host(self):
        """The host of the Host header, in lower case and without its port."""
        value = (self.header(b'host') or b'').decode('latin-1').lower()
        return value.rpartition(':')[0] if ':' in value else value

    @property
    def path(self):
        """The path of the URL without its query."""
        return self.url.partition(b'?')[0].decode('latin-1')

    def int_header(self, name):
        """Return the value of a header as an integer, or None."""
        value = self.header(name.lower().encode())
        if value is None or not value.isdigit() or len(value) > 9:
            return None
        return int(value)


def parse_body_length(headers):
    """Return the length of the body in bytes, None for a chunked body.

    :param headers: `header_lines.HeaderLines`
    :returns: the length, or a `refusals.Refusal` if implementations may
        disagree on where the body ends (request smuggling)
    """
    content_lengths = headers.values(b'content-length')
    transfer_codings = headers.values(b'transfer-encoding')
    if content_lengths and transfer_codings:
        return _malformed('both Content-Length and Transfer-Encoding')
    if transfer_codings:
        if [c.strip().lower() for c in transfer_codings] != [b'chunked']:
            return _malformed('a Transfer-Encoding other than chunked')
        return None
    if not content_lengths:
        return 0
    if len(content_lengths) > 1 or not content_lengths[0].isdigit():
        return _malformed('an ambiguous Content-Length')
    return int(content_lengths[0])


def validate_request(head):
    """Return a `refusals.Refusal` if a request can't be forwarded, or None."""
    host_count = len(head.headers.values(b'host'))
    if head.method == 'CONNECT' or head.header(b'upgrade') is not None:
        return refusals.bad_request(
            refusals.CallCode.NOT_SUPPORTED,
            'CONNECT and Upgrade are not passed on',
            status=501,
        )
    if not head.url.startswith(b'/') and head.url != b'*':
        return refusals.bad_request(
            refusals.CallCode.ABSOLUTE_URL,
            'the target of the request must start with /',
        )
    if host_count != 1:
        return refusals.bad_request(
            refusals.CallCode.NO_HOST,
            f'{host_count} Host headers, 1 is needed',
        )
    return None


def _malformed(detail):
    return refusals.bad_request(refusals.CallCode.MALFORMED, detail)


def _connection_options(headers):
    names = set()
    for value in headers.values(b'connection'):
        parts = value.lower().split(b',')
        names.update(part.strip() for part in parts)
    return names


def filter_request_headers(headers):
    """Return the headers that are forwarded to a target, as pairs.

    Hop-by-hop headers are removed (RFC 9110, section 7.6.1), and those that
    the node sets itself.

    :param headers: `header_lines.HeaderLines`
    """
    connection_options = _connection_options(headers)
    return [
        (key, value)
        for key, value in headers
        if key not in _NOT_FORWARDED and key not in connection_options
    ]


def filter_response_headers(headers):
    """Return the headers of a response that are forwarded, as pairs.

    Hop-by-hop headers and Content-Length are removed.

    :param headers: `header_lines.HeaderLines`
    """
    connection_options = _connection_options(headers)
    return [
        (key, value)
        for key, value in headers
        if key not in _HOP_BY_HOP
        and key not in connection_options
        and key != b'content-length'
    ]


def format_request_head(head, body_length, attempt, deadline_ms, exchange):
    """Return the head of a request to a target, as bytes.

    :param head: the `RequestHead` that was received
    :param body_length: of the body in bytes, None for a chunked one
    :param attempt: number of the attempt, 1 for the first
    :param deadline_ms: milliseconds until the call is given up
    :param exchange: number of the request on its connection
    """
    parts = [head.method.encode(), b' ', head.url, b' HTTP/1.1\r\n']
    for key, value in filter_request_headers(head.headers):
        if key != EXCHANGE_HEADER:
            parts += (key, b': ', value, b'\r\n')
    if body_length is None:
        parts.append(b'transfer-encoding: chunked\r\n')
    elif body_length or head.method in ('POST', 'PUT', 'PATCH'):
        parts.append(b'content-length: %d\r\n' % body_length)
    parts.append(
        b'pumicestand-attempt: %d\r\npumicestand-deadline-ms: %d\r\n'
        b'pumicestand-exchange: %d\r\n\r\n'
        % (attempt, max(1, deadline_ms), exchange)
    )
    return b''.join(parts)


def format_response_head(status, reason, headers, framing_header, keep_alive):
    """Return the head of a response to a client, as bytes.

    :param framing_header: header line that frames the body, or empty bytes
    :param keep_alive: whether the client's connection is kept
    """
    parts = [b'HTTP/1.1 %d ' % status, reason, b'\r\n']
    for key, value in headers:
        parts += (key, b': ', value, b'\r\n')
    parts.append(framing_header)
    if not keep_alive:
        parts.append(b'connection: close\r\n')
    parts.append(b'\r\n')
    return b''.join(parts)


def format_refusal(refusal, keep_alive, with_body=True):
    """Return the response for a `refusals.Refusal`, as bytes.

    :param with_body: false for responses to HEAD requests
    """
    body = f'{refusal.code}: {refusal.detail}\n'.encode()
    headers = [
        (b'content-type', b'text/plain; charset=utf-8'),
        (b'pumicestand-outcome', refusal.outcome.encode()),
        (b'pumicestand-code', refusal.code.encode()),
    ]
    if refusal.retry_after is not None:
        retry_after = f'{refusal.retry_after:g}'.encode()
        headers.append((b'retry-after', retry_after))
    head = format_response_head(
        refusal.status,
        _REASONS.get(refusal.status, b'Refused'),
        headers,
        b'content-length: %d\r\n' % len(body),
        keep_alive,
    )
    return head + body if with_body else head
