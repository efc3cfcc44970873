"""Tests of how the capacity page is made."""

import pytest

from benchmarks import capacity


def test_a_line_is_fitted_with_its_spread():
    slope, intercept, spread = capacity.fit([(1, 3.0), (2, 5.0), (3, 7.0)])
    assert (slope, intercept) == pytest.approx((2.0, 1.0))
    assert spread == pytest.approx(0.0)
    assert capacity.fit([(1, 0.0), (2, 3.0), (3, 0.0)])[2] == 2.0


def test_what_does_not_grow_is_taken_at_its_largest_point():
    falling = [(20, 2.6), (60, 1.6), (100, 1.6)]
    assert '| 2.6 /s |' in capacity._row('reads', falling, '/s', '2000')
    rising = [(20, 1.0), (60, 2.0), (100, 3.0)]
    assert '| 17 /s |' in capacity._row('reads', rising, '/s', '2000')


def test_only_the_measured_part_is_rewritten():
    page = f'before\n{capacity.BEGIN}\nold\n{capacity.END}\nafter\n'
    changed = capacity.rewrite(page, 'new')
    assert changed == page.replace('old', 'new')
    assert capacity.rewrite(changed, 'old') == page
