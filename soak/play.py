"""Runs one soak with the calls, changes and faults of a seed."""

import collections
import dataclasses
import itertools
import json
import pathlib
import random
import signal
import sys
import tempfile

import trio

from pumicestand_standins import http_client
from pumicestand_standins import mesh_target
from soak import checks
from soak import clusters
from soak import faults
from soak import key_rings
from soak import machine_faults
from soak import machines
from soak import records

CLIENTS_PER_NODE = 2
MEAN_THINK_TIME_S = 0.06
DEADLINE_MS = 1500
# With `records.Part.STOPS`: clients per node that send long calls, and the
# seconds that these take. Near a stop, they end at the given seconds after
# its SIGTERM, on both sides of the time from which a node may give them up.
LONG_CLIENTS_PER_NODE = 2
LONG_DEADLINE_MS = 9000
LONG_WORK_S = (0.5, 3.0)
LATE_ENDS_S = (4.4, 5.1)
UPLOAD_BYTES = 200_000
CHANGE_PERIOD_S = 2.5
PROBE_PERIOD_S = 0.3
# Time between two calls with a withdrawn key, each to another node.
WITHDRAWN_PERIOD_S = 0.05
# Share of the calls within the final window that must succeed.
MIN_SERVED_SHARE = 0.9
FINAL_WINDOW_S = 1.5

