"""The table of rumours that every node holds and merges.

Of two rumours with one key, the table keeps the one with the higher sort
key. Merging is commutative, associative and idempotent, so that rumours may
arrive repeatedly and in any order.
"""

import dataclasses
import hashlib

from pumicestand import documents
from pumicestand import messages

TOMBSTONE_RETENTION_S = 3600.0


def rumour_key(rumour):
    """Return the key that rumours about one thing share."""
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
    """Return the sort key of a rumour; of one key, the highest wins."""
    match rumour:
        case messages.Member() | messages.MoveVerdict():
            return rumour.sort_key
        case messages.Quarantine(until=until):
            return (until,)
        case documents.Accepted(generation, digest):
            return (generation, digest)


def _entry_hash(key, sort_key):
    text = repr((key, tuple(sort_key))).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def is_tombstone(rumour):
    """Return whether a rumour is the record of a dead or departed member."""
    return (
        isinstance(rumour, messages.Member)
        and rumour.status >= messages.Status.DEAD
    )


@dataclasses.dataclass(slots=True)
class Table:
    """The newest rumour of each key.

    The hash leaves tombstones out, so that the hashes of two nodes agree
    even if the nodes remove a tombstone at different times.

    :param entries: rumours by their keys
    :param hash: XOR of the hashes of all entries that are no tombstones
    """

    entries: dict = dataclasses.field(default_factory=dict)
    hash: int = 0
    _dead_since: dict = dataclasses.field(default_factory=dict)
    _reachable: tuple | None = None

    def merge(self, rumour, now):
        """Merge a rumour; return whether it was newer than the entry held.

        :param now: wall time in seconds
        """
        key = rumour_key(rumour)
        current = self.entries.get(key)
        sort_key = rumour_sort_key(rumour)
        if current is not None and rumour_sort_key(current) >= sort_key:
            return False
        if current is not None:
            self._toggle_in_hash(key, current)
        self.entries[key] = rumour
        self._reachable = None
        self._toggle_in_hash(key, rumour)
        self._dead_since.pop(key, None)
        if is_tombstone(rumour):
            self._dead_since[key] = now
        return True

    def remove_expired(self, now):
        """Remove old tombstones and quarantines that have ended.

        :param now: wall time in seconds
        """
        for key, dead_since in list(self._dead_since.items()):
            if now - dead_since >= TOMBSTONE_RETENTION_S:
                del self.entries[key]
                del self._dead_since[key]
        for key, rumour in list(self.entries.items()):
            if not isinstance(rumour, messages.Quarantine):
                continue
            if now >= rumour.until:
                self._toggle_in_hash(key, rumour)
                del self.entries[key]

    def _toggle_in_hash(self, key, rumour):
        """Add an entry to the hash, or remove it: XOR does either."""
        if is_tombstone(rumour):
            return
        self.hash ^= _entry_hash(key, rumour_sort_key(rumour))

    def member(self, name):
        """Return the record of the member with a name, or None."""
        return self.entries.get(('member', name))

    def verdict(self, move):
        """Return the verdict on a move, or None."""
        return self.entries.get(('verdict', move))

    def quarantine(self, fingerprint):
        """Return the quarantine of a fingerprint, or None."""
        return self.entries.get(('quarantine', fingerprint))

    def members(self):
        """Return the records of all members, tombstones included."""
        return [
            entry
            for entry in self.entries.values()
            if isinstance(entry, messages.Member)
        ]

    def reachable(self):
        """Return the members that are alive or suspected."""
        if self._reachable is None:
            self._reachable = tuple(
                member
                for member in self.members()
                if member.status <= messages.Status.SUSPECT
            )
        return self._reachable
