"""Tests of calls that a stop of a node meets at an awkward moment."""

import dataclasses
import random

import pytest
import trio
import trio.testing

from pumicestand import body_transfers
from pumicestand import fleet as fleets
from pumicestand import hop_messages
from pumicestand import link_meter
from pumicestand import shutdown
from pumicestand_node import body_receiver
from pumicestand_node import frame_streams
from pumicestand_node import link_server
from pumicestand_node import links
from pumicestand_node import mesh_links
from pumicestand_node import mesh_node
from tests import mock_clock
from tests.pumicestand import mesh_fakes
from tests.pumicestand_node import test_mesh_calls
from tests.pumicestand_node import test_mesh_node

Outcome = hop_messages.Outcome
make_node = test_mesh_node.make_node


class SlowWriteStream(trio.abc.HalfCloseableStream):
    """A stream whose writes take a while, as to a client that reads late."""

    def __init__(self, stream, write_s):
        self._stream = stream
        self._write_s = write_s

    async def send_all(self, data):
        await trio.sleep(self._write_s)
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self._stream.wait_send_all_might_not_block()

    async def send_eof(self):
        await self._stream.send_eof()

    async def receive_some(self, max_bytes=None):
        return await self._stream.receive_some(max_bytes)

    async def aclose(self):
        await self._stream.aclose()


def test_a_call_that_is_queued_when_the_stop_ends_is_refused_as_not_run(
    monkeypatch,
):
    """No target has it, so its client may send it again."""

    async def main():
        async with trio.open_nursery() as nursery:
            harness = test_mesh_calls.CallHarness(
                nursery, test_mesh_calls.TargetScript([])
            )
            link_harness = TwoNodes(nursery, monkeypatch, harness.targets)
            await trio.sleep(0.01)
            harness.mesh.send_call = lambda peer, call: (
                link_harness.link.send_call(call)
            )
            harness.targets._queue.set_slots(1)
            harness.script.hangs_on_request_id = b'first'
            nursery.start_soon(harness.send_request, '/o/0', 'POST', 'first')
            await trio.sleep(0.01)
            now = trio.current_time()
            harness.outbound.finish_by(
                shutdown.Schedule(now, now + 0.15, now + 0.2, now + 0.25)
            )
            status, _ = await harness.send_request('/o/1', 'POST', 'second')
            assert harness.script.run_request_ids == [b'first']
            assert status == 503
            nursery.cancel_scope.cancel()

    mock_clock.run(main)


class TwoNodes:
    """A link from one node to another, which has the given target."""

    def __init__(self, nursery, monkeypatch, targets, rate=0.0):
        self.nursery = nursery
        self.targets = targets
        clock = trio.current_time
        self.bodies = body_receiver.BodyReceiver(
            body_transfers.BodyTransfers(rate), clock
        )
        self._rate = rate
        self._fleet = fleets.Fleet('own')
        self.peer = self._fleet.get_or_add('peer', '10.0.0.1', 7000, 0.0)
        self.link = links.Link(
            self.peer,
            lambda: hop_messages.Hello(mesh_fakes.make_report('own')),
            lambda peer, message: self._fleet.apply_report(message, clock()),
            clock,
            random.Random(1),
            link_meter.LinkMeter(0.0),
        )
        monkeypatch.setattr(links.tcp_streams, 'open_stream', self._connect)
        monkeypatch.setattr(links, 'set_tcp_user_timeout', lambda stream: None)
        nursery.start_soon(self.link.run)

    async def _connect(self, host, port):
        own, other = trio.testing.memory_stream_pair()
        self.nursery.start_soon(self._serve, other)
        return own

    async def _serve(self, stream):
        clock = trio.current_time
        await link_server.LinkServer(
            frame_streams.FrameStream(
                stream, 'test', link_meter.LinkMeter(0.0), clock
            ),
            self.targets,
            self.bodies,
            mesh_fakes.make_mesh('peer'),
            lambda server, message: server.frames.send(
                mesh_fakes.make_report('peer', link_rate=self._rate)
            ),
            clock,
        ).run()


