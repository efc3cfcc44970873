"""Links that other nodes opened: their calls are run here."""

import trio

from pumicestand import hop_messages
from pumicestand_node import links


class LinkServer:
    """Serves one link that another node opened.

    :param frames: the `links.FrameStream`
    :param targets: the `target_calls.TargetCalls`
    :param mesh: the `mesh.Mesh`
    :param greet: called with (frames, report) for the first frame
    """

    def __init__(self, frames, targets, mesh, greet):
        self.frames = frames
        self._targets = targets
        self._mesh = mesh
        self._greet = greet
        self._nursery = None
        self._assembler = links.Assembler()
        self._scopes = {}

    async def run(self):
        """Serve the link until it ends; its calls end with it."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self.frames.run(self._receive)
            nursery.cancel_scope.cancel()

    def _receive(self, message):
        match message:
            case hop_messages.Call():
                self._begin(self._assembler.begin(message))
            case hop_messages.Part():
                self._begin(self._assembler.add(message))
            case hop_messages.Cancel(id_):
                self._assembler.drop(id_)
                scope = self._scopes.pop(id_, None)
                if scope is not None:
                    scope.cancel()
            case hop_messages.Hello(report):
                self._greet(self.frames, report)
            case hop_messages.Ping(number):
                self.frames.send(hop_messages.Pong(number))
            case hop_messages.FetchConfiguration():
                self.frames.send(
                    hop_messages.Configuration(
                        self._mesh.generation, self._mesh.content
                    )
                )

    def _begin(self, call):
        if call is None:
            return
        scope = self._scopes[call.id] = trio.CancelScope()
        self._nursery.start_soon(self._run, call, scope)

    async def _run(self, call, scope):
        with scope:
            result = await self._targets.run(call)
            links.send_with_parts(self.frames, result)
        self._scopes.pop(call.id, None)
