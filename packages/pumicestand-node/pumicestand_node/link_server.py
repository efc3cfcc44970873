"""Links that other nodes opened: their calls are run here."""

import dataclasses

import trio

from pumicestand import hop_messages
from pumicestand_node import frame_streams


class LinkServer:
    """Serves one link that another node opened.

    `is_far` tells whether that is in another availability zone.

    :param frames: the `frame_streams.FrameStream`
    :param targets: the `target_calls.TargetCalls`
    :param mesh: the `mesh_state.MeshState`
    :param greet: called with (frames, report) for the first frame
    :param clock: returns monotonic seconds
    """

    def __init__(self, frames, targets, mesh, greet, clock):
        self.frames = frames
        self._targets = targets
        self._mesh = mesh
        self._greet = greet
        self._clock = clock
        self._nursery = None
        self._assembler = frame_streams.Assembler()
        self._scopes = {}
        self._begun = {}
        self.is_far = False

    async def run(self):
        """Serve the link until it ends; its calls end with it."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self.frames.run(self._receive)
            nursery.cancel_scope.cancel()

    def _receive(self, message):
        match message:
            case hop_messages.Call():
                self._begun[message.id] = self._clock()
                self._begin(self._assembler.begin(message))
            case hop_messages.Part():
                self._begin(self._assembler.add(message))
            case hop_messages.Cancel(id_):
                self._assembler.drop(id_)
                self._begun.pop(id_, None)
                scope = self._scopes.pop(id_, None)
                if scope is not None:
                    scope.cancel()
            case hop_messages.Hello(report):
                self.is_far = report.zone != self._mesh.identity.zone
                self._greet(self.frames, report)
            case hop_messages.Ping(number):
                self.frames.send(hop_messages.Pong(number))
            case hop_messages.FetchConfiguration():
                self.frames.send(
                    hop_messages.Configuration(
                        self._mesh.generation, self._mesh.configuration_content
                    )
                )

    def _begin(self, call):
        if call is None:
            return
        took_ms = int((self._clock() - self._begun.pop(call.id)) * 1000)
        if took_ms > 0:
            # Its deadline passes on while its body arrives.
            call = dataclasses.replace(
                call,
                remaining_ms=max(0, call.remaining_ms - took_ms),
                objective_ms=call.objective_ms - took_ms,
            )
        scope = self._scopes[call.id] = trio.CancelScope()
        self._nursery.start_soon(self._run, call, scope)

    async def _run(self, call, scope):
        with scope:
            result = await self._targets.run(call)
            frame_streams.send_with_parts(self.frames, result)
        self._scopes.pop(call.id, None)
