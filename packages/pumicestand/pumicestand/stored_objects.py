"""The objects of the platform's store, independent of its protocol.

The adapter's client returns these types and raises the errors of `errors`.
"""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A state of the store.

    The store may come back from an older copy. Then its era rises by one, and
    revisions are given out again: only with their era can they be compared.
    """

    era: int = 0
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object as the store holds it.

    :param revision: revision of the store at the object's last change
    :param era: era of the store that the revision belongs to
    :param created_revision: revision of the store at its creation
    :param spec: the part that the owner writes, decoded from JSON
    :param status: the part that others write, decoded from JSON
    :param is_deleting: whether the object is about to be deleted
    """

    kind: str
    name: str
    revision: int
    created_revision: int = 0
    spec: typing.Any = None
    status: typing.Any = None
    is_deleting: bool = False
    era: int = 0

    @property
    def position(self):
        """The `Position` of the object's last change."""
        return Position(self.era, self.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind at one position of the store."""

    items: tuple[StoredObject, ...]
    position: Position


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A change of an object that a watch returned."""

    object: StoredObject
    is_deleted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Events:
    """The changes that a watch returned, up to and including `position`."""

    events: tuple[Event, ...]
    position: Position
