"""Routing: which route a call takes, which service and which version."""

import dataclasses

from pumicestand import documents
from pumicestand import refusals
from pumicestand import shares


class RouteTable:
    """The routes of one document, ready to be matched.

    :param document: the `documents.Document`
    """

    def __init__(self, document):
        self._by_host = {}
        for route in document.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            # The longest path first; a route for named methods before one
            # for all.
            routes.sort(key=lambda r: (-len(r.path), not r.methods))

    def match(self, host, path, method):
        """Return the route of a call, or None.

        :param host: the Host header without its port, in lower case
        :param path: the path without its query
        """
        for key in (host, '*'):
            for route in self._by_host.get(key, ()):
                if route.methods and method not in route.methods:
                    continue
                if _covers(route.path, path):
                    return route
        return None


def _covers(prefix, path):
    """Return whether a prefix covers a path, on segment borders.

    >>> _covers('/passes', '/passes/7'), _covers('/passes', '/passes2')
    (True, False)
    """
    if prefix == '/':
        return True
    if not path.startswith(prefix):
        return False
    rest = path[len(prefix) :]
    return not rest or rest[0] == '/' or prefix.endswith('/')


class WeightedPicker:
    """Spreads calls over weights evenly (smooth weighted round robin)."""

    def __init__(self):
        self._credits = {}

    def pick(self, backends):
        """Return one of some `documents.Backend`."""
        if len(backends) == 1:
            return backends[0]
        total = 0
        for backend in backends:
            total += backend.weight
            credit = self._credits.get(backend.service, 0)
            self._credits[backend.service] = credit + backend.weight
        best = max(backends, key=lambda b: self._credits[b.service])
        self._credits[best.service] -= total
        return best


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Where a call goes.

    :param move: the move that runs on the service, or None
    :param is_new: whether the call is part of the move's share
    :param old_version: where the call goes if the new version can't take
        it; the version itself when no move runs
    """

    route: documents.Route
    service: documents.Service
    version: str
    move: documents.Move | None = None
    is_new: bool = False
    old_version: str = ''


class Router:
    """Chooses route, service and version of each call."""

    def __init__(self):
        self._table = None
        self._table_of = None
        self._weighted = {}
        self._shares = {}

    def match(self, board, host, path, method):
        """Return the route, or a `refusals.Refusal`."""
        if board.in_force is None:
            return refusals.not_run(
                refusals.CallCode.NO_DOCUMENT,
                'no document is in force at this node',
            )
        if board.in_force.accepted != self._table_of:
            self._table = RouteTable(board.in_force.document)
            self._table_of = board.in_force.accepted
            self.forget(board.in_force.document)
        route = self._table.match(host, path, method)
        if route is None:
            return refusals.not_run(
                refusals.CallCode.NO_ROUTE,
                f'no route for {method} {path} on host {host}',
                retry_after=None,
                status=404,
            )
        return route

    def choose(self, board, now, route):
        """Return the `Choice` for one call of a route."""
        picker = self._weighted.get(route.name)
        if picker is None:
            picker = self._weighted[route.name] = WeightedPicker()
        name = picker.pick(route.to).service
        service = board.in_force.document.service(name)
        plan = shares.plan_of(board, service, now)
        if plan.move is None:
            return Choice(route, service, plan.base, None, False, plan.base)
        share = self._shares.setdefault(
            (plan.move.identity, route.name), shares.SharePicker()
        )
        is_new = share.pick(plan.share)
        version = plan.move.target if is_new else plan.base
        return Choice(route, service, version, plan.move, is_new, plan.base)

    def forget(self, document):
        """Drop the state of routes and moves that are no longer there."""
        identities = {move.identity for move in document.moves}
        routes = {route.name for route in document.routes}
        self._shares = {
            key: share
            for key, share in self._shares.items()
            if key[0] in identities
        }
        self._weighted = {
            name: picker
            for name, picker in self._weighted.items()
            if name in routes
        }
