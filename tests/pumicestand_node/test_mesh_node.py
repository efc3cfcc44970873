"""Tests of how the components of a node are put together."""

import dataclasses
import errno
import json
import types

import pytest
import trio
import trio.testing

from pumicestand import documents
from pumicestand import hop_messages
from pumicestand import targets
from pumicestand_node import mesh_metrics
from pumicestand_node import mesh_node
from pumicestand_node import mesh_settings
from pumicestand_node import supervision
from pumicestand_platform import main
from pumicestand_platform import settings
from tests import mock_clock
from tests.pumicestand import mesh_fakes
from tests.pumicestand_node import test_listeners
from tests.pumicestand_platform import test_settings


@pytest.fixture
def make_node(monkeypatch):
    """Return a function that makes a node that writes no log."""
    monkeypatch.setattr(
        mesh_node.line_output,
        'standard',
        lambda: types.SimpleNamespace(write=lambda data: 0),
    )

    def make(is_strict, grace=6.0):
        node_settings = settings.parse(test_settings.TEXT)
        bounds = dataclasses.replace(
            node_settings.bounds, is_revocation_strict=is_strict, grace=grace
        )
        node_settings = dataclasses.replace(node_settings, bounds=bounds)
        return mesh_node.MeshNode(
            node_settings, main.make_adapter(node_settings)
        )

    return make


def test_keys_need_proofs_where_revocation_is_strict(make_node):
    """A node that has just started has none."""
    node = make_node(is_strict=True)
    assert not node._outbound_calls.access.is_fresh()
    assert node._links.on_freshness is not None


def test_keys_need_no_proofs_where_revocation_is_not_strict(make_node):
    node = make_node(is_strict=False)
    assert node._freshness is None
    assert node._outbound_calls.access.is_fresh()
    assert node._links.on_freshness is None


def test_connections_of_clients_leave_descriptors_for_all_others(make_node):
    node = make_node(is_strict=False)
    small = dataclasses.replace(node._settings, max_descriptors=150)
    node = mesh_node.MeshNode(small, main.make_adapter(small))
    for index in range(9):
        node._mesh.fleet.apply_report(mesh_fakes.make_report(f'n{index}'), 0.0)
    open_count = 0

    async def test():
        nonlocal open_count
        clients = []
        async with trio.open_nursery() as nursery:
            for _ in range(200):
                client, server = trio.testing.memory_stream_pair()
                clients.append(client)
                nursery.start_soon(node._client_port.serve, server)
                await trio.testing.wait_all_tasks_blocked()
            open_count = node._client_port.connection_count
            nursery.cancel_scope.cancel()

    mock_clock.run(test)
    assert 10 < open_count <= 150 / 2


def test_process_lives_on_if_a_connection_can_not_be_accepted(
    monkeypatch, make_node
):
    node = make_node(is_strict=False)
    served = []

    async def open_listeners(host, port):
        stream, _ = trio.testing.memory_stream_pair()
        steps = [OSError(errno.EIO, 'accept'), stream]
        return [test_listeners.ScriptedListener(steps)]

    async def serve(stream):
        served.append(stream)

    async def main():
        async with trio.open_nursery() as node._nursery:
            await node._listen(mesh_settings.Address('10.0.0.1', 80), serve)
            await trio.sleep(1.0)
            node._nursery.cancel_scope.cancel()

    monkeypatch.setattr(mesh_node.listeners, 'open_listeners', open_listeners)
    mock_clock.run(main)
    assert len(served) == 1
    (_, event, fields) = node._decisions._lines[0]
    assert (event, fields['port']) == ('accept-failed', 80)


def test_first_scrapes_at_once_create_the_metrics_once(monkeypatch, make_node):
    node = make_node(is_strict=False)
    created = []

    class Metrics(mesh_metrics.MeshMetrics):
        def __init__(self, *args):
            created.append(self)
            super().__init__(*args)

    async def main():
        async with trio.open_nursery() as nursery:
            for _ in range(8):
                nursery.start_soon(
                    node._handle_metrics, 'GET', '/metrics', b''
                )

    monkeypatch.setattr(mesh_metrics, 'MeshMetrics', Metrics)
    trio.run(main)
    assert len(created) == 1


def test_a_departure_is_acknowledged_only_once_the_store_has_it(
    monkeypatch, make_node
):
    """A process that restarts before would use the target again."""
    node = make_node(is_strict=False)
    watch = node._mesh.target_watch
    watch.apply(targets.Heartbeat(mesh_fakes.make_target('t'), 1), 0.0)
    is_saved = False

    async def save_own_record():
        return is_saved

    monkeypatch.setattr(node._store, 'save_own_record', save_own_record)

    async def deregister():
        response = await node._handle_control(
            'POST', '/instances/i-t/deregister', b'{}'
        )
        return response.status

    assert trio.run(deregister) == 503
    assert watch.target.is_leaving
    # The target repeats it, although nothing has changed for the node.
    assert trio.run(deregister) == 503
    is_saved = True
    assert trio.run(deregister) == 200


