"""Tests that the boundary accepts and rejects what the models do.

The readers replaced models of pydantic, whose import costs a start more than
all of the product's modules. An input that only one of the two accepts would
be a change of the interface to the platform.
"""

import copy
import dataclasses
import json

import pydantic
import pytest

from pumicestand import errors
from pumicestand import field_reading
from pumicestand import hop_messages
from pumicestand import node_records
from pumicestand_platform import configuration_fields
from pumicestand_platform import control
from pumicestand_platform import settings
from tests.pumicestand_platform import reference_models

MISSING = object()
VALUES = (
    *(MISSING, None, True, False, 0, 1, -1, 65535, 65536, 10**20),
    *(0.0, 1.0, 1.5, -0.5, 1e19, float('inf'), float('nan')),
    *('', 'x', '1', '0', '-1', ' 7 ', '1.0', '1.5', '1_0', 'inf', 'nan'),
    *('true', 'running', 'rolled_back', [], {}, [1], {'a': 1}),
    *([{'service': 's', 'weight': 1}], [{'service': 's'}], ['s'], [None]),
    *([{'instance': 'i'}], [{'instance': 'i', 'started_ms': -1}]),
    *(1e6, 1e6 + 1, 1e9, 2e9, 2**63 - 1, 2**63, 'x' * 256, 'x' * 257),
    *('a..b', 'x' * 64, 'a.b-c', '::1', ':', 'a b', 'a\r\nb: c', '\x7f'),
)
RECORD = {
    'name': 'a',
    'host': '10.0.0.1',
    'port': 7000,
    'zone': 'z',
    'target': {
        'instance': 'i',
        'service': 's',
        'version': 'v',
        'host': '10.0.0.1',
        'port': 80,
        'slots': 4,
        'state': 1,
        'started_ms': 5,
    },
    'departed': [{'instance': 'i', 'started_ms': 4}],
}
HEARTBEAT = {
    'address': '10.0.0.9:8080',
    'born': 1700000000000,
    'info': {
        'service': 's',
        'version': 'v1',
        'zone': 'z',
        'max_concurrency': 9,
    },
    'status': {'state': 'ready', 'sequence': 4, 'cold_left_s': 1.5},
}
ROUTE = {
    'name': 'r',
    'host': 'h',
    'path_prefix': '/x/',
    'route_type': 'idempotent',
    'timeout_s': 1.5,
    'target_latency_s': 0.5,
    'priority': 1,
    'service': 's',
    'max_attempts': 2,
    'traffic_split': [{'service': 's', 'weight': 2}],
    'public': True,
}
ORGANISATION = {
    'name': 'o',
    'api_keys': ['k'],
    'priority': 1,
    'rate_per_s': 2.5,
    'burst': 3,
}
SERVICE = {
    'name': 's',
    'max_connections': 4,
    'cold_start_s': 3,
    'cold_per_s': 6.5,
}
LIMITS = {
    'max_header_bytes': 1,
    'max_body_bytes': 2,
    'header_timeout_s': 3.5,
    'idle_timeout_s': 4,
}
ORDER = {'service': 's', 'target_version': 'v', 'duration_s': 5}
STATUS = {'state': 'running', 'target_version': 'v'}
SETTINGS = {
    'node_name': 'a',
    'zone': 'z',
    'region': 'r',
    'service': 's',
    'ip': '10.0.0.1',
    'listen.outbound': '10.0.0.1:1',
    'listen.ready': '10.0.0.1:2',
    'listen.control': '10.0.0.1:3',
    'internal_ports': '4,5',
    'platform.address': '10.0.0.1:6',
    'limits.link_mbps': '5',
    'bootstrap': 'true',
    'bounds.grace_s': '6',
    'bounds.retry_budget_ratio': '0.2',
    'bounds.retry_budget_slack': '60',
    'bounds.budget_window_s': '10',
    'bounds.strict_revoke': 'off',
    'bounds.revoke_s': '5',
    'bounds.quota_window_s': '5',
    'bounds.quota_over': '0.1',
    'bounds.quota_slack': '20',
    'bounds.evacuate_s': '0',
    'bounds.cold_over': '1.5',
    'bounds.cold_slack': '8',
}


def variants(data):
    """Yield copies of data in which one field differs."""
    yield data
    for value in VALUES:
        if value is not MISSING:
            yield value
    for name, part in data.items():
        for value in VALUES:
            changed = copy.deepcopy(data)
            changed[name] = value
            if value is MISSING:
                del changed[name]
            yield changed
        if isinstance(part, dict):
            for changed_part in variants(part):
                yield {**data, name: changed_part}
    yield {**data, 'a field of tomorrow': 1}


def to_text(value):
    """Return the fields of a data class or model as comparable text."""
    if isinstance(value, pydantic.BaseModel):
        value = value.model_dump()
    elif dataclasses.is_dataclass(value):
        value = dataclasses.asdict(value)
    return repr(sorted(value.items())) if isinstance(value, dict) else value


