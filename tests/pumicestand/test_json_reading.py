"""Tests that values which can't be decoded do not hide the others."""

import json
import math

import pytest

from pumicestand import json_reading

ENTRY = {'name': 'a', 'text': 'with "quotes", \\ and [brackets', 'n': [1, {}]}


@pytest.mark.parametrize(
    ('value', 'expected'),
    [
        (b'[' * 100_000 + b']' * 100_000, None),
        (b'{"x":' * 100_000 + b'1' + b'}' * 100_000, None),
        (b'9' * 5000, math.inf),
        (b'-' + b'9' * 5000, -math.inf),
        (b'1e400', math.inf),
        (b'"\xff"', '\udcff'),
        (b'"\\ud800"', '\ud800'),
        (b'7', 7),
    ],
    ids=lambda value: repr(value)[:12],
)
def test_one_value_does_not_hide_the_others(value, expected):
    """The machines that read the list followed it no more."""
    entry = json.dumps(ENTRY).encode()
    page = b'{"items": [%b, {"odd": %b}, %b]}' % (entry, value, entry)
    first, odd, last = json_reading.decode(page)['items']
    assert first == last == ENTRY
    found = odd['odd']
    if expected is None:
        while found not in (None, 1):
            (found,) = found if isinstance(found, list) else found.values()
        assert found is None
    else:
        assert found == expected


@pytest.mark.parametrize(
    'data',
    [b'', b'x', b'{', b'[1', b'[1]]', b'"', b'[' * 9999, b'{"a":}', b'\xff'],
)
def test_text_that_is_not_json_is_rejected(data):
    with pytest.raises(ValueError):
        json_reading.decode(data)


def test_a_broken_text_does_not_stall_the_process():
    """Each escaped quote was taken for the start of another string."""
    with pytest.raises(ValueError):
        json_reading.decode(b'["' + b'\\"' * 1_000_000)


def test_sound_text_is_decoded_as_usual():
    text = json.dumps([ENTRY, 1.5, None, True, '\U0001f600'])
    assert json_reading.decode(text.encode()) == json.loads(text)
