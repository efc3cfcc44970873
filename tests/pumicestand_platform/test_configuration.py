"""Tests of the operator's objects, translated."""

import copy

import pytest

from pumicestand import documents
from pumicestand import hop_messages
from pumicestand import stored_objects
from pumicestand_platform import configuration

State = hop_messages.RolloutState

SPEC = {
    'version': '0000001f',
    'routes': {
        'columns': [
            'name',
            'host',
            'path_prefix',
            'route_type',
            'timeout_s',
            'target_latency_s',
            'priority',
            'service',
            'max_attempts',
            'traffic_split',
        ],
        'rows': [
            ['r1', 'A.example', '/x/', 'idempotent', 1.2, 0.3, 2, 's', 2]
            + [None],
            ['r2', 'b.example', '/y/', 'upload', 0.8, 0.4, 1, None, 1]
            + [[{'service': 's', 'weight': 9}, {'service': 't', 'weight': 1}]],
        ],
    },
    'services': {
        'columns': ['name', 'health_path', 'max_connections'],
        'rows': [['s', '/healthz', 120], ['t', '/healthz', None]],
    },
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 1000,
        'header_timeout_s': 3,
        'idle_timeout_s': 15,
    },
}


def test_a_configuration_becomes_a_document():
    generation, document = configuration.read_configuration(SPEC)
    assert generation == 31
    first, second = document.routes
    assert (first.host, first.path) == ('a.example', '/x/')
    assert first.idempotent
    assert first.retries.attempts == 2
    assert (first.objective, first.timeout, first.priority) == (0.3, 1.2, 2)
    assert not second.idempotent
    assert second.to == (
        documents.Backend('s', 9),
        documents.Backend('t', 1),
    )
    assert document.service('s').limits.connections == 120
    assert document.caller_limits == documents.CallerLimits(
        16384, 1000, 3.0, 15.0
    )


@pytest.mark.parametrize(
    'spoil',
    [
        lambda spec: spec.pop('version'),
        lambda spec: spec.update(version='not hex'),
        lambda spec: spec.update(version=None),
        lambda spec: spec['routes']['rows'][0].pop(),
        lambda spec: spec['routes'].update(columns=None),
        lambda spec: spec.pop('limits'),
        lambda spec: spec['routes']['rows'][0].__setitem__(4, 'soon'),
    ],
)
def test_what_can_not_be_read_is_no_configuration(spoil):
    spec = copy.deepcopy(SPEC)
    spoil(spec)
    assert configuration.read_configuration(spec) is None


@pytest.mark.parametrize('data', [None, 7, [], 'text', {'version': '1'}])
def test_other_data_is_no_configuration(data):
    assert configuration.read_configuration(data) is None


def stored(spec=None, status=None):
    order = {'service': 's', 'target_version': 'v2', 'duration_s': 12}
    return stored_objects.StoredObject(
        'rollouts', 's', 9, 4, order if spec is None else spec, status
    )


def test_an_order_is_read_with_its_state():
    translator = configuration.Translator()
    order = translator.read_order(stored())
    assert (order.service, order.version) == ('s', 'v2')
    assert (order.duration, order.revision) == (12.0, 9)
    assert order.status is None
    for state in State:
        status = translator.make_status(order, state)
        assert translator.read_order(stored(None, status)).status is state


def test_a_state_of_another_version_is_left_over():
    status = {'state': 'complete', 'target_version': 'v1'}
    order = configuration.Translator().read_order(stored(None, status))
    assert order.status is None


@pytest.mark.parametrize('spec', [{}, [], 'x', {'service': 's'}])
def test_other_data_is_no_order(spec):
    assert configuration.Translator().read_order(stored(spec)) is None


def test_another_version_in_the_same_object_is_another_order():
    translator = configuration.Translator()
    first = translator.read_order(stored())
    spec = {'service': 's', 'target_version': 'v3', 'duration_s': 12}
    left_over = translator.make_status(first, State.COMPLETE)
    second = translator.read_order(stored(spec, left_over))
    assert second.key != first.key
    assert second.status is None


def test_routes_that_did_not_change_are_kept():
    translator = configuration.Translator()
    _, first = translator.read_configuration(SPEC)
    spec = copy.deepcopy(SPEC)
    spec['version'] = '00000020'
    spec['routes']['rows'][0][4] = 9.0
    _, second = translator.read_configuration(spec)
    assert second.routes[0].timeout == 9.0
    assert second.routes[1] is first.routes[1]


def test_a_row_means_what_its_columns_say():
    translator = configuration.Translator()
    translator.read_configuration(SPEC)
    spec = copy.deepcopy(SPEC)
    names = spec['routes']['columns']
    timeout, objective = (
        names.index('timeout_s'),
        names.index('target_latency_s'),
    )
    names[timeout], names[objective] = names[objective], names[timeout]
    _, read = translator.read_configuration(spec)
    assert read.routes[0].timeout == 0.3