@pytest.mark.parametrize(
    ('read', 'model', 'data'),
    [
        (configuration_fields.read_route, reference_models.Route, ROUTE),
        (
            configuration_fields.read_service,
            reference_models.Service,
            SERVICE,
        ),
        (
            configuration_fields.read_organisation,
            reference_models.Organisation,
            ORGANISATION,
        ),
        (configuration_fields.read_limits, reference_models.Limits, LIMITS),
        (
            configuration_fields.read_order,
            reference_models.RolloutOrder,
            ORDER,
        ),
        (
            configuration_fields.read_status,
            reference_models.RolloutStatus,
            STATUS,
        ),
    ],
)
def test_objects_of_operator(read, model, data):
    for changed in variants(data):
        try:
            expected = to_text(model.model_validate(changed))
        except pydantic.ValidationError:
            expected = None
        try:
            actual = to_text(read(changed))
        except field_reading.FieldError:
            actual = None
        assert actual == expected, changed


def test_node_records():
    for changed in variants(RECORD):
        try:
            expected = reference_models.NodeRecord.model_validate(
                changed
            ).model_dump(mode='json')
        except pydantic.ValidationError:
            expected = None
        record = node_records.from_json(changed)
        actual = None if record is None else node_records.to_json(record)
        assert json.dumps(actual) == json.dumps(expected), changed


def test_written_node_record_is_read_as_it_was():
    target = hop_messages.Target('i', 's', 'v', 'h', 1, 2, started_ms=3)
    departed = (hop_messages.Incarnation('i', 2),)
    for record in (
        node_records.NodeRecord('a', 'h', 1, 'z'),
        node_records.NodeRecord('a', 'h', 1, 'z', target),
        node_records.NodeRecord('a', 'h', 1, 'z', target, departed),
    ):
        written = json.dumps(node_records.to_json(record))
        reference = reference_models.NodeRecord.model_validate_json(written)
        assert written == json.dumps(reference.model_dump(mode='json'))
        assert node_records.from_json(json.loads(written)) == record


def is_heartbeat_accepted(body):
    request = ('POST', '/instances/i/heartbeat', body)
    return control.read_control_request(*request) is not None


def is_heartbeat_valid(body):
    """Return whether the model and the checks after it accept a body."""
    try:
        heartbeat = reference_models.Heartbeat.model_validate_json(body)
    except pydantic.ValidationError:
        return False
    host, _, port = heartbeat.address.rpartition(':')
    try:
        reference_models.Address(host=host, port=port)
    except pydantic.ValidationError:
        return False
    is_known = heartbeat.status.state in ('ready', 'draining')
    return is_known and port.isascii() and port.isdigit() and len(port) < 6


def test_heartbeats():
    for changed in variants(HEARTBEAT):
        body = json.dumps(changed).encode()
        assert is_heartbeat_accepted(body) == is_heartbeat_valid(body), body


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        (b'"z"', b'"\\ud800"'),
        (b'"z"', b'"\\ud83d\\ude00"'),
        (b'"z"', b'"\xff"'),
        (b'"z"', b'"\xc3\xa9"'),
        (b'"z"', b'"\n"'),
        (b'"z"', b'"\x00"'),
        (b'9}', b'9.0}'),
        (b'1.5', b'NaN'),
        (b'1.5', b'Infinity'),
        (b'1.5', b'1e999'),
        (b'1.5', b'01.5'),
        (b'1.5', b'1.'),
        (b'"sequence": 4', b'"sequence": 4, "sequence": "x"'),
        (b'"sequence": 4', b'"sequence": "x", "sequence": 4'),
        (b'"sequence": 4', b'"sequence": -4'),
        (b'"sequence": 4', b'"sequence": ' + b'9' * 4301),
        (b'{"address"', b'\xef\xbb\xbf{"address"'),
        (b'}}', b'}}x'),
        (b'}}', b'}},'),
        (b'}}', b'}} '),
    ],
)
def test_bodies_of_heartbeats(old, new):
    valid = json.dumps(HEARTBEAT).encode()
    assert old in valid
    body = valid.replace(old, new)
    assert is_heartbeat_accepted(body) == is_heartbeat_valid(body)


def test_heartbeat_in_another_encoding_is_rejected():
    assert not is_heartbeat_accepted(json.dumps(HEARTBEAT).encode('utf-16'))


def test_deeply_nested_heartbeat_is_rejected():
    body = json.dumps(HEARTBEAT)[:-1] + ', "x": ' + '[' * 9999 + ']' * 9999
    assert not is_heartbeat_accepted(body.encode() + b'}')


def test_settings():
    for name in (*SETTINGS, 'other'):
        for value in VALUES:
            fields = {**SETTINGS, name: value}
            if value is MISSING:
                del fields[name]
            elif not isinstance(value, str):
                continue
            check_settings(fields, name)


def check_settings(fields, name):
    text = '\n'.join(f'{name}={value}' for name, value in fields.items())
    stripped = {name: value.strip() for name, value in fields.items()}
    try:
        expected = reference_models.SettingsFile.model_validate(stripped)
    except pydantic.ValidationError:
        with pytest.raises(errors.SettingsError) as caught:
            settings.parse(text)
        assert caught.value.message.startswith(f'{name}=')
        return
    try:
        parsed = settings.parse(text)
    except errors.SettingsError:
        # An address or the ports, which the model takes for any text.
        assert name in (
            'listen.outbound',
            'listen.ready',
            'listen.control',
            'platform.address',
            'internal_ports',
        )
        return
    bounds = to_text(parsed.bounds)
    names = [field.name for field in dataclasses.fields(parsed.bounds)]
    assert bounds == to_text({n: getattr(expected, n) for n in names})
    assert parsed.link_rate == expected.link_rate * settings.BYTES_PER_MEGABIT
    assert parsed.is_first_start == expected.bootstrap