def test_no_call_is_placed_again_that_the_stop_breaks_off_at_once(
    monkeypatch, make_node
):
    """Refusing it as not run lets its client send it again."""

    async def test(stopping):
        run_ids = []
        remaining_ms = []

        async def run_call(peer, call):
            run_ids.append(peer.name)
            remaining_ms.append(call.remaining_ms)
            if len(run_ids) == 1:
                await trio.sleep_until(1.0 + 5.06)
                return hop_messages.Result(
                    call.id, Outcome.NOT_HANDED_ON, 'other-version'
                )
            return await trio.sleep_forever()

        mesh = stopping._mesh
        mesh.send_call = run_call
        peer = mesh.fleet.get_or_add('other2', '10.0.0.3', 7000, 0.0)
        report = dataclasses.replace(
            mesh.new_report(hop_messages.Load(slots=9), (), 0.0),
            name='other2',
            target=mesh_fakes.make_target('t2'),
        )
        mesh.fleet.apply_report(report, 0.0)
        peer.is_linked = True
        status, _ = await stopping.send_request(2.2, 'i1', 20.0)
        assert len(run_ids) == 1, remaining_ms
        assert status == 503

    test_mesh_node.run_stopping_node(monkeypatch, make_node, 6.0, test)


class InboundLink:
    """The other node's end of a link to a node that is then stopped.

    :param nursery: runs both ends of the link
    :param node: the `mesh_node.MeshNode`
    :param write_s: time that the node takes for each write to the link
    :param connection: number of the connection
    """

    def __init__(self, nursery, node, write_s=0.0, connection=1):
        self.nursery = nursery
        own, other = trio.testing.memory_stream_pair()
        self.received = []
        self.frames = frame_streams.FrameStream(
            own, 'test', link_meter.LinkMeter(0.0), trio.current_time
        )
        # The link ends with the node.
        node._nursery.start_soon(
            node._links.serve, SlowWriteStream(other, write_s)
        )
        nursery.start_soon(self.frames.run, self.received.append)
        self.frames.send(
            hop_messages.Hello(mesh_fakes.make_report('sender'), connection)
        )

    def outcomes(self):
        return [
            message.outcome
            for message in self.received
            if isinstance(message, hop_messages.Result)
        ]


def run_inbound(monkeypatch, make_node, test, write_s=0.0):
    """Run a test with a node and an `InboundLink` on the mock clock."""

    async def main():
        async with trio.open_nursery() as nursery:
            node = make_node(is_strict=False)
            await nursery.start(test_mesh_node.run_node, node)
            link = InboundLink(nursery, node, write_s)
            await trio.sleep(0.1)
            nursery.start_soon(node.close)
            await test(node, link)
            nursery.cancel_scope.cancel()

    monkeypatch.setattr(mesh_node, 'boot_clock', trio.current_time)
    monkeypatch.setattr(links, 'set_tcp_user_timeout', lambda stream: None)
    mock_clock.run(main)


LARGE_CALL = hop_messages.Call(
    id=1,
    service='s',
    version='',
    instance='',
    method='POST',
    url=b'/',
    headers=b'',
    remaining_ms=4000,
    objective_remaining_ms=4000,
    priority=1,
    route='r',
    request_id='i1',
    is_idempotent=False,
    body=b'x' * 200_000,
)


def send_first_part(link):
    """Send the first part of `LARGE_CALL` and return the rest of its body."""
    size = frame_streams.MAX_PART_BYTES
    body = LARGE_CALL.body
    link.frames.send(
        dataclasses.replace(
            LARGE_CALL, body=body[:size], remaining_bytes=len(body) - size
        )
    )
    return body[size:]


