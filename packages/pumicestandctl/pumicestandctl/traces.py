"""Trace a request through the logs of several nodes.

Each node logs JSON lines. Lines about a request have its id; the id of a
call that its target made in turn is the same id, a dot and a suffix. Other
events at the nodes involved, during the request or shortly before it, are
shown too, as they may be the cause of a failure.
"""

import dataclasses
import datetime
import json
import pathlib

from pumicestand import errors
from pumicestandctl import reports

# Events of the nodes involved are shown from this long before the request.
# Removing a node, closing a link or the return of a target takes less time.
CONTEXT_S = 3.0
NESTED_ID_SEPARATOR = '.'
CALL_EVENT = 'call'
# Fields that the report shows apart from the others, or not at all.
_FIELDS_NOT_LISTED = frozenset(
    ('time', 'process', 'event', 'id', 'level', 'module')
)


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a node's log.

    :param timestamp: seconds since the epoch
    :param process: name of the node
    :param event: kind of the event
    :param fields: all fields of the line
    """

    timestamp: float
    process: str
    event: str
    fields: dict

    @property
    def request_id(self):
        """Id of the request that the line is about, empty if there is none."""
        return self.fields.get('id', '')

    @property
    def is_call(self):
        """Whether the line logs the end of a request."""
        return self.event == CALL_EVENT

    def describe(self):
        """Return the fields that are not shown separately, as text."""
        return ' '.join(
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in _FIELDS_NOT_LISTED and value not in ('', None)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Trace:
    """All log lines that concern a request.

    :param outcome: one sentence on how the request ended
    :param calls: lines of the request and of the calls made for it
    :param events: other lines of the nodes involved, sorted by time
    """

    request_id: str
    outcome: str
    calls: tuple[LogLine, ...]
    events: tuple[LogLine, ...]


def read_logs(names):
    """Yield the `LogLine`s in some files; other lines are skipped.

    :param names: paths of the files
    :raises errors.SettingsError: if a file cannot be read
    """
    for name in names:
        try:
            text = pathlib.Path(name).read_text(
                encoding='utf-8', errors='replace'
            )
        except OSError as error:
            raise errors.SettingsError(
                f'cannot read the log {name}: {error}',
                remedy='give the paths of log files written by nodes',
            ) from error
        for text_line in text.splitlines():
            line = parse_line(text_line)
            if line is not None:
                yield line


def parse_line(text):
    """Parse one line of a log; return a `LogLine`, None if it is invalid.

    A log collector may have added a prefix before the JSON.
    """
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        timestamp = datetime.datetime.fromisoformat(fields['time']).timestamp()
        process = fields['process']
    except (ValueError, KeyError, TypeError):
        return None
    return LogLine(timestamp, process, fields.get('event', 'message'), fields)


def trace_request(request_id, lines):
    """Return the `Trace` of a request.

    :param lines: all `LogLine`s, in any order
    :raises errors.PumicestandError: if no line is about the request
    """
    lines = sorted(lines, key=lambda line: line.timestamp)
    calls = [line for line in lines if _is_about(line, request_id)]
    own_lines = [line for line in calls if line.request_id == request_id]
    if not own_lines:
        raise errors.PumicestandError(
            errors.Code.NO_SUCH_REQUEST,
            f'no log line is about request {request_id}',
            step='trace',
            remedy='include the log of the node that its client called; a '
            'node drops log lines above its limit and counts them',
        )
    start = min(_start_time(line) for line in calls)
    end = max(line.timestamp for line in calls)
    involved_nodes = set()
    for line in calls:
        involved_nodes.add(line.process)
        involved_nodes.update(_involved_nodes(line))
    events = [
        line
        for line in lines
        if not line.request_id
        and line.process in involved_nodes
        and start - CONTEXT_S <= line.timestamp <= end
    ]
    return Trace(
        request_id,
        describe_outcome(own_lines[-1]),
        tuple(calls),
        tuple(events),
    )


def _is_about(line, request_id):
    """Return whether a line is about a request or a call made for it."""
    line_id = line.request_id
    return line_id == request_id or line_id.startswith(
        request_id + NESTED_ID_SEPARATOR
    )


def _start_time(line):
    """Return the start of a call, in seconds since the epoch."""
    return line.timestamp - line.fields.get('ms', 0) / 1000


def _involved_nodes(line):
    """Return the names of the nodes that were asked to run a call."""
    asked_nodes = [
        text.partition(':')[0] for text in line.fields.get('asked', ())
    ]
    return {*asked_nodes, line.fields.get('node', '')} - {''}


def describe_outcome(line):
    """Return one sentence on how a request ended.

    :param line: the `LogLine` of its end
    """
    fields = line.fields
    status = fields.get('status', 0)
    duration = f'after {fields.get("ms", 0)} ms'
    place = f'at {fields["node"]}' if fields.get('node') else 'at no node'
    reason = fields.get('why') or fields.get('code') or 'no reason given'
    if 200 <= status < 300:
        work = fields.get('work_ms')
        return (
            f'answered {place} {duration}, of which its target took {work} ms'
        )
    if status in (408, 421, 429, 503):
        return f'refused as not run {duration}: {reason}, {place}'
    if status in (502, 504) and fields.get('code'):
        return f'given up {duration}, it may have run: {reason}, {place}'
    return f'status {status} of its target {place} {duration}'


def report_trace(trace):
    """Return the `reports.Report` of a `Trace`."""
    lines = [f'{trace.request_id}: {trace.outcome}']
    all_lines = sorted(
        trace.calls + trace.events, key=lambda line: line.timestamp
    )
    for line in all_lines:
        time = datetime.datetime.fromtimestamp(line.timestamp, datetime.UTC)
        mark = line.request_id or '-'
        lines.append(
            f'{time:%H:%M:%S.%f} {line.process} {line.event} {mark} '
            f'{line.describe()}'
        )
    data = {
        'id': trace.request_id,
        'outcome': trace.outcome,
        'calls': [line.fields for line in trace.calls],
        'events': [line.fields for line in trace.events],
    }
    return reports.Report(data, tuple(lines))
