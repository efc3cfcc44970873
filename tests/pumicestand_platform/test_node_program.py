"""Tests of the node's program before its modules are imported."""

import os
import pathlib
import signal
import subprocess
import sys

import pytest

import pumicestand
import pumicestand_node

ROOT = pathlib.Path(__file__).parents[2]
PACKAGE_PATHS = [
    str(pathlib.Path(package.__file__).parents[1])
    for package in (pumicestand, pumicestand_node)
]
# Stands for a library that the program imports.
LIBRARY = """
import os
import signal
import sys
{body}
sys.stdout = sys.stderr = None
os._exit(7)
"""


def run_program(paths, **options):
    return subprocess.run(
        [sys.executable, '-S', str(ROOT / 'platform' / 'node.py')],
        env={**os.environ, 'PYTHONPATH': os.pathsep.join(paths)},
        check=False,
        **options,
    )


def run_with_library(folder, body, **options):
    """Run the program with a library that runs code and exits with 7."""
    text = LIBRARY.format(body=body)
    (folder / 'attr.py').write_text(text, encoding='utf-8')
    return run_program([str(folder)], **options)


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
def test_stop_during_the_imports_ends_the_process_with_code_0(
    tmp_path, number
):
    body = f'os.kill(os.getpid(), {number:d})'
    result = run_with_library(tmp_path, body, capture_output=True)
    assert (result.returncode, result.stderr) == (0, b'')


def test_reload_during_the_imports_does_not_end_the_process(tmp_path):
    body = 'os.kill(os.getpid(), signal.SIGHUP)'
    assert run_with_library(tmp_path, body).returncode == 7


def test_no_socket_takes_the_number_of_a_closed_standard_stream(tmp_path):
    """The log was written to it."""
    body = f"""
import socket
number = socket.socket().fileno()
with open({str(tmp_path / 'number')!r}, 'w') as file:
    file.write(str(number))
"""
    result = run_with_library(
        tmp_path, body, preexec_fn=lambda: os.closerange(0, 3)
    )
    assert result.returncode == 7
    assert int((tmp_path / 'number').read_text(encoding='utf-8')) > 2


@pytest.mark.parametrize('stream', ['stdout', 'stderr'])
def test_full_output_does_not_change_the_exit_code(tmp_path, stream):
    with open('/dev/full', 'wb') as full:
        result = run_program(
            [*PACKAGE_PATHS, *sys.path],
            cwd=tmp_path,
            **{'stdout': subprocess.DEVNULL, 'stderr': subprocess.DEVNULL}
            | {stream: full},
        )
    # There is no settings file.
    assert result.returncode == 2
