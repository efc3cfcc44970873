"""Brings a candidate into force: whole, never back, resources first."""

import dataclasses

from pumicestand import blackboard as blackboards
from pumicestand import events
from pumicestand import messages

WARMING_S = 2.0


class ApplicationController:
    """Decides when the candidate takes effect.

    :param floors: the `floors.FloorController` that records generations
    """

    def __init__(self, floors):
        self._floors = floors
        self._refused_generation = 0

    def step(self, board, now):
        """Put the candidate into force once all conditions hold."""
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
        if not self._is_warm(board, candidate, now):
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

    def _is_warm(self, board, candidate, now):
        """Whether each route that works now would go on working.

        After the warming time the document takes effect all the same; a
        route whose resources are missing then refuses its calls as not
        run, so that no call goes to a target without them.
        """
        if now - candidate.ready_at >= WARMING_S:
            return True
        missing = set(missing_resources(board, candidate.document))
        return not missing & _working_routes(board)

    def _put_into_force(self, board, candidate, now):
        accepted = candidate.accepted
        board.in_force = blackboards.InForce(accepted, candidate.document, now)
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
    """Whether a node lags behind, and by what it knows so.

    :param is_stale: a newer generation is accepted, or nothing is in force
    :param confirmed_s: seconds since a watcher last heard from the store,
        None if that was never heard of
    """

    is_stale: bool
    reason: str
    confirmed_s: float | None


def staleness(board, now):
    """Return a `Staleness` that operators and calls are shown."""
    confirmed = None
    if board.store_confirmed_ms:
        confirmed = max(0.0, now - board.store_confirmed_ms / 1000)
    if board.is_replaced:
        return Staleness(True, 'another process runs by this name', confirmed)
    if board.in_force is None:
        reason = 'no document is in force'
        if board.floor is None:
            reason += ': the version floor is unknown'
        return Staleness(True, reason, confirmed)
    if board.accepted.generation > board.generation_in_force:
        reason = (
            f'generation {board.accepted.generation} is accepted, '
            f'{board.generation_in_force} is in force'
        )
        return Staleness(True, reason, confirmed)
    return Staleness(False, '', confirmed)


def serving_targets(board):
    """Return all targets announced by members that are reachable."""
    for member in board.table.reachable():
        for target in member.targets:
            if target.state == messages.TargetState.SERVING:
                yield target


def _working_routes(board):
    """Return names of the routes in force that have their resources."""
    if board.in_force is None:
        return set()
    document = board.in_force.document
    names = {route.name for route in document.routes}
    return names - set(missing_resources(board, document))


def missing_resources(board, document):
    """Return names of routes for which no target has what they need."""
    held = {}
    for target in serving_targets(board):
        held.setdefault(target.service, []).append(set(target.resources))
    missing = []
    for route in document.routes:
        needed = set(route.resources)
        for backend in route.to:
            offers = held.get(backend.service, [])
            if not any(needed <= offer for offer in offers):
                missing.append(route.name)
                break
    return missing
