"""The demo: the whole system on this machine, with a report.

Ends with exit code 0 only if every invariant that it checks held.
"""

import dataclasses
import datetime
import json
import random
import sys
import time

import trio

from benchmarks import harness
from pumicestand import clocks
from pumicestand import errors
from pumicestand_standins import http_client
from pumicestandctl import commands
from pumicestandctl import settings as ctl_settings

ZONES = ('zone-a', 'zone-b')
REGION = 'southeast'
NODES_PER_ZONE = 3
UNPROVEN_SHARE = 0.05
CONVERGENCE_BOUND_S = 7.0
DRAIN_BOUND_S = 3.0
LOOKUPS_PER_S = 90.0
SALES_PER_S = 15.0
CALLER_NODES = 3
SETTLE_S = 1.0
PROMOTE_ATTEMPTS = 30
MEET_TIMEOUT_S = 15.0
PROMOTE_RETRY_S = 0.2

DOCUMENT = """\
schema: pumicestand/v1
services:
  passdesk:
    versions: [v1, v2, v3]
    current: {current}
    resources: [passes]
    calls: [till]
    limits: {{slots: 20, connections: 120, queue: 40}}
  till:
    versions: [v1]
    current: v1
    resources: [ledger]
    limits: {{slots: 20, connections: 120, queue: 40}}
routes:
  - name: lookup
    path: /passes
    methods: [GET]
    to: [{{service: passdesk}}]
    resources: [passes]
    timeout: 3s
    idempotent: true
  - name: sale
    path: /sales
    methods: [POST]
    to: [{{service: till}}]
    resources: [ledger]
    timeout: 3s
    idempotent: false
moves: {moves}
"""


def write_document(current='v1', moves=()):
    """Return the demo's document as YAML."""
    return DOCUMENT.format(current=current, moves=json.dumps(list(moves)))


def write_move(name, target, start_in, seconds):
    """Return a move of passdesk that starts soon."""
    start = time.time() + start_in
    return {
        'name': name,
        'service': 'passdesk',
        'to': target,
        'start': _iso(start),
        'by': _iso(start + seconds),
        'unproven_share': f'{UNPROVEN_SHARE:.0%}',
        'bad': {'errors': '2%', 'latency': '3x'},
    }


def _iso(seconds):
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.isoformat()


@dataclasses.dataclass(slots=True)
class Findings:
    """What the demo saw.

    :param broken: invariants that did not hold, as text
    """

    broken: list = dataclasses.field(default_factory=list)
    convergence_s: list = dataclasses.field(default_factory=list)
    good_total: int = 0
    good_on_time: int = 0
    bad_total: int = 0
    bad_taken_back: int = 0
    taken_back_at: float = 0.0
    bad_share: float = 0.0
    generations: dict = dataclasses.field(default_factory=dict)

    def check(self, holds, text):
        """Note an invariant that did not hold."""
        if not holds:
            self.broken.append(text)


