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
    :param is_revocation_strict: whether a withdrawn key must be refused in
        time also by nodes that can't reach the store
    :param revocation: seconds after which a withdrawn key is refused
    :param quota_window: seconds over which calls of an organisation count
    :param quota_excess: fraction by which they may exceed the quota
    :param quota_slack: calls that may exceed it in addition
    :param evacuation: seconds after which a zone that is being emptied gets
        no calls, 0 if zones are not emptied
    :param cold_excess: factor by which the calls of a cold target may exceed
        its rate in one second
    :param cold_slack: calls that may exceed it in addition
    """

    grace: float
    retry_ratio: float
    retry_constant: float
    retry_window: float
    is_revocation_strict: bool = False
    revocation: float = 5.0
    quota_window: float = 5.0
    quota_excess: float = 0.1
    quota_slack: float = 20.0
    evacuation: float = 0.0
    cold_excess: float = 1.5
    cold_slack: float = 8.0


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
    :param max_descriptors: descriptors that the process may open; None if
        only the operating system limits them
    :param memory_bytes: memory that the process may use; None if unknown
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
    max_descriptors: int | None = None
    memory_bytes: int | None = None
