"""Tests of the fits and of the update of the capacity page."""

import pytest

from benchmarks import capacity


def test_a_line_is_fitted_with_its_largest_deviation():
    slope, intercept, max_deviation = capacity.fit_line(
        [(1, 3.0), (2, 5.0), (3, 7.0)]
    )
    assert (slope, intercept) == pytest.approx((2.0, 1.0))
    assert max_deviation == pytest.approx(0.0)
    assert capacity.fit_line([(1, 0.0), (2, 3.0), (3, 0.0)])[2] == 2.0


def test_a_value_that_does_not_grow_is_its_largest_point():
    falling = [(20, 2.6), (60, 1.6), (100, 1.6)]
    assert '| 2.6 /s |' in capacity._format_row('reads', falling, '/s', '2000')
    rising = [(20, 1.0), (60, 2.0), (100, 3.0)]
    assert '| 17 /s |' in capacity._format_row('reads', rising, '/s', '2000')


def test_only_the_measured_part_is_replaced():
    page = (
        f'before\n{capacity.BEGIN_MARKER}\nold\n{capacity.END_MARKER}\nafter\n'
    )
    changed = capacity.replace_measured_part(page, 'new')
    assert changed == page.replace('old', 'new')
    assert capacity.replace_measured_part(changed, 'old') == page
