"""Command line of `pumicestandctl`: options, dispatch and output."""

import dataclasses
import json
import pathlib
import sys
import time
import typing

import cappa
import trio

from pumicestand import errors
from pumicestand import settings as all_settings
from pumicestandctl import commands
from pumicestandctl import exits
from pumicestandctl import settings as ctl_settings
from pumicestandctl import traces

File = typing.Annotated[
    str, cappa.Arg(help='YAML file with the document, - for standard input')
]
Environment = typing.Annotated[
    str | None,
    cappa.Arg(long='--environment', help='production by default'),
]
Expected = typing.Annotated[
    int | None,
    cappa.Arg(
        long='--expect',
        help='refuse unless this generation is the accepted one',
    ),
]


@dataclasses.dataclass
class Validate:
    """Check a document without writing anything."""

    file: File


@dataclasses.dataclass
class Diff:
    """Show what a document would change."""

    file: File
    environment: Environment = None


@dataclasses.dataclass
class Apply:
    """Make a document the accepted one of an environment."""

    file: File
    expect: Expected = None
    environment: typing.Annotated[
        str | None, cappa.Arg(long='--environment', help='trial by default')
    ] = None


@dataclasses.dataclass
class Promote:
    """Make the document in force on trial the accepted one of production."""

    file: typing.Annotated[
        str | None,
        cappa.Arg(help='refuse unless this document is in force on trial'),
    ] = None
    expect: Expected = None


@dataclasses.dataclass
class Status:
    """Show which nodes act on the accepted document, and all moves."""

    environment: Environment = None


@dataclasses.dataclass
class Wait:
    """Wait until a generation is in force, or until a move has ended."""

    environment: Environment = None
    generation: typing.Annotated[
        int,
        cappa.Arg(
            long=True, help='generation to wait for, 0 for the accepted one'
        ),
    ] = 0
    move: typing.Annotated[
        str | None,
        cappa.Arg(long=True, help='wait for the end of this move instead'),
    ] = None
    timeout: typing.Annotated[
        float, cappa.Arg(long=True, help='seconds to wait')
    ] = 60.0


@dataclasses.dataclass
class Timeline:
    """Show the events of all processes in causal order."""

    environment: Environment = None
    service: typing.Annotated[str, cappa.Arg(long=True)] = ''
    node_name: typing.Annotated[str, cappa.Arg(long=True)] = ''
    move: typing.Annotated[str, cappa.Arg(long=True)] = ''
    last: typing.Annotated[
        float,
        cappa.Arg(
            long=True, help='events of the last so many seconds, 0 for all'
        ),
    ] = 0.0
    picture: typing.Annotated[
        str | None,
        cappa.Arg(long=True, help='also draw the events to this PNG file'),
    ] = None


@dataclasses.dataclass
class Explain:
    """Show which target would take a call, and why."""

    route: typing.Annotated[
        str,
        cappa.Arg(
            help='method, host and path, such as "GET example.org/passes/7"'
        ),
    ]
    environment: Environment = None
    node_name: typing.Annotated[str | None, cappa.Arg(long=True)] = None


@dataclasses.dataclass
class Trace:
    """Show from the nodes' logs how one request was handled."""

    id: typing.Annotated[str, cappa.Arg(help='id of the request')]
    files: typing.Annotated[
        list[str], cappa.Arg(num_args=-1, help='log files of the nodes')
    ]


@cappa.command(name='pumicestandctl')
@dataclasses.dataclass
class Pumicestandctl:
    """Change and inspect the document that an environment's nodes act on."""

    command: cappa.Subcommands[
        Validate
        | Diff
        | Apply
        | Promote
        | Status
        | Wait
        | Timeline
        | Explain
        | Trace
    ]
    settings: typing.Annotated[
        str | None, cappa.Arg(long=True, help='YAML file with settings')
    ] = None
    set: typing.Annotated[
        list[str],
        cappa.Arg(
            long=True, help='one setting as NAME=VALUE, may be repeated'
        ),
    ] = dataclasses.field(default_factory=list)
    node: typing.Annotated[
        list[str],
        cappa.Arg(
            long=True,
            help='host:port of the operator API of a node, may be repeated; '
            'needed while the store is down',
        ),
    ] = dataclasses.field(default_factory=list)
    output: typing.Annotated[
        typing.Literal['text', 'json'], cappa.Arg(long=True)
    ] = 'text'