def test_a_stopping_node_refuses_calls_whose_bodies_still_arrive_at_once(
    monkeypatch, make_node
):
    """Their senders would take them to have run, or find no node in time."""

    async def test(node, link):
        await trio.sleep(1.0)
        rest = send_first_part(link)
        await trio.sleep(1.35)
        assert link.outcomes() == [Outcome.NOT_HANDED_ON]
        link.frames.send_body(1, rest)
        await trio.sleep(0.05)
        assert link.outcomes() == [Outcome.NOT_HANDED_ON]

    run_inbound(monkeypatch, make_node, test)


def test_a_stopping_node_sends_large_results_before_it_closes_its_links(
    monkeypatch, make_node
):
    """A target has run the call; its response must not be lost."""

    async def test(node, link):
        async def run(call):
            await trio.sleep(2.35)
            return hop_messages.Result(
                call.id,
                Outcome.ANSWERED,
                status=200,
                body=b'x' * 1_000_000,
                load=hop_messages.Load(slots=9),
            )

        monkeypatch.setattr(node._target_calls, 'run', run)
        link.frames.send(dataclasses.replace(LARGE_CALL, body=b''))
        await trio.sleep(5.0)
        parts = [
            message
            for message in link.received
            if isinstance(message, hop_messages.Part)
        ]
        assert link.outcomes() == [Outcome.ANSWERED]
        assert [part.is_last for part in parts][-1:] == [True]

    # The link carries 32 KiB in 0.03 s, so that the result takes one second.
    run_inbound(monkeypatch, make_node, test, write_s=0.03)


def test_a_call_that_is_cancelled_on_arrival_is_not_run(monkeypatch):
    """The call and its cancellation may be read at once."""

    async def main():
        async with trio.open_nursery() as nursery:
            targets = RecordingTargetCalls()
            harness = TwoNodes(nursery, monkeypatch, targets)
            await trio.sleep(0.01)
            call = dataclasses.replace(LARGE_CALL, body=b'')
            harness.link.send(call)
            harness.link.send(hop_messages.Cancel(call.id))
            await trio.sleep(0.01)
            assert targets.calls == []
            nursery.cancel_scope.cancel()

    mock_clock.run(main)


class RecordingTargetCalls:
    """Records the calls that it is given before it first waits."""

    def __init__(self):
        self.calls = []

    async def run(self, call):
        self.calls.append(call)
        await trio.sleep_forever()


def test_a_call_that_waits_at_a_node_that_closes_is_refused_at_once():
    """It would be refused once a slot is free, too late for other nodes."""

    async def test(harness):
        harness.targets._queue.set_slots(1)
        harness.script.hangs_on_request_id = b'first'
        harness.nursery.start_soon(
            harness.send_request, '/o/0', 'POST', 'first'
        )
        await trio.sleep(0.01)
        results = []

        async def run_second():
            call = dataclasses.replace(
                LARGE_CALL, body=b'', remaining_ms=700, request_id='second'
            )
            results.append(await harness.targets.run(call))

        harness.nursery.start_soon(run_second)
        await trio.sleep(0.01)
        assert harness.targets.in_flight == 2
        harness.targets.refuse_all()
        await trio.sleep(0.05)
        assert [result.code for result in results] == ['stopping']

    test_mesh_calls.run_with_target(test)


@pytest.mark.parametrize('grace', (1.0, 2.0, 3.0, 6.0, 10.0))
def test_a_stop_with_calls_that_do_not_end_leaves_time_for_the_exit(
    monkeypatch, make_node, grace
):
    """The process is killed at the end of the grace period."""

    async def test(stopping):
        stopping.answered_at['i1'] = 100.0
        await stopping.send_request(0.1, 'i1', 20.0)

    ended_at = []
    close = mesh_node.MeshNode.close

    async def timed_close(self):
        started_at = trio.current_time()
        await close(self)
        ended_at.append(trio.current_time() - started_at)

    monkeypatch.setattr(mesh_node.MeshNode, 'close', timed_close)
    test_mesh_node.run_stopping_node(monkeypatch, make_node, grace, test)
    assert ended_at[0] < grace, ended_at


