"""Tests of each way in which a call may come late in the stop of a node."""

import dataclasses
import socket

import pytest
import trio
import trio.testing

from pumicestand import documents
from pumicestand import hop_messages
from pumicestand import shutdown
from pumicestand_node import mesh_settings
from tests import mock_clock
from tests.pumicestand import mesh_fakes
from tests.pumicestand_node import test_mesh_calls
from tests.pumicestand_node import test_mesh_node
from tests.pumicestand_node import test_node_stop

Outcome = hop_messages.Outcome
make_node = test_mesh_node.make_node
LARGE_CALL = test_node_stop.LARGE_CALL
run_parent = test_node_stop.run_parent


class Client:
    """A client of a `test_mesh_node.StoppingNode` on one connection.

    :param stopping: the `test_mesh_node.StoppingNode`
    """

    def __init__(self, stopping):
        self._stopped_at = 1.0
        self._stream, server = trio.testing.memory_stream_pair()
        self._data = b''
        stopping._node._nursery.start_soon(
            stopping._node._client_port.serve, server
        )

    async def send(self, data, sent_at):
        """Send bytes.

        :param sent_at: seconds from the stop
        """
        await trio.sleep_until(self._stopped_at + sent_at)
        await self._stream.send_all(data)

    async def read_status(self):
        """Return the status of the next response, 0 if there is none.

        Responses have the body of the target or none.
        """
        while b'\r\n\r\n' not in self._data:
            try:
                more = await self._stream.receive_some(65_536)
            except trio.BrokenResourceError:
                return 0
            if not more:
                return 0
            self._data += more
        head, _, self._data = self._data.partition(b'\r\n\r\n')
        length = int(
            head.lower().partition(b'content-length: ')[2].split(b'\r\n')[0]
        )
        while len(self._data) < length:
            self._data += await self._stream.receive_some(65_536)
        self._data = self._data[length:]
        return int(head.split(b' ')[1])


def make_request(request_id, method='POST', body_bytes=0, timeout_s=4.0):
    """Return a request without its body."""
    head = (
        f'{method} / HTTP/1.1\r\nhost: shop.example\r\n'
        f'pumicestand-request-id: {request_id}\r\n'
        f'pumicestand-deadline-ms: {timeout_s * 1000:.0f}\r\n'
    )
    if method == 'POST':
        head += f'content-length: {body_bytes}\r\n'
    return head.encode() + b'\r\n'


def run(monkeypatch, make_node, test, grace=6.0):
    """Run a test beside a call that keeps the node from closing early."""

    async def run_beside_call(stopping):
        stopping.answered_at['long'] = 100.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stopping.send_request, 0.5, 'long', 20.0)
            await test(stopping)

    test_mesh_node.run_stopping_node(
        monkeypatch, make_node, grace, run_beside_call
    )


def add_node(mesh):
    """Add a second other node, with a target that has free slots."""
    report = dataclasses.replace(
        mesh.new_report(hop_messages.Load(slots=9), (), 0.0),
        name='other2',
        target=mesh_fakes.make_target('t2'),
    )
    peer = mesh.fleet.get_or_add('other2', '10.0.0.3', 7000, 0.0)
    mesh.fleet.apply_report(report, 0.0)
    peer.is_linked = True


@pytest.mark.parametrize('sent_at', (2.4, 2.9, 3.1, 4.5, 5.2))
def test_a_late_call_on_a_new_connection_is_refused_as_not_run(
    monkeypatch, make_node, sent_at
):
    async def test(stopping):
        status, answered_at = await stopping.send_request(sent_at, 'i1', 0.5)
        assert status == 503
        assert answered_at < sent_at + 0.05
        assert 'i1' not in stopping.target_deadlines

    run(monkeypatch, make_node, test)


def test_a_kept_connection_takes_no_call_once_the_node_has_closed_its_door(
    monkeypatch, make_node
):
    async def test(stopping):
        stopping.stopped_at = 1.0
        stopping.answered_at['i1'] = 0.8
        client = Client(stopping)
        await client.send(make_request('i1'), -0.5)
        assert await client.read_status() == 200
        # It is closed although no request has come since the stop.
        await trio.sleep_until(1.0 + 2.5)
        with pytest.raises(trio.BrokenResourceError):
            await client.send(make_request('i2'), 2.5)
        assert 'i2' not in stopping.target_deadlines

    run(monkeypatch, make_node, test)


