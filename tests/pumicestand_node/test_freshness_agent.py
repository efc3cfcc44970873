"""Tests of obtaining proofs from the stand-in store and other nodes."""

import contextlib
import json
import random

import pytest
import trio

from pumicestand import decision_log
from pumicestand import freshness
from pumicestand import hop_messages
from pumicestand_node import freshness_agent
from pumicestand_platform import objects
from pumicestand_standins import objects as object_store
from tests import mock_clock
from tests.pumicestand import mesh_fakes
from tests.pumicestand_node import test_mesh_store
from tests.pumicestand_platform import test_objects

REVOCATION_S = 5.0
TRUST_S = freshness.TRUST_RATIO * REVOCATION_S
TENANTS = (('acme', ['key-acme'], 1),)


def put_configuration(store, generation, tenants=TENANTS):
    store.put(
        'config',
        'main',
        object_store.make_configuration(
            generation, (), ('s',), 'shop.example', tenants
        ),
    )


class Node(test_mesh_store.Node):
    """A node with its agent; messages reach the others at once.

    ``suspended_s`` is added to its clock, but not to its timers.
    """

    def __init__(self, client, name, peers, seed=1):
        super().__init__(client, name, seed, is_first_start=False)
        self.name = name
        self.peers = peers
        self.suspended_s = 0.0
        self.is_cut_off = False
        self.lines = []
        self.mesh.decisions = decision_log.DecisionLog(
            name, trio.current_time, mesh_fakes.writer_to(self.lines)
        )
        self.agent = freshness_agent.FreshnessAgent(
            self.mesh,
            self.mesh_store,
            self.send_to,
            REVOCATION_S,
            lambda: trio.current_time() + self.suspended_s,
            random.Random(seed),
        )

    def send_to(self, name, message):
        peer = self.peers[name]
        if not (self.is_cut_off or peer.is_cut_off):
            peer.agent.receive(
                message, lambda reply: peer.send_to(self.name, reply)
            )

    def link_to_all(self):
        for name in self.peers.keys() - {self.name}:
            report = mesh_fakes.make_report(name, store_reachable=True)
            self.mesh.fleet.apply_report(report, 0.0)
            self.mesh.fleet.get(name).is_linked = True

    def events(self, event):
        self.mesh.decisions.flush()
        lines = b''.join(self.lines).decode().splitlines()
        return [
            line for line in map(json.loads, lines) if line['event'] == event
        ]


@contextlib.asynccontextmanager
async def open_fleet(*names, tenants=TENANTS):
    """Yield (nodes by name, store) after a configuration was stored."""
    async with test_objects.open_store() as (_, store, backend):
        put_configuration(store, 3, tenants)
        async with trio.open_nursery() as nursery:
            nodes = {}
            for seed, name in enumerate(names):
                client = objects.ObjectClient('store', 80, backend)
                nodes[name] = Node(client, name, nodes, seed)
            for node in nodes.values():
                node.link_to_all()
                target = mesh_fakes.make_target(node.name)
                node.mesh.target_watch.restore(target)
                await node.mesh_store.start(nursery)
                await node.agent.start(nursery)
            yield nodes, store
            nursery.cancel_scope.cancel()
        for node in nodes.values():
            await node.mesh_store.close()


def test_all_nodes_obtain_a_proof_and_keep_it():
    async def main():
        async with open_fleet('a', 'b', 'c', 'd', 'e') as (nodes, _):
            await trio.sleep(3.0)
            for _ in range(100):
                await trio.sleep(0.1)
                for node in nodes.values():
                    assert node.agent.is_fresh()
            for node in nodes.values():
                (event,) = node.events('proof-regained')
                assert event['generation'] == 3
                assert not node.events('proof-lost')
                assert b'key-acme' not in b''.join(node.lines)
            # Three watchers read about once a second, the others ask.
            reads = sum(
                n.agent.counts['read', 'proof'] for n in nodes.values()
            )
            assert reads <= 3 * 13 * 1.15 + len(nodes)
            assert any(
                n.agent.counts['reply', 'newer'] for n in nodes.values()
            )

    mock_clock.run(main)


def test_nothing_is_read_or_asked_without_organisations():
    async def main():
        async with open_fleet('a', 'b', tenants=()) as (nodes, store):
            await trio.sleep(5.0)
            for node in nodes.values():
                assert not node.agent.counts
                assert node.agent.age is None
            put_configuration(store, 4)
            await trio.sleep(1.5)
            for node in nodes.values():
                assert node.agent.is_fresh()

    mock_clock.run(main)


@pytest.mark.parametrize('fault', ['down', 'busy', 'reset', 'silent', 'slow'])
def test_node_without_a_path_to_the_store_distrusts_its_keys_in_time(fault):
    async def main():
        async with open_fleet('a') as (nodes, store):
            node = nodes['a']
            await trio.sleep(3.0)
            if fault == 'slow':
                store.faults.slow_s = 5.0
            else:
                setattr(store.faults, fault, True)
            await trio.sleep(TRUST_S)
            assert not node.agent.is_fresh()
            await trio.sleep(1.1)
            (event,) = node.events('proof-lost')
            assert event['age_s'] >= TRUST_S
            assert node.agent.counts['read', 'failed'] > 1
            store.faults.slow_s = 0.0
            if fault != 'slow':
                setattr(store.faults, fault, False)
            await trio.sleep(freshness.MAX_READ_BACKOFF_S * 1.5)
            assert node.agent.is_fresh()

    mock_clock.run(main)


