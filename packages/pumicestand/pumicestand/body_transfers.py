"""Schedules the large request bodies that other nodes send to this one.

The load it answers: many uploads at once to the few targets of a service
whose VMs have narrow links. If all bodies are sent as they come, each of them
fills the link's queue, and short frames such as the results of nested calls
wait behind hundreds of kilobytes. So the sender keeps a large body until this
node asks for it. This node asks for as many bytes as its link carries in a
short time, and refuses a call whose body can't arrive in time before the body
has crossed a link.
"""

import dataclasses
import itertools

# Bytes in transit below which the next body is asked for, as the time that
# they take on this VM's link. A short frame may wait as long; the request and
# the first part of the body take less.
IN_TRANSIT_S = 0.05
# A body counts as in transit for at most this multiple of the time that it
# takes on this link, plus a constant: the sender's link may be busy or dead.
MAX_TRANSIT_RATIO = 3.0
MIN_TRANSIT_S = 0.25
# Share of the link that bodies are expected to get.
BODY_SHARE = 0.8
# Bodies that are smaller, or take less time on the receiver's link, are sent
# at once.
MIN_SCHEDULED_BYTES = 16_384
MIN_SCHEDULED_S = 0.01


def is_scheduled(size, link_rate):
    """Return whether a sender keeps a body until it is asked for it.

    :param size: size of the body in bytes
    :param link_rate: rate of the receiver's link in bytes per second; 0 if
        it is not known

    >>> is_scheduled(60_000, 690_000), is_scheduled(60_000, 125_000_000)
    (True, False)
    >>> is_scheduled(60_000, 0)
    False
    """
    if size <= MIN_SCHEDULED_BYTES or link_rate <= 0:
        return False
    return size / link_rate >= MIN_SCHEDULED_S


@dataclasses.dataclass(slots=True)
class Transfer:
    """A body that another node has offered.

    :param size: bytes that have not arrived yet
    :param priority_key: sort key of the call's priority; the lowest first
    :param start_by: monotonic seconds after which it arrives too late
    :param number: order of arrival, set by the scheduler
    :param counts_until: time until which it counts as in transit, set by the
        scheduler when it is asked for
    """

    size: int
    priority_key: tuple
    start_by: float
    number: int = 0
    counts_until: float | None = None

    @property
    def sort_key(self):
        """Key that sorts waiting transfers; the lowest is asked for first."""
        return (self.priority_key, self.number)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What to do with waiting transfers now.

    :param requested: transfers whose bodies are to be asked for
    :param overdue: transfers to refuse, as their bodies would arrive too late
    :param is_short_of_room: whether a transfer waits for memory
    """

    requested: tuple[Transfer, ...] = ()
    overdue: tuple[Transfer, ...] = ()
    is_short_of_room: bool = False


class BodyTransfers:
    """Decides when bodies are asked for.

    :param rate: rate of this VM's link in bytes per second; 0 if unknown, all
        bodies are then asked for at once
    """

    def __init__(self, rate):
        self._rate = rate
        self._waiting = []
        self._in_transit = []
        self._numbers = itertools.count(1)

    @property
    def waiting(self):
        """Number of bodies that have been offered and not asked for."""
        return len(self._waiting)

    def transfer_s(self, size):
        """Return the seconds that a body takes on an idle link.

        :param size: in bytes
        """
        return size / self._rate if self._rate > 0 else 0.0

    def expected_s(self, size, priority_key, now):
        """Return the seconds until a body offered now has arrived.

        :param size: in bytes
        :param priority_key: see `Transfer`
        :param now: monotonic seconds
        """
        if self._rate <= 0:
            return 0.0
        self._forget_lost(now)
        ahead = sum(t.size for t in self._in_transit)
        ahead += sum(
            t.size for t in self._waiting if t.priority_key <= priority_key
        )
        return (ahead + size) / (BODY_SHARE * self._rate)

    def delay_s(self, priority_key, now):
        """Return the seconds until a body offered now is asked for.

        :param priority_key: see `Transfer`
        :param now: monotonic seconds
        """
        return self.expected_s(0, priority_key, now)

    def offer(self, transfer):
        """Add a transfer; `plan` then tells when its body is asked for."""
        transfer.number = next(self._numbers)
        self._waiting.append(transfer)

    def record_part(self, transfer, size):
        """Count a part of a body that has arrived.

        :param size: size of the part in bytes
        """
        transfer.size = max(0, transfer.size - size)

    def finish(self, transfer):
        """Remove a transfer whose body has arrived or is not wanted."""
        for transfers in (self._waiting, self._in_transit):
            if transfer in transfers:
                transfers.remove(transfer)

    def plan(self, now, room_bytes=float('inf')):
        """Return the `Plan` and count what it requests as in transit.

        :param now: monotonic seconds
        :param room_bytes: bytes of bodies that may be held besides those that
            were requested before
        """
        self._forget_lost(now)
        overdue = tuple(t for t in self._waiting if now > t.start_by)
        waiting = sorted(
            (t for t in self._waiting if now <= t.start_by),
            key=lambda transfer: transfer.sort_key,
        )
        free_bytes = self._rate * IN_TRANSIT_S - sum(
            t.size for t in self._in_transit
        )
        requested = []
        is_short_of_room = False
        for transfer in waiting:
            if self._rate > 0 and free_bytes <= 0:
                break
            if transfer.size > room_bytes:
                is_short_of_room = True
                break
            room_bytes -= transfer.size
            free_bytes -= transfer.size
            transfer.counts_until = now + self._max_transit_s(transfer.size)
            self._in_transit.append(transfer)
            requested.append(transfer)
        self._waiting = waiting[len(requested) :]
        return Plan(tuple(requested), overdue, is_short_of_room)

    def next_check_s(self, now):
        """Return the seconds until `plan` may have news; None if never.

        :param now: monotonic seconds
        """
        if not self._waiting:
            return None
        times = [t.start_by for t in self._waiting]
        times += [t.counts_until for t in self._in_transit]
        return max(0.0, min(times) - now)

    def _max_transit_s(self, size):
        if self._rate <= 0:
            return MIN_TRANSIT_S
        return MIN_TRANSIT_S + MAX_TRANSIT_RATIO * size / self._rate

    def _forget_lost(self, now):
        """Drop bodies that have been in transit for so long they are lost."""
        self._in_transit = [
            t for t in self._in_transit if t.counts_until > now
        ]
