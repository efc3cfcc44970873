"""Runs the controllers and has their actions carried out."""

import trio

from pumicestand import blackboard as blackboards
from pumicestand import controllers as all_controllers
from pumicestand import signals

TICK_S = 0.1


class Conductor:
    """Steps all controllers when something came in or a tick has passed.

    :param board: the `blackboard.Blackboard`
    :param controllers: objects with ``step(board, now)``, in their order
    :param clock: returns wall time in seconds
    :param perform: coroutine function that carries out one action
    """

    def __init__(self, board, controllers, clock, perform):
        self._board = board
        self._controllers = controllers
        self._clock = clock
        self._perform = perform
        self._wake = trio.Event()

    def deliver(self, fact):
        """Put a fact into the inbox and wake the controllers."""
        self._board.inbox.append(fact)
        self._wake.set()

    def wake(self):
        """Have the controllers step without a new fact."""
        self._wake.set()

    def deliver_frame(self, frame, address):
        """Put a received frame into the inbox."""
        self.deliver(blackboards.ReceivedFrame(frame, tuple(address)))

    def step(self):
        """Step all controllers once and return their actions."""
        board = self._board
        before = board.in_force
        taken = all_controllers.step_all(
            self._controllers, board, self._clock()
        )
        if board.in_force is not before:
            signals.document_in_force.send(board)
        return taken

    async def run(self):
        """Step for ever."""
        while True:
            with trio.move_on_after(TICK_S):
                await self._wake.wait()
            self._wake = trio.Event()
            for action in self.step():
                await self._perform(action)