def test_a_nested_call_that_ends_soon_runs_although_its_parent_may_not(
    monkeypatch, make_node
):
    """Refusing it fails its parent, which would have ended in time."""

    async def test(stopping):
        parent = dataclasses.replace(LARGE_CALL, request_id='parent')
        monkeypatch.setitem(
            stopping._node._target_calls._running_calls, 'parent', parent
        )
        # Keeps the node from closing before the nested call arrives.
        stopping.answered_at.update({'other': 100.0, 'parent.1': 3.6})

        async def send_other():
            await stopping.send_request(2.0, 'other', 20.0)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_other)
            status, _ = await stopping.send_request(2.5, 'parent.1', 8.0)
            assert status == 200

    test_mesh_node.run_stopping_node(monkeypatch, make_node, 10.0, test)


def run_parent(stopping):
    """Have the target on the VM of a `StoppingNode` run the call 'parent'."""
    parent = dataclasses.replace(LARGE_CALL, request_id='parent')
    stopping._node._target_calls._running_calls['parent'] = parent


@pytest.mark.parametrize('grace', test_mesh_node.GRACE_PERIODS_S)
@pytest.mark.parametrize('work_ms, status', ((1000.0, 503), (100.0, 200)))
def test_a_nested_call_that_the_stop_would_end_half_way_is_not_passed_on(
    monkeypatch, make_node, grace, work_ms, status
):
    """Its target ended it at the end of the grace, after a part of it."""

    async def test(stopping):
        run_parent(stopping)
        averages = stopping._node._outbound_calls._mean_work_ms
        averages['r'] = work_ms
        sent_at = grace - 1.6
        answered_at = 1.0 + sent_at + work_ms / 1000
        stopping.answered_at.update({'other': 100.0, 'parent.1': answered_at})
        async with trio.open_nursery() as nursery:
            # Keeps the node from closing before the nested call arrives.
            nursery.start_soon(stopping.send_request, 2.0, 'other', 20.0)
            got, ended_at = await stopping.send_request(
                sent_at, 'parent.1', 5.0
            )
        assert got == status
        assert ('parent.1' in stopping.target_deadlines) is (status == 200)
        if status == 503:
            assert ended_at < sent_at + 0.1

    test_mesh_node.run_stopping_node(monkeypatch, make_node, grace, test)


def test_a_nested_call_that_ends_before_its_node_runs_in_any_case(
    monkeypatch, make_node
):
    """What it takes is for its own deadline to bound."""

    async def test(stopping):
        run_parent(stopping)
        stopping._node._outbound_calls._mean_work_ms['r'] = 1000.0
        stopping.answered_at.update({'other': 100.0, 'parent.1': 1 + 4.6})
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stopping.send_request, 2.0, 'other', 20.0)
            status, _ = await stopping.send_request(4.25, 'parent.1', 0.5)
        assert status == 200

    test_mesh_node.run_stopping_node(monkeypatch, make_node, 6.0, test)


async def open_client(stopping, sent_at, request_id):
    """Open a connection now and send a nested call later; return its status.

    The status is 0 if the connection ended without a response.

    :param sent_at: seconds from the stop
    """
    client, server = trio.testing.memory_stream_pair()
    stopping._node._nursery.start_soon(
        stopping._node._client_port.serve, server
    )
    await trio.sleep_until(1.0 + sent_at)
    await client.send_all(
        b'POST / HTTP/1.1\r\nhost: shop.example\r\n'
        b'pumicestand-request-id: %b\r\ncontent-length: 0\r\n'
        b'pumicestand-deadline-ms: 4000\r\n\r\n' % request_id.encode()
    )
    data = await client.receive_some(65_536)
    return int(data.split(b' ')[1]) if data else 0


