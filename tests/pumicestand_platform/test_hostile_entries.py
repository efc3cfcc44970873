"""Tests that no entry of another writer can stop a node.

Generated entries go through the reader and then through the encoder of the
messages in which their values are passed on.
"""

import copy
import json
import random

import hypothesis
from hypothesis import strategies
import pytest

from pumicestand import fleet as fleets
from pumicestand import hop
from pumicestand import hop_messages
from pumicestand import json_reading
from pumicestand import node_records
from pumicestand import organisations
from pumicestand import rollouts
from pumicestand import stored_objects
from pumicestand import targets
from pumicestand_platform import configuration
from pumicestand_platform import control
from tests.pumicestand import mesh_fakes
from tests.pumicestand_platform import test_configuration
from tests.pumicestand_platform import test_readers_of_boundary

SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=150
)
ODD_TEXTS = (
    *('', ' ', '\x00', '\r\n', '\ud800', 'x\udcff', '\u0661', '1e400', '-1'),
    *('Infinity', 'nan', '0x10', '9' * 400, 'a..b', 'x' * 70_000, '::1', ':'),
)
ODD_NUMBERS = (
    *(0, -1, 65_535, 65_536, 2**31, 2**32, 2**63, 2**64, 2**86, 10**400),
    *(0.5, -0.5, 1e300, float('inf'), float('-inf'), float('nan')),
)
ODD_VALUES = (
    *(None, True, False, 'undecodable', [], {}, [[]], [1], {'a': 1}),
    *(*ODD_TEXTS, *ODD_NUMBERS),
)
LEAVES = (
    strategies.sampled_from(ODD_VALUES)
    | strategies.text(max_size=8)
    | strategies.integers()
    | strategies.floats()
)
VALUES = strategies.recursive(
    LEAVES,
    lambda values: (
        strategies.lists(values, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=4), values)
    ),
    max_leaves=6,
)
# Stands for a value that Python's decoder does not accept.
MARK = '"undecodable"'
UNDECODABLE = (b'[' * 3000 + b']' * 3000, b'8' * 5000, b'"\xff\xfe"')


def find_paths(value, path=()):
    """Yield the path to each value inside of lists and mappings."""
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, part in items:
        yield (*path, key)
        yield from find_paths(part, (*path, key))


def replace_at(entry, path, value):
    """Return a copy of an entry with another value at a path."""
    if not path:
        return value
    entry = copy.deepcopy(entry)
    place = entry
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = value
    return entry


def to_texts(entry):
    """Yield the texts of an entry; marks stand for what is not JSON."""
    text = json.dumps(entry).encode()
    if MARK.encode() not in text:
        yield text
        return
    for odd in UNDECODABLE:
        yield text.replace(MARK.encode(), odd)


def single_changes(valid):
    """Yield the texts of all entries in which one value is odd."""
    for path in ((), *find_paths(valid)):
        for value in ODD_VALUES:
            yield from to_texts(replace_at(valid, path, value))


@strategies.composite
def entries(draw, valid):
    """Return the text of an entry in which up to four values are odd."""
    entry = valid
    for _ in range(draw(strategies.integers(1, 4))):
        path = draw(strategies.sampled_from([(), *find_paths(entry)]))
        entry = replace_at(entry, path, draw(VALUES))
    return draw(strategies.sampled_from(list(to_texts(entry))))


def encode_report(**fields):
    hop.encode(mesh_fakes.make_report('own', **fields))


def check_node_record(text):
    """A host or port that could not be encoded ended each starting node."""
    record = node_records.from_json(json_reading.decode(text))
    if record is None:
        return
    fleet = fleets.Fleet('own')
    fleet.add_record(record, 0.0)
    hop.encode(hop_messages.Relay(fleet.get(record.name).report))
    record.host.encode('idna')
    watch = targets.TargetWatch()
    watch.restore(record.target, record.departed)
    encode_report(target=watch.known)
    written = json.dumps(node_records.to_json(record)).encode()
    assert node_records.from_json(json_reading.decode(written)) == record


