"""Handles the calls that clients on this VM make.

For each call the node finds its route, selects the node of a target, sends the
call there, retries it where that is allowed, and returns the response.
"""

import collections
import dataclasses
import itertools
import random

import trio

from pumicestand import admission_by_room
from pumicestand import buffer_budget
from pumicestand import fingerprints
from pumicestand import fleet as fleets
from pumicestand import hop_messages
from pumicestand import latencies
from pumicestand import placing
from pumicestand import probing
from pumicestand import quotas
from pumicestand import refusals
from pumicestand import return_times
from pumicestand import routing
from pumicestand import shutdown
from pumicestand_node import call_access
from pumicestand_node import heads
from pumicestand_node import outbound_call
from pumicestand_node import supervision

Outcome = hop_messages.Outcome

MIN_SERVER_ERROR_STATUS = 500

# Nodes that a call is sent to at most, besides probes, while none of them
# hands it on to its target. Each costs one exchange between nodes and none
# with a target.
MAX_PLACEMENTS = 4
# Of these, nodes that refuse the call since they have no room in time. The
# first ones asked have the most room as far as is known; where two have none,
# further ones hardly ever do.
MAX_OVERLOADED_PLACEMENTS = 2
OVERLOADED_CODES = frozenset(('overloaded', 'waited-in-vain'))
# The final response is sent this long before the client's deadline.
RESPONSE_MARGIN_S = 0.01
# Least time before the deadline at which a call is sent to a further node.
# Calls that have not started are withdrawn a little later than this.
MIN_PLACEMENT_S = 0.06
# Seconds for which other nodes are preferred after the link to a node broke.
AVOID_NODE_S = 0.5
# Least time before the deadline at which a retry can still succeed.
MIN_RETRY_TIME_S = 0.03
DEFAULT_TIMEOUT_S = 30.0
# A call with less than this share of the longest time limit of its route is a
# client's retry; the limits of first attempts differ by up to a seventh.
CLIENT_RETRY_TIMEOUT_RATIO = 0.8
# Approximate size of a call and its result without their bodies.
CALL_OVERHEAD_BYTES = 800
# Weight of one response in the moving averages of its route.
AVERAGE_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class _Selection:
    """The `fleet.Peer` to send a call to, None if there is none."""

    peer: fleets.Peer | None
    is_probe: bool = False


