"""The state of one call and the response that its client gets."""

import dataclasses

from pumicestand import documents
from pumicestand import hop_messages
from pumicestand import quotas
from pumicestand import refusals
from pumicestand import suspects
from pumicestand_node import heads

# Seconds after which a refused client may retry if no node gave a time.
RETRY_AFTER_S = 0.25
QUARANTINED = refusals.CallCode.QUARANTINED.value
STOPPING = refusals.CallCode.STOPPING.value


@dataclasses.dataclass(slots=True, eq=False)
class OutboundCall:
    """The state of one call of a client.

    :param started_at: monotonic seconds
    :param deadline: monotonic seconds by which the final response is sent
    :param own_deadline: what it is but for the stop of the node
    :param client_deadline: monotonic seconds until which its client waits or
        returns; later than ``deadline`` if the route allows less time
    :param objective_at: monotonic seconds until which the response meets the
        latency objective
    :param is_client_retry: whether the client was refused before and retries
    :param is_nested: whether the target on this VM makes the call while it
        runs another one
    :param parent_id: request id of that other call, empty for none
    :param header_lines: header lines for the target, as bytes
    :param configuration: `documents.InForce` under which it was admitted
    :param organisation: `documents.Organisation` that it belongs to, None for
        none
    :param access_refusal: `refusals.Refusal` of the key that was withdrawn
        while the call waited, None if it was not
    :param placements: number of nodes that the call was sent to
    :param overloaded_placements: how many of them had no room for it in time
    :param probes: how many of them did not start it at once, see `probing`
    :param busy_nodes: names of the nodes that answered these probes
    :param sends: how often the call may have been sent to a target
    :param may_have_run: whether a target may have run the call
    :param failure_response: result with a target's failure response, after
        which the call was sent to another target, None if there was none
    :param tried_nodes: names of the nodes that the call was sent to
    :param last_code: code of the last result without a response
    :param retry_after_s: seconds until a slot is expected, 0 if unknown
    :param last_node: name of the last node that the call was sent to
    :param last_id: id of the message that it was last sent in
    :param node_results: node and result of each placement, for the log
    :param quota_token: `quotas.Token` that the call has taken, None if it
        needs none or has returned it
    """

    head: heads.RequestHead
    body: bytes
    request_id: str
    route: documents.Route
    service: str
    started_at: float
    deadline: float
    own_deadline: float
    client_deadline: float
    objective_at: float
    is_client_retry: bool
    is_nested: bool
    header_lines: bytes
    configuration: documents.InForce
    parent_id: str = ''
    organisation: documents.Organisation | None = None
    access_refusal: refusals.Refusal | None = None
    placements: int = 0
    overloaded_placements: int = 0
    probes: int = 0
    busy_nodes: set = dataclasses.field(default_factory=set)
    sends: int = 0
    may_have_run: bool = False
    failure_response: hop_messages.Result | None = None
    tried_nodes: set = dataclasses.field(default_factory=set)
    last_code: str = ''
    retry_after_s: float = 0.0
    last_node: str = ''
    last_id: int = 0
    node_results: list = dataclasses.field(default_factory=list)
    quota_token: quotas.Token | None = None

    @property
    def organisation_name(self):
        """The name of the organisation, empty for none."""
        return self.organisation.name if self.organisation else ''

    @property
    def ends_with_node(self):
        """Whether the stop of the node has set the deadline."""
        return self.deadline < self.own_deadline

    @property
    def priority(self):
        """The priority of the organisation, of the route if it has none."""
        organisation = self.organisation
        if organisation is None or organisation.priority is None:
            return self.route.priority
        return organisation.priority

    @property
    def method(self):
        """The method of the request."""
        return self.head.method

    @property
    def url(self):
        """The path and query of the request, as bytes."""
        return self.head.url


def final_refusal(call, result, now):
    """Return the `refusals.Refusal` for a call that got no response.

    It says that the call has not run only if that is certain.

    :param result: the last `hop_messages.Result`, None if there was none
    :param now: monotonic seconds
    """
    is_stopped = call.ends_with_node and call.last_code == STOPPING
    if result is None and (now >= call.deadline - 0.001 or is_stopped):
        return _overdue_refusal(call)
    if call.may_have_run:
        return refusals.unknown(
            refusals.CallCode.ANSWER_LOST,
            f'{call.last_code} at {call.last_node}',
        )
    if call.access_refusal is not None:
        return call.access_refusal
    if call.last_code == QUARANTINED:
        return refusals.not_run(
            refusals.CallCode.QUARANTINED,
            'this request crashed the targets that ran it',
            retry_after=int(suspects.SUSPECT_RETENTION_S),
        )
    remaining_s = call.client_deadline - now
    retry_after_s = call.retry_after_s or RETRY_AFTER_S
    return refusals.not_run(
        refusals.CallCode.OVERLOADED
        if call.last_code == 'overloaded'
        else refusals.CallCode.NO_TARGET,
        f'{call.last_code}; {call.placements} nodes were asked',
        retry_after=round(max(0.01, min(retry_after_s, remaining_s / 3)), 3),
    )


def _overdue_refusal(call):
    """Return the `refusals.Refusal` for a call that got no result in time."""
    if call.ends_with_node:
        code = code_before_run = refusals.CallCode.STOPPING
        event = 'this node stops'
    else:
        code = refusals.CallCode.DEADLINE
        code_before_run = refusals.CallCode.DEADLINE_BEFORE_RUN
        event = 'its deadline passed'
    if call.may_have_run:
        return refusals.unknown(code, f'{event}; it may have run', status=504)
    return refusals.not_run(
        code_before_run,
        f'{event} before it was sent',
        retry_after=RETRY_AFTER_S,
    )


def format_response(call, result, keep_alive):
    """Return a target's response as bytes.

    :param keep_alive: whether the client's connection is kept
    """
    body = result.body
    content_length = b'content-length: %d\r\n' % len(body)
    if call.head.method == 'HEAD' or result.status in (204, 304):
        # The client would read a body as the start of the next response.
        body = content_length = b''
    parts = [
        b'HTTP/1.1 %d ' % result.status,
        result.reason,
        b'\r\n',
        result.headers,
        content_length,
    ]
    if not keep_alive:
        parts.append(b'connection: close\r\n')
    parts.append(b'\r\n')
    parts.append(body)
    return b''.join(parts)
