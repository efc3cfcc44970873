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
    text = f'{key}\0{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