@pytest.mark.parametrize('method', ('GET', 'POST'))
def test_a_late_call_behind_one_that_runs_is_refused_as_not_run(
    monkeypatch, make_node, method
):
    async def test(stopping):
        stopping.answered_at['i1'] = 1.0 + 4.0
        client = Client(stopping)
        await client.send(make_request('i1', 'GET'), 2.0)
        await client.send(make_request('i2', method), 2.5)
        assert await client.read_status() == 200
        assert await client.read_status() == 503
        assert 'i2' not in stopping.target_deadlines

    run(monkeypatch, make_node, test)


@pytest.mark.parametrize('body_at', (2.5, 4.0, 5.2, 5.4))
def test_a_call_whose_body_comes_late_is_refused_as_not_run(
    monkeypatch, make_node, body_at
):
    async def test(stopping):
        client = Client(stopping)
        await client.send(make_request('i1', body_bytes=3), 2.0)
        await client.send(b'ab', 2.1)
        await client.send(b'c', body_at)
        assert await client.read_status() == 503
        assert 'i1' not in stopping.target_deadlines

    run(monkeypatch, make_node, test)


def test_a_body_that_drips_until_the_end_does_not_hold_up_the_stop(
    monkeypatch, make_node
):
    async def test(stopping):
        client = Client(stopping)
        await client.send(make_request('i1', body_bytes=100), 2.0)
        for step in range(30):
            await client.send(b'x', 2.1 + step * 0.1)
        await trio.sleep_until(1.0 + 5.99)
        assert await client.read_status() == 0
        assert 'i1' not in stopping.target_deadlines

    run(monkeypatch, make_node, test)


@pytest.mark.parametrize('grace', test_mesh_node.GRACE_PERIODS_S)
@pytest.mark.parametrize('before_end_s', (0.8, 0.7))
def test_a_nested_call_that_comes_too_late_to_run_is_refused_as_not_run(
    monkeypatch, make_node, grace, before_end_s
):
    """It was sent on with a deadline that had passed."""

    async def test(stopping):
        run_parent(stopping)
        sent_at = grace - before_end_s
        status, answered_at = await stopping.send_request(
            sent_at, 'parent.1', 5.0
        )
        assert status == 503
        assert answered_at < sent_at + 0.05
        assert 'parent.1' not in stopping.target_deadlines

    run(monkeypatch, make_node, test, grace)


def test_a_nested_call_whose_body_comes_too_late_is_refused_as_not_run(
    monkeypatch, make_node
):
    async def test(stopping):
        run_parent(stopping)
        client = Client(stopping)
        await client.send(make_request('parent.1', body_bytes=3), 4.0)
        await client.send(b'abc', 5.08)
        assert await client.read_status() == 503
        assert 'parent.1' not in stopping.target_deadlines

    run(monkeypatch, make_node, test)


def test_calls_of_other_nodes_are_refused_at_the_door_and_those_taken_run():
    async def test(harness):
        results = []

        async def run_call(request_id):
            call = dataclasses.replace(
                LARGE_CALL,
                headers=b'pumicestand-request-id: %b\r\n' % request_id,
                request_id=request_id.decode(),
                body=b'',
            )
            results.append(await harness.targets.run(call))

        harness.targets.finish_by(trio.current_time() + 5.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_call, b'taken')
            await trio.sleep(0.05)
            harness.targets.refuse_all()
            await run_call(b'late')
            assert [result.code for result in results] == ['stopping']
            assert results[0].outcome is Outcome.NOT_HANDED_ON
        assert results[1].outcome is Outcome.ANSWERED
        assert harness.script.run_request_ids == [b'taken']

    test_mesh_calls.run_with_target(test, 'late limit')


def test_a_body_that_begins_to_arrive_after_the_door_closed_is_refused_at_once(
    monkeypatch, make_node
):
    """Its sender learned it with the last part, or not at all."""

    async def test(node, link):
        await trio.sleep(2.35)
        rest = test_node_stop.send_first_part(link)
        await trio.sleep(0.01)
        assert link.outcomes() == [Outcome.NOT_HANDED_ON]
        link.frames.send_body(1, rest)
        await trio.sleep(0.01)
        assert link.outcomes() == [Outcome.NOT_HANDED_ON]

    test_node_stop.run_inbound(monkeypatch, make_node, test)


