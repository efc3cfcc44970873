"""Encodes and decodes the messages on a link as Cap'n Proto frames.

Each frame follows its length in four bytes, big-endian, whose highest bit
says whether `frame_compression` has compressed it. A frame that can't be
decoded ends the link, as the start of the next frame is then uncertain.
"""

import pathlib
import struct

import capnp

from pumicestand import errors
from pumicestand import hop_messages
from pumicestand import target_states

# The largest frames hold a report, a configuration or a part of a body.
MAX_FRAME_BYTES = 4_000_000
# Value of a verdict's field `stored` if the store holds no state.
_NO_STORED_STATE = 255
LENGTH_PREFIX = struct.Struct('>I')
# Bit of the length prefix that is set if the frame is compressed.
COMPRESSED_FLAG = 1 << 31

_schema = capnp.load(str(pathlib.Path(__file__).with_name('hop.capnp')))
_Frame = _schema.HopFrame


def encode(message):
    """Return a message as a frame, with the length prefix."""
    builder = _Frame.new_message()
    _write_message(builder, message)
    data = builder.to_bytes()
    return LENGTH_PREFIX.pack(len(data)) + data


def _write_message(builder, message):
    match message:
        case hop_messages.Call():
            _write_call(builder.init('call'), message)
        case hop_messages.Result():
            _write_result(builder.init('result'), message)
        case hop_messages.Part(id_, body, is_last):
            part = builder.init('part')
            part.id, part.body, part.last = id_, body, is_last
        case hop_messages.Cancel(id_):
            builder.cancel = id_
        case hop_messages.Report():
            _write_report(builder.init('report'), message)
        case hop_messages.Relay(report):
            _write_report(builder.init('relay'), report)
        case hop_messages.ZoneSummary():
            _write_summary(builder.init('summary'), message)
        case hop_messages.GenerationUpdate(generation):
            builder.acting = generation
        case hop_messages.Load():
            _write_load(builder.init('load'), message)
        case hop_messages.Hello(report, connection):
            hello = builder.init('hello')
            _write_report(hello, report)
            hello.connection = connection
        case hop_messages.Ping(number):
            builder.ping = number
        case hop_messages.Pong(number):
            builder.pong = number
        case hop_messages.FetchConfiguration(generation):
            builder.fetch = generation
        case hop_messages.Configuration(generation, content):
            configuration = builder.init('configuration')
            configuration.generation = generation
            configuration.content = content
        case hop_messages.Withdraw(id_):
            builder.withdraw = id_
        case hop_messages.SendBody(id_):
            builder.sendBody = id_
        case hop_messages.Resume(connection, incarnation, ids):
            resume = builder.init('resume')
            resume.connection, resume.incarnation = connection, incarnation
            resume.ids = list(ids)
        case hop_messages.Resumed(connection, not_started, kept):
            resumed = builder.init('resumed')
            resumed.connection = connection
            resumed.notStarted = list(not_started)
            resumed.kept = list(kept)
        case hop_messages.FreshnessRequest(number):
            builder.freshnessRequest = number
        case hop_messages.FreshnessReply(number, generation, age_ms):
            reply = builder.init('freshnessReply')
            reply.number, reply.generation = number, generation
            reply.ageMs = age_ms
        case hop_messages.QuotaRequest():
            _write_quota_request(builder.init('quotaRequest'), message)
        case hop_messages.QuotaReply():
            _write_quota_reply(builder.init('quotaReply'), message)


def _write_quota_request(builder, request):
    builder.number = request.number
    builder.nodeCount = request.node_count
    builder.slots = request.slots
    builder.sentMs = request.sent_ms
    builder.acknowledged = request.acknowledged
    items = builder.init('uses', len(request.uses))
    for item, use in zip(items, request.uses, strict=True):
        item.organisation = use.organisation
        item.used = use.used
        item.wanted = use.wanted


