"""The responses of a target, parsed as their bytes arrive."""

import dataclasses

import httptools

from pumicestand import response_buffers
from pumicestand import response_heads
from pumicestand_node import body_buffers
from pumicestand_node import header_lines
from pumicestand_node import heads


@dataclasses.dataclass(slots=True)
class Response:
    """One response of the target, complete once ``is_complete`` is set.

    ``has_surplus`` is whether bytes that are no response followed it.

    :param headers: `header_lines.HeaderLines`
    """

    status: int = 0
    reason: bytes = b''
    headers: header_lines.HeaderLines = dataclasses.field(
        default_factory=header_lines.HeaderLines
    )
    body: list = dataclasses.field(default_factory=list)
    keep_alive: bool = False
    has_surplus: bool = False
    has_head: bool = False
    is_complete: bool = False

    def header(self, name):
        """Return the first value of a header, or None."""
        return self.headers.first(name)

    @property
    def is_framed(self):
        """Whether the head states where the body ends."""
        return (
            self.header(b'content-length') is not None
            or self.header(b'transfer-encoding') is not None
        )


class ResponseParser:
    """Callbacks of httptools for all responses on one connection.

    :param buffers: the `response_buffers.ResponseBuffers` of the target
    """

    def __init__(self, buffers):
        self.responses = []
        self._response = Response()
        self._is_in_response = False
        self._buffers = buffers
        self._received_bytes = 0
        # Bytes read since the end of a head or response, or bytes of a body.
        self._head_bytes = 0
        self._has_advanced = False
        self._interim_count = 0
        self._is_head_request = False
        self._has_skipped_body = False
        self._parser = httptools.HttpResponseParser(self)

    @property
    def is_between_responses(self):
        """Whether no byte of a further response was read."""
        return not self._is_in_response

    def start_request(self, is_head_request):
        """Prepare for the response to the next request.

        :param is_head_request: whether the response has no body, whatever
            length it states
        """
        self._is_head_request = is_head_request
        if self._has_skipped_body:
            # The previous parser still waits for the body.
            self._has_skipped_body = False
            self._parser = httptools.HttpResponseParser(self)

    def feed(self, data):
        """Parse received bytes.

        :raises httptools.HttpParserError: if they are no response, or too
            many for one
        """
        previous_bytes = self._received_bytes
        self._received_bytes += len(data)
        if not self._buffers.add(previous_bytes, len(data)):
            raise httptools.HttpParserError(
                f'response exceeds {previous_bytes} bytes while all that are '
                f'being read have {self._buffers.total_bytes}'
            )
        self._has_advanced = False
        self._parser.feed_data(data)
        if self._has_advanced:
            self._head_bytes = 0
            return
        self._head_bytes += len(data)
        if self._head_bytes > response_buffers.MAX_HEAD_BYTES:
            raise httptools.HttpParserError(
                'head or trailers of the response exceed '
                f'{response_buffers.MAX_HEAD_BYTES} bytes'
            )

    def forget_bytes(self):
        """Release the bytes received so far, which end with their call.

        The parser and its callbacks refer to each other, so that without this
        a response that is given up would be held until a garbage collection.
        """
        for response in (self._response, *self.responses):
            response.body.clear()
        self._buffers.remove(self._received_bytes)
        self._received_bytes = 0
        self._interim_count = 0

    def end(self):
        """Handle the end of the stream, which may complete a response."""
        response = self._response
        if response.has_head and not response.is_framed:
            self.on_message_complete()

    def on_message_begin(self):
        self._is_in_response = True

    def on_status(self, reason):
        self._response.reason += reason

    def on_header(self, name, value):
        _check_is_one_response(value)
        if not self._response.has_head:
            self._response.headers.append(name.lower(), value)

    def on_headers_complete(self):
        response = self._response
        _check_is_one_response(response.reason)
        response.status = self._parser.get_status_code()
        if response.status not in response_heads.STATUSES:
            raise httptools.HttpParserError(
                f'the status {response.status:03} does not exist'
            )
        response.has_head = True
        self._has_advanced = True
        response.keep_alive = self._parser.should_keep_alive()
        if self._is_head_request and response.status >= 200:
            self.on_message_complete()
            self._has_skipped_body = True

    def on_body(self, data):
        self._has_advanced = True
        if self._has_skipped_body:
            self._is_in_response = True
            return
        body_buffers.append_piece(self._response.body, data)

    def on_message_complete(self):
        if self._has_skipped_body:
            return
        self._has_advanced = True
        response, self._response = self._response, Response()
        self._is_in_response = False
        if 100 <= response.status < 200:
            # Interim responses are not forwarded.
            self._interim_count += 1
            if self._interim_count > response_buffers.MAX_IGNORED_RESPONSES:
                raise httptools.HttpParserError('too many interim responses')
            return
        response.is_complete = True
        self.responses.append(response)


def _check_is_one_response(value):
    if response_heads.holds_status_line(value):
        raise httptools.HttpParserError('a response began in the head')


def format_response_headers(response):
    """Return the header lines of a response that are forwarded, as bytes."""
    lines = bytearray()
    for key, value in heads.filter_response_headers(response.headers):
        lines += key + b': ' + value + b'\r\n'
    return bytes(lines)
