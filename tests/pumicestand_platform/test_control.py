"""Tests of what targets say, translated."""

import json

import pytest

from pumicestand import messages
from pumicestand import targets
from pumicestand_platform import control

PATH = '/instances/i-7/heartbeat'
BEAT = {
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


def test_a_heartbeat_becomes_the_product_s():
    beat = read(BEAT)
    assert beat.sequence == 4
    assert beat.warm_up_left_s == 1.5
    target = beat.target
    assert (target.instance, target.service) == ('i-7', 's')
    assert (target.host, target.port, target.slots) == ('10.0.0.9', 8080, 9)
    assert target.started_ms == 1700000000000
    assert target.state is messages.TargetState.SERVING


def test_a_draining_target_says_so():
    status = {**BEAT['status'], 'state': 'draining'}
    beat = read({**BEAT, 'status': status})
    assert beat.target.state is messages.TargetState.DRAINING


def test_a_departure_names_its_instance():
    path = '/instances/i%2D7/deregister'
    assert control.read_control_request(
        'POST', path, b''
    ) == targets.Departure('i-7')
    said = control.read_control_request('POST', path, b'{"born": 5}')
    assert said == targets.Departure('i-7', 5)


@pytest.mark.parametrize(
    'change',
    [
        {'address': None},
        {'address': 'nowhere'},
        {'info': None},
        {'info': {**BEAT['info'], 'max_concurrency': 0}},
        {'status': {**BEAT['status'], 'state': 'asleep'}},
        {'status': {'state': 'ready'}},
        {'born': 'yesterday'},
    ],
)
def test_a_heartbeat_of_another_form_names_no_target(change):
    assert read({**BEAT, **change}) is None


@pytest.mark.parametrize(
    ('method', 'path', 'body'),
    [
        ('GET', PATH, b'{}'),
        ('POST', '/instances/i-7', b'{}'),
        ('POST', PATH, b'\xff\xfe'),
        ('POST', PATH, b'[]'),
    ],
)
def test_other_requests_say_nothing(method, path, body):
    assert control.read_control_request(method, path, body) is None
