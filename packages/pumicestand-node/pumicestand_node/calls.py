"""Executes calls: routing, choice of a target, retries, response."""

import dataclasses

import trio

from pumicestand import admission
from pumicestand import balancing
from pumicestand import fingerprints
from pumicestand import quarantine
from pumicestand import refusals
from pumicestand import routers
from pumicestand import signals
from pumicestand_node import client_connections
from pumicestand_node import client_requests
from pumicestand_node import heads
from pumicestand_node import relaying
from pumicestand_node import target_connections

# A request body up to this size is read before the call is sent, so that the
# call can be retried.
MAX_BUFFERED_REQUEST_BYTES = 65_536
# Period at which a waiting call looks for a free slot without being woken.
SLOT_POLL_S = 0.02
# Time after a target's first use for which its latencies are not recorded.
WARM_UP_S = 30.0
MIN_SERVER_ERROR_STATUS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedCall:
    """A call that a target responded to, for the metrics.

    :param route: name of the route
    :param service: name of the service
    :param version: version of the service that responded
    :param status: status of the response
    :param latency_s: seconds from the head of the request to the end of the
        response
    :param attempts: number of attempts to send the call to a target
    """

    route: str
    service: str
    version: str
    status: int
    latency_s: float
    attempts: int


@dataclasses.dataclass(slots=True)
class _Call:
    """The state of one call while it is executed.

    :param started_at: wall time in seconds
    :param deadline: wall time in seconds
    :param body: whole body of the request, None if it is streamed
    :param fingerprint: identifies a request that crashes targets
    :param version: version of the service for the current or next attempt
    :param upstream_attempt: number of the attempt at the node that sent the
        call here, 1 for the first one
    :param attempt: number of attempts at this node
    :param tried: keys of the targets that were tried
    :param has_begun_sending: whether any attempt has begun to send the
        request
    :param was_sent: whether the running attempt has begun to send the request
    :param may_have_run: whether a failed attempt may have run at its target
    :param has_begun_response: whether a part of the response was sent to the
        client
    :param keep_alive: whether the connection is kept after the response
    :param status: status of the target's response
    """

    request: client_requests.Request
    connection: client_connections.ClientConnection
    choice: routers.Choice
    started_at: float
    deadline: float
    body: bytes | None
    fingerprint: int
    version: str
    upstream_attempt: int
    attempt: int = 0
    tried: set = dataclasses.field(default_factory=set)
    has_begun_sending: bool = False
    was_sent: bool = False
    may_have_run: bool = False
    has_begun_response: bool = False
    keep_alive: bool = False
    status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _FailedAttempt:
    """An attempt that failed.

    :param refusal: the response to the client if no attempt follows
    :param was_sent: whether the target may have run the call
    """

    refusal: refusals.Refusal
    was_sent: bool


