"""The calls that clients make: when, of which kind, at which node."""

import dataclasses
import math

import numpy

from benchmarks.load_player import deployments


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A call of a client.

    :param time: simulated seconds
    :param node: index of the node at which the client calls
    :param organisation: empty for none
    """

    time: float
    kind: deployments.Kind
    node: int
    organisation: str


def generate(deployment, nodes_by_zone, rate_factor, duration_s, rng):
    """Return the `Arrival`s of a day, by time.

    :param nodes_by_zone: indices of the nodes of each zone
    :param rate_factor: multiple of the rates in the deployment
    :param rng: a `numpy.random.Generator`
    """
    shares = _organisation_shares(deployment.organisations)
    nodes = sum(len(indices) for indices in nodes_by_zone)
    arrivals = []
    for zone, indices in enumerate(nodes_by_zone):
        phase = 2 * math.pi * zone / len(nodes_by_zone)
        for kind in deployment.kinds:
            rate = kind.rate * rate_factor * len(indices) / nodes
            for rank, share in enumerate(shares):
                name = f'o{rank}' if deployment.organisations.count else ''
                times = _times(
                    deployment, rate * share, rank, phase, duration_s, rng
                )
                chosen = rng.choice(indices, len(times))
                arrivals += [
                    Arrival(float(time), kind, int(node), name)
                    for time, node in zip(times, chosen, strict=True)
                ]
    arrivals.sort(key=lambda arrival: arrival.time)
    return arrivals


def _organisation_shares(organisations):
    if not organisations.count:
        return numpy.ones(1)
    ranks = numpy.arange(1, organisations.count + 1)
    weights = ranks ** -float(organisations.exponent)
    return weights / weights.sum()


def _times(deployment, rate, rank, phase, duration_s, rng):
    """Return the times of a Poisson process whose rate varies."""
    wave = deployment.wave
    bursts = [
        burst
        for burst in deployment.bursts
        if burst.organisation in (None, rank)
    ]
    highest = (1 + wave.amplitude) * math.prod(
        max(1.0, burst.factor) for burst in bursts
    )
    count = rng.poisson(rate * highest * duration_s)
    times = numpy.sort(rng.uniform(0.0, duration_s, count))
    factors = 1 + wave.amplitude * numpy.sin(
        2 * math.pi * times / wave.period_s + phase
    )
    for burst in bursts:
        is_in = (times >= burst.start_s) & (times < burst.end_s)
        factors = numpy.where(is_in, factors * burst.factor, factors)
    return times[rng.uniform(0.0, highest, count) < factors]
