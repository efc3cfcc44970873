"""Tests of the keys that the clients of a soak use."""

from soak import key_rings


def valid_keys(ring):
    return {key for _, keys, _ in ring.rows() for key in keys}


def test_withdrawn_key_is_still_sent_but_no_longer_configured():
    ring = key_rings.KeyRing(1)
    before = valid_keys(ring)
    assert {ring.choose().key for _ in range(200)} == before
    assert ring.last_withdrawn is None
    withdrawn = ring.withdraw()
    assert ring.last_withdrawn.key == withdrawn
    assert before - valid_keys(ring) == {withdrawn}
    sent = [ring.choose().key for _ in range(1000)]
    assert set(sent) == valid_keys(ring) | {withdrawn}
    assert 100 < sent.count(withdrawn) < 300


def test_no_two_organisations_share_a_key():
    ring = key_rings.KeyRing(1)
    for _ in range(5):
        ring.withdraw()
    keys = [key for _, keys, _ in ring.rows() for key in keys]
    assert len(keys) == len(set(keys)) == 4
