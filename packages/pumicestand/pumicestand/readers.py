"""Reads documents: from operators in YAML, from the store as content.

`read_yaml` checks what an operator wrote and refuses it whole, naming line
and column. `read_content` reads the canonical text that the store holds.
"""

import collections
import json

import pydantic
import yaml

from pumicestand import checks
from pumicestand import documents
from pumicestand import errors
from pumicestand import schema

MAX_CONTENT_BYTES = 1_000_000
# Comments and indentation make the operator's text longer than the content.
MAX_TEXT_BYTES = 4 * MAX_CONTENT_BYTES
# The schema nests six levels; deeper text is no document.
MAX_DEPTH = 32
_MERGE_KEY = '<<'
_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)

_REMEDIES = {
    errors.Code.DOCUMENT_UNKNOWN_KEY: 'remove the key or correct its name',
    errors.Code.DOCUMENT_UNIT: 'write the unit behind the number',
    errors.Code.DOCUMENT_VALUE: 'write a value that the message allows',
}


class Positions:
    """Maps a place in the document to its line and column."""

    def __init__(self):
        self._marks = {(): (1, 1)}

    def add(self, path, mark):
        """Record where the value at `path` stands."""
        self._marks[path] = (mark.line + 1, mark.column + 1)

    def find(self, path):
        """Return (line, column) of `path` or of its nearest parent."""
        path = tuple(path)
        while path not in self._marks:
            path = path[:-1]
        return self._marks[path]


def _refuse(code, message, position, remedy):
    line, column = position
    raise errors.InvalidDocumentError(
        code, message, line=line, column=column, remedy=remedy
    )


def _construct(loader, node, path, positions):
    """Return plain data for a YAML node, keeping every position."""
    # A value in a mapping is placed at its key, which stands there already.
    if not path or isinstance(path[-1], int):
        positions.add(path, node.start_mark)
    if isinstance(node, yaml.MappingNode):
        return _construct_mapping(loader, node, path, positions)
    if isinstance(node, yaml.SequenceNode):
        return [
            _construct(loader, child, path + (index,), positions)
            for index, child in enumerate(node.value)
        ]
    if node.tag == 'tag:yaml.org,2002:timestamp':
        return node.value
    return loader.construct_object(node)


def _construct_mapping(loader, node, path, positions):
    result = {}
    for key_node, value_node in node.value:
        key = str(key_node.value)
        mark = key_node.start_mark
        if key in result:
            _refuse(
                errors.Code.DOCUMENT_DUPLICATE_KEY,
                f'the key {key!r} stands twice in one mapping',
                (mark.line + 1, mark.column + 1),
                'keep one of the two',
            )
        positions.add(path + (key,), mark)
        result[key] = _construct(loader, value_node, path + (key,), positions)
    return result


def _check_text(text):
    """Refuse what could expand or nest without bound, before it does."""
    if len(text) > MAX_TEXT_BYTES:
        _refuse(
            errors.Code.DOCUMENT_TOO_LARGE,
            f'the text has {len(text)} characters, {MAX_TEXT_BYTES} are read',
            (1, 1),
            'split services off into an environment of their own',
        )
    depth = 0
    for event in yaml.parse(text, _LOADER):
        mark = event.start_mark
        position = (mark.line + 1, mark.column + 1)
        match event:
            case yaml.AliasEvent():
                _refuse(
                    errors.Code.DOCUMENT_SYNTAX,
                    f'the alias *{event.anchor}; a document has none',
                    position,
                    'write the value out at this place',
                )
            case yaml.ScalarEvent(value=value) if value == _MERGE_KEY:
                _refuse(
                    errors.Code.DOCUMENT_SYNTAX,
                    'a merge key; a document has none',
                    position,
                    'write the keys out at this place',
                )
            case yaml.CollectionStartEvent():
                depth += 1
            case yaml.CollectionEndEvent():
                depth -= 1
        if depth > MAX_DEPTH:
            _refuse(
                errors.Code.DOCUMENT_SYNTAX,
                f'more than {MAX_DEPTH} levels',
                position,
                'correct the brackets or the indentation',
            )


def _load(text):
    loader = _LOADER(text)
    try:
        _check_text(text)
        node = loader.get_single_node()
        positions = Positions()
        if node is None:
            return {}, positions
        return _construct(loader, node, (), positions), positions
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        position = (mark.line + 1, mark.column + 1) if mark else (1, 1)
        _refuse(
            errors.Code.DOCUMENT_SYNTAX,
            error.problem or 'the document is not YAML',
            position,
            'correct the YAML at this place',
        )
    except yaml.YAMLError as error:
        _refuse(
            errors.Code.DOCUMENT_SYNTAX,
            str(error).splitlines()[0],
            (1, 1),
            'remove characters that YAML does not allow',
        )
    finally:
        loader.dispose()


