"""Factories of reports, fleets, orders and mesh states for tests."""

import random

from pumicestand import decision_log
from pumicestand import fleet as fleets
from pumicestand import hop_messages
from pumicestand import node_records
from pumicestand import rollouts
from pumicestand import target_states
from pumicestand_node import mesh_settings
from pumicestand_node import mesh_state


def writer_to(written):
    """Return a writer of a `decision_log.DecisionLog` that drops nothing.

    :param written: list to which it adds what it writes
    """

    def write(data):
        written.append(data)
        return 0

    return write


def make_target(name, service='s', version='v1', **kwargs):
    """Return the `hop_messages.Target` beside the node of a name."""
    return hop_messages.Target(
        instance=f'i-{name}',
        service=service,
        version=version,
        host='10.0.0.1',
        port=8000,
        slots=kwargs.pop('slots', 4),
        state=kwargs.pop('state', target_states.TargetState.SERVING),
        started_ms=kwargs.pop('started_ms', 1),
    )


def make_report(name, zone='a', incarnation=1, sequence=1, **kwargs):
    """Return the `hop_messages.Report` of a node, by default with a target."""
    target = kwargs.pop('target', make_target(name))
    kwargs.setdefault('load', hop_messages.Load(slots=4, work_ms=50.0))
    return hop_messages.Report(
        name=name,
        incarnation=incarnation,
        sequence=sequence,
        zone=zone,
        host='10.0.0.1',
        port=7000,
        target=target,
        **kwargs,
    )


def make_fleet(*reports, own_name='own'):
    """Return a `fleet.Fleet` whose nodes are linked and sent the reports."""
    fleet = fleets.Fleet(own_name)
    for report in reports:
        fleet.apply_report(report, 0.0)
        fleet.get(report.name).is_linked = True
    return fleet


def make_mesh(name='own', seed=1, link_rate=0.0, evacuation=0.0):
    """Return the `mesh_state.MeshState` of a node that knows nothing yet.

    :param evacuation: see `mesh_settings.MeshBounds`
    """
    return mesh_state.MeshState(
        node_records.NodeRecord(name, '10.0.0.1', 7000, 'a'),
        1,
        mesh_settings.MeshBounds(6.0, 0.2, 60.0, 10.0, evacuation=evacuation),
        decision_log.DecisionLog(name, lambda: 1.0, lambda data: 0),
        random.Random(seed),
        link_rate,
    )


def make_order(version='v2', duration=15.0, **kwargs):
    """Return a `rollouts.Order` for the service ``s``."""
    return rollouts.Order(
        service='s',
        version=version,
        duration=duration,
        revision=kwargs.pop('revision', 5),
        order_id=kwargs.pop('order_id', 5),
        stored_state=kwargs.pop('stored_state', None),
        era=kwargs.pop('era', 0),
    )