def parse_route(text):
    """Parse ``GET host/path`` into (method, host, path).

    Without a method it is GET; without a host it is ``*``, any host.

    >>> parse_route('POST example.org/sales/1')
    ('POST', 'example.org', '/sales/1')
    >>> parse_route('/passes')
    ('GET', '*', '/passes')
    """
    method, separator, rest = text.strip().partition(' ')
    if not separator:
        method, rest = 'GET', method
    host, slash, path = rest.strip().partition('/')
    return method.upper(), host or '*', slash + path or '/'


def _read_file(name):
    if name == '-':
        return sys.stdin.read()
    try:
        return pathlib.Path(name).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f'cannot read the document {name}: {error}',
            remedy='give the path of a readable UTF-8 file',
        ) from error


async def execute(command, settings, report_progress):
    """Run a command and return its `reports.Report`.

    :param command: an instance of one of the command classes above
    :param settings: a `settings.CtlSettings`
    :param report_progress: function that takes a line of text
    """
    if isinstance(command, Validate):
        return commands.validate(_read_file(command.file))
    if isinstance(command, Trace):
        logs = traces.read_logs(command.files)
        return traces.report_trace(traces.trace_request(command.id, logs))
    session = commands.Session(settings, report_progress)
    await session.start()
    try:
        return await _execute_in_session(command, settings, session)
    finally:
        await session.close()


async def _execute_in_session(command, settings, session):
    environment = getattr(command, 'environment', None) or settings.production
    match command:
        case Diff(file):
            return await session.diff(_read_file(file), environment)
        case Apply(file, expect, environment_name):
            return await session.apply(
                _read_file(file), environment_name or settings.trial, expect
            )
        case Promote(file, expect):
            text = _read_file(file) if file else None
            return await session.promote(text, expect)
        case Status():
            return await session.status(environment)
        case Wait(_, generation, move, timeout):
            return await session.wait(environment, generation, move, timeout)
        case Timeline():
            since = time.time() - command.last if command.last else 0.0
            event_filter = commands.EventFilter(
                command.service, command.node_name, command.move, since
            )
            return await session.timeline(
                environment, event_filter, command.picture
            )
        case Explain(route, _, node_name):
            method, host, path = parse_route(route)
            return await session.explain(
                environment, method, host, path, node_name
            )


def _print_error(error, output):
    if output == 'text':
        print(error, file=sys.stderr)
        return
    data = {
        'code': error.code.value,
        'message': error.message,
        'step': error.step,
        'peer': error.peer,
        'remedy': error.remedy,
    }
    if isinstance(error, errors.InvalidDocumentError):
        data |= {'line': error.line, 'column': error.column}
    if isinstance(error, errors.ConflictError):
        data['winner'] = error.current_version
    print(json.dumps(data), file=sys.stderr)


def main(arguments=None):
    """Parse the arguments, run the command and return its exit code.

    :param arguments: list of strings, None for those of the process
    """
    parsed = cappa.parse(Pumicestandctl, argv=arguments)
    overrides = list(parsed.set)
    if parsed.node:
        overrides.append(f'nodes={json.dumps(parsed.node)}')
    try:
        loaded = all_settings.load(
            ctl_settings.CtlSettings, parsed.settings, overrides
        )
        report = trio.run(
            execute,
            parsed.command,
            loaded.values,
            lambda line: print(line, file=sys.stderr),
        )
    except errors.PumicestandError as error:
        _print_error(error, parsed.output)
        return int(exits.exit_code_for(error))
    print(report.render(parsed.output))
    return int(exits.ExitCode.OK)


if __name__ == '__main__':
    sys.exit(main())