@pytest.mark.parametrize('work_s, refused_at', ((0.0, 0.24), (0.1, 0.175)))
def test_a_call_that_was_queued_before_the_stop_starts_no_more_near_its_end(
    monkeypatch, work_s, refused_at
):
    """It was answered as if it had run, or started and ended half way."""

    async def main():
        async with trio.open_nursery() as nursery:
            harness = test_mesh_calls.CallHarness(
                nursery, test_mesh_calls.TargetScript([])
            )
            link_harness = test_node_stop.TwoNodes(
                nursery, monkeypatch, harness.targets
            )
            await trio.sleep(0.01)
            link = link_harness.link
            harness.mesh.send_call = lambda peer, call: link.send_call(call)
            harness.mesh.withdraw_call = lambda peer_name, id_, in_s: (
                link.withdraw_call(id_, in_s)
            )
            harness.outbound._mean_work_ms['o'] = work_s * 1000
            harness.targets._queue.set_slots(1)
            harness.script.hangs_on_request_id = b'first'
            answered_at = {}

            async def send(request_id):
                status, _ = await harness.send_request(
                    '/o/0', 'POST', request_id
                )
                answered_at[request_id] = (status, trio.current_time() - now)

            nursery.start_soon(send, 'first')
            await trio.sleep(0.01)
            nursery.start_soon(send, 'second')
            await trio.sleep(0.01)
            assert harness.targets.in_flight == 2
            now = trio.current_time()
            harness.outbound.finish_by(
                shutdown.Schedule(now, now + 0.3, now + 0.4, now + 0.5)
            )
            await trio.sleep(0.5)
            status, at = answered_at['second']
            assert status == 503
            assert at == pytest.approx(refused_at, abs=0.02)
            # One that runs goes on.
            status, at = answered_at['first']
            assert status == 504
            assert at == pytest.approx(0.4, abs=0.02)
            assert harness.script.run_request_ids == [b'first']
            nursery.cancel_scope.cancel()

    mock_clock.run(main)


def test_a_call_that_waits_for_its_quota_as_the_stop_begins_gets_a_response(
    monkeypatch, make_node
):
    """The stop did not limit it, and its connection was cut."""

    async def test(stopping):
        async def take_quota(call):
            await trio.sleep(0.05)

        outbound = stopping._node._outbound_calls
        monkeypatch.setattr(outbound, '_take_quota', take_quota)
        stopping.answered_at['i1'] = 100.0
        stopping.stopped_at = 1.0
        status, answered_at = await stopping.send_request(-0.02, 'i1', 20.0)
        assert status == 504
        assert answered_at < 5.3

    run(monkeypatch, make_node, test)


def test_a_call_that_another_stopping_node_refuses_is_placed_again(
    monkeypatch, make_node
):
    """Both nodes stop, and the door of the other closes first."""

    async def test(stopping):
        mesh = stopping._mesh
        add_node(mesh)
        asked = []
        run_call = mesh.send_call

        async def refuse_first(peer, call):
            if call.request_id != 'i1':
                return await run_call(peer, call)
            asked.append(peer.name)
            if len(asked) == 1:
                await trio.sleep_until(1.0 + 3.2)
                return hop_messages.Result(
                    call.id, Outcome.NOT_HANDED_ON, 'stopping'
                )
            return await run_call(peer, call)

        mesh.send_call = refuse_first
        stopping.answered_at['i1'] = 1.0 + 4.0
        status, _ = await stopping.send_request(2.0, 'i1', 20.0)
        assert status == 200
        assert sorted(asked) == ['other', 'other2']

    run(monkeypatch, make_node, test)


