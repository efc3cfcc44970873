"""Tests of targets that send a response a second time, at any later moment.

The response of each run of a call is stamped with the number of the run, so
that the runs of one request id can be told apart.
"""

import dataclasses
import itertools

import pytest
import trio
import trio.testing

from pumicestand import hop_messages
from tests import mock_clock
from tests.pumicestand_node import test_mesh_calls
from tests.pumicestand_node import test_target_faults

Outcome = hop_messages.Outcome

STATUS_LINES = {
    'success': b'HTTP/1.1 200 OK\r\n',
    'failure': b'HTTP/1.1 500 Error\r\n',
    'refusal': b'HTTP/1.1 503 Busy\r\nPumicestand-Not-Executed: 1\r\n',
}
BODIES = {
    'length': b'content-length: 5\r\n\r\n%b',
    'chunks': b'transfer-encoding: chunked\r\n\r\n5\r\n%b\r\n0\r\n\r\n',
    'no length': b'connection: close\r\n\r\n%b',
}
INTERIM = b'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'
STEP_S = 0.01
CALL_TIMEOUT_S = 0.5
# Moments at which bytes of the copy arrive, in order.
AT_ONCE = 'with the first response'
IDLE = 'before the second call'
RUNNING = 'while the second call runs'
BEFORE = 'directly before the second response'
AFTER = 'directly after the second response'
IDLE_AGAIN = 'before the third call'
NEVER = 'never'


@dataclasses.dataclass(frozen=True)
class Fault:
    """What the target does; the copy is that of the first response.

    :param kinds: of the responses to the first call and to the later ones
    :param moments: of the two parts of the copy
    :param position: byte of the copy at which the second part begins
    :param framings: of the responses to the first call and to the later ones
    :param interim: sent before each response, and before the copy
    """

    kinds: tuple
    moments: tuple
    position: int = 0
    framings: tuple = ('length', 'length')
    interim: bytes = b''


def format_run(kind, number, request_id, framing='length'):
    """Return the response to a run of a call."""
    stamp = b'run-%d' % number
    return (
        STATUS_LINES[kind]
        + b'Server: s\r\n'
        + b'Pumicestand-Request-Id: %b\r\n' % request_id
        + b'Pumicestand-Server-Stamp: %b\r\n' % stamp
        + BODIES[framing] % stamp
    )


class RepeatingHarness(test_mesh_calls.CallHarness):
    """A node whose target sends its first response twice.

    ``runs`` holds the kind of the response of each run.
    """

    def __init__(self, nursery, fault):
        super().__init__(nursery, test_mesh_calls.TargetScript([]))
        self.runs = []
        self._fault = fault
        self._first_stream = None

    async def play_step(self, stream, request_id):
        fault = self._fault
        is_first = not self.runs
        framing = fault.framings[not is_first]
        self.runs.append(fault.kinds[not is_first])
        response = fault.interim + format_run(
            self.runs[-1], len(self.runs), request_id, framing
        )
        if is_first:
            self._first_stream = stream
            self._copy = response
            await stream.send_all(response + self._part(AT_ONCE))
            self.nursery.start_soon(self._send_later)
            return True
        await trio.sleep(2 * STEP_S)
        if len(self.runs) == 2:
            before, after = self._part(BEFORE), self._part(AFTER)
            if stream is self._first_stream:
                response = before + response + after
            else:
                await self._send(self._first_stream, before + after)
        await self._send(stream, response)
        if framing == 'no length':
            await stream.aclose()
            return False
        return True

    def _part(self, moment):
        position = self._fault.position
        parts = (self._copy[:position], self._copy[position:])
        return b''.join(
            part
            for part, its_moment in zip(
                parts, self._fault.moments, strict=True
            )
            if its_moment == moment
        )

    async def _send_later(self):
        for moment, steps in ((IDLE, 1), (RUNNING, 2), (IDLE_AGAIN, 2)):
            await trio.sleep(steps * STEP_S)
            await self._send(self._first_stream, self._part(moment))

    async def _send(self, stream, data):
        try:
            await stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The node has closed the connection.
            return

    async def call(self, request_id):
        """Make a call and return its result, that of its own run or unknown.

        :raises AssertionError: if the result is that of another run
        """
        earlier_runs = len(self.runs)
        result = None
        with trio.move_on_after(CALL_TIMEOUT_S):
            result = await self.targets.run(
                test_target_faults.make_call(request_id)
            )
        if result is None:
            # The caller gives up; the connection is closed.
            return hop_messages.Result(0, Outcome.UNKNOWN, 'deadline')
        runs = self.runs[earlier_runs:]
        match result.outcome:
            case Outcome.ANSWERED:
                (kind,) = runs
                stamp = b'run-%d' % len(self.runs)
                assert result.body == stamp
                assert b'stamp: %b\r\n' % stamp in result.headers
                assert result.status == {'success': 200, 'failure': 500}[kind]
            case Outcome.NOT_RUN:
                assert runs == ['refusal']
            case Outcome.NOT_HANDED_ON:
                assert runs == []
        return result


