"""Tests of the measure of a VM's network link."""

import pytest

from pumicestand import link_meter

RATE = 5e6 / 8


def carry(meter, seconds, share, note):
    """Have a share of the link used for some seconds."""
    for tick in range(int(seconds * 20)):
        note(RATE * share / 20, tick / 20)
    return meter.utilisation(seconds)


@pytest.mark.parametrize('share', [0.1, 0.5, 0.9])
def test_the_busier_direction_is_told(share):
    meter = link_meter.LinkMeter(RATE)
    meter.record_sent(RATE * 0.01, 4.9)
    busy = carry(meter, 5.0, share, meter.record_received)
    assert busy == pytest.approx(share, abs=0.05)


def test_it_tends_to_nothing_when_nothing_is_carried():
    meter = link_meter.LinkMeter(RATE)
    carry(meter, 5.0, 0.9, meter.record_sent)
    assert meter.utilisation(9.0) < 0.02


def test_more_than_the_link_carries_counts_as_all_of_it():
    meter = link_meter.LinkMeter(RATE)
    assert carry(meter, 5.0, 3.0, meter.record_sent) == 1.0


def test_a_link_of_unknown_rate_is_never_busy():
    meter = link_meter.LinkMeter(0.0)
    meter.record_sent(1e9, 0.0)
    assert meter.utilisation(0.0) == 0.0


def test_a_body_takes_longer_on_a_busy_link():
    free = link_meter.transfer_ms(100, RATE, 0.0)
    assert link_meter.transfer_ms(100, RATE, 0.5) == pytest.approx(2 * free)
    full = link_meter.transfer_ms(100, RATE, 1.0)
    assert full == pytest.approx(free / link_meter.MIN_FREE)
