"""Tests of calls to a target whose availability zone is evacuated."""

import trio

from pumicestand import hop_messages
from pumicestand_node import target_calls
from tests.pumicestand import mesh_fakes
from tests.pumicestand_node import test_mesh_calls
from tests.pumicestand_node import test_target_coldness

Outcome = hop_messages.Outcome


def add_node_of_other_zone(harness):
    """Link a node of zone ``b``; return the list of the calls it gets."""
    received = []

    async def send_call(peer, call):
        if peer.name == 'own':
            return await harness.targets.run(call)
        received.append(call.request_id)
        return hop_messages.Result(
            call.id,
            Outcome.ANSWERED,
            status=200,
            body=b'hello',
            load=hop_messages.Load(slots=4),
        )

    harness.mesh.send_call = send_call
    report = mesh_fakes.make_report('n-b', zone='b')
    harness.mesh.fleet.apply_report(report, 0.0)
    harness.mesh.fleet.get('n-b').is_linked = True
    return received


def test_target_of_an_evacuated_zone_gets_no_new_call():
    async def test(harness):
        harness.targets.set_evacuated(True)
        assert harness.targets.load().slots == 0
        result = await harness.targets.run(test_target_coldness.make_call(1))
        assert result.outcome is Outcome.NOT_HANDED_ON
        assert result.code == target_calls.EVACUATED
        assert harness.script.connect_count == 0
        harness.targets.set_evacuated(False)
        assert harness.targets.load().slots == 4
        result = await harness.targets.run(test_target_coldness.make_call(2))
        assert result.outcome is Outcome.ANSWERED

    test_mesh_calls.run_with_target(test)


def test_waiting_calls_are_refused_and_running_ones_go_on():
    async def test(harness):
        harness.script.default_step = 'late limit'
        results = []

        async def run_call(number):
            results.append(
                await harness.targets.run(
                    test_target_coldness.make_call(number)
                )
            )

        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(run_call, number)
            await trio.sleep(0.05)
            harness.targets.set_evacuated(True)
            await trio.sleep(0.01)
            assert {result.code for result in results} == {
                target_calls.EVACUATED
            }
            assert len(results) == 2
        assert [r.outcome for r in results[2:]] == [Outcome.ANSWERED] * 4
        assert len(harness.script.request_heads) == 4

    test_mesh_calls.run_with_target(test)


def test_call_whose_connection_is_opened_meanwhile_is_not_sent():
    async def test(harness):
        connect = harness.connect

        async def connect_slowly(host, port):
            await trio.sleep(0.1)
            return await connect(host, port)

        harness.targets._pool._connect = connect_slowly
        async with trio.open_nursery() as nursery:
            nursery.start_soon(evacuate_soon, harness)
            result = await harness.targets.run(
                test_target_coldness.make_call(1)
            )
        assert result.outcome is Outcome.NOT_HANDED_ON
        assert result.code == target_calls.EVACUATED
        await trio.sleep(0.1)
        assert not harness.script.request_heads

    async def evacuate_soon(harness):
        await trio.sleep(0.05)
        harness.targets.set_evacuated(True)

    test_mesh_calls.run_with_target(test)


def test_refused_call_is_placed_in_another_zone():
    """It is still in time there, so the client need not notice."""

    async def test(harness):
        received = add_node_of_other_zone(harness)
        # The node has not heard of it yet; the one beside the target has.
        harness.targets.set_evacuated(True)
        status, _ = await harness.send_request('/o/1', 'POST')
        assert status == 200
        assert received == ['i1']

    test_mesh_calls.run_with_target(test)


def test_nested_call_of_a_target_there_goes_to_another_zone():
    async def test(harness):
        received = add_node_of_other_zone(harness)
        harness.targets._running_calls['parent'] = (
            test_target_coldness.make_call(1)
        )
        harness.targets.set_evacuated(True)
        harness.mesh.fleet.set_evacuated_zones(frozenset('a'))
        status, _ = await harness.send_request(request_id='parent.1')
        assert status == 200
        assert received == ['parent.1']
        assert (
            harness.targets.counts[('not_handed_on', target_calls.EVACUATED)]
            == 0
        )

    test_mesh_calls.run_with_target(test)
