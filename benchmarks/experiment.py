"""What each mechanism of the decisions under load is worth.

Plays the same days with and without a mechanism, on the same seeds, and gives
the mean of the paired differences with its 95% interval. Usage:

    python -m benchmarks.experiment list
    python -m benchmarks.experiment ablate FILE... [--seeds N] [--seconds N]
        [--rate N] [--only NAME]
"""

import argparse
import concurrent.futures
import dataclasses
import json
import sys

import numpy
import pydantic
import yaml

from benchmarks.load_player import deployments
from benchmarks.load_player import mechanisms
from benchmarks.load_player import play
from benchmarks.load_player import policies

RESAMPLES = 2000
INTERVAL = (2.5, 97.5)
# Exit status of a wrong command line or deployment file.
USAGE_ERROR = 2
# Half of the processors of the smallest machine that this is used on.
DEFAULT_JOBS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """Mean of paired differences and its 95% interval.

    :param low: lower bound of the interval
    :param high: upper bound of the interval
    """

    mean: float
    low: float
    high: float

    @property
    def is_seen(self):
        """Whether the interval excludes 0."""
        return self.low > 0 or self.high < 0


def compare(values, others):
    """Return the `Difference` of paired values by bootstrap.

    :param values: one value for each seed
    :param others: the values to subtract, in the same order

    >>> compare([1.0, 2.0], [1.0, 2.0])
    Difference(mean=0.0, low=0.0, high=0.0)
    """
    differences = numpy.subtract(values, others)
    rng = numpy.random.default_rng(len(differences))
    samples = rng.choice(differences, (RESAMPLES, len(differences)))
    low, high = numpy.percentile(samples.mean(axis=1), INTERVAL)
    return Difference(float(differences.mean()), float(low), float(high))


def _play_value(path, policy, seconds, rate, seed):
    """Return the share of the value that the calls of a day get."""
    day = play.Day(deployments.read(path), policy, seconds, rate, seed)
    return day.run()['total']['value_share']


def ablate(path, options, executor):
    """Yield a dict for each mechanism, with its `Difference`.

    :param path: deployment file
    :param options: parsed arguments
    """
    chosen = [
        mechanism
        for mechanism in mechanisms.MECHANISMS
        if not options.only or mechanism.name in options.only
    ]
    seeds = range(1, options.seeds + 1)
    plays = {
        policy_name: [
            executor.submit(
                _play_value, path, policy, options.seconds, options.rate, seed
            )
            for seed in seeds
        ]
        for policy_name, policy in (
            ('', policies.CURRENT),
            *((m.name, m.without) for m in chosen),
        )
    }
    current = [future.result() for future in plays['']]
    for mechanism in chosen:
        without = [future.result() for future in plays[mechanism.name]]
        difference = compare(current, without)
        yield {
            'deployment': path,
            'rate': options.rate,
            'seeds': options.seeds,
            'mechanism': mechanism.name,
            'value': round(sum(current) / len(current), 4),
            **{
                key: round(value, 4)
                for key, value in dataclasses.asdict(difference).items()
            },
            'verdict': _verdict(difference),
        }


def _verdict(difference):
    if not difference.is_seen:
        return 'no difference seen'
    return 'gains' if difference.mean > 0 else 'loses'


def _parse(arguments):
    parser = argparse.ArgumentParser(description=__doc__)
    commands = parser.add_subparsers(dest='command', required=True)
    commands.add_parser('list', help='name the mechanisms')
    command = commands.add_parser('ablate', help='leave out each mechanism')
    command.add_argument('files', nargs='+', help='see benchmarks/loads')
    command.add_argument('--seeds', type=int, default=5)
    command.add_argument('--seconds', type=float, default=10.0)
    command.add_argument('--rate', type=float, default=1.0)
    command.add_argument('--jobs', type=int, default=DEFAULT_JOBS)
    command.add_argument(
        '--only',
        action='append',
        choices=[mechanism.name for mechanism in mechanisms.MECHANISMS],
    )
    return parser.parse_args(arguments)


def main(arguments=None):
    """Print the mechanisms, or one line of JSON for each comparison.

    :returns: exit status
    """
    options = _parse(arguments)
    if options.command == 'list':
        for mechanism in mechanisms.MECHANISMS:
            print(f'{mechanism.name:20} {mechanism.load}')
        return 0
    for path in options.files:
        try:
            deployments.read(path)
        except (OSError, yaml.YAMLError, pydantic.ValidationError) as error:
            print(f'{path}: {error}', file=sys.stderr)
            return USAGE_ERROR
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as executor:
        for path in options.files:
            for line in ablate(path, options, executor):
                print(json.dumps(line), flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main())
