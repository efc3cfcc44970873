"""Tests of parsing the heartbeats and departures of targets."""

import json

import pytest

from pumicestand import target_states
from pumicestand import targets
from pumicestand_platform import control

PATH = '/instances/i-7/heartbeat'
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


def read(data, path=PATH, method='POST'):
    return control.read_control_request(
        method, path, json.dumps(data).encode()
    )


def test_heartbeat_is_translated():
    heartbeat = read(HEARTBEAT)
    assert heartbeat.sequence == 4
    assert heartbeat.warm_up_left_s == 1.5
    target = heartbeat.target
    assert (target.instance, target.service) == ('i-7', 's')
    assert (target.host, target.port, target.slots) == ('10.0.0.9', 8080, 9)
    assert target.started_ms == 1700000000000
    assert target.state is target_states.TargetState.SERVING


def test_heartbeat_of_draining_target():
    status = {**HEARTBEAT['status'], 'state': 'draining'}
    heartbeat = read({**HEARTBEAT, 'status': status})
    assert heartbeat.target.state is target_states.TargetState.DRAINING


def test_departure_names_its_instance():
    path = '/instances/i%2D7/deregister'
    assert control.read_control_request(
        'POST', path, b''
    ) == targets.Departure('i-7')
    departure = control.read_control_request('POST', path, b'{"born": 5}')
    assert departure == targets.Departure('i-7', 5)


@pytest.mark.parametrize(
    'change',
    [
        {'address': None},
        {'born': '1700000000000'},
        {'born': 1.5},
        {'status': {**HEARTBEAT['status'], 'sequence': '4'}},
        {'status': {**HEARTBEAT['status'], 'sequence': True}},
        {'info': {**HEARTBEAT['info'], 'max_concurrency': '9'}},
        {'address': 'nowhere'},
        {'info': None},
        {'info': {**HEARTBEAT['info'], 'max_concurrency': 0}},
        {'status': {**HEARTBEAT['status'], 'state': 'asleep'}},
        {'status': {'state': 'ready'}},
        {'born': 'yesterday'},
        {'status': {'state': 'ready', 'sequence': 4}},
        {
            'info': {
                name: value
                for name, value in HEARTBEAT['info'].items()
                if name != 'zone'
            }
        },
    ],
)
def test_invalid_heartbeat_is_rejected(change):
    assert read({**HEARTBEAT, **change}) is None


@pytest.mark.parametrize(
    ('method', 'path', 'body'),
    [
        ('GET', PATH, b'{}'),
        ('POST', '/instances/i-7', b'{}'),
        ('POST', PATH, b'\xff\xfe'),
        ('POST', PATH, b'[]'),
    ],
)
def test_other_requests_are_rejected(method, path, body):
    assert control.read_control_request(method, path, body) is None
