"""Tests of the faults of a machine against small stand-ins of a node."""

import pathlib
import random
import re
import signal

import pytest
import trio

from benchmarks import harness
from pumicestand import errors
from pumicestand_platform import settings
from pumicestand_standins import http_server
from soak import clusters
from soak import machine_faults
from soak import machines
from tests import mock_clock

WAITS = """
import signal
signal.signal(signal.SIGHUP, signal.SIG_IGN)
print("up", flush=True)
while True:
    signal.pause()
"""


def make_node(folder, network_number=clusters.NETWORK_NUMBERS[0]):
    deployment = machines.Deployment(folder, (), '', (9464, '/metrics'))
    machine = machines.Machine(deployment, 1)
    return clusters.NodeUnderTest(0, network_number, folder, machine=machine)


def test_whole_settings_of_a_machine_can_be_read(tmp_path):
    node = make_node(tmp_path)
    path = node.write_settings('whole')
    settings.load({settings.PATH_VARIABLE: str(path)})


def test_torn_settings_are_of_all_kinds(tmp_path):
    node = make_node(tmp_path)
    seen = set()
    for seed in range(100):
        machine_faults.tear_settings(node, random.Random(seed))
        if not node.settings_path.exists():
            seen.add('missing')
            continue
        try:
            settings.parse(node.settings_path.read_text(encoding='utf-8'))
        except UnicodeDecodeError:
            seen.add('not UTF-8')
        except (errors.SettingsError, ValueError):
            seen.add('invalid')
    assert {'missing', 'not UTF-8', 'invalid'} <= seen


async def wait_until_up(process):
    while 'up' not in process.log.read_text():
        await trio.sleep(0.01)


@pytest.mark.parametrize('script', [WAITS, 'print("up")'])
def test_reload_ends_with_whole_settings_if_the_process_lives(
    tmp_path, script
):
    node = make_node(tmp_path)
    log = tmp_path / 'node.log'
    node.process = harness.Process('node', ['-c', script], log)
    is_alive = script is WAITS

    async def main():
        await wait_until_up(node.process)
        if not is_alive:
            await clusters.wait_for_exit(node.process, 60)
        await machine_faults.reload(node, random.Random(1), 0.1)

    trio.run(main)
    assert node.process.is_running == is_alive
    node.kill()
    assert node.settings_path.exists() == is_alive
    if is_alive:
        assert 'whole again' in node.settings_path.read_text()


def test_signal_that_a_process_does_not_handle_yet_is_not_sent(tmp_path):
    node = make_node(tmp_path)
    script = 'import signal; print("up", flush=True); signal.pause()'
    log = tmp_path / 'node.log'
    node.process = harness.Process('node', ['-c', script], log)
    trio.run(wait_until_up, node.process)
    assert not node.process.handles(signal.SIGHUP)
    assert node.process.handles(signal.SIGINT)
    node.send_hangup()
    node.process.terminate()
    assert node.process.wait() == -signal.SIGTERM


@pytest.mark.parametrize(
    ('page', 'repeated'),
    [
        (b'# TYPE a gauge\na{x="1"} 1\na{x="2"} 1\n', []),
        (b'a{x="1"} 1\nb 1\na{x="1"} 2\n', ['a{x="1"}']),
    ],
)
def test_series_that_is_twice_in_a_scrape_is_found(tmp_path, page, repeated):
    network = clusters.LoopbackNetwork()
    network.start()
    node = make_node(tmp_path, network.number)

    async def serve(request):
        return http_server.Response(200, page)

    async def main():
        server = http_server.Server(*node.metrics_address, serve)
        async with trio.open_nursery() as nursery:
            await server.start(nursery)
            found = await machine_faults.find_repeated_series(node)
            await server.close()
            nursery.cancel_scope.cancel()
        return found

    try:
        assert trio.run(main) == repeated
    finally:
        network.close()


def test_logs_of_all_starts_are_kept_apart(tmp_path, monkeypatch):
    node = make_node(tmp_path)
    logs = []

    def start(name, path, log, nursery):
        logs.append(pathlib.Path(log).name)
        return harness.Process(name, ['-c', ''], log)

    monkeypatch.setattr(node.machine, 'start', start)
    node.spawn()
    node.spawn()
    node.close()
    assert logs == ['node-0-1.log', 'node-0-2.log']


@pytest.mark.parametrize(
    'fault', [machine_faults.leave, machine_faults.leave_unread]
)
def test_no_two_calls_of_clients_that_leave_have_the_same_id(
    tmp_path, monkeypatch, fault
):
    sent = []

    async def keep(address, data, stay_s):
        sent.append(data)

    monkeypatch.setattr(machine_faults, '_send_and_leave', keep)
    node = make_node(tmp_path)
    rng = random.Random(1)
    mock_clock.run(lambda: fault(node, rng, 1.0))
    ids = re.findall(rb'request-id: (\S+)', b''.join(sent))
    assert len(ids) == len(set(ids)) > 100