async def send_control(node, path, body=b'{}'):
    """Return the status that the target on the VM gets for a request."""
    response = await node._handle_control('POST', f'/instances/{path}', body)
    return response.status


def test_departure_of_an_unknown_target_is_not_acknowledged(
    monkeypatch, make_node
):
    """Nothing was stored, so that a restarted node would use the target."""
    node = make_node(is_strict=False)
    node._mesh.target_watch.await_history()

    async def save_own_record():
        return True

    monkeypatch.setattr(node._store, 'save_own_record', save_own_record)
    assert trio.run(send_control, node, 'i-t/deregister') == 503
    watch = node._mesh.target_watch
    watch.apply(targets.Heartbeat(mesh_fakes.make_target('t'), 1), 0.0)
    assert trio.run(send_control, node, 'i-t/deregister') == 200
    assert watch.target.is_leaving


def make_heartbeat(service, sequence):
    return json.dumps(
        {
            'address': '10.0.0.9:8080',
            'born': 5,
            'info': {
                'service': service,
                'version': 'v1',
                'zone': 'z',
                'max_concurrency': 9,
            },
            'status': {
                'state': 'ready',
                'sequence': sequence,
                'cold_left_s': 0,
            },
        }
    ).encode()


def test_heartbeat_of_a_service_that_is_not_configured_is_rejected(
    monkeypatch, make_node
):
    """It replaced the target of the VM."""
    node = make_node(is_strict=False)
    own = node._settings.service

    async def save_own_record():
        return True

    monkeypatch.setattr(node._store, 'save_own_record', save_own_record)
    services = (documents.Service('s', (), '', (), (), None),)
    node._mesh.configuration = documents.InForce(
        documents.Accepted(3, ''), documents.Document(services=services), 0.0
    )

    def send(service, sequence):
        body = make_heartbeat(service, sequence)
        return trio.run(send_control, node, 'i-t/heartbeat', body)

    assert send(own, 1) == 200
    assert send('stranger', 99) == 400
    assert node._mesh.target_watch.target.service == own
    assert send(own, 2) == 200
    # A configured service may have taken over the address.
    assert send('s', 3) == 200


def test_departure_of_an_earlier_start_is_not_acknowledged(
    monkeypatch, make_node
):
    """Calls go on to the later start under the same name."""
    node = make_node(is_strict=False)
    target = mesh_fakes.make_target('t', started_ms=200)
    watch = node._mesh.target_watch
    watch.apply(targets.Heartbeat(target, 1), node._clock())

    async def save_own_record():
        return True

    monkeypatch.setattr(node._store, 'save_own_record', save_own_record)
    body = b'{"born": 100}'
    assert trio.run(send_control, node, 'i-t/deregister', body) == 503
    assert not watch.target.is_leaving


GRACE_PERIODS_S = (6.0, 10.0)
CALL_TIMEOUT_S = 30.0


class StoppingNode:
    """A node that is stopped while its clients make calls.

    Each call runs at another node's target, which this class plays.

    :param node: the `mesh_node.MeshNode`
    """

    def __init__(self, node):
        self._node = node
        self._mesh = node._mesh
        self._mesh.send_call = self.run_call
        self.stopped_at = None
        # Time at which the target answers, for each request id.
        self.answered_at = {}
        # Time by which the target is told to end each, from the stop.
        self.target_deadlines = {}
        route = documents.Route(
            name='r',
            host='shop.example',
            path='/',
            methods=(),
            to=(documents.Backend('s', 1),),
            resources=(),
            timeout=CALL_TIMEOUT_S,
            idempotent=False,
            retries=documents.Retries(1, 0.0),
            objective=CALL_TIMEOUT_S,
        )
        self._mesh.configuration = documents.InForce(
            documents.Accepted(3, ''), documents.Document(routes=(route,)), 0.0
        )
        peer = self._mesh.fleet.get_or_add('other', '10.0.0.2', 7000, 0.0)
        report = dataclasses.replace(
            self._mesh.new_report(hop_messages.Load(slots=9), (), 0.0),
            name='other',
            target=mesh_fakes.make_target('t'),
        )
        self._mesh.fleet.apply_report(report, 0.0)
        peer.is_linked = True

    async def run_call(self, peer, call):
        """Return the response of the target when it is due."""
        self.target_deadlines[call.request_id] = (
            trio.current_time() - self.stopped_at + call.remaining_ms / 1000
        )
        await trio.sleep_until(self.answered_at[call.request_id])
        return hop_messages.Result(
            call.id,
            hop_messages.Outcome.ANSWERED,
            status=200,
            reason=b'OK',
            headers=b'',
            body=b'hello',
            load=hop_messages.Load(slots=9),
        )

    async def stop(self):
        """Stop the node like the platform, after one second."""
        await trio.sleep(1.0)
        self.stopped_at = trio.current_time()
        await self._node.close()

    async def send_request(self, sent_at, request_id, timeout_s):
        """Send a request; return (status, seconds from the stop).

        The status is 0 if the connection ended without a response.

        :param sent_at: seconds from the stop
        """
        await trio.sleep_until(1.0 + sent_at)
        client, server = trio.testing.memory_stream_pair()
        self._node._nursery.start_soon(self._node._client_port.serve, server)
        await client.send_all(
            b'POST / HTTP/1.1\r\nhost: shop.example\r\n'
            b'pumicestand-request-id: %b\r\ncontent-length: 0\r\n'
            b'pumicestand-deadline-ms: %d\r\n\r\n'
            % (request_id.encode(), timeout_s * 1000)
        )
        data = b''
        while b'\r\n\r\n' not in data:
            more = await client.receive_some(65_536)
            if not more:
                break
            data += more
        status = int(data.split(b' ')[1]) if data else 0
        return status, trio.current_time() - self.stopped_at


