"""The file descriptors of this process: their limit and how many are open."""

import os
import resource

from pumicestand import descriptor_budget

OPEN_PATH = '/proc/self/fd'


class Descriptors:
    """The descriptors of this process and who may use how many.

    :param max_descriptors: of the settings; None if they have no limit
    :param read_demand: returns the `descriptor_budget.Demand`
    """

    def __init__(self, max_descriptors, read_demand):
        self._read_demand = read_demand
        self._max_descriptors = max_descriptors
        self.limit = max_descriptors

    def start(self):
        """Raise the limit of the process as far as allowed."""
        self.limit = raise_limit(self._max_descriptors)

    def max_clients(self):
        """Return the number of connections of clients that are served."""
        return self._share(lambda shares: shares.clients)

    def max_refusals(self):
        """Return the number of further ones that are refused in words."""
        return self._share(lambda shares: shares.refusals)

    def max_port_connections(self):
        """Return the number of connections to each other port."""
        return self._share(lambda shares: shares.port)

    def _share(self, pick):
        if self.limit is None:
            return float('inf')
        return pick(descriptor_budget.divide(self.limit, self._read_demand()))


def raise_limit(max_descriptors):
    """Raise the soft limit as far as allowed; return the limit in force.

    :param max_descriptors: of the settings; None if they have no limit
    :returns: descriptors that the process may open; None if unlimited
    """
    try:
        soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    except OSError:
        # The settings' limit still holds.
        return max_descriptors
    wanted = descriptor_budget.process_limit(
        _finite(hard_limit), max_descriptors
    )
    current = _finite(soft_limit)
    if wanted is not None and current is not None and current < wanted:
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard_limit))
            current = wanted
        except (OSError, ValueError):
            # The lower limit stays in force, and is reported as such.
            pass
    return descriptor_budget.process_limit(current, max_descriptors)


def count_open():
    """Return the number of open descriptors, None if it can't be read."""
    try:
        # One of them reads the list.
        return len(os.listdir(OPEN_PATH)) - 1
    except OSError:
        return None


def _finite(limit):
    return None if limit == resource.RLIM_INFINITY else limit
