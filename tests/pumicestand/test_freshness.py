"""Tests of the proofs that keys can be trusted, by the failures they cover.

A fleet of nodes and a store are simulated in steps of `STEP_S`.
"""

import dataclasses
import random

import pytest

from pumicestand import freshness
from pumicestand import hop_messages

REVOCATION_S = 5.0
TRUST_S = freshness.TRUST_RATIO * REVOCATION_S
STEP_S = 0.01
WATCHERS = ('w0', 'w1', 'w2', 'w3')


class Store:
    """The newest generation, and how the store answers each node."""

    def __init__(self):
        self.generation = 3
        self.era = 1
        self.delay_s = 0.0
        self.is_down = False
        self.unreachable_for = set()
        self.stale_for = set()
        self.read_count = 0

    def read(self, name):
        """Return what a read finds, None if it fails."""
        self.read_count += 1
        if self.is_down or name in self.unreachable_for:
            return None
        generation = self.generation - (name in self.stale_for)
        return freshness.Found(generation, self.era)


@dataclasses.dataclass
class Node:
    """One node; while it is frozen what it receives waits."""

    name: str
    freshness: freshness.Freshness
    generation: int = 3
    plan_at: float = 0.0
    frozen_until: float = 0.0
    clock_offset: float = 0.0
    is_cut_off: bool = False
    is_watcher: bool = False
    inbox: list = dataclasses.field(default_factory=list)
    reads: list = dataclasses.field(default_factory=list)


class Fleet:
    """Simulates nodes that all know each other, and the store.

    Each node has a clock that differs from the others'. Newer configurations
    reach a node only by `Node.generation` or its own reads.
    """

    def __init__(self, count=20, seed=1, watchers=WATCHERS):
        self.now = 100.0
        self.store = Store()
        self.rng = random.Random(seed)
        names = [*watchers, *(f'n{i}' for i in range(count - len(watchers)))]
        self.nodes = {name: self.make_node(name) for name in names}
        self.set_watchers(*watchers)

    def set_watchers(self, *names):
        """Let nodes watch the store; the first one is known to all others."""
        self.first_watcher = names[:1]
        for name in names:
            self.nodes[name].is_watcher = True

    def make_node(self, name):
        return Node(
            name,
            freshness.Freshness(REVOCATION_S, self.rng),
            clock_offset=self.rng.uniform(-1e6, 1e6),
        )

    def clock(self, node):
        return self.now + node.clock_offset

    def is_fresh(self, name):
        node = self.nodes[name]
        return node.freshness.is_fresh(self.clock(node))

    def fresh_names(self):
        return {name for name in self.nodes if self.is_fresh(name)}

    def run(self, seconds):
        """Advance the time; return the names that were fresh throughout."""
        fresh = self.fresh_names()
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for node in self.nodes.values():
                if self.now >= node.frozen_until:
                    self.step(node)
            fresh &= self.fresh_names()
        return fresh

    def step(self, node):
        inbox, node.inbox = node.inbox, []
        for sender, message in inbox:
            self.receive(node, sender, message)
        node.freshness.set_generation(node.generation, self.store.era)
        for due_at, action, found in list(node.reads):
            if self.now < due_at:
                continue
            node.reads.remove((due_at, action, found))
            if found is not None and found.generation > node.generation:
                node.generation = found.generation
                node.freshness.set_generation(node.generation, found.era)
            node.freshness.record_read(action, found, self.clock(node))
            node.plan_at = self.now
        if self.now >= node.plan_at:
            self.plan(node)

    def plan(self, node):
        sources = freshness.Sources(
            watchers=tuple(
                name
                for name in self.first_watcher
                if name != node.name and name in self.nodes
            ),
            others=tuple(
                other.name
                for other in self.nodes.values()
                if other is not node
                and other.name not in self.first_watcher
                and other.name not in self.store.unreachable_for
            ),
        )
        plan = node.freshness.plan(node.is_watcher, sources, self.clock(node))
        node.plan_at = self.now + plan.wait
        for action in plan.actions:
            match action:
                case freshness.Ask(name, number):
                    request = hop_messages.FreshnessRequest(number)
                    self.send(node, name, request)
                case freshness.ReadStore():
                    found = (
                        None if node.is_cut_off else self.store.read(node.name)
                    )
                    due_at = self.now + STEP_S + self.store.delay_s
                    node.reads.append((due_at, action, found))

    def send(self, sender, name, message):
        node = self.nodes.get(name)
        if node and not (node.is_cut_off or sender.is_cut_off):
            node.inbox.append((sender, message))

    def receive(self, node, sender, message):
        match message:
            case hop_messages.FreshnessRequest(number):
                age = node.freshness.age(self.clock(node))
                if age is not None:
                    reply = hop_messages.FreshnessReply(
                        number, node.generation, int(age * 1000) + 1
                    )
                    self.send(node, sender.name, reply)
            case hop_messages.FreshnessReply():
                node.freshness.record_reply(message)


