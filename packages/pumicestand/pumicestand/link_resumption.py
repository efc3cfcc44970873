"""Decides when a link is suspected and what becomes of its calls.

A connection between two nodes can go silent for good, without a reset. The
node that opened it then opens another one and asks there what became of its
pending calls. The other node closes the earlier connection to further frames
first, so that no call can start after it was reported as not started.
"""

import collections
import dataclasses

from pumicestand import hop_messages

# Silence after which the node pings the peer of a link with pending calls.
# Most calls are answered sooner, so that few cost a ping. While a ping brings
# nothing but its answer, the next one waits twice as long, up to the maximum.
PING_AFTER_SILENCE_S = 0.15
MAX_PING_AFTER_SILENCE_S = 0.5
# Bounds of the time without an answer to a ping after which another
# connection is opened: a busy node of half a core is held up for some 0.1 s,
# and a resumed call must be in time elsewhere. Without a measured round trip
# it is the default.
MIN_SUSPECT_AFTER_S = 0.1
MAX_SUSPECT_AFTER_S = 0.5
DEFAULT_SUSPECT_AFTER_S = 0.2
# Weights of one round trip in the averages of round trips and of their
# deviations, and deviations that are allowed, as in TCP (RFC 6298).
RTT_WEIGHT = 1 / 8
RTT_DEVIATION_WEIGHT = 1 / 4
RTT_DEVIATIONS = 4
# Least time between two decisions that find an answer overdue, so that what
# arrived while this node was held up is read before it suspects the peer.
RECHECK_S = 0.03
# Silence after which a link is closed and the outcome of its pending calls
# is unknown, and least time for the answer to a ping before that. Narrow links
# are allowed more.
MAX_SILENCE_S = 1.3
GIVE_UP_AFTER_PING_S = 0.8
# Time for which results are kept that the other node may not have received. A
# node that has a link to resume asks within about `MAX_SILENCE_S`, on a link
# of 5 Mbit/s within 2.9 s.
KEEP_S = 3.0
# Time for which calls go on after their connection has ended by itself. An
# opener that still runs asks for them on another connection at once.
KEEP_UNASKED_S = 1.0
# Largest total of the kept results of a node: the memory of nodes is priced.
MAX_KEPT_BYTES = 2_000_000
# Largest result that is kept, so that one does not displace all others.
MAX_KEPT_RESULT_BYTES = 1_000_000
# Approximate size of a result without its headers and body.
_RESULT_OVERHEAD_BYTES = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Ask the peer for a sign of life."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """Open another connection to the peer and keep this one.

    :param silence_s: seconds since something was received
    """

    silence_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Close the connection; the outcome of its calls is unknown.

    :param silence_s: seconds since something was received
    """

    silence_s: float


class RoundTrips:
    """The measured round trips of pings on a link."""

    def __init__(self):
        self._mean_s = None
        self._deviation_s = 0.0

    @property
    def suspect_after_s(self):
        """Seconds after which an answer to a ping is overdue."""
        if self._mean_s is None:
            return DEFAULT_SUSPECT_AFTER_S
        bound_s = self._mean_s + RTT_DEVIATIONS * self._deviation_s
        return min(MAX_SUSPECT_AFTER_S, max(MIN_SUSPECT_AFTER_S, bound_s))

    def record(self, round_trip_s):
        """Record the seconds between a ping and its answer."""
        if self._mean_s is None:
            self._mean_s = round_trip_s
            self._deviation_s = round_trip_s / 2
            return
        error_s = round_trip_s - self._mean_s
        self._deviation_s += RTT_DEVIATION_WEIGHT * (
            abs(error_s) - self._deviation_s
        )
        self._mean_s += RTT_WEIGHT * error_s