@pytest.mark.parametrize(
    'work_s, status, runs', ((0.1, 200, 2), (1.5, 500, 1))
)
def test_a_failed_call_is_sent_again_only_if_the_stop_leaves_time(
    monkeypatch, make_node, work_s, status, runs
):
    async def test(stopping):
        node = stopping._node
        mesh = stopping._mesh
        configuration = mesh.configuration
        (route,) = configuration.document.routes
        route = dataclasses.replace(
            route, idempotent=True, retries=documents.Retries(2, 1.0)
        )
        mesh.configuration = dataclasses.replace(
            configuration, document=documents.Document(routes=(route,))
        )
        add_node(mesh)
        monkeypatch.setattr(
            mesh.retry_quota, 'try_acquire', lambda *arguments: True
        )
        node._outbound_calls._mean_work_ms['r'] = work_s * 1000
        asked = []
        run_call = mesh.send_call

        async def fail_first(peer, call):
            if call.request_id != 'i1':
                return await run_call(peer, call)
            asked.append(peer.name)
            result = await run_call(peer, call)
            if len(asked) == 1:
                result = dataclasses.replace(result, status=500)
            return result

        mesh.send_call = fail_first
        stopping.answered_at['i1'] = 1.0 + 4.0
        got, _ = await stopping.send_request(2.0, 'i1', 20.0)
        assert got == status
        assert len(asked) == runs

    run(monkeypatch, make_node, test)


def test_a_result_is_kept_for_a_link_that_broke_as_the_last_call_ended(
    monkeypatch, make_node
):
    """The node closed before the link was resumed; the result was lost."""

    async def test(node, link):
        queue = node._target_calls._queue

        async def run_call(call):
            queue._running += 1
            await trio.sleep_until(3.0)
            queue._running -= 1
            return hop_messages.Result(
                call.id,
                Outcome.ANSWERED,
                status=200,
                body=b'x',
                load=hop_messages.Load(slots=9),
            )

        monkeypatch.setattr(node._target_calls, 'run', run_call)
        await trio.sleep_until(1.0)
        link.frames.send(dataclasses.replace(LARGE_CALL, body=b''))
        await trio.sleep_until(2.95)
        link.frames.stop()
        await trio.sleep_until(3.3)
        resumed = test_node_stop.InboundLink(link.nursery, node, connection=2)
        resumed.frames.send(
            hop_messages.Resume(1, node._mesh.incarnation, (LARGE_CALL.id,))
        )
        await trio.sleep(0.1)
        assert resumed.outcomes() == [Outcome.ANSWERED]

    test_node_stop.run_inbound(monkeypatch, make_node, test)


@pytest.mark.parametrize('grace', test_mesh_node.GRACE_PERIODS_S)
def test_a_late_call_gets_the_response_with_which_a_far_target_ends_it(
    monkeypatch, make_node, grace
):
    """The node gave up while the response was on its way."""

    async def test(stopping):
        run_parent(stopping)
        run_call = stopping._mesh.send_call

        async def run_to_deadline(peer, call):
            if call.request_id != 'parent.1':
                return await run_call(peer, call)
            # A round trip between regions, and nodes that are held up.
            await trio.sleep(call.remaining_ms / 1000 + 0.2)
            return hop_messages.Result(
                call.id,
                Outcome.ANSWERED,
                status=500,
                reason=b'Error',
                load=hop_messages.Load(slots=9),
            )

        stopping._mesh.send_call = run_to_deadline
        status, _ = await stopping.send_request(grace - 2, 'parent.1', 5.0)
        assert status == 500

    run(monkeypatch, make_node, test, grace)


def test_a_request_that_waits_to_be_accepted_as_the_port_closes_is_refused(
    make_node,
):
    """Its connection was reset, as the kernel had accepted it already."""

    async def main():
        async with trio.open_nursery() as nursery:
            node = make_node(is_strict=False)
            await nursery.start(test_mesh_node.run_node, node)
            with socket.create_server(('127.0.0.1', 0)) as server:
                address = server.getsockname()
            scope = trio.CancelScope()
            await node._listen(
                mesh_settings.Address(*address), node._client_port.serve, scope
            )
            await trio.testing.wait_all_tasks_blocked()
            # Without a checkpoint, so that the node has not accepted it yet.
            client = socket.create_connection(address)
            client.sendall(make_request('i1'))
            scope.cancel()
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(client))
            data = await stream.receive_some(65_536)
            assert data.startswith(b'HTTP/1.1 503 ')
            with pytest.raises(OSError):
                socket.create_connection(address)
            nursery.cancel_scope.cancel()

    trio.run(main)
