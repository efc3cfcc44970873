"""Tests of the metrics of a node on the platform."""

import random

from pumicestand import decision_log
from pumicestand import node_records
from pumicestand_node import mesh as meshes
from pumicestand_node import mesh_metrics
from pumicestand_node import mesh_settings
from pumicestand_node import outbound_calls
from pumicestand_node import target_calls
from pumicestand_platform import headers


def test_a_scraper_reads_link_and_refused_requests():
    identity = node_records.NodeRecord('own', '10.0.0.1', 7000, 'a')
    bounds = mesh_settings.MeshBounds(6.0, 0.2, 60.0, 10.0)
    log = decision_log.DecisionLog('own', lambda: 1.0, lambda data: True)
    mesh = meshes.Mesh(identity, 1, bounds, log, random.Random(1), 1000.0)
    mesh.link_meter.note_sent(500, 1.0)
    for crash in range(3):
        mesh.suspects.note_lost(7, float(crash))
        mesh.suspects.note_crash(float(crash))

    def clock():
        return 1.0

    targets = target_calls.TargetCalls(
        mesh.watch, mesh.suspects, headers.HEADERS, clock, lambda: None
    )
    outbound = outbound_calls.OutboundCalls(
        mesh, headers.HEADERS, 'own-service', targets.running, clock
    )
    read = mesh_metrics.MeshMetrics(mesh, outbound, targets, log, clock)
    lines = read.text().decode().splitlines()
    values = {
        line.partition('{')[0].partition(' ')[0]: line.rpartition(' ')[2]
        for line in lines
        if not line.startswith('#')
    }
    assert float(values['pumicestand_link_busy']) == 0.5
    refused = values['pumicestand_requests_refused_for_crashes']
    assert float(refused) == 1
