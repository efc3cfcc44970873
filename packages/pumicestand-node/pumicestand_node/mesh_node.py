"""Creates, starts and stops the components of a node on the platform."""

import gc
import random
import time

import trio

from pumicestand import buffer_budget
from pumicestand import client_progress
from pumicestand import decision_log
from pumicestand import descriptor_budget
from pumicestand import documents
from pumicestand import errors
from pumicestand import line_output
from pumicestand import log
from pumicestand import node_records
from pumicestand import shutdown
from pumicestand import targets
from pumicestand import turn_budget
from pumicestand_node import allocator
from pumicestand_node import client_port
from pumicestand_node import descriptors
from pumicestand_node import freshness_agent
from pumicestand_node import listeners
from pumicestand_node import mesh_links
from pumicestand_node import mesh_state
from pumicestand_node import mesh_store
from pumicestand_node import metrics_page
from pumicestand_node import outbound_calls
from pumicestand_node import plain_http
from pumicestand_node import port_usage
from pumicestand_node import quota_agent
from pumicestand_node import socket_io
from pumicestand_node import supervision
from pumicestand_node import target_calls

# Period of the roll-out controller and the link checks while there is a
# roll-out or a pending call to watch over, or the node is not ready yet, and
# otherwise: each wake-up of a process costs.
ACTIVE_PERIOD_S = 0.1
IDLE_PERIOD_S = 0.4
# Delay in which log lines are collected before they are written.
LOG_FLUSH_DELAY_S = 0.1
TIMEOUT_CHECK_PERIOD_S = 0.5
# Time for which a starting node tries to open a port: the process before it
# may still be closing, or a connection that another program had opened from
# this port be in TIME_WAIT, which takes a minute.
PORT_TIMEOUT_S = 75.0
PORT_RETRY_DELAY_S = 0.1
# Time after the start from which the node reports that it is ready although
# it has not linked to all nodes listed in the store.
MAX_READINESS_DELAY_S = 1.5
# Time for which the links stay open to send final frames once the node
# accepts no more calls.
LINK_FLUSH_S = 0.1
# Limits on the requests of the target and of the platform.
PLAIN_LIMITS = documents.ClientLimits(body_bytes=1_048_576)
# Period at which a stopping node checks for calls in flight, and the time that
# the close of the store or the target may take.
WORK_CHECK_PERIOD_S = 0.02
STEP_TIMEOUT_S = 0.1
# Allocations, net of deallocations, that start a collection of generation 0.
GC_THRESHOLD = 20_000


