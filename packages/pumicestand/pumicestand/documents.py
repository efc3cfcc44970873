"""Data classes for the document of an environment.

The document holds the services, routes and moves that operators configure.
`readers` validates an operator's text and builds these classes from it. They
are immutable.
"""

import dataclasses
import hashlib


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLimits:
    """Limits of one target of a service.

    :param slots: maximum number of calls that run concurrently
    :param connections: maximum number of open connections
    :param queue: maximum number of calls that wait at a node for a slot
    """

    slots: int
    connections: int
    queue: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service with the versions and resources that its targets may have.

    :param versions: all versions that may run
    :param current: version that takes the traffic before the first move
    :param resources: names of the resources that routes to this service may
        require of its targets
    :param calls: names of the services that this service calls
    :param limits: limits of each target of the service
    :param cold_start: seconds for which a target is cold after its start
    :param cold_rate: calls a second that a cold target bears, 0 for no limit
    """

    name: str
    versions: tuple[str, ...]
    current: str
    resources: tuple[str, ...]
    calls: tuple[str, ...]
    limits: TargetLimits
    cold_start: float = 0.0
    cold_rate: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """A service that takes calls of a route.

    :param weight: share of the calls, relative to the other back ends
    """

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Retries:
    """The retry policy of a route.

    :param attempts: maximum number of attempts, including the first
    :param budget: maximum number of retries, as a fraction of the calls of
        the route
    """

    attempts: int
    budget: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Matches calls and determines the services and the policy for them.

    :param host: the exact host, or ``*`` for any
    :param path: prefix of the path, matched by whole segments
    :param methods: methods in upper case, empty for all
    :param to: services that take the calls, with their weights
    :param resources: names of the resources that a target must have
    :param timeout: time-out of a call, in seconds
    :param idempotent: whether a call may run more than once
    :param objective: latency objective in seconds, 0 for none
    :param priority: 0 is the highest priority
    :param is_public: whether calls need no key of an organisation
    """

    name: str
    host: str
    path: str
    methods: tuple[str, ...]
    to: tuple[Backend, ...]
    resources: tuple[str, ...]
    timeout: float
    idempotent: bool
    retries: Retries
    objective: float = 0.0
    priority: int = 0
    is_public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RollbackThresholds:
    """Thresholds beyond which a new version is rolled back.

    :param errors: error rate above that of the old version, as a fraction
    :param latency: factor over the 95th percentile of the old version's
        latency, above which a call counts as slow
    """

    errors: float
    latency: float


@dataclasses.dataclass(frozen=True, slots=True)
class RouteThresholds:
    """Thresholds for one route, which replace those of the move.

    :param route: name of the route
    """

    route: str
    thresholds: RollbackThresholds


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A planned move of a service's traffic to another version.

    :param start: seconds since the epoch
    :param deadline: time by which the move should be complete, in seconds
        since the epoch
    :param unproven_share: maximum fraction of the calls that the new
        version takes while too few calls show that it works
    :param route_thresholds: exceptions from `thresholds` for single routes
    """

    name: str
    service: str
    old_version: str
    new_version: str
    start: float
    deadline: float
    unproven_share: float
    thresholds: RollbackThresholds
    route_thresholds: tuple[RouteThresholds, ...]

    @property
    def identity(self):
        """The name with a hash, which changes whenever the move is edited."""
        # Verdicts are stored under this identity: the values and their order
        # determine the hash.
        text = repr(dataclasses.astuple(self)).encode()
        return f'{self.name}@{hashlib.sha256(text).hexdigest()[:8]}'

    def thresholds_for(self, route_name):
        """Return the `RollbackThresholds` that apply to a route."""
        for entry in self.route_thresholds:
            if entry.route == route_name:
                return entry.thresholds
        return self.thresholds


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the requests and connections of clients.

    :param head_bytes: maximum size of a request's head
    :param body_bytes: maximum size of a request's body
    :param head_timeout: seconds within which a head must be complete
    :param idle_timeout: seconds after which a connection without a request
        is closed
    """

    head_bytes: int = 32_768
    body_bytes: int = 67_108_864
    head_timeout: float = 10.0
    idle_timeout: float = 75.0


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer whose clients identify themselves by a key.

    :param keys: keys of which any one is accepted
    :param priority: replaces the priority of routes, None to keep it
    :param rate: calls a second over the whole fleet, 0 for no limit
    :param burst: calls that may exceed the rate
    """

    name: str
    keys: frozenset[str] = dataclasses.field(repr=False)
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """What operators configure for one environment.

    :param organisations: customers; if there are none, clients need no keys
    """

    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    moves: tuple[Move, ...] = ()
    client_limits: ClientLimits = ClientLimits()
    organisations: tuple[Organisation, ...] = ()

    def service(self, name):
        """Return the service with the given name, or None."""
        return next((s for s in self.services if s.name == name), None)

    def route(self, name):
        """Return the route with the given name, or None."""
        return next((r for r in self.routes if r.name == name), None)

    def moves_of(self, service):
        """Return the moves of a service, ordered by start time.

        :param service: name of the service
        """
        moves = [m for m in self.moves if m.service == service]
        return sorted(moves, key=lambda move: move.start)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Accepted:
    """Identifies the accepted document.

    :param generation: number that increases with each accepted document, 0
        for none
    :param digest: SHA-256 of the content in hexadecimal, empty for none
    """

    generation: int = 0
    digest: str = ''


def content_digest(content):
    """Return the SHA-256 of a document's content in hexadecimal.

    :param content: canonical text of the document, as bytes

    >>> content_digest(b'')[:8]
    'e3b0c442'
    """
    return hashlib.sha256(content).hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """The document in force at this node.

    :param since: wall time in seconds at which it came into force
    """

    accepted: Accepted
    document: Document
    since: float
