"""Tests of calls where the configuration has organisations with keys."""

import dataclasses
import re

import pytest
import trio

from pumicestand import decision_log
from pumicestand import documents
from pumicestand import hop_messages
from pumicestand_node import call_access
from pumicestand_node import outbound_call
from pumicestand_node import target_calls
from pumicestand_platform import headers
from tests.pumicestand import mesh_fakes
from tests.pumicestand_node import test_mesh_calls

Outcome = hop_messages.Outcome
ACME = documents.Organisation('acme', frozenset(('key-acme',)), 7)
# Keeps the priority of the route.
PLAIN = documents.Organisation('plain', frozenset(('key-plain',)), None)
ACME_KEY = b'X-Api-Key: key-acme\r\n'
FORGED = b'Pumicestand-Tenant-Id: forged\r\n'


class Parent:
    """A call that runs at the target on this VM."""

    is_retry = False
    request_id = 'a'


def set_organisations(harness, *organisations, generation=4):
    """Put a configuration with organisations and a public route in force."""
    document = harness.mesh.configuration.document
    routes = list(document.routes)
    if not any(route.is_public for route in routes):
        routes.append(
            dataclasses.replace(
                routes[0], name='p', path='/public/', is_public=True
            )
        )
    harness.mesh.configuration = documents.InForce(
        documents.Accepted(generation, ''),
        dataclasses.replace(
            document, routes=tuple(routes), organisations=organisations
        ),
        0.0,
    )


def run_with_organisations(test, *steps):
    async def with_organisations(harness):
        set_organisations(harness, ACME, PLAIN)
        await test(harness)

    test_mesh_calls.run_with_target(with_organisations, *steps)


def organisation_headers(head):
    """Return the values of the organisation's header in a request's head."""
    return re.findall(rb'(?i)pumicestand-tenant-id: ([^\r]*)', head)


def record_calls(harness, *results):
    """Have the harness's node answer calls with results; return the calls.

    :param results: one for each call: a `hop_messages.Result`, or a function
        that returns one; further calls are answered with 200
    """
    remaining = list(results)
    calls = []

    async def send_call(peer, call):
        calls.append(call)
        result = remaining.pop(0) if remaining else None
        if callable(result):
            result = result()
        return result or hop_messages.Result(
            call.id, Outcome.ANSWERED, status=200, body=b'hello'
        )

    harness.mesh.send_call = send_call
    return calls


def add_nodes(harness, count):
    for number in range(count):
        report = mesh_fakes.make_report(f'n{number}')
        harness.mesh.fleet.apply_report(report, 0.0)
        harness.mesh.fleet.get(report.name).is_linked = True


@pytest.mark.parametrize(
    'extra',
    [
        b'',
        b'X-Api-Key: \r\n',
        b'X-Api-Key: unknown\r\n',
        b'X-Api-Key: KEY-ACME\r\n',
        b'Pumicestand-Tenant-Id: acme\r\n',
    ],
)
@pytest.mark.parametrize(
    ('path', 'method'), [('/x/1', 'GET'), ('/o/1', 'PUT')]
)
def test_call_without_known_key_is_refused_and_does_not_run(
    extra, path, method
):
    async def test(harness):
        status, data = await harness.send_request(path, method, extra=extra)
        assert status == 401
        assert b'pumicestand-code: unknown-key' in data
        assert b'retry-after' not in data
        assert harness.script.request_heads == []
        assert harness.outbound.counts[('refused', 'unknown-key', 401)] == 1

    run_with_organisations(test)


def test_target_gets_name_of_organisation_instead_of_key():
    async def test(harness):
        status, _ = await harness.send_request(extra=ACME_KEY + FORGED)
        assert status == 200
        (head,) = harness.script.request_heads
        assert organisation_headers(head) == [b'acme']
        assert b'x-api-key' not in head.lower()
        assert b'key-acme' not in head

    run_with_organisations(test)


@pytest.mark.parametrize('extra', [b'', ACME_KEY, b'X-Api-Key: other\r\n'])
def test_target_gets_neither_key_nor_organisation_on_public_route(extra):
    async def test(harness):
        status, _ = await harness.send_request(
            '/public/1', extra=extra + FORGED
        )
        assert status == 200
        (head,) = harness.script.request_heads
        assert organisation_headers(head) == []
        assert b'x-api-key' not in head.lower()

    run_with_organisations(test)


def test_headers_are_forwarded_where_there_are_no_organisations():
    async def test(harness):
        status, _ = await harness.send_request(extra=ACME_KEY + FORGED)
        assert status == 200
        (head,) = harness.script.request_heads
        assert organisation_headers(head) == [b'forged']
        assert b'key-acme' in head
        assert not harness.outbound.access.counts

    test_mesh_calls.run_with_target(test)


