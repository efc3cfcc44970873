"""Tests of translating the operator's objects."""

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


def test_configuration_is_translated_to_document():
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
    assert document.client_limits == documents.ClientLimits(
        16384, 1000, 3.0, 15.0
    )


def with_cold_columns(cold_start_s, cold_per_s):
    spec = copy.deepcopy(SPEC)
    spec['services']['columns'] += ['cold_start_s', 'cold_per_s']
    for row in spec['services']['rows']:
        row += [cold_start_s, cold_per_s]
    return spec


@pytest.mark.parametrize(
    'columns, expected',
    [((8, 12.5), (8.0, 12.5)), ((None, None), (0.0, 0.0)), ((5, 0), (5, 0))],
)
def test_rate_of_cold_targets_is_read(columns, expected):
    _, document = configuration.read_configuration(with_cold_columns(*columns))
    service = document.service('s')
    assert (service.cold_start, service.cold_rate) == expected


def test_service_without_cold_columns_has_no_cold_rate():
    _, document = configuration.read_configuration(SPEC)
    service = document.service('s')
    assert (service.cold_start, service.cold_rate) == (0.0, 0.0)


@pytest.mark.parametrize('columns', [(8, -1), (-1, 8), (8, float('inf'))])
def test_configuration_with_an_impossible_cold_rate_is_rejected(columns):
    """It would stop all calls of the service, or pace none."""
    spec = with_cold_columns(*columns)
    assert configuration.read_configuration(spec) is None


