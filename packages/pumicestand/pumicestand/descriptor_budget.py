"""Divides the file descriptors of a process among what uses them.

Clients get what is left once files, the store, targets and links have theirs,
so that no number of clients can keep these from opening one.
"""

import dataclasses

# Descriptors for files, and the share that they get of a low limit.
FILES = 200
FILE_SHARE = 0.2
# Listeners, the event loop's wake-ups and the connections to the store.
FIXED = 16
# Connections to each port other than that of clients.
MIN_PORT_CONNECTIONS = 4
MAX_PORT_CONNECTIONS = 16
PORT_SHARE = 0.03
OTHER_PORTS = 3
# A node both opens and accepts a link to another one, and replaces links and
# connections to targets before the old ones are closed.
LINKS_PER_NODE = 2
CONNECTIONS_PER_SLOT = 2
SPARE = 4
# Shares that links and targets get at most; the rest is for clients.
MAX_LINK_SHARE = 0.5
MAX_TARGET_SHARE = 0.25
# Share of the clients' descriptors at which requests are only refused.
REFUSAL_SHARE = 0.0625
MIN_REFUSALS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What the descriptors of a node are needed for.

    :param nodes: other nodes that it may be linked to
    :param target_slots: calls that its own target runs at once
    """

    nodes: int = 0
    target_slots: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """Numbers of descriptors.

    :param files: files and the log
    :param links: connections among nodes
    :param targets: connections to the own target
    :param port: connections to each port other than that of clients
    :param clients: connections whose requests are served
    :param refusals: further connections, whose requests are refused
    """

    files: int
    links: int
    targets: int
    port: int
    clients: int
    refusals: int


def process_limit(soft_limit, max_descriptors):
    """Return the number of descriptors that a process may open.

    :param soft_limit: of the operating system; None if there is none
    :param max_descriptors: of the settings; None if there is none

    >>> process_limit(1024, 4100), process_limit(None, None)
    (1024, None)
    """
    limits = [n for n in (soft_limit, max_descriptors) if n is not None]
    return min(limits, default=None)


def divide(limit, demand):
    """Return the `Shares` of a process.

    :param limit: descriptors that the process may open
    :param demand: `Demand`

    >>> divide(4100, Demand(nodes=60, target_slots=6)).clients > 3000
    True
    """
    files = min(FILES, int(limit * FILE_SHARE))
    sockets = limit - files
    port = int(sockets * PORT_SHARE)
    port = max(MIN_PORT_CONNECTIONS, min(MAX_PORT_CONNECTIONS, port))
    free = max(0, sockets - FIXED - OTHER_PORTS * port)
    links = min(
        demand.nodes * LINKS_PER_NODE + SPARE, int(free * MAX_LINK_SHARE)
    )
    targets = min(
        demand.target_slots * CONNECTIONS_PER_SLOT + SPARE,
        int(free * MAX_TARGET_SHARE),
    )
    clients = free - links - targets
    refusals = max(MIN_REFUSALS, int(clients * REFUSAL_SHARE))
    return Shares(
        files=files,
        links=links,
        targets=targets,
        port=port,
        clients=max(1, clients - refusals),
        refusals=refusals,
    )
