"""Carries the calls that begin on this VM: route, place, send, answer."""

import collections
import itertools

import trio

from pumicestand import hop_messages
from pumicestand import placing
from pumicestand import quarantine
from pumicestand import refusals
from pumicestand import routing
from pumicestand_node import heads
from pumicestand_node import outbound_call

Outcome = hop_messages.Outcome

# Times that a call may be placed without being handed on. Each is one
# exchange between nodes and none at a target.
MAX_PLACEMENTS = 4
# Time before the end of a call at which its final answer goes out.
ANSWER_MARGIN_S = 0.01
# Seconds for which a node gets no calls after a link to it broke.
AVOID_S = 0.5
# Time without which it makes no sense to send a call again, in seconds.
MIN_LEFT_S = 0.03
DEFAULT_LEFT_S = 30.0
# Clients' first attempts differ by up to a seventh in the time they have.
RETURNED_PART = 0.8
# A target names its own calls after the one that it runs.
PARENT_SEPARATOR = '.'
# Bytes of a call and its result beside the bodies, about.
HOP_BYTES = 800
# Weight of one answer in the means that are kept of a route's answers.
MEAN_WEIGHT = 0.05


class OutboundCalls:
    """Serves the requests of callers and of the target on this VM.

    :param mesh: what the node knows: ``configuration``, ``fleet``,
        ``peer_selector``, ``rollouts``, ``retry_quota``, ``is_stopping`` and
        ``send_call(peer, call)``
    :param headers: the `call_headers.CallHeaders`
    :param service: that runs on this VM
    :param running: returns the call of an id that runs at this VM's target
    :param clock: returns monotonic seconds
    """

    def __init__(self, mesh, headers, service, running, clock):
        self._mesh = mesh
        self._headers = headers
        self._running = running
        self._service = service.encode()
        self._clock = clock
        self._pickers = {}
        self._table = None
        self._table_of = None
        self._ids = itertools.count(1)
        self._answer_bytes = {}
        self._work_ms = {}
        self._longest = collections.defaultdict(float)
        self._own_headers = frozenset(
            (
                headers.deadline_ms,
                headers.caller_service,
                headers.expected_instance,
                headers.not_run,
            )
        )
        self.in_flight = 0
        self.counts = collections.Counter()
        self.record_duration = None

    async def serve(self, request, connection):
        """Answer one request; return whether to keep the connection."""
        self.in_flight += 1
        try:
            return await self._serve(request, connection)
        finally:
            self.in_flight -= 1

    async def _serve(self, request, connection):
        started = self._clock()
        configuration = self._mesh.configuration
        if configuration is None:
            return await self._refuse(
                request,
                connection,
                refusals.not_run(
                    refusals.CallCode.NO_DOCUMENT,
                    'no configuration is known here yet',
                    retry_after=outbound_call.RETRY_AFTER_S,
                ),
            )
        if request.expects_continue:
            await connection.send(b'HTTP/1.1 100 Continue\r\n\r\n')
        body = await request.read_all()
        route = self._match(configuration, request.head)
        if route is None:
            return await self._refuse(
                request,
                connection,
                refusals.not_run(
                    refusals.CallCode.NO_ROUTE,
                    f'no route in generation '
                    f'{configuration.accepted.generation}',
                    retry_after=None,
                    status=404,
                ),
            )
        call = self._begin(request.head, body, route, started)
        if self._mesh.is_leaving and not call.is_inner:
            # What runs here may still make calls; callers go elsewhere.
            refusal = refusals.not_run(
                refusals.CallCode.STOPPING,
                'this node stops',
                retry_after=outbound_call.RETRY_AFTER_S,
            )
            self._log(call, refusal.status, refusal.code, None)
            return await self._refuse(request, connection, refusal)
        return await self._carry_out(call, request, connection)

    def _match(self, configuration, head):
        if configuration is not self._table_of:
            self._table = routing.RouteTable(configuration.document)
            self._table_of = configuration
        return self._table.match(head.host, head.path, head.method)

    def _pick_service(self, route):
        if len(route.to) == 1:
            return route.to[0].service
        picker = self._pickers.get((route.name, route.to))
        if picker is None:
            picker = self._pickers[(route.name, route.to)] = (
                routing.WeightedPicker()
            )
        return picker.pick(route.to).service

    def _begin(self, head, body, route, started):
        names = self._headers
        left = _number(head.header(names.deadline_ms), DEFAULT_LEFT_S * 1000)
        left /= 1000
        longest = max(self._longest[route.name], left)
        self._longest[route.name] = longest
        request_id = (head.header(names.request_id) or b'').decode('latin-1')
        parent = self._running(request_id.partition(PARENT_SEPARATOR)[0])
        # A client that comes back has less time left than it had at first.
        is_returned = parent is None and left < longest * RETURNED_PART
        spent = longest - left if is_returned else 0.0
        service = self._pick_service(route)
        quota = self._mesh.retry_quota
        quota.record_request(service, started)
        if parent is not None and parent.is_retry:
            quota.record_retry(service, started)
        return outbound_call.OutboundCall(
            head=head,
            body=body,
            request_id=request_id,
            route=route,
            service=service,
            started=started,
            until=started + min(left, route.timeout) - ANSWER_MARGIN_S,
            objective_at=started + max(0.0, route.objective - spent),
            is_returned=is_returned,
            is_inner=parent is not None,
            headers=self._target_headers(head),
        )

    def _target_headers(self, head):
        lines = bytearray()
        for key, value in heads.filter_request_headers(head.headers):
            if key not in self._own_headers:
                lines += key + b': ' + value + b'\r\n'
        lines += self._headers.caller_service + b': '
        lines += self._service + b'\r\n'
        return bytes(lines)

    async def _carry_out(self, call, request, connection):
        result = None
        with trio.move_on_after(max(0.0, call.until - self._clock())):
            result = await self._place(call)
        if result is not None and result.outcome is Outcome.ANSWERED:
            return await self._pass_back(call, result, request, connection)
        refusal = outbound_call.final_refusal(call, result, self._clock())
        self._log(call, refusal.status, refusal.code, result)
        return await self._refuse(request, connection, refusal)

    async def _place(self, call):
        """Send the call to nodes until it is answered or given up."""
        while True:
            result = await self._place_once(call)
            if result is None:
                return None
            match result.outcome:
                case Outcome.ANSWERED:
                    if not self._should_repeat_answer(call, result):
                        return result
                case Outcome.NOT_HANDED_ON:
                    call.last_code = result.code
                    if result.retry_after_ms:
                        after = result.retry_after_ms / 1000
                        held = call.retry_after or after
                        call.retry_after = min(held, after)
                    is_final = result.code == outbound_call.QUARANTINED
                    if call.placements < MAX_PLACEMENTS and not is_final:
                        continue
                    return result
                case Outcome.NOT_RUN:
                    call.last_code = result.code
                case Outcome.UNKNOWN:
                    call.last_code = result.code
                    call.may_have_run = True
                    if not call.route.idempotent:
                        return result
            if not self._may_send_again(call):
                return result

    def _should_repeat_answer(self, call, result):
        """Whether a target's failure is better repeated than passed back."""
        if result.status < 500 or not call.route.idempotent:
            return False
        return self._clock() < call.until - MIN_LEFT_S

    def _may_send_again(self, call):
        now = self._clock()
        if call.sends >= call.route.retries.attempts:
            return False
        if now > call.until - MIN_LEFT_S:
            return False
        mesh = self._mesh
        if self._choose(call, now) is None:
            return False
        return mesh.retry_quota.try_acquire(
            call.service, mesh.fleet.known_count, now
        )

    def _choose(self, call, now):
        """Return the peer that the call should go to, or None."""
        mesh = self._mesh
        peers = mesh.rollouts.select_peers(
            call.service, mesh.fleet.serving(call.service), now
        )
        size = len(call.body) + self._answer_bytes.get(call.route.name, 0.0)
        return mesh.peer_selector.choose(
            peers,
            call.tried,
            now,
            placing.CallRequirements(
                work_ms=self._work_ms.get(call.route.name, 0.0),
                objective_ms=call.route.objective * 1000,
                kilobytes=(size + HOP_BYTES) / 1000,
            ),
        )

    def _learn(self, call, result):
        """Note how large a route's answers are and how long they take."""
        name = call.route.name
        for means, value in (
            (self._answer_bytes, len(result.body)),
            (self._work_ms, result.work_ms),
        ):
            held = means.get(name, value)
            means[name] = held + MEAN_WEIGHT * (value - held)

    async def _place_once(self, call):
        """Send the call to one node; return its result, None without one."""
        mesh = self._mesh
        now = self._clock()
        suspects = mesh.suspects
        if suspects.has_any and suspects.is_refused(
            quarantine.call_fingerprint(call)
        ):
            call.last_code = outbound_call.QUARANTINED
            return None
        peer = self._choose(call, now)
        if peer is None:
            call.last_code = call.last_code or 'no-target'
            return None
        call.tried.add(peer.name)
        call.placements += 1
        call.node = peer.name
        call.asked.append(f'{peer.name}:unanswered')
        target = peer.target
        left = call.until - now
        message = hop_messages.Call(
            id=next(self._ids),
            service=call.service,
            version=target.version,
            instance=target.instance,
            method=call.head.method,
            url=call.head.url,
            headers=call.headers,
            remaining_ms=max(1, int(left * 1000)),
            objective_ms=int((call.objective_at - now) * 1000),
            priority=call.route.priority,
            route=call.route.name,
            request_id=call.request_id,
            is_idempotent=call.route.idempotent,
            is_nested=call.is_inner,
            is_retry=call.sends > 0,
            is_client_retry=call.is_returned,
            body=call.body,
            expected_ms=self._work_ms.get(call.route.name, 0.0),
        )
        peer.in_flight += 1
        peer.sent_since_load += 1
        was_unknown = call.may_have_run
        call.may_have_run = True
        try:
            result = await mesh.send_call(peer, message)
        finally:
            peer.in_flight -= 1
        if result is None:
            # The link broke; the call may have been handed on.
            peer.avoided_until = self._clock() + AVOID_S
            call.sends += 1
            call.asked[-1] = f'{peer.name}:link-lost'
            return hop_messages.Result(0, Outcome.UNKNOWN, 'link-lost')
        call.may_have_run = was_unknown
        call.asked[-1] = f'{peer.name}:{result.code or result.status}'
        if result.outcome is not Outcome.NOT_HANDED_ON:
            call.sends += 1
        peer.update_load(result.load, self._clock())
        return result

    async def _pass_back(self, call, result, request, connection):
        await connection.wait_for_turn()
        keep = self._may_keep(request, connection)
        self._learn(call, result)
        self._log(call, result.status, '', result)
        await connection.send(outbound_call.write_answer(call, result, keep))
        return keep

    def _may_keep(self, request, connection):
        """Whether to keep the connection; requests begun are answered."""
        return (
            request.head.keep_alive
            and request.is_complete
            and (connection.has_successor or not self._mesh.is_stopping)
        )

    async def _refuse(self, request, connection, refusal):
        self.counts[('refused', refusal.code.value, refusal.status)] += 1
        await connection.wait_for_turn()
        keep = self._may_keep(request, connection)
        with_body = request.head.method != 'HEAD'
        await connection.send(heads.format_refusal(refusal, keep, with_body))
        return keep

    def _log(self, call, status, code, result):
        now = self._clock()
        self.counts[('answered', call.service, status)] += 1
        if self.record_duration is not None:
            self.record_duration(call.route.name, '', now - call.started)
        self._mesh.decisions.note(
            'call',
            id=call.request_id,
            route=call.route.name,
            service=call.service,
            node=call.node,
            status=status,
            code=str(code),
            why=call.last_code,
            placements=call.placements,
            asked=call.asked if call.placements > 1 else None,
            sends=call.sends,
            bytes=len(call.body) + (len(result.body) if result else 0),
            ms=round((now - call.started) * 1000, 1),
            work_ms=round(result.work_ms, 1) if result else None,
            generation=self._mesh.configuration.accepted.generation,
        )


def _number(value, default):
    if value is None or not value.isdigit() or len(value) > 9:
        return default
    return int(value)
