"""Draws the faults of a soak from its seed and injects them."""

import contextlib
import dataclasses
import random
import signal

import trio

from soak import clusters
from soak import machine_faults
from soak import records

Fault = records.Fault
# Mean time between the starts of two faults.
MEAN_GAP_S = 0.9
MIN_DURATION_S, MAX_DURATION_S = 0.3, 4.0
# The same for `records.LATER_FAULTS`; a limit has to last for a while to be
# checked.
LATER_MEAN_GAP_S = 3.0
LATER_MAX_DURATION_S = 12.0
# Mean time between the starts, and shortest and longest duration, of the
# faults of each part.
PART_TIMES_S = {
    records.Part.COLD: (2.0, 2.0, 6.0),
    records.Part.EVACUATION: (5.0, 8.0, 12.0),
    records.Part.KEYS: (4.0, 7.0, 9.0),
    records.Part.STOPS: (2.5, 9.0, 9.0),
    records.Part.STUTTER: (1.0, 3.0, 10.0),
    records.Part.MACHINE: (0.9, 0.5, 4.0),
}
# Time before a stop under calls from which clients prepare for it by calls
# that end late in the grace period, and least time from then until the node
# has started again.
PREPARATION_S = 2.0
STOP_DURATION_S = 9.0
# Faults of a process of which only one is active at a time.
EXCLUSIVE_FAULTS = records.PROCESS_FAULTS | {Fault.MACHINE_RELOADED}
# A process is told to stop within this time after its start, if at all.
EARLY_S = 0.5
# Percentages of a stuttering target; those of overlapping faults add up.
FAIL_PERCENT, STUTTER_PERCENT = 20, 30
# Rate limit of a target in calls a second, about a fifth of what it gets.
TARGET_LIMIT = 5.0
# How long a target continues to serve after it has announced its departure.
DRAIN_PERIOD_S = 3.0
# How long it continues to serve after its first response that says it leaves.
WARNING_PERIOD_S = 2.5
# The end of a soak is free of faults and configuration changes, for the
# checks that everything works again.
FAULT_FREE_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault to inject.

    :param offset_s: seconds after the start of the soak
    :param duration_s: seconds that the fault lasts, if it is not momentary
    :param node_index: index of the affected node, or of the node of the
        affected target
    """

    fault: Fault
    offset_s: float
    duration_s: float
    node_index: int


def draw_whole_schedule(rng, seed, seconds, node_count, parts=()):
    """Return the `ScheduledFault`s of a soak, in the order of their time.

    :param rng: a `random.Random` initialised with the seed
    :param seconds: duration of the soak
    :param parts: the `records.Part`s to play
    """
    first = draw_schedule(rng, seconds, node_count)
    later = draw_schedule(
        random.Random(f'later {seed}'),
        seconds,
        node_count,
        records.LATER_FAULTS,
        LATER_MEAN_GAP_S,
        LATER_MAX_DURATION_S,
    )
    for part in parts:
        mean_gap_s, min_duration_s, max_duration_s = PART_TIMES_S[part]
        later += draw_schedule(
            random.Random(f'{part} {seed}'),
            seconds,
            node_count,
            records.PART_FAULTS[part],
            mean_gap_s,
            max_duration_s,
            min_duration_s,
        )
    return sorted(first + later, key=lambda entry: entry.offset_s)


def draw_schedule(
    rng,
    seconds,
    node_count,
    kinds=records.FIRST_FAULTS,
    mean_gap_s=MEAN_GAP_S,
    max_duration_s=MAX_DURATION_S,
    min_duration_s=MIN_DURATION_S,
):
    """Return `ScheduledFault`s of some kinds, in the order of their time.

    :param rng: a `random.Random`
    :param seconds: duration of the soak
    """
    schedule = []
    offset_s = 0.0
    while True:
        offset_s += rng.expovariate(1 / mean_gap_s)
        if offset_s > seconds - FAULT_FREE_S:
            return schedule
        duration_s = rng.uniform(min_duration_s, max_duration_s)
        duration_s = min(duration_s, seconds - FAULT_FREE_S - offset_s)
        fault = rng.choice(kinds)
        schedule.append(
            ScheduledFault(
                fault, offset_s, duration_s, rng.randrange(node_count)
            )
        )


class FaultInjector:
    """Injects faults, each in a task of its own.

    :param cluster: the `clusters.Cluster`
    :param record: the `records.Record` to which the faults are added
    :param nursery: the nursery in which restarted targets serve
    """

    def __init__(self, cluster, record, nursery):
        self._cluster = cluster
        self._record = record
        self._nursery = nursery
        self._busy_names = set()
        self.findings = []

    async def run(self, schedule):
        """Inject all faults; return when the last one is over.

        :param schedule: the `ScheduledFault`s, in the order of their time
        """
        async with trio.open_nursery() as nursery:
            start_time = trio.current_time()
            for entry in schedule:
                await trio.sleep_until(start_time + entry.offset_s)
                nursery.start_soon(self._inject_and_record, entry)

    async def _inject_and_record(self, entry):
        node = self._cluster.nodes[entry.node_index]
        busy_name = None
        if entry.fault in EXCLUSIVE_FAULTS:
            busy_name = node.name
        elif entry.fault in records.ORDERS:
            busy_name = entry.fault
        if (
            entry.fault is Fault.STOP_UNDER_CALLS
            and entry.duration_s < STOP_DURATION_S
        ):
            # The soak ends too soon for it.
            return
        # A fault of a process is skipped while another one affects the same
        # process, and an order while one of its kind is in force.
        if busy_name in self._busy_names:
            return
        if busy_name is not None:
            self._busy_names.add(busy_name)
        if entry.fault is Fault.STOP_UNDER_CALLS:
            node.stop_at = trio.current_time() + PREPARATION_S
            await trio.sleep_until(node.stop_at)
        since = trio.current_time()
        try:
            await self._inject(entry, node)
        finally:
            self._busy_names.discard(busy_name)
        hits_all_nodes = entry.fault in records.ORDERS or (
            entry.fault in records.STORE_FAULTS
            and entry.fault is not Fault.STORE_CUT
        )
        self._record.disruptions.append(
            records.Disruption(
                entry.fault,
                '' if hits_all_nodes else node.name,
                since,
                trio.current_time(),
            )
        )

    async def _inject(self, entry, node):
        if entry.fault in records.STORE_FAULTS:
            await self._inject_store_fault(entry, node)
        elif entry.fault is Fault.ZONE_EVACUATED:
            await self._evacuate(node.zone, entry.duration_s)
        elif entry.fault is Fault.KEY_WITHDRAWN:
            await self._withdraw_key(entry)
        elif entry.fault in records.MACHINE_FAULTS:
            await self._inject_machine_fault(entry, node)
        elif entry.fault in records.TARGET_FAULTS:
            await self._inject_target_fault(entry, node)
        else:
            await self._inject_node_fault(entry, node)

    async def _inject_node_fault(self, entry, node):
        match entry.fault:
            case Fault.KILL:
                node.kill()
                await trio.sleep(min(1.0, entry.duration_s))
                await node.start_process()
            case Fault.PAUSE:
                node.process.send_signal(signal.SIGSTOP)
                await trio.sleep(entry.duration_s)
                node.process.send_signal(signal.SIGCONT)
            case Fault.STOP:
                at = self._terminate(node)
                await self._wait_for_stop(node, node.process, at)
                await node.start_process()
            case Fault.STOP_UNDER_CALLS:
                await self._stop_under_calls(entry, node)
            case Fault.HANGUP:
                self._hang_up(entry, node)

    def _hang_up(self, entry, node):
        node.hang_up(f'changed at {entry.offset_s:.3f}')

    def _terminate(self, node):
        """Send SIGTERM to a node; return the time."""
        at = trio.current_time()
        node.process.terminate()
        return at

    async def _wait_for_stop(self, node, process, at):
        """Wait for a process to stop within the grace period.

        :param at: see `_wait_for_exit`
        """
        limit_s = clusters.GRACE_S + clusters.EXIT_MARGIN_S
        if await self._wait_for_exit(node, process, at, limit_s) is None:
            self.findings.append(
                records.Finding(
                    'nodes stop within the grace period',
                    f'{node.name} was still running after {limit_s:g} s',
                )
            )

    async def _wait_for_exit(self, node, process, at, limit_s):
        """Wait for a process to stop; return its exit code, None if killed.

        :param process: the `harness.Process` of the node that stops
        :param at: time of its SIGTERM, in seconds of trio's clock
        :param limit_s: seconds from then until it is killed
        """
        exit_code = await clusters.wait_for_exit(
            process, at + limit_s - trio.current_time()
        )
        self._record.stops.append(
            records.Stop(node.name, at, trio.current_time())
        )
        if exit_code:
            self.findings.append(
                records.Finding(
                    'processes that are told to end exit with code 0',
                    f'{trio.current_time() - at:.2f} s after its SIGTERM, '
                    f'{clusters.describe_end(process)}',
                )
            )
        return exit_code

    async def _stop_under_calls(self, entry, node):
        """Stop a node, and kill it at the end of the grace like the platform.

        A process that a busy machine keeps from running is killed too, so
        only the other stops tell whether nodes stop in time.
        Meanwhile the configuration changes, and the node and the next one
        read their settings again.
        """
        rng = random.Random(f'{entry.offset_s}')
        nodes = self._cluster.nodes
        next_node = nodes[(entry.node_index + 1) % len(nodes)]
        self._hang_up(entry, next_node)
        process, at = node.process, self._terminate(node)
        await trio.sleep(rng.uniform(0.0, clusters.GRACE_S / 2))
        generation = self._cluster.accept_next_configuration()
        self._record.changes.append(
            records.Change(generation, trio.current_time())
        )
        if node.process.is_running:
            self._hang_up(entry, node)
        await self._wait_for_exit(node, process, at, clusters.GRACE_S)
        await node.start_process()

    async def _inject_machine_fault(self, entry, node):
        rng = random.Random(f'{entry.fault} {entry.offset_s}')
        seconds = entry.duration_s
        match entry.fault:
            case Fault.MACHINE_FILLED:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(machine_faults.fill, node, rng, seconds)
                    await trio.sleep(rng.uniform(0.0, seconds))
                    self._hang_up(entry, node)
            case Fault.MACHINE_LEFT:
                await machine_faults.leave(node, rng, seconds)
            case Fault.MACHINE_UNREAD:
                await machine_faults.leave_unread(node, rng, seconds)
            case Fault.MACHINE_SCRAPED:
                await machine_faults.scrape(node, rng, seconds)
                self._check_series(
                    node, await machine_faults.find_repeated_series(node)
                )
            case Fault.MACHINE_RELOADED:
                await machine_faults.reload(node, rng, seconds)
            case Fault.MACHINE_STOPPED:
                await self._stop_beside_leavers(node, rng, seconds)
            case Fault.MACHINE_BUSY:
                await machine_faults.hog_processors(node.folder, rng, seconds)
        ports = await machine_faults.find_silent_ports(node)
        if ports:
            self.findings.append(
                records.Finding(
                    'a node serves again after each fault of its machine',
                    f'{node.name} did not answer at {ports} for '
                    f'{machine_faults.SERVE_LIMIT_S:g} s after {entry.fault} '
                    f'at {entry.offset_s:.2f}',
                )
            )

    def _check_series(self, node, repeated):
        if repeated:
            self.findings.append(
                records.Finding(
                    'metrics have each series once',
                    f'{node.name} has {len(repeated)} repeated ones, the '
                    f'first is {repeated[0]}',
                )
            )

    async def _stop_beside_leavers(self, node, rng, seconds):
        """Stop a node as on a bad day, and start it again.

        Clients leave before and during the stop, or use up the descriptors;
        signals are repeated; the next process may start while the first one
        stops, and be told to stop itself at once.
        """
        trouble = rng.choice((machine_faults.leave, machine_faults.fill))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trouble, node, rng, seconds)
            await trio.sleep(rng.uniform(0.0, seconds))
            if rng.random() < 0.5:
                machine_faults.tear_settings(node, rng)
                node.send_hangup()
            process, at = node.process, self._terminate(node)
            nursery.start_soon(
                machine_faults.repeat_signal,
                process,
                signal.SIGTERM,
                rng,
                clusters.GRACE_S,
            )
            nursery.start_soon(self._wait_for_stop, node, process, at)
            if rng.random() < 0.5:
                await trio.sleep(rng.uniform(0.0, clusters.GRACE_S))
                node.spawn()
                await self._disturb_start(node, rng)
        if not node.process.is_running:
            node.spawn()
            await self._disturb_start(node, rng)

    async def _disturb_start(self, node, rng):
        """Send signals to a process as soon as its own code runs."""
        process = node.process
        while process.is_running and not process.handles(signal.SIGHUP):
            await trio.sleep(0.001)
        node.hang_up('changed during the start')
        if rng.random() < 0.5:
            await trio.sleep(rng.uniform(0.0, EARLY_S))
            at = self._terminate(node)
            await self._wait_for_stop(node, process, at)
        await node.start_process()

    async def _inject_store_fault(self, entry, node):
        store_faults = self._cluster.store.faults
        match entry.fault:
            case Fault.STORE_LOSES:
                store_faults.lost_writes += 2
            case Fault.STORE_FORGETS:
                self._cluster.store.forget_history()
            case Fault.STORE_CUT:
                with _cut_from_store([node]):
                    await trio.sleep(entry.duration_s)
            case Fault.STORE_SILENCED:
                for other in self._cluster.nodes:
                    other.store_proxy.silence()
            case Fault.STORE_SLOW:
                store_faults.slow_s = 0.2
                await trio.sleep(entry.duration_s)
                store_faults.slow_s = 0.0
            case _:
                name = entry.fault.value.removeprefix('store-')
                setattr(store_faults, name, True)
                await trio.sleep(entry.duration_s)
                setattr(store_faults, name, False)

    async def _inject_target_fault(self, entry, node):
        target, proxy = node.target, node.target_proxy
        match entry.fault:
            case Fault.TARGET_CRASH:
                await target.crash()
                await trio.sleep(entry.duration_s)
                await self._restart_target(target)
            case Fault.TARGET_LEAVES if target.is_running:
                await target.leave(DRAIN_PERIOD_S)
                await trio.sleep(min(1.0, entry.duration_s))
                await self._restart_target(target)
            case Fault.TARGET_WARNS if target.is_running:
                await target.leave_without_heartbeat(WARNING_PERIOD_S)
                await trio.sleep(min(1.0, entry.duration_s))
                await self._restart_target(target)
            case Fault.TARGET_LIMITS:
                await target.advertise_limit(TARGET_LIMIT, entry.duration_s)
            case Fault.TARGET_COLD if target.is_running:
                await target.turn_cold(entry.duration_s)
                await trio.sleep(entry.duration_s)
            case Fault.TARGET_SILENT:
                proxy.faults.is_stalled = True
                await trio.sleep(min(2.0, entry.duration_s))
                proxy.faults.is_stalled = False
                proxy.reset()
            case Fault.TARGET_RESET:
                proxy.reset()
            case Fault.TARGET_STUTTERS:
                target.behaviour.fail_percent += FAIL_PERCENT
                target.behaviour.stutter_percent += STUTTER_PERCENT
                await trio.sleep(entry.duration_s)
                target.behaviour.fail_percent -= FAIL_PERCENT
                target.behaviour.stutter_percent -= STUTTER_PERCENT
            case Fault.TARGET_SLOW:
                target.behaviour.work_s = 0.3
                await trio.sleep(entry.duration_s)
                target.behaviour.work_s = 0.02
            case (
                Fault.TARGET_LOSES
                | Fault.TARGET_SPOILS
                | Fault.TARGET_FAILS
                | Fault.TARGET_ENDLESS
            ):
                name = entry.fault.value.removeprefix('target-')
                setattr(target.behaviour, name, 7)
                await trio.sleep(entry.duration_s)
                setattr(target.behaviour, name, 0)

    async def _evacuate(self, zone, duration_s):
        """Evacuate a zone for a time."""
        store = self._cluster.store
        store.put('evacuations', zone, {})
        written_at = trio.current_time()
        await trio.sleep(duration_s)
        deleted_at = trio.current_time()
        store.delete('evacuations', zone)
        nodes = [n for n in self._cluster.nodes if n.zone == zone]
        self._record.evacuations.append(
            records.Evacuation(
                zone,
                written_at,
                deleted_at,
                {n.target.name: n.name for n in nodes},
            )
        )

    async def _withdraw_key(self, entry):
        """Withdraw a key while a third of the nodes can't reach the store.

        One of them is paused, unless a fault affects its process already: the
        others learn of the withdrawal from linked nodes.
        """
        nodes = self._cluster.nodes
        cut_nodes = [
            nodes[(entry.node_index + offset) % len(nodes)]
            for offset in range(max(1, len(nodes) // 3))
        ]
        with _cut_from_store(cut_nodes):
            key = self._cluster.key_ring.withdraw()
            generation = self._cluster.accept_next_configuration()
            at = trio.current_time()
            self._record.changes.append(records.Change(generation, at))
            self._record.withdrawals.append(records.Withdrawal(key, at))
            pause = dataclasses.replace(entry, fault=Fault.PAUSE)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._inject_and_record, pause)
                await trio.sleep(entry.duration_s)
        now = trio.current_time()
        self._record.disruptions += [
            records.Disruption(Fault.STORE_CUT, node.name, at, now)
            for node in cut_nodes
        ]

    async def _restart_target(self, target):
        if not target.is_running:
            await target.start(self._nursery)


@contextlib.contextmanager
def _cut_from_store(nodes):
    """Stall the connections of nodes to the store."""
    for node in nodes:
        node.store_proxy.faults.is_stalled = True
    try:
        yield
    finally:
        for node in nodes:
            node.store_proxy.faults.is_stalled = False
            node.store_proxy.reset()
