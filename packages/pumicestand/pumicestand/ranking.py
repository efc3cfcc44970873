"""Rendezvous ranking: all nodes work out the same order by themselves."""

import hashlib


def rank(key, names):
    """Return names in their order for a key, best first.

    When a name goes, the order of the others stays.

    >>> order = rank('document', ['a', 'b', 'c'])
    >>> [n for n in order if n != order[0]] == rank('document', order[1:])
    True
    """
    return sorted(names, key=lambda name: _weight(key, name))


def _weight(key, name):
    data = f'{key}\0{name}'.encode()
    return hashlib.blake2b(data, digest_size=8).digest()


class Memo:
    """Keeps what was worked out from a state until the state changes."""

    def __init__(self):
        self._state = None
        self._values = {}

    def get(self, state, key, compute):
        """Return what `compute` returns for a key and state.

        :param state: anything that can be compared, such as a table's hash
        """
        if state != self._state:
            self._state = state
            self._values = {}
        if key not in self._values:
            self._values[key] = compute()
        return self._values[key]
