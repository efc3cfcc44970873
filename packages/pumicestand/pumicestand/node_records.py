"""The records in the store by which nodes find each other."""

import dataclasses

import pydantic

from pumicestand import hop_messages

KIND = 'pumicestand-nodes'


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """The address at which a node accepts links, and its target."""

    name: str
    host: str
    port: int
    zone: str
    target: hop_messages.Target | None = None


_ADAPTER = pydantic.TypeAdapter(NodeRecord)


def to_json(record):
    """Return a record as data for a JSON encoder."""
    return _ADAPTER.dump_python(record, mode='json')


def from_json(data):
    """Return the record of decoded JSON data, None if the data is invalid.

    Other writers to the store may have changed the data.

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