@pytest.mark.parametrize(
    'invalidate',
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
def test_invalid_configuration_is_rejected(invalidate):
    spec = copy.deepcopy(SPEC)
    invalidate(spec)
    assert configuration.read_configuration(spec) is None


@pytest.mark.parametrize('data', [None, 7, [], 'text', {'version': '1'}])
def test_data_of_wrong_type_is_no_configuration(data):
    assert configuration.read_configuration(data) is None


def make_stored_order(spec=None, status=None):
    order = {'service': 's', 'target_version': 'v2', 'duration_s': 12}
    return stored_objects.StoredObject(
        'rollouts', 's', 9, 4, order if spec is None else spec, status
    )


def test_order_is_read_with_its_state():
    translator = configuration.Translator()
    order = translator.read_order(make_stored_order())
    assert (order.service, order.version) == ('s', 'v2')
    assert (order.duration, order.revision) == (12.0, 9)
    assert order.stored_state is None
    for state in State:
        status = translator.make_status(order, state)
        assert (
            translator.read_order(make_stored_order(None, status)).stored_state
            is state
        )


def test_state_of_other_version_is_ignored():
    status = {'state': 'complete', 'target_version': 'v1'}
    order = configuration.Translator().read_order(
        make_stored_order(None, status)
    )
    assert order.stored_state is None


@pytest.mark.parametrize('spec', [{}, [], 'x', {'service': 's'}])
def test_invalid_order_is_rejected(spec):
    assert (
        configuration.Translator().read_order(make_stored_order(spec)) is None
    )


def test_other_version_in_same_object_is_another_order():
    translator = configuration.Translator()
    first = translator.read_order(make_stored_order())
    spec = {'service': 's', 'target_version': 'v3', 'duration_s': 12}
    old_status = translator.make_status(first, State.COMPLETE)
    second = translator.read_order(make_stored_order(spec, old_status))
    assert second.order_id != first.order_id
    assert second.stored_state is None


def test_unchanged_routes_are_reused():
    translator = configuration.Translator()
    _, first = translator.read_configuration(SPEC)
    spec = copy.deepcopy(SPEC)
    spec['version'] = '00000020'
    spec['routes']['rows'][0][4] = 9.0
    _, second = translator.read_configuration(spec)
    assert second.routes[0].timeout == 9.0
    assert second.routes[1] is first.routes[1]


def test_row_is_read_by_current_columns():
    translator = configuration.Translator()
    translator.read_configuration(SPEC)
    spec = copy.deepcopy(SPEC)
    columns = spec['routes']['columns']
    timeout, objective = (
        columns.index('timeout_s'),
        columns.index('target_latency_s'),
    )
    columns[timeout], columns[objective] = (
        columns[objective],
        columns[timeout],
    )
    _, document = translator.read_configuration(spec)
    assert document.routes[0].timeout == 0.3


def make_spec_with_organisations(rows):
    spec = copy.deepcopy(SPEC)
    spec['tenants'] = {
        'columns': ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'],
        'rows': rows,
    }
    return spec


def test_organisations_are_translated():
    spec = make_spec_with_organisations(
        [['acme', ['k1', 'k2', ''], 2, 12.5, 4], ['no-limit', [], 1, None, 0]]
    )
    _, document = configuration.read_configuration(spec)
    assert document.organisations == (
        documents.Organisation('acme', frozenset(('k1', 'k2')), 2, 12.5, 4.0),
        documents.Organisation('no-limit', frozenset(), 1, 0.0, 0.0),
    )


@pytest.mark.parametrize('table', [None, {'columns': ['name'], 'rows': []}])
def test_configuration_without_rows_of_organisations_has_none(table):
    spec = {**SPEC, 'tenants': table}
    _, document = configuration.read_configuration(spec)
    assert document.organisations == ()


def test_route_is_public_only_if_configured_so():
    """A route without the column must not be open to clients without keys."""
    spec = copy.deepcopy(SPEC)
    _, document = configuration.read_configuration(spec)
    assert [route.is_public for route in document.routes] == [False, False]
    spec['routes']['columns'].append('public')
    for row, value in zip(spec['routes']['rows'], (True, None), strict=True):
        row.append(value)
    _, document = configuration.read_configuration(spec)
    assert [route.is_public for route in document.routes] == [True, False]


@pytest.mark.parametrize(
    'rows',
    [
        [['a', ['k1', 'k2'], 1, 0, 0], ['b', ['k3', 'k2'], 1, 0, 0]],
        [['a', ['k1'], 1, 0, 0], ['a', ['k1'], 1, 0, 0]],
        [['a\r\nx-other: 1', ['k1'], 1, 0, 0]],
        [['', ['k1'], 1, 0, 0]],
        [['a', 'k1', 1, 0, 0]],
        [['a', ['k1'], 1, -1, 0]],
        [[None, ['k1'], 1, 0, 0]],
        [['a', ['k1'], 1, 0]],
        [[]],
        [['a', ['\ud800'], 1, 0, 0]],
        [['\ud800', ['k1'], 1, 0, 0]],
        [['a', ['k1'], 1, 'inf', 0]],
        [['a', ['k1'], 70000, 0, 0]],
    ],
    ids=[
        'shared key',
        'same row twice',
        'header in name',
        'empty name',
        'keys not a list',
        'negative rate',
        'no name',
        'missing field',
        'empty row',
        'key that cannot be sent',
        'name that cannot be sent',
        'infinite rate',
        'priority beyond 16 bits',
    ],
)
def test_configuration_with_invalid_organisation_is_rejected(rows):
    """Nothing of such a configuration may come into force."""
    translator = configuration.Translator()
    spec = make_spec_with_organisations(rows)
    assert translator.read_configuration(spec) is None
    # An unchanged table is not parsed again, but still invalid.
    assert translator.read_configuration(copy.deepcopy(spec)) is None


def test_key_may_move_from_one_organisation_to_another():
    translator = configuration.Translator()
    translator.read_configuration(
        make_spec_with_organisations(
            [['a', ['k1'], 1, 0, 0], ['b', ['k2'], 1, 0, 0]]
        )
    )
    _, document = translator.read_configuration(
        make_spec_with_organisations(
            [['a', ['k2'], 1, 0, 0], ['b', ['k1'], 1, 0, 0]]
        )
    )
    assert [o.keys for o in document.organisations] == [{'k2'}, {'k1'}]


def test_unchanged_organisations_are_reused():
    translator = configuration.Translator()
    rows = [['a', ['k1'], 1, 0, 0], ['b', ['k2'], 1, 0, 0]]
    spec = make_spec_with_organisations(rows)
    _, first = translator.read_configuration(spec)
    _, second = translator.read_configuration(copy.deepcopy(spec))
    assert second.organisations is first.organisations
    changed = copy.deepcopy(spec)
    changed['tenants']['rows'][0][3] = 5
    _, third = translator.read_configuration(changed)
    assert third.organisations[0].rate == 5.0
    assert third.organisations[1] is first.organisations[1]


def test_inserted_moved_and_removed_rows_are_read():
    """Rows are reused by name and content, not by their position."""
    translator = configuration.Translator()
    translator.read_configuration(SPEC)
    spec = copy.deepcopy(SPEC)
    rows = spec['routes']['rows']
    rows.reverse()
    rows.insert(0, ['r0', *rows[0][1:]])
    _, document = translator.read_configuration(copy.deepcopy(spec))
    assert [route.name for route in document.routes] == ['r0', 'r2', 'r1']
    assert document == configuration.read_configuration(spec)[1]
    del rows[1]
    _, document = translator.read_configuration(copy.deepcopy(spec))
    assert document == configuration.read_configuration(spec)[1]


def test_invalid_row_does_not_spoil_the_rows_kept():
    """A value must not be paired with the row of another configuration."""
    translator = configuration.Translator()
    translator.read_configuration(SPEC)
    invalid = copy.deepcopy(SPEC)
    invalid['routes']['rows'][0][4] = 'soon'
    assert translator.read_configuration(invalid) is None
    assert translator.read_configuration(copy.deepcopy(invalid)) is None
    _, document = translator.read_configuration(copy.deepcopy(SPEC))
    assert document == configuration.read_configuration(SPEC)[1]


def test_generation_is_read_from_otherwise_invalid_configuration():
    translator = configuration.Translator()
    assert translator.read_generation({'version': '0000001f'}) == 31
    for spec in (None, [], {}, {'version': 'x'}, {'version': None}):
        assert translator.read_generation(spec) is None
