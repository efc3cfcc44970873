"""Tests of the content and frequency of the reports of a node."""

import dataclasses
import random

import pytest
import trio
import trio.testing

from pumicestand import hop
from pumicestand import hop_messages
from pumicestand import link_meter
from pumicestand import link_selection
from pumicestand import log
from pumicestand import node_records
from pumicestand import reporting
from pumicestand import target_states
from pumicestand import targets
from pumicestand_node import frame_streams
from pumicestand_node import links
from pumicestand_node import mesh_links
from pumicestand_node import mesh_node
from tests import mock_clock
from tests.pumicestand import mesh_fakes
from tests.pumicestand import test_hop

# Time after a disruption from which a node must act on the newest
# configuration again, in seconds.
STABLE_WINDOW_S = 3.0


class FakeTargetCalls:
    """Returns the load that the test sets."""

    def __init__(self):
        self.current_load = hop_messages.Load(slots=4)
        self.evidence = ()
        self.is_varying = False

    def load(self):
        if self.is_varying:
            self.current_load = dataclasses.replace(
                self.current_load, running=self.current_load.running + 1
            )
        return self.current_load


class FakeFrames:
    """Records the messages sent on one link."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def send_encoded(self, data, kind):
        self.sent.append(hop.decode(data[hop.LENGTH_PREFIX.size :], 'test'))


class FakeDocument:
    routes = ()


class FakeLinkServer:
    def __init__(self):
        self.frames = FakeFrames()
        self.is_cross_zone = False
        self.peer_name = 'peer'
        self.last_call_at = float('-inf')


class Harness:
    """A node that sends reports to some peers."""

    def __init__(self, peer_count=1, evacuation=0.0):
        self.mesh = mesh_fakes.make_mesh(evacuation=evacuation)
        self.target_calls = FakeTargetCalls()
        self.links = mesh_links.MeshLinks(
            self.mesh,
            self.target_calls,
            None,
            trio.current_time,
            random.Random(1),
        )
        self.link_servers = [FakeLinkServer() for _ in range(peer_count)]
        self.links._link_servers.update(self.link_servers)

    @property
    def sent(self):
        return self.link_servers[0].frames.sent


@pytest.fixture
def run_test():
    """Return a function that runs a coroutine function with a harness."""

    def run_with_harness(test, peer_count=1):
        async def main():
            harness = Harness(peer_count)
            async with trio.open_nursery() as nursery:
                await harness.links.start(nursery)
                await test(harness)
                nursery.cancel_scope.cancel()

        mock_clock.run(main)

    return run_with_harness


class RemoteNode:
    """A node that accepts links and tells its generation on each.

    While ``silent_count`` is above the number of a link, counted from 0, the
    node neither hears nor says anything more on it.
    """

    def __init__(self, nursery, name, host):
        self._nursery = nursery
        self._name = name
        self._host = host
        self.generation = 0
        self.silent_count = 0
        self.received = []
        self.link_count = 0

    async def connect(self):
        own, other = trio.testing.memory_stream_pair()
        frames = frame_streams.FrameStream(
            other, 'test', link_meter.LinkMeter(0.0), trio.current_time
        )
        number, self.link_count = self.link_count, self.link_count + 1

        def handle(message):
            if number >= self.silent_count:
                self._handle(frames, message)

        self._nursery.start_soon(frames.run, handle)
        return own

    def _handle(self, frames, message):
        self.received.append(message)
        match message:
            case hop_messages.Hello():
                report = mesh_fakes.make_report(
                    self._name, generation=self.generation
                )
                frames.send(dataclasses.replace(report, host=self._host))
            case hop_messages.Ping(number):
                frames.send(hop_messages.Pong(number))
            case hop_messages.Resume(connection, _, ids):
                frames.send(hop_messages.Resumed(connection, ids))


class LinkedHarness:
    """A node with links to other nodes, checked as often as if idle."""

    def __init__(self, nursery, monkeypatch, names):
        hosts = {name: f'10.0.0.{i}' for i, name in enumerate(names, 2)}
        self.remotes = {
            host: RemoteNode(nursery, name, host)
            for name, host in hosts.items()
        }
        self._records = [
            node_records.NodeRecord(name, host, 7000, 'a')
            for name, host in hosts.items()
        ]
        self.mesh = mesh_fakes.make_mesh()
        self.links = mesh_links.MeshLinks(
            self.mesh,
            FakeTargetCalls(),
            None,
            trio.current_time,
            random.Random(1),
        )
        monkeypatch.setattr(links.tcp_streams, 'open_stream', self._connect)
        monkeypatch.setattr(links, 'set_tcp_user_timeout', lambda stream: None)

    async def _connect(self, host, port):
        return await self.remotes[host].connect()

    async def start(self, nursery):
        await self.links.start(nursery)
        self.links.add_peers(self._records)
        nursery.start_soon(self._check_links)

    async def _check_links(self):
        while True:
            await trio.sleep(mesh_node.IDLE_PERIOD_S)
            self.links.check_links(trio.current_time())

    def silence_links(self):
        """Let nothing pass the present links, without a reset."""
        for remote in self.remotes.values():
            remote.silent_count = remote.link_count


@pytest.fixture
def run_linked(monkeypatch):
    """Return a function that runs a test with a node linked to others."""

    def run_with_harness(test, names):
        async def main():
            async with trio.open_nursery() as nursery:
                harness = LinkedHarness(nursery, monkeypatch, names)
                await harness.start(nursery)
                await trio.sleep(2.0)
                await test(harness)
                nursery.cancel_scope.cancel()

        mock_clock.run(main)

    return run_with_harness


@pytest.mark.parametrize('count', [1, 3, 20])
def test_generation_is_heard_although_idle_links_have_gone_silent(
    run_linked, count
):
    async def test(harness):
        harness.silence_links()
        for remote in harness.remotes.values():
            remote.generation = 9
        await trio.sleep(STABLE_WINDOW_S)
        assert any(
            isinstance(message, hop_messages.FetchConfiguration)
            for remote in harness.remotes.values()
            for message in remote.received
        )

    run_linked(test, [f'n{number}' for number in range(count)])


def test_silent_link_is_replaced_soon_after_a_call_is_sent(
    run_linked, monkeypatch
):
    """Links without calls are not checked more often for that."""
    checks = []
    check_liveness = links.Link.check_liveness

    def count_check(link, now):
        checks.append(now)
        return check_liveness(link, now)

    async def test(harness):
        harness.silence_links()
        call = dataclasses.replace(test_hop.CALL, remaining_bytes=0)
        peer = harness.mesh.fleet.get('n0')
        with trio.fail_after(0.6):
            result = await harness.links.send_call(peer, call)
        assert result.outcome is hop_messages.Outcome.NOT_HANDED_ON
        await trio.sleep(0.1)
        monkeypatch.setattr(links.Link, 'check_liveness', count_check)
        await trio.sleep(10 * mesh_node.IDLE_PERIOD_S)
        assert len(checks) <= 11

    run_linked(test, ['n0'])


def message_types(messages):
    return [type(message).__name__ for message in messages]


def test_change_of_load_only_sends_load(run_test):
    async def test(harness):
        await trio.sleep(0.5)
        harness.target_calls.current_load = hop_messages.Load(
            running=3, slots=4
        )
        await trio.sleep(0.5)
        assert message_types(harness.sent) == ['Report', 'Load']
        assert harness.sent[-1].running == 3

    run_test(test)


def test_unchanged_load_is_sent_rarely(run_test):
    async def test(harness):
        await trio.sleep(2.5 * reporting.UNCHANGED_LOAD_PERIOD_S)
        assert message_types(harness.sent) == ['Report', 'Load', 'Load']

    run_test(test)


def test_other_change_sends_full_report_at_once(run_test):
    async def test(harness):
        await trio.sleep(0.5)
        for change in ('is_leaving', 'store_reachable'):
            value = not getattr(harness.mesh, change)
            setattr(harness.mesh, change, value)
            harness.links.schedule_report()
            await trio.sleep(0.1)
        assert message_types(harness.sent) == ['Report'] * 3
        assert harness.sent[-1].is_leaving

    run_test(test)


def test_full_report_is_repeated_periodically(run_test):
    async def test(harness):
        await trio.sleep(2.2 * reporting.FULL_REPORT_PERIOD_S)
        full_reports = message_types(harness.sent).count('Report')
        assert full_reports == 3

    run_test(test)


def test_roll_out_progress_sends_no_full_report(run_test):
    """The time since the order differs between reports but is no change."""

    async def test(harness):
        order = mesh_fakes.make_order()
        harness.mesh.rollouts.apply_order(order, trio.current_time())
        harness.target_calls.is_varying = True
        await trio.sleep(1.5)
        assert message_types(harness.sent) == ['Report', 'Load', 'Load']

    run_test(test)


def test_roll_out_evidence_is_sent_in_each_report(run_test):
    async def test(harness):
        order = mesh_fakes.make_order()
        harness.mesh.rollouts.apply_order(order, trio.current_time())
        harness.target_calls.evidence = (hop_messages.Evidence('r', 'v1', 5),)
        await trio.sleep(1.5)
        assert message_types(harness.sent) == ['Report'] * 3

    run_test(test)


class FakeLink:
    """A link that this node has opened."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def add_contacts(harness, count, zone='b'):
    """Link the node to nodes of another zone; return the links."""
    added = {}
    for number in range(count):
        report = mesh_fakes.make_report(f'{zone}-{number}', zone=zone)
        harness.mesh.fleet.apply_report(report, 0.0)
        harness.mesh.fleet.get(report.name).is_linked = True
        added[report.name] = FakeLink()
    harness.links._links.update(added)
    return list(added.values())