def check_heartbeat(text, kind='heartbeat', instance='i-7'):
    message = control.read_control_request(
        'POST', f'/instances/{instance}/{kind}', text
    )
    if message is None:
        return
    watch = targets.TargetWatch()
    watch.apply(message, 1.0)
    encode_report(target=watch.known)
    if watch.known is None:
        return
    assert b'\r' not in watch.known.instance.encode()
    watch.known.host.encode('idna')
    record = node_records.NodeRecord(
        'own', 'h', 1, 'z', watch.known, watch.departed
    )
    assert node_records.from_json(node_records.to_json(record)) == record


def check_order(text, status=b'{"state": "running", "target_version": "v"}'):
    """One duration of "Infinity" ended all processes."""
    order = configuration.Translator().read_order(
        stored_objects.StoredObject(
            'rollouts',
            's',
            7,
            5,
            json_reading.decode(text),
            json_reading.decode(status),
        )
    )
    if order is None:
        return
    known = rollouts.Rollouts(random.Random(1))
    known.apply_order(order, 0.0)
    encode_report(verdicts=known.verdicts(1.0))
    fleet = mesh_fakes.make_fleet(mesh_fakes.make_report('b'))
    known.evaluate(fleet, 2.0, lambda: True)
    known.select_peers(order.service, list(fleet.peers), 2.0)


def check_status(text):
    check_order(json.dumps(test_readers_of_boundary.ORDER).encode(), text)


def check_configuration(text):
    spec = json_reading.decode(text)
    parsed = configuration.read_configuration(spec)
    if parsed is None:
        return
    generation, document = parsed
    hop.encode(hop_messages.GenerationUpdate(generation))
    for organisation in document.organisations:
        use = hop_messages.QuotaUse(organisation.name, 1, 1)
        hop.encode(hop_messages.QuotaRequest(1, 1, (use,)))
        keys = organisations.KeyTable()
        keys.update(document)
        for key in organisation.keys:
            assert key.encode()
    for service in document.services:
        hop.encode(
            mesh_fakes.make_report(
                'own', target=mesh_fakes.make_target('a', service.name)
            )
        )
    for route in document.routes:
        hop.encode(
            hop_messages.Call(
                id=1,
                service=route.to[0].service or '',
                version='',
                instance='',
                method='GET',
                url=b'/',
                headers=b'',
                remaining_ms=int(route.timeout * 1000),
                objective_remaining_ms=int(route.objective * 1000),
                priority=route.priority,
                route=route.name,
                request_id='i',
                is_idempotent=route.idempotent,
            )
        )


READERS = {
    'node record': (test_readers_of_boundary.RECORD, check_node_record),
    'heartbeat': (test_readers_of_boundary.HEARTBEAT, check_heartbeat),
    'order': (test_readers_of_boundary.ORDER, check_order),
    'status': (test_readers_of_boundary.STATUS, check_status),
    'configuration': (test_configuration.SPEC, check_configuration),
    'organisations': (
        test_configuration.make_spec_with_organisations(
            [['acme', ['k1', 'k2'], 2, 12.5, 4], ['plain', [], 1, None, 0]]
        ),
        check_configuration,
    ),
}


@pytest.mark.parametrize('name', READERS)
def test_one_odd_value(name):
    valid, check = READERS[name]
    for text in single_changes(valid):
        check(text)


@pytest.mark.parametrize('name', READERS)
def test_several_odd_values(name):
    valid, check = READERS[name]
    SETTINGS(hypothesis.given(entries(valid))(lambda text: check(text)))()


@pytest.mark.parametrize('kind', ['heartbeat', 'deregister'])
@pytest.mark.parametrize(
    'instance',
    ['i%0d%0ax:y', '%ff', '%ed%a0%80', '%00', '%20', 'i' * 9999, '\ud800'],
)
def test_odd_instance(kind, instance):
    """A line end in it became a further header of requests."""
    text = json.dumps(test_readers_of_boundary.HEARTBEAT).encode()
    check_heartbeat(text, kind, instance)


def test_departure_with_an_odd_body():
    for text in single_changes({'born': 5}):
        check_heartbeat(text, 'deregister')