def make_fleet(**options):
    """Return a fleet in which all nodes have obtained a proof."""
    fleet = Fleet(**options)
    fleet.run(3.0)
    assert fleet.fresh_names() == fleet.nodes.keys()
    return fleet


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_proofs_of_91_nodes_cost_few_reads_of_the_store(seed):
    fleet = make_fleet(count=91, seed=seed)
    before = fleet.store.read_count
    assert fleet.run(20.0) == fleet.nodes.keys()
    reads_per_s = (fleet.store.read_count - before) / 20.0
    assert reads_per_s <= 4.5


def test_node_without_a_proof_is_not_fresh():
    node = freshness.Freshness(REVOCATION_S, random.Random(1))
    assert not node.is_fresh(0.0)
    assert node.age(0.0) is None


def test_node_cut_off_is_refused_in_time_and_fresh_again_afterwards():
    fleet = make_fleet()
    node = fleet.nodes['n3']
    node.is_cut_off = True
    cut_off_at = fleet.now
    while fleet.is_fresh('n3'):
        fleet.run(STEP_S)
    assert fleet.now - cut_off_at <= TRUST_S + STEP_S
    fleet.run(20.0)
    assert not fleet.is_fresh('n3')
    node.is_cut_off = False
    fleet.run(0.5)
    assert fleet.is_fresh('n3')


def test_withdrawal_is_known_or_the_node_refuses():
    """Nodes that learn of no change must not trust a key withdrawn in it."""
    fleet = make_fleet(count=30)
    for name in ('n1', 'n2', 'n3', 'n4'):
        fleet.nodes[name].is_cut_off = True
    fleet.nodes['n5'].frozen_until = fleet.now + 4.0
    fleet.store.delay_s = 0.9
    fleet.store.generation = 4
    fleet.run(REVOCATION_S)
    for _ in range(400):
        for name in fleet.fresh_names():
            assert fleet.nodes[name].generation >= 4
        fleet.run(STEP_S)


def test_store_that_turns_away_a_third_is_no_reason_to_refuse():
    """They get their proofs from the others."""
    fleet = make_fleet(count=30)
    refused = {'w0', *(f'n{i}' for i in range(9))}
    fleet.store.unreachable_for = refused
    assert fleet.run(15.0) == fleet.nodes.keys()


def test_store_down_refuses_all_until_it_is_back():
    fleet = make_fleet()
    fleet.store.is_down = True
    fleet.run(TRUST_S + STEP_S)
    assert fleet.fresh_names() == set()
    fleet.run(10.0)
    fleet.store.is_down = False
    fleet.run(2.0)
    assert fleet.fresh_names() == fleet.nodes.keys()


def test_failing_reads_become_rare():
    """Each call to the store costs, also while it is down."""
    fleet = make_fleet()
    fleet.store.is_down = True
    fleet.run(12.0)
    before = fleet.store.read_count
    fleet.run(10.0)
    others = len(fleet.nodes) - len(WATCHERS)
    reads = fleet.store.read_count - before
    # Watchers try every second, the others at half of the longest delay.
    assert reads <= 12 * len(WATCHERS) + others * 10 / (
        freshness.MAX_READ_BACKOFF_S / 2
    )


def test_frozen_node_refuses_until_it_has_a_new_proof():
    """Answers that waited in its socket are as old as their requests."""
    fleet = make_fleet()
    node = fleet.nodes['n3']
    node.plan_at = fleet.now
    fleet.run(3 * STEP_S)
    # Ask, and freeze before the answer is read.
    node.freshness._ask_at = float('-inf')
    fleet.plan(node)
    for other in fleet.nodes.values():
        if other is not node:
            fleet.step(other)
    assert node.inbox
    node.frozen_until = fleet.now + 4.0 + REVOCATION_S
    fleet.store.generation = 4
    fleet.run(4.0 + REVOCATION_S - STEP_S)
    assert not fleet.is_fresh('n3')
    # It has neither the newer configuration nor a valid proof.
    for sender, message in node.inbox:
        fleet.receive(node, sender, message)
    assert not fleet.is_fresh('n3')
    node.inbox = []
    for other in fleet.nodes.values():
        other.generation = 4
    node.generation = 4
    fleet.run(0.05)
    assert fleet.is_fresh('n3')