def play(fault, second_id, harness_type=RepeatingHarness):
    """Make three calls and return the results of the last two."""
    results = []

    async def main():
        async with trio.open_nursery() as nursery:
            harness = harness_type(nursery, fault)
            await harness.call('i1')
            await trio.sleep(2 * STEP_S)
            results.append(await harness.call(second_id))
            await trio.sleep(2 * STEP_S)
            results.append(await harness.call('i3'))
            nursery.cancel_scope.cancel()

    mock_clock.run(main)
    return results


RERUN_KINDS = [
    (first, second)
    for first in ('success', 'failure')
    for second in STATUS_LINES
]
ALL_KINDS = list(itertools.product(STATUS_LINES, repeat=2))
FRAMINGS = [
    ('length', 'length'),
    ('chunks', 'chunks'),
    ('length', 'no length'),
]
MOMENTS = (AT_ONCE, IDLE, RUNNING, BEFORE, AFTER, IDLE_AGAIN)
LATE_MOMENTS = (IDLE, RUNNING, BEFORE)
FAILED_KINDS = [('success', 'failure'), ('failure', 'success')]


def cuts(kinds):
    """Return the positions at which the copy of the first response is cut."""
    return range(1, len(format_run(kinds[0], 1, b'i1')))


@pytest.mark.parametrize('interim', [b'', INTERIM])
@pytest.mark.parametrize('framings', FRAMINGS)
@pytest.mark.parametrize('moment', LATE_MOMENTS)
@pytest.mark.parametrize('kinds', RERUN_KINDS)
def test_late_copy_is_not_taken_for_the_second_run_of_its_id(
    kinds, moment, framings, interim
):
    """Nested calls of a call that runs again have the ids that they had."""
    fault = Fault(kinds, (moment, moment), 0, framings, interim)
    for result in play(fault, 'i1'):
        assert result.outcome is not Outcome.UNKNOWN


@pytest.mark.parametrize(
    'moments', list(itertools.combinations(LATE_MOMENTS, 2))
)
@pytest.mark.parametrize('kinds', RERUN_KINDS)
def test_late_copy_in_two_parts_is_not_taken_for_the_second_run_of_its_id(
    kinds, moments
):
    for position in cuts(kinds):
        play(Fault(kinds, moments, position), 'i1')


@pytest.mark.parametrize('interim', [b'', INTERIM])
@pytest.mark.parametrize('framings', FRAMINGS[:2])
@pytest.mark.parametrize('moment', [AT_ONCE, AFTER, IDLE_AGAIN])
@pytest.mark.parametrize('kinds', ALL_KINDS)
def test_copy_that_does_not_come_before_the_second_run_is_ignored(
    kinds, moment, framings, interim
):
    fault = Fault(kinds, (moment, moment), 0, framings, interim)
    for result in play(fault, 'i1'):
        assert result.outcome is not Outcome.UNKNOWN


@pytest.mark.parametrize('interim', [b'', INTERIM])
@pytest.mark.parametrize('framings', FRAMINGS)
@pytest.mark.parametrize('moment', LATE_MOMENTS)
@pytest.mark.parametrize('kinds', ALL_KINDS)
def test_late_copy_is_not_taken_for_the_response_to_another_id(
    kinds, moment, framings, interim
):
    fault = Fault(kinds, (moment, moment), 0, framings, interim)
    for result in play(fault, 'i2'):
        assert result.outcome is not Outcome.UNKNOWN


@pytest.mark.parametrize('second_id', ['i1', 'i2'])
@pytest.mark.parametrize(
    'moments',
    [
        moments
        for moments in itertools.combinations((*MOMENTS, NEVER), 2)
        if moments[0] in (AT_ONCE, AFTER)
    ],
)
@pytest.mark.parametrize('kinds', FAILED_KINDS)
def test_copy_that_begins_after_a_response_does_not_change_the_next_one(
    kinds, moments, second_id
):
    for position in cuts(kinds):
        play(Fault(kinds, moments, position), second_id)


@pytest.mark.parametrize(
    'moments', list(itertools.combinations(LATE_MOMENTS, 2))
)
@pytest.mark.parametrize('kinds', FAILED_KINDS)
def test_late_copy_in_two_parts_is_not_taken_for_another_id(kinds, moments):
    for position in cuts(kinds):
        play(Fault(kinds, moments, position), 'i2')


