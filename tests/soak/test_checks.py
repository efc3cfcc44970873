"""Tests that each promise's check sees its violation, and only that."""

import pytest

from pumicestand_standins import mesh_target
from soak import checks
from soak import records

Fault = records.Fault
CallKind = records.CallKind


def make_call(request_id='a1', kind=CallKind.ONCE, status=200, **fields):
    values = {'sent_at': 10.0, 'ended_at': 10.1, 'node': 'n', **fields}
    return records.Call(request_id, kind, status=status, **values)


def make_run(request_id='a1', instance='t-1', at=10.05):
    return mesh_target.Run(request_id, instance, at)


def make_disruption(fault, node='n', since=9.0, until=11.0):
    return records.Disruption(fault, node, since, until)


def broken_promises(record, **options):
    return [found.promise for found in checks.check(record, **options)]


def test_nothing_is_found_where_all_is_well():
    record = records.Record(calls=[make_call()], runs=[make_run()])
    assert broken_promises(record) == []


def test_a_second_run_is_found_unless_it_is_allowed():
    record = records.Record(calls=[make_call()], runs=[make_run(), make_run()])
    assert broken_promises(record) == ['at most once']
    record.calls = [make_call(kind=CallKind.REPEATABLE)]
    assert broken_promises(record) == []


@pytest.mark.parametrize('status', sorted(checks.NOT_RUN_STATUSES))
def test_a_refusal_of_what_ran_is_found(status):
    record = records.Record(
        calls=[make_call(status=status)], runs=[make_run()]
    )
    assert broken_promises(record) == ['not run means not run']
    record.runs = [make_run(request_id='other')]
    assert broken_promises(record) == []


def test_another_body_is_found():
    record = records.Record(calls=[make_call(is_correct=False)])
    assert broken_promises(record) == ['own and whole answers']


def test_a_cut_without_an_unplanned_fault_is_found():
    cut = make_call(status=0)
    record = records.Record(calls=[cut], runs=[make_run()])
    assert broken_promises(record) == ['a planned stop cuts nothing']
    for fault in (Fault.STOP, Fault.STORE_DOWN, Fault.TARGET_CRASH):
        record.disruptions = [make_disruption(fault)]
        assert broken_promises(record) == ['a planned stop cuts nothing']
    for fault in (Fault.KILL, Fault.PAUSE):
        record.disruptions = [make_disruption(fault)]
        assert broken_promises(record) == []
        record.disruptions = [make_disruption(fault, node='other')]
        assert broken_promises(record) == ['a planned stop cuts nothing']


def test_a_request_that_crossed_the_close_was_not_read():
    cut = make_call(status=0, sent_at=10.0, ended_at=10.01)
    assert broken_promises(records.Record(calls=[cut])) == []
    held = make_call(status=0, sent_at=10.0, ended_at=10.5)
    record = records.Record(calls=[held])
    assert broken_promises(record) == ['a planned stop cuts nothing']


def test_a_run_after_an_acknowledged_leaving_is_found():
    record = records.Record(
        runs=[make_run(at=12.5)],
        departures=[mesh_target.Departure('t-1', 10.0)],
    )
    assert broken_promises(record) == ['nothing for a target that leaves']
    assert broken_promises(record, checks_timing=False) == []
    record.runs = [make_run(at=11.9), make_run(instance='t-2', at=13.0)]
    assert broken_promises(record) == []


def make_probe(generation, sent_at, status=404, start_count=1):
    return records.Probe('n', start_count, generation, sent_at, status)


def test_a_configuration_that_comes_late_is_found():
    changes = [records.Change(2, 10.0)]
    record = records.Record(changes=changes, probes=[make_probe(2, 12.5)])
    assert broken_promises(record) == ['a configuration is in force in time']
    record.probes = [make_probe(2, 11.5), make_probe(2, 12.5, status=200)]
    assert broken_promises(record) == []


def test_a_route_that_a_later_change_removed_may_be_unknown():
    changes = [records.Change(2, 10.0), records.Change(3, 13.0)]
    record = records.Record(changes=changes, probes=[make_probe(2, 12.5)])
    assert broken_promises(record) == []


def test_a_disrupted_store_or_node_excuses_a_late_configuration():
    changes = [records.Change(2, 10.0)]
    record = records.Record(changes=changes, probes=[make_probe(2, 12.5)])
    for fault, node in ((Fault.STORE_DOWN, ''), (Fault.PAUSE, 'n')):
        record.disruptions = [make_disruption(fault, node)]
        assert broken_promises(record) == []
    record.disruptions = [make_disruption(Fault.TARGET_CRASH)]
    assert broken_promises(record) == ['a configuration is in force in time']


def test_a_way_back_is_found_within_one_start_of_a_node():
    changes = [records.Change(2, 10.0)]
    known, lost = make_probe(2, 11.0, status=200), make_probe(2, 11.5)
    record = records.Record(changes=changes, probes=[known, lost])
    assert broken_promises(record) == ['no way back to an older configuration']
    record.probes = [known, make_probe(2, 11.5, start_count=2)]
    assert broken_promises(record) == []
