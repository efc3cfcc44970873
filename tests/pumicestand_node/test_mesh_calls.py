"""Calls over the whole path, on every fault of the target beside a node."""

import dataclasses

import pytest
import trio
import trio.testing

from pumicestand import blackboard
from pumicestand import documents
from pumicestand import hop_messages
from pumicestand import messages
from pumicestand import targets
from pumicestand_node import client_connections
from pumicestand_node import outbound_calls
from pumicestand_node import target_calls
from pumicestand_node import target_exchange
from pumicestand_platform import headers
from tests import mock_clock
from tests.pumicestand import mesh_fakes

OK = (
    b'HTTP/1.1 200 OK\r\nPumicestand-Request-Id: %b\r\n'
    b'Pumicestand-Server-Stamp: s\r\ncontent-length: 5\r\n\r\nhello'
)
SHED = (
    b'HTTP/1.1 503 Busy\r\nPumicestand-Not-Executed: 1\r\n'
    b'Pumicestand-Request-Id: %b\r\ncontent-length: 0\r\n\r\n'
)
ERROR = (
    b'HTTP/1.1 500 Error\r\nPumicestand-Request-Id: %b\r\n'
    b'Pumicestand-Server-Stamp: s\r\ncontent-length: 0\r\n\r\n'
)
UNFRAMED = (
    b'HTTP/1.1 200 OK\r\nPumicestand-Request-Id: %b\r\n'
    b'Pumicestand-Server-Stamp: s\r\n\r\nhello'
)
CUT = OK[:-2]
OTHER = OK.replace(b'%b', b'other')
UNSIGNED = OK.replace(b'Pumicestand-Server-Stamp: s\r\n', b'')
ELSEWHERE = b'HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n'


@dataclasses.dataclass
class Script:
    """What the target does, one entry for each request it gets.

    An entry is bytes to answer with, or a word for a fault.
    """

    steps: list
    runs: list = dataclasses.field(default_factory=list)
    requests: list = dataclasses.field(default_factory=list)
    connects: int = 0
    refuses: bool = False
    hangs_for: bytes = b''


class Bench:
    """One node with its target and callers, without sockets."""

    def __init__(self, nursery, script, attempts=2):
        self.nursery = nursery
        self.script = script
        clock = trio.current_time
        self.mesh = mesh_fakes.make_mesh()
        self.targets = target_calls.TargetCalls(
            self.mesh.target_watch,
            self.mesh.suspects,
            headers.HEADERS,
            clock,
            lambda: None,
            self.connect,
        )
        self.mesh.send_call = lambda peer, call: self.targets.run(call)
        self.outbound = outbound_calls.OutboundCalls(
            self.mesh, headers.HEADERS, 'own-service', self.find, clock
        )
        route = documents.Route(
            name='r',
            host='shop.example',
            path='/x/',
            methods=(),
            to=(documents.Backend('s', 1),),
            resources=(),
            timeout=1.0,
            idempotent=True,
            retries=documents.Retries(attempts, 0.0),
            objective=0.5,
        )
        once = dataclasses.replace(route, name='o', path='/o/', timeout=0.8)
        once = dataclasses.replace(once, idempotent=False)
        self.mesh.configuration = blackboard.InForce(
            documents.Accepted(3, ''),
            documents.Document(routes=(route, once)),
            0.0,
        )
        self.beat(1)
        own = self.mesh.fleet.get_or_add('own', '10.0.0.1', 7000, 0.0)
        own.is_linked = True
        self.tell()

    def find(self, request_id):
        return self.targets.find_running(request_id)

    def tell(self):
        report = self.mesh.new_report(self.targets.load(), (), 0.0)
        self.mesh.fleet.apply_report(report, 0.0)

    def beat(self, sequence, state=messages.TargetState.SERVING):
        target = mesh_fakes.make_target('t', state=state)
        self.mesh.target_watch.apply(targets.Heartbeat(target, sequence), 0.0)
        self.targets.on_target_changed()

    async def connect(self, host, port):
        self.script.connects += 1
        if self.script.refuses:
            raise OSError('refused')
        own, other = trio.testing.memory_stream_pair()
        self.nursery.start_soon(self.serve_target, other)
        return own

    async def serve_target(self, stream):
        data = b''
        while True:
            while b'\r\n\r\n' not in data:
                try:
                    more = await stream.receive_some(65_536)
                except trio.BrokenResourceError:
                    return
                if not more:
                    return
                data += more
            head, _, data = data.partition(b'\r\n\r\n')
            self.script.requests.append(head)
            id_ = head.partition(b'request-id: ')[2].split(b'\r\n')[0]
            if not await self.step(stream, id_):
                return

    async def step(self, stream, id_):
        """Do what the script says; return whether to go on."""
        steps = self.script.steps
        step = steps.pop(0) if steps else OK
        if id_ == self.script.hangs_for:
            step = 'hang'
        if step not in (SHED, ELSEWHERE):
            self.script.runs.append(id_)
        match step:
            case 'reset':
                await stream.aclose()
                return False
            case 'lose':
                await trio.sleep(0.1)
                await stream.aclose()
                return False
            case 'hang':
                await trio.sleep_forever()
            case 'extra':
                await stream.send_all(OK.replace(b'%b', id_) + OTHER)
                return True
            case 'stray first':
                await stream.send_all(OTHER + OK.replace(b'%b', id_))
                return True
            case bytes():
                await stream.send_all(step.replace(b'%b', id_))
        if step in (CUT, UNFRAMED):
            await stream.aclose()
            return False
        return True

    async def open(self):
        """Return a caller's stream to the node."""
        own, other = trio.testing.memory_stream_pair()
        connection = client_connections.ClientConnection(
            other, self.outbound.serve, trio.current_time
        )
        self.nursery.start_soon(connection.run)
        return own

    async def ask(self, path='/x/1', method='GET', id_='i1', extra=b''):
        """Send one request; return (status, all of the answer)."""
        stream = await self.open()
        await stream.send_all(make_request(path, method, id_, extra))
        data = b''
        with trio.move_on_after(5):
            while more := await stream.receive_some(65_536):
                data += more
        if not data:
            return None, b''
        return int(data.split(b' ')[1]), data


