"""Measures the slopes behind docs/CAPACITY.md and rewrites its tables.

Text outside the markers stays. Takes under ten minutes.
"""

import argparse
import json
import pathlib
import random
import time
import tracemalloc

from benchmarks import added_latency
from benchmarks import convergence
from benchmarks import harness
from pumicestand import blackboard as blackboards
from pumicestand import controllers as all_controllers
from pumicestand import documents
from pumicestand import messages
from pumicestand import readers
from pumicestand import wire

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'CAPACITY.md'
BEGIN, END = '<!-- measured: begin -->', '<!-- measured: end -->'
NODES = (20, 60, 100)
FLEET = 660
ZONES = 7
CHANGES = 6
TABLE_SIZES = (165, 330, 660)
STEPS = 300
CALLS = 3000
CALLS_PER_NODE_PER_S = 197
EPOCH = 1_800_000_000.0


def make_board(count):
    """Return a blackboard that knows so many members."""
    identity = blackboards.Identity(
        'production', 'n0', 'zone-0', 'r0', '10.0.0.0', 1, 2
    )
    board = blackboards.Blackboard(identity, 1)
    content = readers.read_yaml(convergence.write_document('x'))[1]
    accepted = documents.Accepted(1, documents.content_digest(content))
    document = readers.read_content(content)
    board.in_force = blackboards.InForce(accepted, document, EPOCH)
    board.accepted = accepted
    board.content = content
    board.floor = 1
    for index in range(count):
        host = f'10.0.{index // 250}.{index % 250}'
        target = messages.Target(
            f'service-{index % 22}', 'v1', host, 9000, ('ledger',)
        )
        member = messages.Member(
            f'n{index}',
            1,
            2,
            messages.Status.ALIVE,
            f'zone-{index % ZONES}',
            f'r{index % 2}',
            host,
            7200,
            7300,
            (target,),
        )
        board.table.merge(member, EPOCH)
    return board


def measure_table(count):
    """Return a node's state at a size of the fleet.

    :returns: (kB of the table, kB of a whole exchange, ms of a step)
    """
    make_board(1)
    tracemalloc.start()
    board = make_board(count)
    size = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()
    frame = board.frame(messages.Table(), board.table.entries.values())
    exchange = len(wire.encode(frame)) / 1000
    controllers = all_controllers.make_all(random.Random(1), [])
    now = EPOCH
    all_controllers.step_all(controllers, board, now)
    started = time.process_time()
    for number in range(STEPS):
        now += 0.1
        peer = f'n{1 + number % (count - 1)}'
        ping = messages.Frame(
            'production',
            peer,
            1,
            generation_in_force=1,
            accepted=board.accepted,
            table_hash=board.table.hash,
            body=messages.Ping(number),
        )
        board.inbox.append(blackboards.Received(ping, ('10.0.0.1', 1)))
        all_controllers.step_all(controllers, board, now)
    step_ms = (time.process_time() - started) / STEPS * 1000
    return size, exchange, step_ms


def fit(points):
    """Return (slope, intercept, largest deviation) of a straight line.

    :param points: (x, y) pairs
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    over = sum((x - mean_x) * (y - mean_y) for x, y in points)
    under = sum((x - mean_x) ** 2 for x, _ in points)
    slope = over / under
    intercept = mean_y - slope * mean_x
    spread = max(abs(y - (intercept + slope * x)) for x, y in points)
    return slope, intercept, spread


def _row(name, points, unit, bound):
    slope, intercept, spread = fit(points)
    at_fleet = intercept + slope * FLEET
    if slope <= 0:
        # What does not grow is taken at its largest point.
        at_fleet = max(y for _, y in points)
    shown = ', '.join(f'{y:g}' for _, y in points)
    return (
        f'| {name} | {shown} | {slope:.4g} | {spread:.3g} | '
        f'{at_fleet:.3g} {unit} | {bound} |'
    )


def write_tables(runs, tables, latency):
    """Return the measured part of the page as text."""
    lines = [
        f'Whole processes at N = {", ".join(map(str, NODES))}, `python -m '
        f'benchmarks.convergence --nodes N --changes {CHANGES}`:',
        '',
        '| per node | points | slope a node | spread | at 660 | bound |',
        '|---|---|---|---|---|---|',
    ]
    for name, key, unit, bound in (
        ('control sent, idle', 'control_bytes_per_node_per_s', 'B/s', '2000'),
        ('processor, idle', 'cpu_percent_per_node', '%', '3.4'),
        ('resident memory', 'rss_mb_per_node', 'MB', '64'),
        ('convergence p99', 'convergence_p99_s', 's', '7'),
        ('store reads, all', 'store_reads_per_s', '/s', '2000'),
        ('store writes, all', 'store_writes_per_s', '/s', '300'),
    ):
        points = [(n, run[key]) for n, run in zip(NODES, runs, strict=True)]
        lines.append(_row(name, points, unit, bound))
    sizes = ', '.join(map(str, TABLE_SIZES))
    lines += [
        '',
        f'The decision code alone with {sizes} members, `python -m '
        'benchmarks.capacity`:',
        '',
        '| of a node | points | slope a member | spread | at 660 | bound |',
        '|---|---|---|---|---|---|',
    ]
    for index, (name, unit) in enumerate(
        (('table', 'kB'), ('whole exchange', 'kB'), ('one step', 'ms'))
    ):
        points = [
            (n, round(table[index], 4))
            for n, table in zip(TABLE_SIZES, tables, strict=True)
        ]
        lines.append(_row(name, points, unit, '-'))
    per_call = latency['cpu_ms_per_call']
    lines += [
        '',
        f'Calls, `python -m benchmarks.added_latency --calls {CALLS}`: added '
        f'p50 {latency["added_p50_ms"]} ms, p99 {latency["added_p99_ms"]} ms '
        f'(bound 0.5 ms); plain hop in the same run '
        f'{latency["baseline_added_p50_ms"]} and '
        f'{latency["baseline_added_p99_ms"]} ms; {per_call} ms of processor '
        f'time a call, so {per_call * CALLS_PER_NODE_PER_S / 10:.1f}% of a '
        f'core at {CALLS_PER_NODE_PER_S} calls a second; resident '
        f'{latency["rss_mb"]} MB under load.',
    ]
    return '\n'.join(lines)


def rewrite(page, measured):
    """Return a page's text with another measured part."""
    head, _, rest = page.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return f'{head}{BEGIN}\n{measured}\n{END}{tail}'


def main():
    """Measure, print, and rewrite the page."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parsed = parser.parse_args()
    tables = [measure_table(count) for count in TABLE_SIZES]
    runs = []
    for count in NODES:
        run = convergence.run_nodes(count, ZONES, CHANGES, parsed.seed)
        print(count, json.dumps(run), flush=True)
        runs.append(run)
    with harness.Fleet() as fleet:
        latency = added_latency.measure(fleet, CALLS, 200.0, 8, parsed.seed)
    print(json.dumps(latency))
    measured = write_tables(runs, tables, latency)
    PAGE.write_text(
        rewrite(PAGE.read_text(encoding='utf-8'), measured), encoding='utf-8'
    )
    print(measured)


if __name__ == '__main__':
    main()
