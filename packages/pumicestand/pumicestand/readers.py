"""Reads documents in the operators' YAML and in the store's canonical JSON.

`read_yaml` validates an operator's text. An invalid text is rejected as a
whole, with the line and column of the first error. `read_content` reads the
canonical content that the store holds.
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
# In characters. Comments and indentation make the operator's text longer
# than the content.
MAX_TEXT_LENGTH = 4 * MAX_CONTENT_BYTES
# The schema has six levels. The limit keeps deeply nested text from
# exhausting the stack.
MAX_NESTING_DEPTH = 32
_MERGE_KEY = '<<'
_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)

_REMEDIES = {
    errors.Code.DOCUMENT_UNKNOWN_KEY: 'remove the key or correct its name',
    errors.Code.DOCUMENT_UNIT: 'write the unit behind the number',
    errors.Code.DOCUMENT_VALUE: 'write a value that the message allows',
}


class SourcePositions:
    """Maps paths in the document to lines and columns of its text.

    A path is a tuple of keys and indexes. Lines and columns count from 1.
    """

    def __init__(self):
        self._positions = {(): (1, 1)}

    def add(self, path, mark):
        """Record the position of the value at a path.

        :param mark: the `yaml.Mark` of the value or of its key
        """
        self._positions[path] = (mark.line + 1, mark.column + 1)

    def find(self, path):
        """Return (line, column) of a path or of its nearest known parent."""
        path = tuple(path)
        while path not in self._positions:
            path = path[:-1]
        return self._positions[path]


def _raise_error(code, message, position, remedy):
    """Raise an `errors.InvalidDocumentError` at a (line, column)."""
    line, column = position
    raise errors.InvalidDocumentError(
        code, message, line=line, column=column, remedy=remedy
    )


def _construct(loader, node, path, positions):
    """Return plain data for a YAML node and record all positions."""
    # The position of a value in a mapping is that of its key, which
    # `_construct_mapping` has recorded.
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
    """Return a mapping node as a dictionary; duplicate keys are errors."""
    result = {}
    for key_node, value_node in node.value:
        key = str(key_node.value)
        mark = key_node.start_mark
        if key in result:
            _raise_error(
                errors.Code.DOCUMENT_DUPLICATE_KEY,
                f'the key {key!r} occurs twice in one mapping',
                (mark.line + 1, mark.column + 1),
                'keep one of the two',
            )
        positions.add(path + (key,), mark)
        result[key] = _construct(loader, value_node, path + (key,), positions)
    return result


def _check_text(text):
    """Reject large, deeply nested or self-referencing text.

    Such text could take a lot of memory, time or stack when it is
    constructed, so this check comes first. Aliases and merge keys are
    rejected because a short text with nested aliases expands exponentially.
    """
    if len(text) > MAX_TEXT_LENGTH:
        _raise_error(
            errors.Code.DOCUMENT_TOO_LARGE,
            f'the text has {len(text)} characters, the limit is '
            f'{MAX_TEXT_LENGTH}',
            (1, 1),
            'move some services to an environment of their own',
        )
    depth = 0
    for event in yaml.parse(text, _LOADER):
        mark = event.start_mark
        position = (mark.line + 1, mark.column + 1)
        match event:
            case yaml.AliasEvent():
                _raise_error(
                    errors.Code.DOCUMENT_SYNTAX,
                    f'the alias *{event.anchor}; aliases are not allowed',
                    position,
                    'write the value out at this place',
                )
            case yaml.ScalarEvent(value=value) if value == _MERGE_KEY:
                _raise_error(
                    errors.Code.DOCUMENT_SYNTAX,
                    'a merge key; merge keys are not allowed',
                    position,
                    'write the keys out at this place',
                )
            case yaml.CollectionStartEvent():
                depth += 1
            case yaml.CollectionEndEvent():
                depth -= 1
        if depth > MAX_NESTING_DEPTH:
            _raise_error(
                errors.Code.DOCUMENT_SYNTAX,
                f'the nesting is deeper than {MAX_NESTING_DEPTH} levels',
                position,
                'correct the brackets or the indentation',
            )


def _load(text):
    """Return the plain data of a YAML text and its `SourcePositions`."""
    loader = _LOADER(text)
    try:
        _check_text(text)
        node = loader.get_single_node()
        positions = SourcePositions()
        if node is None:
            return {}, positions
        return _construct(loader, node, (), positions), positions
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        position = (mark.line + 1, mark.column + 1) if mark else (1, 1)
        _raise_error(
            errors.Code.DOCUMENT_SYNTAX,
            error.problem or 'the document is not YAML',
            position,
            'correct the YAML at this place',
        )
    except yaml.YAMLError as error:
        _raise_error(
            errors.Code.DOCUMENT_SYNTAX,
            str(error).splitlines()[0],
            (1, 1),
            'remove characters that YAML does not allow',
        )
    finally:
        loader.dispose()


def _raise_model_error(error, positions):
    """Raise an `errors.InvalidDocumentError` for pydantic's first error."""
    first = error.errors()[0]
    path = tuple(part for part in first['loc'] if part != '[key]')
    message = first['msg'].removeprefix('Value error, ')
    code = errors.Code.DOCUMENT_VALUE
    if first['type'] == 'extra_forbidden':
        code = errors.Code.DOCUMENT_UNKNOWN_KEY
        message = f'the key {path[-1]!r} is unknown here'
    elif 'needs a unit' in message:
        # `units` and `schema` use these words for every missing unit.
        code = errors.Code.DOCUMENT_UNIT
    dotted_path = '.'.join(str(part) for part in path)
    _raise_error(
        code,
        f'{dotted_path}: {message}',
        positions.find(path),
        _REMEDIES[code],
    )