def test_a_call_that_comes_as_a_node_without_calls_closes_is_not_passed_on(
    monkeypatch, make_node
):
    """It was cut with its connection while it ran at its target."""

    async def test(stopping):
        # Its client has left, and the target goes on with it.
        parent = dataclasses.replace(LARGE_CALL, request_id='parent')
        stopping._node._target_calls._abandon(parent, 100.0)
        stopping.answered_at['parent.1'] = 4.0
        await trio.sleep_until(1.0)
        status = await open_client(stopping, 2.45, 'parent.1')
        assert status == 503
        assert not stopping.target_deadlines

    test_mesh_node.run_stopping_node(monkeypatch, make_node, 6.0, test)


def test_a_target_on_the_vm_of_a_stopping_node_gets_no_call_it_can_not_end():
    """It ended the call half way; another node's target would have run it."""

    async def test(harness):
        harness.targets._queue._route_work_s['r'] = 2.0
        harness.targets.finish_by(trio.current_time() + 1.0)
        call = dataclasses.replace(
            LARGE_CALL,
            headers=b'pumicestand-request-id: i1\r\n',
            body=b'',
            remaining_ms=4000,
        )
        result = await harness.targets.run(call)
        assert result.outcome is Outcome.NOT_HANDED_ON
        assert result.code == 'stopping'
        # The deadline of the call, not the stop, ends this one.
        call = dataclasses.replace(call, remaining_ms=900)
        result = await harness.targets.run(call)
        assert result.outcome is Outcome.ANSWERED
        assert harness.script.run_request_ids == [b'i1']

    test_mesh_calls.run_with_target(test)


def test_a_body_is_not_asked_for_if_the_stop_leaves_no_time_for_its_call():
    """Its sender finds another target the sooner."""

    async def test(harness):
        harness.targets._queue._route_work_s['r'] = 2.0
        harness.targets.finish_by(trio.current_time() + 3.0)
        call = dataclasses.replace(LARGE_CALL, body=b'', remaining_ms=9000)
        assert harness.targets.refuse_before_body(call, 0.1) is None
        result = harness.targets.refuse_before_body(call, 1.0)
        assert result.code == 'stopping'

    test_mesh_calls.run_with_target(test)


def test_error_at_one_call_ends_the_others_in_time_for_the_stop():
    async def main():
        async with trio.open_nursery() as nursery:
            harness = test_mesh_calls.CallHarness(
                nursery,
                test_mesh_calls.TargetScript([], default_step='hang'),
            )
            statuses = []

            async def send(request_id):
                got = await harness.send_request('/o/1', 'POST', request_id)
                statuses.append((trio.current_time() < 0.3, got[0]))

            def withdraw(node, id_, in_s):
                if id_ == 1:
                    raise KeyError('unexpected')

            harness.mesh.withdraw_call = withdraw
            for number in range(2):
                nursery.start_soon(send, f'i{number}')
            await trio.sleep(0.01)
            harness.outbound.finish_by(shutdown.Schedule(0.1, 0.15, 0.2, 0.25))
            await trio.sleep(2)
            nursery.cancel_scope.cancel()
        assert statuses == [(True, 504), (True, 504)]

    mock_clock.run(main)


def test_error_on_one_link_costs_no_other_its_refusals_and_checks():
    refused, checked = [], []

    class Failing:
        peer_name = address = 'failing'

        def refuse_arriving(self):
            raise KeyError('unexpected')

        def check_liveness(self, now):
            raise KeyError('unexpected')

    class Sound:
        peer_name = address = 'sound'

        def refuse_arriving(self):
            refused.append(self)

        def check_liveness(self, now):
            checked.append(self)
            return True

    node_links = mesh_links.MeshLinks(
        mesh_fakes.make_mesh(), None, None, trio.current_time, random.Random(1)
    )
    # A set has no order.
    servers = [Sound(), Failing(), Sound()]
    node_links._link_servers = dict.fromkeys(servers)
    node_links.refuse_arriving()
    node_links._check_liveness(servers, 0.0)
    assert refused == checked == [servers[0], servers[2]]
