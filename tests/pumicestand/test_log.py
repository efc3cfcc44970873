"""Tests of the log lines and of the late import of their library."""

import errno
import json
import subprocess
import sys

import pytest

from pumicestand import log

PROGRAM = """
import sys
from pumicestand import log
{before}
log.configure('a', 'INFO', sys.stdout)
assert 'loguru' not in sys.modules or {is_loaded_early}
assert log.is_written('INFO') and not log.is_written('DEBUG')
log.logger.bind(event='x').info('{{}} calls', 2)
log.logger.debug('hidden')
try:
    1 / 0
except ZeroDivisionError as error:
    log.logger.opt(exception=error).error('failed')
"""


@pytest.mark.parametrize('is_loaded_early', [False, True])
def test_lines_are_json_whenever_the_library_is_loaded(is_loaded_early):
    """A record before `configure` must not leave a second sink."""
    before = 'log.logger.remove(log.logger.add(print))'
    before = before if is_loaded_early else ''
    program = PROGRAM.format(before=before, is_loaded_early=is_loaded_early)
    result = subprocess.run(
        [sys.executable, '-c', program],
        check=True,
        capture_output=True,
        text=True,
    )
    lines = [json.loads(line) for line in result.stdout.splitlines()]
    assert [line['message'] for line in lines] == ['2 calls', 'failed']
    assert lines[0]['level'] == 'INFO'
    assert (lines[0]['process'], lines[0]['event']) == ('a', 'x')
    assert lines[1]['exception'].startswith('ZeroDivisionError')
    assert result.stderr == ''


WITHOUT_LIBRARY = """
import sys
from pumicestand import line_output
from pumicestand import log
{configure}
sys.modules['loguru'] = None
log.logger.bind(event='x').info('{{}} calls', 2)
log.logger.debug('hidden')
try:
    1 / 0
except ZeroDivisionError as error:
    log.logger.opt(exception=error).error('failed: {{!r}}', error)
log.logger.warning('{{}} of {{}}', 1)
assert log.dropped() == 0
"""


@pytest.mark.parametrize(
    'configure',
    [
        "log.configure('a', 'INFO', sys.stdout)",
        "log.configure_output('a', 'INFO', line_output.standard())",
    ],
)
def test_failed_import_of_the_library_costs_no_line_and_no_process(configure):
    """Descriptors or memory may be used up when the first line is logged."""
    program = WITHOUT_LIBRARY.format(configure=configure)
    result = subprocess.run(
        [sys.executable, '-c', program],
        check=True,
        capture_output=True,
        text=True,
    )
    lines = [json.loads(line) for line in result.stdout.splitlines()]
    messages = ['2 calls', 'failed: ZeroDivisionError', '{} of {}']
    for line, message in zip(lines, messages, strict=True):
        assert line['message'].startswith(message)
        assert (line['process'], line['module']) == ('a', '__main__')
    assert lines[0]['event'] == 'x'
    assert lines[1]['exception'].startswith('ZeroDivisionError')
    assert lines[1]['raised_at'] == '<string>:10'
    assert result.stderr == ''


class BrokenStream:
    """A stream on a device without space."""

    def write(self, text):
        raise OSError(errno.ENOSPC, 'No space left on device')


class Unprintable:
    def __repr__(self):
        raise RuntimeError('no text')


@pytest.fixture
def configure():
    """Return a function that configures the log until the end of a test."""
    previous = log._state.sink
    yield log.configure
    log._state.sink = previous
    if log._state.loguru is not None:
        log._state.loguru.remove()


def test_no_call_for_a_record_raises(configure):
    configure('a', 'INFO', BrokenStream())
    before = log.dropped()
    log.logger.error('lost')
    log.logger.bind(field=Unprintable()).error('{}', Unprintable())
    log.logger.opt(exception=ValueError(Unprintable())).error('{')
    assert log.dropped() == before + 3
