"""Checks that the head of a response is that of one response.

A faulty server may break off a response in its head and go on with another
one. A parser reads the status line of the second one as a part of the reason
phrase or of a header value of the first, so that the status of one response
would stand beside the headers and the body of the other.
"""

import re

STATUS_LINE = re.compile(rb'HTTP/\d\.\d \d{3}')


def holds_status_line(value):
    """Return whether a status line begins within a reason or a header value.

    >>> holds_status_line(b'OK')
    False
    >>> holds_status_line(b'OKHTTP/1.1 500 Internal Server Error')
    True

    :param value: reason phrase or value of a header, as bytes
    """
    return STATUS_LINE.search(value) is not None