def test_other_zones_get_only_the_loads_that_they_use():
    """Nodes there that send no calls get none, the others one in three."""

    async def main():
        harness = Harness(peer_count=3)
        same_zone, calling, other = harness.link_servers
        calling.is_cross_zone = other.is_cross_zone = True
        harness.target_calls.is_varying = True
        async with trio.open_nursery() as nursery:
            await harness.links.start(nursery)
            calling.last_call_at = trio.current_time() + 100
            await trio.sleep(6.1)
            nursery.cancel_scope.cancel()
        types = [message_types(s.frames.sent) for s in harness.link_servers]
        assert [t.count('Load') for t in types] == [14, 4, 0]
        assert types[2] == []

    mock_clock.run(main)


def test_other_zones_are_told_a_change_by_two_contacts(run_test):
    async def test(harness):
        contacts = add_contacts(harness, 5)
        await trio.sleep(0.1)
        harness.mesh.is_leaving = True
        harness.links.schedule_report()
        await trio.sleep(0.1)
        told = [c for c in contacts if c.sent]
        assert len(told) == link_selection.CONTACTS_PER_ZONE
        for contact in told:
            assert isinstance(contact.sent[-1], hop_messages.Relay)
            assert contact.sent[-1].report.is_leaving
            assert contact.sent[-1].report.evidence == ()

    run_test(test)