def _validate(data, positions):
    """Return the `schema.DocumentModel` of plain data."""
    try:
        return schema.DocumentModel.model_validate(data)
    except pydantic.ValidationError as error:
        _raise_model_error(error, positions)


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
    """Return the `documents.Document` of a model.

    Each move of a service starts from the version that the move before it
    led to.
    """
    moves = []
    latest_versions = collections.ChainMap(
        {}, {name: s.current for name, s in model.services.items()}
    )
    for move in sorted(model.moves, key=lambda move: move.start):
        moves.append(_to_move(move, latest_versions.get(move.service, '')))
        latest_versions[move.service] = move.to
    return documents.Document(
        services=tuple(
            _to_service(name, service)
            for name, service in sorted(model.services.items())
        ),
        routes=tuple(_to_route(route) for route in model.routes),
        moves=tuple(moves),
    )


def _to_content(model):
    """Return the canonical content: the same bytes for equal documents."""
    data = model.model_dump(mode='json', by_alias=True)
    return json.dumps(data, sort_keys=True, separators=(',', ':')).encode()


def read_yaml(text):
    """Read and validate a document that an operator wrote.

    :param text: the document in YAML
    :returns: the `documents.Document` and its canonical content as bytes
    :raises errors.InvalidDocumentError: if the text is no valid document,
        for the first error
    """
    data, positions = _load(text)
    model = _validate(data, positions)
    document = _to_document(model)
    finding = checks.first_finding(document, model)
    if finding is not None:
        _raise_error(
            finding.code,
            finding.message,
            positions.find(finding.path),
            finding.remedy,
        )
    content = _to_content(model)
    if len(content) > MAX_CONTENT_BYTES:
        _raise_error(
            errors.Code.DOCUMENT_TOO_LARGE,
            f'the document has {len(content)} bytes, the limit of the store '
            f'is {MAX_CONTENT_BYTES}',
            (1, 1),
            'move some services to an environment of their own',
        )
    return document, content


def read_content(content):
    """Read the canonical content of a document.

    :param content: content as returned by `read_yaml`, in bytes
    :returns: a `documents.Document`
    :raises errors.InvalidDocumentError: if the content is no valid document
    """
    positions = SourcePositions()
    try:
        data = json.loads(content)
    except ValueError:
        _raise_error(
            errors.Code.DOCUMENT_SYNTAX,
            'the content is not JSON',
            (1, 1),
            'apply the document again',
        )
    return _to_document(_validate(data, positions))
