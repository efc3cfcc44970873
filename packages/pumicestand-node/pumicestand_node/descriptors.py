"""The file descriptors of this process: their limit and how many are open."""

import os
import resource

from pumicestand import descriptor_budget

OPEN_PATH = '/proc/self/fd'


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
