"""Tests of the decision log: it is bounded and never blocks its caller."""

import json

import pytest

from pumicestand import decision_log


def make_log(now=(5.0,), dropped=0):
    written = []

    def write(data):
        written.append(data)
        return dropped

    clock = list(now)
    log = decision_log.DecisionLog('p', lambda: clock[0], write)
    return log, written, clock


def parse_lines(written):
    return [json.loads(line) for line in b''.join(written).splitlines()]


def test_decision_is_one_line_with_its_fields():
    log, written, _ = make_log()
    log.note('call', id='x', status=503, why='overloaded', empty='')
    log.flush()
    (line,) = parse_lines(written)
    assert line['process'] == 'p'
    assert (line['event'], line['id']) == ('call', 'x')
    assert 'empty' not in line


def test_lines_are_limited_and_successes_are_dropped_first():
    log, written, clock = make_log()
    for number in range(2000):
        log.note('call', id=number, status=200)
    for number in range(2000):
        log.note('call', id=number, status=503)
    log.flush()
    successes = decision_log.MAX_LINES_PER_S // 4
    lines = parse_lines(written)
    assert sum(line['status'] == 200 for line in lines) == successes
    assert log.dropped == 4000 - len(lines)
    clock[0] = 6.0
    log.note('call', id='later', status=503)
    log.flush()
    assert parse_lines(written)[-1]['id'] == 'later'


def test_lines_that_a_full_pipe_does_not_accept_are_counted():
    log, _, _ = make_log(dropped=2)
    log.note('a')
    log.note('b')
    log.flush()
    assert log.dropped == 2


def test_first_line_after_a_flush_is_announced():
    pending = []
    log = decision_log.DecisionLog(
        'p', lambda: 5.0, lambda data: 0, lambda: pending.append(1)
    )
    log.note('call')
    log.note('call')
    assert len(pending) == 1
    log.flush()
    log.note('call')
    assert len(pending) == 2


def test_a_line_that_can_not_be_written_costs_no_other_line():
    log, written, _ = make_log()
    cycle = []
    cycle.append(cycle)
    log.note('a', field=cycle)
    log.note('b')
    log.flush()
    assert [line['event'] for line in parse_lines(written)] == ['b']
    assert log.dropped == 1


class Unprintable:
    def __str__(self):
        raise AttributeError('no text')


def test_no_kind_of_error_in_a_line_costs_another_line():
    log, written, _ = make_log()
    log.note('a', field=Unprintable())
    log.note('b')
    log.flush()
    assert [line['event'] for line in parse_lines(written)] == ['b']
    assert log.dropped == 1


@pytest.mark.parametrize('character', ['x', 'é', '\x00', '\U0001f600'])
def test_long_text_in_a_line_is_cut(character):
    log, written, _ = make_log()
    log.note('call', path='/' + character * 32_000, why='overloaded')
    log.flush()
    (line,) = parse_lines(written)
    assert line['path'].startswith('/' + character * 50)
    assert line['why'] == 'overloaded'
    assert len(written[0]) < decision_log.MAX_TEXT_BYTES + 200


def test_text_in_other_fields_is_cut_as_well():
    log, written, _ = make_log()
    log.note('call', why=ValueError('x' * 32_000))
    log.flush()
    assert len(written[0]) < decision_log.MAX_TEXT_BYTES + 200


def test_text_that_is_not_long_is_whole():
    log, written, _ = make_log()
    path = '/' + 'x' * (decision_log.MAX_TEXT_BYTES - 1)
    log.note('call', path=path)
    log.flush()
    assert parse_lines(written)[0]['path'] == path


def test_a_call_without_a_status_can_be_noted():
    log, written, _ = make_log()
    log.note('call', status=None)
    log.flush()
    assert 'status' not in parse_lines(written)[0]