def make_request(path='/x/1', method='GET', id_='i1', extra=b'', close=True):
    end = b'connection: close\r\n' if close else b''
    if method == 'POST':
        end += b'content-length: 0\r\n'
    return (
        f'{method} {path} HTTP/1.1\r\nhost: shop.example\r\n'
        f'pumicestand-request-id: {id_}\r\n'
        'pumicestand-deadline-ms: 900\r\n'.encode()
        + extra
        + end
        + b'\r\n'
    )


def play(test, *steps, **options):
    """Run a test with a bench whose target follows the steps."""

    async def main():
        async with trio.open_nursery() as nursery:
            bench = Bench(nursery, Script(list(steps)), **options)
            await test(bench)
            nursery.cancel_scope.cancel()

    mock_clock.run(main)


# Step of the target: (status for what may be repeated, sends; status for
# what may not, sends).
FAULTS = {
    'ok': (OK, 200, 1, 200, 1),
    'shed': (SHED, 200, 2, 503, 1),
    'error': (ERROR, 200, 2, 500, 1),
    'reset': ('reset', 200, 2, 502, 1),
    'cut answer': (CUT, 200, 2, 502, 1),
    'no length': (UNFRAMED, 200, 1, 200, 1),
    'extra answer': ('extra', 200, 1, 200, 1),
    'stray answer first': ('stray first', 200, 1, 200, 1),
    'no signature': (UNSIGNED, 200, 2, 502, 1),
    'no answer in HTTP': (b'\xff\xfe garbage\r\n\r\n', 200, 2, 502, 1),
    'other instance': (ELSEWHERE, 200, 2, 503, 1),
    'hang': ('hang', 504, 1, 504, 1),
}


@pytest.mark.parametrize('name', FAULTS)
def test_what_may_be_repeated_is_repeated_within_the_rules(name):
    step, status, sends, _, _ = FAULTS[name]

    async def test(bench):
        # The same node is asked again only if others are not there; here a
        # second name stands for a second node.
        twin = bench.mesh.fleet.get_or_add('twin', '10.0.0.1', 7000, 0.0)
        twin.is_linked = True
        report = dataclasses.replace(
            bench.mesh.new_report(bench.targets.load(), (), 0.0), name='twin'
        )
        bench.mesh.fleet.apply_report(report, 0.0)
        if step is ELSEWHERE:
            bench.targets._on_change = lambda: None
        got, data = await bench.ask()
        if step is ELSEWHERE:
            # The node keeps from its target for a moment.
            assert got == 503
            return
        assert got == status
        assert len(bench.script.requests) == sends
        if got == 200:
            assert data.endswith(b'hello')
            assert data.count(b'hello') == 1

    play(test, step)


