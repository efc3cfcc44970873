"""The command `pumicestand-node`, which runs a node."""

import argparse
import signal
import sys

import trio

from pumicestand import errors
from pumicestand import log
from pumicestand import settings as all_settings
from pumicestand_node import node as nodes
from pumicestand_node import settings as node_settings

# Exit code for invalid settings.
EXIT_SETTINGS = 2


def _parse_arguments(arguments):
    parser = argparse.ArgumentParser(
        prog='pumicestand-node',
        description='Run a node, the process beside each target.',
    )
    parser.add_argument('--settings', help='YAML file with settings')
    parser.add_argument(
        '--set',
        action='append',
        default=[],
        metavar='NAME=VALUE',
        help='a setting, which overrides the file',
    )
    parser.add_argument(
        '--show-settings',
        action='store_true',
        help='print all settings with their origins and exit',
    )
    return parser.parse_args(arguments)


async def run(settings):
    """Run a node until SIGTERM or SIGINT.

    :param settings: a `settings.NodeSettings`
    """
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT
    ) as stop_signals:
        async with trio.open_nursery() as nursery:
            node = nodes.Node(settings)
            await node.start(nursery)
            async for _ in stop_signals:
                break
            await node.close()


def main(arguments=None):
    """Run the command and return its exit code.

    :param arguments: those of the command line by default
    """
    parsed = _parse_arguments(arguments)
    try:
        loaded = all_settings.load(
            node_settings.NodeSettings, parsed.settings, parsed.set
        )
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    if parsed.show_settings:
        print(all_settings.format_settings(loaded))
        return 0
    log.configure(loaded.values.name, loaded.values.log_level)
    for warning in loaded.warnings:
        log.logger.warning('{}', warning)
    trio.run(run, loaded.values)
    return 0


if __name__ == '__main__':
    sys.exit(main())
