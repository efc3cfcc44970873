"""Bounds the memory for the bodies that a node holds for its clients.

The bodies of requests count with their announced length from their heads on,
those of responses while a client does not take them. Short bodies may use what
long ones leave, so that uploads do not keep out all other requests.
"""

# Memory of the process besides bodies, in bytes, and the copies of a body that
# exist while it is passed on.
OTHER_BYTES = 67_108_864
COPIES = 3
MIN_BYTES = 8_388_608
# Longest body that counts as short, and the share that long ones may use.
SHORT_BYTES = 16_384
LONG_SHARE = 0.75


def limit(memory_bytes):
    """Return the number of bytes to hold.

    :param memory_bytes: memory that the process may use; None if unknown

    >>> limit(150 * 1024 * 1024) // 1024 // 1024
    28
    """
    if memory_bytes is None:
        return float('inf')
    return max(MIN_BYTES, (memory_bytes - OTHER_BYTES) // COPIES)


class BufferBudget:
    """The bytes that are held, and whether more may be.

    :param max_bytes: number of bytes to hold
    """

    def __init__(self, max_bytes=float('inf')):
        self._max_bytes = max_bytes
        self._held_bytes = 0

    @property
    def max_bytes(self):
        """Number of bytes that may be held."""
        return self._max_bytes

    @property
    def held_bytes(self):
        """Number of bytes that are held."""
        return self._held_bytes

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

    def has_room_for(self, body_bytes):
        """Return whether a body that is counted already may be held.

        :param body_bytes: size of the body
        """
        share = 1.0 if body_bytes <= SHORT_BYTES else LONG_SHARE
        return self._held_bytes <= self._max_bytes * share
