"""Carries out one call: route, target, send, retry, answer."""

import dataclasses

import trio

from pumicestand import admission
from pumicestand import balancing
from pumicestand import quarantine
from pumicestand import refusals
from pumicestand import routing
from pumicestand import signals
from pumicestand_node import client_connections
from pumicestand_node import heads
from pumicestand_node import relaying
from pumicestand_node import target_connections

MAX_BUFFERED_REQUEST_BYTES = 65_536
RECHECK_S = 0.02
COLD_TARGET_S = 30.0
SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedCall:
    """What became of a call, for the metrics.

    :param latency_s: seconds from the request's head to the end of the answer
    """

    route: str
    service: str
    version: str
    status: int
    latency_s: float
    attempts: int


@dataclasses.dataclass(slots=True)
class _Call:
    """The state of one call while it is carried out."""

    request: client_connections.Request
    connection: client_connections.ClientConnection
    choice: routing.Choice
    started: float
    deadline: float
    body: bytes | None
    mark: int
    version: str
    upstream_attempt: int
    attempt: int = 0
    tried: set = dataclasses.field(default_factory=set)
    is_sending: bool = False
    was_sent: bool = False
    may_have_run: bool = False
    is_answered: bool = False
    status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Failed:
    """An attempt that failed and what may be said of it."""

    refusal: refusals.Refusal
    was_sent: bool


