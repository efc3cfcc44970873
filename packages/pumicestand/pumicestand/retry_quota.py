"""How many repeated sends the fleet may make to a service.

The bound holds for the whole fleet in any window: a ratio of the requests
plus a constant. Every node keeps to the ratio of its own requests and to
its part of the constant, so the sum holds without any talk.
"""

import collections

# The part of the bound that a node's own repeats may take. The calls that a
# repeated run makes in its turn count as repeats, too, at the service that
# they go to; with up to one and a half of them for a run they take as much,
# and windows that nodes cut differently take the rest.
DIRECT_RETRY_SHARE = 0.4


class RetryQuota:
    """The repeated sends of this node, by service.

    :param ratio: repeats allowed for each request
    :param constant: repeats allowed to the fleet besides
    :param window: seconds
    """

    def __init__(self, ratio, constant, window):
        self._ratio = ratio
        self._constant = constant
        self._window = window
        self._requests = collections.defaultdict(collections.deque)
        self._repeats = collections.defaultdict(collections.deque)

    def record_request(self, service, now):
        """Count a request of a client for a service."""
        self._requests[service].append(now)

    def record_retry(self, service, now):
        """Count a repeat that happens whatever the bound."""
        self._repeats[service].append(now)

    def try_acquire(self, service, nodes, now):
        """Return whether one more repeat may be sent, and count it.

        :param nodes: how many nodes share the constant, at least
        """
        requests = self._recent(self._requests[service], now)
        repeats = self._recent(self._repeats[service], now)
        share = self._constant / max(1, nodes)
        if repeats + 1 > DIRECT_RETRY_SHARE * (self._ratio * requests + share):
            return False
        self._repeats[service].append(now)
        return True

    def _recent(self, times, now):
        while times and times[0] <= now - self._window:
            times.popleft()
        return len(times)
