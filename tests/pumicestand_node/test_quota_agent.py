"""Tests of the messages about quotas and of the calls that wait for them."""

import functools

import trio

from pumicestand import documents
from pumicestand import hop
from pumicestand import hop_messages
from pumicestand import quotas
from pumicestand_node import mesh_metrics
from pumicestand_node import mesh_node
from pumicestand_node import mesh_settings
from pumicestand_node import quota_agent
from tests import mock_clock
from tests.pumicestand import mesh_fakes
from tests.pumicestand_node import test_mesh_calls

BOUNDS = mesh_settings.MeshBounds(6.0, 0.2, 60.0, 10.0)
TRANSIT_S = 0.001


def make_organisation(rate, burst=0.0):
    keys = frozenset(('key',))
    return documents.Organisation('north', keys, None, rate, burst)


def make_configuration(generation, *organisations, routes=()):
    return documents.InForce(
        documents.Accepted(generation, ''),
        documents.Document(routes=routes, organisations=organisations),
        0.0,
    )


class Node:
    """A node with an agent whose messages the network delivers."""

    def __init__(self, name, network):
        self.name = name
        self.network = network
        self.mesh = mesh_fakes.make_mesh(name)
        self.mesh.are_nodes_listed = True
        self.selections = []
        self.agent = quota_agent.QuotaAgent(
            self.mesh,
            BOUNDS,
            self.send_to,
            lambda: self.selections.append(self.mesh.quota_coordinators),
            trio.current_time,
        )
        self.notes = []
        self.mesh.decisions.note = lambda event, **fields: self.notes.append(
            (event, fields)
        )

    def know(self, names):
        for name in names:
            report = mesh_fakes.make_report(name)
            self.mesh.fleet.apply_report(report, trio.current_time())
            self.mesh.fleet.get(name).is_linked = True

    def send_to(self, name, message):
        self.network.deliver(self, name, message)

    async def refresh_all_the_time(self):
        while True:
            self.agent.refresh(trio.current_time())
            await trio.sleep(mesh_node.IDLE_PERIOD_S)

    async def call(self, rate, burst=0.0):
        organisation = make_organisation(rate, burst)
        return await self.agent.admit(organisation, trio.current_time())


class Network:
    """Delivers encoded messages between nodes after a while."""

    def __init__(self, nursery, count):
        self.nursery = nursery
        self.nodes = {f'n{i}': Node(f'n{i}', self) for i in range(count)}
        self.silent = set()
        self.messages = []

    def deliver(self, sender, name, message):
        self.messages.append(message)
        if name not in self.silent:
            frame = hop.encode(message)[hop.LENGTH_PREFIX.size :]
            decoded = hop.decode(frame, 'test')
            self.nursery.start_soon(self.transmit, sender, name, decoded)

    async def transmit(self, sender, name, message):
        await trio.sleep(TRANSIT_S)
        node = self.nodes[name]
        match message:
            case hop_messages.QuotaRequest():
                node.agent.handle_request(
                    sender.name,
                    1,
                    message,
                    lambda reply: node.send_to(sender.name, reply),
                )
            case hop_messages.QuotaReply():
                node.agent.handle_reply(sender.name, message)

    def coordinator(self):
        (name,) = self.nodes['n0'].agent.coordinators
        return self.nodes[name]

    def other(self):
        """Return a node that does not coordinate."""
        coordinator = self.coordinator()
        return next(n for n in self.nodes.values() if n is not coordinator)


def run_network(test, count=3, rate=100.0, burst=20.0):
    """Run a test with nodes that have a configuration with a quota.

    :param rate: calls a second, None for a configuration without quotas
    """

    async def main():
        async with trio.open_nursery() as nursery:
            network = Network(nursery, count)
            for node in network.nodes.values():
                node.know(network.nodes)
                limits = [make_organisation(rate, burst)] if rate else []
                node.mesh.configuration = make_configuration(1, *limits)
                nursery.start_soon(node.agent.run)
                nursery.start_soon(node.refresh_all_the_time)
            await test(network)
            nursery.cancel_scope.cancel()

    mock_clock.run(main)


def test_nothing_is_sent_or_linked_without_quotas():
    """Fleets without organisations would pay for what they don't use."""

    async def test(network):
        await trio.sleep(5)
        assert not network.messages
        for node in network.nodes.values():
            assert not node.selections
            assert not node.notes
            assert await node.call(0.0) == quotas.Admitted()

    run_network(test, rate=None)


def test_all_nodes_delegate_to_the_same_coordinator_and_link_to_it():
    async def test(network):
        await trio.sleep(2)
        names = {n.agent.coordinators for n in network.nodes.values()}
        assert len(names) == 1
        for node in network.nodes.values():
            assert node.selections == [frozenset(next(iter(names)))] or (
                node.selections == [frozenset(*names)]
            )
            taken = [n for n in node.notes if n[0].endswith('taken')]
            assert len(taken) == 1

    run_network(test)


def test_calls_of_all_nodes_share_the_rate():
    async def test(network):
        await trio.sleep(2)
        admitted = 0
        start = trio.current_time()
        while trio.current_time() < start + 4:
            for node in network.nodes.values():
                match await node.call(100.0, 20.0):
                    case quotas.Admitted():
                        admitted += 1
                    case quotas.Refused(retry_after):
                        assert 0 < retry_after <= 5
            await trio.sleep(0.005)
        assert 0.97 * 400 <= admitted <= 400 + 22

    run_network(test)


