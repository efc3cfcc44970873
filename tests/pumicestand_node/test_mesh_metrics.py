"""Tests of the metrics of a node on the platform."""

from pumicestand import buffer_budget
from pumicestand import descriptor_budget
from pumicestand_node import client_port
from pumicestand_node import descriptors
from pumicestand_node import mesh_metrics
from pumicestand_node import outbound_calls
from pumicestand_node import port_usage
from pumicestand_node import target_calls
from pumicestand_platform import headers
from tests.pumicestand import mesh_fakes


def test_metrics_include_link_usage_and_refused_requests():
    mesh = mesh_fakes.make_mesh(link_rate=1000.0)
    mesh.link_meter.record_sent(500, 1.0)
    for crash in range(3):
        mesh.suspects.record_lost(7, float(crash))
        mesh.suspects.record_crash(float(crash))

    def clock():
        return 1.0

    targets = target_calls.TargetCalls(
        mesh.target_watch, mesh.suspects, headers.HEADERS, clock, lambda: None
    )
    outbound = outbound_calls.OutboundCalls(
        mesh, headers.HEADERS, 'own-service', targets.find_running, clock
    )
    outbound.access.counts[('Admitted', 'acme')] += 3
    node_metrics = mesh_metrics.MeshMetrics(mesh, outbound, targets, clock)
    # Metrics of another instance are no part of the text.
    mesh_metrics.MeshMetrics(mesh, outbound, targets, clock)
    lines = node_metrics.text().decode().splitlines()
    assert sum(x.startswith('pumicestand_link_busy') for x in lines) == 1
    values = {
        line.partition('{')[0].partition(' ')[0]: line.rpartition(' ')[2]
        for line in lines
        if not line.startswith('#')
    }
    assert float(values['pumicestand_link_busy']) == 0.5
    assert 'pumicestand_target_limit' not in values
    assert float(values['pumicestand_access_total']) == 3
    refused = values['pumicestand_requests_refused_for_crashes']
    assert float(refused) == 1


def test_metrics_include_connections_descriptors_and_held_bodies():
    mesh = mesh_fakes.make_mesh()
    targets = target_calls.TargetCalls(
        mesh.target_watch,
        mesh.suspects,
        headers.HEADERS,
        lambda: 1.0,
        lambda: None,
    )
    outbound = outbound_calls.OutboundCalls(
        mesh, headers.HEADERS, 's', targets.find_running, lambda: 1.0
    )
    budget = buffer_budget.BufferBudget(1000)
    budget.add(300)
    process = descriptors.Descriptors(4100, descriptor_budget.Demand)
    usage = port_usage.PortUsage(process, budget)
    port = client_port.ClientPort(None, None)
    port.excess_counts['replaced'] += 2
    usage.add('clients', port)
    usage.failures[('8304', 'accept-failed')] += 4
    node_metrics = mesh_metrics.MeshMetrics(
        mesh, outbound, targets, lambda: 1.0, usage=usage
    )
    lines = node_metrics.text().decode().splitlines()

    def value(name, *labels):
        (line,) = (
            x
            for x in lines
            if x.startswith((name + '{', name + ' '))
            and all(label in x for label in labels)
        )
        return float(line.rpartition(' ')[2])

    assert value('pumicestand_connections', 'port="clients"') == 0
    name = 'pumicestand_excess_connections_total'
    assert value(name, 'port="clients"', 'action="replaced"') == 2
    name = 'pumicestand_port_failures_total'
    assert value(name, 'port="8304"', 'code="accept-failed"') == 4
    assert value('pumicestand_descriptors_open') > 3
    assert value('pumicestand_descriptors_limit') == 4100
    assert value('pumicestand_bodies_held_bytes') == 300
    assert value('pumicestand_bodies_limit_bytes') == 1000
