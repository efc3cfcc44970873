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

# Exit codes for invalid settings, and for a port that can't be opened.
EXIT_SETTINGS = 2
EXIT_PORT = 3


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
    """Run a node until SIGTERM or SIGINT; SIGHUP changes nothing.

    :param settings: a `settings.NodeSettings`
    :raises errors.PortError: in a group, if a port can't be opened
    """
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as received_signals:
        async with trio.open_nursery() as nursery:
            node = nodes.Node(settings)
            try:
                await node.start(nursery)
            except OSError as error:
                raise errors.PortError(str(error)) from error
            async for number in received_signals:
                if number != signal.SIGHUP:
                    break
            # Signals that are left would be delivered again.
            nursery.start_soon(_discard, received_signals)
            await node.close()
            nursery.cancel_scope.cancel()


async def _discard(received_signals):
    async for _ in received_signals:
        pass


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
    code = 0
    try:
        trio.run(run, loaded.values)
    except* errors.PortError as group:
        print(group.exceptions[0], file=sys.stderr)
        code = EXIT_PORT
    log.logger.bind(event='exit', code=code).info('the process ends')
    return code


if __name__ == '__main__':
    sys.exit(main())