def test_contact_passes_a_change_on_in_its_zone_once():
    async def main():
        harness = Harness(peer_count=3)
        same_zone, other_zone, sender = harness.link_servers
        other_zone.is_cross_zone = sender.is_cross_zone = True
        async with trio.open_nursery() as nursery:
            await harness.links.start(nursery)
            relay = hop_messages.Relay(mesh_fakes.make_report('b-1', 'b'))
            for _ in range(2):
                harness.links._handle_opener_message(sender, relay)
            nursery.cancel_scope.cancel()
        assert message_types(same_zone.frames.sent).count('Relay') == 1
        assert 'Relay' not in message_types(other_zone.frames.sent)
        assert harness.mesh.fleet.get('b-1').target.instance == 'i-b-1'

    mock_clock.run(main)


def test_what_a_contact_passed_on_is_not_passed_on_again(run_test):
    async def test(harness):
        relay = hop_messages.Relay(mesh_fakes.make_report('b-1', 'b'))
        contact = harness.mesh.fleet.get_or_add('a-1', '10.0.0.1', 7000, 0.0)
        harness.links._handle_message(contact, relay)
        assert harness.mesh.fleet.get('b-1') is not None
        assert 'Relay' not in message_types(harness.sent)

    run_test(test)


def test_collector_sends_the_sums_of_its_zone_to_one_contact(run_test):
    """The contacts take turns, as one of them may be frozen."""

    async def test(harness):
        contacts = add_contacts(harness, 2)
        order = mesh_fakes.make_order()
        harness.mesh.rollouts.apply_order(order, trio.current_time())
        harness.target_calls.evidence = (hop_messages.Evidence('r', 'v1', 5),)
        target = mesh_fakes.make_target('own')
        harness.mesh.target_watch.restore(target)
        await trio.sleep(2.1)
        summaries = [
            [m for m in c.sent if isinstance(m, hop_messages.ZoneSummary)]
            for c in contacts
        ]
        assert [len(s) for s in summaries] == [2, 2]
        assert summaries[0][-1].evidence[0].calls == 5
        assert summaries[0][-1].busy == (hop_messages.BusyVersion('v1', 0),)

    run_test(test)


