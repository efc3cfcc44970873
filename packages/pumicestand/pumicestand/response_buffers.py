"""Bounds the memory for responses that are read before they are passed on.

A faulty target may send an endless response. One response may take what the
others leave; short responses are always read, so that an endless one does not
fail the calls beside it.
"""

from pumicestand import buffer_budget

# Bytes of all responses that are being read, the share of the budget that they
# may use, and bytes that one response may have although the others use more.
MAX_TOTAL_BYTES = 33_554_432
MAX_TOTAL_SHARE = 0.25
MIN_RESPONSE_BYTES = 1_048_576
# Bytes up to the end of a response's head, and interim responses or responses
# to other calls on one connection, before it is given up.
MAX_HEAD_BYTES = 65_536
MAX_IGNORED_RESPONSES = 16


class ResponseBuffers:
    """The bytes of the responses being read from one target.

    :param budget: `buffer_budget.BufferBudget` that counts them as well
    """

    def __init__(self, budget=None):
        self._budget = budget or buffer_budget.BufferBudget()
        self._total_bytes = 0
        self._max_total_bytes = min(
            MAX_TOTAL_BYTES, self._budget.max_bytes * MAX_TOTAL_SHARE
        )

    @property
    def total_bytes(self):
        """Bytes of all responses that are being read."""
        return self._total_bytes

    def add(self, response_bytes, count):
        """Count received bytes; return whether reading may go on.

        :param response_bytes: bytes of the response received before
        :param count: bytes received now
        """
        self._total_bytes += count
        self._budget.add(count)
        return (
            self._total_bytes <= self._max_total_bytes
            or response_bytes + count <= MIN_RESPONSE_BYTES
        )

    def remove(self, response_bytes):
        """Forget the bytes of a response that was read or given up."""
        self._total_bytes -= response_bytes
        self._budget.remove(response_bytes)
