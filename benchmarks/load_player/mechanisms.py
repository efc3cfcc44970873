"""The mechanisms of decisions under load, which can be left out one by one."""

import dataclasses

from benchmarks.load_player import policies
from pumicestand import placing
from pumicestand import target_queue


@dataclasses.dataclass(frozen=True, slots=True)
class Mechanism:
    """A mechanism, and the policy of nodes that do without it.

    :param load: the load that it answers, for people
    """

    name: str
    load: str
    without: policies.Policy


def _without_in_queue(name, load, **changes):
    policy = dataclasses.replace(target_queue.DEFAULT_POLICY, **changes)
    return Mechanism(
        name, load, dataclasses.replace(policies.CURRENT, queue_policy=policy)
    )


def _without_in_placing(name, load, **changes):
    policy = dataclasses.replace(placing.DEFAULT_POLICY, **changes)
    return Mechanism(
        name,
        load,
        dataclasses.replace(policies.CURRENT, placing_policy=policy),
    )


def _without(name, load, **changes):
    return Mechanism(
        name, load, dataclasses.replace(policies.CURRENT, **changes)
    )


MECHANISMS = (
    _without_in_queue(
        'late-last',
        'retries that are late already while new calls can be in time',
        puts_late_last=False,
    ),
    _without_in_queue(
        'refusal-on-arrival',
        'more calls than can be in time',
        refuses_on_arrival=False,
    ),
    _without_in_queue(
        'margins',
        'calls whose work varies, at the limit of the capacity',
        admitted_work_share=1.0,
        started_work_share=0.5,
    ),
    _without_in_queue(
        'kept-slots',
        'late retries on targets with few slots',
        kept_slots_share=0.0,
    ),
    _without_in_queue(
        'nested-first',
        'calls that hold a slot until their nested calls are answered',
        puts_nested_first=False,
    ),
    _without_in_queue(
        'returned-first',
        'clients that were refused and return',
        puts_returned_first=False,
    ),
    _without_in_queue(
        'urgent-reserve',
        'urgent calls that keep arriving before less urgent ones start',
        reserves_for_urgent=False,
    ),
    _without_in_placing(
        'jitter', 'nodes that have the same reports', jitter_share=0.0
    ),
    _without_in_placing(
        'zone-price',
        'traffic between zones that is expensive',
        cross_zone_cost_per_kb=0.0,
    ),
    _without_in_placing(
        'failure-penalty',
        'targets that fail a part of their calls',
        failure_penalty_ratio=0.0,
    ),
    _without_in_placing(
        'slowness', 'targets of different speed', uses_slowness=False
    ),
    _without_in_placing(
        'report-decay', 'reports older than a call', forgets_reports=False
    ),
    _without('probes', 'busy targets while others are idle', has_probes=False),
    _without('return-times', 'an overload of seconds', has_return_times=False),
    _without(
        'displacing-refusal',
        'nested calls that displace more urgent calls',
        has_admission=False,
    ),
)


def find(name):
    """Return the `Mechanism` of a name, None if there is none."""
    return next((m for m in MECHANISMS if m.name == name), None)
