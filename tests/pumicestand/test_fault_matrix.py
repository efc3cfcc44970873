"""Tests of every fault at every step from accepting a document to in force.

A step is the first message, or fact from the store, of a kind after a second
document has been accepted. The fault affects that message, its sender or its
receiver.
"""

import dataclasses
import itertools
import random

import pytest

from pumicestand import application
from pumicestand import blackboard as blackboards
from pumicestand import dissemination
from pumicestand import events
from pumicestand import messages
from pumicestand import wire
from tests import fakes

# One node in each entry; the region is the first letter.
ZONES = ('e1', 'e1', 'e2', 'e2', 'w1', 'w1', 'w2', 'w2')
# The faults of the network and the store last this long.
FAULT_PERIOD_S = 12.0
# After that all nodes must converge within this time.
RECOVERY_LIMIT_S = 25.0

# Name of each step and the kind of the message that triggers the fault; with
# None the fault is injected just before the document is accepted.
STEPS = {
    'accepted': None,
    'store to watcher': 'StoreDocument',
    'watcher to relay': 'Announce',
    'node asks for content': 'Fetch',
    'relay to node': 'Content',
    'node to floor keeper': 'FloorNotice',
    'floor keeper to node': 'FloorAck',
}


@dataclasses.dataclass
class FaultTrigger:
    """Injects a fault at the first message of a kind.

    :param kind: see `STEPS`
    :param fault: one of `FAULTS`; it returns the deliveries to make instead
    :param remaining_count: number of messages at which to inject the fault
    """

    fleet: fakes.FakeFleet
    kind: str | None
    fault: object
    remaining_count: int = 1

    def arm(self):
        """Inject the fault at the next message of the kind, or now."""
        self.fleet.on_message = self._on_message
        self.fleet.on_fact = self._on_fact
        if self.kind is None:
            self._inject(None, 'e10', 'e10', [])

    def _inject(self, message, sender, receiver, deliveries):
        if self.remaining_count == 0:
            return deliveries
        self.remaining_count -= 1
        return self.fault(self.fleet, message, sender, receiver, deliveries)

    def _on_message(self, message, deliveries):
        if message.kind != self.kind:
            return deliveries
        return self._inject(
            message, message.sender, message.receiver, deliveries
        )

    def _on_fact(self, name, fact):
        is_document = isinstance(fact, blackboards.StoreDocument)
        if self.kind != 'StoreDocument' or not is_document:
            return True
        return bool(self._inject(None, name, name, [(0, None)]))


def sender_crashes(fleet, message, sender, receiver, deliveries):
    fleet.stop(sender)
    fleet.schedule(1.5, fleet.restart, sender)
    return deliveries


def receiver_crashes(fleet, message, sender, receiver, deliveries):
    fleet.stop(receiver)
    fleet.schedule(1.5, fleet.restart, receiver)
    return deliveries


def receiver_crashes_permanently(fleet, message, sender, receiver, deliveries):
    fleet.stop(receiver)
    return deliveries


def receiver_pauses(fleet, message, sender, receiver, deliveries):
    fleet.nodes[receiver].paused_until = fleet.now + 9.0
    return deliveries


def sender_pauses(fleet, message, sender, receiver, deliveries):
    fleet.nodes[sender].paused_until = fleet.now + 9.0
    return deliveries


def message_lost(fleet, message, sender, receiver, deliveries):
    return []


def message_duplicated(fleet, message, sender, receiver, deliveries):
    return deliveries + deliveries


def message_delayed(fleet, message, sender, receiver, deliveries):
    return [(delay + 6.0, changed) for delay, changed in deliveries]


