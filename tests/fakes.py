"""Small fakes at the interfaces of the decision code.

The controllers, the codec and the answers to requests are the real ones;
only the network, the store and the clocks are faked, so that every run of a
test is the same.
"""

import dataclasses
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

EPOCH = 1_800_000_000.0
TICK_S = 0.1
DELAY_S = 0.004
REQUEST_S = 0.01
STORE_S = 0.01
PORT = 7200


def make_content(label):
    """Return (content, digest) of a small document that shows a label."""
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
    """The store: the accepted document and small objects."""

    def __init__(self):
        self.accepted = documents.Accepted()
        self.content = b''
        self.objects = {}
        self.is_down = False
        self.delay = STORE_S
        self.watch_is_closed = False
        self.stale = None

    def accept(self, label):
        """Accept a new document; return its generation."""
        self.content, digest = make_content(label)
        generation = self.accepted.generation + 1
        self.accepted = documents.Accepted(generation, digest)
        return generation


@dataclasses.dataclass(slots=True)
class FakeNode:
    """A node's blackboard and controllers."""

    board: blackboards.Blackboard
    controllers: list
    seeds: list
    is_running: bool = True
    paused_until: float = 0.0
    clock_offset: float = 0.0
    watches: bool = False
    acted: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A frame on its way, as bytes.

    :param kind: name of its body's class, ``Announce`` for a bare reference
    """

    sender: str
    receiver: str
    kind: str
    data: bytes
    is_stream: bool


class FakeFleet:
    """Nodes that talk over a fake network.

    :param zones: zone of each node; the region is its first letter
    :param seed: of all random choices
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
        self._count = itertools.count()
        self._starts = itertools.count()
        for index, zone in enumerate(zones):
            self._add(f'{zone}{index}', zone, index)
        for name in self.nodes:
            self._schedule(self.rng.random() * TICK_S, self._tick, name)

    def _add(self, name, zone, index):
        address = (f'10.0.0.{index}', PORT)
        identity = blackboards.Identity(
            'production', name, zone, zone[0], *address, PORT + 1
        )
        others = [n.board.identity for n in self.nodes.values()]
        seeds = [(other.host, other.port) for other in others[:3]]
        self.nodes[name] = self._make(identity, seeds, 0.0)

    def _make(self, identity, seeds, clock_offset):
        rng = random.Random(f'{identity.name}/{next(self._starts)}')
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
        """Start a node anew under its name; it remembers nothing."""
        old = self.nodes[name]
        seeds = old.seeds or [
            (n.board.identity.host, n.board.identity.port)
            for n in list(self.nodes.values())[1:3]
        ]
        new = self._make(old.board.identity, seeds, clock_offset)
        new.acted = old.acted
        self.nodes[name] = new

    def stop(self, name):
        """End a node's process at once."""
        self.nodes[name].is_running = False

    def _schedule(self, delay, function, *arguments):
        entry = (self.now + delay, next(self._count), function, arguments)
        heapq.heappush(self._queue, entry)

    def run(self, seconds, until=None):
        """Let time pass; return early once `until` is true."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            at, _, function, arguments = heapq.heappop(self._queue)
            self.now = at
            function(*arguments)
            if until is not None and until():
                return True
        self.now = end
        return until is not None and until()

    def _tick(self, name):
        self._step(name)
        self._schedule(TICK_S, self._tick, name)

    def _is_awake(self, name):
        node = self.nodes[name]
        return node.is_running and node.paused_until <= self.now

    def _step(self, name):
        if not self._is_awake(name):
            return
        node = self.nodes[name]
        now = self.now + node.clock_offset
        taken = all_controllers.step_all(node.controllers, node.board, now)
        self._note_acting(node)
        for action in taken:
            self._perform(name, action)

    def _note_acting(self, node):
        in_force = node.board.in_force
        if in_force is None:
            return
        state = (in_force.accepted, in_force.document)
        if not node.acted or node.acted[-1] != state:
            node.acted.append(state)

    def _perform(self, name, action):
        match action:
            case actions.SendDatagram(address, frame):
                self._send(name, address, frame, is_stream=False)
            case actions.SendRequest(peer, address, frame):
                self._request(name, peer, address, frame)
            case actions.ReadStore(delay):
                self._schedule(delay + self.store.delay, self._read, name)
            case actions.StartWatch():
                self.nodes[name].watches = True
                self._schedule(self.store.delay, self._read, name)
            case actions.StopWatch():
                self.nodes[name].watches = False
            case actions.WriteStore(key, value, rank):
                self._schedule(self.store.delay, self._write, key, value, rank)

    def _write(self, key, value, rank):
        if self.store.is_down:
            return
        held = self.store.objects.get(key)
        if held is None or rank is None or (held[1] or 0) < rank:
            self.store.objects[key] = (value, rank)

    def _name_at(self, address):
        for name, node in self.nodes.items():
            identity = node.board.identity
            if (identity.host, identity.port) == tuple(address):
                return name
        return None

    def _kind(self, frame):
        if frame.body is None:
            return 'Announce' if not frame.rumours else 'Rumours'
        return type(frame.body).__name__

    def _send(self, sender, address, frame, is_stream):
        receiver = self._name_at(address)
        if receiver is None:
            return
        message = Message(
            sender, receiver, self._kind(frame), wire.encode(frame), is_stream
        )
        self._pass_on(message)

    def _pass_on(self, message):
        """Deliver a message, unless a test's hook takes it over."""
        if (message.sender, message.receiver) in self.cuts:
            return
        deliveries = [(DELAY_S, message)]
        if self.on_message is not None:
            deliveries = self.on_message(message, deliveries)
        for delay, changed in deliveries:
            self._schedule(delay, self._deliver, changed)

    def _deliver(self, message):
        name = message.receiver
        node = self.nodes[name]
        if not node.is_running:
            return
        if node.paused_until > self.now:
            # The kernel keeps what arrives while a process is paused.
            wait = node.paused_until - self.now
            self._schedule(wait + 0.001, self._deliver, message)
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
        self._put(name, blackboards.ReceivedFrame(frame, address))

    def _put(self, name, fact):
        node = self.nodes[name]
        if not self._is_awake(name):
            return
        if self.on_fact is not None and not self.on_fact(name, fact):
            return
        node.board.inbox.append(fact)
        self._step(name)

    def _request(self, name, peer, address, frame):
        receiver = self._name_at(address)
        kind = self._kind(frame)
        failed = blackboards.RequestFailed(
            peer, tuple(address), frame.body, 'no answer'
        )
        open_ = receiver is not None and self._is_awake(receiver)
        if not open_ or (name, receiver) in self.cuts:
            self._schedule(1.0, self._put, name, failed)
            return
        message = Message(name, receiver, kind, wire.encode(frame), True)
        deliveries = [(DELAY_S, message)]
        if self.on_message is not None:
            deliveries = self.on_message(message, deliveries)
        if not deliveries:
            self._schedule(1.0, self._put, name, failed)
        for delay, changed in deliveries:
            self._schedule(delay, self._serve, changed, failed)

    def _serve(self, message, failed):
        """Take a request in and answer it."""
        name, receiver = message.sender, message.receiver
        if not self._is_awake(receiver):
            self._schedule(1.0, self._put, name, failed)
            return
        try:
            frame = wire.decode(message.data, name)
        except errors.InvalidFrameError:
            self._schedule(REQUEST_S, self._put, name, failed)
            return
        self._deliver(message)
        answer = responses.make_response(self.nodes[receiver].board, frame)
        if isinstance(answer.body, messages.Refused):
            self._schedule(REQUEST_S, self._put, name, failed)
            return
        reply = Message(
            receiver, name, self._kind(answer), wire.encode(answer), True
        )
        if (receiver, name) in self.cuts:
            self._schedule(1.0, self._put, name, failed)
            return
        deliveries = [(DELAY_S, reply)]
        if self.on_message is not None:
            deliveries = self.on_message(reply, deliveries)
        if not deliveries:
            self._schedule(1.0, self._put, name, failed)
        for delay, changed in deliveries:
            self._schedule(delay, self._deliver, changed)

    def _read(self, name):
        """Answer a node's read of the store."""
        if not self._is_awake(name):
            return
        store = self.store
        if store.is_down:
            self._put(name, blackboards.StoreFailed('read', 'down'))
            return
        found = [
            verdicts.parse_verdict(value)
            for key, (value, _) in sorted(store.objects.items())
            if key.startswith('moves/')
        ]
        self._put(name, blackboards.StoreVerdicts(tuple(found)))
        fact = blackboards.StoreDocument(store.accepted, store.content)
        self._put(name, fact)

    def accept(self, label):
        """Accept a document in the store and have the watches tell it."""
        generation = self.store.accept(label)
        self.tell_watchers()
        return generation

    def tell_watchers(self):
        """Have every watch answer with what the store holds."""
        for name, node in self.nodes.items():
            if node.watches and not self.store.watch_is_closed:
                self._schedule(self.store.delay, self._read, name)

    def set_store_down(self, is_down):
        """Take the store down or up again; watches notice at once."""
        self.store.is_down = is_down
        for name, node in self.nodes.items():
            if node.watches:
                self._schedule(self.store.delay, self._read, name)

    def cut(self, senders, receivers):
        """Let nothing pass from some nodes to others."""
        for sender in senders:
            for receiver in receivers:
                if sender != receiver:
                    self.cuts.add((sender, receiver))

    def heal(self):
        """Let everything pass again."""
        self.cuts.clear()
        self.on_message = None
        self.on_fact = None
        self.store.watch_is_closed = False
        self.store.delay = STORE_S
        self.set_store_down(False)
        self._poll_store()

    def _poll_store(self):
        """Watchers read anew every few seconds, as the agent does."""
        for name, node in self.nodes.items():
            if node.watches:
                self._read(name)

    def acting(self):
        """Return name to the generation in force."""
        return {name: n.board.acting for name, n in self.nodes.items()}

    def all_act_on(self, generation):
        """Return whether every node that runs acts on a generation."""
        return all(
            node.board.acting == generation
            for node in self.nodes.values()
            if node.is_running
        )


def check_invariants(fleet):
    """Check what must hold at any moment, over the whole run.

    No node ever acted on less than before, restarts included, and each
    document that took effect was whole: exactly what the store accepted.
    """
    for name, node in fleet.nodes.items():
        generations = [accepted.generation for accepted, _ in node.acted]
        assert generations == sorted(generations), (name, generations)
        for accepted, document in node.acted:
            label = document.routes[0].name
            content, digest = make_content(label)
            assert digest == accepted.digest, name
            assert readers.read_content(content) == document, name