class CallHandler:
    """Executes the calls of clients.

    :param board: the `blackboard.Blackboard`
    :param router: a `routers.Router`
    :param balancer: a `balancing.Balancer`
    :param recorder: a `recording.Recorder`
    :param pool: a `target_connections.TargetPool`
    :param clock: returns wall time in seconds
    """

    def __init__(self, board, router, balancer, recorder, pool, clock):
        self._board = board
        self._router = router
        self._balancer = balancer
        self._recorder = recorder
        self._pool = pool
        self._clock = clock
        self._crash_counter = quarantine.CrashCounter()
        self._queues = {}
        self._retry_budgets = {}
        self.in_flight = 0

    async def serve(self, request, connection):
        """Respond to one request; return whether to keep the connection.

        :param request: the `client_requests.Request`
        :param connection: the `client_connections.ClientConnection`
        """
        self.in_flight += 1
        try:
            return await self._serve(request, connection)
        finally:
            self.in_flight -= 1

    async def _serve(self, request, connection):
        head = request.head
        if self._board.is_replaced:
            refusal = refusals.not_run(
                refusals.CallCode.STOPPING,
                'another process runs by the name of this node',
            )
            return await self._refuse(request, connection, refusal)
        route = self._router.match(
            self._board, head.host, head.path, head.method
        )
        if isinstance(route, refusals.Refusal):
            return await self._refuse(request, connection, route)
        body = await self._read_small_body(request, connection)
        fingerprint = _fingerprint(request, route, body)
        now = self._clock()
        if self._crash_counter.is_refused(self._board, fingerprint, now):
            refusal = refusals.not_run(
                refusals.CallCode.QUARANTINED,
                'this request crashed the targets that ran it',
                retry_after=int(quarantine.QUARANTINE_S),
            )
            return await self._refuse(request, connection, refusal)
        choice = self._router.choose(self._board, now, route)
        call = _Call(
            request=request,
            connection=connection,
            choice=choice,
            started_at=now,
            deadline=now + _allowed_s(head, route),
            body=body,
            fingerprint=fingerprint,
            version=choice.version,
            upstream_attempt=head.int_header(refusals.ATTEMPT_HEADER) or 1,
        )
        return await self._execute(call)

    async def _read_small_body(self, request, connection):
        """Return the body if it is small enough to buffer, else None."""
        if request.expects_continue:
            await connection.send(b'HTTP/1.1 100 Continue\r\n\r\n')
        length = request.head.body_length
        if length is None or length > MAX_BUFFERED_REQUEST_BYTES:
            return None
        if length == 0:
            return b''
        return await request.read_all()

    async def _execute(self, call):
        """Try targets until the deadline, then send the final response.

        Return whether to keep the client's connection.
        """
        route = call.choice.route
        self._retry_budget(route).record_call(route.retries.budget)
        refusal = None
        with trio.move_on_after(call.deadline - self._clock()) as scope:
            refusal = await self._try_targets(call)
        if scope.cancelled_caught:
            refusal = _deadline_refusal(call)
        refusal = _correct_not_run(call, refusal)
        if refusal is None:
            self._report_finished(call)
            return call.keep_alive
        if call.has_begun_response:
            # A part of the response was sent, so that only closing the
            # connection tells the client that it is incomplete.
            signals.call_refused.send(self, refusal=refusal)
            return False
        return await self._refuse(call.request, call.connection, refusal)

    async def _decide_keep_alive(self, connection):
        """Decide in the response's turn whether to keep the connection."""
        await connection.wait_for_turn()
        return connection.decide_keep_alive(self._board.is_leaving)

    def _report_finished(self, call):
        finished = FinishedCall(
            route=call.choice.route.name,
            service=call.choice.service.name,
            version=call.version,
            status=call.status,
            latency_s=self._clock() - call.started_at,
            attempts=call.attempt,
        )
        signals.call_finished.send(self, finished=finished)

    async def _refuse(self, request, connection, refusal):
        signals.call_refused.send(self, refusal=refusal)
        keep_alive = await self._decide_keep_alive(connection)
        with_body = request.head.method != 'HEAD'
        await connection.send(
            heads.format_refusal(refusal, keep_alive, with_body)
        )
        return keep_alive

    def _retry_budget(self, route):
        budget = self._retry_budgets.get(route.name)
        if budget is None:
            budget = self._retry_budgets[route.name] = admission.RetryBudget()
        return budget

    async def _try_targets(self, call):
        """Return None once a response was forwarded, else the refusal."""
        route = call.choice.route
        while True:
            target = await self._wait_for_target(call)
            if isinstance(target, refusals.Refusal):
                return target
            call.attempt += 1
            failure = await self._attempt_call(call, target)
            if failure is None:
                return None
            call.may_have_run |= failure.was_sent
            call.was_sent = False
            if call.has_begun_response or _is_body_consumed(call):
                return failure.refusal
            if not admission.may_retry(
                route,
                call.attempt,
                call.upstream_attempt,
                was_sent=failure.was_sent,
            ):
                return failure.refusal
            if not self._retry_budget(route).try_acquire(route.retries.budget):
                return failure.refusal
            # Retries go to the old version, so that they do not add to the
            # share of a new version that is not proven yet.
            call.version = call.choice.old_version

    async def _wait_for_target(self, call):
        """Return a target with a free slot, or a refusal.

        Wait for a slot for at most `admission.MAX_WAIT_S`.
        """
        target = self._choose_target(call)
        if target is not None:
            return target
        refusal = self._check_availability(call)
        if refusal is not None:
            return refusal
        limits = call.choice.service.limits
        queue = self._queues.setdefault(
            call.choice.service.name, admission.WaitQueue()
        )
        wait_deadline = min(
            call.deadline, self._clock() + admission.MAX_WAIT_S
        )
        event = trio.Event()
        waiter = admission.Waiter(wait_deadline, event.set)
        refusal = queue.add(waiter, limits.queue)
        if refusal is not None:
            return refusal
        try:
            while self._clock() < wait_deadline:
                with trio.move_on_after(SLOT_POLL_S):
                    await event.wait()
                target = self._choose_target(call)
                if target is not None:
                    return target
                event = trio.Event()
                waiter.wake = event.set
        finally:
            queue.remove(waiter)
        return refusals.not_run(
            refusals.CallCode.OVERLOADED,
            f'no slot became free within {admission.MAX_WAIT_S:g} s',
        )

    def _choose_target(self, call):
        now = self._clock()
        choice = call.choice
        target = self._balancer.choose(
            self._board, now, choice, call.version, call.tried
        )
        if target is None and call.version != choice.old_version:
            call.version = choice.old_version
            target = self._balancer.choose(
                self._board, now, choice, call.version, call.tried
            )
        if target is None:
            return None
        self._balancer.record_start(target, now)
        return target

    def _check_availability(self, call):
        """Return a refusal if no target can become free, else None."""
        choice = call.choice
        service = choice.service.name
        resources = choice.route.resources
        pool = self._balancer.pool(
            self._board, service, call.version, resources
        )
        if any(target.key not in call.tried for _, target in pool):
            return None
        if pool:
            return refusals.not_run(
                refusals.CallCode.CONNECT_FAILED,
                f'all {len(pool)} targets of {service} {call.version} that '
                'this node uses were tried',
            )
        any_pool = self._balancer.pool(self._board, service, call.version, ())
        if any_pool:
            return refusals.not_run(
                refusals.CallCode.NO_RESOURCE,
                f'no target of {service} {call.version} has '
                f'{", ".join(resources)}',
            )
        return refusals.not_run(
            refusals.CallCode.NO_TARGET,
            f'no target of {service} {call.version} is known',
        )

    async def _attempt_call(self, call, target):
        """Send the call to a target; return None or a `_FailedAttempt`."""
        call.tried.add(target.key)
        outcome = balancing.CallOutcome(self._balancer, target, self._clock)
        connection = None
        try:
            connection = await self._connect(target)
            if connection is None:
                outcome.record_failure()
                return _FailedAttempt(
                    refusals.not_run(
                        refusals.CallCode.CONNECT_FAILED,
                        f'no connection to target {_address(target)}',
                    ),
                    was_sent=False,
                )
            return await self._exchange(call, target, connection, outcome)
        finally:
            outcome.close()
            self._wake_next_waiter(call)
            await self._release_connection(target, connection)

    async def _connect(self, target):
        try:
            return await self._pool.acquire(target)
        except (OSError, trio.TooSlowError):
            return None

    async def _release_connection(self, target, connection):
        if connection is None:
            return
        if connection.is_reusable:
            self._pool.release(target, connection)
            return
        await connection.close()

    def _wake_next_waiter(self, call):
        service = call.choice.service
        queue = self._queues.get(service.name)
        if queue:
            queue.wake_next(self._clock(), service.limits.queue)

    async def _exchange(self, call, target, connection, outcome):
        head = call.request.head
        connection.start_request(head.method == 'HEAD')
        sent_at = self._clock()
        try:
            response = await self._send_and_read_head(call, connection)
        except trio.Cancelled:
            if self._clock() >= call.deadline:
                # The target exceeded the deadline. If the client left
                # instead, the target did not fail.
                outcome.record_failure()
                self._record_for_move(call, target, True, None)
            raise
        except relaying.CONNECTION_ERRORS as error:
            return self._handle_connection_error(call, target, outcome, error)
        except target_connections.InvalidResponseError as error:
            outcome.record_failure()
            self._record_for_move(call, target, True, None)
            return _FailedAttempt(
                refusals.unknown(
                    refusals.CallCode.ANSWER_INVALID,
                    f'target {_address(target)}: {error}',
                ),
                was_sent=True,
            )
        if _is_not_run(response):
            outcome.record_refusal()
            await relaying.discard_body(connection)
            return _FailedAttempt(
                refusals.not_run(
                    refusals.CallCode.TARGET_REFUSED,
                    f'target {_address(target)} did not run the call',
                ),
                was_sent=False,
            )
        latency_s = self._clock() - sent_at
        is_error = response.status >= MIN_SERVER_ERROR_STATUS
        if is_error:
            outcome.record_failure()
        else:
            outcome.record_success(latency_s)
        call.status = response.status
        self._crash_counter.record_answer(call.fingerprint)
        try:
            await self._forward_response(call, connection, response)
        except (
            *relaying.CONNECTION_ERRORS,
            target_connections.InvalidResponseError,
        ) as error:
            self._record_for_move(call, target, True, latency_s)
            return _FailedAttempt(
                refusals.unknown(
                    refusals.CallCode.ANSWER_LOST,
                    f'target {_address(target)}: {error}',
                ),
                was_sent=True,
            )
        self._record_for_move(call, target, is_error, latency_s)
        return None

    def _handle_connection_error(self, call, target, outcome, error):
        outcome.record_failure()
        self._record_for_move(call, target, True, None)
        now = self._clock()
        self._crash_counter.record_crash(
            self._board,
            call.fingerprint,
            call.choice.route.name,
            target.key,
            now,
        )
        is_upload_incomplete = (
            call.body is None and not call.request.is_complete
        )
        code = refusals.CallCode.ANSWER_LOST
        if is_upload_incomplete:
            code = refusals.CallCode.UPLOAD_LOST
        return _FailedAttempt(
            refusals.unknown(
                code,
                f'target {_address(target)}: {error or "reset"}',
            ),
            was_sent=True,
        )

    def _record_for_move(self, call, target, is_error, latency_s):
        move = call.choice.move
        if move is None:
            return
        now = self._clock()
        if now - self._balancer.stats_of(target, now).first_seen < WARM_UP_S:
            # A target that is warming up is slow whatever its version.
            latency_s = None
        self._recorder.record(
            self._board,
            move,
            call.choice.route.name,
            is_new=call.version == move.new_version,
            is_error=is_error,
            latency_s=latency_s,
            now=now,
        )

    async def _forward_response(self, call, connection, response):
        """Send the response to the client and record that it has begun."""
        head = call.request.head
        if relaying.is_close_delimited(head, response):
            head.keep_alive = False

        async def send(data):
            call.has_begun_response = True
            await call.connection.send(data)

        call.keep_alive = await self._decide_keep_alive(call.connection)
        await relaying.forward_response(
            head, response, connection, call.keep_alive, send
        )

    async def _send_and_read_head(self, call, connection):
        request = call.request
        remaining_ms = int((call.deadline - self._clock()) * 1000)
        attempt = max(call.upstream_attempt, call.attempt)
        call.has_begun_sending = True
        call.was_sent = True
        if call.body is not None:
            head = heads.format_request_head(
                request.head,
                len(call.body),
                attempt,
                remaining_ms,
                connection.exchange,
            )
            await connection.send(head + call.body)
            connection.is_request_sent = True
            return await connection.read_head()
        head = heads.format_request_head(
            request.head,
            request.head.body_length,
            attempt,
            remaining_ms,
            connection.exchange,
        )
        await connection.send(head)
        return await relaying.stream_request(request, connection)


