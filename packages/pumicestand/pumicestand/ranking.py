"""Rendezvous hashing: each node computes the same ranking on its own."""

import hashlib


def rank(key, names):
    """Return names ranked for a key, best first.

    If a name is removed, the ranking of the others does not change.

    >>> order = rank('document', ['a', 'b', 'c'])
    >>> [n for n in order if n != order[0]] == rank('document', order[1:])
    True
    """
    return sorted(names, key=lambda name: _weight(key, name))


def _weight(key, name):
    data = f'{key}\0{name}'.encode()
    return hashlib.blake2b(data, digest_size=8).digest()


class Memo:
    """Caches values computed from a state until the state changes."""

    def __init__(self):
        self._state = None
        self._values = {}

    def get(self, state, key, compute):
        """Return the cached value of a key, computed if it is missing.

        :param state: any value that can be compared, such as a table's hash;
            if it differs from the last one, all cached values are dropped
        :param compute: function without parameters that returns the value
        """
        if state != self._state:
            self._state = state
            self._values = {}
        if key not in self._values:
            self._values[key] = compute()
        return self._values[key]
