"""The fault matrix: every fault at every step from apply to in force.

One step is the first message (or fact) of a kind after a second document is
accepted; the fault hits that message, its sender or its receiver.
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

ZONES = ('e1', 'e1', 'e2', 'e2', 'w1', 'w1', 'w2', 'w2')
FAULT_S = 12.0
HEALED_S = 25.0

# The step's name and the kind of message at which the fault strikes.
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
class Strike:
    """A fault that strikes once, at the first message of a kind."""

    fleet: fakes.FakeFleet
    kind: str | None
    fault: object
    count: int = 1

    def arm(self):
        """Strike at the next message of the kind, or now."""
        self.fleet.on_message = self._on_message
        self.fleet.on_fact = self._on_fact
        if self.kind is None:
            self._strike(None, 'e10', 'e10', [])

    def _strike(self, message, sender, receiver, deliveries):
        if self.count == 0:
            return deliveries
        self.count -= 1
        return self.fault(self.fleet, message, sender, receiver, deliveries)

    def _on_message(self, message, deliveries):
        if message.kind != self.kind:
            return deliveries
        return self._strike(
            message, message.sender, message.receiver, deliveries
        )

    def _on_fact(self, name, fact):
        is_document = isinstance(fact, blackboards.StoreDocument)
        if self.kind != 'StoreDocument' or not is_document:
            return True
        return bool(self._strike(None, name, name, [(0, None)]))


def sender_dies(fleet, message, sender, receiver, deliveries):
    fleet.stop(sender)
    fleet.schedule(1.5, fleet.restart, sender)
    return deliveries


def receiver_dies(fleet, message, sender, receiver, deliveries):
    fleet.stop(receiver)
    fleet.schedule(1.5, fleet.restart, receiver)
    return deliveries


def receiver_dies_for_good(fleet, message, sender, receiver, deliveries):
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


def message_doubled(fleet, message, sender, receiver, deliveries):
    return deliveries + deliveries


def message_late(fleet, message, sender, receiver, deliveries):
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
    return receiver_dies(fleet, message, sender, receiver, deliveries)


def store_slow(fleet, message, sender, receiver, deliveries):
    fleet.store.delay_s = 3.0
    return deliveries


def watch_closed(fleet, message, sender, receiver, deliveries):
    fleet.store.are_watches_closed = True
    return deliveries


def _region(fleet, letter):
    return [name for name in fleet.nodes if name[0] == letter]


def regions_apart(fleet, message, sender, receiver, deliveries):
    east, west = _region(fleet, 'e'), _region(fleet, 'w')
    fleet.cut(east, west)
    fleet.cut(west, east)
    return deliveries


def one_way_cut(fleet, message, sender, receiver, deliveries):
    others = [name for name in fleet.nodes if name != receiver]
    fleet.cut([receiver], others)
    return deliveries


def zone_cut(fleet, message, sender, receiver, deliveries):
    zone = [name for name in fleet.nodes if name.startswith(receiver[:2])]
    others = [name for name in fleet.nodes if name not in zone]
    fleet.cut(zone, others)
    fleet.cut(others, zone)
    return deliveries


def clock_jumps_ahead(fleet, message, sender, receiver, deliveries):
    fleet.nodes[receiver].clock_offset += 3600.0
    return deliveries


def clock_jumps_back(fleet, message, sender, receiver, deliveries):
    fleet.nodes[receiver].clock_offset -= 3600.0
    return deliveries


def restart_with_clock_behind(fleet, message, sender, receiver, deliveries):
    fleet.stop(receiver)
    fleet.schedule(1.0, fleet.restart, receiver, -3600.0)
    return deliveries


def documents_cross(fleet, message, sender, receiver, deliveries):
    fleet.accept('third')
    return deliveries


def herd_restarts(fleet, message, sender, receiver, deliveries):
    for index, name in enumerate(list(fleet.nodes)[2:]):
        fleet.stop(name)
        fleet.schedule(0.5 + 0.1 * index, fleet.restart, name)
    return deliveries


FAULTS = [
    sender_dies,
    receiver_dies,
    receiver_dies_for_good,
    receiver_pauses,
    sender_pauses,
    message_lost,
    message_doubled,
    message_late,
    message_corrupted,
    message_truncated,
    store_down,
    store_down_and_receiver_restarts,
    store_slow,
    watch_closed,
    regions_apart,
    one_way_cut,
    zone_cut,
    clock_jumps_ahead,
    clock_jumps_back,
    restart_with_clock_behind,
    documents_cross,
    herd_restarts,
]


def settled_fleet(seed=0):
    """Return a fleet in which all nodes act on a first document."""
    fleet = fakes.FakeFleet(ZONES, seed)
    fleet.accept('first')
    assert fleet.run(20.0, lambda: fleet.has_converged_on(1))
    fleet.run(3.0)
    return fleet


def run_case(step, faults, seed=0, count=1):
    """Accept a second document while faults strike; then heal and check."""
    fleet = settled_fleet(seed)
    strikes = [Strike(fleet, STEPS[step], fault, count) for fault in faults]
    for strike in strikes:
        strike.arm()
    if len(strikes) > 1:
        first, second = strikes
        fleet.on_message = lambda m, d: second._on_message(
            m, first._on_message(m, d)
        )
        fleet.on_fact = lambda n, f: (
            first._on_fact(n, f) and second._on_fact(n, f)
        )
    fleet.accept('second')
    fleet.run(FAULT_S)
    fakes.check_invariants(fleet)
    fleet.heal()
    newest = fleet.store.accepted.generation
    reached = fleet.run(HEALED_S, lambda: fleet.has_converged_on(newest))
    assert reached, (fleet.generations_in_force(), newest)
    fakes.check_invariants(fleet)
    return fleet


@pytest.mark.parametrize('fault', FAULTS, ids=lambda f: f.__name__)
@pytest.mark.parametrize('step', STEPS)
def test_each_fault_at_each_step(step, fault):
    run_case(step, [fault])


@pytest.mark.parametrize('fault', FAULTS, ids=lambda f: f.__name__)
def test_the_same_fault_twice(fault):
    run_case('watcher to relay', [fault], count=2)


def _pairs(count):
    """Return a fixed choice of pairs of faults, with a step for each."""
    rng = random.Random(2026)
    pairs = list(itertools.combinations(FAULTS, 2))
    steps = list(STEPS)
    return [(rng.choice(steps), pair) for pair in rng.sample(pairs, count)]


@pytest.mark.parametrize(
    ('step', 'pair'),
    _pairs(60),
    ids=lambda value: (
        value
        if isinstance(value, str)
        else '+'.join(fault.__name__ for fault in value)
    ),
)
def test_pairs_of_faults(step, pair):
    run_case(step, pair)


def relay_lies(fleet, message, sender, receiver, deliveries):
    """Answer with another document under the right reference."""
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


def test_a_lying_relay_is_refused_by_name_and_passed_over():
    fleet = run_case('relay to node', [relay_lies])
    refusals = [
        event
        for node in fleet.nodes.values()
        for event in node.board.ring.events
        if event.kind == events.Kind.VERSION_REFUSED
    ]
    assert [event.step for event in refusals] == ['take']
    assert refusals[0].peer in fleet.nodes
    assert 'digest-mismatch' in refusals[0].detail


def test_nothing_is_acted_on_before_others_have_recorded_it():
    """A node that none can hear must not act, or a restart goes back."""
    fleet = settled_fleet()
    watcher = next(n for n, node in fleet.nodes.items() if node.is_watching)
    others = [name for name in fleet.nodes if name != watcher]
    for name in others:
        fleet.nodes[name].is_watching = False
    fleet.cut([watcher], others)
    fleet.accept('second')
    fleet.run(1.0)
    assert fleet.nodes[watcher].board.accepted.generation == 2
    assert fleet.nodes[watcher].board.acting == 1
    fleet.set_store_down(True)
    fleet.stop(watcher)
    fleet.cuts.clear()
    fleet.run(1.0)
    fleet.restart(watcher)
    assert fleet.run(20.0, lambda: fleet.nodes[watcher].board.acting == 1)
    fakes.check_invariants(fleet)


def test_a_restarted_node_waits_while_its_floor_is_not_to_be_had():
    """All that knew the document are gone and the store is down."""
    fleet = settled_fleet()
    watcher = next(n for n, node in fleet.nodes.items() if node.is_watching)
    for name in fleet.nodes:
        fleet.nodes[name].is_watching = name == watcher
    # Peers record the floor and hear the reference, but get no content.
    fleet.on_message = lambda m, d: [] if m.kind == 'Fetch' else d
    fleet.accept('second')
    assert fleet.run(2.0, lambda: fleet.nodes[watcher].board.acting == 2)
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
    assert fleet.run(HEALED_S, lambda: fleet.has_converged_on(2))
    fakes.check_invariants(fleet)


def test_all_nodes_restart_while_the_store_is_down():
    """Nobody knows anything: they wait, and act once the store answers."""
    fleet = settled_fleet()
    fleet.set_store_down(True)
    for name in fleet.nodes:
        fleet.stop(name)
    fleet.run(2.0)
    for name in list(fleet.nodes):
        fleet.restart(name)
    fleet.run(20.0)
    assert set(fleet.generations_in_force().values()) == {0}
    fleet.heal()
    assert fleet.run(HEALED_S, lambda: fleet.has_converged_on(1))
    fakes.check_invariants(fleet)


def test_a_zone_restarts_while_the_store_is_down():
    fleet = settled_fleet()
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


def test_a_stale_node_knows_it_and_says_why():
    fleet = settled_fleet()
    fleet.on_message = lambda m, d: [] if m.kind == 'Fetch' else d
    fleet.accept('second')
    fleet.run(3.0)
    stale = [
        application.staleness(node.board, fleet.now)
        for node in fleet.nodes.values()
        if node.board.acting == 1
    ]
    assert stale
    assert all(s.is_stale for s in stale)
    assert stale[0].reason == 'generation 2 is accepted, 1 is in force'


def test_only_who_holds_a_document_announces_it():
    """Whoever hears of it fetches it from there, and must get it."""
    fleet = settled_fleet()
    senders = []

    def watch(message, deliveries):
        if message.kind == 'Announce':
            board = fleet.nodes[message.sender].board
            held = board.candidate or board.in_force
            senders.append(held.accepted == board.accepted)
        return deliveries

    fleet.on_message = watch
    fleet.accept('second')
    assert fleet.run(2.0, lambda: fleet.has_converged_on(2))
    assert senders
    assert all(senders)