def _address(target):
    return f'{target.host}:{target.port}'


def _fingerprint(request, route, body):
    """Return the fingerprint that identifies a request if it crashes targets.

    The length stands for a streamed body.
    """
    if body is None:
        body = b'length %d' % (request.head.body_length or 0)
    head = request.head
    url = head.url.decode('latin-1')
    return fingerprints.request_fingerprint(head.method, route.name, url, body)


def _is_body_consumed(call):
    """Return whether a streamed body was read and cannot be sent again."""
    return call.body is None and call.has_begun_sending


def _allowed_s(head, route):
    remaining_ms = head.int_header(refusals.DEADLINE_HEADER)
    if remaining_ms is None:
        return route.timeout
    return min(route.timeout, remaining_ms / 1000)


def _deadline_refusal(call):
    if call.was_sent or call.may_have_run:
        return refusals.unknown(
            refusals.CallCode.DEADLINE,
            'the call was given up at its deadline and may have run',
            status=504,
        )
    return refusals.not_run(
        refusals.CallCode.DEADLINE_BEFORE_RUN,
        'the deadline passed before the call was sent',
    )


def _correct_not_run(call, refusal):
    """Return the refusal, as unknown if an earlier attempt may have run."""
    if refusal is None or not call.may_have_run:
        return refusal
    if refusal.outcome != refusals.Outcome.NOT_RUN:
        return refusal
    return refusals.unknown(
        refusal.code, f'{refusal.detail}; an earlier attempt may have run'
    )


def _is_not_run(response):
    outcome = response.header(refusals.OUTCOME_HEADER.lower().encode())
    return outcome == refusals.Outcome.NOT_RUN.encode()
