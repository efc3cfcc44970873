"""Serves links opened by other nodes and runs the calls sent on them."""

import dataclasses

import trio

from pumicestand import buffer_budget
from pumicestand import hop
from pumicestand import hop_messages
from pumicestand import link_resumption
from pumicestand import log
from pumicestand import refusals
from pumicestand_node import frame_streams
from pumicestand_node import supervision
from pumicestand_node import target_calls

# Period at which a server without a connection checks whether its calls have
# ended, in seconds.
DETACHED_CHECK_S = 0.5
# Size of the longest frame before the hello, which anybody may send, in bytes.
MAX_UNIDENTIFIED_FRAME_BYTES = 262_144


class LinkServer:
    """Serves one link opened by another node.

    ``peer_name`` is the name of that node, and ``is_cross_zone`` whether it is
    in another availability zone; empty and False until its
    `hop_messages.Hello` has arrived. ``peer_incarnation`` is the number of
    its process start, 0 until then, and ``connection`` the number that it has
    given to this connection. ``last_call_at`` is the time at which it last
    sent a call.

    :param frames: `frame_streams.FrameStream` of the link
    :param target_calls: `target_calls.TargetCalls` that run the calls
    :param bodies: `body_receiver.BodyReceiver` of this node
    :param mesh: `mesh_state.MeshState` of this node
    :param on_message: called with (this server, message) for each message
        that is not about a call
    :param clock: returns monotonic seconds
    :param kept_results: `link_resumption.KeptResults` of this node
    :param budget: `buffer_budget.BufferBudget` that counts the bodies of calls
        from their first part to the end of the call, and those of results
        until they are sent
    """

    def __init__(
        self,
        frames,
        target_calls,
        bodies,
        mesh,
        on_message,
        clock,
        kept_results=None,
        budget=None,
    ):
        self.frames = frames
        self.frames.max_frame_bytes = MAX_UNIDENTIFIED_FRAME_BYTES
        self._target_calls = target_calls
        self._bodies = bodies
        self._mesh = mesh
        self._on_message = on_message
        self._clock = clock
        self._nursery = None
        self._budget = budget or buffer_budget.BufferBudget()
        self._assembler = frame_streams.BodyAssembler(self._budget)
        self._cancel_scopes = {}
        self._received_at = {}
        # Id of a call to the `body_transfers.Transfer` of its body, from the
        # request for the body until it has arrived.
        self._transfers = {}
        # Id to call, for those that wait for a slot or run.
        self._running = {}
        self._received = link_resumption.ReceivedCalls(
            kept_results or link_resumption.KeptResults()
        )
        # The server of the connection on which results are sent.
        self._carrier = self
        # Servers of earlier connections whose results this one sends.
        self._resumed = []
        self._is_detached = False
        self._keep_until = 0.0
        self.peer_name = ''
        self.peer_incarnation = 0
        self.connection = 0
        self.is_cross_zone = False
        self.last_call_at = float('-inf')

    @property
    def has_unfinished(self):
        """Whether calls still arrive or results are still to be sent.

        The opener of a link that broke may ask for the results for a while.
        """
        is_awaited = (
            self._is_detached
            and self._carrier is self
            and self._received.has_results
        )
        return is_awaited or bool(self._received_at) or self.frames.has_unsent

    async def run(self, on_end=lambda: None):
        """Serve the link until it ends and its calls can't be resumed.

        :param on_end: called when no more frames can be sent on the link
        """
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                try:
                    await self.frames.run(self._handle_message)
                except Exception as error:
                    # The opener may ask for the calls on another connection.
                    supervision.log_failure(
                        'link-failed',
                        error,
                        'the link of node {} failed with {} calls on it: {!r}',
                        self.peer_name,
                        len(self._running),
                        error,
                        calls=[
                            call.request_id for call in self._running.values()
                        ],
                    )
                finally:
                    self._detach()
                    on_end()
                await self._finish_calls()
                nursery.cancel_scope.cancel()
        finally:
            self._received.discard()
            self._set_carrier(self)
            for transfer in self._transfers.values():
                self._bodies.finish(transfer)

    async def _finish_calls(self):
        """Wait until calls have ended that the opener may still ask for."""
        while self._clock() < self._keep_until:
            await trio.sleep(DETACHED_CHECK_S)
            if self._cancel_scopes and not self._carrier.frames.is_closed:
                self._extend()

    def end(self):
        """End the calls of a link that can't be resumed."""
        if self._is_detached:
            self._nursery.cancel_scope.cancel()

    def _detach(self):
        """Handle no more frames of this connection, so no call can start."""
        if self._is_detached:
            return
        self._is_detached = True
        self._extend(link_resumption.KEEP_UNASKED_S)
        self.frames.stop()
        for id_ in list(self._received_at):
            self._discard_unstarted(id_)
        self._assembler.discard_all()

    def _extend(self, seconds=link_resumption.KEEP_S):
        self._keep_until = self._clock() + seconds

    def _set_carrier(self, carrier):
        """Send the results of the calls on another server's connection."""
        if self in self._carrier._resumed:
            self._carrier._resumed.remove(self)
        self._carrier = carrier
        if carrier is not self:
            carrier._resumed.append(self)

    def resume(self, request, carrier):
        """Say what became of calls, and send their results on another link.

        This connection is closed first. A request that arrives after one on
        a later connection is ignored.

        :param request: `hop_messages.Resume`
        :param carrier: `LinkServer` of the new connection
        """
        if carrier.connection < self._carrier.connection:
            return
        self._detach()
        self._extend()
        self._set_carrier(carrier)
        actions = self._received.resume(request.ids, self._clock())
        not_started, kept, results = [], [], []
        for action in actions:
            match action:
                case link_resumption.Refuse(id_):
                    self._discard_unstarted(id_)
                    not_started.append(id_)
                case link_resumption.Await(id_):
                    kept.append(id_)
                case link_resumption.Deliver(result):
                    kept.append(result.id)
                    results.append(result)
                case link_resumption.Abort(id_):
                    self._discard_unstarted(id_)
                case link_resumption.Disclaim():
                    pass
        log.logger.bind(event='link-resumed').info(
            'node {} resumed its link: of {} calls {} had not started, {} '
            'go on, {} had ended, {} are unknown',
            self.peer_name,
            len(request.ids),
            len(not_started),
            len(kept) - len(results),
            len(results),
            len(request.ids) - len(not_started) - len(kept),
        )
        carrier.frames.send(
            hop_messages.Resumed(
                self.connection, tuple(not_started), tuple(kept)
            )
        )
        for result in results:
            self._send_on_carrier(result)

    def _discard_unstarted(self, id_):
        """Discard what has arrived of a call, and end it if it runs."""
        self._assembler.discard(id_)
        self._received_at.pop(id_, None)
        self._finish_transfer(id_)
        scope = self._cancel_scopes.pop(id_, None)
        if scope is not None:
            scope.cancel()

    def _handle_message(self, message):
        """Handle a message; an error costs this message or its call only."""
        if self._is_detached:
            # What has been read together with earlier frames comes too late.
            return
        try:
            self._apply_message(message)
        except Exception as error:
            supervision.log_failure(
                'message-failed',
                error,
                'a message {} of node {} failed: {!r}',
                type(message).__name__,
                self.peer_name,
                error,
                id=getattr(message, 'id', None),
            )
            match message:
                case hop_messages.Call(id=id_) | hop_messages.Part(id=id_):
                    if id_ not in self._running:
                        self._refuse_unstarted(
                            id_, target_calls.INTERNAL_ERROR
                        )

    def _apply_message(self, message):
        """Handle a message from the node that opened the link."""
        match message:
            case hop_messages.Call():
                self.last_call_at = self._clock()
                self._received.record_received(message.id)
                self._received_at[message.id] = self.last_call_at
                if message.remaining_bytes and self._mesh.is_leaving:
                    self._refuse_unstarted(
                        message.id, refusals.CallCode.STOPPING.value
                    )
                elif message.holds_body:
                    scope = self._cancel_scopes[message.id] = (
                        trio.CancelScope()
                    )
                    self._nursery.start_soon(
                        self._request_body, message, scope
                    )
                elif not self._has_room(message):
                    self._refuse_unstarted(message.id, target_calls.OVERLOADED)
                else:
                    self._start_call(self._assembler.add_first(message))
            case hop_messages.Part(id_, body, is_last):
                if is_last:
                    self._finish_transfer(id_)
                elif id_ in self._transfers:
                    self._bodies.record_part(self._transfers[id_], len(body))
                self._start_call(self._assembler.add_part(message))
            case hop_messages.Cancel(id_):
                for server in (self, *self._resumed):
                    server._cancel(id_)
            case hop_messages.Withdraw(id_):
                for server in (self, *self._resumed):
                    server._withdraw(id_)
            case hop_messages.Hello(report, connection):
                self.connection = connection
                self.frames.max_frame_bytes = hop.MAX_FRAME_BYTES
                self.peer_name = report.name
                self.peer_incarnation = report.incarnation
                self.is_cross_zone = report.zone != self._mesh.identity.zone
                self.frames.is_cross_zone = self.is_cross_zone
                if self.is_cross_zone and report.accepts_compressed:
                    self.frames.start_compression()
                self._on_message(self, message)
            case hop_messages.Ping(number):
                self.frames.send(hop_messages.Pong(number))
            case hop_messages.FetchConfiguration():
                self.frames.send(
                    hop_messages.Configuration(
                        self._mesh.generation, self._mesh.configuration_content
                    )
                )
            case _:
                self._on_message(self, message)

    def _has_room(self, call):
        """Return whether the rest of a call's body may be held."""
        rest = call.remaining_bytes
        return not rest or self._budget.has_room_for(rest, rest)

    def _cancel(self, id_):
        """End a call whose result is no longer waited for."""
        if id_ in self._received_at:
            self._received.record_end(id_)
        self._discard_unstarted(id_)

    async def _request_body(self, call, scope):
        """Ask for the body of a call, or refuse the call without it."""
        try:
            await self._ask_for_body(call, scope)
        except Exception as error:
            self._log_call_failure(call, error)
            self._refuse_unstarted(call.id, target_calls.INTERNAL_ERROR)
        self._cancel_scopes.pop(call.id, None)

    async def _ask_for_body(self, call, scope):
        with scope:
            await trio.lowlevel.checkpoint_if_cancelled()
            if not self._bodies.can_hold(call.remaining_bytes):
                self._refuse_unstarted(call.id, target_calls.OVERLOADED)
                return
            result = self._target_calls.refuse_before_body(
                call, self._bodies.expected_s(call)
            )
            if result is None:
                transfer = self._bodies.make_transfer(
                    call, self._target_calls.latest_arrival(call)
                )
                if await self._bodies.admit(transfer):
                    self._transfers[call.id] = transfer
                    self._assembler.add_first(call)
                    self.frames.send(hop_messages.SendBody(call.id))
                else:
                    result = self._target_calls.refuse_overdue(call)
            if result is not None:
                self._received_at.pop(call.id, None)
                self._send_result(result)

    def _withdraw(self, id_):
        """End a call that has not started and report that it has not run."""
        call = self._running.get(id_)
        if call is not None:
            self._target_calls.withdraw(call)
            return
        if id_ in self._received_at:
            self._refuse_unstarted(id_, 'deadline-before-run')
        # Else its result is on the way.

    def refuse_arriving(self):
        """Refuse the calls whose bodies have not arrived, as the node stops.

        Other nodes may still run them in time.
        """
        for id_ in list(self._received_at):
            self._refuse_unstarted(id_, refusals.CallCode.STOPPING.value)

    def _refuse_unstarted(self, id_, code):
        self._discard_unstarted(id_)
        self._send_own_result(id_, hop_messages.Outcome.NOT_HANDED_ON, code)

    def _send_own_result(self, id_, outcome, code):
        """Send a result without a response; an error ends no other call."""
        try:
            load = self._target_calls.load()
            self._send_result(
                hop_messages.Result(id_, outcome, code, load=load)
            )
        except Exception as error:
            supervision.log_failure(
                'result-lost',
                error,
                'node {} gets no result of call {}: {!r}',
                self.peer_name,
                id_,
                error,
            )

    def _log_call_failure(self, call, error):
        supervision.log_failure(
            'call-failed',
            error,
            'call {} of node {} failed: {!r}',
            call.request_id,
            self.peer_name,
            error,
        )

    def _send_result(self, result):
        """Keep a result for a while, and send it."""
        self._received.record_result(result, self._clock())
        self._send_on_carrier(result)

    def _send_on_carrier(self, result):
        """Send a result with the load of the target and of this VM's link."""
        result.load = self._mesh.add_link_load(result.load, self._clock())
        frame_streams.send_with_parts(
            self._carrier.frames, result, self._budget
        )

    def _finish_transfer(self, id_):
        transfer = self._transfers.pop(id_, None)
        if transfer is not None:
            self._bodies.finish(transfer)

    def _start_call(self, call):
        """Run a call in the background; do nothing if it is None."""
        if call is None:
            return
        elapsed_ms = int(
            (self._clock() - self._received_at.pop(call.id)) * 1000
        )
        if elapsed_ms > 0:
            # The time in which the body arrived counts against the deadline.
            call = dataclasses.replace(
                call,
                remaining_ms=max(0, call.remaining_ms - elapsed_ms),
                objective_remaining_ms=call.objective_remaining_ms
                - elapsed_ms,
            )
        scope = self._cancel_scopes[call.id] = trio.CancelScope()
        self._running[call.id] = call
        self._received.record_start(call.id)
        self._budget.add(len(call.body))
        self._nursery.start_soon(self._run_call, call, scope)

    async def _run_call(self, call, scope):
        """Run a call and send its result unless the scope is cancelled."""
        try:
            with scope:
                # A node that was frozen reads a call along with its
                # cancellation.
                await trio.lowlevel.checkpoint_if_cancelled()
                result = await self._target_calls.run(call)
                self._send_result(result)
        except Exception as error:
            self._log_call_failure(call, error)
            self._send_own_result(
                call.id,
                hop_messages.Outcome.UNKNOWN,
                target_calls.INTERNAL_ERROR,
            )
        finally:
            self._budget.remove(len(call.body))
        self._received.record_end(call.id)
        self._running.pop(call.id, None)
        self._cancel_scopes.pop(call.id, None)