def message_corrupted(fleet, message, sender, receiver, deliveries):
    changed = []
    for delay, item in deliveries:
        if item is not None:
            data = bytearray(item.data)
            data[len(data) // 2] ^= 0x55
            item = dataclasses.replace(item, data=bytes(data))
        changed.append((delay, item))
    return changed


def message_truncated(fleet, message, sender, receiver, deliveries):
    return [
        (
            delay,
            item and dataclasses.replace(item, data=item.data[:-7]),
        )
        for delay, item in deliveries
    ]


def store_down(fleet, message, sender, receiver, deliveries):
    fleet.set_store_down(True)
    return deliveries


def store_down_and_receiver_restarts(
    fleet, message, sender, receiver, deliveries
):
    fleet.set_store_down(True)
    return receiver_crashes(fleet, message, sender, receiver, deliveries)


def store_slow(fleet, message, sender, receiver, deliveries):
    fleet.store.delay_s = 3.0
    return deliveries


def watch_closed(fleet, message, sender, receiver, deliveries):
    fleet.store.are_watches_closed = True
    return deliveries


def _names_in_region(fleet, letter):
    return [name for name in fleet.nodes if name[0] == letter]


def regions_partitioned(fleet, message, sender, receiver, deliveries):
    east, west = _names_in_region(fleet, 'e'), _names_in_region(fleet, 'w')
    fleet.cut(east, west)
    fleet.cut(west, east)
    return deliveries


def receiver_cannot_send(fleet, message, sender, receiver, deliveries):
    others = [name for name in fleet.nodes if name != receiver]
    fleet.cut([receiver], others)
    return deliveries


def zone_isolated(fleet, message, sender, receiver, deliveries):
    zone = [name for name in fleet.nodes if name.startswith(receiver[:2])]
    others = [name for name in fleet.nodes if name not in zone]
    fleet.cut(zone, others)
    fleet.cut(others, zone)
    return deliveries


def clock_jumps_forward(fleet, message, sender, receiver, deliveries):
    fleet.nodes[receiver].clock_offset += 3600.0
    return deliveries


def clock_jumps_backward(fleet, message, sender, receiver, deliveries):
    fleet.nodes[receiver].clock_offset -= 3600.0
    return deliveries


def restart_with_clock_behind(fleet, message, sender, receiver, deliveries):
    fleet.stop(receiver)
    fleet.schedule(1.0, fleet.restart, receiver, -3600.0)
    return deliveries


def third_document_accepted(fleet, message, sender, receiver, deliveries):
    fleet.accept('third')
    return deliveries


def most_nodes_restart(fleet, message, sender, receiver, deliveries):
    for index, name in enumerate(list(fleet.nodes)[2:]):
        fleet.stop(name)
        fleet.schedule(0.5 + 0.1 * index, fleet.restart, name)
    return deliveries


FAULTS = [
    sender_crashes,
    receiver_crashes,
    receiver_crashes_permanently,
    receiver_pauses,
    sender_pauses,
    message_lost,
    message_duplicated,
    message_delayed,
    message_corrupted,
    message_truncated,
    store_down,
    store_down_and_receiver_restarts,
    store_slow,
    watch_closed,
    regions_partitioned,
    receiver_cannot_send,
    zone_isolated,
    clock_jumps_forward,
    clock_jumps_backward,
    restart_with_clock_behind,
    third_document_accepted,
    most_nodes_restart,
]


def make_settled_fleet(seed=0):
    """Return a fleet in which a first document is in force at all nodes."""
    fleet = fakes.FakeFleet(ZONES, seed)
    fleet.accept('first')
    assert fleet.run(20.0, lambda: fleet.has_converged_on(1))
    fleet.run(3.0)
    return fleet


def run_with_faults(step, faults, seed=0, count=1):
    """Accept a second document during faults, end them, and check the fleet.

    :param step: a key of `STEPS`
    :param faults: one or two of `FAULTS`
    :param count: number of messages at which each fault is injected
    """
    fleet = make_settled_fleet(seed)
    triggers = [
        FaultTrigger(fleet, STEPS[step], fault, count) for fault in faults
    ]
    for trigger in triggers:
        trigger.arm()
    if len(triggers) > 1:
        first, second = triggers
        fleet.on_message = lambda m, d: second._on_message(
            m, first._on_message(m, d)
        )
        fleet.on_fact = lambda n, f: (
            first._on_fact(n, f) and second._on_fact(n, f)
        )
    fleet.accept('second')
    fleet.run(FAULT_PERIOD_S)
    fakes.check_invariants(fleet)
    fleet.heal()
    newest = fleet.store.accepted.generation
    has_converged = fleet.run(
        RECOVERY_LIMIT_S, lambda: fleet.has_converged_on(newest)
    )
    assert has_converged, (fleet.generations_in_force(), newest)
    fakes.check_invariants(fleet)
    return fleet


@pytest.mark.parametrize('fault', FAULTS, ids=lambda f: f.__name__)
@pytest.mark.parametrize('step', STEPS)
def test_each_fault_at_each_step(step, fault):
    run_with_faults(step, [fault])


@pytest.mark.parametrize('fault', FAULTS, ids=lambda f: f.__name__)
def test_same_fault_twice(fault):
    run_with_faults('watcher to relay', [fault], count=2)


def _choose_pairs(count):
    """Return a fixed selection of (step, pair of faults)."""
    rng = random.Random(2026)
    pairs = list(itertools.combinations(FAULTS, 2))
    steps = list(STEPS)
    return [(rng.choice(steps), pair) for pair in rng.sample(pairs, count)]


@pytest.mark.parametrize(
    ('step', 'pair'),
    _choose_pairs(60),
    ids=lambda value: (
        value
        if isinstance(value, str)
        else '+'.join(fault.__name__ for fault in value)
    ),
)
def test_pairs_of_faults(step, pair):
    run_with_faults(step, pair)


def relay_forges_content(fleet, message, sender, receiver, deliveries):
    """Replace the content by another document under the same reference."""
    changed = []
    for delay, item in deliveries:
        frame = wire.decode(item.data, sender)
        content, _ = fakes.make_content('forged')
        body = messages.Content(
            frame.body.accepted, dissemination.compress(content)
        )
        data = wire.encode(dataclasses.replace(frame, body=body))
        changed.append((delay, dataclasses.replace(item, data=data)))
    return changed


def test_forged_content_is_refused_and_fetched_elsewhere():
    fleet = run_with_faults('relay to node', [relay_forges_content])
    refusals = [
        event
        for node in fleet.nodes.values()
        for event in node.board.ring.events
        if event.kind == events.Kind.VERSION_REFUSED
    ]
    assert [event.step for event in refusals] == ['take']
    assert refusals[0].peer in fleet.nodes
    assert 'digest-mismatch' in refusals[0].detail


def test_document_waits_until_peers_have_recorded_its_generation():
    """A node whose messages are lost keeps the older document in force.

    Otherwise it would go back to an older document if it restarted, as no
    peer would know the generation that it had applied.
    """
    fleet = make_settled_fleet()
    watcher = next(n for n, node in fleet.nodes.items() if node.is_watching)
    others = [name for name in fleet.nodes if name != watcher]
    for name in others:
        fleet.nodes[name].is_watching = False
    fleet.cut([watcher], others)
    fleet.accept('second')
    fleet.run(1.0)
    assert fleet.nodes[watcher].board.accepted.generation == 2
    assert fleet.nodes[watcher].board.generation_in_force == 1
    fleet.set_store_down(True)
    fleet.stop(watcher)
    fleet.cuts.clear()
    fleet.run(1.0)
    fleet.restart(watcher)
    assert fleet.run(
        20.0, lambda: fleet.nodes[watcher].board.generation_in_force == 1
    )
    fakes.check_invariants(fleet)


def test_restarted_node_waits_for_content_at_its_floor():
    """The content cannot be fetched, as its only holder has restarted.

    Peers know the generation as the node's floor, and the store is down. The
    node must not put an older document in force.
    """
    fleet = make_settled_fleet()
    watcher = next(n for n, node in fleet.nodes.items() if node.is_watching)
    for name in fleet.nodes:
        fleet.nodes[name].is_watching = name == watcher
    # Peers record the floor and receive the reference, but no content.
    fleet.on_message = lambda m, d: [] if m.kind == 'Fetch' else d
    fleet.accept('second')
    assert fleet.run(
        2.0, lambda: fleet.nodes[watcher].board.generation_in_force == 2
    )
    fleet.set_store_down(True)
    fleet.stop(watcher)
    fleet.run(1.0)
    fleet.restart(watcher)
    fleet.run(20.0)
    board = fleet.nodes[watcher].board
    assert board.floor == 2
    assert board.in_force is None
    assert application.staleness(board, fleet.now).is_stale
    fleet.heal()
    assert fleet.run(RECOVERY_LIMIT_S, lambda: fleet.has_converged_on(2))
    fakes.check_invariants(fleet)


def test_restart_of_all_nodes_while_store_is_down():
    """Without any state, the nodes wait until the store is available."""
    fleet = make_settled_fleet()
    fleet.set_store_down(True)
    for name in fleet.nodes:
        fleet.stop(name)
    fleet.run(2.0)
    for name in list(fleet.nodes):
        fleet.restart(name)
    fleet.run(20.0)
    assert set(fleet.generations_in_force().values()) == {0}
    fleet.heal()
    assert fleet.run(RECOVERY_LIMIT_S, lambda: fleet.has_converged_on(1))
    fakes.check_invariants(fleet)


def test_restart_of_zone_while_store_is_down():
    fleet = make_settled_fleet()
    fleet.set_store_down(True)
    zone = [name for name in fleet.nodes if name.startswith('e1')]
    for name in zone:
        fleet.stop(name)
    fleet.run(1.0)
    for name in zone:
        fleet.restart(name)
    assert fleet.run(20.0, lambda: fleet.has_converged_on(1))
    for name in zone:
        assert fleet.nodes[name].board.floor == 1


def test_stale_node_reports_reason():
    fleet = make_settled_fleet()
    fleet.on_message = lambda m, d: [] if m.kind == 'Fetch' else d
    fleet.accept('second')
    fleet.run(3.0)
    stale = [
        application.staleness(node.board, fleet.now)
        for node in fleet.nodes.values()
        if node.board.generation_in_force == 1
    ]
    assert stale
    assert all(s.is_stale for s in stale)
    assert stale[0].reason == 'generation 2 is accepted, 1 is in force'


def test_only_holders_of_document_announce_it():
    """A node that receives an announcement fetches from its sender."""
    fleet = make_settled_fleet()
    sender_holds_document = []

    def record_sender(message, deliveries):
        if message.kind == 'Announce':
            board = fleet.nodes[message.sender].board
            held = board.candidate or board.in_force
            sender_holds_document.append(held.accepted == board.accepted)
        return deliveries

    fleet.on_message = record_sender
    fleet.accept('second')
    assert fleet.run(2.0, lambda: fleet.has_converged_on(2))
    assert sender_holds_document
    assert all(sender_holds_document)
