"""Settings of a node on the platform."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Address of a TCP listener."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class MeshBounds:
    """Limits that the operators guarantee to their users.

    :param grace: seconds from the request to stop until the process is
        killed
    :param retry_ratio: number of retries allowed for each request
    :param retry_constant: number of retries allowed to the whole fleet in
        addition
    :param retry_window: seconds over which retries are counted
    """

    grace: float
    retry_ratio: float
    retry_constant: float
    retry_window: float


@dataclasses.dataclass(frozen=True, slots=True)
class MeshSettings:
    """Settings of one node.

    :param name: name of the node, unique in the fleet
    :param zone: availability zone of the VM
    :param region: region of the VM
    :param service: service of the target on this VM
    :param outbound: address for the requests of clients on this VM
    :param ready: address for the platform's readiness checks
    :param control: address for the heartbeats of the target on this VM
    :param link: address for links opened by other nodes
    :param metrics: address at which metrics are scraped
    :param store: address of the platform's store
    :param bounds: limits that the operators guarantee
    :param link_rate: capacity of the VM's network link, in bytes per
        second; 0 if unknown
    :param is_first_start: whether the whole fleet starts for the first time
    :param log_level: lowest level that is logged
    """

    name: str
    zone: str
    region: str
    service: str
    outbound: Address
    ready: Address
    control: Address
    link: Address
    metrics: Address
    store: Address
    bounds: MeshBounds
    link_rate: float = 0.0
    is_first_start: bool = True
    log_level: str = 'INFO'