class Demo:
    """One run of the demo.

    :param fleet: a `harness.Fleet`
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._findings = Findings()
        self._books = http_client.CallLog()
        self._trial = []
        self._nodes = []
        self._targets = {}
        self._session = None
        self._callers = []
        self._started = time.monotonic()

    def _say(self, text):
        print(f'{time.monotonic() - self._started:6.1f} s  {text}')

    async def run(self):
        """Run all steps; return the `Findings`."""
        await trio.to_thread.run_sync(self._start_processes)
        settings = ctl_settings.CtlSettings(
            store=self._fleet.store.url,
            nodes=[
                node.operator_url.removeprefix('http://')
                for node in self._nodes[:2]
            ],
        )
        self._session = commands.Session(settings)
        await self._session.start()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._poll_generations)
                await self._run_steps()
                nursery.cancel_scope.cancel()
        finally:
            await self._session.close()
        await trio.to_thread.run_sync(self._check_books)
        return self._findings

    def _start_processes(self):
        fleet = self._fleet
        fleet.start_store()
        for index, zone in enumerate(ZONES):
            settings = fleet.node_settings(
                f'trial-{index + 1}', zone, REGION, 'trial'
            )
            self._trial.append(fleet.start_node(settings))
        fleet.nodes = []
        for index in range(NODES_PER_ZONE * len(ZONES)):
            zone = ZONES[index % len(ZONES)]
            name = f'{zone}-{index // len(ZONES) + 1}'
            settings = fleet.node_settings(name, zone, REGION)
            self._nodes.append(fleet.start_node(settings))
        fleet.wait_for_nodes(self._trial + self._nodes)
        for nodes in (self._trial, self._nodes):
            harness.wait_until(
                lambda nodes=nodes: all(
                    node.status()['members'] == len(nodes) for node in nodes
                ),
                MEET_TIMEOUT_S,
                'all nodes know each other',
            )
        self._start_targets()
        count = len(self._trial) + len(self._nodes)
        self._say(
            f'{count} nodes, {len(fleet.targets)} targets and the store run'
        )

    def _start_targets(self):
        for node in self._trial:
            self._add_target('trial', 'passdesk', 'v1', node)
            self._add_target('trial', 'till', 'v1', node)
        for index, node in enumerate(self._nodes):
            version = ('v1', 'v1', 'v2', 'v2', 'v3', 'v3')[index]
            behaviour = {'errors': 0.3} if version == 'v3' else {}
            self._add_target(
                'production', 'passdesk', version, node, behaviour
            )
        for node in self._nodes[:3]:
            self._add_target('production', 'till', 'v1', node)
        self._fleet.wait_for_targets(self._fleet.targets)

    def _add_target(self, environment, service, version, node, behaviour=()):
        resources = {'passdesk': 'passes', 'till': 'ledger'}[service]
        target = self._fleet.start_target(
            service,
            version,
            node,
            resources=resources,
            behaviour=dict(behaviour),
            seed=len(self._fleet.targets),
        )
        group = self._targets.setdefault((environment, service, version), [])
        group.append(target)

    async def _run_steps(self):
        await self._publish(write_document())
        async with trio.open_nursery() as nursery:
            self._start_callers(nursery)
            await trio.sleep(SETTLE_S)
            await self._move_to_good_version()
            await self._race_operators()
            await self._move_to_bad_version()
            await self._drain_target()
            await self._stop_node_under_load()
            await trio.sleep(SETTLE_S)
            for source in self._callers:
                source.is_paused = True
            await trio.sleep(SETTLE_S)
            nursery.cancel_scope.cancel()

    def _start_callers(self, nursery):
        addresses = [node.call_address for node in self._nodes]
        patterns = [
            http_client.CallPattern(
                'GET', '/passes/7', LOOKUPS_PER_S / CALLER_NODES
            ),
            http_client.CallPattern(
                'POST', '/sales', SALES_PER_S / CALLER_NODES, b'one pass'
            ),
        ]
        for index in range(CALLER_NODES):
            order = addresses[index:] + addresses[:index]
            source = http_client.LoadGenerator(
                f'caller{index}', order, self._books, random.Random(index)
            )
            self._callers.append(source)
            until = trio.current_time() + 120
            nursery.start_soon(source.run, patterns, until)

    async def _publish(self, text):
        """Apply to trial, wait, promote, wait; note the convergence."""
        session = self._session
        await session.apply(text, 'trial')
        await session.wait('trial', 0, None, 15.0)
        await self._promote_when_reported()
        written_at = time.time()
        report = await session.wait('production', 0, None, 15.0)
        generation = report.data['accepted']
        seen = len(report.data['acting'])
        self._findings.check(
            seen == len(self._nodes),
            f'{seen} of {len(self._nodes)} nodes were seen to act',
        )
        seconds = await trio.to_thread.run_sync(
            self._convergence, generation, written_at
        )
        self._findings.convergence_s.append(seconds)
        self._say(
            f'generation {generation} in force at all '
            f'{len(report.data["acting"])} nodes after {seconds:.2f} s'
        )

    async def _promote_when_reported(self):
        """Promote; trial's nodes write their report a moment later."""
        for _ in range(PROMOTE_ATTEMPTS):
            try:
                await self._session.promote()
                return
            except errors.PumicestandError as error:
                if error.code != errors.Code.NOT_IN_FORCE_ON_TRIAL:
                    raise
            await trio.sleep(PROMOTE_RETRY_S)
        await self._session.promote()

    def _convergence(self, generation, written_at):
        """Return seconds from the write's answer to the last node."""
        last = written_at
        for node in self._nodes:
            for event in node.timeline():
                if event['kind'] != 'version-in-force':
                    continue
                if event['generation'] == generation:
                    at = clocks.stamp_seconds(event['stamp'])
                    last = max(last, at)
        return last - written_at

    async def _move_to_good_version(self):
        """Move in time, through an outage in which a node restarts."""
        findings = self._findings
        findings.good_total += 1
        move = write_move('passdesk-v2', 'v2', 2.0, 16.0)
        due = datetime.datetime.fromisoformat(move['by']).timestamp()
        await self._publish(write_document(moves=[move]))
        await self._set_faults(refusing=True)
        self._say('the store is down')
        await self._restart_node_in_outage(self._nodes[-1])
        await trio.sleep(2.0)
        await self._set_faults()
        self._say('the store is up')
        try:
            await self._session.wait('production', 0, 'passdesk-v2', 30.0)
        except errors.PumicestandError as error:
            findings.check(False, f'the good version failed: {error}')
            return
        late = time.time() - due
        findings.good_on_time += late <= 0
        self._say(f'passdesk-v2 is done {-late:.1f} s before its time')

    async def _set_faults(self, **faults):
        def set_faults():
            self._fleet.store.set_faults(**faults)

        await trio.to_thread.run_sync(set_faults)

    async def _restart_node_in_outage(self, node):
        before = (await trio.to_thread.run_sync(node.status))['acting']
        node.kill()
        await trio.sleep(0.5)
        self._nodes[-1] = again = self._fleet.start_node(node.settings)
        await trio.to_thread.run_sync(
            harness.wait_until,
            lambda: again.status()['acting'] >= before,
            15.0,
            f'{again.name} acts again',
        )
        status = await trio.to_thread.run_sync(again.status)
        self._findings.check(
            status['floor'] >= before,
            f'{again.name} learned floor {status["floor"]}, it acted on '
            f'{before} before',
        )
        self._say(
            f'{again.name} was killed and restarted: its floor is '
            f'{status["floor"]}, learned from its peers'
        )

    async def _race_operators(self):
        """Two operators apply at once; one must be told of the other."""
        outcomes = []

        async def apply(text):
            try:
                await self._session.apply(text, 'trial', expected)
                outcomes.append('applied')
            except errors.ConflictError as error:
                outcomes.append(f'conflict with {error.current_version}')

        status = await self._session.status('trial')
        expected = status.data['accepted']
        first = write_document('v2')
        second = write_document('v2').replace('timeout: 3s', 'timeout: 4s')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(apply, first)
            nursery.start_soon(apply, second)
        self._say(f'two operators at once: {" and ".join(sorted(outcomes))}')
        self._findings.check(
            outcomes.count('applied') == 1,
            f'of two operators at once: {outcomes}',
        )

    async def _move_to_bad_version(self):
        findings = self._findings
        findings.bad_total += 1
        move = write_move('passdesk-v3', 'v3', 2.0, 14.0)
        start = datetime.datetime.fromisoformat(move['start']).timestamp()
        await self._publish(write_document('v2', [move]))
        calls_before = self._lookups()
        try:
            await self._session.wait('production', 0, 'passdesk-v3', 30.0)
            findings.check(False, 'the bad version was not taken back')
        except errors.PumicestandError as error:
            findings.bad_taken_back += (
                error.code == errors.Code.MOVE_TAKEN_BACK
            )
            self._say(
                f'{error.message} after {time.time() - start:.1f} s of the '
                'move'
            )
        await trio.sleep(SETTLE_S)
        hit = await trio.to_thread.run_sync(self._runs_of, 'v3')
        calls = self._lookups() - calls_before
        findings.bad_share = hit / max(1, calls)
        findings.check(
            hit <= UNPROVEN_SHARE * calls + 1,
            f'the bad version took {hit} of {calls} calls, allowed are '
            f'{UNPROVEN_SHARE:.0%}',
        )
        await trio.sleep(2.0)
        again = await trio.to_thread.run_sync(self._runs_of, 'v3')
        findings.check(
            again == hit,
            f'{again - hit} calls reached the version that was taken back',
        )

    def _lookups(self):
        return sum(method == 'GET' for _, method in self._books.by_id.values())

    def _runs_of(self, version):
        targets = self._targets[('production', 'passdesk', version)]
        return sum(sum(t.ledger()['runs'].values()) for t in targets)

    async def _drain_target(self):
        target = self._targets[('production', 'till', 'v1')][-1]

        await trio.to_thread.run_sync(target.drain)
        await trio.sleep(DRAIN_BOUND_S + 1.0)
        ledger = await trio.to_thread.run_sync(target.ledger)
        seconds = ledger['new_work_after_drain_s']
        self._findings.check(
            seconds <= DRAIN_BOUND_S,
            f'{target.name} got new work {seconds:.2f} s after it announced '
            f'that it leaves, the bound is {DRAIN_BOUND_S:g} s',
        )
        self._say(
            f'{target.name} drains: the last new work came {seconds:.2f} s '
            'after its announcement'
        )

    async def _stop_node_under_load(self):
        node = self._nodes[0]
        cut = self._books.counts['cut']
        node.terminate()
        code = await trio.to_thread.run_sync(node.wait)
        cut = self._books.counts['cut'] - cut
        self._say(f'{node.name} stopped under load: {cut} calls cut')
        self._findings.check(code == 0, f'{node.name} ended with {code}')
        self._findings.check(cut == 0, f'{cut} calls cut by a planned stop')

    async def _poll_generations(self):
        """Watch that no name ever shows a lower generation."""
        while True:
            await trio.to_thread.run_sync(self._sample_generations)
            await trio.sleep(0.3)

    def _sample_generations(self):
        seen = self._findings.generations
        for node in list(self._nodes):
            try:
                acting = node.status()['acting']
            except OSError:
                continue
            if not acting:
                continue
            self._findings.check(
                acting >= seen.get(node.name, 0),
                f'{node.name} went back from {seen.get(node.name)} to '
                f'{acting}',
            )
            seen[node.name] = max(acting, seen.get(node.name, 0))

    def _check_books(self):
        """Compare what callers were told with what targets ran."""
        findings = self._findings
        runs = {}
        for group, targets in self._targets.items():
            if group[0] != 'production':
                continue
            for target in targets:
                for identity, count in target.ledger()['runs'].items():
                    runs[identity] = runs.get(identity, 0) + count
        twice = [
            identity
            for identity, (_, method) in self._books.by_id.items()
            if method == 'POST' and runs.get(identity, 0) > 1
        ]
        false = [
            identity
            for identity, (outcome, _) in self._books.by_id.items()
            if outcome == 'not-run' and runs.get(identity)
        ]
        findings.check(not twice, f'sales that ran twice: {twice}')
        findings.check(not false, f'refused as not run but ran: {false}')
        wrong = self._books.counts['wrong']
        findings.check(not wrong, f'{wrong} callers got a wrong answer')
        slowest = max(findings.convergence_s)
        findings.check(
            slowest <= CONVERGENCE_BOUND_S,
            f'a generation was in force after {slowest:.1f} s, the bound is '
            f'{CONVERGENCE_BOUND_S:g} s',
        )
        findings.check(
            findings.good_on_time == findings.good_total,
            'a good version was not done by its time',
        )
        self._print_report(len(twice))

    def _print_report(self, twice):
        findings, counts = self._findings, self._books.counts
        sent = sum(
            node.metric('pumicestand_control_bytes_total', 'sent')
            for node in self._nodes[1:]
        )
        seconds = time.monotonic() - self._started
        per_node = sent / (len(self._nodes) - 1) / seconds
        refused = {
            kind: count
            for kind, count in counts.items()
            if kind not in ('answered', 'failed')
        }
        lines = (
            '',
            'convergence time      '
            + ', '.join(f'{s:.2f} s' for s in findings.convergence_s),
            f'control bytes         {per_node:.0f} B/s sent by a node',
            f'good versions on time {findings.good_on_time} of '
            f'{findings.good_total}',
            f'bad versions back     {findings.bad_taken_back} of '
            f'{findings.bad_total}, with {findings.bad_share:.1%} of calls',
            f'calls answered        {counts["answered"]}',
            f'calls failed          {counts["failed"]} by targets, '
            f'{sum(refused.values())} else {refused or ""}',
            f'run twice             {twice}',
            f'refusals by code      {dict(self._books.refusals) or "none"}',
        )
        print('\n'.join(lines))
        for text in findings.broken:
            print(f'BROKEN: {text}')


def main():
    """Run the demo; return its exit code."""
    with harness.Fleet() as fleet:
        findings = trio.run(Demo(fleet).run)
    if findings.broken:
        return 1
    print('every invariant that was checked held')
    return 0


if __name__ == '__main__':
    sys.exit(main())
