"""Tests of the build that the deploy file names."""

import os
import pathlib
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).parents[2]
# Stands for the interpreter; an installation leaves a folder, and ends in the
# middle if the file `interrupt` exists.
INTERPRETER = """#!/bin/sh
echo "$*" >> calls
case "$*" in
    *"pip install"*) mkdir -p target/deps; [ ! -e interrupt ] ;;
esac
"""


def run_build(folder):
    """Run the build in a folder; return whether it succeeded."""
    text = (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
    result = subprocess.run(
        ['sh', '-c', tomllib.loads(text)['build']],
        cwd=folder,
        env={**os.environ, 'PATH': f'{folder}:{os.environ["PATH"]}'},
        check=False,
    )
    return result.returncode == 0


def count_installations(folder):
    calls = (folder / 'calls').read_text(encoding='utf-8').splitlines()
    return sum('pip install' in call for call in calls)


def make_checkout(folder):
    interpreter = folder / 'python3'
    interpreter.write_text(INTERPRETER, encoding='utf-8')
    interpreter.chmod(0o755)
    for path in (
        'requirements.lock',
        'deploy/requirements.txt',
        'packages/pumicestand/pumicestand/a.py',
        'packages/pumicestand-node/pumicestand_node/a.py',
    ):
        file = folder / path
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_bytes(b'')
        os.utime(file, (1, 1))


def test_a_build_after_an_interrupted_one_installs_all_packages(tmp_path):
    """The node did not start, as packages were missing."""
    make_checkout(tmp_path)
    (tmp_path / 'interrupt').touch()
    assert not run_build(tmp_path)
    (tmp_path / 'interrupt').unlink()
    assert run_build(tmp_path)
    assert count_installations(tmp_path) == 2


def test_a_build_after_a_complete_one_installs_nothing(tmp_path):
    make_checkout(tmp_path)
    assert run_build(tmp_path)
    assert run_build(tmp_path)
    assert count_installations(tmp_path) == 1
