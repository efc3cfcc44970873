"""Checks that what was read as a response is one response.

A faulty server may break off a response in its head and go on with another
one. A parser reads the status line of the second one as a part of the reason
phrase or of a header value of the first, so that the status of one response
would stand beside the headers and the body of the other. If it breaks off in
its body, the second one is read as the rest of the body.
"""

import itertools
import re

STATUS_LINE = re.compile(rb'HTTP/\d\.\d \d{3}')
# Statuses that a response may have.
STATUSES = range(100, 600)
# A status line of which only the start is there, at the end of a body.
_STATUS_LINE_START = re.compile(
    rb'(?:H|HT|HTT|HTTP|HTTP/|HTTP/\d|HTTP/\d\.|HTTP/\d\.\d'
    rb'|HTTP/\d\.\d \d{0,2})\Z'
)
# Status lines in a body that may begin another response, and bytes of its head
# within which a header is looked for.
MAX_STATUS_LINES = 64
MAX_SEARCHED_BYTES = 1024


def holds_status_line(value):
    """Return whether a status line begins within a reason or a header value.

    >>> holds_status_line(b'OK')
    False
    >>> holds_status_line(b'OKHTTP/1.1 500 Internal Server Error')
    True

    :param value: reason phrase or value of a header, as bytes
    """
    return STATUS_LINE.search(value) is not None


def holds_response(body, name):
    """Return whether a response with a certain header begins within a body.

    >>> other = b'HTTP/1.1 200 OK\\r\\nServer: s\\r\\nX-Id: 7\\r\\n\\r\\n'
    >>> holds_response(b'start of a body' + other, b'x-id')
    True
    >>> holds_response(b'HTTP/1.1 200 OK is the status line', b'x-id')
    False

    :param body: as bytes
    :param name: name of the header in lower case, as bytes
    """
    if b'HTTP/' not in body:
        return False
    lines = STATUS_LINE.finditer(body)
    for line in itertools.islice(lines, MAX_STATUS_LINES):
        start = body[line.start() : line.start() + MAX_SEARCHED_BYTES]
        head = start.partition(b'\r\n\r\n')[0]
        if b'\r\n' + name + b':' in head.lower():
            return True
    return False


def may_end_in_response(body):
    """Return whether a body may end within the head of another response.

    That is so of a body that was broken off and completed with the start of
    the next response. Bytes that follow the body are then no response.

    >>> may_end_in_response(b'a body that was broken offHTTP/1.1 200 OK\\r')
    True
    >>> may_end_in_response(b'a body that was broken offHT')
    True
    >>> may_end_in_response(b'HTTP/1.1 200 OK\\r\\n\\r\\nas the end')
    False

    :param body: as bytes
    """
    end = body[-MAX_SEARCHED_BYTES:]
    if _STATUS_LINE_START.search(end):
        return True
    return any(
        b'\r\n\r\n' not in end[line.start() :]
        for line in STATUS_LINE.finditer(end)
    )