class LinkWatch:
    """Decides whether one connection to a peer is alive.

    ``is_suspected`` is whether another connection is wanted.

    :param now: monotonic seconds
    :param round_trips: `RoundTrips` of the link
    """

    def __init__(self, now, round_trips):
        self._round_trips = round_trips
        self._last_received_at = now
        self._awaiting_since = now
        self._ping_after_s = PING_AFTER_SILENCE_S
        self._pinged_at = None
        self._ping_number = 0
        # Kind of the action that is due, and since when.
        self._due = (None, now)
        self.is_suspected = False

    @property
    def is_pinged(self):
        """Whether the answer to a ping is awaited."""
        return self._pinged_at is not None

    def silence_s(self, now):
        """Return the seconds since something was received."""
        return now - self._last_received_at

    def record_call(self, now, is_first):
        """Record that a call is sent.

        :param is_first: whether no other call is pending on the link
        """
        self._ping_after_s = PING_AFTER_SILENCE_S
        if is_first:
            self._awaiting_since = now

    def record_received(self, now, pong_number=None):
        """Record that something was received.

        :param pong_number: number of the answer to a ping, None for anything
            else
        """
        if pong_number is None:
            self._ping_after_s = PING_AFTER_SILENCE_S
        elif self._pinged_at is not None and pong_number == self._ping_number:
            self._round_trips.record(now - self._pinged_at)
            self._ping_after_s = min(
                MAX_PING_AFTER_SILENCE_S, 2 * self._ping_after_s
            )
        self._last_received_at = now
        self._pinged_at = None
        self.is_suspected = False

    def record_ping(self, now):
        """Record that a ping is sent, and return its number."""
        self._pinged_at = now
        self._ping_number += 1
        return self._ping_number

    def left_s(self, now, backlog_s):
        """Return the seconds until the connection is given up.

        :param backlog_s: see `decide`
        """
        pinged_at = now if self._pinged_at is None else self._pinged_at
        give_up_at = max(
            self._last_received_at + MAX_SILENCE_S,
            pinged_at + GIVE_UP_AFTER_PING_S,
        )
        return give_up_at + backlog_s - now

    def decide(self, now, has_calls, backlog_s, delay_s):
        """Return `Ping`, `Suspect`, `GiveUp` or None.

        :param now: monotonic seconds
        :param has_calls: whether calls are pending on the link
        :param backlog_s: seconds for which other traffic may delay a ping at
            most
        :param delay_s: seconds for which it is likely to delay one now
        """
        action = self._due_action(now, has_calls, backlog_s, delay_s)
        kind, since = self._due
        if type(action) is not kind:
            since = now
            self._due = (type(action), now)
        match action:
            case Suspect() | GiveUp() if now - since < RECHECK_S:
                return None
            case Suspect():
                self.is_suspected = True
        return action

    def _due_action(self, now, has_calls, backlog_s, delay_s):
        silence_s = self.silence_s(now)
        if self._pinged_at is None:
            quiet_s = min(silence_s, now - self._awaiting_since)
            if has_calls and quiet_s >= self._ping_after_s:
                return Ping()
            return None
        if self.left_s(now, backlog_s) < 0:
            return GiveUp(silence_s)
        overdue_s = self._round_trips.suspect_after_s + delay_s
        if self.is_suspected or now - self._pinged_at <= overdue_s:
            return None
        return Suspect(silence_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The call has not run and never will."""

    id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Await:
    """The call runs or waits; its result follows on the new connection."""

    id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """The call has ended; send its result on the new connection."""

    result: hop_messages.Result


@dataclasses.dataclass(frozen=True, slots=True)
class Disclaim:
    """Nothing is known of the call: it may have run."""

    id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Abort:
    """The call is no longer waited for; end it."""

    id: int


def settle(resumed, ids):
    """Return what the answer to a `hop_messages.Resume` means for calls.

    :param resumed: `hop_messages.Resumed`
    :param ids: pending calls of the earlier connection
    :returns: a `Refuse`, `Await` or `Disclaim` for each call
    """
    not_started, kept = set(resumed.not_started), set(resumed.kept)
    actions = []
    for id_ in ids:
        if id_ in kept:
            actions.append(Await(id_))
        elif id_ in not_started:
            actions.append(Refuse(id_))
        else:
            actions.append(Disclaim(id_))
    return actions


class KeptResults:
    """Results that were sent and that the other node may not have received.

    All connections of a node share it. Each result is kept for `KEEP_S`, the
    latest ones within `MAX_KEPT_BYTES`.
    """

    def __init__(self):
        # (Time until which it is kept, size, calls, id), oldest first.
        self._entries = collections.deque()
        self._bytes = 0

    def add(self, calls, result, now):
        """Let a connection keep a result until `ReceivedCalls.forget`.

        :param calls: `ReceivedCalls`
        :returns: whether the result is small enough to be kept
        """
        size = _RESULT_OVERHEAD_BYTES + len(result.headers) + len(result.body)
        if size > MAX_KEPT_RESULT_BYTES:
            return False
        self._entries.append((now + KEEP_S, size, calls, result.id))
        self._bytes += size
        self.remove_surplus(now)
        return True

    def remove_surplus(self, now):
        """Have the oldest results forgotten that are not kept any longer."""
        entries = self._entries
        while entries and (
            now > entries[0][0] or self._bytes > MAX_KEPT_BYTES
        ):
            _, size, calls, id_ = entries.popleft()
            self._bytes -= size
            calls.forget(id_)


class ReceivedCalls:
    """The calls received on one connection, as far as they are remembered.

    :param results: `KeptResults` of this node
    """

    def __init__(self, results):
        self._kept_results = results
        # Id to whether the call was passed on to run.
        self._is_started = {}
        self._results = {}
        # Highest id of the calls that may have run and are forgotten. Calls
        # are sent in the order of their ids, so one that was not received
        # has a higher id.
        self._forgotten_id = -1

    @property
    def has_results(self):
        """Whether results are kept that may not have been received."""
        return bool(self._results)

    def record_received(self, id_):
        """Record that a call or the first part of it has arrived."""
        self._is_started[id_] = False

    def record_start(self, id_):
        """Record that a call waits for a slot or runs."""
        self._is_started[id_] = True

    def record_result(self, result, now):
        """Record that a call has ended, and keep its result."""
        self._is_started.pop(result.id, None)
        self._results[result.id] = result
        if not self._kept_results.add(self, result, now):
            self.forget(result.id)

    def record_end(self, id_):
        """Record that a call has ended without a result."""
        if self._is_started.pop(id_, False):
            self.forget(id_)

    def forget(self, id_):
        """Record that a call may have run and has no result here."""
        self._results.pop(id_, None)
        self._forgotten_id = max(self._forgotten_id, id_)

    def discard(self):
        """Forget the results, as the connection can't be resumed."""
        for id_ in list(self._results):
            self.forget(id_)

    def resume(self, ids, now):
        """Return what to do as the sender asks for some of the calls.

        No further call must be recorded afterwards.

        :param ids: calls that the sender waits for
        :param now: monotonic seconds
        :returns: a `Refuse`, `Await`, `Deliver` or `Disclaim` for each of
            them and an `Abort` for each other one
        """
        self._kept_results.remove_surplus(now)
        wanted = set(ids)
        actions = [Abort(id_) for id_ in self._is_started.keys() - wanted]
        for id_ in ids:
            is_started = self._is_started.get(id_)
            result = self._results.get(id_)
            if is_started:
                actions.append(Await(id_))
            elif is_started is False:
                actions.append(Refuse(id_))
            elif result is not None:
                actions.append(Deliver(result))
            elif id_ <= self._forgotten_id:
                actions.append(Disclaim(id_))
            else:
                actions.append(Refuse(id_))
        return actions
