"""Measures how costs grow with the fleet and updates docs/CAPACITY.md.

Only the text between the markers is replaced. A run takes less than ten
minutes.
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

PAGE_PATH = pathlib.Path(__file__).parent.parent / 'docs' / 'CAPACITY.md'
BEGIN_MARKER, END_MARKER = '<!-- measured: begin -->', '<!-- measured: end -->'
NODE_COUNTS = (20, 60, 100)
FLEET_SIZE = 660
ZONE_COUNT = 7
CHANGE_COUNT = 6
MEMBER_COUNTS = (165, 330, 660)
STEP_COUNT = 300
CALL_COUNT = 3000
CALLS_PER_NODE_PER_S = 197
START_TIME = 1_800_000_000.0


def make_blackboard(count):
    """Return a blackboard whose member table has a number of members."""
    identity = blackboards.Identity(
        'production', 'n0', 'zone-0', 'r0', '10.0.0.0', 1, 2
    )
    board = blackboards.Blackboard(identity, 1)
    content = readers.read_yaml(convergence.make_document_yaml('x'))[1]
    accepted = documents.Accepted(1, documents.content_digest(content))
    document = readers.read_content(content)
    board.in_force = documents.InForce(accepted, document, START_TIME)
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
            f'zone-{index % ZONE_COUNT}',
            f'r{index % 2}',
            host,
            7200,
            7300,
            (target,),
        )
        board.table.merge(member, START_TIME)
    return board


def measure_table(count):
    """Return the costs of one node in a fleet with a number of members.

    :returns: (size of the member table in kB, size of a frame with the
        whole table in kB, processor time of a step of all controllers in ms)
    """
    make_blackboard(1)
    tracemalloc.start()
    board = make_blackboard(count)
    table_kb = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()
    frame = board.frame(messages.Table(), board.table.entries.values())
    exchange_kb = len(wire.encode(frame)) / 1000
    controllers = all_controllers.make_all(random.Random(1), [])
    now = START_TIME
    all_controllers.step_all(controllers, board, now)
    started = time.process_time()
    for step_number in range(STEP_COUNT):
        now += 0.1
        peer = f'n{1 + step_number % (count - 1)}'
        ping = messages.Frame(
            'production',
            peer,
            1,
            generation_in_force=1,
            accepted=board.accepted,
            table_hash=board.table.hash,
            body=messages.Ping(step_number),
        )
        board.inbox.append(blackboards.ReceivedFrame(ping, ('10.0.0.1', 1)))
        all_controllers.step_all(controllers, board, now)
    step_ms = (time.process_time() - started) / STEP_COUNT * 1000
    return table_kb, exchange_kb, step_ms


def fit_line(points):
    """Fit a straight line to points by least squares.

    :param points: (x, y) pairs
    :returns: (slope, intercept, largest absolute deviation of a point)
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_xy = sum((x - mean_x) * (y - mean_y) for x, y in points)
    sum_xx = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum_xy / sum_xx
    intercept = mean_y - slope * mean_x
    max_deviation = max(abs(y - (intercept + slope * x)) for x, y in points)
    return slope, intercept, max_deviation


def _format_row(name, points, unit, limit):
    slope, intercept, max_deviation = fit_line(points)
    fleet_value = intercept + slope * FLEET_SIZE
    if slope <= 0:
        # A quantity that does not grow is given as its largest value.
        fleet_value = max(y for _, y in points)
    values = ', '.join(f'{y:g}' for _, y in points)
    return (
        f'| {name} | {values} | {slope:.4g} | {max_deviation:.3g} | '
        f'{fleet_value:.3g} {unit} | {limit} |'
    )


def format_tables(run_figures, table_figures, latency):
    """Return the measured part of the page as Markdown.

    :param run_figures: the figures of each of `NODE_COUNTS`
    :param table_figures: the costs of one node for each of `MEMBER_COUNTS`
    :param latency: the figures of `added_latency.measure`
    """
    lines = [
        f'Whole processes at N = {", ".join(map(str, NODE_COUNTS))}, '
        '`python -m benchmarks.convergence --nodes N --changes '
        f'{CHANGE_COUNT}`:',
        '',
        '| per node | points | slope a node | spread | at 660 | bound |',
        '|---|---|---|---|---|---|',
    ]
    for name, key, unit, limit in (
        ('control sent, idle', 'control_bytes_per_node_per_s', 'B/s', '2000'),
        ('processor, idle', 'cpu_percent_per_node', '%', '3.4'),
        ('resident memory', 'rss_mb_per_node', 'MB', '64'),
        ('convergence p99', 'convergence_p99_s', 's', '7'),
        ('store reads, all', 'store_reads_per_s', '/s', '2000'),
        ('store writes, all', 'store_writes_per_s', '/s', '300'),
    ):
        points = [
            (n, figures[key])
            for n, figures in zip(NODE_COUNTS, run_figures, strict=True)
        ]
        lines.append(_format_row(name, points, unit, limit))
    sizes = ', '.join(map(str, MEMBER_COUNTS))
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
            for n, table in zip(MEMBER_COUNTS, table_figures, strict=True)
        ]
        lines.append(_format_row(name, points, unit, '-'))
    cpu_ms_per_call = latency['cpu_ms_per_call']
    lines += [
        '',
        'Calls, `python -m benchmarks.added_latency --calls '
        f'{CALL_COUNT}`: added p50 {latency["added_p50_ms"]} ms, p99 '
        f'{latency["added_p99_ms"]} ms (bound 0.5 ms); plain hop in the same '
        f'run {latency["baseline_added_p50_ms"]} and '
        f'{latency["baseline_added_p99_ms"]} ms; {cpu_ms_per_call} ms of '
        'processor time a call, so '
        f'{cpu_ms_per_call * CALLS_PER_NODE_PER_S / 10:.1f}% of a '
        f'core at {CALLS_PER_NODE_PER_S} calls a second; resident '
        f'{latency["rss_mb"]} MB under load.',
    ]
    return '\n'.join(lines)


def replace_measured_part(page, measured):
    """Return the text of a page with its measured part replaced."""
    text_before, _, remainder = page.partition(BEGIN_MARKER)
    _, _, text_after = remainder.partition(END_MARKER)
    return f'{text_before}{BEGIN_MARKER}\n{measured}\n{END_MARKER}{text_after}'


def main():
    """Measure, print the figures and update the page."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    table_figures = [measure_table(count) for count in MEMBER_COUNTS]
    run_figures = []
    for count in NODE_COUNTS:
        figures = convergence.measure_nodes(
            count, ZONE_COUNT, CHANGE_COUNT, arguments.seed
        )
        print(count, json.dumps(figures), flush=True)
        run_figures.append(figures)
    with harness.Fleet() as fleet:
        latency = added_latency.measure(
            fleet, CALL_COUNT, 200.0, 8, arguments.seed
        )
    print(json.dumps(latency))
    measured = format_tables(run_figures, table_figures, latency)
    PAGE_PATH.write_text(
        replace_measured_part(PAGE_PATH.read_text(encoding='utf-8'), measured),
        encoding='utf-8',
    )
    print(measured)


if __name__ == '__main__':
    main()
