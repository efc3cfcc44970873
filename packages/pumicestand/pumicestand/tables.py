"""The table of state updates that every node holds and merges.

Of two updates with one key, the table keeps the one with the higher sort
key. Merging is commutative, associative and idempotent, so that updates may
arrive repeatedly and in any order.
"""

import dataclasses
import hashlib

from pumicestand import documents
from pumicestand import messages

# A node that is cut off for less than this time can't bring back the record
# of a member that has died or left meanwhile.
TOMBSTONE_RETENTION_S = 3600.0


def key_of(update):
    """Return the key that updates about one thing share."""
    match update:
        case messages.Member(name=name):
            return ('member', name)
        case messages.MoveVerdict(move=move):
            return ('verdict', move)
        case messages.Quarantine(fingerprint=fingerprint):
            return ('quarantine', fingerprint)
        case documents.Accepted():
            return ('accepted',)


def sort_key_of(update):
    """Return the sort key of an update; of one key, the highest wins."""
    match update:
        case messages.Member() | messages.MoveVerdict():
            return update.sort_key
        case messages.Quarantine(until=until):
            return (until,)
        case documents.Accepted(generation, digest):
            return (generation, digest)


def _entry_hash(key, sort_key):
    text = repr((key, tuple(sort_key))).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def is_tombstone(update):
    """Return whether an update records a dead or departed member."""
    return (
        isinstance(update, messages.Member)
        and update.status >= messages.Status.DEAD
    )


@dataclasses.dataclass(slots=True)
class Table:
    """The newest update of each key.

    The hash leaves tombstones out, so that the hashes of two nodes agree
    even if the nodes remove a tombstone at different times.

    :param entries: updates by their keys
    :param hash: XOR of the hashes of all entries that are no tombstones
    """

    entries: dict = dataclasses.field(default_factory=dict)
    hash: int = 0
    _dead_since: dict = dataclasses.field(default_factory=dict)
    _reachable: tuple | None = None

    def merge(self, update, now):
        """Merge an update; return whether it is newer than the entry held.

        :param now: wall time in seconds
        """
        key = key_of(update)
        current = self.entries.get(key)
        sort_key = sort_key_of(update)
        if current is not None and sort_key_of(current) >= sort_key:
            return False
        if current is not None:
            self._toggle_in_hash(key, current)
        self.entries[key] = update
        self._reachable = None
        self._toggle_in_hash(key, update)
        self._dead_since.pop(key, None)
        if is_tombstone(update):
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
        for key, update in list(self.entries.items()):
            if not isinstance(update, messages.Quarantine):
                continue
            if now >= update.until:
                self._toggle_in_hash(key, update)
                del self.entries[key]

    def _toggle_in_hash(self, key, update):
        """Add an entry to the hash, or remove it: XOR does either."""
        if is_tombstone(update):
            return
        self.hash ^= _entry_hash(key, sort_key_of(update))

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