def _write_quota_reply(builder, reply):
    builder.number = reply.number
    items = builder.init('grants', len(reply.grants))
    for item, grant in zip(items, reply.grants, strict=True):
        item.organisation = grant.organisation
        item.granted = grant.granted
        item.delayMs = grant.delay_ms
        item.relaxed = grant.is_relaxed


def _write_call(builder, call):
    builder.id = call.id
    builder.service = call.service
    builder.version = call.version
    builder.instance = call.instance
    builder.method = call.method
    builder.url = call.url
    builder.headers = call.headers
    builder.leftMs = call.remaining_ms
    builder.objectiveMs = call.objective_remaining_ms
    builder.priority = call.priority
    builder.route = call.route
    builder.requestId = call.request_id
    builder.idempotent = call.is_idempotent
    builder.inner = call.is_nested
    builder.repeated = call.is_retry
    builder.returned = call.is_client_retry
    builder.body = bytes(call.body)
    builder.rest = call.remaining_bytes
    builder.expectedMs = call.expected_ms
    builder.organisation = call.organisation
    builder.holdsBody = call.holds_body
    builder.probe = call.is_probe


def _write_result(builder, result):
    builder.id = result.id
    builder.outcome = int(result.outcome)
    builder.code = result.code
    builder.retryAfterMs = result.retry_after_ms
    builder.status = result.status
    builder.reason = result.reason
    builder.headers = result.headers
    builder.body = bytes(result.body)
    builder.rest = result.remaining_bytes
    builder.workMs = result.work_ms
    _write_load(builder.init('load'), result.load)


def _write_load(builder, load):
    builder.running = load.running
    builder.queued = load.queued
    builder.slots = load.slots
    builder.workMs = load.work_ms
    builder.failing = load.failure_ratio
    builder.slowness = load.slowness
    builder.linkBusy = load.link_utilisation
    builder.bodyDelayMs = load.body_delay_ms
    if load.nested_service:
        builder.nestedService = load.nested_service
    builder.clientPriority = load.client_priority
    builder.clientObjectiveMs = load.client_objective_ms


def _write_target(builder, target):
    builder.instance = target.instance
    builder.service = target.service
    builder.version = target.version
    builder.host = target.host
    builder.port = target.port
    builder.slots = target.slots
    builder.state = int(target.state)
    builder.startedMs = target.started_ms


def _write_evidence(builder, evidence):
    items = builder.init('evidence', len(evidence))
    for item, entry in zip(items, evidence, strict=True):
        item.route = entry.route
        item.version = entry.version
        item.calls = entry.calls
        item.errors = entry.errors
        item.timed = entry.timed_calls
        item.workMs = entry.work_ms


def _write_summary(builder, summary):
    builder.zone = summary.zone
    builder.service = summary.service
    builder.collector = summary.collector
    builder.incarnation = summary.incarnation
    builder.sequence = summary.sequence
    _write_evidence(builder, summary.evidence)
    items = builder.init('busy', len(summary.busy))
    for item, busy in zip(items, summary.busy, strict=True):
        item.version = busy.version
        item.calls = busy.calls


def _write_report(builder, report):
    builder.name = report.name
    builder.incarnation = report.incarnation
    builder.sequence = report.sequence
    builder.zone = report.zone
    builder.host = report.host
    builder.port = report.port
    builder.leaving = report.is_leaving
    builder.storeReachable = report.store_reachable
    builder.generation = report.generation
    builder.linkRate = report.link_rate
    builder.storeEra = report.store_era
    builder.acceptsCompressed = report.accepts_compressed
    builder.hasEvacuations = report.evacuations is not None
    if report.evacuations is not None:
        evacuations = builder.init('evacuations')
        evacuations.era = report.evacuations.era
        evacuations.revision = report.evacuations.revision
        evacuations.zones = list(report.evacuations.zones)
    builder.hasTarget = report.target is not None
    if report.target is not None:
        _write_target(builder.init('target'), report.target)
    _write_load(builder.init('load'), report.load)
    _write_evidence(builder, report.evidence)
    items = builder.init('verdicts', len(report.verdicts))
    for item, verdict in zip(items, report.verdicts, strict=True):
        item.service = verdict.service
        item.version = verdict.version
        item.state = int(verdict.state)
        item.durationMs = verdict.duration_ms
        item.elapsedMs = verdict.elapsed_ms
        item.key = verdict.order_id
        item.revision = verdict.revision
        stored = verdict.stored_state
        item.era = verdict.era
        item.stored = _NO_STORED_STATE if stored is None else int(stored)
    items = builder.init('suspects', len(report.suspects))
    for item, suspect in zip(items, report.suspects, strict=True):
        item.mark = suspect.fingerprint
        item.crashes = suspect.crashes
        item.answers = suspect.answers


