"""What the store keeps of each node, so that nodes find each other."""

import dataclasses

from pumicestand import hop_messages
from pumicestand import messages

KIND = 'pumicestand-nodes'


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """Where a node takes links, and the target beside it."""

    name: str
    host: str
    port: int
    zone: str
    target: hop_messages.Target | None = None


def write(record):
    """Return a record as JSON data."""
    data = dataclasses.asdict(record)
    if record.target is not None:
        data['target']['state'] = record.target.state.name
    return data


def read(data):
    """Return the record of JSON data, None if another writer spoilt it.

    >>> record = NodeRecord('a', '10.0.0.1', 7000, 'zone-a')
    >>> read(write(record)) == record
    True
    >>> read({'name': 7}) is None
    True
    """
    try:
        target = data['target']
        if target is not None:
            state = messages.TargetState[target['state']]
            target = hop_messages.Target(**{**target, 'state': state})
        record = NodeRecord(
            name=data['name'],
            host=data['host'],
            port=data['port'],
            zone=data['zone'],
            target=target,
        )
    except (KeyError, TypeError):
        return None
    texts = (record.name, record.host, record.zone)
    if not all(isinstance(text, str) for text in texts):
        return None
    return record if isinstance(record.port, int) else None
