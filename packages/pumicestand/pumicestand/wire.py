"""Encodes messages as Cap'n Proto frames and decodes them.

A datagram holds one packed frame. In a stream, a length prefix of four
bytes precedes each frame. Both have a size limit. A frame that can't be
decoded completely is rejected as a whole.
"""

import pathlib
import struct
import zlib

import capnp

from pumicestand import documents
from pumicestand import errors
from pumicestand import messages
from pumicestand import target_states

PROTOCOL_VERSION = 1
MIN_PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 1400
MAX_STREAM_FRAME_BYTES = 4_000_000
# Cap'n Proto's limit on the words (of 8 bytes) read from one frame.
_MAX_TRAVERSAL_WORDS = MAX_STREAM_FRAME_BYTES
_LENGTH_PREFIX = struct.Struct('>I')
_CHECKSUM = struct.Struct('>I')
LENGTH_PREFIX_BYTES = _LENGTH_PREFIX.size

_schema = capnp.load(str(pathlib.Path(__file__).with_name('wire.capnp')))


def _write_accepted(builder, accepted):
    builder.generation = accepted.generation
    builder.digest = bytes.fromhex(accepted.digest)


def _read_accepted(reader):
    return documents.Accepted(reader.generation, reader.digest.hex())


def _write_target(builder, target):
    builder.service = target.service
    builder.version = target.version
    builder.host = target.host
    builder.port = target.port
    builder.resources = list(target.resources)
    builder.slots = target.slots
    builder.connections = target.connections
    builder.state = int(target.state)


def _read_target(reader):
    return messages.Target(
        service=reader.service,
        version=reader.version,
        host=reader.host,
        port=reader.port,
        resources=tuple(reader.resources),
        slots=reader.slots,
        connections=reader.connections,
        state=target_states.TargetState(reader.state),
    )


def _write_member(builder, member):
    builder.name = member.name
    builder.incarnation = member.incarnation
    builder.revision = member.revision
    builder.status = int(member.status)
    builder.zone = member.zone
    builder.region = member.region
    builder.host = member.host
    builder.port = member.port
    builder.operatorPort = member.operator_port
    targets = builder.init('targets', len(member.targets))
    for index, target in enumerate(member.targets):
        _write_target(targets[index], target)


def _read_member(reader):
    return messages.Member(
        name=reader.name,
        incarnation=reader.incarnation,
        revision=reader.revision,
        status=messages.Status(reader.status),
        zone=reader.zone,
        region=reader.region,
        host=reader.host,
        port=reader.port,
        operator_port=reader.operatorPort,
        targets=tuple(_read_target(target) for target in reader.targets),
    )


def _write_update(builder, update):
    match update:
        case messages.Member():
            _write_member(builder.init('member'), update)
        case documents.Accepted():
            _write_accepted(builder.init('accepted'), update)
        case messages.MoveVerdict():
            verdict = builder.init('verdict')
            verdict.move = update.move
            verdict.stage = update.stage
            verdict.reason = update.reason
            verdict.decidedAt = update.decided_at
            verdict.decidedBy = update.decided_by
        case messages.Quarantine():
            quarantine = builder.init('quarantine')
            quarantine.fingerprint = update.fingerprint
            quarantine.route = update.route
            quarantine.until = update.until


def _read_update(reader):
    match reader.which():
        case 'member':
            return _read_member(reader.member)
        case 'accepted':
            return _read_accepted(reader.accepted)
        case 'verdict':
            verdict = reader.verdict
            return messages.MoveVerdict(
                move=verdict.move,
                stage=verdict.stage,
                reason=verdict.reason,
                decided_at=verdict.decidedAt,
                decided_by=verdict.decidedBy,
            )
        case 'quarantine':
            quarantine = reader.quarantine
            return messages.Quarantine(
                quarantine.fingerprint, quarantine.route, quarantine.until
            )
        case other:
            raise ValueError(f'unknown rumour {other}')


def _write_counters(builder, counters):
    builder.move = counters.move
    builder.route = counters.route
    builder.newCalls = counters.new_calls
    builder.newErrors = counters.new_errors
    builder.newSlow = counters.new_slow
    builder.oldCalls = counters.old_calls
    builder.oldErrors = counters.old_errors
    builder.oldSlow = counters.old_slow


def _read_counters(reader):
    return messages.Counters(
        reader.move,
        reader.route,
        reader.newCalls,
        reader.newErrors,
        reader.newSlow,
        reader.oldCalls,
        reader.oldErrors,
        reader.oldSlow,
    )


def _write_floor(builder, body):
    builder.name = body.name
    builder.generation = body.generation


def _write_body(frame, body):
    match body:
        case None:
            frame.none = None
        case messages.Ping(sequence):
            frame.ping = sequence
        case messages.Ack(sequence):
            frame.ack = sequence
        case messages.IndirectPing(sequence, member):
            indirect = frame.init('indirectPing')
            indirect.sequence = sequence
            indirect.target = member
        case messages.Fetch(accepted):
            _write_accepted(frame.init('fetch'), accepted)
        case messages.Content(accepted, compressed):
            content = frame.init('content')
            _write_accepted(content.accepted, accepted)
            content.compressed = compressed
        case messages.Sync():
            frame.sync = None
        case messages.Table():
            frame.table = None
        case messages.FloorNotice():
            _write_floor(frame.init('floorNotice'), body)
        case messages.FloorAck():
            _write_floor(frame.init('floorAck'), body)
        case messages.FloorQuery(name):
            frame.floorQuery = name
        case messages.FloorAnswer():
            _write_floor(frame.init('floorAnswer'), body)
        case messages.Evidence(zone, counters):
            evidence = frame.init('evidence')
            evidence.zone = zone
            items = evidence.init('counters', len(counters))
            for index, item in enumerate(counters):
                _write_counters(items[index], item)
        case messages.Refused(code):
            frame.refused = code


