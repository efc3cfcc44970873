"""A simulated fleet for tests of the controllers.

The controllers, the codec and the responses to requests are the real ones.
Only the network, the store and the clocks are fakes, so that every run of a
test is the same.
"""

import dataclasses
import errno
import heapq
import itertools
import random

from pumicestand import actions
from pumicestand import blackboard as blackboards
from pumicestand import controllers as all_controllers
from pumicestand import documents
from pumicestand import errors
from pumicestand import messages
from pumicestand import readers
from pumicestand import responses
from pumicestand import verdicts
from pumicestand import wire

# Start of the simulated time, in seconds since the epoch.
EPOCH = 1_800_000_000.0
# Period of the steps of a node's controllers.
STEP_PERIOD_S = 0.1
MESSAGE_DELAY_S = 0.004
# Delay after which a refused request fails.
FAILURE_DELAY_S = 0.01
STORE_DELAY_S = 0.01
PORT = 7200


def make_content(label):
    """Return (content, digest) of a small document.

    :param label: name of its only route, by which tests recognise it
    """
    text = (
        'schema: pumicestand/v1\n'
        'services:\n'
        '  passdesk: {versions: [v1, v2], current: v1, resources: [passes]}\n'
        'routes:\n'
        f'  - {{name: {label}, path: /{label}, to: [{{service: passdesk}}],'
        ' resources: [passes], timeout: 2s}\n'
    )
    _, content = readers.read_yaml(text)
    return content, documents.content_digest(content)


class FakeStore:
    """A store with the accepted document and small objects.

    Attributes that tests change:

    - ``is_down``: reads fail and writes are dropped
    - ``delay_s``: seconds that a read or a write takes
    - ``are_watches_closed``: accepted documents are not reported to watches
    """

    def __init__(self):
        self.accepted = documents.Accepted()
        self.content = b''
        self.objects = {}
        self.is_down = False
        self.delay_s = STORE_DELAY_S
        self.are_watches_closed = False
        self.stale = None

    def accept(self, label):
        """Accept a new document; return its generation."""
        self.content, digest = make_content(label)
        generation = self.accepted.generation + 1
        self.accepted = documents.Accepted(generation, digest)
        return generation