def test_late_answer_of_the_store_gives_a_proof_as_old_as_the_read():
    async def main():
        async with open_fleet('a') as (nodes, store):
            await trio.sleep(3.0)
            store.faults.slow_s = 0.8
            await trio.sleep(5.0)
            assert nodes['a'].agent.is_fresh()
            assert nodes['a'].agent.age >= 0.8 - 0.01

    mock_clock.run(main)


def test_withdrawal_is_found_although_the_watch_is_silent():
    async def main():
        async with open_fleet('a', 'b', 'c', 'd') as (nodes, store):
            await trio.sleep(3.0)
            store.faults.deaf = True
            put_configuration(store, 4, (('acme', ['key-new'], 1),))
            await trio.sleep(TRUST_S)
            for node in nodes.values():
                assert node.mesh.generation == 4 or not node.agent.is_fresh()
            assert any(node.mesh.generation == 4 for node in nodes.values())

    mock_clock.run(main)


def test_restarted_node_does_not_trust_a_stale_configuration():
    """Its first list of the store may be some seconds old."""

    async def main():
        async with test_objects.open_store() as (client, store, _):
            put_configuration(store, 3)
            store.hold_stale_state()
            put_configuration(store, 4)
            async with trio.open_nursery() as nursery:
                node = Node(client, 'a', {})
                node.peers['a'] = node
                node.mesh.target_watch.restore(mesh_fakes.make_target('a'))
                await node.mesh_store.start(nursery)
                await node.agent.start(nursery)
                seen = set()
                for _ in range(60):
                    await trio.sleep(0.05)
                    fresh = node.agent.is_fresh()
                    seen.add((node.mesh.generation, fresh))
                assert (3, False) in seen
                assert (4, True) in seen
                assert (3, True) not in seen
                nursery.cancel_scope.cancel()

    mock_clock.run(main)


def test_store_that_came_back_from_a_copy_costs_no_calls():
    """It has an older configuration than all nodes, which keep theirs."""

    async def main():
        async with open_fleet('a', 'b', 'c') as (nodes, store):
            await trio.sleep(3.0)
            store.take_copy()
            put_configuration(store, 4)
            await trio.sleep(1.0)
            store.restore()
            for _ in range(100):
                await trio.sleep(0.1)
                for node in nodes.values():
                    assert node.mesh.generation == 4
                    assert node.agent.is_fresh()
            put_configuration(store, 5)
            await trio.sleep(1.5)
            for node in nodes.values():
                assert node.mesh.generation == 5 or not node.agent.is_fresh()

    mock_clock.run(main)


def test_node_turned_away_by_the_store_gets_proofs_of_others():
    async def main():
        async with open_fleet('a', 'b', 'c', 'd', 'e') as (nodes, _):

            async def refuse():
                return None

            for name in ('a', 'b'):
                nodes[name].mesh_store.read_configuration = refuse
            await trio.sleep(3.0)
            for _ in range(100):
                await trio.sleep(0.1)
                for node in nodes.values():
                    assert node.agent.is_fresh()

    mock_clock.run(main)


def test_suspended_node_renews_its_proof_at_the_next_call():
    """Its timers have stood still, but its clock has not."""

    async def main():
        async with open_fleet('a', 'b', 'c', 'd', 'e') as (nodes, _):
            await trio.sleep(3.0)
            node = next(
                n for n in nodes.values() if not n.mesh_store.is_watcher()
            )
            assert node.agent.is_fresh()
            node.suspended_s += 4.6
            assert not node.agent.is_fresh()
            await trio.sleep(0.01)
            assert node.agent.is_fresh()

    mock_clock.run(main)


def test_node_without_a_proof_does_not_answer():
    async def main():
        async with open_fleet('a', 'b') as (nodes, _):
            await trio.sleep(3.0)
            node = nodes['a']
            sent = []
            request = hop_messages.FreshnessRequest(7)
            node.agent.receive(request, sent.append)
            reply = sent.pop()
            assert (reply.number, reply.generation) == (7, 3)
            assert reply.age_ms >= node.agent.age * 1000
            node.suspended_s += REVOCATION_S + 1
            node.agent.receive(request, sent.append)
            assert sent == []

    mock_clock.run(main)


def test_failed_read_does_not_end_the_reading():
    """An error that nobody expected must not leave the node without proofs."""

    async def main():
        async with open_fleet('a') as (nodes, _):
            node = nodes['a']
            read = node.mesh_store.read_configuration
            remaining = [True]

            async def fail_once():
                if remaining:
                    raise ValueError(remaining.pop())
                return await read()

            node.mesh_store.read_configuration = fail_once
            await trio.sleep(4.0)
            assert node.agent.is_fresh()

    mock_clock.run(main)