class CallHandler:
    """Serves requests of callers.

    :param board: the `blackboard.Blackboard`
    :param router: a `routing.Router`
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
        self._ledger = quarantine.CrashCounter()
        self._queues = {}
        self._budgets = {}
        self.in_flight = 0

    async def serve(self, request, connection):
        """Answer one request; return whether to keep the connection."""
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
        mark = _mark(request, route, body)
        now = self._clock()
        if self._ledger.is_refused(self._board, mark, now):
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
            started=now,
            deadline=now + _seconds_allowed(head, route),
            body=body,
            mark=mark,
            version=choice.version,
            upstream_attempt=head.int_header(refusals.ATTEMPT_HEADER) or 1,
        )
        return await self._carry_out(call)

    async def _read_small_body(self, request, connection):
        """Return the body if it is small enough to be kept, else None."""
        if request.expects_continue:
            await connection.send(b'HTTP/1.1 100 Continue\r\n\r\n')
        length = request.head.body_length
        if length is None or length > MAX_BUFFERED_REQUEST_BYTES:
            return None
        if length == 0:
            return b''
        return await request.read_all()

    async def _carry_out(self, call):
        """Try within the deadline, then give the final answer."""
        route = call.choice.route
        self._budget(route).record_call(route.retries.budget)
        refusal = None
        with trio.move_on_after(call.deadline - self._clock()) as scope:
            refusal = await self._try_targets(call)
        if scope.cancelled_caught:
            refusal = _deadline_refusal(call)
        refusal = _without_false_claim(call, refusal)
        if refusal is None:
            self._finish(call)
            return self._may_keep(call.request)
        if call.is_answered:
            # Part of the answer is out: only the end of the connection
            # still tells the caller that it is not whole.
            signals.call_refused.send(self, refusal=refusal)
            return False
        return await self._refuse(call.request, call.connection, refusal)

    def _may_keep(self, request):
        """Whether the caller's connection is kept after this request."""
        return (
            request.head.keep_alive
            and request.is_complete
            and not self._board.is_leaving
        )

    def _finish(self, call):
        finished = FinishedCall(
            route=call.choice.route.name,
            service=call.choice.service.name,
            version=call.version,
            status=call.status,
            latency_s=self._clock() - call.started,
            attempts=call.attempt,
        )
        signals.call_finished.send(self, finished=finished)

    async def _refuse(self, request, connection, refusal):
        signals.call_refused.send(self, refusal=refusal)
        keep = self._may_keep(request)
        with_body = request.head.method != 'HEAD'
        await connection.send(heads.format_refusal(refusal, keep, with_body))
        return keep

    def _budget(self, route):
        budget = self._budgets.get(route.name)
        if budget is None:
            budget = self._budgets[route.name] = admission.RetryBudget()
        return budget

    async def _try_targets(self, call):
        """Return None once answered, else the final refusal."""
        route = call.choice.route
        while True:
            target = await self._wait_for_target(call)
            if isinstance(target, refusals.Refusal):
                return target
            call.attempt += 1
            failed = await self._try(call, target)
            if failed is None:
                return None
            call.may_have_run |= failed.was_sent
            call.was_sent = False
            if call.is_answered or _is_body_spent(call):
                return failed.refusal
            if not admission.may_retry(
                route,
                call.attempt,
                call.upstream_attempt,
                was_sent=failed.was_sent,
            ):
                return failed.refusal
            if not self._budget(route).try_acquire(route.retries.budget):
                return failed.refusal
            # A retry never adds to the share of an unproven version.
            call.version = call.choice.old_version

    async def _wait_for_target(self, call):
        """Return a target, waiting for a slot if need be, or a refusal."""
        target = self._choose(call)
        if target is not None:
            return target
        missing = self._missing(call)
        if missing is not None:
            return missing
        limits = call.choice.service.limits
        queue = self._queues.setdefault(
            call.choice.service.name, admission.WaitQueue()
        )
        until = min(call.deadline, self._clock() + admission.MAX_WAIT_S)
        event = trio.Event()
        waiter = admission.Waiter(until, event.set)
        refusal = queue.add(waiter, limits.queue)
        if refusal is not None:
            return refusal
        try:
            while self._clock() < until:
                with trio.move_on_after(RECHECK_S):
                    await event.wait()
                target = self._choose(call)
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

    def _choose(self, call):
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

    def _missing(self, call):
        """Return a refusal if no wait can bring a target."""
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

    async def _try(self, call, target):
        """Send the call to a target; return None or a `_Failed`."""
        call.tried.add(target.key)
        settled = balancing.CallOutcome(self._balancer, target, self._clock)
        connection = None
        try:
            connection = await self._connect(target)
            if connection is None:
                settled.record_failure()
                return _Failed(
                    refusals.not_run(
                        refusals.CallCode.CONNECT_FAILED,
                        f'no connection to target {_name(target)}',
                    ),
                    was_sent=False,
                )
            return await self._exchange(call, target, connection, settled)
        finally:
            settled.close()
            self._wake_waiting(call)
            await self._put_back(target, connection)

    async def _connect(self, target):
        try:
            return await self._pool.acquire(target)
        except (OSError, trio.TooSlowError):
            return None

    async def _put_back(self, target, connection):
        if connection is None:
            return
        if connection.is_reusable:
            self._pool.release(target, connection)
            return
        await connection.close()

    def _wake_waiting(self, call):
        service = call.choice.service
        queue = self._queues.get(service.name)
        if queue:
            queue.wake_next(self._clock(), service.limits.queue)

    async def _exchange(self, call, target, connection, settled):
        head = call.request.head
        connection.start_request(head.method == 'HEAD')
        sent_at = self._clock()
        try:
            answer = await self._send_and_read_head(call, connection)
        except trio.Cancelled:
            if self._clock() >= call.deadline:
                # The target took too long; a caller who left says nothing.
                settled.record_failure()
                self._record(call, target, True, None)
            raise
        except relaying.CONNECTION_ERRORS as error:
            return self._lost(call, target, settled, error)
        except target_connections.InvalidResponseError as error:
            settled.record_failure()
            self._record(call, target, True, None)
            return _Failed(
                refusals.unknown(
                    refusals.CallCode.ANSWER_INVALID,
                    f'target {_name(target)}: {error}',
                ),
                was_sent=True,
            )
        if _says_not_run(answer):
            settled.record_refusal()
            await relaying.discard_body(connection)
            return _Failed(
                refusals.not_run(
                    refusals.CallCode.TARGET_REFUSED,
                    f'target {_name(target)} did not run the call',
                ),
                was_sent=False,
            )
        seconds = self._clock() - sent_at
        is_error = answer.status >= SERVER_ERROR
        if is_error:
            settled.record_failure()
        else:
            settled.record_success(seconds)
        call.status = answer.status
        self._ledger.record_answer(call.mark)
        try:
            await self._pass_back(call, connection, answer)
        except (
            *relaying.CONNECTION_ERRORS,
            target_connections.InvalidResponseError,
        ) as error:
            self._record(call, target, True, seconds)
            return _Failed(
                refusals.unknown(
                    refusals.CallCode.ANSWER_LOST,
                    f'target {_name(target)}: {error}',
                ),
                was_sent=True,
            )
        self._record(call, target, is_error, seconds)
        return None

    def _lost(self, call, target, settled, error):
        settled.record_failure()
        self._record(call, target, True, None)
        now = self._clock()
        self._ledger.record_crash(
            self._board, call.mark, call.choice.route.name, target.key, now
        )
        is_upload = call.body is None and not call.request.is_complete
        code = refusals.CallCode.ANSWER_LOST
        if is_upload:
            code = refusals.CallCode.UPLOAD_LOST
        return _Failed(
            refusals.unknown(
                code, f'target {_name(target)}: {error or "reset"}'
            ),
            was_sent=True,
        )

    def _record(self, call, target, is_error, seconds):
        move = call.choice.move
        if move is None:
            return
        now = self._clock()
        if (
            now - self._balancer.stats_of(target, now).first_seen
            < COLD_TARGET_S
        ):
            # A cold target is slow whatever its version.
            seconds = None
        self._recorder.record(
            self._board,
            move,
            call.choice.route.name,
            is_new=call.version == move.new_version,
            is_error=is_error,
            latency_s=seconds,
            now=now,
        )

    async def _pass_back(self, call, connection, answer):
        """Send the answer to the caller, noting that it has begun."""
        head = call.request.head
        if relaying.is_close_delimited(head, answer):
            head.keep_alive = False

        async def send(data):
            call.is_answered = True
            await call.connection.send(data)

        keep = self._may_keep(call.request)
        await relaying.forward_response(head, answer, connection, keep, send)

    async def _send_and_read_head(self, call, connection):
        request = call.request
        left_ms = int((call.deadline - self._clock()) * 1000)
        attempt = max(call.upstream_attempt, call.attempt)
        call.is_sending = True
        call.was_sent = True
        if call.body is not None:
            head = heads.format_request_head(
                request.head, len(call.body), attempt, left_ms
            )
            await connection.send(head + call.body)
            connection.is_request_sent = True
            return await connection.read_head()
        head = heads.format_request_head(
            request.head, request.head.body_length, attempt, left_ms
        )
        await connection.send(head)
        return await relaying.stream_request(request, connection)


def _name(target):
    return f'{target.host}:{target.port}'


def _mark(request, route, body):
    """Return the fingerprint by which a crashing request is known."""
    if body is None:
        body = b'length %d' % (request.head.body_length or 0)
    head = request.head
    url = head.url.decode('latin-1')
    return quarantine.request_fingerprint(head.method, route.name, url, body)


def _is_body_spent(call):
    """Whether a part of a streamed body is gone and can't be sent again."""
    return call.body is None and call.is_sending


def _seconds_allowed(head, route):
    left_ms = head.int_header(refusals.DEADLINE_HEADER)
    if left_ms is None:
        return route.timeout
    return min(route.timeout, left_ms / 1000)


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


def _without_false_claim(call, refusal):
    """Never say "not run" of a call whose earlier attempt may have run."""
    if refusal is None or not call.may_have_run:
        return refusal
    if refusal.outcome != refusals.Outcome.NOT_RUN:
        return refusal
    return refusals.unknown(
        refusal.code, f'{refusal.detail}; an earlier attempt may have run'
    )


def _says_not_run(answer):
    outcome = answer.header(refusals.OUTCOME_HEADER.lower().encode())
    return outcome == refusals.Outcome.NOT_RUN.encode()