def _refuse_model_error(error, positions):
    """Turn the first of pydantic's findings into a refusal."""
    first = error.errors()[0]
    path = tuple(part for part in first['loc'] if part != '[key]')
    message = first['msg'].removeprefix('Value error, ')
    code = errors.Code.DOCUMENT_VALUE
    if first['type'] == 'extra_forbidden':
        code = errors.Code.DOCUMENT_UNKNOWN_KEY
        message = f'the key {path[-1]!r} is unknown here'
    elif 'needs a unit' in message:
        code = errors.Code.DOCUMENT_UNIT
    where = '.'.join(str(part) for part in path)
    _refuse(code, f'{where}: {message}', positions.find(path), _REMEDIES[code])


def _validate(data, positions):
    try:
        return schema.DocumentModel.model_validate(data)
    except pydantic.ValidationError as error:
        _refuse_model_error(error, positions)


def _to_service(name, model):
    limits = documents.TargetLimits(**model.limits.model_dump())
    return documents.Service(
        name=name,
        versions=tuple(model.versions),
        current=model.current,
        resources=tuple(model.resources),
        calls=tuple(model.calls),
        limits=limits,
    )


def _to_route(model):
    return documents.Route(
        name=model.name,
        host=model.host,
        path=model.path,
        methods=tuple(model.methods),
        to=tuple(
            documents.Backend(backend.service, backend.weight)
            for backend in model.to
        ),
        resources=tuple(model.resources),
        timeout=model.timeout,
        idempotent=model.idempotent,
        retries=documents.Retries(
            model.retries.attempts, model.retries.budget
        ),
    )


def _to_move(model, old_version):
    return documents.Move(
        name=model.name,
        service=model.service,
        old_version=old_version,
        new_version=model.to,
        start=model.start.timestamp(),
        deadline=model.by.timestamp(),
        unproven_share=model.unproven_share,
        thresholds=documents.RollbackThresholds(
            model.bad.errors, model.bad.latency
        ),
        route_thresholds=tuple(
            documents.RouteThresholds(
                route, documents.RollbackThresholds(bad.errors, bad.latency)
            )
            for route, bad in sorted(model.routes.items())
        ),
    )


def _to_document(model):
    """Return the data classes; each move leaves where the last arrived."""
    moves = []
    reached = collections.ChainMap(
        {}, {name: s.current for name, s in model.services.items()}
    )
    for move in sorted(model.moves, key=lambda move: move.start):
        moves.append(_to_move(move, reached.get(move.service, '')))
        reached[move.service] = move.to
    return documents.Document(
        services=tuple(
            _to_service(name, service)
            for name, service in sorted(model.services.items())
        ),
        routes=tuple(_to_route(route) for route in model.routes),
        moves=tuple(moves),
    )


def _canonical(model):
    data = model.model_dump(mode='json', by_alias=True)
    return json.dumps(data, sort_keys=True, separators=(',', ':')).encode()


def read_yaml(text):
    """Read and check what an operator wrote.

    :param text: the document in YAML
    :returns: the `documents.Document` and its canonical content as bytes
    :raises errors.InvalidDocumentError: for the first thing that is wrong
    """
    data, positions = _load(text)
    model = _validate(data, positions)
    document = _to_document(model)
    finding = checks.first_finding(document, model)
    if finding is not None:
        _refuse(
            finding.code,
            finding.message,
            positions.find(finding.path),
            finding.remedy,
        )
    content = _canonical(model)
    if len(content) > MAX_CONTENT_BYTES:
        _refuse(
            errors.Code.DOCUMENT_TOO_LARGE,
            f'the document has {len(content)} bytes, the store takes '
            f'{MAX_CONTENT_BYTES}',
            (1, 1),
            'split services off into an environment of their own',
        )
    return document, content


def read_content(content):
    """Read a document's canonical content.

    :param content: bytes, as `read_yaml` returns them
    :returns: a `documents.Document`
    :raises errors.InvalidDocumentError: if it is no valid document
    """
    positions = Positions()
    try:
        data = json.loads(content)
    except ValueError:
        _refuse(
            errors.Code.DOCUMENT_SYNTAX,
            'the content is not JSON',
            (1, 1),
            'apply the document again',
        )
    return _to_document(_validate(data, positions))
