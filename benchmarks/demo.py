"""Runs the whole system on this machine and prints a report.

The exit code is 0 only if every invariant that the demo checks held.
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
MAX_CONVERGENCE_S = 7.0
MAX_DRAIN_S = 3.0
LOOKUPS_PER_S = 90.0
SALES_PER_S = 15.0
CLIENT_COUNT = 3
SETTLE_S = 1.0
PROMOTE_ATTEMPTS = 30
MEMBERSHIP_TIMEOUT_S = 15.0
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


def make_document_yaml(current='v1', moves=()):
    """Return the demo's document as YAML."""
    return DOCUMENT.format(current=current, moves=json.dumps(list(moves)))


def make_move(name, version, delay_s, duration_s):
    """Return a move of the service passdesk, as a dict.

    :param version: the version to which it moves
    :param delay_s: seconds from now to its start
    :param duration_s: seconds from its start to its deadline
    """
    start = time.time() + delay_s
    return {
        'name': name,
        'service': 'passdesk',
        'to': version,
        'start': _to_iso_time(start),
        'by': _to_iso_time(start + duration_s),
        'unproven_share': f'{UNPROVEN_SHARE:.0%}',
        'bad': {'errors': '2%', 'latency': '3x'},
    }


def _to_iso_time(timestamp_s):
    moment = datetime.datetime.fromtimestamp(timestamp_s, datetime.UTC)
    return moment.isoformat()


@dataclasses.dataclass(slots=True)
class Findings:
    """What the demo observed.

    :param violations: descriptions of the invariants that did not hold
    :param convergence_s: seconds until each published generation was in
        force at all nodes
    :param bad_share: fraction of calls that the bad version received
    :param generations: highest generation seen in force, by node name
    """

    violations: list = dataclasses.field(default_factory=list)
    convergence_s: list = dataclasses.field(default_factory=list)
    good_total: int = 0
    good_on_time: int = 0
    bad_total: int = 0
    bad_taken_back: int = 0
    taken_back_at: float = 0.0
    bad_share: float = 0.0
    generations: dict = dataclasses.field(default_factory=dict)

    def check(self, is_satisfied, text):
        """Record a violation unless an invariant is satisfied."""
        if not is_satisfied:
            self.violations.append(text)


