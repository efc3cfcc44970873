"""The accepted document as the store holds it, in JSON."""

import dataclasses
import json

from pumicestand import documents
from pumicestand import errors


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentRecord:
    """What the store holds of an environment's accepted document.

    :param change_id: names the change; a writer finds its own write by it
    :param content: the canonical text
    :param previous: the generation before this one
    :param origin: where the change came from, for example the generation
        on trial that was promoted
    """

    generation: int
    change_id: str
    digest: str
    previous: int
    origin: str
    content: str

    @property
    def accepted(self):
        """The reference that nodes pass on."""
        return documents.Accepted(self.generation, self.digest)


NO_DOCUMENT = DocumentRecord(0, '', '', 0, '', '')


def to_json(record):
    """Return a record as the store's text."""
    return json.dumps(dataclasses.asdict(record), sort_keys=True)


def from_stored(stored):
    """Return the record of a `stores.VersionedObject`.

    :raises errors.StoreRejectedError: if the store holds something else
    """
    if not stored.exists:
        return NO_DOCUMENT
    try:
        return DocumentRecord(**json.loads(stored.value))
    except (TypeError, ValueError) as error:
        raise errors.StoreRejectedError(
            f'{stored.key} version {stored.version} holds no document',
            step='read record',
            peer='store',
        ) from error
