"""Asks other nodes for the large bodies of their calls, a few at a time."""

import trio

from pumicestand import body_transfers
from pumicestand import buffer_budget

# Least time between two checks of whether a body may be asked for.
MIN_CHECK_S = 0.002
# Period of the checks while a body waits for memory.
ROOM_CHECK_S = 0.02


class BodyReceiver:
    """Carries out the plans of `body_transfers.BodyTransfers`.

    :param transfers: the `body_transfers.BodyTransfers` of this node
    :param clock: returns monotonic seconds
    :param budget: `buffer_budget.BufferBudget` that bodies must fit into; who
        asks for a body counts it
    """

    def __init__(self, transfers, clock, budget=None):
        self._transfers = transfers
        self._clock = clock
        self._budget = budget or buffer_budget.BufferBudget()
        # Bytes of bodies that may be asked for and are not counted yet.
        self._admitted_bytes = 0
        self._is_short_of_room = False
        # Number of a waiting transfer to the event that ends its wait.
        self._waiters = {}

    def can_hold(self, size):
        """Return whether a body fits into the memory of this node at all.

        :param size: in bytes
        """
        return size <= self._budget.longest_body

    def expected_s(self, call):
        """Return the seconds until a call's body has arrived.

        :param call: `hop_messages.Call` that is held by its sender
        """
        return self._transfers.expected_s(
            call.remaining_bytes, _priority_key(call), self._clock()
        )

    def make_transfer(self, call, latest_arrival):
        """Return the `body_transfers.Transfer` of a call's body.

        :param latest_arrival: monotonic seconds
        """
        return body_transfers.Transfer(
            size=call.remaining_bytes,
            priority_key=_priority_key(call),
            start_by=latest_arrival
            - self._transfers.transfer_s(call.remaining_bytes),
        )

    async def admit(self, transfer):
        """Wait until a body may be asked for; return whether it is in time.

        The caller counts the body in the budget at once.
        """
        self._transfers.offer(transfer)
        event = self._waiters[transfer.number] = trio.Event()
        try:
            self._carry_out_plan()
            while not event.is_set():
                wait_s = self._transfers.next_check_s(self._clock())
                if self._is_short_of_room:
                    wait_s = min(wait_s, ROOM_CHECK_S)
                with trio.move_on_after(max(MIN_CHECK_S, wait_s)):
                    await event.wait()
                self._carry_out_plan()
        except trio.Cancelled:
            self.finish(transfer)
            raise
        finally:
            self._waiters.pop(transfer.number, None)
            if transfer.counts_until is not None:
                self._admitted_bytes -= transfer.size
        return transfer.counts_until is not None

    def record_part(self, transfer, size):
        """Count a part that has arrived and ask for the next body in time.

        :param size: size of the part in bytes
        """
        self._transfers.record_part(transfer, size)
        self._carry_out_plan()

    def finish(self, transfer):
        """End a transfer whose body has arrived or is not wanted."""
        self._transfers.finish(transfer)
        self._carry_out_plan()

    def _carry_out_plan(self):
        plan = self._transfers.plan(
            self._clock(), self._budget.room_bytes - self._admitted_bytes
        )
        self._is_short_of_room = plan.is_short_of_room
        self._admitted_bytes += sum(t.size for t in plan.requested)
        for transfer in plan.requested + plan.overdue:
            event = self._waiters.get(transfer.number)
            if event is not None:
                event.set()


def _priority_key(call):
    return (not call.is_nested, call.priority)