@dataclasses.dataclass(slots=True)
class FakeNode:
    """The blackboard, the controllers and the state of a node.

    :param seeds: addresses of the nodes that it contacts first
    :param paused_until: simulated time until which it executes nothing
    :param clock_offset: seconds by which its clock is ahead
    :param is_watching: whether it has a watch on the store
    :param applied: (accepted, document) in the order in which they came into
        force, over all restarts
    """

    board: blackboards.Blackboard
    controllers: list
    seeds: list
    is_running: bool = True
    paused_until: float = 0.0
    clock_offset: float = 0.0
    is_watching: bool = False
    applied: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A frame in transit.

    :param kind: name of the class of its body; for a frame without a body
        ``Updates`` or, if it has no updates either, ``Announce``
    :param data: the encoded frame
    """

    sender: str
    receiver: str
    kind: str
    data: bytes
    is_stream: bool


class FakeFleet:
    """Nodes that communicate over a simulated network.

    Tests inject faults into the network by two hooks. `on_message` is called
    with a message and its deliveries, a list of (delay in seconds, message),
    and returns the deliveries to make instead. `on_fact` is called with the
    name of a node and a fact for its inbox, and returns whether to deliver it.

    :param zones: zone of each node; the region is its first letter
    :param seed: seed of all random choices
    """

    def __init__(self, zones, seed=0, watched_by_all=False):
        self.rng = random.Random(seed)
        self.store = FakeStore()
        self.now = EPOCH
        self.nodes = {}
        self.cuts = set()
        self.on_message = None
        self.on_fact = None
        self._queue = []
        self._sequence = itertools.count()
        self._start_numbers = itertools.count()
        for index, zone in enumerate(zones):
            self._add_node(f'{zone}{index}', zone, index)
        for name in self.nodes:
            self.schedule(
                self.rng.random() * STEP_PERIOD_S,
                self._step_periodically,
                name,
            )

    def _add_node(self, name, zone, index):
        address = (f'10.0.0.{index}', PORT)
        identity = blackboards.Identity(
            'production', name, zone, zone[0], *address, PORT + 1
        )
        others = [n.board.identity for n in self.nodes.values()]
        seeds = [(other.host, other.port) for other in others[:3]]
        self.nodes[name] = self.make_node(identity, seeds, 0.0)

    def make_node(self, identity, seeds, clock_offset):
        """Return a new `FakeNode` that announces one local target."""
        rng = random.Random(f'{identity.name}/{next(self._start_numbers)}')
        board = blackboards.Blackboard(
            identity, int((self.now + clock_offset) * 1000)
        )
        controllers = all_controllers.make_all(rng, seeds)
        node = FakeNode(board, controllers, seeds)
        node.clock_offset = clock_offset
        target = messages.Target(
            'passdesk', 'v1', identity.host, 9000, ('passes',)
        )
        board.local_targets[target.key] = blackboards.LocalTarget(
            target, self.now + 1e9
        )
        return node

    def restart(self, name, clock_offset=0.0):
        """Replace a node by a new one of the same name without any state.

        :param clock_offset: seconds by which its clock is ahead
        """
        old = self.nodes[name]
        seeds = old.seeds or [
            (n.board.identity.host, n.board.identity.port)
            for n in list(self.nodes.values())[1:3]
        ]
        new = self.make_node(old.board.identity, seeds, clock_offset)
        new.applied = old.applied
        self.nodes[name] = new

    def stop(self, name):
        """Stop a node at once."""
        self.nodes[name].is_running = False

    def schedule(self, delay, function, *arguments):
        """Call a function after a delay of simulated time, in seconds."""
        entry = (self.now + delay, next(self._sequence), function, arguments)
        heapq.heappush(self._queue, entry)

    def run(self, seconds, until=None):
        """Let simulated time pass; return whether a condition became true.

        :param seconds: how long to run at most
        :param until: function that returns the condition, which ends the run
            early; None for none
        """
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            at, _, function, arguments = heapq.heappop(self._queue)
            self.now = at
            function(*arguments)
            if until is not None and until():
                return True
        self.now = end
        return until is not None and until()

    def _step_periodically(self, name):
        self._step(name)
        self.schedule(STEP_PERIOD_S, self._step_periodically, name)

    def _is_active(self, name):
        node = self.nodes[name]
        return node.is_running and node.paused_until <= self.now

    def _step(self, name):
        if not self._is_active(name):
            return
        node = self.nodes[name]
        now = self.now + node.clock_offset
        chosen_actions = all_controllers.step_all(
            node.controllers, node.board, now
        )
        self._record_applied(node)
        for action in chosen_actions:
            self._perform(name, action)

    def _record_applied(self, node):
        in_force = node.board.in_force
        if in_force is None:
            return
        state = (in_force.accepted, in_force.document)
        if not node.applied or node.applied[-1] != state:
            node.applied.append(state)

    def _perform(self, name, action):
        match action:
            case actions.SendDatagram(address, frame):
                self._send_frame(name, address, frame, is_stream=False)
            case actions.SendRequest(peer, address, frame):
                self._send_request(name, peer, address, frame)
            case actions.ReadStore(delay):
                self.schedule(
                    delay + self.store.delay_s, self._read_store, name
                )
            case actions.StartWatch():
                self.nodes[name].is_watching = True
                self.schedule(self.store.delay_s, self._read_store, name)
            case actions.StopWatch():
                self.nodes[name].is_watching = False
            case actions.WriteStore(key, value, rank):
                self.schedule(
                    self.store.delay_s,
                    self.write_store_object,
                    key,
                    value,
                    rank,
                )

    def write_store_object(self, key, value, rank):
        """Write an object to the store.

        The store keeps the object that it has if its rank is not lower.
        """
        if self.store.is_down:
            return
        stored = self.store.objects.get(key)
        if stored is None or rank is None or (stored[1] or 0) < rank:
            self.store.objects[key] = (value, rank)

    def _node_name_at(self, address):
        for name, node in self.nodes.items():
            identity = node.board.identity
            if (identity.host, identity.port) == tuple(address):
                return name
        return None

    def _message_kind(self, frame):
        if frame.body is None:
            return 'Announce' if not frame.updates else 'Updates'
        return type(frame.body).__name__

    def _send_frame(self, sender, address, frame, is_stream):
        receiver = self._node_name_at(address)
        if receiver is None:
            return
        message = Message(
            sender,
            receiver,
            self._message_kind(frame),
            wire.encode(frame),
            is_stream,
        )
        self._transmit(message)

    def _transmit(self, message):
        """Schedule the deliveries of a message, which a hook may change."""
        if (message.sender, message.receiver) in self.cuts:
            return
        deliveries = [(MESSAGE_DELAY_S, message)]
        if self.on_message is not None:
            deliveries = self.on_message(message, deliveries)
        for delay, delivered in deliveries:
            self.schedule(delay, self._deliver, delivered)

    def _deliver(self, message):
        name = message.receiver
        node = self.nodes[name]
        if not node.is_running:
            return
        if node.paused_until > self.now:
            # The kernel buffers messages while a process is paused.
            wait = node.paused_until - self.now
            self.schedule(wait + 0.001, self._deliver, message)
            return
        try:
            frame = wire.decode(message.data, message.sender)
        except errors.InvalidFrameError as error:
            node.board.emit(
                'frame-refused',
                self.now,
                peer=message.sender,
                step=error.step,
                detail=str(error),
            )
            return
        identity = self.nodes[message.sender].board.identity
        address = (identity.host, identity.port)
        self._deliver_fact(name, blackboards.ReceivedFrame(frame, address))

    def _deliver_fact(self, name, fact):
        node = self.nodes[name]
        if not self._is_active(name):
            return
        if self.on_fact is not None and not self.on_fact(name, fact):
            return
        node.board.inbox.append(fact)
        self._step(name)

    def _send_request(self, name, peer, address, frame):
        receiver = self._node_name_at(address)
        kind = self._message_kind(frame)
        failure = blackboards.RequestFailed(
            peer, tuple(address), frame.body, 'no answer'
        )
        is_reachable = receiver is not None and self._is_active(receiver)
        if not is_reachable or (name, receiver) in self.cuts:
            self.schedule(1.0, self._deliver_fact, name, failure)
            return
        message = Message(name, receiver, kind, wire.encode(frame), True)
        deliveries = [(MESSAGE_DELAY_S, message)]
        if self.on_message is not None:
            deliveries = self.on_message(message, deliveries)
        if not deliveries:
            self.schedule(1.0, self._deliver_fact, name, failure)
        for delay, delivered in deliveries:
            self.schedule(delay, self._serve_request, delivered, failure)

    def _serve_request(self, message, failure):
        """Process a request at its receiver and send the response."""
        name, receiver = message.sender, message.receiver
        if not self._is_active(receiver):
            self.schedule(1.0, self._deliver_fact, name, failure)
            return
        try:
            frame = wire.decode(message.data, name)
        except errors.InvalidFrameError:
            self.schedule(FAILURE_DELAY_S, self._deliver_fact, name, failure)
            return
        self._deliver(message)
        response = responses.make_response(self.nodes[receiver].board, frame)
        if isinstance(response.body, messages.Refused):
            self.schedule(FAILURE_DELAY_S, self._deliver_fact, name, failure)
            return
        response_message = Message(
            receiver,
            name,
            self._message_kind(response),
            wire.encode(response),
            True,
        )
        if (receiver, name) in self.cuts:
            self.schedule(1.0, self._deliver_fact, name, failure)
            return
        deliveries = [(MESSAGE_DELAY_S, response_message)]
        if self.on_message is not None:
            deliveries = self.on_message(response_message, deliveries)
        if not deliveries:
            self.schedule(1.0, self._deliver_fact, name, failure)
        for delay, delivered in deliveries:
            self.schedule(delay, self._deliver, delivered)

    def _read_store(self, name):
        """Deliver the content of the store to a node, or that it is down."""
        if not self._is_active(name):
            return
        store = self.store
        if store.is_down:
            self._deliver_fact(name, blackboards.StoreFailed('read', 'down'))
            return
        stored_verdicts = [
            verdicts.parse_verdict(value)
            for key, (value, _) in sorted(store.objects.items())
            if key.startswith('moves/')
        ]
        self._deliver_fact(
            name, blackboards.StoreVerdicts(tuple(stored_verdicts))
        )
        fact = blackboards.StoreDocument(store.accepted, store.content)
        self._deliver_fact(name, fact)

    def accept(self, label):
        """Accept a document, notify the watches; return its generation.

        :param label: see `make_content`
        """
        generation = self.store.accept(label)
        self.notify_watchers()
        return generation

    def notify_watchers(self):
        """Let every open watch report the content of the store."""
        for name, node in self.nodes.items():
            if node.is_watching and not self.store.are_watches_closed:
                self.schedule(self.store.delay_s, self._read_store, name)

    def set_store_down(self, is_down):
        """Set whether the store is down; nodes with a watch notice at once."""
        self.store.is_down = is_down
        for name, node in self.nodes.items():
            if node.is_watching:
                self.schedule(self.store.delay_s, self._read_store, name)

    def cut(self, senders, receivers):
        """Drop all messages from some nodes to others.

        :param senders: names of nodes
        :param receivers: names of nodes
        """
        for sender in senders:
            for receiver in receivers:
                if sender != receiver:
                    self.cuts.add((sender, receiver))

    def heal(self):
        """End all faults of the network and of the store."""
        self.cuts.clear()
        self.on_message = None
        self.on_fact = None
        self.store.are_watches_closed = False
        self.store.delay_s = STORE_DELAY_S
        self.set_store_down(False)
        self._poll_store()

    def _poll_store(self):
        """Let nodes with a watch read the store.

        The real agent does so every few seconds.
        """
        for name, node in self.nodes.items():
            if node.is_watching:
                self._read_store(name)

    def generations_in_force(self):
        """Return a dictionary of node names to the generation in force."""
        return {
            name: n.board.generation_in_force for name, n in self.nodes.items()
        }

    def has_converged_on(self, generation):
        """Return whether a generation is in force at every running node."""
        return all(
            node.board.generation_in_force == generation
            for node in self.nodes.values()
            if node.is_running
        )


def check_invariants(fleet):
    """Check the invariants of the whole run so far.

    The generation in force at a node never decreases, not even by a restart,
    and every document in force is exactly one that the store accepted.
    """
    for name, node in fleet.nodes.items():
        generations = [accepted.generation for accepted, _ in node.applied]
        assert generations == sorted(generations), (name, generations)
        for accepted, document in node.applied:
            label = document.routes[0].name
            content, digest = make_content(label)
            assert digest == accepted.digest, name
            assert readers.read_content(content) == document, name


class FailingLogger:
    """A logger whose every use raises an error, as without descriptors."""

    def __getattr__(self, name):
        raise OSError(errno.EMFILE, f'no descriptor for {name}')
