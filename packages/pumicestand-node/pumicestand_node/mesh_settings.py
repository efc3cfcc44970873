"""What a node on the platform needs to know at its start."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Where something listens."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class MeshBounds:
    """What the operators promise to their users; times in seconds.

    :param grace: from the request to stop until the process is killed
    :param retry_ratio: repeated sends allowed for each request
    :param retry_constant: repeated sends allowed to the fleet besides
    :param retry_window: over which these are counted
    """

    grace: float
    retry_ratio: float
    retry_constant: float
    retry_window: float


@dataclasses.dataclass(frozen=True, slots=True)
class MeshSettings:
    """All settings of one node.

    :param service: of the target beside the node
    :param outbound: where callers on this VM send their requests
    :param ready: where the platform asks whether the node is ready
    :param control: where the target beside the node sends heartbeats
    :param link: where other nodes open links
    :param metrics: where metrics are read
    :param store: the platform's store
    :param link_rate: what the VM's network link carries, in bytes per
        second; 0 if that is not known
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
    log_level: str = 'INFO'