def test_answer_read_after_4_s_proves_the_moment_of_its_request():
    node = freshness.Freshness(REVOCATION_S, random.Random(1))
    node.set_generation(3, 1)
    plan = node.plan(False, freshness.Sources(watchers=('w',)), 10.0)
    ask, _ = plan.actions
    assert ask.name == 'w'
    reply = hop_messages.FreshnessReply(ask.number, 3, 600)
    assert node.record_reply(reply)
    assert node.age(14.0) == pytest.approx(4.6)
    assert not node.is_fresh(14.0)


def test_started_node_reads_without_waiting_for_answers():
    """After the loss of all nodes, there is nobody to ask for a proof."""
    node = freshness.Freshness(REVOCATION_S, random.Random(1))
    node.set_generation(3, 1)
    _, read = node.plan(False, freshness.Sources(('w',)), 10.0).actions
    assert read == freshness.ReadStore(10.0, 3)


def test_answer_is_used_once_and_only_if_asked_for():
    node = freshness.Freshness(REVOCATION_S, random.Random(1))
    node.set_generation(3, 1)
    ask, _ = node.plan(False, freshness.Sources(('w',)), 10.0).actions
    assert not node.record_reply(
        hop_messages.FreshnessReply(ask.number + 1, 3, 0)
    )
    reply = hop_messages.FreshnessReply(ask.number, 3, 0)
    assert node.record_reply(reply)
    assert not node.record_reply(reply)


def test_older_proof_does_not_replace_a_newer_one():
    node = freshness.Freshness(REVOCATION_S, random.Random(1))
    node.set_generation(3, 1)
    first, second, _ = node.plan(
        False, freshness.Sources(('w',), ('n',)), 10.0
    ).actions
    assert node.record_reply(
        hop_messages.FreshnessReply(second.number, 3, 100)
    )
    assert not node.record_reply(
        hop_messages.FreshnessReply(first.number, 3, 900)
    )
    assert node.age(10.0) == pytest.approx(0.1)


def test_restarted_node_has_no_proof_until_it_has_obtained_one():
    fleet = make_fleet()
    fleet.nodes['n3'] = fleet.make_node('n3')
    assert not fleet.is_fresh('n3')
    fleet.run(0.05)
    assert fleet.is_fresh('n3')


def test_lone_node_reads_the_store_itself():
    fleet = Fleet(count=1, watchers=())
    fleet.run(freshness.ANSWER_WAIT_S + freshness.ANSWER_WAIT_SPREAD_S + 0.1)
    assert fleet.is_fresh('n0')
    before = fleet.store.read_count
    assert fleet.run(20.0) == {'n0'}
    assert fleet.store.read_count - before <= 20.0 / (
        freshness.READ_RATIO * REVOCATION_S
    )


def test_late_answer_of_the_store_proves_the_start_of_the_read():
    fleet = Fleet(count=1, watchers=())
    fleet.store.delay_s = 0.9
    fleet.run(3.0)
    node = fleet.nodes['n0']
    age = node.freshness.age(fleet.clock(node))
    assert age > 0.9
    assert fleet.run(20.0) == {'n0'}


def test_change_that_the_watch_has_not_told_is_found_by_reading():
    fleet = make_fleet()
    fleet.store.generation = 4
    fleet.run(freshness.PERIOD_RATIO * REVOCATION_S * 1.2)
    assert {fleet.nodes[name].generation for name in WATCHERS} == {4}


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_death_of_a_watcher_costs_hardly_any_reads(seed):
    """Other nodes answer until its link is known to be dead."""
    fleet = make_fleet(count=60, seed=seed)
    del fleet.nodes['w0']
    before = fleet.store.read_count
    assert fleet.run(2.0) == fleet.nodes.keys()
    fleet.set_watchers('n0')
    assert fleet.run(10.0) == fleet.nodes.keys()
    assert fleet.store.read_count - before <= 12 * len(WATCHERS) + 5


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_death_of_all_watchers_costs_a_node_one_read(seed):
    fleet = make_fleet(count=60, seed=seed)
    for name in WATCHERS:
        del fleet.nodes[name]
    before = fleet.store.read_count
    assert fleet.run(2.0) == fleet.nodes.keys()
    fleet.set_watchers('n0', 'n1', 'n2', 'n3')
    assert fleet.run(10.0) == fleet.nodes.keys()
    reads = fleet.store.read_count - before
    assert reads <= 12 * len(WATCHERS) + len(fleet.nodes)


