"""What the ports of a node use of its descriptors and memory."""

import collections

from pumicestand_node import descriptors


class PortUsage:
    """The figures of all ports, for the metrics.

    ``failures`` counts by port and `errors.Code` what a port could not accept
    or serve.

    :param process: `descriptors.Descriptors` of this process
    :param buffers: `buffer_budget.BufferBudget` of all ports
    """

    def __init__(self, process, buffers):
        self._process = process
        self._ports = {}
        self._taken = collections.Counter()
        self.buffers = buffers
        self.failures = collections.Counter()

    @property
    def open_descriptors(self):
        """Number of open descriptors, None if it can't be read."""
        return descriptors.count_open()

    @property
    def max_descriptors(self):
        """Number of descriptors that may be open, None if unlimited."""
        return self._process.limit

    @property
    def ports(self):
        """All ports that clients, target and platform connect to."""
        return self._ports.values()

    def add(self, name, port):
        """Add a port.

        :param port: `client_port.ClientPort`
        """
        self._ports[name] = port

    def connections(self):
        """Return the number of open connections by (name of the port,)."""
        return {
            (name,): port.connection_count
            for name, port in self._ports.items()
        }

    def excess_connections(self):
        """Return counts by (name of the port, what was done)."""
        return {
            (name, action): count
            for name, port in self._ports.items()
            for action, count in port.excess_counts.items()
        }

    def take_excess(self):
        """Return the counts by port of what was done since the last call.

        :returns: dict of port name to dict of action to count, without zeros
        """
        counts = collections.Counter(self.excess_connections())
        news = counts - self._taken
        self._taken = counts
        excess = collections.defaultdict(dict)
        for (name, action), count in news.items():
            excess[name][action] = count
        return dict(excess)