# Kind, method, path prefix and weight of the calls of a client.
_CALL_MIX = (
    (records.CallKind.REPEATABLE, 'GET', '/r/', 0.55),
    (records.CallKind.ONCE, 'POST', '/o/', 0.35),
    (records.CallKind.UPLOAD, 'POST', '/u/', 0.1),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a soak.

    :param nodes: number of nodes
    :param calls: number of calls by status, 0 for no response
    :param faults: number of injected faults by kind
    """

    seed: int
    nodes: int
    seconds: float
    calls: dict
    faults: dict
    findings: tuple[records.Finding, ...]

    def to_json(self):
        """Return the verdict as one line of JSON."""
        return json.dumps(dataclasses.asdict(self))


async def run_soak(
    seed,
    node_count,
    seconds,
    checks_timing=True,
    logs=None,
    parts=(),
    deployment=None,
):
    """Run a soak; return (`Verdict`, `records.Record`, start time).

    The start time is in seconds of trio's clock.

    :param seed: determines faults and calls
    :param seconds: duration without the start of the nodes; the soak lasts
        longer if the last fault is over too late
    :param checks_timing: see `checks.check`
    :param logs: folder in which the nodes' logs are kept, None to delete them
    :param parts: the `records.Part`s to play
    :param deployment: see `clusters.Cluster`; needed by `records.Part.MACHINE`
    """
    rng = random.Random(seed)
    schedule = faults.draw_whole_schedule(
        rng, seed, seconds, node_count, parts
    )
    record = records.Record()
    with tempfile.TemporaryDirectory(prefix='soak-') as temporary_folder:
        cluster = clusters.Cluster(
            node_count,
            pathlib.Path(logs or temporary_folder).resolve(),
            parts,
            key_rings.KeyRing(seed) if records.Part.KEYS in parts else None,
            seed,
            deployment,
        )
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(_exit_on_sigterm)
                await cluster.start(nursery)
                start_time = trio.current_time()
                injector_findings = await _run_load_and_faults(
                    cluster, schedule, record, seconds, rng, seed
                )
                end = trio.current_time()
                if deployment is not None:
                    injector_findings += await check_idle(cluster)
                nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await cluster.close()
        torn_lines = [
            records.Finding(
                'each line of a log is whole JSON', f'{name}: {line[:200]!r}'
            )
            for name, line in machines.find_torn_lines(cluster.folder)
        ]
    for node in cluster.nodes:
        record.runs += node.target.ledger
        record.run_ends |= node.target.ended_at
        record.answers |= node.target.answers
        record.responses += node.target.nested_responses
        record.target_nodes[node.target.name] = node.name
        record.departures += node.target.departures
        record.cold_crashes += node.target.cold_crashes
        record.limits += [(node.name, p) for p in node.target.limit_periods]
    findings = [
        *injector_findings,
        *(torn_lines if deployment else ()),
        *(finding for node in cluster.nodes for finding in node.findings),
        *checks.check(record, checks_timing),
    ]
    if checks_timing:
        findings += check_recovery(record, end)
    status_counts = collections.Counter(call.status for call in record.calls)
    fault_counts = collections.Counter(
        d.fault.value for d in record.disruptions
    )
    verdict = Verdict(
        seed,
        node_count,
        seconds,
        dict(status_counts),
        dict(fault_counts),
        tuple(findings),
    )
    return verdict, record, start_time


async def _exit_on_sigterm(task_status=trio.TASK_STATUS_IGNORED):
    """Raise `SystemExit` in a task, so that the soak ends its processes.

    Raised in a signal handler it would end trio without any cleanup.
    """
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        task_status.started()
        async for _ in signals:
            sys.exit(1)


async def check_idle(cluster):
    """Return findings for nodes that are busy though no calls are sent."""
    cores = await machine_faults.measure_idle_cores(cluster.nodes)
    return [
        records.Finding(
            'nodes without calls leave the processor alone',
            f'{name} used {used:.2f} of a core',
        )
        for name, used in cores.items()
        if used > machine_faults.MAX_IDLE_CORES
    ]


def check_recovery(record, end):
    """Return a list with a finding unless calls succeed after the faults.

    :param end: end of the soak, in seconds of trio's clock
    """
    withdrawn_keys = {w.key for w in record.withdrawals}
    refused_ids = {
        request_id
        for request_id, call in record.keyed_calls.items()
        if call.key in withdrawn_keys
    }
    final_calls = [
        call
        for call in record.calls
        if call.sent_at > end - FINAL_WINDOW_S
        and call.kind is not records.CallKind.LONG
        and call.request_id not in refused_ids
    ]
    served = sum(call.status == 200 for call in final_calls)
    if final_calls and served >= MIN_SERVED_SHARE * len(final_calls):
        return []
    return [
        records.Finding(
            'calls succeed after the last fault',
            f'{served} of {len(final_calls)} calls succeeded in the last '
            f'{FINAL_WINDOW_S:g} s',
        )
    ]


async def _run_load_and_faults(cluster, schedule, record, seconds, rng, seed):
    async with trio.open_nursery() as nursery:
        for node in cluster.nodes:
            nursery.start_soon(_send_probes, node, cluster, record)
            for number in range(CLIENTS_PER_NODE):
                client_rng = random.Random(rng.random())
                client_name = f'{node.name}x{number}'
                nursery.start_soon(
                    _send_calls,
                    node,
                    client_name,
                    record,
                    client_rng,
                    cluster.key_ring,
                )
            if not cluster.has_long_calls:
                continue
            for number in range(LONG_CLIENTS_PER_NODE):
                client_name = f'{node.name}l{number}'
                nursery.start_soon(
                    _send_calls,
                    node,
                    client_name,
                    record,
                    random.Random(f'{client_name} {seed}'),
                    cluster.key_ring,
                    _draw_long_call,
                )
        if cluster.key_ring is not None:
            nursery.start_soon(_send_withdrawn_keys, cluster, record, nursery)
        nursery.start_soon(_change_configuration, cluster, record, seconds)
        injector = faults.FaultInjector(cluster, record, nursery)
        end = trio.current_time() + seconds
        await injector.run(schedule)
        # A node that was stopped last may start after the last fault was due.
        calm_end = trio.current_time() + faults.FAULT_FREE_S
        await trio.sleep_until(max(end, calm_end))
        nursery.cancel_scope.cancel()
    return injector.findings


async def _change_configuration(cluster, record, seconds):
    """Change the configuration periodically, except at the end."""
    end = trio.current_time() + seconds - faults.FAULT_FREE_S
    while trio.current_time() < end:
        await trio.sleep(CHANGE_PERIOD_S)
        generation = cluster.accept_next_configuration()
        record.changes.append(records.Change(generation, trio.current_time()))


async def _send_probes(node, cluster, record):
    """Request the route of the newest generation from a node."""
    number = 0
    while True:
        await trio.sleep(PROBE_PERIOD_S)
        number += 1
        generation, start_count = cluster.generation, node.start_count
        sent_at = trio.current_time()
        connection = http_client.Connection(node.outbound_address)
        request_id = f'p{number}-{node.name}'
        response = await connection.call(
            'GET',
            f'/g{generation}/x',
            _headers(
                request_id, cluster.key_ring and cluster.key_ring.choose()
            ),
        )
        await connection.close()
        record.responses.append(
            mesh_target.Received.from_response(request_id, response)
        )
        record.probes.append(
            records.Probe(
                node.name, start_count, generation, sent_at, response.status
            )
        )


async def _send_withdrawn_keys(cluster, record, nursery):
    """Send calls with the key withdrawn last, without waiting for responses.

    The other clients wait for the response of a paused node, so that they
    send it nothing that it has to refuse once it resumes.
    """
    for number in itertools.count():
        await trio.sleep(WITHDRAWN_PERIOD_S)
        credential = cluster.key_ring.last_withdrawn
        if credential is None:
            continue
        node = cluster.nodes[number % len(cluster.nodes)]
        request_id = f'w{number}-{node.name}'
        record.keyed_calls[request_id] = records.KeyedCall(
            credential.key, credential.organisation, trio.current_time()
        )
        nursery.start_soon(_send_one_call, node, request_id, credential)


async def _send_one_call(node, request_id, credential):
    connection = http_client.Connection(node.outbound_address)
    await connection.call('GET', '/r/x', _headers(request_id, credential))
    await connection.close()


def _headers(request_id, credential, deadline_ms=DEADLINE_MS):
    headers = {
        'host': clusters.HOST_NAME,
        'pumicestand-request-id': request_id,
        'pumicestand-deadline-ms': str(deadline_ms),
    }
    if credential is None:
        return headers
    return {
        **headers,
        'x-api-key': credential.key,
        # The node must not forward the organisation that a client names.
        'pumicestand-tenant-id': 'forged',
    }


def _draw_call(rng, node):
    """Return kind, method, path and deadline in ms of a call."""
    kind, method, path, _ = rng.choices(
        _CALL_MIX, [weight for *_, weight in _CALL_MIX]
    )[0]
    return kind, method, path + 'x', DEADLINE_MS


def _draw_long_call(rng, node):
    """Return the same of a long call, which ends late if the node stops."""
    work_s = rng.uniform(*LONG_WORK_S)
    end_s = rng.uniform(*LATE_ENDS_S)
    to_stop_s = node.stop_at - trio.current_time()
    if -clusters.ACCEPT_AFTER_STOP_S < to_stop_s < faults.PREPARATION_S:
        work_s = to_stop_s + end_s
    path = f'/l/x?work_s={work_s:.3f}'
    return records.CallKind.LONG, 'POST', path, LONG_DEADLINE_MS


async def _send_calls(
    node, client_name, record, rng, key_ring, draw_call=_draw_call
):
    """Send calls one after the other, on one connection if possible.

    Calls are spaced by random times with the mean `MEAN_THINK_TIME_S`.
    """
    connection = http_client.Connection(node.outbound_address)
    number = 0
    while True:
        await trio.sleep(rng.expovariate(1 / MEAN_THINK_TIME_S))
        number += 1
        request_id = f'{client_name}x{number}'
        kind, method, path, deadline_ms = draw_call(rng, node)
        body = b'u' * UPLOAD_BYTES if kind is records.CallKind.UPLOAD else b''
        sent_at = trio.current_time()
        credential = key_ring and key_ring.choose()
        if credential is not None:
            record.keyed_calls[request_id] = records.KeyedCall(
                credential.key, credential.organisation, sent_at
            )
        response = await connection.call(
            method, path, _headers(request_id, credential, deadline_ms), body
        )
        if not response.was_connected:
            await trio.sleep(MEAN_THINK_TIME_S)
            continue
        received = mesh_target.Received.from_response(request_id, response)
        record.responses.append(received)
        record.calls.append(
            records.Call(
                request_id,
                kind,
                node.name,
                sent_at,
                trio.current_time(),
                response.status,
                received.has_expected_body,
                bool(received.stamp),
                response.used_new_connection,
                response.was_reset,
            )
        )
