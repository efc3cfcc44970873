"""When clients return whose calls were refused for want of room.

A slot is often free again within tens of milliseconds, and a client that
returns then can still be answered in time. Under a lasting overload it can't:
what it would get is taken from a new call that has more time left, and all
that is tried is multiplied by the retries that each client has. Clients are
then spread over the time for which they would wait, as late as that allows,
when the overload may have ended. A node can also tell such a return from a new
call, since it has less of its time left.

The load that this answers is one above the capacity of a service for a second
or more: after all VMs have lost power, or while targets are replaced.
"""

import dataclasses
import math

# Time constant of the counts of calls, in seconds.
WINDOW_S = 1.0
# Share of the calls refused in that time above which an overload lasts.
LASTING_SHARE = 0.25
# Refused calls, at least, by which an overload is told from chance.
MIN_REFUSED = 3.0
# Range in which clients return then, as shares of the time that they have
# left. They wait for a third of it at most.
MIN_RETURN_SHARE = 0.25
MAX_RETURN_SHARE = 1 / 3


@dataclasses.dataclass(slots=True)
class _Counts:
    """Calls of a service and those refused, with exponential decay."""

    calls: float = 0.0
    refused: float = 0.0
    updated_at: float = 0.0

    def decay(self, now):
        kept = math.exp(min(0.0, self.updated_at - now) / WINDOW_S)
        self.calls *= kept
        self.refused *= kept
        self.updated_at = now


class ReturnTimes:
    """Tells refused clients when to return.

    :param rng: a `random.Random`
    """

    def __init__(self, rng):
        self._rng = rng
        self._counts = {}

    def record(self, service, is_refused, now):
        """Count a call that has ended.

        :param is_refused: whether there was no room for it in time
        :param now: monotonic seconds
        """
        counts = self._counts.setdefault(service, _Counts())
        counts.decay(now)
        counts.calls += 1
        counts.refused += is_refused

    def retry_after_s(self, service, room_in_s, remaining_s, now):
        """Return the seconds after which a refused client is to return.

        :param room_in_s: seconds until room is expected
        :param remaining_s: seconds until the client's deadline
        """
        if not self._lasts(service, now):
            return room_in_s
        return max(room_in_s, self.spread_s(remaining_s))

    def spread_s(self, remaining_s):
        """Return a random time that is late and known as a return.

        :param remaining_s: seconds until the client's deadline
        """
        share = self._rng.uniform(MIN_RETURN_SHARE, MAX_RETURN_SHARE)
        return remaining_s * share

    def _lasts(self, service, now):
        counts = self._counts.get(service)
        if counts is None:
            return False
        counts.decay(now)
        return (
            counts.refused >= MIN_REFUSED
            and counts.refused > LASTING_SHARE * counts.calls
        )
