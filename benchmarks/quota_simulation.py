"""Simulates the quotas of a fleet on a simulated clock, with faults.

The real `quotas.QuotaNode` and `quota_coordination.Coordinator` of each node
exchange their messages over a simulated network that loses, delays and
duplicates them. Nodes are paused, cut off, restarted and added.
"""

import bisect
import dataclasses
import heapq
import itertools
import math
import random

from pumicestand import documents
from pumicestand import hop
from pumicestand import hop_messages
from pumicestand import quota_buckets
from pumicestand import quota_coordination
from pumicestand import quota_fleet
from pumicestand import quotas

# Time on the way between two nodes, in seconds.
MIN_TRANSIT_S, MAX_TRANSIT_S = 0.0003, 0.003
# Longest time of a late message on the way, in seconds: a link on which
# nothing arrives for longer is closed.
MAX_LATE_S = 2.5
# Time after which a node notices that others are gone, back or new.
MAX_NOTICE_S = 2.0
# Time in which a changed configuration comes into force at all nodes.
MAX_CHANGE_S = 1.0
# Period at which a node looks for changes of the fleet, in seconds.
VIEW_PERIOD_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Calls that arrive at random.

    :param rate: calls a second over all nodes
    :param start: seconds
    :param end: seconds
    :param nodes: indices of the nodes at which they arrive, None for all
    """

    organisation: str
    rate: float
    start: float
    end: float
    nodes: tuple[int, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """The nodes are split into groups that don't reach each other.

    :param groups: number of groups; node `n` is in group `n` modulo it
    """

    start: float
    end: float
    groups: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """A node is frozen."""

    start: float
    end: float
    node: int


@dataclasses.dataclass(frozen=True, slots=True)
class Restart:
    """A node's process ends and starts again at once."""

    at: float
    node: int


@dataclasses.dataclass(frozen=True, slots=True)
class Death:
    """A node ends without a word."""

    at: float
    node: int


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """A node is added; its index is the next one."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A quota changes; each node hears of it within a second."""

    at: float
    organisation: str
    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """What happens.

    :param organisations: name to `documents.Organisation`
    :param traffic: `Traffic` objects
    :param faults: `Cut`, `Pause`, `Restart`, `Death`, `Join` and `Change`
    :param loss: fraction of lost messages
    :param late: fraction of late messages
    :param doubled: fraction of messages that arrive twice
    """

    nodes: int
    seconds: float
    organisations: dict
    traffic: tuple
    faults: tuple = ()
    loss: float = 0.0
    late: float = 0.0
    doubled: float = 0.0


def organisation(name, rate, burst):
    """Return a `documents.Organisation` with a quota."""
    return documents.Organisation(name, frozenset(), None, rate, burst)


def over_bound(simulation, name, initial):
    """Return the largest ratio of started calls to their bound.

    While a lower quota comes into force, and for one window after that, the
    higher one bounds the calls.

    :param simulation: a `Simulation` that has run
    :param name: name of the organisation
    :param initial: its `documents.Organisation` before any `Change`
    """
    bounds = simulation.bounds
    changes = sorted(
        (f for f in simulation.scenario.faults if isinstance(f, Change)),
        key=lambda change: change.at,
    )
    times = simulation.started[name]
    largest = 0.0
    for index, start in enumerate(times):
        end = start + bounds.window
        limits = [bounds.limit(initial.rate, initial.burst)]
        for change in changes:
            if start >= change.at + MAX_CHANGE_S + bounds.window:
                limits.clear()
            if change.at <= end:
                limits.append(bounds.limit(change.rate, change.burst))
        count = bisect.bisect_left(times, end) - index
        largest = max(largest, count / max(limits))
    return largest


def max_in_window(times, window):
    """Return the largest number of sorted times within one window.

    >>> max_in_window([0.0, 1.0, 1.5, 3.0], 2.0)
    3
    """
    most = 0
    for index, start in enumerate(times):
        most = max(most, bisect.bisect_left(times, start + window) - index)
    return most


class _Node:
    def __init__(self, index, simulation):
        self.index = index
        self.name = f'n{index}'
        self.clock_offset = simulation.rng.uniform(0, 1e6)
        self.notice_s = simulation.rng.uniform(0, MAX_NOTICE_S)
        self.incarnation = 1
        self.generation = 0
        self.joined_at = simulation.now
        self.is_dead = False
        self.paused_until = -math.inf
        self.scheduled_at = math.inf
        self.waiting = []
        self.reset(simulation)

    def reset(self, simulation):
        self.organisations = dict(simulation.organisations)
        self.node = quotas.QuotaNode(self.name, simulation.bounds)
        self.node.set_organisations(self.organisations)
        self.coordinator = quota_coordination.Coordinator(
            self.name, simulation.bounds
        )
        self.coordinator.set_organisations(self.organisations, 0.0)
        self.waiting.clear()