@pytest.mark.parametrize(
    ('extra', 'organisation', 'priority'),
    [(ACME_KEY, 'acme', 7), (b'X-Api-Key: key-plain\r\n', 'plain', 0)],
)
def test_priority_of_organisation_replaces_that_of_route(
    extra, organisation, priority
):
    async def test(harness):
        calls = record_calls(harness)
        await harness.send_request(extra=extra)
        (call,) = calls
        assert (call.organisation, call.priority) == (organisation, priority)
        assert harness.outbound.access.counts == {
            ('Admitted', organisation): 1
        }

    run_with_organisations(test)


@pytest.mark.parametrize(
    ('running', 'request_id'),
    [('a', 'a.1'), ('a.1', 'a.1.1'), ('a', 'a.1.1'), ('a.b', 'a.b.x')],
)
def test_nested_call_needs_no_key(running, request_id):
    """A call that is nested itself makes calls with two suffixes."""

    async def test(harness):
        parents = {running: Parent()}
        harness.outbound.access._find_running = parents.get
        calls = record_calls(harness)
        await trio.sleep(call_access.UNKNOWN_PARENTS_S + 1)
        status, _ = await harness.send_request(
            request_id=request_id, extra=FORGED
        )
        assert status == 200
        (call,) = calls
        assert call.is_nested
        assert call.organisation == ''
        assert organisation_headers(call.headers) == []
        # A call with the id of the running one is not nested in it.
        status, _ = await harness.send_request(request_id=running)
        assert status == 401

    run_with_organisations(test)


def test_nested_call_needs_no_key_after_the_client_of_its_parent_has_left():
    """The target finishes what it has begun; its calls were answered 401."""

    async def test(harness):
        harness.script.hangs_on_request_id = b'a'
        await trio.sleep(call_access.UNKNOWN_PARENTS_S + 1)
        stream = await harness.open_client()
        await stream.send_all(
            test_mesh_calls.make_request(request_id='a', extra=ACME_KEY)
        )
        await trio.sleep(0.1)
        await stream.aclose()
        await trio.sleep(0.1)
        assert harness.targets.in_flight == 0
        status, _ = await harness.send_request(request_id='a.1')
        assert status == 200
        # The time in which the parent could run is over.
        await trio.sleep(1.0)
        status, _ = await harness.send_request(request_id='a.2')
        assert status == 401

    run_with_organisations(test)


def test_answered_call_has_no_nested_calls():
    async def test(harness):
        await trio.sleep(call_access.UNKNOWN_PARENTS_S + 1)
        status, _ = await harness.send_request(request_id='a', extra=ACME_KEY)
        assert status == 200
        status, _ = await harness.send_request(request_id='a.1')
        assert status == 401

    run_with_organisations(test)


def test_abandoned_calls_are_remembered_up_to_a_bound(monkeypatch):
    async def test(harness):
        monkeypatch.setattr(target_calls, 'MAX_ABANDONED_CALLS', 3)
        for number in range(9):
            harness.script.steps.append('reset')
            await harness.send_request(
                '/o/1', 'POST', request_id=f'a{number}', extra=ACME_KEY
            )
        assert len(harness.targets._abandoned_calls) == 3
        assert harness.targets.find_running('a8') is not None

    run_with_organisations(test)


@pytest.mark.parametrize(
    ('running', 'request_id', 'extra'),
    [('', '.1', b''), ('a', 'a.1', b'X-Api-Key: withdrawn\r\n')],
)
def test_request_id_does_not_replace_a_key(running, request_id, extra):
    """Clients choose their ids; a withdrawn key must not pass with one."""

    async def test(harness):
        harness.outbound.access._find_running = {running: Parent()}.get
        await trio.sleep(call_access.UNKNOWN_PARENTS_S + 1)
        status, _ = await harness.send_request(
            request_id=request_id, extra=extra
        )
        assert status == 401

    run_with_organisations(test)


@pytest.mark.parametrize(
    ('request_id', 'extra', 'early', 'late'),
    [
        ('i1', b'', 401, 401),
        ('i1.1', b'', 503, 401),
        ('i1.1', b'X-Api-Key: unknown\r\n', 401, 401),
        ('i1.1', ACME_KEY, 200, 200),
    ],
)
def test_started_node_does_not_tell_calls_that_may_be_nested_to_give_up(
    request_id, extra, early, late
):
    """It does not know which calls the previous process had running."""

    async def test(harness):
        status, data = await harness.send_request(
            request_id=request_id, extra=extra
        )
        assert status == early
        if status == 503:
            assert b'pumicestand-code: unknown-parent' in data
            assert b'retry-after: 0.25\r\n' in data
        await trio.sleep(call_access.UNKNOWN_PARENTS_S)
        status, _ = await harness.send_request(
            request_id=request_id, extra=extra
        )
        assert status == late

    run_with_organisations(test)


def test_node_without_configuration_does_not_say_that_a_key_is_unknown():
    async def test(harness):
        harness.mesh.configuration = None
        status, data = await harness.send_request(extra=ACME_KEY)
        assert status == 503
        assert b'no-document' in data

    run_with_organisations(test)


def not_handed_on(harness, *organisations):
    """Return a function that changes the configuration and has no room."""

    def answer():
        set_organisations(harness, *organisations, generation=5)
        return hop_messages.Result(0, Outcome.NOT_HANDED_ON, 'no-link')

    return answer


