"""Brings a complete candidate document into force.

A node never goes back to an older generation, and waits a limited time for
the resources that the routes of the new document need.
"""

import dataclasses

from pumicestand import documents
from pumicestand import events
from pumicestand import target_states

# Longest wait for the resources of a candidate document.
MAX_RESOURCE_WAIT_S = 2.0


class ApplicationController:
    """Decides when the candidate comes into force.

    :param floors: the `floors.FloorController` that has peers record the
        generation before it comes into force
    """

    def __init__(self, floors):
        self._floors = floors
        self._refused_generation = 0

    def step(self, board, now):
        """Put the candidate into force once all conditions hold.

        :param board: the `blackboard.Blackboard`
        :param now: wall time in seconds
        :return: empty list, since this controller needs no I/O
        """
        candidate = board.candidate
        if candidate is None or board.is_replaced:
            return []
        generation = candidate.accepted.generation
        if generation <= board.generation_in_force:
            board.candidate = None
            return []
        if board.floor is None:
            return []
        if generation < board.floor:
            self._report_below_floor(board, now, generation)
            return []
        if not self._floors.is_recorded(board, generation, now):
            return []
        if not self._may_apply(board, candidate, now):
            return []
        self._put_into_force(board, candidate, now)
        return []

    def _report_below_floor(self, board, now, generation):
        if self._refused_generation == generation:
            return
        self._refused_generation = generation
        board.emit(
            events.Kind.VERSION_REFUSED,
            now,
            step='apply',
            generation=generation,
            detail=f'generation {generation} is below the floor {board.floor}',
        )

    def _may_apply(self, board, candidate, now):
        """Return whether each route that works now would still work.

        After `MAX_RESOURCE_WAIT_S` the document comes into force anyway. A
        route whose resources are missing then refuses its calls as not run,
        so that no call goes to a target without them.
        """
        if now - candidate.ready_at >= MAX_RESOURCE_WAIT_S:
            return True
        missing = set(missing_resources(board, candidate.document))
        return not missing & _working_routes(board)

    def _put_into_force(self, board, candidate, now):
        accepted = candidate.accepted
        board.in_force = documents.InForce(accepted, candidate.document, now)
        board.candidate = None
        missing = missing_resources(board, candidate.document)
        board.emit(
            events.Kind.VERSION_IN_FORCE,
            now,
            step='apply',
            generation=accepted.generation,
            detail='routes without resources: '
            + (', '.join(missing) if missing else 'none'),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Staleness:
    """Whether a node is stale, and why.

    :param is_stale: whether a newer generation is accepted, no document is in
        force, or another process has replaced this one
    :param reason: text for operators, empty if the node is not stale
    :param confirmed_s: seconds since the store last answered a watcher, None
        if this node does not know of any answer
    """

    is_stale: bool
    reason: str
    confirmed_s: float | None


def staleness(board, now):
    """Return the `Staleness` that operators and clients are shown.

    :param now: wall time in seconds
    """
    confirmed_s = None
    if board.store_confirmed_ms:
        confirmed_s = max(0.0, now - board.store_confirmed_ms / 1000)
    if board.is_replaced:
        return Staleness(
            True, 'another process runs by this name', confirmed_s
        )
    if board.in_force is None:
        reason = 'no document is in force'
        if board.floor is None:
            reason += ': the version floor is unknown'
        return Staleness(True, reason, confirmed_s)
    if board.accepted.generation > board.generation_in_force:
        reason = (
            f'generation {board.accepted.generation} is accepted, '
            f'{board.generation_in_force} is in force'
        )
        return Staleness(True, reason, confirmed_s)
    return Staleness(False, '', confirmed_s)


def serving_targets(board):
    """Yield the serving targets that reachable members announce."""
    for member in board.table.reachable():
        for target in member.targets:
            if target.state == target_states.TargetState.SERVING:
                yield target


def _working_routes(board):
    """Return the names of the routes in force that have their resources."""
    if board.in_force is None:
        return set()
    document = board.in_force.document
    names = {route.name for route in document.routes}
    return names - set(missing_resources(board, document))


def missing_resources(board, document):
    """Return the names of the routes that lack resources.

    A route lacks resources if no target of one of its services has all that
    the route needs.
    """
    offers_by_service = {}
    for target in serving_targets(board):
        offers_by_service.setdefault(target.service, []).append(
            set(target.resources)
        )
    missing = []
    for route in document.routes:
        needed = set(route.resources)
        for backend in route.to:
            offers = offers_by_service.get(backend.service, [])
            if not any(needed <= offer for offer in offers):
                missing.append(route.name)
                break
    return missing