def test_new_generation_is_sent_at_once_and_alone(run_test):
    async def test(harness):
        await trio.sleep(0.5)
        harness.mesh.apply_configuration(7, FakeDocument(), b'', 0.0, 'test')
        harness.links.schedule_report()
        await trio.sleep(0.1)
        assert message_types(harness.sent) == ['Report', 'GenerationUpdate']
        assert harness.sent[-1].generation == 7
        harness.target_calls.is_varying = True
        await trio.sleep(0.5)
        assert message_types(harness.sent)[2:] == ['Load']

    run_test(test)


def test_messages_about_proofs_are_passed_on_and_answered_on_their_link(
    run_test,
):
    """They arrive on links of either direction."""

    async def test(harness):
        received = []

        def receive(message, send):
            received.append(message)
            send(hop_messages.FreshnessReply(message.number, 3, 20))

        harness.links.on_freshness = receive
        harness.mesh.fleet.get_or_add('a-1', '10.0.0.2', 7000, 0.0)
        (contact,) = add_contacts(harness, 1)
        server = harness.link_servers[0]
        request = hop_messages.FreshnessRequest(9)
        harness.links._handle_opener_message(server, request)
        harness.links._handle_message(harness.mesh.fleet.get('b-0'), request)
        assert received == [request, request]
        reply = hop_messages.FreshnessReply(9, 3, 20)
        assert server.frames.sent[-1] == reply
        assert contact.sent == [reply]

    run_test(test)


def test_request_for_a_proof_is_ignored_where_keys_need_none(run_test):
    async def test(harness):
        server = harness.link_servers[0]
        request = hop_messages.FreshnessRequest(9)
        harness.links._handle_opener_message(server, request)
        assert 'FreshnessReply' not in message_types(harness.sent)

    run_test(test)


def test_node_of_another_zone_hears_that_a_target_takes_calls_again():
    """It was refused and sends no calls, so it must be told nevertheless."""

    async def main():
        harness = Harness(peer_count=1)
        (other,) = harness.link_servers
        other.is_cross_zone = True
        async with trio.open_nursery() as nursery:
            await harness.links.start(nursery)
            harness.target_calls.current_load = hop_messages.Load(slots=0)
            await trio.sleep(20.0)
            assert not other.frames.sent
            harness.target_calls.current_load = hop_messages.Load(slots=4)
            await trio.sleep(reporting.MAX_REPORT_PERIOD_S)
            assert [load.slots for load in other.frames.sent] == [4]
            nursery.cancel_scope.cancel()

    mock_clock.run(main)


def make_evacuations(revision, *zones):
    return hop_messages.Evacuations(1, revision, zones)