class Demo:
    """One run of the demo.

    :param fleet: a `harness.Fleet`
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._findings = Findings()
        self._call_log = http_client.CallLog()
        self._trial_nodes = []
        self._nodes = []
        self._targets = {}
        self._session = None
        self._load_generators = []
        self._started = time.monotonic()

    def _print_progress(self, text):
        print(f'{time.monotonic() - self._started:6.1f} s  {text}')

    async def run(self):
        """Run all steps and return the `Findings`."""
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
        await trio.to_thread.run_sync(self._check_call_log)
        return self._findings

    def _start_processes(self):
        fleet = self._fleet
        fleet.start_store()
        for index, zone in enumerate(ZONES):
            settings = fleet.node_settings(
                f'trial-{index + 1}', zone, REGION, 'trial'
            )
            self._trial_nodes.append(fleet.start_node(settings))
        fleet.nodes = []
        for index in range(NODES_PER_ZONE * len(ZONES)):
            zone = ZONES[index % len(ZONES)]
            name = f'{zone}-{index // len(ZONES) + 1}'
            settings = fleet.node_settings(name, zone, REGION)
            self._nodes.append(fleet.start_node(settings))
        fleet.wait_for_nodes(self._trial_nodes + self._nodes)
        for nodes in (self._trial_nodes, self._nodes):
            harness.wait_until(
                lambda nodes=nodes: all(
                    node.status()['members'] == len(nodes) for node in nodes
                ),
                MEMBERSHIP_TIMEOUT_S,
                'every node knows all members',
            )
        self._start_targets()
        count = len(self._trial_nodes) + len(self._nodes)
        self._print_progress(
            f'{count} nodes, {len(fleet.targets)} targets and the store are '
            'running'
        )

    def _start_targets(self):
        for node in self._trial_nodes:
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
        targets = self._targets.setdefault((environment, service, version), [])
        targets.append(target)

    async def _run_steps(self):
        await self._publish(make_document_yaml())
        async with trio.open_nursery() as nursery:
            self._start_load(nursery)
            await trio.sleep(SETTLE_S)
            await self._move_to_good_version()
            await self._apply_concurrently()
            await self._move_to_bad_version()
            await self._drain_target()
            await self._stop_node_under_load()
            await trio.sleep(SETTLE_S)
            for load_generator in self._load_generators:
                load_generator.is_paused = True
            await trio.sleep(SETTLE_S)
            nursery.cancel_scope.cancel()

    def _start_load(self, nursery):
        addresses = [node.call_address for node in self._nodes]
        patterns = [
            http_client.CallPattern(
                'GET', '/passes/7', LOOKUPS_PER_S / CLIENT_COUNT
            ),
            http_client.CallPattern(
                'POST', '/sales', SALES_PER_S / CLIENT_COUNT, b'one pass'
            ),
        ]
        for index in range(CLIENT_COUNT):
            node_order = addresses[index:] + addresses[:index]
            load_generator = http_client.LoadGenerator(
                f'caller{index}',
                node_order,
                self._call_log,
                random.Random(index),
            )
            self._load_generators.append(load_generator)
            end_time = trio.current_time() + 120
            nursery.start_soon(load_generator.run, patterns, end_time)

    async def _publish(self, text):
        """Apply a document to trial, promote it, and record convergence."""
        session = self._session
        await session.apply(text, 'trial')
        await session.wait('trial', 0, None, 15.0)
        await self._promote_when_reported()
        written_at = time.time()
        report = await session.wait('production', 0, None, 15.0)
        generation = report.data['accepted']
        seen_count = len(report.data['acting'])
        self._findings.check(
            seen_count == len(self._nodes),
            f'the generation is in force at {seen_count} of '
            f'{len(self._nodes)} nodes',
        )
        convergence_s = await trio.to_thread.run_sync(
            self._convergence, generation, written_at
        )
        self._findings.convergence_s.append(convergence_s)
        self._print_progress(
            f'generation {generation} in force at all '
            f'{len(report.data["acting"])} nodes after {convergence_s:.2f} s'
        )

    async def _promote_when_reported(self):
        """Promote, with retries until the nodes of trial have reported."""
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
        """Return the seconds from a write until it is in force everywhere."""
        last_time = written_at
        for node in self._nodes:
            for event in node.timeline():
                if event['kind'] != 'version-in-force':
                    continue
                if event['generation'] == generation:
                    in_force_at = clocks.stamp_seconds(event['stamp'])
                    last_time = max(last_time, in_force_at)
        return last_time - written_at

    async def _move_to_good_version(self):
        """Move to a good version while the store fails and a node restarts."""
        findings = self._findings
        findings.good_total += 1
        move = make_move('passdesk-v2', 'v2', 2.0, 16.0)
        due_time = datetime.datetime.fromisoformat(move['by']).timestamp()
        await self._publish(make_document_yaml(moves=[move]))
        await self._set_faults(refusing=True)
        self._print_progress('the store is down')
        await self._restart_node_in_outage(self._nodes[-1])
        await trio.sleep(2.0)
        await self._set_faults()
        self._print_progress('the store is up again')
        try:
            await self._session.wait('production', 0, 'passdesk-v2', 30.0)
        except errors.PumicestandError as error:
            findings.check(False, f'the good version failed: {error}')
            return
        lateness_s = time.time() - due_time
        findings.good_on_time += lateness_s <= 0
        self._print_progress(
            f'passdesk-v2 is done {-lateness_s:.1f} s before its time'
        )

    async def _set_faults(self, **faults):
        def set_faults():
            self._fleet.store.set_faults(**faults)

        await trio.to_thread.run_sync(set_faults)

    async def _restart_node_in_outage(self, node):
        generation_before = (await trio.to_thread.run_sync(node.status))[
            'acting'
        ]
        node.kill()
        await trio.sleep(0.5)
        self._nodes[-1] = restarted_node = self._fleet.start_node(
            node.settings
        )
        await trio.to_thread.run_sync(
            harness.wait_until,
            lambda: restarted_node.status()['acting'] >= generation_before,
            15.0,
            f'{restarted_node.name} has generation {generation_before} in '
            'force',
        )
        status = await trio.to_thread.run_sync(restarted_node.status)
        self._findings.check(
            status['floor'] >= generation_before,
            f'{restarted_node.name} learned floor {status["floor"]}, it '
            f'acted on {generation_before} before',
        )
        self._print_progress(
            f'{restarted_node.name} was killed and restarted: its floor is '
            f'{status["floor"]}, learned from its peers'
        )

    async def _apply_concurrently(self):
        """Let two operators apply at once; one must get a conflict."""
        outcomes = []

        async def apply(text):
            try:
                await self._session.apply(text, 'trial', expected)
                outcomes.append('applied')
            except errors.ConflictError as error:
                outcomes.append(f'conflict with {error.current_version}')

        status = await self._session.status('trial')
        expected = status.data['accepted']
        first = make_document_yaml('v2')
        second = make_document_yaml('v2').replace('timeout: 3s', 'timeout: 4s')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(apply, first)
            nursery.start_soon(apply, second)
        self._print_progress(
            f'two operators at once: {" and ".join(sorted(outcomes))}'
        )
        self._findings.check(
            outcomes.count('applied') == 1,
            f'of two operators at once: {outcomes}',
        )

    async def _move_to_bad_version(self):
        findings = self._findings
        findings.bad_total += 1
        move = make_move('passdesk-v3', 'v3', 2.0, 14.0)
        start = datetime.datetime.fromisoformat(move['start']).timestamp()
        await self._publish(make_document_yaml('v2', [move]))
        count_before = self._lookup_count()
        try:
            await self._session.wait('production', 0, 'passdesk-v3', 30.0)
            findings.check(False, 'the bad version was not taken back')
        except errors.PumicestandError as error:
            findings.bad_taken_back += (
                error.code == errors.Code.MOVE_TAKEN_BACK
            )
            self._print_progress(
                f'{error.message} after {time.time() - start:.1f} s of the '
                'move'
            )
        await trio.sleep(SETTLE_S)
        bad_call_count = await trio.to_thread.run_sync(self._run_count, 'v3')
        call_count = self._lookup_count() - count_before
        findings.bad_share = bad_call_count / max(1, call_count)
        findings.check(
            bad_call_count <= UNPROVEN_SHARE * call_count + 1,
            f'the bad version took {bad_call_count} of {call_count} calls, '
            f'allowed are {UNPROVEN_SHARE:.0%}',
        )
        await trio.sleep(2.0)
        later_count = await trio.to_thread.run_sync(self._run_count, 'v3')
        findings.check(
            later_count == bad_call_count,
            f'{later_count - bad_call_count} calls reached the version that '
            'was taken back',
        )

    def _lookup_count(self):
        return sum(
            method == 'GET' for _, method in self._call_log.by_id.values()
        )

    def _run_count(self, version):
        targets = self._targets[('production', 'passdesk', version)]
        return sum(sum(t.ledger()['runs'].values()) for t in targets)

    async def _drain_target(self):
        target = self._targets[('production', 'till', 'v1')][-1]

        await trio.to_thread.run_sync(target.drain)
        await trio.sleep(MAX_DRAIN_S + 1.0)
        ledger = await trio.to_thread.run_sync(target.ledger)
        delay_s = ledger['new_work_after_drain_s']
        self._findings.check(
            delay_s <= MAX_DRAIN_S,
            f'{target.name} got new work {delay_s:.2f} s after it announced '
            f'that it leaves, the bound is {MAX_DRAIN_S:g} s',
        )
        self._print_progress(
            f'{target.name} drains: the last new work came {delay_s:.2f} s '
            'after its announcement'
        )

    async def _stop_node_under_load(self):
        node = self._nodes[0]
        cut_count = self._call_log.counts['cut']
        node.terminate()
        exit_code = await trio.to_thread.run_sync(node.wait)
        cut_count = self._call_log.counts['cut'] - cut_count
        self._print_progress(
            f'{node.name} stopped under load: {cut_count} calls cut'
        )
        self._findings.check(
            exit_code == 0, f'{node.name} ended with {exit_code}'
        )
        self._findings.check(
            cut_count == 0, f'{cut_count} calls cut by a planned stop'
        )

    async def _poll_generations(self):
        """Check that the generation of a node name never decreases."""
        while True:
            await trio.to_thread.run_sync(self._sample_generations)
            await trio.sleep(0.3)

    def _sample_generations(self):
        highest = self._findings.generations
        for node in list(self._nodes):
            try:
                acting = node.status()['acting']
            except OSError:
                continue
            if not acting:
                continue
            self._findings.check(
                acting >= highest.get(node.name, 0),
                f'{node.name} went back from {highest.get(node.name)} to '
                f'{acting}',
            )
            highest[node.name] = max(acting, highest.get(node.name, 0))

    def _check_call_log(self):
        """Compare the outcomes that clients got with what the targets ran."""
        findings = self._findings
        run_counts = {}
        for target_key, targets in self._targets.items():
            if target_key[0] != 'production':
                continue
            for target in targets:
                for request_id, count in target.ledger()['runs'].items():
                    run_counts[request_id] = (
                        run_counts.get(request_id, 0) + count
                    )
        executed_twice = [
            request_id
            for request_id, (_, method) in self._call_log.by_id.items()
            if method == 'POST' and run_counts.get(request_id, 0) > 1
        ]
        false_refusals = [
            request_id
            for request_id, (outcome, _) in self._call_log.by_id.items()
            if outcome == 'not-run' and run_counts.get(request_id)
        ]
        findings.check(
            not executed_twice, f'sales that ran twice: {executed_twice}'
        )
        findings.check(
            not false_refusals, f'refused as not run but ran: {false_refusals}'
        )
        wrong_count = self._call_log.counts['wrong']
        findings.check(
            not wrong_count, f'{wrong_count} calls got the wrong response'
        )
        slowest = max(findings.convergence_s)
        findings.check(
            slowest <= MAX_CONVERGENCE_S,
            f'a generation was in force after {slowest:.1f} s, the bound is '
            f'{MAX_CONVERGENCE_S:g} s',
        )
        findings.check(
            findings.good_on_time == findings.good_total,
            'a good version was not done by its time',
        )
        self._print_report(len(executed_twice))

    def _print_report(self, executed_twice_count):
        findings, counts = self._findings, self._call_log.counts
        sent_bytes = sum(
            node.metric('pumicestand_control_bytes_total', 'sent')
            for node in self._nodes[1:]
        )
        elapsed_s = time.monotonic() - self._started
        bytes_per_node_per_s = sent_bytes / (len(self._nodes) - 1) / elapsed_s
        refused = {
            kind: count
            for kind, count in counts.items()
            if kind not in ('answered', 'failed')
        }
        lines = (
            '',
            'convergence time      '
            + ', '.join(f'{s:.2f} s' for s in findings.convergence_s),
            f'control bytes         {bytes_per_node_per_s:.0f} B/s sent by a '
            'node',
            f'good versions on time {findings.good_on_time} of '
            f'{findings.good_total}',
            f'bad versions back     {findings.bad_taken_back} of '
            f'{findings.bad_total}, with {findings.bad_share:.1%} of calls',
            f'calls answered        {counts["answered"]}',
            f'calls failed          {counts["failed"]} by targets, '
            f'{sum(refused.values())} else {refused or ""}',
            f'run twice             {executed_twice_count}',
            f'refusals by code      {dict(self._call_log.refusals) or "none"}',
        )
        print('\n'.join(lines))
        for text in findings.violations:
            print(f'BROKEN: {text}')


def main():
    """Run the demo and return its exit code."""
    with harness.Fleet() as fleet:
        findings = trio.run(Demo(fleet).run)
    if findings.violations:
        return 1
    print('every invariant that was checked held')
    return 0


if __name__ == '__main__':
    sys.exit(main())