def boot_clock():
    """Return seconds since boot, including time the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class MeshNode:
    """A node on the platform.

    :param settings: `mesh_settings.MeshSettings`
    :param adapter: platform adapter with ``headers``, ``client``,
        ``translator`` and ``read_control_request``
    """

    def __init__(self, settings, adapter):
        self._settings = settings
        self._adapter = adapter
        self._clock = boot_clock
        self._rng = random.Random()
        self._decisions_pending = trio.Event()
        self._decisions = decision_log.DecisionLog(
            settings.name,
            time.time,
            line_output.standard().write,
            lambda: self._decisions_pending.set(),
        )
        identity = node_records.NodeRecord(
            settings.name,
            settings.link.host,
            settings.link.port,
            settings.zone,
        )
        self._mesh = mesh_state.MeshState(
            identity,
            int(time.time() * 1000),
            settings.bounds,
            self._decisions,
            self._rng,
            settings.link_rate,
        )
        self._buffers = buffer_budget.BufferBudget(
            buffer_budget.limit(settings.memory_bytes)
        )
        self._client_progress = client_progress.ClientProgress()
        self._turns = turn_budget.TurnBudget()
        self._target_calls = target_calls.TargetCalls(
            self._mesh.target_watch,
            self._mesh.suspects,
            adapter.headers,
            self._clock,
            self._schedule_report,
            find_service=self._mesh.find_service,
            budget=self._buffers,
        )
        self._links = mesh_links.MeshLinks(
            self._mesh,
            self._target_calls,
            self._on_configuration,
            self._clock,
            self._rng,
            self._buffers,
        )
        self._target_calls.on_leaving = self._on_target_leaving
        self._mesh.on_own_zone_changed = self._target_calls.set_evacuated
        self._mesh.send_call = self._links.send_call
        self._mesh.withdraw_call = self._links.withdraw_call
        self._mesh.quota_agent = self._quota_agent = quota_agent.QuotaAgent(
            self._mesh,
            settings.bounds,
            self._links.send_to,
            self._links.update_selection,
            self._clock,
        )
        self._outbound_calls = outbound_calls.OutboundCalls(
            self._mesh,
            adapter.headers,
            settings.service,
            self._target_calls.find_running,
            self._clock,
            self._target_calls.record_nested,
            self._target_calls.record_nested_failure,
            self._buffers,
        )
        self._store = mesh_store.MeshStore(
            self._mesh,
            adapter.client,
            adapter.translator,
            self._clock,
            self._rng,
            self._links.add_peers,
            self._on_target_changed,
            self._links.schedule_report,
            settings.is_first_start,
        )
        self._links.on_store_era = self._store.hear_era
        self._links.on_target_restored = self._on_target_changed
        self._freshness = self._make_freshness_agent()
        self._metrics_page = metrics_page.MetricsPage(
            self._create_metrics, self._log_failure
        )
        self._descriptors = descriptors.Descriptors(
            settings.max_descriptors, self._read_demand
        )
        self._client_port = client_port.ClientPort(
            self._outbound_calls.serve,
            self._log_refusal,
            self._client_limits,
            self._descriptors.max_clients,
            self._descriptors.max_refusals,
            budget=self._buffers,
            progress=self._client_progress,
            turns=self._turns,
        )
        self._usage = port_usage.PortUsage(self._descriptors, self._buffers)
        self._usage.add('clients', self._client_port)
        self._started_at = self._clock()
        self._timeouts_checked_at = self._started_at
        self._nursery = None
        self._outbound_scope = trio.CancelScope()

    def _make_freshness_agent(self):
        """Return the agent that proves that keys are valid, or None."""
        bounds = self._settings.bounds
        if not bounds.is_revocation_strict:
            return None
        agent = freshness_agent.FreshnessAgent(
            self._mesh,
            self._store,
            self._links.send_to,
            bounds.revocation,
            self._clock,
            self._rng,
        )
        self._links.on_freshness = agent.receive
        self._outbound_calls.access.is_fresh = agent.is_fresh
        return agent

    async def start(self, nursery):
        """Open all ports and start the background tasks in a nursery.

        The port for clients is the last. The one for metrics is opened in the
        background, since the node can do without.

        :raises errors.PortError: if a port can't be opened within
            `PORT_TIMEOUT_S`
        """
        self._nursery = nursery = supervision.GuardedNursery(nursery)
        settings = self._settings
        allocator.return_large_blocks()
        self._descriptors.start()
        self._decisions.note('limits', descriptors=self._descriptors.limit)
        await self._listen(settings.link, self._links.serve)
        await self._listen(
            settings.control,
            self._make_plain_server('control', self._handle_control),
            receive_bytes=buffer_budget.RECEIVE_BYTES,
        )
        await self._listen(
            settings.ready,
            self._make_plain_server('ready', self._handle_readiness),
            receive_bytes=buffer_budget.RECEIVE_BYTES,
        )
        self._start_serving(
            settings.metrics,
            self._make_plain_server('metrics', self._handle_metrics),
            receive_bytes=buffer_budget.RECEIVE_BYTES,
        )
        await self._links.start(nursery)
        await self._store.start(nursery)
        if self._freshness is not None:
            await self._freshness.start(nursery)
        for task in (
            self._run_controllers,
            self._quota_agent.run,
            self._flush_log,
        ):
            nursery.start_soon(supervision.supervise, task.__name__, task)
        await self._listen(
            settings.outbound,
            self._client_port.serve,
            self._outbound_scope,
            buffer_budget.RECEIVE_BYTES,
        )
        self._decisions.note(
            'started',
            incarnation=self._mesh.incarnation,
            zone=settings.zone,
            service=settings.service,
        )
        # Objects created so far are kept, so the garbage collector need not
        # examine them. Collecting the few that are garbage takes 15 ms and
        # frees no memory page.
        gc.freeze()
        gc.enable()
        gc.set_threshold(GC_THRESHOLD, 20, 20)

    async def _listen(self, address, serve, scope=None, receive_bytes=None):
        """Open a port, at which another process may still end, and serve it.

        See `_start_serving`.

        :param receive_bytes: see `_start_serving`

        :raises errors.PortError: if it can't be opened
        """
        deadline = trio.current_time() + PORT_TIMEOUT_S
        is_logged = False
        while True:
            try:
                opened = await listeners.open_listeners(
                    address.host, address.port
                )
                break
            except (OSError, UnicodeError) as error:
                if trio.current_time() >= deadline:
                    raise errors.PortError(
                        f'{address.host}:{address.port}: {error}'
                    ) from error
                if not is_logged:
                    is_logged = True
                    log.logger.bind(
                        event='port-unavailable', port=address.port
                    ).warning(
                        'port can not be opened, trying for {:g} s: {}',
                        PORT_TIMEOUT_S,
                        error,
                    )
            await trio.sleep(PORT_RETRY_DELAY_S)
        self._start_serving(address, serve, scope, opened, receive_bytes)

    def _start_serving(
        self, address, serve, scope=None, opened=None, receive_bytes=None
    ):
        """Serve connections to an address until the scope is cancelled.

        :param address: `mesh_settings.Address`
        :param serve: coroutine function that serves one stream
        :param scope: `trio.CancelScope`, None to serve until the node ends
        :param opened: listeners of the port, None to open it now
        :param receive_bytes: size of the system's receive buffer of each
            connection in bytes, None for its own choice
        """
        scope = scope or trio.CancelScope()

        def log_failure(failure):
            code = failure.code.value
            self._usage.failures[(str(address.port), code)] += 1
            if not failure.count:
                return
            self._decisions.note(
                code,
                port=address.port,
                count=failure.count,
                error=repr(failure.error),
            )

        def serve_waiting(stream):
            self._nursery.start_soon(
                listeners.serve_stream, stream, serve, log_failure
            )

        async def run():
            nonlocal opened
            tcp_listeners, opened = opened, None
            if tcp_listeners is None:
                tcp_listeners = await listeners.open_listeners(
                    address.host, address.port
                )
            for listener in tcp_listeners:
                if receive_bytes is not None:
                    # The connections that it accepts inherit it.
                    socket_io.set_receive_buffer(listener, receive_bytes)
            await listeners.serve(
                [
                    listeners.DrainedListener(listener, serve_waiting)
                    for listener in tcp_listeners
                ],
                serve,
                self._nursery,
                log_failure,
                self._make_room,
            )

        async def run_in_scope():
            with scope:
                await supervision.supervise(f'port {address.port}', run)

        self._nursery.start_soon(run_in_scope)

    def _make_room(self):
        """Close a connection that is not used; return whether it did."""
        return (
            self._links.close_unidentified() or self._client_port.close_idle()
        )

    async def close(self, requested_at=None):
        """Stop the node without interrupting calls in flight.

        The node first stops accepting calls from clients on its VM, then
        calls from other nodes, and waits for the remaining calls up to the
        end of the grace period. An error in one step is logged, and the calls
        in flight keep their time.

        :param requested_at: when the stop was requested, in seconds of
            `boot_clock`, None for now
        """
        mesh = self._mesh
        mesh.is_stopping = True
        mesh.is_ready = False
        if requested_at is None:
            requested_at = self._clock()
        schedule = shutdown.plan(requested_at, self._settings.bounds.grace)
        self._note_stop('stopping')
        with supervision.stop_step('limit calls of clients'):
            self._outbound_calls.finish_by(schedule)
        with supervision.stop_step('limit calls of the target'):
            self._target_calls.finish_by(schedule.targets_end_at)
        # The target stays available until the clients on this VM have been
        # redirected.
        await trio.sleep(max(0.0, schedule.accept_until - self._clock()))
        self._close_idle_connections()
        mesh.is_leaving = True
        with supervision.stop_step('refuse calls for the target'):
            self._target_calls.refuse_all()
        with supervision.stop_step('refuse calls that arrive'):
            self._links.refuse_arriving()
        with supervision.stop_step('report to other nodes'):
            self._links.schedule_report()
        await trio.sleep(LINK_FLUSH_S)
        await self._wait_for_work(schedule.close_at)
        with supervision.stop_step('refuse calls of clients'):
            self._outbound_calls.finish_by(schedule.ended(self._clock()))
        self._outbound_scope.cancel()
        self._close_idle_connections()
        await trio.sleep(LINK_FLUSH_S)
        self._note_stop('stopped')
        for name, close in (
            ('close the store', self._store.close),
            ('close the target', self._target_calls.close),
        ):
            with (
                supervision.stop_step(name),
                trio.move_on_after(STEP_TIMEOUT_S),
            ):
                await close()
        with supervision.stop_step('write the log'):
            self._decisions.flush()
        self._nursery.cancel_scope.cancel()

    def _note_stop(self, event):
        with supervision.stop_step('log'):
            self._decisions.note(
                event,
                outbound=self._outbound_calls.in_flight,
                inbound=self._target_calls.in_flight,
            )
            self._decisions.flush()

    def _close_idle_connections(self):
        with supervision.stop_step('close idle connections'):
            self._client_port.close_when_idle()

    async def _wait_for_work(self, close_at):
        """Wait for calls and what belongs to them.

        :param close_at: time at which to give them up, in monotonic seconds
        """
        with supervision.stop_step('wait for calls'):
            while self._clock() < close_at and self._has_work():
                await trio.sleep(WORK_CHECK_PERIOD_S)
            return
        await trio.sleep(max(0.0, close_at - self._clock()))

    def _has_work(self):
        """Return whether calls or what belongs to them are under way."""
        return (
            self._target_calls.in_flight > 0
            or self._outbound_calls.in_flight > 0
            or self._links.has_unfinished
        )

    def _schedule_report(self):
        self._links.schedule_report()

    def _on_configuration(self, configuration, peer):
        self._store.apply_peer_configuration(configuration, peer)

    # Periodic tasks

    async def _run_controllers(self):
        """Evaluate roll-outs, check links and time limits, set readiness.

        An error in one step costs no other its turn.
        """
        steps = [
            supervision.Step(run.__name__, run)
            for run in (
                self._evaluate_rollouts,
                self._update_coldness,
                self._links.check_links,
                self._quota_agent.refresh,
                self._check_timeouts,
                self._update_readiness,
            )
        ]
        while True:
            await trio.sleep(
                ACTIVE_PERIOD_S if self._is_active() else IDLE_PERIOD_S
            )
            now = self._clock()
            for step in steps:
                step.run(now)

    def _evaluate_rollouts(self, now):
        for action in self._mesh.rollouts.evaluate(
            self._mesh.fleet, now, self._store.is_designated_writer
        ):
            self._store.write_rollout_status(action)

    def _update_coldness(self, now):
        self._target_calls.update_coldness()

    def _check_timeouts(self, now):
        if now - self._timeouts_checked_at >= TIMEOUT_CHECK_PERIOD_S:
            self._timeouts_checked_at = now
            self._enforce_timeouts()

    def _update_readiness(self, now):
        if not self._mesh.is_stopping:
            self._mesh.is_ready = self._should_be_ready(now)

    def _enforce_timeouts(self):
        for port in self._usage.ports:
            port.enforce_timeouts()
        for name, counts in self._usage.take_excess().items():
            self._decisions.note('connections-excess', port=name, **counts)

    def _read_demand(self):
        """Return the `descriptor_budget.Demand` of this node."""
        target = self._mesh.target_watch.target
        return descriptor_budget.Demand(
            nodes=self._mesh.fleet.known_count - 1,
            target_slots=0 if target is None else target.slots,
        )

    def _is_active(self):
        mesh = self._mesh
        return (
            not mesh.is_ready
            or self._outbound_calls.in_flight > 0
            or mesh.rollouts.has_running
        )

    def _should_be_ready(self, now):
        """Return whether the node has a configuration and enough links."""
        mesh = self._mesh
        if mesh.configuration is None or self._awaits_evacuations():
            return False
        if now - self._started_at > MAX_READINESS_DELAY_S:
            return True
        return self._links.are_selected_linked

    def _awaits_evacuations(self):
        """Return whether the node must still read the evacuations.

        Without the store it learns them from other nodes, and a node that has
        been ready stays so.
        """
        mesh = self._mesh
        return (
            not mesh.is_ready
            and mesh.evacuations.is_awaited
            and mesh.store_reachable
        )

    async def _flush_log(self):
        try:
            while True:
                await self._decisions_pending.wait()
                await trio.sleep(LOG_FLUSH_DELAY_S)
                self._decisions_pending = trio.Event()
                self._decisions.flush()
        finally:
            # An error may have ended the process.
            self._decisions.flush()

    # Requests of clients, the platform and the target

    def _client_limits(self):
        configuration = self._mesh.configuration
        if configuration is None:
            return documents.ClientLimits()
        return configuration.document.client_limits

    def _log_refusal(self, refusal):
        self._decisions.note(
            'request-refused',
            status=refusal.status,
            code=refusal.code.value,
            why=refusal.detail,
        )

    def _make_plain_server(self, name, respond):
        """Return a coroutine function that serves plain HTTP on a stream.

        :param name: name of the port
        :param respond: coroutine function (method, path, body) that returns
            a `plain_http.PlainResponse`
        """
        handler = plain_http.PlainHandler(respond)
        port = client_port.ClientPort(
            handler.serve,
            self._log_refusal,
            lambda: PLAIN_LIMITS,
            self._descriptors.max_port_connections,
            always_accepts=True,
            budget=self._buffers,
            max_pipelined=0,
            progress=self._client_progress,
            turns=self._turns,
        )
        self._usage.add(name, port)
        return port.serve

    async def _handle_readiness(self, method, path, body):
        if self._mesh.is_ready:
            return plain_http.PlainResponse(200, b'ready\n')
        return plain_http.PlainResponse(503, b'not ready\n')

    async def _handle_metrics(self, method, path, body):
        return await self._metrics_page.respond()

    def _create_metrics(self, module):
        """Return the metrics that a module defines."""
        return module.MeshMetrics(
            self._mesh,
            self._outbound_calls,
            self._target_calls,
            self._clock,
            self._freshness,
            self._usage,
        )

    def _log_failure(self, code, error):
        self._decisions.note(code.value, error=repr(error))

    def _on_target_changed(self):
        """Apply and report a change of the target beside this node."""
        target = self._mesh.target_watch.target
        if target is None:
            return
        self._target_calls.on_target_changed()
        self._decisions.note(
            'target',
            instance=target.instance,
            version=target.version,
            state=target.state.name,
        )
        self._links.refresh_own_peer()
        self._links.schedule_report()

    def _on_target_leaving(self):
        """Report and record what the target has said in a response."""
        self._on_target_changed()
        self._nursery.start_soon(
            supervision.supervise,
            'record of the leaving target',
            self._store.save_own_record,
        )

    def _is_of_known_service(self, control):
        """Return whether a heartbeat can be that of the target on this VM.

        One of a service that is neither its own nor configured comes from
        another writer.
        """
        match control:
            case targets.Heartbeat(target):
                return (
                    target.service == self._settings.service
                    or self._mesh.configuration is None
                    or self._mesh.find_service(target.service) is not None
                )
        return True

    async def _handle_control(self, method, path, body):
        """Handle a heartbeat or a departure of the target on this VM."""
        control = self._adapter.read_control_request(method, path, body)
        if control is None or not self._is_of_known_service(control):
            log.logger.error(
                'control request {} {} with a body of {} bytes is invalid',
                method,
                path,
                len(body),
            )
            return plain_http.PlainResponse(400, b'not understood\n')
        watch = self._mesh.target_watch
        before = watch.target
        is_changed = watch.apply(control, self._clock())
        if isinstance(control, targets.Heartbeat):
            self._target_calls.on_heartbeat(control)
        if is_changed:
            self._on_target_changed()
        is_leave = _is_leave(control)
        if is_leave or (is_changed and _has_new_state(before, watch.target)):
            is_saved = await self._store.save_own_record()
            if is_leave and not (is_saved and watch.has_accepted(control)):
                # The next process would take the target to serve.
                return plain_http.PlainResponse(503, b'not recorded\n')
        return plain_http.PlainResponse(200, b'{}', plain_http.JSON)


def _is_leave(control):
    """Return whether the acknowledgement promises to send no more calls."""
    match control:
        case targets.Heartbeat(target):
            return target.is_leaving
        case targets.Departure():
            return True


def _has_new_state(before, target):
    return before is None or before.state is not target.state
