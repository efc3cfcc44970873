"""Tests of the measured use of a VM's network link."""

import pytest

from pumicestand import link_meter

RATE_BYTES_PER_S = 5e6 / 8


def transfer(meter, seconds, share, record):
    """Use a share of the link for some seconds; return the utilisation.

    :param record: method of the meter that counts the bytes
    """
    for tick in range(int(seconds * 20)):
        record(RATE_BYTES_PER_S * share / 20, tick / 20)
    return meter.utilisation(seconds)


@pytest.mark.parametrize('share', [0.1, 0.5, 0.9])
def test_utilisation_is_that_of_the_busier_direction(share):
    meter = link_meter.LinkMeter(RATE_BYTES_PER_S)
    meter.record_sent(RATE_BYTES_PER_S * 0.01, 4.9)
    utilisation = transfer(meter, 5.0, share, meter.record_received)
    assert utilisation == pytest.approx(share, abs=0.05)


def test_utilisation_decays_on_an_idle_link():
    meter = link_meter.LinkMeter(RATE_BYTES_PER_S)
    transfer(meter, 5.0, 0.9, meter.record_sent)
    assert meter.utilisation(9.0) < 0.02


def test_utilisation_is_at_most_one():
    meter = link_meter.LinkMeter(RATE_BYTES_PER_S)
    assert transfer(meter, 5.0, 3.0, meter.record_sent) == 1.0


def test_link_of_unknown_rate_has_no_utilisation():
    meter = link_meter.LinkMeter(0.0)
    meter.record_sent(1e9, 0.0)
    assert meter.utilisation(0.0) == 0.0


def test_body_takes_longer_on_a_busy_link():
    idle_ms = link_meter.transfer_ms(100, RATE_BYTES_PER_S, 0.0)
    assert link_meter.transfer_ms(100, RATE_BYTES_PER_S, 0.5) == pytest.approx(
        2 * idle_ms
    )
    full_ms = link_meter.transfer_ms(100, RATE_BYTES_PER_S, 1.0)
    assert full_ms == pytest.approx(idle_ms / link_meter.MIN_FREE_SHARE)
