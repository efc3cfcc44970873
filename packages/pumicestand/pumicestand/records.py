"""The record of the accepted document, which the store holds as JSON."""

import dataclasses
import json

from pumicestand import documents
from pumicestand import errors


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentRecord:
    """The accepted document of an environment with its history.

    The fields are the keys of the JSON object in the store.

    :param generation: generation of the document, 0 for none
    :param change_id: random id of the change, by which a writer recognises
        its own write if the response was lost
    :param digest: SHA-256 of the content, in hexadecimal
    :param previous: generation that was accepted before, 0 for none
    :param origin: environment and generation that the content was promoted
        from, empty if it was not promoted
    :param content: canonical content, as text
    """

    generation: int
    change_id: str
    digest: str
    previous: int
    origin: str
    content: str

    @property
    def accepted(self):
        """The `documents.Accepted` by which nodes refer to the document."""
        return documents.Accepted(self.generation, self.digest)


NO_DOCUMENT = DocumentRecord(0, '', '', 0, '', '')


def to_json(record):
    """Return a `DocumentRecord` as JSON text for the store."""
    return json.dumps(dataclasses.asdict(record), sort_keys=True)


def from_stored(stored):
    """Return the `DocumentRecord` in an object of the store.

    :param stored: a `stores.VersionedObject`
    :returns: the record, `NO_DOCUMENT` if the object does not exist
    :raises errors.StoreRejectedError: if the object holds no such record
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
