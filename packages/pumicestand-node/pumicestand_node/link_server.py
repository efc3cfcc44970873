"""Serves links opened by other nodes and runs the calls sent on them."""

import dataclasses

import trio

from pumicestand import hop_messages
from pumicestand_node import frame_streams


class LinkServer:
    """Serves one link opened by another node.

    ``peer_name`` is the name of that node, and ``is_cross_zone`` whether it is
    in another availability zone; empty and False until its
    `hop_messages.Hello` has arrived. ``peer_incarnation`` is the number of
    its process start, 0 until then. ``last_call_at`` is the time at which it
    last sent a call.

    :param frames: `frame_streams.FrameStream` of the link
    :param target_calls: `target_calls.TargetCalls` that run the calls
    :param mesh: `mesh_state.MeshState` of this node
    :param on_message: called with (this server, message) for each message
        that is not about a call
    :param clock: returns monotonic seconds
    """

    def __init__(self, frames, target_calls, mesh, on_message, clock):
        self.frames = frames
        self._target_calls = target_calls
        self._mesh = mesh
        self._on_message = on_message
        self._clock = clock
        self._nursery = None
        self._assembler = frame_streams.BodyAssembler()
        self._cancel_scopes = {}
        self._received_at = {}
        self.peer_name = ''
        self.peer_incarnation = 0
        self.is_cross_zone = False
        self.last_call_at = float('-inf')

    async def run(self):
        """Serve the link until it ends, then cancel its calls."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self.frames.run(self._handle_message)
            nursery.cancel_scope.cancel()

    def _handle_message(self, message):
        """Handle a message from the node that opened the link."""
        match message:
            case hop_messages.Call():
                self.last_call_at = self._clock()
                self._received_at[message.id] = self.last_call_at
                self._start_call(self._assembler.add_first(message))
            case hop_messages.Part():
                self._start_call(self._assembler.add_part(message))
            case hop_messages.Cancel(id_):
                self._assembler.discard(id_)
                self._received_at.pop(id_, None)
                scope = self._cancel_scopes.pop(id_, None)
                if scope is not None:
                    scope.cancel()
            case hop_messages.Hello(report):
                self.peer_name = report.name
                self.peer_incarnation = report.incarnation
                self.is_cross_zone = report.zone != self._mesh.identity.zone
                self.frames.is_cross_zone = self.is_cross_zone
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
        self._nursery.start_soon(self._run_call, call, scope)

    async def _run_call(self, call, scope):
        """Run a call and send its result unless the scope is cancelled."""
        with scope:
            result = await self._target_calls.run(call)
            frame_streams.send_with_parts(self.frames, result)
        self._cancel_scopes.pop(call.id, None)