def _read_floor(body_class, reader):
    return body_class(reader.name, reader.generation)


def _read_body(frame):
    match frame.which():
        case 'none':
            return None
        case 'ping':
            return messages.Ping(frame.ping)
        case 'ack':
            return messages.Ack(frame.ack)
        case 'indirectPing':
            indirect = frame.indirectPing
            return messages.IndirectPing(indirect.sequence, indirect.target)
        case 'fetch':
            return messages.Fetch(_read_accepted(frame.fetch))
        case 'content':
            content = frame.content
            accepted = _read_accepted(content.accepted)
            return messages.Content(accepted, content.compressed)
        case 'sync':
            return messages.Sync()
        case 'table':
            return messages.Table()
        case 'floorNotice':
            return _read_floor(messages.FloorNotice, frame.floorNotice)
        case 'floorAck':
            return _read_floor(messages.FloorAck, frame.floorAck)
        case 'floorQuery':
            return messages.FloorQuery(frame.floorQuery)
        case 'floorAnswer':
            return _read_floor(messages.FloorAnswer, frame.floorAnswer)
        case 'evidence':
            evidence = frame.evidence
            counters = [_read_counters(item) for item in evidence.counters]
            return messages.Evidence(evidence.zone, tuple(counters))
        case 'refused':
            return messages.Refused(frame.refused)
        case other:
            raise ValueError(f'unknown body {other}')


def encode(frame):
    """Return a `messages.Frame` as its CRC-32 followed by packed bytes."""
    builder = _schema.Frame.new_message()
    builder.protocol = PROTOCOL_VERSION
    builder.environment = frame.environment
    builder.sender = frame.sender
    builder.incarnation = frame.incarnation
    builder.stamp = frame.stamp
    builder.acting = frame.generation_in_force
    if frame.accepted.generation:
        _write_accepted(builder.init('accepted'), frame.accepted)
    builder.tableHash = frame.table_hash
    builder.confirmed = frame.store_confirmed_ms
    builder.informed = frame.has_verdicts
    if frame.updates:
        updates = builder.init('rumours', len(frame.updates))
        for index, update in enumerate(frame.updates):
            _write_update(updates[index], update)
    _write_body(builder, frame.body)
    packed = builder.to_bytes_packed()
    return _CHECKSUM.pack(zlib.crc32(packed)) + packed


def _verify_checksum(data, peer):
    """Return the packed bytes without their checksum.

    :raises errors.InvalidFrameError: if the checksum is missing or wrong
    """
    packed = data[_CHECKSUM.size :]
    if packed and _CHECKSUM.unpack_from(data)[0] == zlib.crc32(packed):
        return packed
    raise errors.InvalidFrameError(
        errors.Code.FRAME_INVALID,
        f'the checksum does not fit the {len(data)} bytes',
        peer=peer,
    )


def decode(data, peer):
    """Return the `messages.Frame` that bytes encode.

    :param data: content of a datagram or of a stream frame
    :param peer: the sender's address, for the error
    :raises errors.InvalidFrameError: if the checksum is wrong, the protocol
        version is too old or the bytes can't be decoded completely
    """
    packed = _verify_checksum(data, peer)
    try:
        reader = _schema.Frame.from_bytes_packed(
            packed, traversal_limit_in_words=_MAX_TRAVERSAL_WORDS
        )
        protocol = reader.protocol
        if protocol < MIN_PROTOCOL_VERSION:
            raise errors.InvalidFrameError(
                errors.Code.PROTOCOL_VERSION,
                f'protocol {protocol}, the oldest read is '
                f'{MIN_PROTOCOL_VERSION}',
                peer=peer,
            )
        return messages.Frame(
            environment=reader.environment,
            sender=reader.sender,
            incarnation=reader.incarnation,
            stamp=reader.stamp,
            generation_in_force=reader.acting,
            accepted=_read_accepted(reader.accepted),
            table_hash=reader.tableHash,
            store_confirmed_ms=reader.confirmed,
            has_verdicts=reader.informed,
            updates=tuple(_read_update(update) for update in reader.rumours),
            body=_read_body(reader),
        )
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise errors.InvalidFrameError(
            errors.Code.FRAME_INVALID,
            f'{len(data)} bytes are no frame: {str(error).splitlines()[0]}',
            peer=peer,
        ) from error


def add_length_prefix(data):
    """Return an encoded frame with its length prefix, for a stream."""
    return _LENGTH_PREFIX.pack(len(data)) + data


def parse_length_prefix(prefix, peer):
    """Return the length, in bytes, of the frame behind a length prefix.

    :param prefix: the `LENGTH_PREFIX_BYTES` bytes before the frame
    :param peer: the sender's address, for the error
    :raises errors.InvalidFrameError: if the length is above
        `MAX_STREAM_FRAME_BYTES`
    """
    length = _LENGTH_PREFIX.unpack(prefix)[0]
    if length > MAX_STREAM_FRAME_BYTES:
        raise errors.InvalidFrameError(
            errors.Code.FRAME_TOO_LARGE,
            f'a frame of {length} bytes, the bound is '
            f'{MAX_STREAM_FRAME_BYTES}',
            peer=peer,
        )
    return length