def test_key_withdrawn_while_call_waits_is_refused_before_next_send():
    async def test(harness):
        add_nodes(harness, 3)
        calls = record_calls(harness, not_handed_on(harness, PLAIN))
        status, data = await harness.send_request(extra=ACME_KEY)
        assert status == 401
        assert b'pumicestand-outcome: not-run' in data
        assert len(calls) == 1

    run_with_organisations(test)


def test_call_that_may_have_run_is_not_refused_as_not_run():
    """The key was withdrawn before the call could be sent again."""

    async def test(harness):
        add_nodes(harness, 3)

        def answer():
            set_organisations(harness, PLAIN, generation=5)
            return hop_messages.Result(0, Outcome.UNKNOWN, 'answer-lost')

        calls = record_calls(harness, answer)
        status, data = await harness.send_request(extra=ACME_KEY)
        assert status == 502
        assert b'pumicestand-outcome: unknown' in data
        assert len(calls) == 1

    run_with_organisations(test)


def test_call_that_waits_gets_headers_of_newer_configuration():
    """A key must not reach a target after the first one with keys."""

    async def test(harness):
        add_nodes(harness, 3)
        calls = record_calls(harness, not_handed_on(harness, ACME))
        status, _ = await harness.send_request(extra=ACME_KEY + FORGED)
        assert status == 200
        first, second = calls
        assert b'key-acme' in first.headers
        assert b'key-acme' not in second.headers
        assert organisation_headers(second.headers) == [b'acme']
        assert (second.organisation, second.priority) == ('acme', 7)

    test_mesh_calls.run_with_target(test)


def test_nested_call_goes_on_although_its_parent_has_ended():
    async def test(harness):
        add_nodes(harness, 3)
        running = {'a': Parent()}
        harness.outbound.access._find_running = running.get

        def answer():
            running.clear()
            return hop_messages.Result(0, Outcome.NOT_HANDED_ON, 'no-link')

        calls = record_calls(harness, answer)
        status, _ = await harness.send_request(request_id='a.1')
        assert status == 200
        assert len(calls) == 2

    run_with_organisations(test)


def test_call_without_fresh_proof_is_refused_as_not_run():
    async def test(harness):
        harness.outbound.access.is_fresh = lambda: False
        for extra in (ACME_KEY, b'X-Api-Key: unknown\r\n'):
            status, data = await harness.send_request(extra=extra)
            assert status == 503
            assert b'pumicestand-outcome: not-run' in data
            assert b'pumicestand-code: no-fresh-proof' in data
            assert b'retry-after: 0.25\r\n' in data
        assert (await harness.send_request('/public/1'))[0] == 200
        assert (await harness.send_request())[0] == 401

    run_with_organisations(test)


def test_proof_that_is_too_old_before_the_send_refuses_the_call():
    """The node may have been frozen after it checked the key."""

    async def test(harness):
        answers = [True, False]
        harness.outbound.access.is_fresh = lambda: answers.pop(0)
        calls = record_calls(harness)
        status, _ = await harness.send_request(extra=ACME_KEY)
        assert status == 503
        assert calls == []

    run_with_organisations(test)


@pytest.mark.parametrize(
    ('remaining_s', 'retry_after'),
    [(30.0, outbound_call.RETRY_AFTER_S), (0.3, 0.1), (0.0, 0.01)],
)
def test_client_is_not_told_to_wait_longer_than_it_would(
    remaining_s, retry_after
):
    refusal = call_access.refusal(
        call_access.organisations.NoFreshProof(), remaining_s
    )
    assert refusal.retry_after == retry_after


def test_no_key_is_logged_or_answered():
    async def test(harness):
        written = []
        harness.mesh.decisions = decision_log.DecisionLog(
            'own', trio.current_time, mesh_fakes.writer_to(written)
        )
        answers = []
        for key in (b'key-acme', b'key-unknown'):
            extra = b'X-Api-Key: ' + key + b'\r\n'
            answers.append((await harness.send_request(extra=extra))[1])
        harness.mesh.decisions.flush()
        text = b''.join(written + answers)
        assert b'"organisation": "acme"' in text
        assert b'"code": "unknown-key"' in text
        assert b'key-acme' not in text
        assert b'key-unknown' not in text

    run_with_organisations(test)


def test_names_of_headers_are_those_of_the_platform():
    assert headers.HEADERS.api_key == b'x-api-key'
    assert headers.HEADERS.organisation == b'pumicestand-tenant-id'


def test_a_client_with_a_key_is_not_served_as_a_target_by_its_request_id():
    """It would take no quota and be queued before other clients' calls."""

    async def test(harness):
        calls = record_calls(harness)
        harness.targets._running_calls['a'] = Parent()
        status, _ = await harness.send_request(
            request_id='a.1', extra=ACME_KEY
        )
        assert status == 200
        assert [call.is_nested for call in calls] == [False]

    run_with_organisations(test)