@pytest.mark.parametrize('second_id', ['i1', 'i2'])
@pytest.mark.parametrize('moment', MOMENTS)
@pytest.mark.parametrize('kinds', FAILED_KINDS)
def test_copy_without_its_beginning_is_no_response(kinds, moment, second_id):
    for position in cuts(kinds):
        play(Fault(kinds, (NEVER, moment), position), second_id)


@pytest.mark.parametrize('moment', (*LATE_MOMENTS, IDLE_AGAIN))
@pytest.mark.parametrize('kinds', FAILED_KINDS)
def test_response_is_not_read_as_the_rest_of_a_copy_that_breaks_off(
    kinds, moment
):
    """The status was that of the copy, stamp and body those of the call."""
    for position in cuts(kinds):
        play(Fault(kinds, (moment, NEVER), position), 'i2')


@pytest.mark.parametrize('moment', (*LATE_MOMENTS, IDLE_AGAIN))
@pytest.mark.parametrize('kinds', FAILED_KINDS)
def test_second_run_of_an_id_is_not_read_as_the_rest_of_a_copy(kinds, moment):
    for position in cuts(kinds):
        play(Fault(kinds, (moment, NEVER), position), 'i1')


def test_connection_is_closed_after_a_head_with_two_status_lines():
    class Harness(RepeatingHarness):
        def __init__(self, nursery, fault):
            super().__init__(nursery, fault)
            scripts.append(self.script)

    scripts = []
    position = len(b'HTTP/1.1 200 O')
    fault = Fault(('success', 'failure'), (BEFORE, NEVER), position)
    second, third = play(fault, 'i2', Harness)
    assert second.outcome is Outcome.UNKNOWN
    assert third.outcome is Outcome.ANSWERED
    assert scripts[0].connect_count == 2


def test_reason_and_header_values_that_name_the_protocol_are_forwarded():
    response = test_mesh_calls.OK_RESPONSE.replace(
        b' OK\r\n', b' HTTP/1.1 is fine\r\nvia: 1.1 proxy, HTTP/1.1 gate\r\n'
    )

    async def respond(stream, number, request_id):
        await stream.send_all(response.replace(b'%b', request_id))
        return True

    async def test(harness):
        result = await harness.targets.run(test_target_faults.make_call('i1'))
        assert (result.status, result.reason) == (200, b'HTTP/1.1 is fine')
        assert b'via: 1.1 proxy, HTTP/1.1 gate\r\n' in result.headers

    test_target_faults.run_scripted(test, respond)


BODY = b'x' * 1000
LONG_BODIES = {
    'length': b'content-length: 1000\r\n\r\n' + BODY,
    'chunks': b'transfer-encoding: chunked\r\n\r\n3e8\r\n%b\r\n0\r\n\r\n'
    % BODY,
}


def run_with_broken_body(framing, kept_bytes):
    """Have a target break off in the body and send the whole response later.

    :param kept_bytes: bytes of the body before it breaks off
    :returns: the result, or None if there was none by the deadline
    """
    results = []
    head = format_run('success', 1, b'i1').partition(b'content-length')[0]
    response = head + LONG_BODIES[framing]

    async def respond(stream, number, request_id):
        await stream.send_all(response[: response.index(BODY) + kept_bytes])
        await trio.sleep(STEP_S)
        await stream.send_all(response)
        return True

    async def test(harness):
        result = None
        with trio.move_on_after(CALL_TIMEOUT_S):
            result = await harness.targets.run(
                test_target_faults.make_call('i1')
            )
        results.append(result)

    test_target_faults.run_scripted(test, respond)
    return results[0]


@pytest.mark.parametrize('framing', ['length', 'chunks'])
@pytest.mark.parametrize('kept_bytes', range(0, len(BODY) - 100, 50))
def test_second_response_is_not_read_as_the_rest_of_a_body(
    kept_bytes, framing
):
    """The body ended in the head of the second response."""
    result = run_with_broken_body(framing, kept_bytes)
    assert result is None or result.outcome is Outcome.UNKNOWN


def test_start_of_a_second_response_is_not_read_as_the_rest_of_a_body():
    """The rest is too short to hold the request id of the second response."""
    for kept_bytes in range(len(BODY) - 60, len(BODY)):
        result = run_with_broken_body('length', kept_bytes)
        assert result is None or result.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize('kinds', FAILED_KINDS)
def test_late_copy_is_not_taken_for_the_end_of_a_body_without_a_length(kinds):
    fault = Fault(kinds, (AFTER, AFTER), 0, ('length', 'no length'))
    second, _ = play(fault, 'i2')
    assert second.outcome is Outcome.UNKNOWN
