"""Checks that need more than one place of a document."""

import collections
import dataclasses
import datetime

from pumicestand import errors

MAX_CALL_DEPTH = 6
MIN_MOVE_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """What is wrong with a document, and where.

    :param path: keys and indexes that lead to the place
    """

    code: errors.Code
    message: str
    path: tuple
    remedy: str


def _reference(kind, name, path):
    return Finding(
        errors.Code.DOCUMENT_REFERENCE,
        f'the {kind} {name!r} does not exist',
        path,
        f'declare the {kind} or correct its name',
    )


def _duplicate(kind, name, path):
    return Finding(
        errors.Code.DOCUMENT_DUPLICATE,
        f'the {kind} {name!r} stands twice',
        path,
        'keep one of the two',
    )


def _check_services(document, model):
    for name, service in model.services.items():
        path = ('services', name)
        if service.current not in service.versions:
            yield _reference('version', service.current, path + ('current',))
        for key in ('versions', 'resources', 'calls'):
            values = getattr(service, key)
            for index, value in enumerate(values):
                if value in values[:index]:
                    yield _duplicate(key[:-1], value, path + (key, index))
        for index, called in enumerate(service.calls):
            if called not in model.services:
                yield _reference('service', called, path + ('calls', index))


def _check_cycles(document, model):
    """Refuse calls among services that lead back or go too deep."""
    depths = {}

    def depth(name, above):
        if name in above:
            return None
        if name not in depths:
            service = model.services.get(name)
            called = service.calls if service else []
            below = [depth(other, above | {name}) for other in called]
            if None in below:
                return None
            depths[name] = 1 + max(below, default=0)
        return depths[name]

    for name in model.services:
        path = ('services', name, 'calls')
        levels = depth(name, frozenset())
        if levels is None:
            yield Finding(
                errors.Code.DOCUMENT_CYCLE,
                f'the calls of service {name!r} lead into a cycle',
                path,
                'remove one of the calls of the cycle',
            )
            return
        if levels > MAX_CALL_DEPTH:
            yield Finding(
                errors.Code.DOCUMENT_CYCLE,
                f'the calls of service {name!r} go {levels} deep, '
                f'the bound is {MAX_CALL_DEPTH}',
                path,
                'shorten the chain of calls',
            )
            return


def _check_routes(document, model):
    names = set()
    matches = set()
    for index, route in enumerate(model.routes):
        path = ('routes', index)
        if route.name in names:
            yield _duplicate('route', route.name, path + ('name',))
        names.add(route.name)
        for method in route.methods or ['*']:
            match = (route.host, route.path, method)
            if match in matches:
                yield _duplicate('match', ' '.join(match), path)
            matches.add(match)
        yield from _check_backends(route, model, path)


def _check_backends(route, model, path):
    seen = set()
    for index, backend in enumerate(route.to):
        place = path + ('to', index, 'service')
        if backend.service in seen:
            yield _duplicate('service', backend.service, place)
        seen.add(backend.service)
        service = model.services.get(backend.service)
        if service is None:
            yield _reference('service', backend.service, place)
            continue
        for number, resource in enumerate(route.resources):
            if resource not in service.resources:
                yield _reference(
                    'resource',
                    f'{backend.service}/{resource}',
                    path + ('resources', number),
                )


def _check_moves(document, model):
    names = set()
    route_names = {route.name for route in model.routes}
    for index, move in enumerate(model.moves):
        path = ('moves', index)
        if move.name in names:
            yield _duplicate('move', move.name, path + ('name',))
        names.add(move.name)
        service = model.services.get(move.service)
        if service is None:
            yield _reference('service', move.service, path + ('service',))
            continue
        if move.to not in service.versions:
            yield _reference('version', move.to, path + ('to',))
        for name in move.routes:
            if name not in route_names:
                yield _reference('route', name, path + ('routes', name))
        yield from _check_move_time(move, path)
    yield from _check_move_order(model)


def _check_move_time(move, path):
    seconds = (move.by - move.start).total_seconds()
    if seconds < MIN_MOVE_S:
        yield Finding(
            errors.Code.DOCUMENT_MOVE_TIME,
            f'the move {move.name!r} has {seconds:g} s from start to by, '
            f'the least is {MIN_MOVE_S:g} s',
            path + ('by',),
            'start earlier or allow more time',
        )
    if move.unproven_share <= 0:
        yield Finding(
            errors.Code.DOCUMENT_MOVE_TIME,
            f'the move {move.name!r} has an unproven share of 0%, '
            'so it can never be proven',
            path + ('unproven_share',),
            'allow a share above 0%',
        )


def _check_move_order(model):
    """Refuse moves of one service that overlap or lead back."""
    by_service = collections.defaultdict(list)
    for index, move in enumerate(model.moves):
        by_service[move.service].append((move.start, index, move))
    for name, entries in by_service.items():
        service = model.services.get(name)
        if service is None:
            continue
        visited = [service.current]
        end = datetime.datetime.min.replace(tzinfo=datetime.UTC)
        for _, index, move in sorted(entries, key=lambda entry: entry[:2]):
            path = ('moves', index)
            if move.start < end:
                yield Finding(
                    errors.Code.DOCUMENT_MOVE_TIME,
                    f'the move {move.name!r} starts before the move ahead '
                    f'of it on service {name!r} should be done',
                    path + ('start',),
                    'start it after the other one is due',
                )
            if move.to in visited:
                yield Finding(
                    errors.Code.DOCUMENT_CYCLE,
                    f'the move {move.name!r} leads back to version '
                    f'{move.to!r} of service {name!r}',
                    path + ('to',),
                    'move to a version not used before in this document',
                )
            visited.append(move.to)
            end = move.by


def first_finding(document, model):
    """Return the first `Finding` of a document, or None.

    :param document: the `documents.Document`
    :param model: the `schema.DocumentModel` that it was made from
    """
    for check in (
        _check_services,
        _check_cycles,
        _check_routes,
        _check_moves,
    ):
        for finding in check(document, model):
            return finding
    return None
