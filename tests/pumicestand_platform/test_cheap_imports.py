"""Tests of generated code that is reused and of modules that are deferred."""

import subprocess
import sys

import pytest

PRELUDE = """
import sys
sys.path[:0] = {path!r}
from pumicestand_platform import generated_code
from pumicestand_platform import late_modules
"""
# Prints the texts that are compiled, and what a data class does.
DATA_CLASSES = """
compiled = []
generated_code.compile = lambda text, *rest, **options: (
    compiled.append(text), compile(text, *rest, **options))[1]
with generated_code.{mode}({file!r}):
    import attr
    import dataclasses
    @dataclasses.dataclass(frozen=True, slots=True)
    class Point:
        x: int
        y: int = {default}
    @attr.frozen
    class Pair:
        a: int
        b: int = 2
assert 'exec' not in vars(dataclasses)
assert 'compile' not in vars(attr._make)
print(len(compiled), Point(1), Pair(3), Point(1) == Point(1, 2),
      len({{Point(1), Point(1)}}), Pair(3) == Pair(3))
"""
DEFERRED = """
with late_modules.deferred():
    import asyncio
    import hashlib
    import ssl
    import trio
    import capnp
    base = asyncio.BufferedProtocol
loaded = {'_hashlib', '_ssl', 'asyncio.base_events'} & set(sys.modules)
assert not loaded, loaded
assert hashlib.sha256(b'').hexdigest().startswith('e3b0c442')
early = ssl
assert early.SSLError is early.SSLError and '_ssl' in sys.modules
import ssl
assert ssl.SSLError is early.SSLError and hasattr(ssl, '__file__')
late = asyncio
import asyncio
assert asyncio is not late and asyncio.run is late.run
async def main():
    await asyncio.sleep(0)
    return 7
assert asyncio.run(main()) == 7
async def get_thread_name():
    return await trio.to_thread.run_sync(
        lambda: open('/proc/thread-self/comm').read(), thread_name='known')
assert trio.run(get_thread_name) == 'known\\n'
"""


def run(program, *options):
    """Return the output of a program run by another interpreter."""
    prelude = PRELUDE.format(path=sys.path)
    result = subprocess.run(
        [sys.executable, *options, '-c', prelude + program],
        check=True,
        capture_output=True,
        text=True,
    )
    return result.stdout.split(maxsplit=1)


def run_data_classes(file, mode, default=2):
    program = DATA_CLASSES.format(mode=mode, file=str(file), default=default)
    return run(program)


def test_recorded_code_is_reused_without_being_compiled(tmp_path):
    file = tmp_path / 'generated.code'
    first_count, first = run_data_classes(file, 'recorded')
    assert int(first_count) > 5
    second_count, second = run_data_classes(file, 'reused')
    assert (second_count, second) == ('0', first)


def test_changed_class_is_compiled_anew(tmp_path):
    """An outdated file must not change what a class does."""
    file = tmp_path / 'generated.code'
    file.write_bytes(b'')
    _, expected = run_data_classes(file, 'reused', default='int(5)')
    run_data_classes(file, 'recorded')
    _, actual = run_data_classes(file, 'reused', default='int(5)')
    assert actual == expected
    assert 'y=5' in actual


def test_file_that_is_missing_or_of_another_interpreter_is_passed_over(
    tmp_path,
):
    file = tmp_path / 'generated.code'
    expected = run_data_classes(file, 'reused')
    file.write_bytes(b'\0\0\0\0junk')
    assert run_data_classes(file, 'reused') == expected


def test_deferred_modules_are_loaded_at_first_use():
    run(DEFERRED, '-S')


@pytest.mark.parametrize('kept', [0.0, 0.02, 0.5, 0.98])
@pytest.mark.parametrize('is_filled', [False, True])
def test_file_of_an_interrupted_build_is_passed_over(
    tmp_path, kept, is_filled
):
    """A loss of power leaves it cut, or filled with zeros."""
    file = tmp_path / 'generated.code'
    run_data_classes(file, 'recorded')
    data = file.read_bytes()
    expected = run_data_classes(tmp_path / 'missing', 'reused')
    size = int(kept * len(data))
    rest = bytes(len(data) - size) if is_filled else b''
    file.write_bytes(data[:size] + rest)
    assert run_data_classes(file, 'reused') == expected