@pytest.mark.parametrize('name', FAULTS)
def test_what_may_not_be_repeated_is_sent_once_and_truly_reported(name):
    step, _, _, status, sends = FAULTS[name]

    async def test(bench):
        got, data = await bench.ask('/o/1', 'POST')
        assert got == status
        assert len(bench.script.requests) == sends
        if got == 503:
            assert bench.script.runs == []
            assert b'retry-after: ' in data

    play(test, step)


def test_a_target_that_can_not_be_reached_means_not_run():
    async def test(bench):
        bench.script.refuses = True
        got, data = await bench.ask('/o/1', 'POST')
        assert (got, bench.script.runs) == (503, [])
        assert b'pumicestand-outcome: not-run' in data

    play(test)


def test_headers_say_who_calls_whom_until_when():
    async def test(bench):
        await bench.ask(
            extra=b'pumicestand-caller-service: lie\r\n'
            b'pumicestand-expect-instance: lie\r\nx-own: kept\r\n'
        )
        (head,) = bench.script.requests
        lines = dict(line.split(b': ', 1) for line in head.split(b'\r\n')[1:])
        assert lines[b'pumicestand-caller-service'] == b'own-service'
        assert lines[b'pumicestand-expect-instance'] == b'i-t'
        assert lines[b'x-own'] == b'kept'
        assert 800 < int(lines[b'pumicestand-deadline-ms']) <= 900
        assert b'connection' not in lines

    play(test)


def test_without_a_configuration_nothing_is_denied():
    async def test(bench):
        bench.mesh.configuration = None
        got, _ = await bench.ask()
        assert got == 503

    play(test)


def test_without_a_route_the_answer_is_404():
    async def test(bench):
        got, _ = await bench.ask('/y/1')
        assert got == 404

    play(test)


def test_a_leaving_target_gets_nothing_more():
    async def test(bench):
        bench.beat(2, messages.TargetState.DRAINING)
        got, _ = await bench.ask()
        assert (got, bench.script.requests) == (503, [])

    play(test)


def test_a_stopping_node_refuses_callers_but_not_its_own_target():
    async def test(bench):
        bench.mesh.is_stopping = bench.mesh.is_leaving = True
        got, data = await bench.ask()
        assert (got, bench.script.requests) == (503, [])
        assert b'pumicestand-code: stopping' in data
        bench.targets._running_calls['parent'] = hop_messages.Call(
            1, 's', '', '', 'GET', b'/', b'', 1, 1, 1, 'r', 'parent', True
        )
        got, _ = await bench.ask(id_='parent.child')
        assert got == 200

    play(test)


def test_a_caller_who_leaves_takes_the_call_from_the_target():
    async def test(bench):
        stream = await bench.open()
        await stream.send_all(make_request())
        await trio.sleep(0.1)
        assert bench.targets.in_flight == 1
        await stream.aclose()
        await trio.sleep(0.1)
        assert bench.targets.in_flight == 0

    play(test, 'hang')


def test_pipelined_requests_overlap_and_are_answered_in_order():
    async def test(bench):
        stream = await bench.open()
        await stream.send_all(
            make_request(id_='a', close=False)
            + make_request(id_='b', close=False)
            + make_request(id_='c')
        )
        data = b''
        while more := await stream.receive_some(65_536):
            data += more
        assert len(bench.script.requests) == 3
        order = [
            data.index(b'request-id: %b' % i) for i in (b'a\r', b'b\r', b'c\r')
        ]
        assert order == sorted(order)

    play(test)


def test_a_slow_first_answer_does_not_hold_up_the_work_behind_it():
    async def test(bench):
        # The two may reach the target in either order.
        bench.script.hangs_for = b'a'
        stream = await bench.open()
        await stream.send_all(
            make_request(id_='a', close=False) + make_request(id_='b')
        )
        await trio.sleep(0.1)
        # Both are at the target although the first has no answer.
        assert len(bench.script.requests) == 2
        data = b''
        while more := await stream.receive_some(65_536):
            data += more
        assert data.startswith(b'HTTP/1.1 504')
        assert b'HTTP/1.1 200' in data

    play(test)


def test_what_may_not_be_repeated_waits_for_its_turn():
    async def test(bench):
        stream = await bench.open()
        await stream.send_all(
            make_request(id_='a', close=False)
            + make_request('/o/1', 'POST', id_='b')
        )
        await trio.sleep(0.1)
        assert len(bench.script.requests) == 1

    play(test, 'hang')


