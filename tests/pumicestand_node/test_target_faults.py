"""Tests of responses that a faulty target repeats, splits or cuts short.

Each is cut at each byte, so that no position is left out.
"""

import functools

import pytest
import trio

from pumicestand import hop_messages
from tests.pumicestand_node import test_mesh_calls

REFUSAL = test_mesh_calls.NOT_RUN_RESPONSE
OK_RESPONSE = test_mesh_calls.OK_RESPONSE
CHUNKED_RESPONSE = test_mesh_calls.CHUNKED_HEAD + b'5\r\nhello\r\n0\r\n\r\n'
RESPONSES = {
    'refusal': REFUSAL,
    'length': OK_RESPONSE,
    'chunks': CHUNKED_RESPONSE,
    'error': test_mesh_calls.SERVER_ERROR,
}
CUT_POSITIONS = [
    (name, position)
    for name, response in RESPONSES.items()
    for position in range(len(response))
]
COPY_POSITIONS = range(1, len(REFUSAL) + 1)


def format_response(response, request_id):
    return response.replace(b'%b', request_id)


def run_scripted(test, respond, harness_type=test_mesh_calls.CallHarness):
    """Run a test with a target whose responses a function writes.

    :param respond: coroutine function (stream, number of the request, its
        id) that returns whether the connection is kept
    """

    class Harness(harness_type):
        async def play_step(self, stream, request_id):
            self.script.run_request_ids.append(request_id)
            number = len(self.script.run_request_ids)
            return await respond(stream, number, request_id)

    async def main():
        async with trio.open_nursery() as nursery:
            await test(Harness(nursery, test_mesh_calls.TargetScript([])))
            nursery.cancel_scope.cancel()

    test_mesh_calls.mock_clock.run(main)


def make_call(request_id):
    """Return a `hop_messages.Call` that may not be sent twice."""
    return hop_messages.Call(
        id=1,
        service='s',
        version='',
        instance='',
        method='POST',
        url=b'/o/1',
        headers=b'pumicestand-request-id: %b\r\n' % request_id.encode(),
        remaining_ms=500,
        objective_remaining_ms=400,
        priority=1,
        route='o',
        request_id=request_id,
        is_idempotent=False,
    )


@pytest.mark.parametrize('ending', ['close', 'half-close', 'reset'])
@pytest.mark.parametrize(('name', 'position'), CUT_POSITIONS)
def test_response_that_is_cut_short_is_never_taken_as_whole(
    name, position, ending
):
    """Clients got a short body with the length of what had arrived."""

    async def respond(stream, number, request_id):
        response = format_response(RESPONSES[name], request_id)
        cut = len(response) - len(RESPONSES[name]) + position
        await stream.send_all(response[: max(0, cut)])
        if ending == 'half-close':
            await stream.send_eof()
            await trio.sleep_forever()
        await stream.aclose()
        return False

    async def test(harness):
        result = await harness.targets.run(make_call('i1'))
        assert result.outcome is hop_messages.Outcome.UNKNOWN
        got, data = await harness.send_request('/o/1', 'POST', 'i2')
        assert got == 502
        assert b'hel' not in data.partition(b'\r\n\r\n')[2]
        assert harness.script.connect_count == 2

    harness_type = test_mesh_calls.CallHarness
    if ending == 'reset':
        harness_type = test_mesh_calls.ResettingHarness
    run_scripted(test, respond, harness_type)


async def refuse_again(position, stream, number, request_id):
    """Refuse the first request, and later write the refusal once more.

    The copy is split: what comes before a position follows the refusal, and
    the rest comes before the next response, or never.
    """
    refusal = format_response(REFUSAL, b'i1')
    if number == 1:
        await stream.send_all(refusal + refusal[:position])
        return True
    await stream.send_all(refusal[position:])
    await trio.sleep(0.1)
    await stream.send_all(format_response(OK_RESPONSE, request_id))
    return True


@pytest.mark.parametrize('request_id', ['i1', 'i2'])
@pytest.mark.parametrize('position', range(len(REFUSAL)))
def test_refusal_written_once_more_does_not_refuse_the_next_call(
    position, request_id
):
    """The call ran, and was called not run; nested calls may repeat an id."""

    async def test(harness):
        first = await harness.targets.run(make_call('i1'))
        assert first.outcome is hop_messages.Outcome.NOT_RUN
        second = await harness.targets.run(make_call(request_id))
        if harness.script.connect_count == 2:
            # The target had nothing to repeat on the new connection.
            assert second.outcome is not hop_messages.Outcome.NOT_HANDED_ON
            return
        assert second.outcome is hop_messages.Outcome.ANSWERED
        assert second.body == b'hello'

    run_scripted(test, functools.partial(refuse_again, position))


@pytest.mark.parametrize('position', COPY_POSITIONS)
def test_start_of_a_repeated_refusal_does_not_change_the_next_response(
    position,
):
    """The response was read as the rest of the status line before it."""
    copies = {1: format_response(REFUSAL, b'i1')[:position]}

    async def respond(stream, number, request_id):
        response = OK_RESPONSE if number > 1 else REFUSAL
        await stream.send_all(
            format_response(response, request_id) + copies.get(number, b'')
        )
        return True

    async def test(harness):
        first = await harness.targets.run(make_call('i1'))
        assert first.outcome is hop_messages.Outcome.NOT_RUN
        second = await harness.targets.run(make_call('i2'))
        assert second.outcome is hop_messages.Outcome.ANSWERED
        assert second.status == 200

    run_scripted(test, respond)


@pytest.mark.parametrize('position', COPY_POSITIONS)
def test_refusal_in_place_of_a_response_is_for_its_own_call_only(position):
    """A copy came while the next call ran, in two parts."""
    refusal = format_response(REFUSAL, b'i1')

    async def respond(stream, number, request_id):
        if number == 1:
            await stream.send_all(refusal)
            return True
        await stream.send_all(refusal[:position])
        await trio.sleep(0.05)
        await stream.send_all(
            refusal[position:] + format_response(OK_RESPONSE, request_id)
        )
        return True

    async def test(harness):
        await harness.targets.run(make_call('i1'))
        second = await harness.targets.run(make_call('i2'))
        assert second.outcome is hop_messages.Outcome.ANSWERED
        # The target is out of step.
        await harness.targets.run(make_call('i3'))
        assert harness.script.connect_count == 2

    run_scripted(test, respond)