def decode(data, peer):
    """Return the message of a frame.

    :param data: the frame without its length prefix
    :param peer: name of the sender, for the error
    :raises errors.InvalidFrameError: if the frame can't be decoded
    """
    try:
        with _Frame.from_bytes(data) as frame:
            return _read_message(frame)
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise errors.InvalidFrameError(
            errors.Code.FRAME_INVALID,
            f'a frame of {len(data)} bytes cannot be decoded: {error}',
            peer=peer,
        ) from error


def _read_message(frame):
    match frame.which():
        case 'call':
            return _read_call(frame.call)
        case 'result':
            return _read_result(frame.result)
        case 'part':
            part = frame.part
            return hop_messages.Part(part.id, part.body, part.last)
        case 'cancel':
            return hop_messages.Cancel(frame.cancel)
        case 'report':
            return _read_report(frame.report)
        case 'relay':
            return hop_messages.Relay(_read_report(frame.relay))
        case 'summary':
            return _read_summary(frame.summary)
        case 'acting':
            return hop_messages.GenerationUpdate(frame.acting)
        case 'load':
            return _read_load(frame.load)
        case 'hello':
            return hop_messages.Hello(
                _read_report(frame.hello), frame.hello.connection
            )
        case 'ping':
            return hop_messages.Ping(frame.ping)
        case 'pong':
            return hop_messages.Pong(frame.pong)
        case 'fetch':
            return hop_messages.FetchConfiguration(frame.fetch)
        case 'configuration':
            reader = frame.configuration
            return hop_messages.Configuration(
                reader.generation, reader.content
            )
        case 'withdraw':
            return hop_messages.Withdraw(frame.withdraw)
        case 'sendBody':
            return hop_messages.SendBody(frame.sendBody)
        case 'resume':
            resume = frame.resume
            return hop_messages.Resume(
                resume.connection, resume.incarnation, tuple(resume.ids)
            )
        case 'resumed':
            resumed = frame.resumed
            return hop_messages.Resumed(
                resumed.connection,
                tuple(resumed.notStarted),
                tuple(resumed.kept),
            )
        case 'freshnessRequest':
            return hop_messages.FreshnessRequest(frame.freshnessRequest)
        case 'freshnessReply':
            reply = frame.freshnessReply
            return hop_messages.FreshnessReply(
                reply.number, reply.generation, reply.ageMs
            )
        case 'quotaRequest':
            return _read_quota_request(frame.quotaRequest)
        case 'quotaReply':
            return _read_quota_reply(frame.quotaReply)
    raise ValueError('unknown kind of frame')


def _read_quota_request(reader):
    return hop_messages.QuotaRequest(
        reader.number,
        reader.nodeCount,
        tuple(
            hop_messages.QuotaUse(item.organisation, item.used, item.wanted)
            for item in reader.uses
        ),
        reader.slots,
        reader.sentMs,
        reader.acknowledged,
    )


def _read_quota_reply(reader):
    return hop_messages.QuotaReply(
        reader.number,
        tuple(
            hop_messages.QuotaGrant(
                item.organisation, item.granted, item.delayMs, item.relaxed
            )
            for item in reader.grants
        ),
    )


