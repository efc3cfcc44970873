"""Runs soaks: python -m soak --seed N, or --seeds N for several."""

import argparse
import pathlib
import sys

import trio

from soak import clusters
from soak import machines
from soak import pictures
from soak import play
from soak import records


def main(arguments=None):
    """Run the command; return 1 if there were findings, else 0."""
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='the first seed')
    parser.add_argument('--seeds', type=int, default=1, help='number of seeds')
    parser.add_argument('--nodes', type=int, default=6)
    parser.add_argument('--seconds', type=float, default=25.0)
    parser.add_argument('--logs', help='existing folder for all logs')
    parser.add_argument('--picture', help='path of a PNG of the last seed')
    parser.add_argument(
        '--parts',
        nargs='*',
        default=(),
        type=records.Part,
        metavar='PART',
        help=f'play these parts too: {", ".join(records.Part)}',
    )
    parser.add_argument(
        '--root',
        type=pathlib.Path,
        default=clusters.ROOT,
        help='source tree whose nodes the part machine builds and starts',
    )
    options = parser.parse_args(arguments)
    deployment = None
    if records.Part.MACHINE in options.parts:
        deployment = machines.Deployment.build(options.root.resolve())
    has_failed = False
    for seed in range(options.seed, options.seed + options.seeds):
        verdict, record, start_time = trio.run(
            play.run_soak,
            seed,
            options.nodes,
            options.seconds,
            True,
            options.logs,
            options.parts,
            deployment,
        )
        print(verdict.to_json(), flush=True)
        has_failed = has_failed or bool(verdict.findings)
        if options.picture:
            pictures.draw_timeline(record, start_time, options.picture)
    return int(has_failed)


if __name__ == '__main__':
    sys.exit(main())
