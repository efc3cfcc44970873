"""Draws the faults of a soak from its seed and brings them about."""

import dataclasses
import signal

import trio

from soak import records
from soak import world as worlds

Fault = records.Fault
# Mean time between two faults, and how long they last, in seconds.
GAP_S = 0.9
SHORTEST_S, LONGEST_S = 0.3, 4.0
# How long a target serves on after it has said that it leaves.
LEAVE_S = 3.0
# How long callers and the store stay well at the end, for the last checks.
CALM_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Planned:
    """A fault to bring about.

    :param at: seconds after the start
    :param lasts: seconds
    :param node: index of the node beside which it happens
    """

    fault: Fault
    at: float
    lasts: float
    node: int


def draw(rng, seconds, size):
    """Return the `Planned` faults of a soak, by time.

    :param rng: a `random.Random` of the seed
    :param size: number of nodes
    """
    planned = []
    at = 0.0
    while True:
        at += rng.expovariate(1 / GAP_S)
        if at > seconds - CALM_S:
            return planned
        lasts = rng.uniform(SHORTEST_S, LONGEST_S)
        lasts = min(lasts, seconds - CALM_S - at)
        fault = rng.choice(list(Fault))
        planned.append(Planned(fault, at, lasts, rng.randrange(size)))


class FaultMaker:
    """Brings faults about, each in a task of its own.

    :param world: the `world.World`
    :param record: the `records.Record`
    :param nursery: in which restarted targets serve
    """

    def __init__(self, world, record, nursery):
        self._world = world
        self._record = record
        self._nursery = nursery
        self._busy = set()
        self.findings = []

    async def run(self, planned):
        """Bring all faults about; return when the last is over."""
        async with trio.open_nursery() as nursery:
            started = trio.current_time()
            for entry in planned:
                await trio.sleep_until(started + entry.at)
                nursery.start_soon(self._make, entry)

    async def _make(self, entry):
        node = self._world.nodes[entry.node]
        of_process = entry.fault in (Fault.KILL, Fault.PAUSE, Fault.STOP)
        if of_process and node.name in self._busy:
            return
        since = trio.current_time()
        if of_process:
            self._busy.add(node.name)
        try:
            await self._bring_about(entry, node)
        finally:
            if of_process:
                self._busy.discard(node.name)
        is_store = entry.fault in records.OF_STORE
        is_store = is_store and entry.fault is not Fault.STORE_CUT
        self._record.disruptions.append(
            records.Disruption(
                entry.fault,
                '' if is_store else node.name,
                since,
                trio.current_time(),
            )
        )

    async def _bring_about(self, entry, node):
        if entry.fault in records.OF_STORE:
            await self._spoil_store(entry, node)
        elif entry.fault in records.OF_TARGET:
            await self._spoil_target(entry, node)
        else:
            await self._signal(entry, node)

    async def _signal(self, entry, node):
        match entry.fault:
            case Fault.KILL:
                node.kill()
                await trio.sleep(min(1.0, entry.lasts))
                await node.start_process()
            case Fault.PAUSE:
                node.process.send_signal(signal.SIGSTOP)
                await trio.sleep(entry.lasts)
                node.process.send_signal(signal.SIGCONT)
            case Fault.STOP:
                node.process.terminate()
                limit = worlds.GRACE_S + worlds.EXIT_MARGIN_S
                if not await node.wait_for_end(limit):
                    self.findings.append(
                        records.Finding(
                            'a stop ends within its grace',
                            f'{node.name} ran on after {limit:g} s',
                        )
                    )
                await node.start_process()
            case Fault.HANGUP:
                node.write_settings(f'changed at {entry.at:.3f}')
                node.process.send_signal(signal.SIGHUP)

    async def _spoil_store(self, entry, node):
        faults = self._world.store.faults
        match entry.fault:
            case Fault.STORE_LOSES:
                faults.lost_writes += 2
            case Fault.STORE_FORGETS:
                self._world.store.forget_history()
            case Fault.STORE_CUT:
                node.store_way.spoiling.is_silent = True
                await trio.sleep(entry.lasts)
                node.store_way.spoiling.is_silent = False
                node.store_way.reset()
            case Fault.STORE_SLOW:
                faults.slow_s = 0.2
                await trio.sleep(entry.lasts)
                faults.slow_s = 0.0
            case _:
                name = entry.fault.value.removeprefix('store-')
                setattr(faults, name, True)
                await trio.sleep(entry.lasts)
                setattr(faults, name, False)

    async def _spoil_target(self, entry, node):
        target, way = node.target, node.target_way
        match entry.fault:
            case Fault.TARGET_CRASH:
                await target.crash()
                await trio.sleep(entry.lasts)
                await self._start_again(target)
            case Fault.TARGET_LEAVES if target.is_running:
                await target.leave(LEAVE_S)
                await trio.sleep(min(1.0, entry.lasts))
                await self._start_again(target)
            case Fault.TARGET_SILENT:
                way.spoiling.is_silent = True
                await trio.sleep(min(2.0, entry.lasts))
                way.spoiling.is_silent = False
                way.reset()
            case Fault.TARGET_RESET:
                way.reset()
            case Fault.TARGET_SLOW:
                target.behaviour.work_s = 0.3
                await trio.sleep(entry.lasts)
                target.behaviour.work_s = 0.02
            case Fault.TARGET_LOSES | Fault.TARGET_SPOILS | Fault.TARGET_FAILS:
                name = entry.fault.value.removeprefix('target-')
                setattr(target.behaviour, name, 7)
                await trio.sleep(entry.lasts)
                setattr(target.behaviour, name, 0)

    async def _start_again(self, target):
        if not target.is_running:
            await target.start(self._nursery)
