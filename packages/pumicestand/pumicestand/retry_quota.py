"""Quota of the retries that the fleet may send to a service.

In any window the fleet sends at most a ratio of its requests, plus a constant,
as retries. Every node keeps to the ratio of its own requests and to its part
of the constant, so the sum is within the quota without any coordination.
"""

import collections

# Share of the quota that is left to the retries that a node sends itself. The
# nested calls of a retried call count as retries, too, at the service that
# they go to. With up to one and a half of them per call they use as much, and
# the different windows of the nodes use the rest.
DIRECT_RETRY_SHARE = 0.4


class RetryQuota:
    """The retries of this node, by service.

    :param ratio: retries allowed for each request
    :param constant: retries allowed to the whole fleet in addition
    :param window: length of the sliding window in seconds
    """

    def __init__(self, ratio, constant, window):
        self._ratio = ratio
        self._constant = constant
        self._window = window
        self._requests = collections.defaultdict(collections.deque)
        self._retries = collections.defaultdict(collections.deque)

    def record_request(self, service, now):
        """Count a client's request for a service."""
        self._requests[service].append(now)

    def record_retry(self, service, now):
        """Count a retry that is sent regardless of the quota."""
        self._retries[service].append(now)

    def try_acquire(self, service, nodes, now):
        """Count one more retry if the quota allows it.

        :param nodes: number of nodes that share the constant, or more
        :returns: whether the retry may be sent
        """
        requests = self._count_recent(self._requests[service], now)
        retries = self._count_recent(self._retries[service], now)
        own_constant = self._constant / max(1, nodes)
        if retries + 1 > DIRECT_RETRY_SHARE * (
            self._ratio * requests + own_constant
        ):
            return False
        self._retries[service].append(now)
        return True

    def _count_recent(self, times, now):
        """Drop the times before the window and return how many are left."""
        while times and times[0] <= now - self._window:
            times.popleft()
        return len(times)
