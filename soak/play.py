"""Plays one soak: nodes, callers, changes and faults of a seed."""

import collections
import dataclasses
import json
import pathlib
import random
import tempfile

import trio

from pumicestand_standins import http_client
from pumicestand_standins import mesh_target
from soak import checks
from soak import faults
from soak import records
from soak import world as worlds

CALLERS_PER_NODE = 2
THINK_S = 0.06
DEADLINE_MS = 1500
UPLOAD_BYTES = 200_000
CHANGE_S = 2.5
PROBE_S = 0.3
# What part of the calls of the last, calm seconds must be answered.
CALM_SERVED = 0.9
CALM_TAIL_S = 1.5

_KINDS = (
    (records.Kind.REPEATABLE, 'GET', '/r/', 0.55),
    (records.Kind.ONCE, 'POST', '/o/', 0.35),
    (records.Kind.UPLOAD, 'POST', '/u/', 0.1),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What a soak found.

    :param calls: answers by status, 0 for none
    """

    seed: int
    nodes: int
    seconds: float
    calls: dict
    faults: dict
    findings: tuple[records.Finding, ...]

    def to_json(self):
        """Return the verdict as one line."""
        return json.dumps(dataclasses.asdict(self))


async def play(seed, size, seconds, is_timed=True, logs=None):
    """Return (`Verdict`, `records.Record`, seconds of the start).

    :param seed: decides faults and calls
    :param size: number of nodes
    :param logs: folder in which the nodes' logs stay, None for none
    """
    rng = random.Random(seed)
    planned = faults.draw(rng, seconds, size)
    record = records.Record()
    with tempfile.TemporaryDirectory(prefix='soak-') as name:
        world = worlds.World(size, pathlib.Path(logs or name))
        try:
            async with trio.open_nursery() as nursery:
                await world.start(nursery)
                started = trio.current_time()
                extra = await _play(world, planned, record, seconds, rng)
                nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await world.close()
    for node in world.nodes:
        record.runs += node.target.ledger
        record.departures += node.target.departures
    found = [*extra, *checks.check(record, is_timed)]
    if is_timed:
        found += check_calm_end(record, started + seconds)
    counts = collections.Counter(a.status for a in record.attempts)
    made = collections.Counter(d.fault.value for d in record.disruptions)
    verdict = Verdict(
        seed, size, seconds, dict(counts), dict(made), tuple(found)
    )
    return verdict, record, started


def check_calm_end(record, end):
    """Return a finding unless calls are served once all faults are over."""
    last = [a for a in record.attempts if a.sent_at > end - CALM_TAIL_S]
    served = sum(a.status == 200 for a in last)
    if last and served >= CALM_SERVED * len(last):
        return []
    return [
        records.Finding(
            'all is well again',
            f'{served} of {len(last)} calls served in the last '
            f'{CALM_TAIL_S:g} s',
        )
    ]


async def _play(world, planned, record, seconds, rng):
    async with trio.open_nursery() as nursery:
        for node in world.nodes:
            nursery.start_soon(_probe, node, world, record)
            for number in range(CALLERS_PER_NODE):
                own = random.Random(rng.random())
                name = f'{node.name}x{number}'
                nursery.start_soon(_call, node, name, record, own)
        nursery.start_soon(_change, world, record, seconds)
        maker = faults.FaultMaker(world, record, nursery)
        end = trio.current_time() + seconds
        await maker.run(planned)
        await trio.sleep_until(end)
        nursery.cancel_scope.cancel()
    return maker.findings


async def _change(world, record, seconds):
    """Change the configuration now and then, not in the last seconds."""
    end = trio.current_time() + seconds - faults.CALM_S
    while trio.current_time() < end:
        await trio.sleep(CHANGE_S)
        generation = world.change()
        record.changes.append(records.Change(generation, trio.current_time()))


async def _probe(node, world, record):
    """Ask a node for the newest generation's own route."""
    number = 0
    while True:
        await trio.sleep(PROBE_S)
        number += 1
        generation, boot = world.generation, node.boot
        sent_at = trio.current_time()
        connection = http_client.Connection(node.outbound)
        answer = await connection.call(
            'GET', f'/g{generation}/x', _headers(f'p{number}-{node.name}')
        )
        await connection.close()
        record.probes.append(
            records.Probe(node.name, boot, generation, sent_at, answer.status)
        )


def _headers(identity):
    return {
        'host': worlds.HOST_NAME,
        'pumicestand-request-id': identity,
        'pumicestand-deadline-ms': str(DEADLINE_MS),
    }


async def _call(node, name, record, rng):
    """Send calls one after the other, on one connection while it lasts."""
    connection = http_client.Connection(node.outbound)
    number = 0
    while True:
        await trio.sleep(rng.expovariate(1 / THINK_S))
        number += 1
        identity = f'{name}x{number}'
        kind, method, path, _ = rng.choices(
            _KINDS, [weight for *_, weight in _KINDS]
        )[0]
        body = b'u' * UPLOAD_BYTES if kind is records.Kind.UPLOAD else b''
        sent_at = trio.current_time()
        answer = await connection.call(
            method, path + 'x', _headers(identity), body
        )
        if not answer.was_connected:
            await trio.sleep(THINK_S)
            continue
        is_own = (
            answer.body == mesh_target.expected_body(identity)
            and 'pumicestand-server-stamp' in answer.headers
        )
        record.attempts.append(
            records.Attempt(
                identity,
                kind,
                node.name,
                sent_at,
                trio.current_time(),
                answer.status,
                is_own,
            )
        )