async def run_node(node, task_status=trio.TASK_STATUS_IGNORED):
    """Run the tasks of a node until it has stopped."""
    async with trio.open_nursery() as nursery:
        node._nursery = nursery
        nursery.start_soon(trio.sleep_forever)
        task_status.started()


def run_stopping_node(monkeypatch, make_node, grace, test):
    """Run a test with a `StoppingNode` on the mock clock."""

    async def main():
        async with trio.open_nursery() as nursery:
            node = make_node(is_strict=False, grace=grace)
            await nursery.start(run_node, node)
            stopping = StoppingNode(node)
            async with trio.open_nursery() as steps:
                steps.start_soon(stopping.stop)
                await test(stopping)
            nursery.cancel_scope.cancel()

    monkeypatch.setattr(mesh_node, 'boot_clock', trio.current_time)
    mock_clock.run(main)


@pytest.mark.parametrize('grace', GRACE_PERIODS_S)
def test_a_stop_does_not_break_off_calls_before_the_last_sixth_of_the_grace(
    monkeypatch, make_node, grace
):
    async def test(stopping):
        stopping.answered_at['i1'] = 1.0 + grace * 5 / 6 + 0.1
        status, _ = await stopping.send_request(2.2, 'i1', 20.0)
        assert status == 200

    run_stopping_node(monkeypatch, make_node, grace, test)


@pytest.mark.parametrize('grace', GRACE_PERIODS_S)
def test_a_call_that_outlasts_the_grace_is_answered_before_its_end(
    monkeypatch, make_node, grace
):
    async def test(stopping):
        stopping.answered_at['i1'] = 100.0
        status, answered_at = await stopping.send_request(2.2, 'i1', 20.0)
        assert status == 504
        assert grace * 5 / 6 < answered_at < grace

    run_stopping_node(monkeypatch, make_node, grace, test)


def test_targets_end_calls_that_start_during_the_stop_before_the_node_does(
    monkeypatch, make_node
):
    """The node would break them off and discard what the target has done."""

    async def test(stopping):
        parent = hop_messages.Call(
            1, 's', '', '', 'GET', b'/', b'', 1, 1, 1, 'r', 'parent', True
        )
        monkeypatch.setitem(
            stopping._node._target_calls._running_calls, 'parent', parent
        )
        stopping.answered_at.update({'i1': 5.9, 'parent.1': 5.9})
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stopping.send_request, 2.2, 'i1', 20.0)
            nursery.start_soon(stopping.send_request, 4.5, 'parent.1', 1.0)
        assert set(stopping.target_deadlines) == {'i1', 'parent.1'}
        assert 5.0 < stopping.target_deadlines['i1'] < 5.2
        # Nothing excuses that the node breaks off a call which came late.
        assert 4.7 < stopping.target_deadlines['parent.1'] < 4.9

    run_stopping_node(monkeypatch, make_node, 6.0, test)


@pytest.mark.parametrize('kind', ['rollouts', 'links', 'quota'])
def test_a_controller_that_fails_stalls_no_other(monkeypatch, make_node, kind):
    """Time limits were not enforced and the node did not become ready."""
    node = make_node(is_strict=False)
    enforced = []

    def fail(*args):
        raise KeyError('unexpected')

    match kind:
        case 'rollouts':
            monkeypatch.setattr(node._mesh.rollouts, 'evaluate', fail)
        case 'links':
            monkeypatch.setattr(node._links, 'check_links', fail)
        case 'quota':
            monkeypatch.setattr(node._quota_agent, 'refresh', fail)
    monkeypatch.setattr(node, '_should_be_ready', lambda now: True)
    monkeypatch.setattr(
        node, '_enforce_timeouts', lambda: enforced.append(node._clock())
    )

    async def test():
        node._clock = trio.current_time
        node._timeouts_checked_at = trio.current_time()
        with trio.move_on_after(10):
            await supervision.supervise('test', node._run_controllers)

    mock_clock.run(test)
    assert node._mesh.is_ready
    assert len(enforced) > 10
