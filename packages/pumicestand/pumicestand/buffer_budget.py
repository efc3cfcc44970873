"""Bounds the memory for what a node holds for its clients.

What is held counts with what it costs the process: connections, heads, bodies
from their first byte to the end of the request, responses that a client does
not take. A body whose length is announced counts as promised until it
arrives, so that what is admitted can be held. Long bodies leave room for short
ones, and both for requests without a body.
"""

import contextlib

# Memory of the process besides what is counted, in bytes, and the share of the
# rest that may be held: the allocator needs some.
OTHER_BYTES = 50_331_648
HELD_SHARE = 0.85
MIN_BYTES = 8_388_608
# Longest body that counts as short, and the shares that bodies may use.
SHORT_BYTES = 16_384
LONG_SHARE = 0.75
SHORT_SHARE = 0.9
# Share that the connections of one port may use besides their requests.
CONNECTION_SHARE = 0.5
# Cost of an open connection, with its task and its parser, and of a request
# that is served, with its task, besides their buffers.
CONNECTION_BYTES = 24_576
REQUEST_BYTES = 12_288
# Copies of a head that exist while its request is served.
HEAD_COPIES = 3
# Receive buffers of the system, which doubles what it is asked for. That of a
# connection is short until a long body is admitted; the cost of a connection
# covers it.
RECEIVE_BYTES = 8_192
BODY_RECEIVE_BYTES = 65_536


def limit(memory_bytes):
    """Return the number of bytes to hold.

    :param memory_bytes: memory that the process may use; None if unknown

    >>> limit(150 * 1024 * 1024) // 1024 // 1024
    86
    """
    if memory_bytes is None:
        return float('inf')
    return max(MIN_BYTES, int((memory_bytes - OTHER_BYTES) * HELD_SHARE))


def is_long(body_bytes):
    """Return whether a body is long.

    :param body_bytes: its announced size, None for one in chunks
    """
    return body_bytes is not None and body_bytes > SHORT_BYTES


def request_cost(head_bytes, body_bytes):
    """Return the bytes that a request costs with its body.

    :param head_bytes: size of its head
    :param body_bytes: announced size of its body, None for one in chunks
    """
    return REQUEST_BYTES + HEAD_COPIES * head_bytes + (body_bytes or 0)


class BufferBudget:
    """The bytes that are held or promised, and whether more may be.

    :param max_bytes: number of bytes to hold
    """

    def __init__(self, max_bytes=float('inf')):
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._promised_bytes = 0

    @property
    def max_bytes(self):
        """Number of bytes that may be held."""
        return self._max_bytes

    @property
    def held_bytes(self):
        """Number of bytes that are held."""
        return self._held_bytes

    @property
    def promised_bytes(self):
        """Number of bytes that were announced and have not arrived."""
        return self._promised_bytes

    @property
    def max_connections(self):
        """Number of connections that one port may have."""
        share = self._max_bytes * CONNECTION_SHARE / CONNECTION_BYTES
        return share if share == float('inf') else max(1, int(share))

    @property
    def room_bytes(self):
        """Size of the longest body that may be held; negative for none."""
        used_bytes = self._held_bytes + self._promised_bytes
        return self._max_bytes * LONG_SHARE - used_bytes

    @property
    def longest_body(self):
        """Size of the longest body that may be held if nothing else is."""
        return self._max_bytes * LONG_SHARE

    @property
    def is_exceeded(self):
        """Whether more is held than may be."""
        return self._held_bytes > self._max_bytes

    def add(self, count):
        """Count bytes that are held from now on."""
        self._held_bytes += count

    def remove(self, count):
        """Count bytes that are held no longer."""
        self._held_bytes -= count

    @contextlib.contextmanager
    def hold(self, count):
        """Count bytes as held in the context.

        :param count: number of bytes
        """
        self.add(count)
        try:
            yield
        finally:
            self.remove(count)

    def promise(self, count):
        """Count bytes that are announced; a negative number takes some back.

        :param count: number of bytes
        """
        self._promised_bytes += count

    def has_room_for(self, body_bytes, new_bytes=0):
        """Return whether a body may be held.

        :param body_bytes: size of the body
        :param new_bytes: bytes that are not counted yet
        """
        if body_bytes > SHORT_BYTES:
            share = LONG_SHARE
        elif body_bytes:
            share = SHORT_SHARE
        else:
            share = 1.0
        used_bytes = self._held_bytes + self._promised_bytes + new_bytes
        return used_bytes <= self._max_bytes * share
