"""Orders exchanges by the progress that their clients make.

A client that sends or takes too little keeps memory from others without a use.
When there is no room, those give way whose last progress is the longest ago.
"""

# Bytes that are progress, and the part of an announced length that is if it is
# more.
MIN_PROGRESS_BYTES = 1_024
PROGRESS_PARTS = 32
# Time without progress after which an exchange gives way to others.
MIN_STALL_S = 1.0


def progress_bytes(size):
    """Return how many bytes of a transfer are progress.

    :param size: announced size in bytes, 0 if it is not known

    >>> progress_bytes(0), progress_bytes(64_000_000)
    (1024, 2000000)
    """
    return max(MIN_PROGRESS_BYTES, size // PROGRESS_PARTS)


class ClientProgress:
    """The exchanges that wait for their clients, the slowest ones first."""

    def __init__(self):
        # Exchange to the time of its last progress, in the order of times.
        self._progress_at = {}
        # Exchange to bytes since its last progress.
        self._bytes = {}

    def record(self, exchange, count, size, now):
        """Record that a client has sent or taken bytes of an exchange.

        :param exchange: any hashable object
        :param count: number of bytes
        :param size: see `progress_bytes`
        :param now: monotonic seconds
        """
        if exchange in self._progress_at:
            count += self._bytes[exchange]
            if count < progress_bytes(size):
                self._bytes[exchange] = count
                return
            del self._progress_at[exchange]
        self._progress_at[exchange] = now
        self._bytes[exchange] = 0

    def discard(self, exchange):
        """Forget an exchange that does not wait for its client, if known."""
        if self._progress_at.pop(exchange, None) is not None:
            del self._bytes[exchange]

    def stalled(self, now):
        """Return the exchanges that give way, the longest stalled first.

        :param now: monotonic seconds
        """
        stalled = []
        for exchange, progress_at in self._progress_at.items():
            if now - progress_at < MIN_STALL_S:
                break
            stalled.append(exchange)
        return stalled
