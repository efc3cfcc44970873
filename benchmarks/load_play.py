"""Plays the load of a deployment against the decisions of its nodes.

The real placement, queues and quota of retries run on a simulated clock;
targets, links, clients and the delays between nodes are simulated. The same
day is played under each policy; 'no probes' is the current one without
`pumicestand.probing` and admission, 'no admission' the one without
`pumicestand.admission_by_room`. Usage:

    python -m benchmarks.load_play FILE [--seconds N] [--rate N] [--seed N]
"""

import argparse
import json

from benchmarks.load_player import deployments
from benchmarks.load_player import play
from benchmarks.load_player import policies


def main(arguments=None):
    """Print a JSON object with the figures of each policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('file', help='deployment, see benchmarks/loads')
    parser.add_argument('--seconds', type=float, default=30.0)
    parser.add_argument(
        '--rate', type=float, default=1.0, help='multiple of all rates'
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--policy',
        action='append',
        choices=[policy.name for policy in policies.POLICIES],
        help='only this policy; may be repeated',
    )
    options = parser.parse_args(arguments)
    deployment = deployments.read(options.file)
    results = [
        play.Day(
            deployment, policy, options.seconds, options.rate, options.seed
        ).run()
        for policy in policies.POLICIES
        if not options.policy or policy.name in options.policy
    ]
    print(
        json.dumps(
            {
                'deployment': deployment.name,
                'seconds': options.seconds,
                'rate': options.rate,
                'seed': options.seed,
                'policies': results,
            },
            indent=2,
        )
    )


if __name__ == '__main__':
    main()