def run_with_evacuations(test, evacuation=5.0):
    async def main():
        harness = Harness(evacuation=evacuation)
        async with trio.open_nursery() as nursery:
            await harness.links.start(nursery)
            await trio.sleep(0.1)
            await test(harness)
            nursery.cancel_scope.cancel()

    mock_clock.run(main)


def hear_report(harness, sequence, state, **kwargs):
    report = mesh_fakes.make_report(
        'b-0', 'b', sequence=sequence, evacuations=state, **kwargs
    )
    harness.links._apply_report(report)


def test_evacuation_that_is_heard_is_reported_at_once():
    async def test(harness):
        fleet = harness.mesh.fleet
        sent_count = len(harness.sent)
        hear_report(harness, 1, make_evacuations(5, 'b'))
        assert fleet.evacuated_zones == {'b'}
        await trio.sleep(2 * mesh_links.REPORT_COALESCING_S)
        assert harness.sent[-1].evacuations == make_evacuations(5, 'b')
        hear_report(harness, 2, make_evacuations(9))
        assert fleet.evacuated_zones == frozenset()
        await trio.sleep(2 * mesh_links.REPORT_COALESCING_S)
        assert harness.sent[-1].evacuations == make_evacuations(9)
        assert len(harness.sent) == sent_count + 2

    run_with_evacuations(test)


def test_relayed_report_tells_of_an_evacuation():
    """Nodes without links to other zones learn of it from their contacts."""

    async def test(harness):
        report = mesh_fakes.make_report(
            'b-0', 'b', evacuations=make_evacuations(5, 'b')
        )
        harness.links._handle_relayed(hop_messages.Relay(report), False)
        assert harness.mesh.fleet.evacuated_zones == {'b'}

    run_with_evacuations(test)


def test_nodes_that_know_the_same_evacuations_do_not_report_them_again():
    """Each reads them at another position of the store."""

    async def test(harness):
        hear_report(harness, 1, make_evacuations(5))
        await trio.sleep(0.1)
        sent_count = len(harness.sent)
        for sequence, revision in ((2, 7), (3, 9), (4, 3)):
            hear_report(harness, sequence, make_evacuations(revision))
        await trio.sleep(2 * mesh_links.REPORT_COALESCING_S)
        assert len(harness.sent) == sent_count

    run_with_evacuations(test)


def test_node_of_the_evacuated_zone_is_told_so():
    async def test(harness):
        heard = []
        harness.mesh.on_own_zone_changed = heard.append
        hear_report(harness, 1, make_evacuations(5, 'b'))
        hear_report(harness, 2, make_evacuations(6, 'a', 'b'))
        hear_report(harness, 3, make_evacuations(7, 'a'))
        hear_report(harness, 4, make_evacuations(8))
        assert heard == [True, False]

    run_with_evacuations(test)


def test_evacuations_mean_nothing_where_no_zone_is_evacuated():
    async def test(harness):
        hear_report(harness, 1, make_evacuations(5, 'b'))
        assert harness.mesh.fleet.evacuated_zones == frozenset()
        assert harness.mesh.evacuations.state is None
        await trio.sleep(1.0)
        assert all(
            message.evacuations is None
            for message in harness.sent
            if isinstance(message, hop_messages.Report)
        )

    run_with_evacuations(test, evacuation=0.0)


def test_quota_request_is_answered_on_the_link_it_came_on(run_test):
    """A coordinator in another zone may have no link to the node."""

    async def test(harness):
        server = harness.link_servers[0]
        server.peer_name, server.peer_incarnation = 'n1', 7
        server.frames.send = server.frames.sent.append
        handled = []

        class FakeAgent:
            def handle_request(self, name, incarnation, request, send):
                handled.append((name, incarnation))
                send(hop_messages.QuotaReply(request.number))

            def handle_reply(self, name, reply):
                handled.append((name, reply))

        request, reply = (
            hop_messages.QuotaRequest(5, 2),
            hop_messages.QuotaReply(6),
        )
        # A node without quotas ignores it.
        harness.links._handle_opener_message(server, request)
        harness.mesh.quota_agent = FakeAgent()
        harness.links._handle_opener_message(server, request)
        harness.links._handle_opener_message(server, reply)
        assert handled == [('n1', 7), ('n1', reply)]
        assert hop_messages.QuotaReply(5) in server.frames.sent

    run_test(test)


