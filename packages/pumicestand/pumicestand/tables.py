"""The table of rumours that every node holds and merges.

Each entry has an order; the higher one stays. Merging is commutative,
associative and idempotent, so repeats and reordering change nothing.
"""

import dataclasses
import hashlib

from pumicestand import documents
from pumicestand import messages

TOMBSTONE_RETENTION_S = 3600.0


def rumour_key(rumour):
    """Return what a rumour is about."""
    match rumour:
        case messages.Member(name=name):
            return ('member', name)
        case messages.MoveVerdict(move=move):
            return ('verdict', move)
        case messages.Quarantine(fingerprint=fingerprint):
            return ('quarantine', fingerprint)
        case documents.Accepted():
            return ('accepted',)


def rumour_sort_key(rumour):
    """Return what decides between two rumours of one key."""
    match rumour:
        case messages.Member() | messages.MoveVerdict():
            return rumour.sort_key
        case messages.Quarantine(until=until):
            return (until,)
        case documents.Accepted(generation, digest):
            return (generation, digest)


def _entry_hash(key, order):
    text = repr((key, tuple(order))).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def is_tombstone(rumour):
    """Return whether a rumour tells of a member that is gone."""
    return (
        isinstance(rumour, messages.Member)
        and rumour.status >= messages.Status.DEAD
    )


@dataclasses.dataclass(slots=True)
class Table:
    """All rumours, the newest of each key.

    The hash covers what is not buried, so that two nodes may forget a
    member that is gone at different times and still agree.
    """

    entries: dict = dataclasses.field(default_factory=dict)
    hash: int = 0
    _buried_at: dict = dataclasses.field(default_factory=dict)
    _reachable: tuple | None = None

    def merge(self, rumour, now):
        """Take a rumour in; return whether it was news.

        :param now: wall time in seconds
        """
        key = rumour_key(rumour)
        held = self.entries.get(key)
        order = rumour_sort_key(rumour)
        if held is not None and rumour_sort_key(held) >= order:
            return False
        if held is not None:
            self._toggle(key, held)
        self.entries[key] = rumour
        self._reachable = None
        self._toggle(key, rumour)
        self._buried_at.pop(key, None)
        if is_tombstone(rumour):
            self._buried_at[key] = now
        return True

    def remove_expired(self, now):
        """Drop members long gone and quarantines that have ended."""
        for key, buried_at in list(self._buried_at.items()):
            if now - buried_at >= TOMBSTONE_RETENTION_S:
                del self.entries[key]
                del self._buried_at[key]
        for key, rumour in list(self.entries.items()):
            if not isinstance(rumour, messages.Quarantine):
                continue
            if now >= rumour.until:
                self._toggle(key, rumour)
                del self.entries[key]

    def _toggle(self, key, rumour):
        if is_tombstone(rumour):
            return
        self.hash ^= _entry_hash(key, rumour_sort_key(rumour))

    def member(self, name):
        """Return the record of a member, or None."""
        return self.entries.get(('member', name))

    def verdict(self, move):
        """Return the verdict on a move, or None."""
        return self.entries.get(('verdict', move))

    def quarantine(self, fingerprint):
        """Return the quarantine of a fingerprint, or None."""
        return self.entries.get(('quarantine', fingerprint))

    def members(self):
        """Return the records of all members, gone ones included."""
        return [
            entry
            for entry in self.entries.values()
            if isinstance(entry, messages.Member)
        ]

    def reachable(self):
        """Return the members that are alive or only suspected."""
        if self._reachable is None:
            self._reachable = tuple(
                member
                for member in self.members()
                if member.status <= messages.Status.SUSPECT
            )
        return self._reachable
