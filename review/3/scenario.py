"""A restart while the store turns the machine away, and a late heartbeat."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import lab as labs  # noqa: E402

ROUTES = (
    ('lookup', '/lookup/', 'idempotent', 'passdesk'),
    ('purchase', '/purchase/', 'non_idempotent', 'till'),
)
# For how long the store turns the machine away.
TURNED_AWAY_S = 9.0
# Time from a heartbeat's sending to its arrival.
LATE_S = 5.0
# For how long the worker goes on after the acknowledged drain_s.
LONGER_S = 15.0
# Time of the calm, after the disturbance, whose requests are counted.
CALM_S = labs.STABLE_WINDOW_S + 0.2


async def scenario(lab):
    # A third of the machines is turned away by the store at most: one of six.
    for zone in ('zone-a', 'zone-b', 'zone-c'):
        lab.add_machine(zone, 'passdesk')
        lab.add_machine(zone, 'till')
    lab.store.put(
        'config',
        'main',
        labs.make_configuration(1, ROUTES, ('passdesk', 'till')),
    )
    await lab.start()
    leaving, machine = lab.workers[0], lab.machines[0]
    tasks = []
    for other in lab.machines:
        for path, method in (('/lookup/1', 'GET'), ('/purchase/1', 'POST')):
            consumer = labs.Consumer(other, path, 10, lab.record, method)
            tasks.append(asyncio.create_task(consumer.run()))
    await asyncio.sleep(5)
    # The last heartbeat before the departure; it arrives late.
    late_heartbeat = leaving.make_heartbeat()
    sent_at = time.monotonic()
    runs_before = len(leaving.runs)
    acked_at = await leaving.deregister()
    lab.record.note(
        f'{machine.name} acknowledges that worker {leaving.instance} is gone; '
        f'it has run {runs_before} requests'
    )
    calm_from = acked_at
    await asyncio.sleep(0.5)
    if labs.has_trouble():
        lab.record.note(f'the store turns {machine.name} away')
        lab.store.turned_away.add(machine.name)
        lost_at = time.monotonic()
        await machine.stop(signal.SIGKILL)
        await asyncio.sleep(1.0)
        machine.restart()
    await asyncio.sleep(sent_at + LATE_S - time.monotonic())
    is_acked = await leaving.send('heartbeat', late_heartbeat)
    lab.record.note(
        f'a heartbeat of {LATE_S:g} s before arrives, '
        f'{"" if is_acked else "not "}acknowledged: {late_heartbeat}'
    )
    if labs.has_trouble():
        await asyncio.sleep(lost_at + TURNED_AWAY_S - time.monotonic())
        lab.record.note(f'the store serves {machine.name} again')
        lab.store.turned_away.clear()
        calm_from = time.monotonic() + CALM_S
    await asyncio.sleep(acked_at + labs.DRAIN_S + LONGER_S - time.monotonic())
    late = [
        (at, request_id)
        for at, request_id in leaving.runs
        if at > acked_at + labs.DRAIN_S + 0.2
    ]
    calm = [item for item in late if item[0] > calm_from]
    for task in tasks:
        task.cancel()
    if not runs_before:
        raise labs.NotRunError('the worker got no requests before')
    for at, request_id in late:
        lab.record.note(
            f'request {request_id} reached the worker '
            f'{at - acked_at:.3f} s after the acknowledgement'
        )
    text = (
        f'{len(late)} requests reached the worker later than {labs.DRAIN_S:g} '
        f's after its machine acknowledged that it is gone, {len(calm)} of '
        f'them with all calm for {labs.STABLE_WINDOW_S:g} s'
    )
    return labs.BROKEN if calm else labs.HELD, text


labs.main(scenario, FOLDER)