def test_new_coordinator_is_linked_without_waiting_for_the_period(
    run_test, monkeypatch
):
    async def refuse(host, port):
        raise OSError('refused')

    monkeypatch.setattr(links.trio, 'open_tcp_stream', refuse)

    async def test(harness):
        report = mesh_fakes.make_report('far', zone='b', target=None)
        others = [
            mesh_fakes.make_report(f'b{number}', zone='b')
            for number in range(12)
        ]
        now = trio.current_time()
        for item in (report, *others):
            harness.mesh.fleet.apply_relayed_report(item, now)
        harness.links.update_selection()
        assert 'far' not in harness.links._selected_names
        harness.mesh.quota_coordinators = frozenset({'far'})
        harness.links.update_selection()
        assert 'far' in harness.links._selected_names

    run_test(test)


def test_restarted_node_is_told_what_it_reported_of_its_target(run_test):
    """Its own record may be out of reach."""

    async def test(harness):
        leaving = mesh_fakes.make_target(
            'peer', state=target_states.TargetState.GONE
        )
        report = mesh_fakes.make_report('peer', target=leaving)
        harness.links._apply_report(report)
        assert 'Relay' not in message_types(harness.sent)
        restarted = mesh_fakes.make_report('peer', incarnation=2, target=None)
        harness.links._apply_report(restarted)
        assert harness.sent[-1].report.target == leaving
        serving = mesh_fakes.make_report('peer', incarnation=2, sequence=2)
        harness.links._apply_report(serving)
        assert harness.sent[-1].report.target == leaving
        assert harness.mesh.fleet.get('peer').target == leaving

    run_test(test)


def test_what_another_node_remembers_ends_the_wait_for_the_record(run_test):
    async def test(harness):
        watch = harness.mesh.target_watch
        watch.await_history()
        target = mesh_fakes.make_target('own')
        watch.apply(targets.Heartbeat(target, 4), 0.0)
        restored = []
        harness.links.on_target_restored = lambda: restored.append(
            watch.target
        )
        gone = dataclasses.replace(
            target, state=target_states.TargetState.GONE
        )
        relay = hop_messages.Relay(mesh_fakes.make_report('own', target=gone))
        peer = harness.mesh.fleet.get_or_add('a-1', '10.0.0.2', 7000, 0.0)
        harness.links._handle_message(peer, relay)
        assert restored == [gone]

    run_test(test)


def test_restarted_node_is_told_the_requests_that_crashed_its_target(run_test):
    """Nodes that restarted in turn let them through again."""

    async def test(harness):
        suspect = hop_messages.Suspect(7, 1, 0)
        report = mesh_fakes.make_report('peer', suspects=(suspect,))
        harness.links._apply_report(report)
        assert 'Relay' not in message_types(harness.sent)
        restarted = mesh_fakes.make_report('peer', incarnation=2)
        harness.links._apply_report(restarted)
        assert harness.sent[-1].report.suspects == (suspect,)
        count = len(harness.sent)
        told = mesh_fakes.make_report(
            'peer', incarnation=2, sequence=2, suspects=(suspect,)
        )
        harness.links._apply_report(told)
        assert len(harness.sent) == count

    run_test(test)


def test_node_takes_over_what_it_is_told_of_crashes(run_test):
    async def test(harness):
        suspect = hop_messages.Suspect(7, 3, 0)
        report = mesh_fakes.make_report('own', suspects=(suspect,))
        peer = harness.mesh.fleet.get_or_add('a-1', '10.0.0.2', 7000, 0.0)
        harness.links._handle_message(peer, hop_messages.Relay(report))
        assert harness.mesh.suspects.is_refused(7)
        assert harness.mesh.suspects.own_suspects(0.0) == (suspect,)

    run_test(test)


