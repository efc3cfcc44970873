"""Tests of tracing a request through the logs of several nodes."""

import json

import pytest

from pumicestand import errors
from pumicestandctl import main
from pumicestandctl import traces

START = '2026-12-04T10:00:'


def make_line(second, process, event, **fields):
    time = f'{START}{second:09.6f}+00:00'
    return {'time': time, 'process': process, 'event': event, **fields}


def make_call(second, process, id_, **fields):
    defaults = {'status': 200, 'node': 'b', 'ms': 100.0, 'work_ms': 80.0}
    return make_line(second, process, 'call', id=id_, **{**defaults, **fields})


LOGS = {
    'a': [
        make_line(1.0, 'a', 'started'),
        make_line(8.0, 'a', 'store-lost', why='reset'),
        make_call(10.0, 'a', 'x1', status=503, code='overloaded',
                  why='overloaded',
                  asked=['b:target-leaving', 'c:overloaded'], node='c',
                  work_ms=None),
        make_call(10.1, 'a', 'other'),
        make_line(30.0, 'a', 'stopping'),
    ],
    'b': [
        make_line(9.5, 'b', 'target', instance='i', state='DRAINING'),
        make_call(9.99, 'b', 'x1.7', status=504, code='deadline'),
        make_call(9.99, 'b', 'x17'),
    ],
    'd': [make_line(9.9, 'd', 'target', instance='j', state='GONE')],
}  # fmt: skip


@pytest.fixture
def files(tmp_path):
    """Write the logs and return their paths."""
    names = []
    for name, lines in LOGS.items():
        path = tmp_path / name
        texts = [json.dumps(line) for line in lines]
        # A prefix that log collectors add, and lines that are not events.
        texts[0] = f'   10.1 {name} {texts[0]}'
        texts.insert(1, 'Traceback (most recent call last):')
        texts.insert(1, '{"time": 7, "process": "a"}')
        path.write_text('\n'.join(texts), encoding='utf-8')
        names.append(str(path))
    return names


def test_trace_joins_calls_and_nearby_events(files):
    found = traces.trace_request('x1', traces.read_logs(files))
    assert [line.request_id for line in found.calls] == ['x1.7', 'x1']
    seen = [(line.process, line.event) for line in found.events]
    assert seen == [('a', 'store-lost'), ('b', 'target')]
    assert found.outcome.startswith('refused as not run after 100.0 ms')


@pytest.mark.parametrize(
    ('fields', 'expected'),
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
def test_outcome_is_described(fields, expected):
    line = traces.parse_line(json.dumps(make_call(1.0, 'a', 'x', **fields)))
    assert expected in traces.describe_outcome(line)


def test_error_for_unknown_request_names_remedy(files):
    with pytest.raises(errors.PumicestandError) as caught:
        traces.trace_request('unknown', traces.read_logs(files))
    assert caught.value.code is errors.Code.NO_SUCH_REQUEST
    assert caught.value.remedy


def test_trace_prints_text_and_json(files, capsys):
    assert main.main(['trace', 'x1', *files]) == 0
    text = capsys.readouterr().out
    assert 'c:overloaded' in text
    assert 'DRAINING' in text
    assert main.main(['--output', 'json', 'trace', 'x1', *files]) == 0
    data = json.loads(capsys.readouterr().out)
    assert [line['id'] for line in data['calls']] == ['x1.7', 'x1']


def test_exit_codes_for_missing_log_and_unknown_request(files, capsys):
    assert main.main(['trace', 'x1', 'missing']) == 2
    assert main.main(['trace', 'unknown', *files]) == 1
