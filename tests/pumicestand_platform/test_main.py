"""Tests of how a node's process starts, reloads its settings and stops."""

import signal

import pytest
import trio

from pumicestand_platform import main
from pumicestand_platform import settings
from tests.pumicestand_platform import test_settings

STOP_S = 0.05


class FakeNode:
    """Gets a further signal while it stops."""

    further_signal = None
    has_closed = False

    def __init__(self, node_settings, adapter):
        pass

    async def start(self, nursery):
        signal.raise_signal(signal.SIGTERM)

    async def close(self):
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
    settings_path.write_bytes(content)
    assert main.main() == main.EXIT_SETTINGS_ERROR
    message = capfd.readouterr().err
    assert message.startswith('settings: ')
    assert message.count('\n') == 1
