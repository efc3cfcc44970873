"""One account of a request from the logs of many nodes.

Each node writes JSON lines. Those of one request bear its id; the calls
that its target made bear that id, a dot and their own. What else happened
at the nodes involved, shortly before or meanwhile, may have caused it.
"""

import dataclasses
import datetime
import json
import pathlib

from pumicestand import errors
from pumicestandctl import reports

# How long before the request events of the nodes involved are shown, in
# seconds: a node is forgotten, a link given up and a target back in less.
BEFORE_S = 3.0
PARENT_SEPARATOR = '.'
CALL = 'call'
# Fields that the account shows in their own places.
_HEADING = frozenset(('time', 'process', 'event', 'id', 'level', 'module'))


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of a log.

    :param at: seconds since the epoch
    :param fields: as written
    """

    at: float
    process: str
    event: str
    fields: dict

    @property
    def request_id(self):
        """The request that the line is about, empty for none."""
        return self.fields.get('id', '')

    @property
    def is_call(self):
        """Whether it tells how a request ended."""
        return self.event == CALL

    def describe(self):
        """Return the fields beside time, process and event as text."""
        return ' '.join(
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in _HEADING and value not in ('', None)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Trace:
    """What the logs tell of a request.

    :param outcome: one sentence
    :param calls: the lines of the request and of the calls it made
    :param events: other lines of the nodes involved, by time
    """

    request_id: str
    outcome: str
    calls: tuple[Line, ...]
    events: tuple[Line, ...]


def read_logs(names):
    """Yield the `Line`s of some files; what is no such line is left out.

    :raises errors.SettingsError: if a file can't be read
    """
    for name in names:
        try:
            text = pathlib.Path(name).read_text(
                encoding='utf-8', errors='replace'
            )
        except OSError as error:
            raise errors.SettingsError(
                f'the log {name} can not be read: {error}',
                remedy='name files with the lines that nodes wrote',
            ) from error
        for text_line in text.splitlines():
            line = read_line(text_line)
            if line is not None:
                yield line


def read_line(text):
    """Return the `Line` of one line of a log, None if it is none.

    A collector may have put words before the JSON.
    """
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        at = datetime.datetime.fromisoformat(fields['time']).timestamp()
        process = fields['process']
    except (ValueError, KeyError, TypeError):
        return None
    return Line(at, process, fields.get('event', 'message'), fields)


def trace(request_id, lines):
    """Return the `Trace` of a request.

    :param lines: all `Line`s, in any order
    :raises errors.PumicestandError: if no line is about the request
    """
    lines = sorted(lines, key=lambda line: line.at)
    calls = [line for line in lines if _belongs(line, request_id)]
    own = [line for line in calls if line.request_id == request_id]
    if not own:
        raise errors.PumicestandError(
            errors.Code.NO_SUCH_REQUEST,
            f'no line is about request {request_id}',
            step='trace',
            remedy='name the logs of the node that its caller used; a node '
            'drops lines beyond its bound and counts them',
        )
    first = min(_began(line) for line in calls)
    last = max(line.at for line in calls)
    involved = set()
    for line in calls:
        involved.add(line.process)
        involved.update(_nodes(line))
    events = [
        line
        for line in lines
        if not line.request_id
        and line.process in involved
        and first - BEFORE_S <= line.at <= last
    ]
    return Trace(request_id, explain(own[-1]), tuple(calls), tuple(events))


def _belongs(line, request_id):
    held = line.request_id
    return held == request_id or held.startswith(request_id + PARENT_SEPARATOR)


def _began(line):
    return line.at - line.fields.get('ms', 0) / 1000


def _nodes(line):
    """Return the nodes that were asked to run a call."""
    asked = [text.partition(':')[0] for text in line.fields.get('asked', ())]
    return {*asked, line.fields.get('node', '')} - {''}


def explain(line):
    """Return one sentence on how a request ended."""
    fields = line.fields
    status = fields.get('status', 0)
    spent = f'after {fields.get("ms", 0)} ms'
    where = f'at {fields["node"]}' if fields.get('node') else 'at no node'
    why = fields.get('why') or fields.get('code') or 'no reason given'
    if 200 <= status < 300:
        work = fields.get('work_ms')
        return f'answered {where} {spent}, of which its target took {work} ms'
    if status in (408, 421, 429, 503):
        return f'refused as not run {spent}: {why}, {where}'
    if status in (502, 504) and fields.get('code'):
        return f'given up {spent}, it may have run: {why}, {where}'
    return f'status {status} of its target {where} {spent}'


def to_report(found):
    """Return the `reports.Report` of a `Trace`."""
    lines = [f'{found.request_id}: {found.outcome}']
    merged = sorted(found.calls + found.events, key=lambda line: line.at)
    for line in merged:
        time = datetime.datetime.fromtimestamp(line.at, datetime.UTC)
        mark = line.request_id or '-'
        lines.append(
            f'{time:%H:%M:%S.%f} {line.process} {line.event} {mark} '
            f'{line.describe()}'
        )
    data = {
        'id': found.request_id,
        'outcome': found.outcome,
        'calls': [line.fields for line in found.calls],
        'events': [line.fields for line in found.events],
    }
    return reports.Report(data, tuple(lines))
