"""Case 8: a rolling restart of the nodes, and a request that crashes workers.

The request comes every two seconds, at a machine that is in touch. It has
crashed three workers before the restarts begin.
"""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins_2 as standins  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# Pause of `roll_term` in the site's days, and between two of the requests.
GAP_S = 2.0
COMES_EVERY_S = 2.0
ALLOWED_RETRIES = 3
ROUTES = [
    {
        'name': 'r-book', 'host': 'shade.example', 'path_prefix': '/book/',
        'route_type': 'non_idempotent', 'timeout_s': 1.5,
        'target_latency_s': 0.6, 'priority': 2, 'max_attempts': 2,
        'service': 'catalogue',
    },
]


async def send(world, machine, target, label):
    id_ = standins.new_id()
    world.record.write(
        'sent', id=id_, machine=machine.name, label=label,
        in_touch=machine.is_in_touch(world.record.now()),
    )
    headers = [
        ('host', 'shade.example'),
        ('pumicestand-request-id', id_),
        ('pumicestand-deadline-ms', '1500'),
    ]
    try:
        status, _, _ = await asyncio.wait_for(
            standins.ask(
                machine.ip, machine.outbound_port, 'POST', target, headers,
                b'the same body',
            ),
            1.6,
        )
    except (OSError, asyncio.TimeoutError, ConnectionError) as error:
        status = repr(error)
    world.record.write('answered', id=id_, status=status)


async def traffic(world):
    """Ordinary requests, ten a second."""
    number = 0
    while not world.is_over:
        machine = world.machines[number % len(world.machines)]
        number += 1
        if machine.takes_consumers:
            world.spawn(
                send(world, machine, f'/book/{number}', 'usual')
            )
        await asyncio.sleep(0.1)


async def poison(world):
    """The same request again and again, at machines that are in touch."""
    number = 0
    while not world.is_over:
        now = world.record.now()
        machines = [
            m for m in world.machines
            if m.takes_consumers and m.is_in_touch(now)
        ]
        if machines:
            machine = machines[number % len(machines)]
            world.spawn(
                send(world, machine, '/book/poison', 'crashing')
            )
        number += 1
        await asyncio.sleep(COMES_EVERY_S)


async def roll(world):
    """Stop and start the nodes in turn, as `roll_term` does."""
    for machine in world.machines:
        world.spawn(machine.restart())
        await asyncio.sleep(GAP_S)


def count_retries(record):
    """Return the comings that reached a worker after the third crash.

    Only those that were sent later than the stable window after it.
    """
    sent, crashes, reached = {}, [], {}
    for line in record.lines:
        if line['event'] == 'sent' and line['label'] == 'crashing':
            sent[line['id']] = line
        elif line['event'] == 'worker-crash':
            crashes.append(line['t'])
        elif line['event'] == 'run' and line['id'] in sent:
            reached.setdefault(line['id'], []).append(line['worker'])
    if len(crashes) < 3:
        return crashes, []
    after = crashes[2] + standins.STABLE_WINDOW_S
    return crashes, [
        (line['t'], reached[id_])
        for id_, line in sent.items()
        if id_ in reached and line['t'] > after and line['in_touch']
    ]


async def play():
    world = standins.World(
        HERE / 'record.txt', {'catalogue': 4, 'orders': 3, 'artwork': 3}
    )
    try:
        await world.start(ROUTES)
        await asyncio.sleep(standins.STABLE_WINDOW_S + 1)
        world.spawn(traffic(world))
        world.spawn(poison(world))
        await asyncio.sleep(15)
        for _ in range(2):
            if TROUBLE:
                await roll(world)
            else:
                await asyncio.sleep(GAP_S * len(world.machines))
            await asyncio.sleep(6)
    finally:
        await world.close()
    crashes, retries = count_retries(world.record)
    summary = (
        f'{len(crashes)} crashes of workers, at '
        f'{[round(t, 1) for t in crashes]}; {len(retries)} retries reached '
        f'workers later than {standins.STABLE_WINDOW_S:g} s after the third '
        f'(allowed: {ALLOWED_RETRIES}): {retries}'
    )
    print(summary)
    world.record.write('result', text=summary)
    return len(retries) > ALLOWED_RETRIES


standins.run_case(play)
