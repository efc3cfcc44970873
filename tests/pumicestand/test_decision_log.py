"""Tests of the decision log: it is bounded and never blocks its caller."""

import json

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


def test_a_call_without_a_status_can_be_noted():
    log, written, _ = make_log()
    log.note('call', status=None)
    log.flush()
    assert 'status' not in parse_lines(written)[0]
