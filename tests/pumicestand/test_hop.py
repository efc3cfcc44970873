"""Tests of the frames on links between nodes."""

import dataclasses
import random

import pytest

from pumicestand import errors
from pumicestand import hop
from pumicestand import hop_messages
from tests.pumicestand import mesh_fakes

State = hop_messages.RolloutState

REPORT = mesh_fakes.make_report(
    'a',
    is_leaving=True,
    store_reachable=True,
    generation=7,
    link_rate=625_000.0,
    evidence=(hop_messages.Evidence('r', 'v1', 5, 1, 4, 80.0),),
    suspects=(hop_messages.Suspect(2**63 + 1, 2, 1),),
    evacuations=hop_messages.Evacuations(2, 9, ('zone-a', 'zone-b')),
    verdicts=(
        hop_messages.Verdict('s', 'v2', State.RUNNING, 9000, 10, 5, 6),
        hop_messages.Verdict(
            's', 'v2', State.ROLLED_BACK, 1, 2, 3, 4, State.RUNNING
        ),
    ),
)
CALL = hop_messages.Call(
    id=3,
    service='s',
    version='v1',
    instance='i',
    method='POST',
    url=b'/a/b?c',
    headers=b'x: y\r\n',
    remaining_ms=900,
    objective_remaining_ms=-20,
    priority=2,
    route='r',
    request_id='id',
    is_idempotent=False,
    is_nested=True,
    is_retry=True,
    is_client_retry=True,
    body=b'body',
    remaining_bytes=5,
    expected_ms=12.5,
    organisation='north',
)
MESSAGES = [
    hop_messages.Hello(REPORT),
    hop_messages.Hello(REPORT, 2**63 + 1),
    hop_messages.Resume(4, 2**63 + 1, (2**63 + 2, 7)),
    hop_messages.Resumed(4, (7, 8), (2**63 + 2,)),
    REPORT,
    mesh_fakes.make_report('b', target=None),
    CALL,
    dataclasses.replace(CALL, body=b'', holds_body=True),
    hop_messages.Part(3, b'x' * 10, True),
    hop_messages.Cancel(3),
    hop_messages.SendBody(3),
    hop_messages.Withdraw(3),
    hop_messages.FreshnessRequest(5),
    hop_messages.FreshnessReply(5, 7, 120),
    hop_messages.QuotaRequest(
        6, 91, (hop_messages.QuotaUse('north', 3, 1),), 2**63 + 1, 2**32 - 1, 5
    ),
    hop_messages.QuotaReply(
        6, (hop_messages.QuotaGrant('north', 2, 40, True),)
    ),
    hop_messages.Result(
        3,
        hop_messages.Outcome.ANSWERED,
        status=200,
        reason=b'OK',
        headers=b'a: b\r\n',
        body=b'z',
        load=hop_messages.Load(1, 2, 3, 4.0, 0.5, 2.0, 0.25),
        work_ms=7.0,
    ),
    hop_messages.Load(1, 2, 3, 4.0, 0.5, 2.0, 0.25),
    hop_messages.GenerationUpdate(2**40),
    hop_messages.Relay(REPORT),
    hop_messages.ZoneSummary(
        'a',
        's',
        'node-1',
        2**40,
        7,
        (hop_messages.Evidence('r', 'v1', 5, 1, 4, 80.0),),
        (hop_messages.BusyVersion('v1', 12),),
    ),
    hop_messages.Load(
        slots=3,
        nested_service='stock',
        client_priority=1,
        client_objective_ms=150.0,
    ),
    hop_messages.Ping(1),
    hop_messages.Pong(2),
    hop_messages.FetchConfiguration(9),
    hop_messages.Configuration(9, b'content'),
]


@pytest.mark.parametrize('message', MESSAGES, ids=lambda m: type(m).__name__)
def test_message_is_decoded_as_it_was_encoded(message):
    data = hop.encode(message)
    size = hop.LENGTH_PREFIX.size
    assert hop.LENGTH_PREFIX.unpack(data[:size])[0] == len(data) - size
    assert hop.decode(data[size:], 'peer') == message


def test_bytes_that_are_no_frame_are_refused():
    for data in (b'', b'\0' * 8, b'\xff' * 64):
        with pytest.raises(errors.InvalidFrameError):
            hop.decode(data, 'peer')


def test_corrupt_frame_is_refused_or_decoded_without_other_errors():
    rng = random.Random(7)
    for message in MESSAGES:
        data = bytearray(hop.encode(message)[hop.LENGTH_PREFIX.size :])
        for _ in range(50):
            corrupt = bytearray(data)
            corrupt[rng.randrange(len(corrupt))] ^= 1 << rng.randrange(8)
            try:
                hop.decode(bytes(corrupt), 'peer')
            except errors.InvalidFrameError:
                continue
