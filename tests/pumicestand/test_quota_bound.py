"""Checks that no window has more calls than the quota's bound allows.

The nodes of a fleet exchange their messages over a simulated network with
faults; see `benchmarks.quota_simulation`.
"""

import hypothesis
from hypothesis import strategies as st
import pytest

from benchmarks import quota_simulation

SECONDS = 14.0
# Calls a second at most; more would only make the test slower.
MAX_CALL_RATE = 1500.0


def times(maximum=SECONDS):
    return st.floats(0.0, maximum).map(lambda value: round(value, 3))


@st.composite
def pauses(draw):
    start = draw(times())
    end = start + draw(times(6.0))
    return quota_simulation.Pause(start, end, draw(st.integers(0, 39)))


@st.composite
def cuts(draw):
    start = draw(times())
    groups = draw(st.sampled_from((2, 3, 1000)))
    return quota_simulation.Cut(start, start + draw(times(9.0)), groups)


@st.composite
def scenarios(draw):
    """Draw a fleet, its faults, and load that follows no quota."""
    nodes = draw(st.sampled_from((2, 3, 5, 13, 40)))
    rate = draw(st.sampled_from((1.0, 3.0, 30.0, 200.0)))
    burst = draw(st.sampled_from((0.0, 1.0, 0.5, 3.0))) * rate
    traffic = [
        quota_simulation.Traffic(
            'north', rate * draw(st.sampled_from((0.3, 1, 4))), 0.0, SECONDS
        )
    ]
    for _ in range(draw(st.integers(0, 2))):
        start = draw(times())
        few = draw(st.sampled_from((None, (0,), (1, 2))))
        surge = min(MAX_CALL_RATE, rate * draw(st.sampled_from((7, 100))))
        traffic.append(
            quota_simulation.Traffic(
                'north', surge, start, start + draw(times(3.0)), few
            )
        )
    faults = draw(
        st.lists(
            st.one_of(
                cuts(),
                pauses(),
                st.builds(
                    quota_simulation.Restart, times(), st.integers(0, 39)
                ),
                st.builds(quota_simulation.Death, times(), st.integers(0, 39)),
                st.builds(quota_simulation.Join, times()),
                st.builds(
                    quota_simulation.Change,
                    times(),
                    st.just('north'),
                    st.sampled_from((0.01, 0.2)).map(lambda f: f * rate),
                    st.just(burst / 8),
                ),
            ),
            max_size=5,
        )
    )
    fractions = st.sampled_from((0.0, 0.05, 0.3))
    return quota_simulation.Scenario(
        nodes,
        SECONDS,
        {'north': quota_simulation.organisation('north', rate, burst)},
        tuple(traffic),
        tuple(faults),
        draw(fractions),
        draw(fractions),
        draw(fractions),
    )


@hypothesis.settings(max_examples=100)
@hypothesis.given(scenarios(), st.integers(0, 1000))
def test_calls_stay_within_the_bound_whatever_fails(scenario, seed):
    initial = scenario.organisations['north']
    simulation = quota_simulation.Simulation(scenario, seed).run()
    ratio = quota_simulation.over_bound(simulation, 'north', initial)
    assert ratio <= 1.0


@pytest.mark.parametrize('groups', [2, 1000])
def test_bound_holds_in_a_cut_fleet_of_660_nodes(groups):
    """Each part of a fleet could use the rate and the bucket of the whole."""
    rate = 3.0
    scenario = quota_simulation.Scenario(
        660,
        9.0,
        {'north': quota_simulation.organisation('north', rate, 0.0)},
        (
            quota_simulation.Traffic('north', 2.0, 0.0, 7.0),
            quota_simulation.Traffic('north', 1500.0, 7.0, 9.0),
        ),
        (quota_simulation.Cut(2.0, 9.0, groups),),
    )
    simulation = quota_simulation.Simulation(scenario).run()
    initial = scenario.organisations['north']
    ratio = quota_simulation.over_bound(simulation, 'north', initial)
    assert ratio <= 1.0


def test_quota_is_usable_while_messages_are_lost():
    rate = 100.0
    scenario = quota_simulation.Scenario(
        30,
        SECONDS,
        {'north': quota_simulation.organisation('north', rate, 50.0)},
        (quota_simulation.Traffic('north', 3 * rate, 0.0, SECONDS),),
        loss=0.05,
    )
    simulation = quota_simulation.Simulation(scenario).run()
    late = [at for at in simulation.started['north'] if at >= 4.0]
    assert len(late) >= 0.85 * rate * (SECONDS - 4.0)
