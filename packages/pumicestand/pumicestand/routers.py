"""Choice of the route, the service and the version of each call."""

import dataclasses

from pumicestand import documents
from pumicestand import refusals
from pumicestand import routing
from pumicestand import shares


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The destination of a call.

    :param version: version of the service that gets the call
    :param move: running move of the service, or None
    :param is_new_version: whether the call is part of the move's share
    :param old_version: version that gets the call if the new one cannot take
        it; the same as `version` if no move is running
    """

    route: documents.Route
    service: documents.Service
    version: str
    move: documents.Move | None = None
    is_new_version: bool = False
    old_version: str = ''


class Router:
    """Chooses the route, service and version of each call."""

    def __init__(self):
        self._table = None
        self._table_accepted = None
        self._backend_pickers = {}
        self._share_pickers = {}

    def match(self, board, host, path, method):
        """Return the route of a call, or a `refusals.Refusal`.

        :param board: the node's `blackboard.Blackboard`
        :param host: Host header without the port, in lower case
        :param path: path without the query
        :param method: HTTP method
        """
        if board.in_force is None:
            return refusals.not_run(
                refusals.CallCode.NO_DOCUMENT,
                'no document is in force at this node',
            )
        if board.in_force.accepted != self._table_accepted:
            self._table = routing.RouteTable(board.in_force.document)
            self._table_accepted = board.in_force.accepted
            self._prune(board.in_force.document)
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
        picker = self._backend_pickers.get(route.name)
        if picker is None:
            picker = self._backend_pickers[route.name] = (
                routing.WeightedPicker()
            )
        service_name = picker.pick(route.to).service
        service = board.in_force.document.service(service_name)
        split = shares.split_of(board, service, now)
        if split.move is None:
            return Choice(
                route,
                service,
                split.base_version,
                None,
                False,
                split.base_version,
            )
        share_picker = self._share_pickers.setdefault(
            (split.move.identity, route.name), shares.SharePicker()
        )
        is_new_version = share_picker.pick(split.share)
        version = (
            split.move.new_version if is_new_version else split.base_version
        )
        return Choice(
            route,
            service,
            version,
            split.move,
            is_new_version,
            split.base_version,
        )

    def _prune(self, document):
        """Remove the pickers of routes and moves not in the document."""
        move_identities = {move.identity for move in document.moves}
        route_names = {route.name for route in document.routes}
        self._share_pickers = {
            key: picker
            for key, picker in self._share_pickers.items()
            if key[0] in move_identities
        }
        self._backend_pickers = {
            name: picker
            for name, picker in self._backend_pickers.items()
            if name in route_names
        }
