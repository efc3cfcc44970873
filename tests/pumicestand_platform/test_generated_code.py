"""Tests of the file with code that was generated at build time."""

import importlib.util

import pytest

from pumicestand_platform import generated_code


@pytest.mark.parametrize(
    'data',
    [b'', b'other', importlib.util.MAGIC_NUMBER, None],
    ids=['empty', 'other interpreter', 'truncated', 'missing'],
)
def test_unusable_file_costs_only_time(tmp_path, data):
    """A build that was interrupted must not stop every start."""
    path = tmp_path / 'generated.code'
    if data is not None:
        path.write_bytes(data)
    assert generated_code._read(path) == {}


def test_recorded_code_is_read_again(tmp_path):
    path = tmp_path / 'generated.code'
    with generated_code.recorded(path):
        generated_code.dataclasses.make_dataclass('Point', ['x', 'y'])
    assert generated_code._read(path)
    assert [file.name for file in tmp_path.iterdir()] == [path.name]