def test_a_stopping_node_closes_only_behind_the_last_request_begun():
    async def test(bench):
        bench.mesh.is_stopping = True
        stream = await bench.open()
        await stream.send_all(
            make_request(id_='a', close=False)
            + make_request(id_='b', close=False)
        )
        data = b''
        while more := await stream.receive_some(65_536):
            data += more
        assert data.count(b'HTTP/1.1 200') == 2
        assert data.count(b'connection: close') == 1
        assert data.index(b'connection: close') > data.index(b': b\r\n')

    play(test)


def test_a_kept_connection_to_the_target_is_used_again():
    async def test(bench):
        for number in range(3):
            await bench.ask(id_=f'n{number}')
        assert bench.script.connects == 1

    play(test)


def test_a_connection_with_a_second_answer_on_it_is_not_used_again():
    async def test(bench):
        await bench.ask(id_='a')
        got, data = await bench.ask(id_='b')
        assert (got, bench.script.connects) == (200, 2)
        assert b'request-id: b' in data

    play(test, 'extra')


def test_a_target_that_forgets_idle_connections_gets_new_ones():
    async def test(bench):
        script = bench.script
        assert (await bench.ask())[0] == 200
        await trio.sleep(0.5)
        # The connection was forgotten; what may not be repeated is lost.
        script.steps.append('reset')
        assert (await bench.ask('/o/1', method='POST', id_='i2'))[0] == 502
        assert script.connects == 1
        assert (await bench.ask(id_='i3'))[0] == 200
        await trio.sleep(0.1)
        assert (await bench.ask(id_='i4'))[0] == 200
        assert script.connects == 2
        await trio.sleep(0.4)
        assert (await bench.ask('/o/1', method='POST', id_='i5'))[0] == 200
        assert script.connects == 3
        # After a while it is tried again whether they are kept.
        await trio.sleep(target_exchange.MAX_IDLE_VALID_S)
        assert (await bench.ask(id_='i6'))[0] == 200
        await trio.sleep(0.5)
        assert (await bench.ask(id_='i7'))[0] == 200
        assert script.connects == 4

    play(test)


@pytest.mark.parametrize('step', [CUT, 'lose'])
def test_a_connection_cut_in_or_after_a_run_was_not_forgotten(step):
    async def test(bench):
        assert (await bench.ask())[0] == 200
        await trio.sleep(0.5)
        bench.script.steps.append(step)
        assert (await bench.ask('/o/1', method='POST', id_='i2'))[0] == 502
        assert (await bench.ask(id_='i3'))[0] == 200
        await trio.sleep(0.5)
        assert (await bench.ask(id_='i4'))[0] == 200
        assert bench.script.connects == 2

    play(test)


def test_a_request_that_crashes_its_target_is_refused_in_the_end():
    """The target is back after each crash, under another start."""

    async def test(bench):
        script = bench.script
        for crash in range(1, 4):
            script.steps.append('reset')
            got, _ = await bench.ask('/o/9', method='POST', id_=f'p{crash}')
            assert got == 502
            script.refuses = True
            got, _ = await bench.ask('/o/1', method='POST', id_=f'q{crash}')
            assert got == 503
            script.refuses = False
            target = mesh_fakes.make_target('t', started_ms=crash + 1)
            bench.mesh.target_watch.apply(targets.Heartbeat(target, 1), 0.0)
            bench.targets.on_target_changed()
            bench.tell()
        ran = len(script.requests)
        got, data = await bench.ask('/o/9', method='POST', id_='p4')
        assert got == 503
        assert b'quarantined' in data.lower()
        assert len(script.requests) == ran
        assert (await bench.ask('/o/8', method='POST', id_='p5'))[0] == 200

    play(test)


def test_a_crash_shows_by_the_target_s_next_start_alone():
    async def test(bench):
        bench.script.steps.append('reset')
        await bench.ask('/o/9', method='POST')
        assert not bench.mesh.suspects.has_any
        target = mesh_fakes.make_target('t', started_ms=2)
        bench.mesh.target_watch.apply(targets.Heartbeat(target, 1), 0.0)
        bench.targets.on_target_changed()
        own = bench.mesh.suspects.own_suspects(1.0)
        assert [s.crashes for s in own] == [1]

    play(test)
