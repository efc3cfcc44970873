"""Tests of the command line: parsing, reports and exit codes."""

import json

import pytest

from pumicestand import errors
from pumicestandctl import commands
from pumicestandctl import exits
from pumicestandctl import fleet
from pumicestandctl import main
from pumicestandctl import reports
from tests.pumicestand import test_readers


def write_file(tmp_path, text):
    path = tmp_path / 'document.yaml'
    path.write_text(text, encoding='utf-8')
    return str(path)


def test_validate_summarises_valid_document(tmp_path, capsys):
    assert (
        main.main(
            ['validate', write_file(tmp_path, test_readers.VALID_DOCUMENT)]
        )
        == 0
    )
    assert '2 services, 1 routes, 1 moves' in capsys.readouterr().out


def test_refusal_is_printed_as_json(tmp_path, capsys):
    text = test_readers.VALID_DOCUMENT.replace('timeout: 2s', 'timeout: 2')
    path = write_file(tmp_path, text)
    assert main.main(['--output', 'json', 'validate', path]) == 1
    data = json.loads(capsys.readouterr().err)
    assert data['code'] == 'document-unit'
    assert (data['line'], data['column']) == (18, 5)
    assert data['remedy']


def test_each_error_code_has_an_exit_code():
    for code in errors.Code:
        error = errors.PumicestandError(code, 'm', step='s')
        assert exits.exit_code_for(error) != exits.ExitCode.OK


def test_exit_codes_without_store_node_or_file(tmp_path):
    store_option = '--set=store=http://127.0.0.1:9'
    path = write_file(tmp_path, test_readers.VALID_DOCUMENT)
    assert (
        main.main([store_option, 'diff', path])
        == exits.ExitCode.STORE_UNAVAILABLE
    )
    assert main.main([store_option, 'status']) == exits.ExitCode.NO_NODES
    assert main.main(['validate', 'missing.yaml']) == exits.ExitCode.USAGE
    assert main.main(['--set=a=1', 'status']) == exits.ExitCode.USAGE


def make_move(state, share=0.5):
    return {
        'name': 'till-v2',
        'identity': 'till-v2@1',
        'state': state,
        'share': share,
        'reason': 'why',
        'held_here': False,
        'start': 1.0,
    }


def make_response(name, acting, moves=(), reason=''):
    data = {
        'accepted': 2,
        'acting': acting,
        'stale': bool(reason),
        'stale_reason': reason,
        'moves': list(moves),
    }
    return fleet.NodeResponse(name, 'h:1', data)


def test_status_lists_nodes_that_are_behind():
    responses = [
        make_response('a', 2, [make_move('running')]),
        make_response('b', 1, [make_move('scheduled')], 'its reason'),
        fleet.NodeResponse('c', 'h:1', None, 'ConnectError'),
    ]
    report = reports.report_status('production', 2, responses)
    assert report.data['acting'] == ['a']
    assert report.data['behind'] == {
        'b': 'its reason',
        'c': 'no answer (ConnectError)',
    }
    text = report.render('text')
    assert '1 of 3 nodes act on it' in text
    assert 'till-v2: running at 50.0% (why)' in text


def describe_progress(moves, move='till-v2', generation=0, behind=()):
    data = {
        'accepted': 2,
        'acting': ['a'],
        'behind': dict.fromkeys(behind, 'late'),
        'moves': moves,
    }
    return commands._describe_progress(data, generation, move)


def test_wait_ends_with_move_or_generation():
    assert describe_progress([])[1] is False
    assert describe_progress([make_move('running')])[1] is False
    assert describe_progress([make_move('done')])[1] is True
    with pytest.raises(errors.PumicestandError) as caught:
        describe_progress([make_move('taken-back')])
    assert exits.exit_code_for(caught.value) == exits.ExitCode.TAKEN_BACK
    assert describe_progress([], None)[1] is True
    assert describe_progress([], None, 3)[1] is False
    assert describe_progress([], None, behind=['b'])[1] is False


def make_event(**fields):
    event = {
        'stamp': 1000 << 16,
        'process': 'a',
        'kind': 'started',
        'generation': 0,
        'service': '',
        'move': '',
        'step': '',
        'peer': '',
        'detail': '',
    }
    return event | fields


def test_timeline_is_filtered():
    event = make_event(service='till', move='till-v2@1')
    for event_filter, is_matched in (
        (commands.EventFilter(), True),
        (commands.EventFilter(service='till'), True),
        (commands.EventFilter(service='pass'), False),
        (commands.EventFilter(node='b'), False),
        (commands.EventFilter(move='till-v2'), True),
        (commands.EventFilter(move='till'), False),
        (commands.EventFilter(since=2.0), False),
    ):
        assert event_filter.matches(event) is is_matched


def test_timeline_is_drawn(tmp_path):
    path = tmp_path / 'line.png'
    events = [make_event(), make_event(process='b', stamp=2000 << 16)]
    commands.pictures.draw_timeline(events, path)
    assert path.read_bytes().startswith(b'\x89PNG')


def test_explanation_lists_targets_and_their_state():
    target = {
        'address': 'h:9',
        'zone': 'z',
        'own_zone': True,
        'in_flight': 1,
        'latency_ms': 2.0,
        'ejected': True,
    }
    data = {
        'route': 'sale',
        'generation': 2,
        'node': 'a',
        'services': [
            {
                'service': 'till',
                'weight': 1,
                'move': 'till-v2@1',
                'versions': [
                    {'version': 'v1', 'share': 0.98, 'targets': [target]},
                    {'version': 'v2', 'share': 0.02, 'targets': []},
                ],
            }
        ],
    }
    text = reports.report_explanation(data).render('text')
    assert 'h:9 (own zone): 1 in flight, 2.0 ms, ejected' in text
    assert 'version v2 gets 2.0%' in text
    assert 'no target is known' in text
