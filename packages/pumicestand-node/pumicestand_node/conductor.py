"""Runs the controllers and performs the actions that they request."""

import trio

from pumicestand import blackboard as blackboards
from pumicestand import controllers as all_controllers
from pumicestand import signals

# Longest time between two steps of the controllers.
TICK_S = 0.1


class Conductor:
    """Steps all controllers after each fact and at least once per tick.

    :param board: the `blackboard.Blackboard`
    :param controllers: objects with ``step(board, now)``, in the order in
        which they step
    :param clock: returns wall time in seconds
    :param perform: coroutine function that performs one of the `actions`
    """

    def __init__(self, board, controllers, clock, perform):
        self._board = board
        self._controllers = controllers
        self._clock = clock
        self._perform = perform
        self._wake_event = trio.Event()

    def deliver(self, fact):
        """Add a `blackboard.Fact` to the inbox and wake the controllers."""
        self._board.inbox.append(fact)
        self._wake_event.set()

    def wake(self):
        """Let the controllers step without a new fact."""
        self._wake_event.set()

    def deliver_frame(self, frame, address):
        """Add a received frame to the inbox and wake the controllers.

        :param address: (host, port) of the sender
        """
        self.deliver(blackboards.ReceivedFrame(frame, tuple(address)))

    def step(self):
        """Step all controllers once and return the requested actions.

        Send `signals.document_in_force` if another document came into force.
        """
        board = self._board
        old_in_force = board.in_force
        requested_actions = all_controllers.step_all(
            self._controllers, board, self._clock()
        )
        if board.in_force is not old_in_force:
            signals.document_in_force.send(board)
        return requested_actions

    async def run(self):
        """Step the controllers until cancelled."""
        while True:
            with trio.move_on_after(TICK_S):
                await self._wake_event.wait()
            self._wake_event = trio.Event()
            for action in self.step():
                await self._perform(action)
