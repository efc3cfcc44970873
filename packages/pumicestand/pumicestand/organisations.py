"""Decides which calls may run, by the key of the client's organisation."""

import dataclasses

from pumicestand import documents


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The call may run.

    :param organisation: `documents.Organisation` that the call belongs to,
        None for calls on public routes and nested calls
    """

    organisation: documents.Organisation | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownKey:
    """The call has no key, or one that no organisation has."""

    is_missing: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoFreshProof:
    """The node can't tell whether the key is still valid."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownParent:
    """The call may be nested, but the node does not know yet what runs."""


Decision = Admitted | UnknownKey | NoFreshProof | UnknownParent

_ADMITTED = Admitted()


class KeyTable:
    """Finds the organisation of a key among those of one document.

    A look-up takes the same time for any number of organisations.
    """

    def __init__(self):
        self._organisations = ()
        self._by_key = {}

    @property
    def is_empty(self):
        """Whether there are no organisations, so that calls need no key."""
        return not self._organisations

    def update(self, document):
        """Use the organisations of a document.

        The table is built again only if they have changed.

        :param document: `documents.Document`
        :returns: whether they have changed
        """
        organisations = document.organisations
        if organisations == self._organisations:
            return False
        self._by_key = {
            key.encode(): Admitted(organisation)
            for organisation in organisations
            for key in organisation.keys
        }
        self._organisations = organisations
        return True

    def decide(self, is_public, key, is_nested, may_be_nested, is_fresh):
        """Return the `Decision` on a call.

        :param is_public: whether the route is public
        :param key: the key that the client sent, as bytes; None if it sent
            none
        :param is_nested: whether a call that runs at the target on this VM
            has made the call
        :param may_be_nested: whether the call looks nested and the node has
            not been running for long enough to know
        :param is_fresh: whether the configuration was the newest one recently
            enough to trust its keys
        """
        if not self._organisations or is_public or is_nested:
            return _ADMITTED
        if not key:
            if may_be_nested:
                return UnknownParent()
            return UnknownKey(is_missing=True)
        if not is_fresh:
            # A key that is not in the table may be a new one.
            return NoFreshProof()
        return self._by_key.get(key) or UnknownKey(is_missing=False)
