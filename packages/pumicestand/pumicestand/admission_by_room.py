"""Refusal of clients' calls whose nested calls displace more urgent ones.

The load that this answers is one at which a service with few targets gets
urgent calls of clients and nested calls that the targets of a less urgent
service make. Nested calls go first, so the urgent calls fail while the less
urgent outer calls are served. A node therefore refuses the outer calls on
arrival as long as the urgent ones are expected to be late and some of them
were refused at the targets. Urgent calls that are served although slots are
scarce are no reason: a nested call may take far less of the slots than the
outer call is worth.
"""

import dataclasses
import math

from pumicestand import hop_messages
from pumicestand import placing

# Share of the objective above which the urgent calls have no room: one
# response in five is late then, see `placing.LATENESS_EXPONENT`.
MAX_OBJECTIVE_SHARE = 0.6
# Seconds for which a kind of call is taken to go on after it was last seen.
RETENTION_S = 10.0
# Seconds for which clients' calls are taken to lack room after one was refused
# or had to be given up while it waited.
SHORTAGE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _ClientCalls:
    """Clients' calls of a priority, last seen at a monotonic time."""

    objective_ms: float
    seen_at: float


class CallObserver:
    """Learns at one target which calls it serves and makes."""

    def __init__(self):
        self._nested_seen_at = {}
        self._client_calls = {}
        # Priority to the time at which a client's call lacked room.
        self._refused_at = {}

    def record_nested(self, service, now):
        """Record a call that the target makes while it runs another one.

        :param service: service that the nested call goes to
        :param now: monotonic seconds
        """
        self._nested_seen_at[service] = now

    def record_client(self, priority, objective_ms, now):
        """Record a client's call for the target.

        :param objective_ms: time left of its objective, in milliseconds
        :param now: monotonic seconds
        """
        known = self._client_calls.get(priority)
        if known is not None and now - known.seen_at <= RETENTION_S:
            # Retries of clients have less time left.
            objective_ms = max(objective_ms, known.objective_ms)
        self._client_calls[priority] = _ClientCalls(objective_ms, now)

    def record_refused(self, priority, now):
        """Record that a client's call for the target got no room in time."""
        self._refused_at[priority] = now

    def add_to(self, load, now):
        """Return a `hop_messages.Load` with what was learned.

        It names the most urgent clients' calls that lacked room lately.
        """
        nested = [
            (seen_at, service)
            for service, seen_at in self._nested_seen_at.items()
            if now - seen_at <= RETENTION_S
        ]
        priorities = [
            priority
            for priority, calls in self._client_calls.items()
            if now - calls.seen_at <= RETENTION_S
            and calls.objective_ms > 0
            and now - self._refused_at.get(priority, -math.inf) <= SHORTAGE_S
        ]
        if not nested and not priorities:
            return load
        urgent = min(priorities, default=0)
        calls = self._client_calls.get(urgent)
        return dataclasses.replace(
            load,
            nested_service=max(nested)[1] if nested else '',
            client_priority=urgent,
            client_objective_ms=calls.objective_ms if priorities else 0.0,
        )


def nested_service(peers):
    """Return the service that targets make nested calls to, or ''.

    :param peers: the `fleet.Peer`s that serve the outer call's service
    """
    for peer in peers:
        if peer.load.nested_service:
            return peer.load.nested_service
    return ''


def displaces_urgent(priority, is_client_retry, peers, now):
    """Return whether a client's call displaces more urgent calls.

    :param priority: of the call; a lower number goes first
    :param is_client_retry: whether the client was refused before; it is not
        refused again
    :param peers: the `fleet.Peer`s that serve its nested calls
    :param now: monotonic seconds
    """
    if is_client_retry:
        return False
    urgent = _most_urgent(peers)
    if urgent is None or urgent.client_priority >= priority:
        return False
    limit_ms = urgent.client_objective_ms * MAX_OBJECTIVE_SHARE
    for peer in peers:
        load = peer.load
        if load.running + load.queued + peer.sent_since_load < load.slots:
            return False
        if placing.expected_latency_ms(peer, load.work_ms, now) <= limit_ms:
            return False
    return True


def _most_urgent(peers) -> hop_messages.Load | None:
    """Return the load with the most urgent clients' calls, or None."""
    return min(
        (peer.load for peer in peers if peer.load.client_objective_ms > 0),
        key=lambda load: (load.client_priority, -load.client_objective_ms),
        default=None,
    )
