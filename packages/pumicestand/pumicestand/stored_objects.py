"""What the product needs of the platform's store, whatever it speaks.

The adapter's client returns these types and raises the errors of `errors`.
"""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One object as the store holds it.

    :param revision: of its last change, among all changes of the store
    :param created_revision: the revision at which it was created
    :param spec: what its owner wrote, as read from JSON
    :param status: what others wrote of it, as read from JSON
    """

    kind: str
    name: str
    revision: int
    created_revision: int = 0
    spec: typing.Any = None
    status: typing.Any = None
    is_deleting: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind at one revision of the store."""

    items: tuple[StoredObject, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One change that a watch saw."""

    object: StoredObject
    is_deleted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Events:
    """Changes after a revision, up to `revision`."""

    events: tuple[Event, ...]
    revision: int
