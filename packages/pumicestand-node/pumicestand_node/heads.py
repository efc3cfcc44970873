"""Heads of requests and answers: checking, filtering and writing them."""

import dataclasses

from pumicestand import refusals

MAX_HEADERS = 100
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
_NOT_PASSED_ON = _HOP_BY_HOP | {
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
    """The head of a request as it was read.

    :param headers: (name in lower case, value) as bytes
    :param body_length: of the body in bytes, None for a chunked one
    """

    method: str
    url: bytes
    version: str
    headers: list
    body_length: int | None
    keep_alive: bool

    def header(self, name):
        """Return the first value of a header, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    @property
    def host(self):
        """The Host header without its port, in lower case."""
        value = (self.header(b'host') or b'').decode('latin-1').lower()
        return value.rpartition(':')[0] if ':' in value else value

    @property
    def path(self):
        """The path without its query."""
        return self.url.partition(b'?')[0].decode('latin-1')

    def int_header(self, name):
        """Return a header's whole number, or None."""
        value = self.header(name.lower().encode())
        if value is None or not value.isdigit() or len(value) > 9:
            return None
        return int(value)


def parse_body_length(headers):
    """Return the body's length, None for a chunked body.

    :returns: the length, or a `refusals.Refusal` for a framing that two
        readers may take differently
    """
    lengths = [v for k, v in headers if k == b'content-length']
    codings = [v for k, v in headers if k == b'transfer-encoding']
    if lengths and codings:
        return _malformed('both Content-Length and Transfer-Encoding')
    if codings:
        if [c.strip().lower() for c in codings] != [b'chunked']:
            return _malformed('a Transfer-Encoding other than chunked')
        return None
    if not lengths:
        return 0
    if len(lengths) > 1 or not lengths[0].isdigit():
        return _malformed('an ambiguous Content-Length')
    return int(lengths[0])


def validate_request(head):
    """Return a `refusals.Refusal` for a head that is not passed on."""
    hosts = sum(1 for key, _ in head.headers if key == b'host')
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
    if hosts != 1:
        return refusals.bad_request(
            refusals.CallCode.NO_HOST, f'{hosts} Host headers, 1 is needed'
        )
    if len(head.headers) > MAX_HEADERS:
        return refusals.bad_request(
            refusals.CallCode.HEADERS_TOO_LARGE,
            f'{len(head.headers)} headers, the bound is {MAX_HEADERS}',
            status=431,
        )
    return None


def _malformed(detail):
    return refusals.bad_request(refusals.CallCode.MALFORMED, detail)


def _named_by_connection(headers):
    names = set()
    for key, value in headers:
        if key == b'connection':
            parts = value.lower().split(b',')
            names.update(part.strip() for part in parts)
    return names


def filter_request_headers(headers):
    """Return the headers without those of one hop (RFC 9110, 7.6.1)."""
    named = _named_by_connection(headers)
    return [
        (key, value)
        for key, value in headers
        if key not in _NOT_PASSED_ON and key not in named
    ]


def filter_response_headers(headers):
    """Return an answer's headers without those of one hop."""
    named = _named_by_connection(headers)
    return [
        (key, value)
        for key, value in headers
        if key not in _HOP_BY_HOP
        and key not in named
        and key != b'content-length'
    ]


def format_request_head(head, length, attempt, deadline_ms):
    """Return the bytes of a request's head towards a target.

    :param length: of the body in bytes, None for a chunked one
    :param attempt: number of this send, 1 for the first
    :param deadline_ms: milliseconds that are left for the call
    """
    parts = [head.method.encode(), b' ', head.url, b' HTTP/1.1\r\n']
    for key, value in filter_request_headers(head.headers):
        parts += (key, b': ', value, b'\r\n')
    if length is None:
        parts.append(b'transfer-encoding: chunked\r\n')
    elif length or head.method in ('POST', 'PUT', 'PATCH'):
        parts.append(b'content-length: %d\r\n' % length)
    parts.append(
        b'pumicestand-attempt: %d\r\npumicestand-deadline-ms: %d\r\n\r\n'
        % (attempt, max(1, deadline_ms))
    )
    return b''.join(parts)


def format_response_head(status, reason, headers, framing, keep_alive):
    """Return the bytes of an answer's head towards a caller.

    :param framing: the line that frames the body, as bytes, or empty
    """
    parts = [b'HTTP/1.1 %d ' % status, reason, b'\r\n']
    for key, value in headers:
        parts += (key, b': ', value, b'\r\n')
    parts.append(framing)
    if not keep_alive:
        parts.append(b'connection: close\r\n')
    parts.append(b'\r\n')
    return b''.join(parts)


def format_refusal(refusal, keep_alive, with_body=True):
    """Return the whole bytes of a `refusals.Refusal`."""
    body = f'{refusal.code}: {refusal.detail}\n'.encode()
    headers = [
        (b'content-type', b'text/plain; charset=utf-8'),
        (b'pumicestand-outcome', refusal.outcome.encode()),
        (b'pumicestand-code', refusal.code.encode()),
    ]
    if refusal.retry_after is not None:
        after = f'{refusal.retry_after:g}'.encode()
        headers.append((b'retry-after', after))
    head = format_response_head(
        refusal.status,
        _REASONS.get(refusal.status, b'Refused'),
        headers,
        b'content-length: %d\r\n' % len(body),
        keep_alive,
    )
    return head + body if with_body else head