class OutboundCalls:
    """Serves the requests of clients and of the target on this VM.

    ``in_flight`` is the number of requests being served. ``counts`` holds the
    number of refusals as ('refused', code, status) and of finished calls as
    ('answered', service, status). ``durations`` are
    those of finished calls. ``access`` is the `call_access.CallAccess`.

    :param mesh: the `mesh_state.MeshState`, used for ``configuration``,
        ``fleet``, ``peer_selector``, ``rollouts``, ``retry_quota``,
        ``is_stopping``, ``send_call(peer, call)`` and
        ``withdraw_call(peer_name, id, in_s)``
    :param headers: the `call_headers.CallHeaders`
    :param service: name of the service that runs on this VM
    :param find_running: returns the call with a request id that runs at the
        target on this VM, or None
    :param clock: returns monotonic seconds
    :param record_nested: called with the service of each call that the target
        on this VM makes while it runs another one
    :param record_nested_failure: called with the request id of the call that
        the target runs, when one that it made meanwhile has failed
    :param budget: `buffer_budget.BufferBudget` that counts responses until
        they are sent
    """

    def __init__(
        self,
        mesh,
        headers,
        service,
        find_running,
        clock,
        record_nested=lambda service: None,
        record_nested_failure=lambda request_id: None,
        budget=None,
    ):
        self._mesh = mesh
        self._headers = headers
        self._service_name = service.encode()
        self._clock = clock
        self._record_nested = record_nested
        self._record_nested_failure = record_nested_failure
        self._budget = budget or buffer_budget.BufferBudget()
        self._rng = random.Random()
        self._pickers = {}
        self._table = None
        self._table_configuration = None
        self._call_ids = itertools.count(1)
        self._mean_response_bytes = {}
        self._mean_work_ms = {}
        self._max_timeout_s = collections.defaultdict(float)
        # Cancel scope of each call that is being sent.
        self._scopes = {}
        self._schedule = None
        self._probe_gauge = probing.ProbeGauge()
        self._return_times = return_times.ReturnTimes(self._rng)
        self._replaced_headers = frozenset(
            (
                headers.deadline_ms,
                headers.caller_service,
                headers.expected_instance,
                headers.not_run,
            )
        )
        self.access = call_access.CallAccess(headers, find_running, clock)
        self.in_flight = 0
        self.counts = collections.Counter()
        self.durations = latencies.Latencies()

    def finish_by(self, schedule):
        """End every call in time for the stop of the node.

        :param schedule: `shutdown.Schedule`
        """
        self._schedule = schedule
        for call, scope in self._scopes.items():
            try:
                self._end_with_node(call, scope)
            except Exception as error:
                # Its own deadline ends it.
                supervision.log_failure(
                    'call-failed',
                    error,
                    'call {} is not limited by the stop: {!r}',
                    call.request_id,
                    error,
                )

    def _end_with_node(self, call, scope):
        """End a call that is being sent in time for the stop of the node."""
        schedule, now = self._schedule, self._clock()
        self._limit(call)
        if not call.ends_with_node:
            return
        scope.deadline = trio.current_time() + schedule.calls_end_at - now
        start_by = shutdown.latest_start(
            self._work_s(call), schedule.end_at(call.started_at)
        )
        self._mesh.withdraw_call(call.last_node, call.last_id, start_by - now)

    def _limit(self, call):
        """Have a call's target end it before this node gives it up."""
        if self._schedule is not None:
            call.deadline = min(
                call.deadline, self._schedule.end_at(call.started_at)
            )

    def _may_finish(self, call, now):
        """Return whether the stop of the node leaves time for the call."""
        return self._schedule is None or shutdown.may_finish(
            now,
            call.own_deadline,
            self._work_s(call),
            self._schedule.end_at(call.started_at),
        )

    def _work_s(self, call):
        """Return the seconds that calls of its route take, 0 if unknown."""
        return self._mean_work_ms.get(call.route.name, 0.0) / 1000

    async def serve(self, request, connection):
        """Respond to a request and return whether to keep the connection."""
        self.in_flight += 1
        try:
            return await self._serve(request, connection)
        finally:
            self.in_flight -= 1

    async def _serve(self, request, connection):
        connection.may_have_run = False
        started_at = self._clock()
        configuration = self._mesh.configuration
        if configuration is None:
            return await self._send_refusal(
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
        # A newer one may have come into force while the body arrived.
        configuration = self._mesh.configuration
        route = self._match_route(configuration, request.head)
        if route is None:
            return await self._refuse_without_route(
                request, connection, configuration
            )
        decision = self.access.decide(
            configuration, route, request.head, self._request_id(request.head)
        )
        self.access.record(decision)
        refusal = call_access.refusal(
            decision, self._client_timeout_s(request.head)
        )
        if refusal is not None:
            return await self._refuse_access(
                request, connection, configuration, route, refusal
            )
        call = self._create_call(
            request.head,
            body,
            route,
            started_at,
            configuration,
            decision.organisation,
        )
        if self._mesh.is_leaving and not call.is_nested:
            # The target may still make calls for those that it runs; other
            # clients use another node.
            refusal = refusals.not_run(
                refusals.CallCode.STOPPING,
                'this node stops',
                retry_after=outbound_call.RETRY_AFTER_S,
            )
            self._log_call(call, refusal.status, refusal.code, None)
            return await self._send_refusal(request, connection, refusal)
        refusal = self._refuse_displacing(call)
        if refusal is None:
            refusal = await self._take_quota(call)
        if refusal is not None:
            self._log_call(call, refusal.status, refusal.code, None)
            return await self._send_refusal(request, connection, refusal)
        return await self._execute(call, request, connection)

    def _refuse_displacing(self, call):
        """Return the refusal of a call that displaces more urgent ones."""
        if call.is_nested or call.is_client_retry:
            return None
        fleet = self._mesh.fleet
        service = admission_by_room.nested_service(fleet.serving(call.service))
        if not service:
            return None
        now = self._clock()
        if not admission_by_room.displaces_urgent(
            call.priority, call.is_client_retry, fleet.serving(service), now
        ):
            return None
        call.last_code = 'nested-calls-displace'
        delay_s = self._return_times.spread_s(call.client_deadline - now)
        return refusals.not_run(
            refusals.CallCode.OVERLOADED,
            f'{service}, which it needs, has no room for more urgent calls',
            retry_after=round(max(0.01, delay_s), 3),
        )

    async def _take_quota(self, call):
        """Take a token for the call; return the refusal if there is none.

        A token is taken once for each attempt of a client. Retries that the
        node sends itself use the same token, and `_return_quota` returns it
        if no target has run the call.
        """
        organisation = call.organisation
        agent = self._mesh.quota_agent
        if (
            agent is None
            or organisation is None
            or organisation.rate <= 0
            or call.is_nested
            or call.route.is_public
        ):
            return None
        match await agent.admit(organisation, self._clock()):
            case quotas.Refused(retry_after):
                call.last_code = f'quota of {organisation.name}'
                return refusals.not_run(
                    refusals.CallCode.OVER_QUOTA,
                    f'the quota of {organisation.name} is used up',
                    retry_after=round(max(0.01, retry_after), 3),
                    status=429,
                )
        call.quota_token = quotas.Token(organisation.name, self._clock())
        return None

    def _return_quota(self, call):
        """Return the token of a call that no target has run."""
        token, call.quota_token = call.quota_token, None
        if token is not None and not call.may_have_run:
            self._mesh.quota_agent.give_back(token, self._clock())

    async def _refuse_without_route(self, request, connection, configuration):
        """Refuse a request for which the configuration has no route."""
        head = request.head
        generation = configuration.accepted.generation
        refusal = refusals.not_run(
            refusals.CallCode.NO_ROUTE,
            f'no route in generation {generation}',
            retry_after=None,
            status=404,
        )
        self._mesh.decisions.note(
            'call',
            id=self._request_id(head),
            host=head.host,
            path=head.path,
            status=refusal.status,
            code=str(refusal.code),
            generation=generation,
            in_force_s=round(self._clock() - configuration.since, 3),
        )
        return await self._send_refusal(request, connection, refusal)

    async def _refuse_access(
        self, request, connection, configuration, route, refusal
    ):
        """Refuse a request whose key does not admit it to its route."""
        self._mesh.decisions.note(
            'call',
            id=self._request_id(request.head),
            route=route.name,
            status=refusal.status,
            code=str(refusal.code),
            why=refusal.detail,
            generation=configuration.accepted.generation,
            in_force_s=round(self._clock() - configuration.since, 3),
        )
        return await self._send_refusal(request, connection, refusal)

    def _request_id(self, head):
        value = head.header(self._headers.request_id) or b''
        return value.decode('latin-1')

    def _match_route(self, configuration, head):
        if configuration is not self._table_configuration:
            self._table = routing.RouteTable(configuration.document)
            self._table_configuration = configuration
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

    def _client_timeout_s(self, head):
        """Return the seconds for which the client waits."""
        value = head.header(self._headers.deadline_ms)
        return _parse_int(value, DEFAULT_TIMEOUT_S * 1000) / 1000

    def _create_call(
        self, head, body, route, started_at, configuration, organisation
    ):
        client_timeout_s = self._client_timeout_s(head)
        max_timeout_s = max(self._max_timeout_s[route.name], client_timeout_s)
        self._max_timeout_s[route.name] = max_timeout_s
        request_id = self._request_id(head)
        parent = self.access.find_parent(configuration, head, request_id)
        # A client that retries has less time left than at its first attempt.
        is_client_retry = (
            parent is None
            and client_timeout_s < max_timeout_s * CLIENT_RETRY_TIMEOUT_RATIO
        )
        elapsed_s = (
            max_timeout_s - client_timeout_s if is_client_retry else 0.0
        )
        deadline = (
            started_at
            + min(client_timeout_s, route.timeout)
            - RESPONSE_MARGIN_S
        )
        service = self._pick_service(route)
        quota = self._mesh.retry_quota
        quota.record_request(service, started_at)
        if parent is not None:
            self._record_nested(service)
        if parent is not None and parent.is_retry:
            quota.record_retry(service, started_at)
        return outbound_call.OutboundCall(
            head=head,
            body=body,
            request_id=request_id,
            route=route,
            service=service,
            started_at=started_at,
            deadline=deadline,
            own_deadline=deadline,
            client_deadline=started_at + client_timeout_s,
            objective_at=started_at + max(0.0, route.objective - elapsed_s),
            is_client_retry=is_client_retry,
            is_nested=parent is not None,
            parent_id=parent.request_id if parent is not None else '',
            header_lines=self._format_target_headers(
                head, configuration, organisation
            ),
            configuration=configuration,
            organisation=organisation,
        )

    def _format_target_headers(self, head, configuration, organisation):
        lines = bytearray()
        headers = heads.filter_request_headers(head.headers)
        if self.access.needs_keys(configuration):
            headers = self.access.filter_headers(headers, organisation)
        for key, value in headers:
            if key not in self._replaced_headers:
                lines += key + b': ' + value + b'\r\n'
        lines += self._headers.caller_service + b': '
        lines += self._service_name + b'\r\n'
        return bytes(lines)

    async def _execute(self, call, request, connection):
        connection.may_have_run = True
        connection.request_id = call.request_id
        # The stop may have begun since the call arrived.
        self._limit(call)
        result = None
        remaining_s = self._give_up_at(call) - self._clock()
        if remaining_s > 0:
            with trio.move_on_after(remaining_s) as scope:
                self._scopes[call] = scope
                try:
                    result = await self._send_until_answered(call)
                finally:
                    del self._scopes[call]
        if result is None or result.outcome is not Outcome.ANSWERED:
            # A target's failure tells the client more than a refusal.
            result = call.failure_response or result
        self._plan_return(call, result)
        if call.is_nested and not _is_success(result):
            self._record_nested_failure(call.parent_id)
        if result is not None and result.outcome is Outcome.ANSWERED:
            return await self._forward_response(
                call, result, request, connection
            )
        self._return_quota(call)
        refusal = outbound_call.final_refusal(call, result, self._clock())
        self._log_call(call, refusal.status, refusal.code, result)
        return await self._send_refusal(request, connection, refusal)

    def _plan_return(self, call, result):
        """Set when the client is to return if the call is refused."""
        now = self._clock()
        is_refused = (
            result is not None
            and result.outcome is Outcome.NOT_HANDED_ON
            and call.last_code in OVERLOADED_CODES
        )
        self._return_times.record(call.service, is_refused, now)
        if is_refused:
            call.retry_after_s = self._return_times.retry_after_s(
                call.service,
                call.retry_after_s or outbound_call.RETRY_AFTER_S,
                call.client_deadline - now,
                now,
            )

    def _give_up_at(self, call):
        """Return when a call without a result gets a response of the node."""
        if call.ends_with_node:
            return self._schedule.calls_end_at
        return call.deadline

    async def _send_until_answered(self, call):
        """Send the call to nodes until it gets a response or can't be retried.

        :returns: the `hop_messages.Result` of the last attempt, None if
            there was no node for it
        """
        while True:
            result = await self._send_to_node(call)
            if result is None:
                return None
            match result.outcome:
                case Outcome.ANSWERED:
                    if not self._should_retry_response(call, result):
                        return result
                    # It has run, whatever becomes of the next attempt.
                    call.may_have_run = True
                    call.failure_response = result
                case Outcome.NOT_HANDED_ON if result.code == probing.BUSY_CODE:
                    self._record_busy(call)
                    continue
                case Outcome.NOT_HANDED_ON:
                    call.last_code = result.code
                    if result.retry_after_ms:
                        node_retry_after_s = result.retry_after_ms / 1000
                        previous = call.retry_after_s or node_retry_after_s
                        call.retry_after_s = min(previous, node_retry_after_s)
                    call.overloaded_placements += (
                        result.code in OVERLOADED_CODES
                    )
                    is_final = (
                        result.code == outbound_call.QUARANTINED
                        or call.overloaded_placements
                        >= MAX_OVERLOADED_PLACEMENTS
                    )
                    placements = call.placements - call.probes
                    if (
                        placements < MAX_PLACEMENTS
                        and not is_final
                        and self._clock() < call.deadline - MIN_PLACEMENT_S
                    ):
                        continue
                    return result
                case Outcome.NOT_RUN:
                    call.last_code = result.code
                case Outcome.UNKNOWN:
                    call.last_code = result.code
                    call.may_have_run = True
                    if not call.route.idempotent:
                        return result
            if not self._may_retry(call):
                return result

    def _should_retry_response(self, call, result):
        """Return whether to retry a call that the target failed."""
        if (
            result.status < MIN_SERVER_ERROR_STATUS
            or not call.route.idempotent
        ):
            return False
        now = self._clock()
        return now < call.deadline - MIN_RETRY_TIME_S and self._may_finish(
            call, now
        )

    def _may_retry(self, call):
        now = self._clock()
        if call.sends >= call.route.retries.attempts:
            return False
        if now > call.deadline - MIN_RETRY_TIME_S:
            return False
        if not self._may_finish(call, now):
            return False
        mesh = self._mesh
        if self._choose_peer(call, now) is None:
            return False
        return mesh.retry_quota.try_acquire(
            call.service, mesh.fleet.known_count, now
        )

    def _record_busy(self, call):
        """Count a probe; the node may still get the call to wait there."""
        call.last_code = probing.BUSY_CODE
        call.probes += 1
        call.busy_nodes.add(call.last_node)
        call.tried_nodes.discard(call.last_node)

    def _select_peer(self, call, now):
        """Return the `_Selection` of the peer to send the call to.

        While the call is probed, a peer that has been busy is passed over
        even if waiting there is expected to take less time than an exchange:
        others may be free.
        """
        if probing.is_allowed(call.probes, len(call.body)):
            peer = self._choose_peer(call, now, call.busy_nodes)
            if peer is not None and self._probe_gauge.is_worthwhile(
                peer.load, now
            ):
                return _Selection(peer, is_probe=True)
            if not call.busy_nodes:
                return _Selection(peer)
        return _Selection(self._choose_peer(call, now))

    def _choose_peer(self, call, now, excluded=frozenset()):
        """Return the peer to send the call to, or None if there is none.

        :param excluded: names of peers not to choose, besides those tried
        """
        mesh = self._mesh
        peers = mesh.rollouts.select_peers(
            call.service, mesh.fleet.serving(call.service), now
        )
        body_bytes = len(call.body) + self._mean_response_bytes.get(
            call.route.name, 0.0
        )
        return mesh.peer_selector.choose(
            peers,
            call.tried_nodes | excluded,
            now,
            placing.CallRequirements(
                work_ms=self._mean_work_ms.get(call.route.name, 0.0),
                objective_ms=call.route.objective * 1000,
                kilobytes=(body_bytes + CALL_OVERHEAD_BYTES) / 1000,
            ),
        )

    def _update_averages(self, call, result):
        """Update the size and time of responses on the call's route."""
        name = call.route.name
        for averages, value in (
            (self._mean_response_bytes, len(result.body)),
            (self._mean_work_ms, result.work_ms),
        ):
            previous = averages.get(name, value)
            averages[name] = previous + AVERAGE_WEIGHT * (value - previous)

    async def _send_to_node(self, call):
        """Send the call to one node and return its `hop_messages.Result`.

        Return None if the request is quarantined, there is no node for it or
        too little time for it before this one stops.
        ``may_have_run`` is true until the result is known, since the deadline
        may end the wait for it.
        """
        mesh = self._mesh
        now = self._clock()
        suspects = mesh.suspects
        if suspects.has_any and suspects.is_refused(
            fingerprints.call_fingerprint(call)
        ):
            call.last_code = outbound_call.QUARANTINED
            return None
        if not self._renew_access(call, now):
            return None
        if not self._may_finish(call, now):
            call.last_code = outbound_call.STOPPING
            return None
        selection = self._select_peer(call, now)
        peer, is_probe = selection.peer, selection.is_probe
        if peer is None:
            call.last_code = call.last_code or 'no-target'
            return None
        call.tried_nodes.add(peer.name)
        call.placements += 1
        call.last_node = peer.name
        call.node_results.append(f'{peer.name}:unanswered')
        target = peer.target
        remaining_s = call.deadline - now
        message = hop_messages.Call(
            id=next(self._call_ids),
            service=call.service,
            version=target.version,
            instance=target.instance,
            method=call.head.method,
            url=call.head.url,
            headers=call.header_lines,
            remaining_ms=max(1, int(remaining_s * 1000)),
            objective_remaining_ms=int((call.objective_at - now) * 1000),
            priority=call.priority,
            route=call.route.name,
            request_id=call.request_id,
            is_idempotent=call.route.idempotent,
            is_nested=call.is_nested,
            is_retry=call.sends > 0,
            is_client_retry=call.is_client_retry,
            body=call.body,
            expected_ms=self._mean_work_ms.get(call.route.name, 0.0),
            organisation=call.organisation_name,
            is_probe=is_probe,
        )
        call.last_id = message.id
        peer.in_flight += 1
        peer.sent_since_load += 1
        earlier_send_may_have_run = call.may_have_run
        call.may_have_run = True
        try:
            result = await mesh.send_call(peer, message)
        finally:
            peer.in_flight -= 1
        if result is None:
            # The link broke; the call may have reached the target.
            peer.avoided_until = self._clock() + AVOID_NODE_S
            call.sends += 1
            call.node_results[-1] = f'{peer.name}:link-lost'
            return hop_messages.Result(0, Outcome.UNKNOWN, 'link-lost')
        if is_probe:
            self._record_probe(call, result, now)
        call.may_have_run = earlier_send_may_have_run
        call.node_results[-1] = f'{peer.name}:{result.code or result.status}'
        if result.outcome is not Outcome.NOT_HANDED_ON:
            call.sends += 1
        if result.load is not None:
            peer.update_load(result.load, self._clock())
        return result

    def _record_probe(self, call, result, sent_at):
        """Record whether a probe has found a free slot."""
        is_busy = result.code == probing.BUSY_CODE
        if result.outcome is Outcome.NOT_HANDED_ON and not is_busy:
            # The node refuses all calls, or has no link.
            return
        now = self._clock()
        self._probe_gauge.record(is_busy, call.probes == 0, now - sent_at, now)

    def _renew_access(self, call, now):
        """Check the call's key again; return whether the call may run.

        Since the call arrived, a configuration may have come into force that
        withdraws the key, or the first one that needs keys.
        """
        configuration = self._mesh.configuration
        is_same = configuration is call.configuration
        if is_same and not self.access.needs_keys(configuration):
            return True
        organisation = None
        if not call.is_nested:
            decision = self.access.decide(
                configuration, call.route, call.head, call.request_id
            )
            call.access_refusal = call_access.refusal(
                decision, call.deadline - now
            )
            if call.access_refusal is not None:
                call.last_code = call.access_refusal.code.value
                return False
            organisation = decision.organisation
        if not is_same:
            call.configuration = configuration
            call.organisation = organisation
            call.header_lines = self._format_target_headers(
                call.head, configuration, organisation
            )
        return True

    async def _forward_response(self, call, result, request, connection):
        size = len(result.headers) + len(result.body)
        with self._budget.hold(size):
            return await self._send_response(call, result, request, connection)

    async def _send_response(self, call, result, request, connection):
        await connection.wait_for_turn()
        keep_alive = self._may_keep_alive(request, connection)
        self._update_averages(call, result)
        self._log_call(call, result.status, '', result)
        await connection.send(
            outbound_call.format_response(call, result, keep_alive)
        )
        return keep_alive

    def _may_keep_alive(self, request, connection):
        """Decide in the response's turn whether to keep the connection.

        A node that is stopping closes it after the last request received.
        """
        return connection.decide_keep_alive(self._mesh.is_stopping)

    async def _send_refusal(self, request, connection, refusal):
        self.counts[('refused', refusal.code.value, refusal.status)] += 1
        await connection.wait_for_turn()
        keep_alive = self._may_keep_alive(request, connection)
        with_body = request.head.method != 'HEAD'
        await connection.send(
            heads.format_refusal(refusal, keep_alive, with_body)
        )
        return keep_alive

    def _log_call(self, call, status, code, result):
        """Count and log a finished call; its client is answered anyhow."""
        try:
            self._record_call(call, status, code, result)
        except Exception as error:
            supervision.log_failure(
                'call-not-logged',
                error,
                'call {} is missing in the log: {!r}',
                call.request_id,
                error,
            )

    def _record_call(self, call, status, code, result):
        now = self._clock()
        self.counts[('answered', call.service, status)] += 1
        self.durations.record(call.route.name, '', now - call.started_at)
        self._mesh.decisions.note(
            'call',
            id=call.request_id,
            route=call.route.name,
            service=call.service,
            organisation=call.organisation_name,
            node=call.last_node,
            status=status,
            code=str(code),
            why=call.last_code,
            placements=call.placements,
            asked=call.node_results if call.placements > 1 else None,
            sends=call.sends,
            bytes=len(call.body) + (len(result.body) if result else 0),
            ms=round((now - call.started_at) * 1000, 1),
            work_ms=round(result.work_ms, 1) if result else None,
            generation=self._mesh.configuration.accepted.generation,
        )


def _parse_int(value, default):
    if value is None or not value.isdigit() or len(value) > 9:
        return default
    return int(value)


def _is_success(result):
    """Return whether a target has answered without a failure."""
    return (
        result is not None
        and result.outcome is Outcome.ANSWERED
        and result.status < MIN_SERVER_ERROR_STATUS
    )
