"""Decodes JSON of which single values can't be decoded.

A page of the store holds objects of many writers. What Python's decoder does
not accept in one of them must not hide the others.
"""

import json
import re

# Depth of lists and mappings from which values are left out. The decoder
# accepts several hundred.
MAX_DEPTH = 64
_MAX_INTEGER_LENGTH = 4300
# A string without an end is one token up to the end of the text, so that the
# text is searched once only.
_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*+"?|[\[\]{}]', re.DOTALL)


def decode(data):
    """Return the value of JSON text in UTF-8.

    Values that are nested too deeply become None, integers of too many digits
    infinite, and bytes that are not UTF-8 unpaired surrogates. Readers of
    fields reject all three.

    >>> decode(b'{"a": 1}')
    {'a': 1}
    >>> decode(b'[1, ' + b'[' * 5000 + b']' * 5000 + b', 3]')[::2]
    [1, 3]

    :param data: bytes
    :raises ValueError: if the text as a whole is not JSON
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        return _decode_tolerantly(data.decode('utf-8', 'surrogateescape'))


def _decode_tolerantly(text):
    return json.loads(_without_deep_values(text), parse_int=_to_integer)


def _to_integer(digits):
    if len(digits) > _MAX_INTEGER_LENGTH:
        return float('-inf' if digits.startswith('-') else 'inf')
    return int(digits)


def _without_deep_values(text):
    """Replace lists and mappings at `MAX_DEPTH` by null."""
    parts = []
    depth = 0
    kept_until = 0
    for token in _TOKEN.finditer(text):
        match token.group():
            case '[' | '{':
                depth += 1
                if depth == MAX_DEPTH:
                    parts += (text[kept_until : token.start()], 'null')
            case ']' | '}':
                depth -= 1
                if depth == MAX_DEPTH - 1:
                    kept_until = token.end()
    if depth > 0:
        raise ValueError(f'{depth} lists or mappings are not closed')
    parts.append(text[kept_until:])
    return ''.join(parts)