def test_calls_are_refused_at_once_when_the_coordinator_is_silent():
    """Each call would wait as long as for a lost reply."""

    async def test(network):
        await trio.sleep(2)
        node = network.other()
        network.silent.add(network.coordinator().name)
        await node.call(100.0, 20.0)
        await trio.sleep(0.06)
        waits = []
        for _ in range(20):
            before = trio.current_time()
            await node.call(100.0, 20.0)
            waits.append(trio.current_time() - before)
        assert max(waits) <= quotas.MAX_WAIT_S
        assert sum(waits) <= 2 * quotas.MAX_WAIT_S

    run_network(test, rate=2.0, burst=0.0)


def test_silent_coordinator_is_replaced():
    async def test(network):
        await trio.sleep(2)
        node, former = network.other(), network.coordinator()
        network.silent.add(former.name)
        await trio.sleep(3.5)
        assert node.agent.coordinators != (former.name,)
        events = [event for event, _ in node.notes]
        assert events == [
            'quota-coordinator-taken',
            'quota-coordinator-lost',
            'quota-coordinator-taken',
        ]

    run_network(test)


def test_coordinator_without_a_link_is_replaced_after_its_delegation():
    async def test(network):
        await trio.sleep(2)
        node, former = network.other(), network.coordinator()
        peer = node.mesh.fleet.get(former.name)
        peer.is_linked = False
        peer.unreachable_since = trio.current_time()
        states = [node.agent.coordinators]
        for _ in range(60):
            await trio.sleep(0.05)
            if node.agent.coordinators != states[-1]:
                states.append(node.agent.coordinators)
        # Between the two, the former one may still use the share.
        (successor,) = states[-1]
        assert states == [(former.name,), (), (successor,)]
        assert successor != former.name

    run_network(test)


def test_lowered_quota_is_in_force_at_once():
    async def test(network):
        await trio.sleep(3)
        for node in network.nodes.values():
            node.mesh.configuration = make_configuration(
                2, make_organisation(2.0, 1.0)
            )
        admitted = 0
        for _ in range(100):
            for node in network.nodes.values():
                decision = await node.call(2.0, 1.0)
                admitted += decision == quotas.Admitted()
            await trio.sleep(0.01)
        assert admitted <= 10

    run_network(test, rate=300.0, burst=200.0)


def test_removed_quota_ends_the_waits_and_messages():
    async def test(network):
        await trio.sleep(2)
        node = network.other()
        node.mesh.configuration = make_configuration(2)
        assert await node.call(100.0) == quotas.Admitted()
        assert node.mesh.quota_coordinators == frozenset()
        assert not node.agent.is_active

    run_network(test)


def test_starting_node_does_not_use_the_rate_of_a_fleet_it_does_not_know():
    """With few known nodes, its share would be most of the rate."""

    async def test(network):
        node = network.nodes['n0']
        node.mesh.are_nodes_listed = False
        await trio.sleep(1.5)
        assert isinstance(await node.call(500.0), quotas.Refused)
        await trio.sleep(2.5)
        assert await node.call(500.0) == quotas.Admitted()

    run_network(test, count=1, rate=500.0)


def run_calls(test, *steps, rate=2.0):
    """Run a test of calls through a node whose clients have a quota."""

    async def with_quota(harness):
        organisation = make_organisation(rate, 0.0)
        harness.mesh.are_nodes_listed = True
        harness.mesh.quota_agent = quota_agent.QuotaAgent(
            harness.mesh,
            BOUNDS,
            None,
            lambda: None,
            trio.current_time,
        )
        routes = harness.mesh.configuration.document.routes
        harness.mesh.configuration = make_configuration(
            4, organisation, routes=routes
        )
        harness.send_request = functools.partial(
            harness.send_request, extra=b'x-api-key: key\r\n'
        )
        harness.nursery.start_soon(harness.mesh.quota_agent.run)
        await test(harness)

    test_mesh_calls.run_with_target(with_quota, *steps)


def test_call_over_the_quota_is_answered_429_as_not_run():
    async def test(harness):
        statuses = []
        for _ in range(30):
            status, data = await harness.send_request()
            statuses.append(status)
            if status == 429:
                head = data.lower()
                assert b'pumicestand-not-executed' in head or (
                    b'not-run' in head
                )
                value = head.partition(b'retry-after: ')[2].split(b'\r\n')[0]
                assert 0 < float(value) <= 5
            await trio.sleep(0.1)
        assert 4 <= statuses.count(200) <= 8
        assert statuses.count(200) + statuses.count(429) == 30
        assert len(harness.script.run_request_ids) == statuses.count(200)

    run_calls(test)


def test_token_of_a_call_that_no_target_ran_is_returned():
    """Calls below the quota would be refused after a fault of targets."""

    async def test(harness):
        await harness.send_request()
        await trio.sleep(1.0)
        status, _ = await harness.send_request('/o/1')
        assert status == 503
        counts = harness.mesh.quota_agent.counts
        assert counts[('returned', 'north')] == 1
        status, _ = await harness.send_request()
        assert status == 200

    run_calls(test, test_mesh_calls.NOT_RUN_RESPONSE)


def test_operators_see_admitted_and_refused_calls_by_organisation():
    async def test(harness):
        for _ in range(3):
            await harness.send_request()
        node_metrics = mesh_metrics.MeshMetrics(
            harness.mesh, harness.outbound, harness.targets, trio.current_time
        )
        lines = [
            line
            for line in node_metrics.text().decode().splitlines()
            if line.startswith('pumicestand_quota_total')
        ]
        assert any('"refused"' in line for line in lines)
        assert all('organisation="north"' in line for line in lines)

    run_calls(test)
