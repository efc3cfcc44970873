"""Tests of the figures of a node's ports."""

import collections
import types

from pumicestand import buffer_budget
from pumicestand_node import port_usage


def test_each_excess_connection_is_told_once():
    port = types.SimpleNamespace(excess_counts=collections.Counter(closed=2))
    usage = port_usage.PortUsage(None, buffer_budget.BufferBudget())
    usage.add('clients', port)
    assert usage.take_excess() == {'clients': {'closed': 2}}
    assert usage.take_excess() == {}
    port.excess_counts['refused'] += 1
    assert usage.take_excess() == {'clients': {'refused': 1}}
