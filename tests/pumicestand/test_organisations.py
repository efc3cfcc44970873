"""Tests of the decision which calls may run."""

import dataclasses

import pytest

from pumicestand import documents
from pumicestand import organisations

ACME = documents.Organisation('acme', frozenset(('k1', 'k2')), 1)
OTHER = documents.Organisation('other', frozenset(('k3', 'schlüssel')), None)
DOCUMENT = documents.Document(organisations=(ACME, OTHER))
MISSING = organisations.UnknownKey(is_missing=True)
UNKNOWN = organisations.UnknownKey(is_missing=False)


def make_table(document=DOCUMENT):
    table = organisations.KeyTable()
    table.update(document)
    return table


def decide(table, key, **kwargs):
    options = {
        'is_public': False,
        'is_nested': False,
        'may_be_nested': False,
        'is_fresh': True,
    }
    return table.decide(key=key, **{**options, **kwargs})


@pytest.mark.parametrize(
    ('key', 'decision'),
    [
        (b'k1', organisations.Admitted(ACME)),
        (b'k2', organisations.Admitted(ACME)),
        ('schlüssel'.encode(), organisations.Admitted(OTHER)),
        (b'k4', UNKNOWN),
        (b'K1', UNKNOWN),
        (b'\xff', UNKNOWN),
        (b'', MISSING),
        (None, MISSING),
    ],
)
def test_organisation_is_found_by_each_of_its_keys(key, decision):
    assert decide(make_table(), key) == decision


def test_calls_need_no_key_where_there_are_no_organisations():
    table = make_table(documents.Document())
    assert table.is_empty
    for key in (None, b'k1'):
        decision = decide(table, key, is_fresh=False)
        assert decision == organisations.Admitted()


@pytest.mark.parametrize('key', [None, b'k1', b'withdrawn'])
@pytest.mark.parametrize('exemption', ['is_public', 'is_nested'])
def test_public_and_nested_calls_belong_to_no_organisation(key, exemption):
    """They are served whatever key they carry, also without a fresh proof."""
    decision = decide(make_table(), key, is_fresh=False, **{exemption: True})
    assert decision == organisations.Admitted()


def test_withdrawn_key_is_unknown():
    table = make_table()
    acme = dataclasses.replace(ACME, keys=frozenset(('k2',)))
    assert table.update(documents.Document(organisations=(acme, OTHER)))
    assert decide(table, b'k1') == UNKNOWN
    assert decide(table, b'k2') == organisations.Admitted(acme)


def test_no_key_is_accepted_or_refused_without_a_fresh_proof():
    """The key may be withdrawn, or new and not known here yet."""
    for key in (b'k1', b'k4'):
        decision = decide(make_table(), key, is_fresh=False)
        assert decision == organisations.NoFreshProof()
    assert decide(make_table(), None, is_fresh=False) == MISSING


def test_call_that_may_be_nested_is_not_refused_for_its_missing_key():
    """A node that has restarted does not know the calls that run."""
    table = make_table()
    decision = decide(table, None, may_be_nested=True)
    assert decision == organisations.UnknownParent()
    assert decide(table, b'k4', may_be_nested=True) == UNKNOWN
    assert decide(table, b'k1', may_be_nested=True).organisation is ACME


def test_table_is_built_again_only_if_the_organisations_change():
    """A new configuration may arrive several times a second."""
    table = make_table()
    copy = documents.Document(organisations=tuple(DOCUMENT.organisations))
    assert not table.update(copy)
    assert table.update(documents.Document(organisations=(ACME,)))
    assert decide(table, b'k3') == UNKNOWN
    assert table.update(documents.Document())
    assert table.is_empty


def test_key_is_not_part_of_any_text():
    """Keys must not reach logs or tracebacks."""
    decision = decide(make_table(), b'k1')
    for value in (decision, ACME, DOCUMENT):
        assert 'k1' not in repr(value)


def test_table_that_cannot_be_built_is_not_taken_for_the_current_one():
    """The keys of an earlier configuration would be accepted for ever."""
    table = make_table()
    broken = documents.Organisation('acme', frozenset(('\ud800',)), 1)
    for _ in range(2):
        with pytest.raises(UnicodeEncodeError):
            table.update(documents.Document(organisations=(broken,)))