def _read_call(reader):
    return hop_messages.Call(
        id=reader.id,
        service=reader.service,
        version=reader.version,
        instance=reader.instance,
        method=reader.method,
        url=reader.url,
        headers=reader.headers,
        remaining_ms=reader.leftMs,
        objective_remaining_ms=reader.objectiveMs,
        priority=reader.priority,
        route=reader.route,
        request_id=reader.requestId,
        is_idempotent=reader.idempotent,
        is_nested=reader.inner,
        is_retry=reader.repeated,
        is_client_retry=reader.returned,
        body=reader.body,
        remaining_bytes=reader.rest,
        expected_ms=reader.expectedMs,
        organisation=reader.organisation,
        holds_body=reader.holdsBody,
        is_probe=reader.probe,
    )


def _read_result(reader):
    return hop_messages.Result(
        id=reader.id,
        outcome=hop_messages.Outcome(reader.outcome),
        code=reader.code,
        retry_after_ms=reader.retryAfterMs,
        status=reader.status,
        reason=reader.reason,
        headers=reader.headers,
        body=reader.body,
        remaining_bytes=reader.rest,
        load=_read_load(reader.load),
        work_ms=reader.workMs,
    )


def _read_load(reader):
    return hop_messages.Load(
        running=reader.running,
        queued=reader.queued,
        slots=reader.slots,
        work_ms=reader.workMs,
        failure_ratio=reader.failing,
        slowness=reader.slowness,
        link_utilisation=reader.linkBusy,
        body_delay_ms=reader.bodyDelayMs,
        nested_service=reader.nestedService,
        client_priority=reader.clientPriority,
        client_objective_ms=reader.clientObjectiveMs,
    )


def _read_target(reader):
    return hop_messages.Target(
        instance=reader.instance,
        service=reader.service,
        version=reader.version,
        host=reader.host,
        port=reader.port,
        slots=reader.slots,
        state=target_states.TargetState(reader.state),
        started_ms=reader.startedMs,
    )


def _read_verdict(reader):
    stored = None
    if reader.stored != _NO_STORED_STATE:
        stored = hop_messages.RolloutState(reader.stored)
    return hop_messages.Verdict(
        service=reader.service,
        version=reader.version,
        state=hop_messages.RolloutState(reader.state),
        duration_ms=reader.durationMs,
        elapsed_ms=reader.elapsedMs,
        order_id=reader.key,
        revision=reader.revision,
        stored_state=stored,
        era=reader.era,
    )


def _read_evidence(reader):
    return tuple(
        hop_messages.Evidence(
            item.route,
            item.version,
            item.calls,
            item.errors,
            item.timed,
            item.workMs,
        )
        for item in reader.evidence
    )


def _read_summary(reader):
    return hop_messages.ZoneSummary(
        zone=reader.zone,
        service=reader.service,
        collector=reader.collector,
        incarnation=reader.incarnation,
        sequence=reader.sequence,
        evidence=_read_evidence(reader),
        busy=tuple(
            hop_messages.BusyVersion(item.version, item.calls)
            for item in reader.busy
        ),
    )


def _read_evacuations(reader):
    if not reader.hasEvacuations:
        return None
    evacuations = reader.evacuations
    return hop_messages.Evacuations(
        evacuations.era, evacuations.revision, tuple(evacuations.zones)
    )


def _read_report(reader):
    return hop_messages.Report(
        name=reader.name,
        incarnation=reader.incarnation,
        sequence=reader.sequence,
        zone=reader.zone,
        host=reader.host,
        port=reader.port,
        target=_read_target(reader.target) if reader.hasTarget else None,
        load=_read_load(reader.load),
        is_leaving=reader.leaving,
        store_reachable=reader.storeReachable,
        generation=reader.generation,
        link_rate=reader.linkRate,
        store_era=reader.storeEra,
        accepts_compressed=reader.acceptsCompressed,
        evacuations=_read_evacuations(reader),
        evidence=_read_evidence(reader),
        verdicts=tuple(_read_verdict(item) for item in reader.verdicts),
        suspects=tuple(
            hop_messages.Suspect(item.mark, item.crashes, item.answers)
            for item in reader.suspects
        ),
    )
