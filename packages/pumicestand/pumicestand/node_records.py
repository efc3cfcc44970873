"""The records in the store by which nodes find each other."""

import dataclasses

from pumicestand import field_reading
from pumicestand import hop_messages
from pumicestand import target_states

KIND = 'pumicestand-nodes'


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """The address at which a node accepts links, and its target.

    :param departed: `hop_messages.Incarnation` objects of targets that have
        announced that they stop
    """

    name: str
    host: str
    port: int
    zone: str
    target: hop_messages.Target | None = None
    departed: tuple[hop_messages.Incarnation, ...] = ()


_READ_INCARNATIONS = field_reading.each(
    field_reading.RecordReader(
        hop_messages.Incarnation,
        instance=field_reading.read_name,
        started_ms=field_reading.read_natural,
    ).read
)


def _read_departed(value):
    return tuple(_READ_INCARNATIONS(value))


_TARGET_READER = field_reading.RecordReader(
    hop_messages.Target,
    instance=field_reading.read_name,
    service=field_reading.read_name,
    version=field_reading.read_label,
    host=field_reading.read_host,
    port=field_reading.read_port,
    slots=field_reading.read_count,
    state=field_reading.member_of(target_states.TargetState),
    started_ms=field_reading.read_natural,
)
_READER = field_reading.RecordReader(
    NodeRecord,
    name=field_reading.read_name,
    host=field_reading.read_host,
    port=field_reading.read_port,
    zone=field_reading.read_label,
    target=field_reading.optional(_TARGET_READER.read),
    departed=_read_departed,
)


def to_json(record):
    """Return a record as data for a JSON encoder."""
    data = dataclasses.asdict(record)
    data['departed'] = list(data['departed'])
    if record.target is not None:
        data['target']['state'] = int(record.target.state)
    return data


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
        return _READER.read(data)
    except field_reading.FieldError:
        return None
