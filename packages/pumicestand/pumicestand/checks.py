"""Checks of constraints between several parts of a document."""

import collections
import dataclasses
import datetime

from pumicestand import errors

# Services in a chain of calls, the first included.
MAX_CALL_DEPTH = 6
MIN_MOVE_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A violated constraint of a document.

    :param message: what is wrong, with the name, value and limit involved
    :param path: keys and indexes that lead to the wrong part
    :param remedy: what the operator can do
    """

    code: errors.Code
    message: str
    path: tuple
    remedy: str


def _unknown_reference(kind, name, path):
    return Finding(
        errors.Code.DOCUMENT_REFERENCE,
        f'the {kind} {name!r} does not exist',
        path,
        f'declare the {kind} or correct its name',
    )


def _duplicate(kind, name, path):
    return Finding(
        errors.Code.DOCUMENT_DUPLICATE,
        f'the {kind} {name!r} occurs twice',
        path,
        'keep one of the two',
    )


def _check_services(document, model):
    for name, service in model.services.items():
        path = ('services', name)
        if service.current not in service.versions:
            yield _unknown_reference(
                'version', service.current, path + ('current',)
            )
        for key in ('versions', 'resources', 'calls'):
            values = getattr(service, key)
            for index, value in enumerate(values):
                if value in values[:index]:
                    yield _duplicate(key[:-1], value, path + (key, index))
        for index, called in enumerate(service.calls):
            if called not in model.services:
                yield _unknown_reference(
                    'service', called, path + ('calls', index)
                )


def _check_call_chains(document, model):
    """Yield a finding if calls among services form a cycle or go too deep."""
    depths = {}

    def find_depth(name, callers):
        """Return the longest chain from a service, None for a cycle."""
        if name in callers:
            return None
        if name not in depths:
            service = model.services.get(name)
            called = service.calls if service else []
            called_depths = [
                find_depth(other, callers | {name}) for other in called
            ]
            if None in called_depths:
                return None
            depths[name] = 1 + max(called_depths, default=0)
        return depths[name]

    for name in model.services:
        path = ('services', name, 'calls')
        depth = find_depth(name, frozenset())
        if depth is None:
            yield Finding(
                errors.Code.DOCUMENT_CYCLE,
                f'the calls of service {name!r} lead to a cycle',
                path,
                'remove one of the calls of the cycle',
            )
            return
        if depth > MAX_CALL_DEPTH:
            yield Finding(
                errors.Code.DOCUMENT_CYCLE,
                f'the calls of service {name!r} form a chain of {depth} '
                f'services, the limit is {MAX_CALL_DEPTH}',
                path,
                'shorten the chain of calls',
            )
            return


def _check_routes(document, model):
    seen_names = set()
    seen_matches = set()
    for index, route in enumerate(model.routes):
        path = ('routes', index)
        if route.name in seen_names:
            yield _duplicate('route', route.name, path + ('name',))
        seen_names.add(route.name)
        for method in route.methods or ['*']:
            match = (route.host, route.path, method)
            if match in seen_matches:
                yield _duplicate('match', ' '.join(match), path)
            seen_matches.add(match)
        yield from _check_backends(route, model, path)


def _check_backends(route, model, path):
    seen_services = set()
    for index, backend in enumerate(route.to):
        service_path = path + ('to', index, 'service')
        if backend.service in seen_services:
            yield _duplicate('service', backend.service, service_path)
        seen_services.add(backend.service)
        service = model.services.get(backend.service)
        if service is None:
            yield _unknown_reference('service', backend.service, service_path)
            continue
        for resource_index, resource in enumerate(route.resources):
            if resource not in service.resources:
                yield _unknown_reference(
                    'resource',
                    f'{backend.service}/{resource}',
                    path + ('resources', resource_index),
                )


def _check_moves(document, model):
    seen_names = set()
    route_names = {route.name for route in model.routes}
    for index, move in enumerate(model.moves):
        path = ('moves', index)
        if move.name in seen_names:
            yield _duplicate('move', move.name, path + ('name',))
        seen_names.add(move.name)
        service = model.services.get(move.service)
        if service is None:
            yield _unknown_reference(
                'service', move.service, path + ('service',)
            )
            continue
        if move.to not in service.versions:
            yield _unknown_reference('version', move.to, path + ('to',))
        for name in move.routes:
            if name not in route_names:
                yield _unknown_reference(
                    'route', name, path + ('routes', name)
                )
        yield from _check_move_time(move, path)
    yield from _check_move_order(model)


def _check_move_time(move, path):
    available_s = (move.by - move.start).total_seconds()
    if available_s < MIN_MOVE_S:
        yield Finding(
            errors.Code.DOCUMENT_MOVE_TIME,
            f'the move {move.name!r} has {available_s:g} s from "start" to '
            f'"by", the minimum is {MIN_MOVE_S:g} s',
            path + ('by',),
            'start earlier or allow more time',
        )
    if move.unproven_share <= 0:
        yield Finding(
            errors.Code.DOCUMENT_MOVE_TIME,
            f'the move {move.name!r} has an unproven share of 0%, '
            'so no call can show that the new version works',
            path + ('unproven_share',),
            'allow a share above 0%',
        )


def _check_move_order(model):
    """Yield findings on moves of a service that overlap or lead back."""
    moves_by_service = collections.defaultdict(list)
    for index, move in enumerate(model.moves):
        moves_by_service[move.service].append((move.start, index, move))
    for name, entries in moves_by_service.items():
        service = model.services.get(name)
        if service is None:
            continue
        used_versions = [service.current]
        previous_deadline = datetime.datetime.min.replace(tzinfo=datetime.UTC)
        for _, index, move in sorted(entries, key=lambda entry: entry[:2]):
            path = ('moves', index)
            if move.start < previous_deadline:
                yield Finding(
                    errors.Code.DOCUMENT_MOVE_TIME,
                    f'the move {move.name!r} starts before the deadline of '
                    f'the previous move of service {name!r}',
                    path + ('start',),
                    'start it after the deadline of the previous move',
                )
            if move.to in used_versions:
                yield Finding(
                    errors.Code.DOCUMENT_CYCLE,
                    f'the move {move.name!r} leads back to version '
                    f'{move.to!r} of service {name!r}',
                    path + ('to',),
                    'move to a version not used before in this document',
                )
            used_versions.append(move.to)
            previous_deadline = move.by


def first_finding(document, model):
    """Return the first `Finding` on a document, None if it is valid.

    :param document: the `documents.Document`
    :param model: the `schema.DocumentModel` that it was created from
    """
    for check in (
        _check_services,
        _check_call_chains,
        _check_routes,
        _check_moves,
    ):
        for finding in check(document, model):
            return finding
    return None
