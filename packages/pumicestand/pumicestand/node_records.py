"""What the store keeps of each node, so that nodes find each other."""

import dataclasses

import pydantic

from pumicestand import hop_messages

KIND = 'pumicestand-nodes'


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """Where a node takes links, and the target beside it."""

    name: str
    host: str
    port: int
    zone: str
    target: hop_messages.Target | None = None


_ADAPTER = pydantic.TypeAdapter(NodeRecord)


def to_json(record):
    """Return a record as JSON data."""
    return _ADAPTER.dump_python(record, mode='json')


def from_json(data):
    """Return the record of JSON data, None if another writer spoilt it.

    >>> record = NodeRecord('a', '10.0.0.1', 7000, 'zone-a')
    >>> from_json(to_json(record)) == record
    True
    >>> from_json({'name': 7}) is None
    True
    """
    try:
        return _ADAPTER.validate_python(data)
    except pydantic.ValidationError:
        return None
