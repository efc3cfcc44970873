"""Tests of the frames between nodes."""

import pytest

from pumicestand import documents
from pumicestand import errors
from pumicestand import messages
from pumicestand import wire

ACCEPTED = documents.Accepted(7, 'ab' * 32)
TARGET = messages.Target('till', 'v1', '10.0.0.1', 9000, ('ledger',), 10, 110)
MEMBER = messages.Member(
    'a1', 5, 2, messages.Status.SUSPECT, 'a', 'r', '10.0.0.1', 7, 8, (TARGET,)
)
VERDICT = messages.MoveVerdict('m@1', 500, 'good', 12.5, 'a1')
QUARANTINE = messages.Quarantine(2**63, 'sale', 99.0)
COUNTERS = messages.Counters('m@1', 'sale', 1, 2, 3, 4, 5, 6)
BODIES = [
    None,
    messages.Ping(3),
    messages.Ack(4),
    messages.IndirectPing(5, 'b1'),
    messages.Fetch(ACCEPTED),
    messages.Content(ACCEPTED, b'\x00\xff' * 50),
    messages.Sync(),
    messages.Table(),
    messages.FloorNotice('a1', 7),
    messages.FloorAck('a1', 7),
    messages.FloorQuery('a1'),
    messages.FloorAnswer('a1', 6),
    messages.Evidence('zone', (COUNTERS,)),
    messages.Refused('overloaded'),
]


def make_frame(body):
    return messages.Frame(
        environment='production',
        sender='a1',
        incarnation=5,
        stamp=6,
        generation_in_force=7,
        accepted=ACCEPTED,
        table_hash=2**63 + 1,
        store_confirmed_ms=123,
        has_verdicts=True,
        updates=(MEMBER, ACCEPTED, VERDICT, QUARANTINE),
        body=body,
    )


@pytest.mark.parametrize('body', BODIES, ids=lambda b: type(b).__name__)
def test_decode_reverses_encode(body):
    frame = make_frame(body)
    assert wire.decode(wire.encode(frame), 'peer') == frame


def test_frame_with_a_flipped_bit_is_rejected():
    data = wire.encode(make_frame(messages.FloorNotice('a1', 7)))
    for index in range(len(data)):
        changed = bytearray(data)
        changed[index] ^= 0x01
        with pytest.raises(errors.InvalidFrameError) as caught:
            wire.decode(bytes(changed), 'peer')
        assert caught.value.peer == 'peer'


def test_truncated_frame_is_rejected():
    data = wire.encode(make_frame(messages.Ping(1)))
    for length in range(len(data)):
        with pytest.raises(errors.InvalidFrameError):
            wire.decode(data[:length], 'peer')


def test_length_above_the_limit_is_rejected():
    prefix = wire.add_length_prefix(b'')[:0] + (2**31).to_bytes(4)
    with pytest.raises(errors.InvalidFrameError) as caught:
        wire.parse_length_prefix(prefix, 'peer')
    assert caught.value.code == errors.Code.FRAME_TOO_LARGE


def test_two_members_with_long_names_fit_a_datagram():
    """Two members with a target each weigh 4, the most in one datagram."""
    member = messages.Member(
        'node-southeast-1a-0660',
        1_800_000_000_000,
        9,
        messages.Status.ALIVE,
        'southeast-1a',
        'southeast',
        '100.100.100.100',
        65535,
        65535,
        (
            messages.Target(
                'waivers-photos',
                'v2026-12-04',
                '100.100.100.100',
                65535,
                ('ledger', 'photos'),
            ),
        ),
    )
    frame = messages.Frame('production', member.name, 1, updates=(member,) * 2)
    assert len(wire.encode(frame)) < wire.MAX_DATAGRAM_BYTES
