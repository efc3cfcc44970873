"""Tests of header lines in one buffer."""

import sys

from hypothesis import given
from hypothesis import strategies

from pumicestand_node import header_lines

NAMES = strategies.sampled_from([b'a', b'host', b'x-a', b'a-x', b'via'])
VALUES = strategies.binary(max_size=12).map(
    lambda value: value.replace(b'\r', b'').replace(b'\n', b'')
)
LINES = strategies.lists(strategies.tuples(NAMES, VALUES), max_size=20)


@given(LINES)
def test_lines_are_those_of_a_list(pairs):
    lines = header_lines.HeaderLines(pairs)
    assert list(lines) == pairs
    assert len(lines) == len(pairs)
    for name in (b'a', b'host', b'x-a', b'none'):
        values = [value for key, value in pairs if key == name]
        assert lines.values(name) == values
        assert lines.first(name) == (values[0] if values else None)


def test_line_breaks_do_not_make_lines():
    lines = header_lines.HeaderLines([(b'a', b'1\r\n host: b')])
    assert lines.first(b'host') is None
    assert len(list(lines)) == 1


def test_many_short_lines_cost_what_they_weigh():
    lines = header_lines.HeaderLines()
    for _ in range(4_000):
        lines.append(b'a', b'')
    assert lines.size == 4_000 * len(b'a: \r\n') + 2
    assert sys.getsizeof(lines._data) < 1.2 * lines.size
