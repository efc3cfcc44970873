"""Tests of how a node's process starts, reloads its settings and stops."""

import functools
import json
import signal
import sys

import pytest
import trio

from pumicestand import errors
from pumicestand import line_output
from pumicestand import log
from pumicestand_platform import main
from pumicestand_platform import settings
from tests import mock_clock
from tests.pumicestand_platform import test_settings

STOP_S = 0.05
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@pytest.fixture(autouse=True)
def _process(monkeypatch):
    """Restore what `main` changes for the whole process."""
    handlers = {number: signal.getsignal(number) for number in SIGNALS}
    monkeypatch.setattr(sys, 'stderr', sys.stderr)
    monkeypatch.setattr(log._state, 'sink', log._state.sink)
    line_output.standard.cache_clear()
    yield
    line_output.standard.cache_clear()
    for number, handler in handlers.items():
        signal.signal(number, handler)


class FakeNode:
    """Gets a further signal while it stops."""

    further_signal = None
    has_closed = False

    def __init__(self, node_settings, adapter):
        pass

    async def start(self, nursery):
        signal.raise_signal(signal.SIGTERM)

    async def close(self, requested_at):
        signal.raise_signal(self.further_signal)
        await trio.sleep(STOP_S)
        FakeNode.has_closed = True


@pytest.mark.parametrize('further_signal', (signal.SIGTERM, signal.SIGHUP))
def test_a_further_signal_during_the_stop_neither_ends_nor_repeats_it(
    monkeypatch, further_signal
):
    late, reloads = [], []
    monkeypatch.setattr(main.mesh_node, 'MeshNode', FakeNode)
    monkeypatch.setattr(main, '_reload', reloads.append)
    FakeNode.further_signal = further_signal
    FakeNode.has_closed = False
    previous = signal.signal(
        further_signal,
        lambda number, frame: late.append(FakeNode.has_closed),
    )
    try:
        trio.run(main.run, settings.parse(test_settings.TEXT))
    finally:
        signal.signal(further_signal, previous)
    assert FakeNode.has_closed
    assert not reloads
    # It is delivered once the node has closed.
    assert late == [True]


BROKEN_FILES = (
    b'\xff\xfe',
    test_settings.replace_value('listen.ready', '10.1.0.8:830²').encode(),
    b'',
)


@pytest.fixture
def settings_path(monkeypatch, tmp_path):
    path = tmp_path / 'node.conf'
    path.write_text(test_settings.TEXT, encoding='utf-8')
    monkeypatch.setenv(settings.PATH_VARIABLE, str(path))
    return path


@pytest.mark.parametrize('content', BROKEN_FILES)
def test_reload_of_a_broken_file_does_not_end_the_process(
    settings_path, content
):
    settings_path.write_bytes(content)
    main._reload(settings.parse(test_settings.TEXT))


def test_unexpected_error_in_a_reload_does_not_end_the_process(monkeypatch):
    def fail():
        raise KeyError('unexpected')

    monkeypatch.setattr(settings, 'load', fail)
    main._reload(settings.parse(test_settings.TEXT))


@pytest.mark.parametrize('content', BROKEN_FILES)
def test_start_with_a_broken_file_ends_with_a_message_and_no_traceback(
    settings_path, capfd, content
):
    slept_s = []
    settings_path.write_bytes(content)
    assert main.main(slept_s.append) == main.EXIT_SETTINGS_ERROR
    message = capfd.readouterr().err
    assert message.startswith('settings: ')
    assert message.count('\n') == 1
    # It is tried again for about a second.
    assert 0.5 < sum(slept_s) < 1.5


def read_exit_lines(capfd):
    lines = capfd.readouterr().out.splitlines()
    events = [json.loads(line) for line in lines]
    return [
        (line['code'], line['reason'])
        for line in events
        if line.get('event') == 'exit'
    ]


@pytest.fixture
def run_main(monkeypatch, settings_path, capfd):
    """Return a function that runs `main` with another `run`.

    It returns the exit code, and the codes and reasons that were logged.
    """

    def run_main(run):
        monkeypatch.setattr(main, 'run', run)
        return main.main(), read_exit_lines(capfd)

    return run_main


@pytest.mark.parametrize('content', BROKEN_FILES)
def test_start_while_the_settings_are_written_reads_them_again(
    monkeypatch, settings_path, content
):
    async def run(node_settings, early_signals):
        assert node_settings == settings.parse(test_settings.TEXT)
        return 'SIGTERM'

    def sleep(seconds):
        settings_path.write_text(test_settings.TEXT, encoding='utf-8')

    monkeypatch.setattr(main, 'run', run)
    settings_path.write_bytes(content)
    assert main.main(sleep) == 0


@pytest.mark.parametrize('number', main.STOP_SIGNALS)
def test_a_stop_while_the_settings_are_wrong_ends_the_start_at_once(
    settings_path, capfd, number
):
    slept_s = []

    def sleep(seconds):
        slept_s.append(seconds)
        signal.raise_signal(number)

    settings_path.write_bytes(b'')
    assert main.main(sleep) == 0
    assert len(slept_s) == 1
    assert read_exit_lines(capfd) == [(0, signal.Signals(number).name)]


def test_settings_that_can_not_be_read_end_the_start_at_once(
    settings_path, capfd
):
    slept_s = []
    settings_path.unlink()
    assert main.main(slept_s.append) == main.EXIT_SETTINGS_ERROR
    assert not slept_s


