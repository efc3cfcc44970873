"""One call of a caller: its state, and what the caller is told."""

import dataclasses

from pumicestand import documents
from pumicestand import refusals
from pumicestand import suspects
from pumicestand_node import heads

# Seconds after which a refused caller may come back when no node says.
RETRY_AFTER_S = 0.25
QUARANTINED = refusals.CallCode.QUARANTINED.value


@dataclasses.dataclass(slots=True)
class OutboundCall:
    """The state of one call of a caller while it is carried out.

    :param until: monotonic seconds; its final answer goes out by then
    :param objective_at: monotonic seconds until which its answer is in time
    :param is_returned: the client was told to come back and has
    :param is_inner: the target of this VM makes it while it runs another
    :param headers: lines of the head for the target
    :param placements: nodes that were asked
    :param sends: times that a target may have got it
    :param may_have_run: whether an earlier send may have run
    :param tried: names of the nodes that were asked
    :param asked: each of them with what it said, for the log
    :param last_code: the last reason that a node gave
    :param retry_after: seconds until room is expected, 0 if unknown
    """

    head: heads.RequestHead
    body: bytes
    request_id: str
    route: documents.Route
    service: str
    started: float
    until: float
    objective_at: float
    is_returned: bool
    is_inner: bool
    headers: bytes
    placements: int = 0
    sends: int = 0
    may_have_run: bool = False
    tried: set = dataclasses.field(default_factory=set)
    last_code: str = ''
    retry_after: float = 0.0
    node: str = ''
    asked: list = dataclasses.field(default_factory=list)

    @property
    def method(self):
        """Of the request."""
        return self.head.method

    @property
    def url(self):
        """Of the request, as bytes."""
        return self.head.url


def final_refusal(call, result, now):
    """Return what the caller is told; it is true in every case.

    :param result: of the last node that was asked, None if it gave none
    :param now: monotonic seconds
    """
    if result is None and now >= call.until - 0.001:
        if call.may_have_run:
            return refusals.unknown(
                refusals.CallCode.DEADLINE,
                'given up at its deadline; it may have run',
                status=504,
            )
        return refusals.not_run(
            refusals.CallCode.DEADLINE_BEFORE_RUN,
            'its deadline passed before it was sent',
            retry_after=RETRY_AFTER_S,
        )
    if call.may_have_run:
        return refusals.unknown(
            refusals.CallCode.ANSWER_LOST,
            f'{call.last_code} at {call.node}',
        )
    if call.last_code == QUARANTINED:
        return refusals.not_run(
            refusals.CallCode.QUARANTINED,
            'this request crashed the targets that ran it',
            retry_after=int(suspects.SUSPECT_RETENTION_S),
        )
    left = call.until - now
    after = call.retry_after or RETRY_AFTER_S
    return refusals.not_run(
        refusals.CallCode.OVERLOADED
        if call.last_code == 'overloaded'
        else refusals.CallCode.NO_TARGET,
        f'{call.last_code}; {call.placements} nodes were asked',
        retry_after=round(max(0.01, min(after, left / 3)), 3),
    )


def write_answer(call, result, keep):
    """Return the bytes of a target's answer.

    :param keep: whether the caller's connection is kept
    """
    framing = b'content-length: %d\r\n' % len(result.body)
    if call.head.method == 'HEAD' or result.status in (204, 304):
        framing = b''
    parts = [
        b'HTTP/1.1 %d ' % result.status,
        result.reason,
        b'\r\n',
        result.headers,
        framing,
    ]
    if not keep:
        parts.append(b'connection: close\r\n')
    parts.append(b'\r\n')
    parts.append(result.body)
    return b''.join(parts)
