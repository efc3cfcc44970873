"""Tests of the metrics of a node on the platform."""

from pumicestand_node import mesh_metrics
from pumicestand_node import outbound_calls
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
