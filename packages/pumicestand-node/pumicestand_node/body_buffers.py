"""Bodies that arrive in pieces, of which very short ones are joined."""

import collections

# Pieces below the first size are joined to chunks of at most the second.
MIN_PIECE_BYTES = 4_096
CHUNK_BYTES = 16_384


def append_piece(chunks, data):
    """Add a piece of a body to its chunks.

    :param chunks: list or deque of bytes and bytearrays
    :param data: bytes
    """
    if len(data) >= MIN_PIECE_BYTES:
        chunks.append(data)
        return
    if chunks and isinstance(chunks[-1], bytearray):
        last = chunks[-1]
        if len(last) + len(data) <= CHUNK_BYTES:
            last += data
            return
    chunks.append(bytearray(data))


class BodyBuffer:
    """A body of which the first part may have been taken.

    ``size`` is the number of bytes that have not.
    """

    def __init__(self):
        self._chunks = collections.deque()
        self.size = 0

    def __bool__(self):
        return bool(self._chunks)

    def append(self, data):
        """Add a piece, as bytes."""
        self.size += len(data)
        append_piece(self._chunks, data)

    def take(self):
        """Remove and return the first chunk."""
        chunk = self._chunks.popleft()
        self.size -= len(chunk)
        return chunk

    def clear(self):
        """Drop what has not been taken."""
        self._chunks.clear()
        self.size = 0
