"""Tests of the account of a request from the logs of many nodes."""

import json

import pytest

from pumicestand import errors
from pumicestandctl import main
from pumicestandctl import traces

START = '2026-12-04T10:00:'


def line(second, process, event, **fields):
    time = f'{START}{second:09.6f}+00:00'
    return {'time': time, 'process': process, 'event': event, **fields}


def call(second, process, id_, **fields):
    defaults = {'status': 200, 'node': 'b', 'ms': 100.0, 'work_ms': 80.0}
    return line(second, process, 'call', id=id_, **{**defaults, **fields})


LOGS = {
    'a': [
        line(1.0, 'a', 'started'),
        line(8.0, 'a', 'store-lost', why='reset'),
        call(10.0, 'a', 'x1', status=503, code='overloaded', why='overloaded',
             asked=['b:target-leaving', 'c:overloaded'], node='c',
             work_ms=None),
        call(10.1, 'a', 'other'),
        line(30.0, 'a', 'stopping'),
    ],
    'b': [
        line(9.5, 'b', 'target', instance='i', state='DRAINING'),
        call(9.99, 'b', 'x1.7', status=504, code='deadline'),
        call(9.99, 'b', 'x17'),
    ],
    'd': [line(9.9, 'd', 'target', instance='j', state='GONE')],
}  # fmt: skip


@pytest.fixture
def files(tmp_path):
    """Write the logs; return their names."""
    names = []
    for name, lines in LOGS.items():
        path = tmp_path / name
        texts = [json.dumps(held) for held in lines]
        # What a collector puts before a line, and what is no line.
        texts[0] = f'   10.1 {name} {texts[0]}'
        texts.insert(1, 'Traceback (most recent call last):')
        texts.insert(1, '{"time": 7, "process": "a"}')
        path.write_text('\n'.join(texts), encoding='utf-8')
        names.append(str(path))
    return names


def test_a_request_s_calls_and_the_events_around_it_are_joined(files):
    found = traces.trace('x1', traces.read_logs(files))
    assert [held.request_id for held in found.calls] == ['x1.7', 'x1']
    seen = [(held.process, held.event) for held in found.events]
    assert seen == [('a', 'store-lost'), ('b', 'target')]
    assert found.outcome.startswith('refused as not run after 100.0 ms')


@pytest.mark.parametrize(
    ('fields', 'words'),
    [
        ({}, 'answered at b'),
        ({'status': 503, 'code': 'no-target'}, 'refused as not run'),
        ({'status': 502, 'code': 'answer-lost'}, 'it may have run'),
        ({'status': 504, 'code': 'deadline'}, 'it may have run'),
        ({'status': 504}, 'status 504 of its target'),
        ({'status': 500}, 'status 500 of its target'),
        ({'status': 503, 'code': 'x', 'node': ''}, 'at no node'),
    ],
)
def test_each_outcome_has_its_sentence(fields, words):
    held = traces.read_line(json.dumps(call(1.0, 'a', 'x', **fields)))
    assert words in traces.explain(held)


def test_a_request_without_a_line_is_an_error_that_says_what_to_do(files):
    with pytest.raises(errors.PumicestandError) as caught:
        traces.trace('unknown', traces.read_logs(files))
    assert caught.value.code is errors.Code.NO_SUCH_REQUEST
    assert caught.value.remedy


def test_the_command_prints_text_and_json(files, capsys):
    assert main.main(['trace', 'x1', *files]) == 0
    text = capsys.readouterr().out
    assert 'c:overloaded' in text
    assert 'DRAINING' in text
    assert main.main(['--output', 'json', 'trace', 'x1', *files]) == 0
    data = json.loads(capsys.readouterr().out)
    assert [held['id'] for held in data['calls']] == ['x1.7', 'x1']


def test_a_missing_log_and_a_missing_request_have_exit_codes(files, capsys):
    assert main.main(['trace', 'x1', 'missing']) == 2
    assert main.main(['trace', 'unknown', *files]) == 1
