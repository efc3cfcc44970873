"""Tests of how the components of a node are put together."""

import dataclasses

import pytest

from pumicestand_node import mesh_node
from pumicestand_platform import main
from pumicestand_platform import settings
from tests.pumicestand_platform import test_settings


@pytest.fixture
def make_node(monkeypatch):
    """Return a function that makes a node that writes no log."""
    monkeypatch.setattr(
        mesh_node.decision_log,
        'make_writer',
        lambda descriptor: lambda data: True,
    )

    def make(is_strict):
        node_settings = settings.parse(test_settings.TEXT)
        bounds = dataclasses.replace(
            node_settings.bounds, is_revocation_strict=is_strict
        )
        node_settings = dataclasses.replace(node_settings, bounds=bounds)
        return mesh_node.MeshNode(
            node_settings, main.make_adapter(node_settings)
        )

    return make


def test_keys_need_proofs_where_revocation_is_strict(make_node):
    """A node that has just started has none."""
    node = make_node(is_strict=True)
    assert not node._outbound_calls.access.is_fresh()
    assert node._links.on_freshness is not None


def test_keys_need_no_proofs_where_revocation_is_not_strict(make_node):
    node = make_node(is_strict=False)
    assert node._freshness is None
    assert node._outbound_calls.access.is_fresh()
    assert node._links.on_freshness is None
