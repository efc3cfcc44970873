"""The document of an environment, as the decisions read it.

These are plain data classes. They are made by `readers`, which checks what
operators write, and are never changed afterwards.
"""

import dataclasses
import hashlib


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLimits:
    """What one target of a service takes at once.

    :param slots: calls that run at once
    :param connections: connections that are open at once
    :param queue: calls that wait at a node for a slot
    """

    slots: int
    connections: int
    queue: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service with the versions and resources its targets may have.

    :param versions: every version that may run
    :param current: the version that takes traffic when no move runs
    :param resources: what a target must have before a route may need it
    :param calls: services that this one calls in turn
    """

    name: str
    versions: tuple[str, ...]
    current: str
    resources: tuple[str, ...]
    calls: tuple[str, ...]
    limits: TargetLimits


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """One service of a route and its weight among the others."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Retries:
    """How often a call may be sent again.

    :param attempts: sends in all, the first one included
    :param budget: retries as a fraction of the calls of a route
    """

    attempts: int
    budget: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Which calls go to which services, and on what terms.

    :param host: the exact host, or ``*``
    :param path: the prefix of the path, on segment borders
    :param methods: the methods, empty for all
    :param resources: what a target must have to take these calls
    :param timeout: seconds until the call is given up
    :param idempotent: whether a call may run more than once
    :param objective: seconds within which callers want the answer; 0 if
        the operator states none
    :param priority: 0 goes before all others
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


@dataclasses.dataclass(frozen=True, slots=True)
class RollbackThresholds:
    """What counts as bad in a new version.

    :param errors: fraction of errors above the old version's
    :param latency: factor over the old version's slowest twentieth
    """

    errors: float
    latency: float


@dataclasses.dataclass(frozen=True, slots=True)
class RouteThresholds:
    """What counts as bad on one route, in place of the move's own."""

    route: str
    thresholds: RollbackThresholds


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A planned move of a service's traffic to another version.

    :param start: seconds since the epoch
    :param by: seconds since the epoch; the move should be done by then
    :param unproven_share: largest fraction of calls while unproven
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
        """A key that changes whenever the operator changes the move."""
        text = repr(dataclasses.astuple(self)).encode()
        return f'{self.name}@{hashlib.sha256(text).hexdigest()[:8]}'

    def thresholds_for(self, route_name):
        """Return what counts as bad on a route."""
        for entry in self.route_thresholds:
            if entry.route == route_name:
                return entry.thresholds
        return self.thresholds


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a caller may send, and how long it may take.

    :param head_bytes: of a request's head
    :param body_bytes: of a request's body
    :param head_timeout: seconds in which a head must be whole
    :param idle_timeout: seconds that a connection may be without a request
    """

    head_bytes: int = 32_768
    body_bytes: int = 67_108_864
    head_timeout: float = 10.0
    idle_timeout: float = 75.0


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """All services, routes and moves of one environment."""

    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    moves: tuple[Move, ...] = ()
    client_limits: ClientLimits = ClientLimits()

    def service(self, name):
        """Return the service of that name, or None."""
        return next((s for s in self.services if s.name == name), None)

    def route(self, name):
        """Return the route of that name, or None."""
        return next((r for r in self.routes if r.name == name), None)

    def moves_of(self, service):
        """Return the moves of a service in order of their start."""
        moves = [m for m in self.moves if m.service == service]
        return sorted(moves, key=lambda move: move.start)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Accepted:
    """What the store holds as accepted: a generation and its digest.

    :param generation: only rises
    :param digest: SHA-256 of the content, in hexadecimal
    """

    generation: int = 0
    digest: str = ''


def content_digest(content):
    """Return the SHA-256 of a document's content, in hexadecimal.

    :param content: the canonical text as bytes

    >>> content_digest(b'')[:8]
    'e3b0c442'
    """
    return hashlib.sha256(content).hexdigest()
