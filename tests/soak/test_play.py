"""Test of a short soak of the real programs.

Promises with a time limit are checked only by `make soak`, because a loaded
machine can break them.
"""

import pathlib
import subprocess
import sys
import time

import pytest
import trio

from soak import clusters
from soak import machines
from soak import play
from soak import records


def test_short_soak_has_no_findings():
    verdict, record, _ = trio.run(play.run_soak, 1, 3, 8.0, False)
    assert verdict.findings == ()
    assert len(record.calls) > 50
    assert record.disruptions


def test_short_soak_of_the_parts_has_no_findings():
    parts = tuple(p for p in records.Part if p is not records.Part.MACHINE)
    verdict, record, _ = trio.run(play.run_soak, 1, 3, 8.0, False, None, parts)
    assert verdict.findings == ()
    assert any(run.organisation for run in record.runs)
    kinds = {call.kind for call in record.calls}
    assert records.CallKind.LONG in kinds
    assert 500 in record.answers.values()
    assert any(received.caller for received in record.responses)


@pytest.mark.parametrize('seed', [15, 29])
def test_short_soak_of_machines_has_no_findings(seed):
    verdict, record, _ = trio.run(
        play.run_soak,
        seed,
        3,
        9.0,
        False,
        None,
        (records.Part.MACHINE,),
        # The build would need the package registry, and an older one in
        # target/ would hide the sources at hand.
        machines.Deployment.from_sources(clusters.ROOT),
    )
    assert verdict.findings == ()
    played = {disruption.fault for disruption in record.disruptions}
    assert len(played & records.MACHINE_FAULTS) >= 4
    assert len(record.calls) > 50


def test_soak_that_is_told_to_stop_leaves_no_process_behind(tmp_path):
    command = [sys.executable, '-m', 'soak', '--nodes', '2', '--seconds']
    with subprocess.Popen(
        [*command, '60', '--logs', str(tmp_path)], cwd=clusters.ROOT
    ) as process:
        while len(find_node_processes(tmp_path)) < 2:
            assert process.poll() is None
            time.sleep(0.05)
        process.terminate()
        assert process.wait() == 1
    assert find_node_processes(tmp_path) == []


def find_node_processes(folder):
    """Return the ids of the processes with their settings in a folder."""
    setting = f'PUMICESTAND_SETTINGS={folder}/'.encode()
    found = []
    for path in pathlib.Path('/proc').glob('[0-9]*/environ'):
        try:
            if setting in path.read_bytes():
                found.append(path.parent.name)
        except OSError:
            # The process has ended or belongs to another user.
            continue
    return found
