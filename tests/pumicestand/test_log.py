"""Tests of the log lines and of the late import of their library."""

import json
import subprocess
import sys

import pytest

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
    before = 'log.logger' if is_loaded_early else ''
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