def test_end_by_a_signal_is_logged_with_its_reason(run_main):
    async def run(node_settings, early_signals):
        return 'SIGTERM'

    assert run_main(run) == (0, [(0, 'SIGTERM')])


def test_end_by_an_unexpected_error_is_logged_with_its_reason(run_main):
    async def run(node_settings, early_signals):
        raise KeyError('unexpected')

    assert run_main(run) == (1, [(1, "KeyError('unexpected')")])


def test_end_as_a_port_is_in_use_has_a_code_of_its_own(run_main):
    async def run(node_settings, early_signals):
        raise errors.PortError('127.0.0.1:80: in use')

    code, ((logged_code, reason),) = run_main(run)
    assert code == logged_code == 3
    assert reason.startswith('port-unavailable: 127.0.0.1:80')


@pytest.mark.parametrize('number', SIGNALS)
def test_no_signal_changes_the_exit_code_of_a_node_that_has_stopped(
    run_main, number
):
    """SIGTERM was delivered again once the node had closed: exit code -15."""

    async def run(node_settings, early_signals):
        with trio.open_signal_receiver(*SIGNALS):
            signal.raise_signal(number)
        return 'SIGTERM'

    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    assert run_main(run) == (0, [(0, 'SIGTERM')])
    signal.raise_signal(number)


def test_a_stop_before_the_node_starts_is_obeyed(monkeypatch):
    reason = trio.run(
        main.run, settings.parse(test_settings.TEXT), [signal.SIGTERM]
    )
    assert reason == 'SIGTERM'


class SlowNode(FakeNode):
    """Waits for a port while it is asked to stop, and fails if it may."""

    error = None

    async def start(self, nursery):
        if self.error is not None:
            raise self.error
        signal.raise_signal(signal.SIGTERM)
        await trio.sleep(100.0)
        raise AssertionError

    async def close(self, requested_at):
        raise AssertionError


def test_a_stop_while_a_node_starts_does_not_wait_for_the_start(monkeypatch):
    monkeypatch.setattr(main.mesh_node, 'MeshNode', SlowNode)
    run = functools.partial(main.run, settings.parse(test_settings.TEXT))
    reason = mock_clock.run(run)
    assert reason == 'SIGTERM'


def test_a_port_that_can_not_be_opened_ends_the_start(monkeypatch):
    monkeypatch.setattr(main.mesh_node, 'MeshNode', SlowNode)
    monkeypatch.setattr(SlowNode, 'error', errors.PortError('in use'))
    with pytest.raises(errors.PortError):
        trio.run(main.run, settings.parse(test_settings.TEXT))


@pytest.fixture
def stop_clock(monkeypatch):
    """A clock of the stop that tests and sleeps move; no thread is started.

    It is a list of one item, the seconds.
    """
    clock = [0.0]

    def sleep(seconds):
        clock[0] += seconds

    monkeypatch.setattr(main.mesh_node, 'boot_clock', lambda: clock[0])
    monkeypatch.setattr(main.time, 'sleep', sleep)
    monkeypatch.setattr(
        main._thread, 'start_new_thread', lambda function, arguments: None
    )
    return clock


class BusyNode(FakeNode):
    """Does not let the event loop run for seconds after a signal."""

    clock = None
    requested_at = None

    async def start(self, nursery):
        self.clock[0] = 7.0
        signal.raise_signal(signal.SIGTERM)
        self.clock[0] = 10.0

    async def close(self, requested_at):
        BusyNode.requested_at = requested_at


def test_the_time_of_a_stop_counts_from_the_signal_though_the_loop_is_busy(
    monkeypatch, stop_clock
):
    """The process was killed with the calls that it still served."""
    monkeypatch.setattr(BusyNode, 'clock', stop_clock)
    monkeypatch.setattr(main.mesh_node, 'MeshNode', BusyNode)
    trio.run(main.run, settings.parse(test_settings.TEXT))
    assert BusyNode.requested_at == 7.0


@pytest.mark.parametrize('is_over', [False, True])
def test_a_process_that_is_too_busy_to_stop_ends_before_it_is_killed(
    monkeypatch, stop_clock, run_main, is_over
):
    grace = 6.0
    exits = []
    monkeypatch.setattr(
        main.os, '_exit', lambda code: exits.append((code, stop_clock[0]))
    )

    async def run(node_settings, early_signals):
        stop = main._StopRequest(grace)
        stop._receive(lambda number, frame: None, signal.SIGTERM, None)
        stop.is_over = is_over
        stop._end()
        return 'SIGTERM'

    _, lines = run_main(run)
    if is_over:
        assert not exits
        return
    ((code, exited_at),) = exits
    assert code == 0
    assert grace - 0.5 < exited_at < grace
    assert lines[0] == (0, 'stop-deadline')


def test_a_stop_goes_on_if_no_thread_can_be_started(monkeypatch, stop_clock):
    def fail(function, arguments):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(main._thread, 'start_new_thread', fail)
    monkeypatch.setattr(BusyNode, 'clock', stop_clock)
    monkeypatch.setattr(main.mesh_node, 'MeshNode', BusyNode)
    run = main.run
    assert trio.run(run, settings.parse(test_settings.TEXT)) == 'SIGTERM'
