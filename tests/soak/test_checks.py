"""Tests that each promise's check sees its violation, and only that."""

import pytest

from pumicestand_standins import mesh_target
from soak import checks
from soak import records

Fault = records.Fault
Kind = records.Kind


def attempt(identity='a1', kind=Kind.ONCE, status=200, **fields):
    held = {'sent_at': 10.0, 'ended_at': 10.1, 'node': 'n', **fields}
    return records.Attempt(identity, kind, status=status, **held)


def run(identity='a1', instance='t-1', at=10.05):
    return mesh_target.Run(identity, instance, at)


def disruption(fault, node='n', since=9.0, until=11.0):
    return records.Disruption(fault, node, since, until)


def promises(record, **options):
    return [found.promise for found in checks.check(record, **options)]


def test_nothing_is_found_where_all_is_well():
    record = records.Record(attempts=[attempt()], runs=[run()])
    assert promises(record) == []


def test_a_second_run_is_found_unless_it_is_allowed():
    record = records.Record(attempts=[attempt()], runs=[run(), run()])
    assert promises(record) == ['at most once']
    record.attempts = [attempt(kind=Kind.REPEATABLE)]
    assert promises(record) == []


@pytest.mark.parametrize('status', sorted(checks.REFUSALS))
def test_a_refusal_of_what_ran_is_found(status):
    record = records.Record(attempts=[attempt(status=status)], runs=[run()])
    assert promises(record) == ['not run means not run']
    record.runs = [run(identity='other')]
    assert promises(record) == []


def test_another_body_is_found():
    record = records.Record(attempts=[attempt(is_own=False)])
    assert promises(record) == ['own and whole answers']


def test_a_cut_without_an_unplanned_fault_is_found():
    cut = attempt(status=0)
    record = records.Record(attempts=[cut], runs=[run()])
    assert promises(record) == ['a planned stop cuts nothing']
    for fault in (Fault.STOP, Fault.STORE_DOWN, Fault.TARGET_CRASH):
        record.disruptions = [disruption(fault)]
        assert promises(record) == ['a planned stop cuts nothing']
    for fault in (Fault.KILL, Fault.PAUSE):
        record.disruptions = [disruption(fault)]
        assert promises(record) == []
        record.disruptions = [disruption(fault, node='other')]
        assert promises(record) == ['a planned stop cuts nothing']


def test_a_request_that_crossed_the_close_was_not_read():
    cut = attempt(status=0, sent_at=10.0, ended_at=10.01)
    assert promises(records.Record(attempts=[cut])) == []
    held = attempt(status=0, sent_at=10.0, ended_at=10.5)
    record = records.Record(attempts=[held])
    assert promises(record) == ['a planned stop cuts nothing']


def test_a_run_after_an_acknowledged_leaving_is_found():
    record = records.Record(
        runs=[run(at=12.5)],
        departures=[mesh_target.Departure('t-1', 10.0)],
    )
    assert promises(record) == ['nothing for a target that leaves']
    assert promises(record, is_timed=False) == []
    record.runs = [run(at=11.9), run(instance='t-2', at=13.0)]
    assert promises(record) == []


def probe(generation, sent_at, status=404, boot=1):
    return records.Probe('n', boot, generation, sent_at, status)


def test_a_configuration_that_comes_late_is_found():
    changes = [records.Change(2, 10.0)]
    record = records.Record(changes=changes, probes=[probe(2, 12.5)])
    assert promises(record) == ['a configuration is in force in time']
    record.probes = [probe(2, 11.5), probe(2, 12.5, status=200)]
    assert promises(record) == []


def test_a_route_that_a_later_change_removed_may_be_unknown():
    changes = [records.Change(2, 10.0), records.Change(3, 13.0)]
    record = records.Record(changes=changes, probes=[probe(2, 12.5)])
    assert promises(record) == []


def test_a_disrupted_store_or_node_excuses_a_late_configuration():
    changes = [records.Change(2, 10.0)]
    record = records.Record(changes=changes, probes=[probe(2, 12.5)])
    for fault, node in ((Fault.STORE_DOWN, ''), (Fault.PAUSE, 'n')):
        record.disruptions = [disruption(fault, node)]
        assert promises(record) == []
    record.disruptions = [disruption(Fault.TARGET_CRASH)]
    assert promises(record) == ['a configuration is in force in time']


def test_a_way_back_is_found_within_one_start_of_a_node():
    changes = [records.Change(2, 10.0)]
    known, lost = probe(2, 11.0, status=200), probe(2, 11.5)
    record = records.Record(changes=changes, probes=[known, lost])
    assert promises(record) == ['no way back to an older configuration']
    record.probes = [known, probe(2, 11.5, boot=2)]
    assert promises(record) == []
