"""Tests of how nodes are started on the machines of a soak."""

import json
import pathlib
import sys

import pytest
import trio

from soak import clusters
from soak import machines

# Tells what the process got, on a descriptor that no output takes.
SCRIPT = """
import json, os, resource, sys
seen = {
    'environment': dict(os.environ),
    'folder': os.getcwd(),
    'limits': resource.getrlimit(resource.RLIMIT_NOFILE),
    'has_output': os.path.exists('/proc/self/fd/1'),
    'output': os.path.exists('/proc/self/fd/1')
    and os.readlink('/proc/self/fd/1'),
}
print(json.dumps(seen), file=sys.stderr)
print('{}')
"""


def make_deployment(folder):
    script = folder / 'script.py'
    script.write_text(SCRIPT)
    return machines.Deployment(
        folder, ('-S', str(script)), str(folder), (9464, '/metrics')
    )


def make_machine(folder, output):
    deployment = make_deployment(folder)
    return next(
        machine
        for seed in range(200)
        if (machine := machines.Machine(deployment, seed)).output is output
    )


def run_on(folder, output):
    """Return the machine and what a process on it got."""
    machine = make_machine(folder, output)
    log = folder / 'node.log'

    async def main():
        async with trio.open_nursery() as nursery:
            process = machine.start('node', 'node.conf', log, nursery)
            await clusters.wait_for_exit(process, 60)
            if output in (
                machines.Output.LEFT_PIPE,
                machines.Output.LATE_PIPE,
            ):
                while not log.exists():
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    trio.run(main)
    text = log.with_suffix('.err').read_text()
    return machine, json.loads(text.splitlines()[0])


@pytest.mark.parametrize('output', machines.Output)
def test_process_gets_limits_and_output_of_its_machine(tmp_path, output):
    machine, seen = run_on(tmp_path, output)
    assert seen['limits'][1] == machine.max_fds
    assert seen['folder'] == str(tmp_path)
    expected = {
        machines.Output.FILE: str(tmp_path / 'node.log'),
        machines.Output.LATE_PIPE: 'pipe:',
        machines.Output.LEFT_PIPE: 'pipe:',
        machines.Output.FULL_DEVICE: '/dev/full',
        machines.Output.CLOSED: '',
    }[output]
    assert (seen['output'] or '').startswith(expected)
    assert seen['has_output'] == (output is not machines.Output.CLOSED)


def test_process_gets_no_other_variables_of_the_soak(tmp_path, monkeypatch):
    monkeypatch.setenv('LOGURU_LEVEL', 'DEBUG')
    _, seen = run_on(tmp_path, machines.Output.FILE)
    assert set(seen['environment']) <= {
        *('PATH', 'HOME', 'LANG', 'PYTHONPATH', 'PUMICESTAND_SETTINGS'),
        # The interpreter sets it where no locale is set.
        'LC_CTYPE',
    }


def test_deployment_is_that_of_the_deploy_file():
    deployment = machines.Deployment.from_sources(clusters.ROOT)
    assert deployment.arguments == ('-S', 'platform/node.py')
    assert deployment.metrics_address == (9464, '/metrics')
    assert pathlib.Path(deployment.module_path.split(':')[-1]) in map(
        pathlib.Path, sys.path
    )


def test_line_that_is_cut_in_the_middle_of_a_log_is_found(tmp_path):
    (tmp_path / 'a.log').write_bytes(b'{"x": 1}\n{"x": 2{"x": 3}\n{"x"')
    assert list(machines.find_torn_lines(tmp_path)) == [
        ('a.log', b'{"x": 2{"x": 3}')
    ]
