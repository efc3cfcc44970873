"""Tests of when a starting node says that it is ready."""

import types

import pytest

from pumicestand import hop_messages
from pumicestand_node import mesh_node
from tests.pumicestand import mesh_fakes


class LinkedNode:
    """What a `mesh_node.MeshNode` decides its readiness on."""

    def __init__(self, evacuation=5.0):
        self._mesh = mesh_fakes.make_mesh(evacuation=evacuation)
        self._mesh.configuration = object()
        self._links = types.SimpleNamespace(are_selected_linked=True)
        self._started_at = 0.0

    @property
    def mesh(self):
        return self._mesh

    _awaits_evacuations = mesh_node.MeshNode._awaits_evacuations

    def should_be_ready(self, now):
        return mesh_node.MeshNode._should_be_ready(self, now)


@pytest.mark.parametrize('now', [0.5, 5.0])
def test_starting_node_reads_the_evacuations_before_it_is_ready(now):
    """It would place calls in a zone that is evacuated already."""
    node = LinkedNode()
    assert not node.should_be_ready(now)
    node.mesh.evacuations.apply_reported(hop_messages.Evacuations(1, 5))
    assert node.should_be_ready(now)


def test_node_that_starts_while_the_store_is_down_is_ready():
    node = LinkedNode()
    node.mesh.store_reachable = False
    assert node.should_be_ready(0.5)


def test_node_stays_ready_when_the_store_is_back():
    """What it has to read then takes a moment."""
    node = LinkedNode()
    node.mesh.is_ready = True
    assert node.should_be_ready(0.5)


def test_node_waits_for_nothing_where_no_zone_is_evacuated():
    assert LinkedNode(evacuation=0.0).should_be_ready(0.5)