class Simulation:
    """Runs a `Scenario`.

    ``started`` holds the times at which calls were started, by organisation;
    ``arrived`` and ``refused`` count calls. ``requests`` and ``bytes`` count
    the messages between nodes, and the bytes of those and their replies.
    """

    def __init__(self, scenario, seed=1):
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.bounds = quota_buckets.QuotaBounds()
        self.now = 0.0
        self._generation = 0
        self.organisations = dict(scenario.organisations)
        self._observer = quota_fleet.QuotaFleetObserver('none')
        self._views = {}
        self._numbers = itertools.count()
        self._events = []
        self._nodes = [_Node(index, self) for index in range(scenario.nodes)]
        self._by_name = {node.name: node for node in self._nodes}
        self.started = {name: [] for name in scenario.organisations}
        self.arrived = dict.fromkeys(scenario.organisations, 0)
        self.refused = dict.fromkeys(scenario.organisations, 0)
        self.waits = []
        self.requests = 0
        self.bytes = 0
        self._moments = sorted(
            {0.0}
            | {at for fault in scenario.faults for at in _moments_of(fault)}
        )

    def run(self):
        """Run the scenario to its end; return the simulation."""
        for node in self._nodes:
            self._push(self.rng.uniform(0, 0.01), self._look, node)
        for traffic in self.scenario.traffic:
            self._next_call(traffic, traffic.start)
        for fault in self.scenario.faults:
            match fault:
                case Pause():
                    self._push(fault.start, self._pause, fault)
                case Restart() | Death() | Join() | Change():
                    self._push(fault.at, self._apply, fault)
        while self._events:
            self.now, _, handle, *arguments = heapq.heappop(self._events)
            if self.now > self.scenario.seconds:
                break
            handle(*arguments)
        return self

    def _push(self, at, handle, *arguments):
        heapq.heappush(
            self._events, (at, next(self._numbers), handle, *arguments)
        )

    def _is_held_up(self, node, handle, *arguments):
        """Return whether a node is dead, or paused and handles it later."""
        if node.is_dead:
            return True
        if self.now < node.paused_until:
            self._push(node.paused_until, handle, *arguments)
            return True
        return False

    # Faults

    def _pause(self, fault):
        node = self._nodes[fault.node % len(self._nodes)]
        node.paused_until = fault.end

    def _apply(self, fault):
        match fault:
            case Join():
                node = _Node(len(self._nodes), self)
                self._nodes.append(node)
                self._by_name[node.name] = node
                self._push(self.now, self._look, node)
            case Restart():
                node = self._nodes[fault.node % len(self._nodes)]
                node.incarnation += 1
                node.reset(self)
                self._push(self.now, self._look, node)
            case Death():
                self._nodes[fault.node % len(self._nodes)].is_dead = True
            case Change():
                self._generation += 1
                for node in self._nodes:
                    delay_s = self.rng.uniform(0, MAX_CHANGE_S)
                    self._push(
                        self.now + delay_s,
                        self._change,
                        node,
                        fault,
                        self._generation,
                    )
                # Nodes that start later have it at once.
                self.organisations[fault.organisation] = organisation(
                    fault.organisation, fault.rate, fault.burst
                )

    def _change(self, node, fault, generation):
        if self._is_held_up(node, self._change, node, fault, generation):
            return
        if generation < node.generation:
            # A later configuration has replaced this one.
            return
        node.generation = generation
        node.organisations = {
            **node.organisations,
            fault.organisation: organisation(
                fault.organisation, fault.rate, fault.burst
            ),
        }
        node.node.set_organisations(node.organisations)
        node.coordinator.set_organisations(
            node.organisations, self._local(node)
        )

    def _group(self, node, at):
        for fault in self.scenario.faults:
            match fault:
                case Cut(start, end, groups) if start <= at < end:
                    return node.index % groups
        return 0

    # Nodes

    def _local(self, node):
        return self.now + node.clock_offset

    def _look(self, node):
        """Have a node see the other nodes as they were a while ago."""
        if self._is_held_up(node, self._look, node):
            return
        at = self.now - node.notice_s
        moment = bisect.bisect(self._moments, at)
        group = self._group(node, at)
        key = (moment, group, len(self._nodes))
        if key not in self._views:
            names = {
                other.name
                for other in self._nodes
                if self._group(other, at) == group
                and other.joined_at <= max(0.0, at)
                and not self._is_dead_at(other, at)
            }
            count = sum(o.joined_at <= max(0.0, at) for o in self._nodes)
            self._views[key] = (names, count)
        names, count = self._views[key]
        count += node.joined_at > max(0.0, at)
        excluded = node.node.excluded(self._local(node))
        fleet = self._observer.choose(
            count, (names | {node.name}) - excluded or {node.name}
        )
        node.node.set_fleet(fleet, self._local(node))
        node.coordinator.set_node_count(count, self._local(node))
        self._push(self.now + VIEW_PERIOD_S, self._look, node)
        self._step(node)

    def _is_dead_at(self, node, at):
        return any(
            isinstance(fault, Death)
            and fault.at <= at
            and fault.node % len(self._nodes) == node.index
            for fault in self.scenario.faults
        )

    def _wake(self, node, at):
        if at != node.scheduled_at:
            return
        node.scheduled_at = math.inf
        if not self._is_held_up(node, self._wake_late, node):
            self._step(node)

    def _wake_late(self, node):
        if not node.is_dead:
            self._step(node)

    def _step(self, node):
        """Send what is due and have the waiting calls start or end."""
        self._serve_waiting(node)
        for send in node.node.due(self._local(node)):
            if send.coordinator == node.name:
                reply = node.coordinator.handle(
                    node.name,
                    node.incarnation,
                    send.request,
                    self._local(node),
                )
                if reply is not None:
                    node.node.apply_reply(node.name, reply, self._local(node))
                continue
            self.requests += 1
            self.bytes += len(hop.encode(send.request))
            self._transmit(node, send.coordinator, send.request)
        self._serve_waiting(node)
        due_at = node.node.next_due() - node.clock_offset
        if due_at < node.scheduled_at and due_at < math.inf:
            node.scheduled_at = max(self.now, due_at)
            if due_at <= self.now:
                node.scheduled_at = self.now + 1e-4
            self._push(node.scheduled_at, self._wake, node, node.scheduled_at)

    def _transmit(self, node, to, message):
        """Send a message to another node, or lose it."""
        scenario = self.scenario
        if self.rng.random() < scenario.loss:
            return
        for _ in range(1 + (self.rng.random() < scenario.doubled)):
            transit_s = self.rng.uniform(MIN_TRANSIT_S, MAX_TRANSIT_S)
            if self.rng.random() < scenario.late:
                transit_s = self.rng.uniform(0, MAX_LATE_S)
            self._push(
                self.now + transit_s,
                self._receive,
                self._by_name[to],
                node,
                node.incarnation,
                message,
            )

    def _receive(self, node, sender, incarnation, message):
        if self._is_held_up(
            node, self._receive, node, sender, incarnation, message
        ):
            return
        if self._group(node, self.now) != self._group(sender, self.now):
            return
        match message:
            case hop_messages.QuotaRequest():
                reply = node.coordinator.handle(
                    sender.name, incarnation, message, self._local(node)
                )
                if reply is not None:
                    self.bytes += len(hop.encode(reply))
                    self._transmit(node, sender.name, reply)
            case hop_messages.QuotaReply():
                node.node.apply_reply(sender.name, message, self._local(node))
                self._step(node)

    # Calls

    def _next_call(self, traffic, at):
        if traffic.rate <= 0:
            return
        at += self.rng.expovariate(traffic.rate)
        if at >= traffic.end:
            return
        indices = traffic.nodes
        index = (
            self.rng.randrange(len(self._nodes))
            if indices is None
            else self.rng.choice(indices) % len(self._nodes)
        )
        self._push(at, self._call, traffic, self._nodes[index])

    def _call(self, traffic, node):
        self._next_call(traffic, self.now)
        if not node.is_dead:
            self.arrived[traffic.organisation] += 1
            self._start(traffic.organisation, node)

    def _start(self, name, node):
        if self._is_held_up(node, self._start, name, node):
            return
        match node.node.try_start(name, self._local(node)):
            case quotas.Admitted():
                self.started[name].append(self.now)
                self.waits.append(0.0)
                # A call that was started ahead has to be reported in time.
                self._step(node)
            case quotas.Refused():
                self.refused[name] += 1
            case quotas.MustAsk():
                entry = (name, self.now, node.incarnation)
                node.waiting.append(entry)
                node.node.add_waiting(name)
                self._push(
                    self.now + quotas.MAX_WAIT_S, self._give_up, node, entry
                )
                self._step(node)

    def _serve_waiting(self, node):
        for entry in list(node.waiting):
            name, since, _ = entry
            match node.node.try_start(name, self._local(node)):
                case quotas.Admitted():
                    self.started[name].append(self.now)
                    self.waits.append(self.now - since)
                case quotas.Refused():
                    self.refused[name] += 1
                case quotas.MustAsk():
                    continue
            node.waiting.remove(entry)
            node.node.remove_waiting(name)

    def _give_up(self, node, entry):
        if self._is_held_up(node, self._give_up, node, entry):
            return
        if entry in node.waiting and entry[2] == node.incarnation:
            node.waiting.remove(entry)
            node.node.remove_waiting(entry[0])
            self.refused[entry[0]] += 1


def _moments_of(fault):
    match fault:
        case Cut(start, end):
            return (start, end)
        case Death(at):
            return (at,)
        case Join(at):
            return (at,)
    return ()