class PortHarness(Harness):
    """A node whose port for links is served, checked as often as if idle."""

    def __init__(self, nursery, monkeypatch):
        super().__init__(peer_count=0)
        monkeypatch.setattr(links, 'set_tcp_user_timeout', lambda stream: None)
        self._nursery = nursery

    @property
    def count(self):
        return len(self.links._link_servers)

    @property
    def names(self):
        return {server.peer_name for server in self.links._link_servers}

    async def start(self):
        await self.links.start(self._nursery)
        self._nursery.start_soon(self._check_links)

    async def _check_links(self):
        while True:
            await trio.sleep(mesh_node.IDLE_PERIOD_S)
            self.links.check_links(trio.current_time())

    async def connect(self):
        """Return the other end of a connection without a hello."""
        own, other = trio.testing.memory_stream_pair()
        self._nursery.start_soon(self.links.serve, own)
        await trio.testing.wait_all_tasks_blocked()
        return other

    async def send_hello(self, stream, name):
        message = hop_messages.Hello(mesh_fakes.make_report(name), 1)
        await stream.send_all(hop.encode(message))
        await trio.testing.wait_all_tasks_blocked()


@pytest.fixture
def run_port(monkeypatch):
    """Return a function that runs a test with a port for links."""

    def run_with_harness(test):
        async def main():
            async with trio.open_nursery() as nursery:
                harness = PortHarness(nursery, monkeypatch)
                await harness.start()
                await test(harness)
                nursery.cancel_scope.cancel()

        mock_clock.run(main)

    return run_with_harness


def test_connection_without_a_hello_is_closed_in_time(run_port):
    async def test(harness):
        streams = [await harness.connect() for _ in range(20)]
        await trio.sleep(4.0)
        assert harness.count == len(streams)
        await trio.sleep(2.0)
        assert not harness.count
        with trio.fail_after(1.0):
            for stream in streams:
                while await stream.receive_some():
                    pass

    run_port(test)


def test_flood_of_connections_keeps_no_link_out(run_port):
    """Neither one that is there nor one that comes meanwhile."""

    async def test(harness):
        await harness.send_hello(await harness.connect(), 'n1')
        flood = [await harness.connect() for _ in range(200)]
        assert harness.count == 33
        late = await harness.connect()
        flood += [await harness.connect() for _ in range(30)]
        await harness.send_hello(late, 'n2')
        flood += [await harness.connect() for _ in range(200)]
        assert harness.count == 34
        assert {'n1', 'n2'} <= harness.names
        await trio.sleep(30.0)
        assert harness.names == {'n1', 'n2'}

    run_port(test)


def test_hello_that_a_frozen_node_reads_late_is_in_time(run_port):
    """Its timers end at the same moment at which it reads."""

    async def test(harness):
        stream = await harness.connect()
        harness.links.check_links(trio.current_time() + 60.0)
        await harness.send_hello(stream, 'n1')
        harness.links.check_links(trio.current_time() + 60.0)
        await trio.sleep(1.0)
        assert harness.names == {'n1'}

    run_port(test)


def test_room_is_made_by_links_that_had_time_for_a_hello(run_port):
    async def test(harness):
        await harness.send_hello(await harness.connect(), 'n1')
        await harness.connect()
        assert not harness.links.close_unidentified()
        await trio.sleep(1.5)
        assert harness.links.close_unidentified()
        await trio.sleep(0.1)
        assert harness.names == {'n1'}
        assert not harness.links.close_unidentified()

    run_port(test)


def test_closed_connections_are_counted_in_few_lines(run_port):
    lines = []

    async def test(harness):
        for _ in range(50):
            await harness.connect()
        await trio.sleep(12.0)
        await harness.connect()
        await trio.sleep(6.0)

    sink = log.logger.add(
        lambda line: lines.append(line.record['extra']),
        filter=lambda record: 'link-unidentified' in str(record['extra']),
    )
    try:
        run_port(test)
    finally:
        log.logger.remove(sink)
    assert [line['count'] for line in lines] == [1, 50]