def test_fleet_without_watchers_stays_fresh():
    """A node that ranks first may be frozen without being noticed."""
    fleet = make_fleet(count=60)
    for name in WATCHERS:
        del fleet.nodes[name]
    assert fleet.run(10.0) == fleet.nodes.keys()


def test_stale_read_is_no_proof():
    """It finds an earlier generation than the node has."""
    fleet = Fleet(count=1, watchers=())
    fleet.store.stale_for = {'n0'}
    fleet.run(10.0)
    assert not fleet.is_fresh('n0')


def make_reading_node(generation, era):
    """Return a node whose read has started, the read, and its time."""
    node = freshness.Freshness(REVOCATION_S, random.Random(1))
    node.set_generation(generation, era)
    return node, start_read(node, 10.0)


def start_read(node, now):
    (read,) = node.plan(True, freshness.Sources(), now).actions
    return read


@pytest.mark.parametrize(
    ('found', 'is_proof'),
    [
        (freshness.Found(3, 1), True),
        (freshness.Found(2, 1), False),
        # The next generation can't be used: there is none in between.
        (freshness.Found(4, 1), True),
        # One in between was missed and may have withdrawn a key.
        (freshness.Found(5, 1), False),
        # The store has come back from a copy.
        (freshness.Found(2, 2), True),
        (None, False),
    ],
)
def test_read_proves_only_that_no_newer_configuration_was_missed(
    found, is_proof
):
    node, read = make_reading_node(3, 1)
    assert node.record_read(read, found, 10.1) == is_proof
    assert node.is_fresh(10.2) == is_proof
    if is_proof:
        assert node.age(10.2) == pytest.approx(0.2)


def test_unusable_configurations_are_followed_one_by_one():
    node, read = make_reading_node(3, 1)
    for now, generation in ((11.2, 4), (12.4, 5), (13.6, 5)):
        assert node.record_read(read, freshness.Found(generation, 1), now)
        read = start_read(node, now)
    assert not node.record_read(read, freshness.Found(7, 1), 13.7)


def test_earlier_generation_written_after_a_restore_is_not_trusted():
    """The node keeps the later one, which may have a key withdrawn there."""
    node, read = make_reading_node(5, 1)
    assert node.record_read(read, freshness.Found(2, 2), 11.0)
    read = start_read(node, 12.2)
    assert not node.record_read(read, freshness.Found(4, 2), 12.3)


def test_earlier_generation_is_not_trusted_if_the_era_was_not_known():
    """The store may not have come back from a copy."""
    node, read = make_reading_node(5, 0)
    assert not node.record_read(read, freshness.Found(4, 1), 11.0)


def test_configuration_that_came_into_force_during_a_read_is_proved():
    """On some days there are several a second."""
    node, read = make_reading_node(3, 1)
    node.set_generation(4, 1)
    assert node.record_read(read, freshness.Found(3, 1), 10.1)
    assert node.age(10.2) == pytest.approx(0.2)


def test_answer_of_another_generation():
    node = freshness.Freshness(REVOCATION_S, random.Random(1))
    node.set_generation(3, 1)
    sources = freshness.Sources(('w',), ('n',))
    first, second, _ = node.plan(False, sources, 10.0).actions
    # The other node has not heard of the configuration here.
    older = hop_messages.FreshnessReply(first.number, 2, 0)
    assert not node.record_reply(older)
    assert not node.is_fresh(10.0)
    # This node has not heard of the one there; once it has, the proof counts.
    newer = hop_messages.FreshnessReply(second.number, 4, 100)
    assert not node.record_reply(newer)
    assert not node.is_fresh(10.0)
    node.set_generation(4, 1)
    assert node.age(10.0) == pytest.approx(0.1)


@pytest.mark.parametrize('seed', [1, 2])
def test_new_configurations_several_times_a_second_keep_nodes_fresh(seed):
    """Nodes get each one at a different time."""
    fleet = make_fleet(seed=seed)
    generation = 3
    for _ in range(60):
        generation += 1
        fleet.store.generation = generation
        names = list(fleet.nodes)
        fleet.rng.shuffle(names)
        for name in names:
            fleet.nodes[name].generation = generation
            if fleet.rng.random() < 0.5:
                assert fleet.run(STEP_S) == fleet.nodes.keys()
        assert fleet.run(0.1) == fleet.nodes.keys()


def test_overdue_plan_is_noticed_after_the_vm_was_suspended():
    """Timers stand still in that time; calls show that it has passed."""
    node = freshness.Freshness(REVOCATION_S, random.Random(1))
    node.set_generation(3, 1)
    plan = node.plan(False, freshness.Sources(), 10.0)
    assert not node.is_overdue(10.0)
    assert node.is_overdue(10.0 + plan.wait)
