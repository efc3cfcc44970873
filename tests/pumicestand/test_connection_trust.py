"""Tests of when connections are taken for silent."""

import math

import pytest

from pumicestand import connection_trust


def test_only_a_quick_server_is_given_less_time():
    """Cutting off one that is merely slow would add calls to it."""
    trust = connection_trust.ConnectionTrust(0.4)
    assert trust.reuse_timeout == 0.4
    trust.record_answer(0.2)
    assert trust.reuse_timeout == math.inf
    trust.record_answer()
    assert trust.reuse_timeout == math.inf
    trust.record_answer(0.002)
    trust.record_old_silence()
    assert trust.reuse_timeout == math.inf


@pytest.mark.parametrize('seconds', [None, 0.002, 0.2])
def test_only_a_quick_answer_shows_that_old_connections_are_silent(seconds):
    trust = connection_trust.ConnectionTrust(0.4)
    assert not trust.record_answer(seconds)
    trust.record_old_silence()
    assert trust.record_answer(seconds) == (seconds == 0.002)


@pytest.mark.parametrize('is_answering', [False, True])
def test_server_that_failed_on_new_connections_is_not_excused(is_answering):
    trust = connection_trust.ConnectionTrust(0.4)
    trust.record_old_silence()
    assert trust.is_only_old_silent
    trust.record_failure()
    if is_answering:
        trust.record_answer()
    trust.record_old_silence()
    assert trust.is_only_old_silent == is_answering
