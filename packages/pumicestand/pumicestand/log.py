"""Structured logging, with one JSON object a line.

The attribute `logger` is loguru's logger. It is imported at the first use: the
import takes a tenth of a start, and most starts log nothing by it.
"""

import dataclasses
import json
import sys
import typing

LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


@dataclasses.dataclass(frozen=True, slots=True)
class _Sink:
    """Where the lines go.

    :param process: name of this process, written into each line
    :param level: minimum level, one of `LEVELS`
    :param stream: text stream
    """

    process: str
    level: str
    stream: typing.TextIO


_sink = None


def __getattr__(name):
    """Import loguru when `logger` is read for the first time."""
    if name != 'logger':
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    return _load_logger()


def _load_logger():
    if 'logger' not in globals():
        import loguru

        globals()['logger'] = loguru.logger
        if _sink is not None:
            _add_sink()
    return globals()['logger']


def configure(process, level, stream=None):
    """Write all log records to a stream as JSON lines.

    :param process: name of this process, written into each line
    :param level: minimum level, one of `LEVELS`
    :param stream: text stream, None for standard error
    """
    global _sink
    _sink = _Sink(process, level, stream or sys.stderr)
    if 'logger' in globals():
        _add_sink()


def is_written(level):
    """Return whether records of a level are written.

    It lets callers skip frequent records without loading the logger.
    """
    if _sink is None:
        return True
    return LEVELS.index(level) >= LEVELS.index(_sink.level)


def _add_sink():
    """Make the sink the only one of the logger."""
    sink = _sink
    logger = globals()['logger']
    logger.remove()
    logger.add(
        lambda message: sink.stream.write(
            _to_line(sink.process, message.record)
        ),
        level=sink.level,
        format='{message}',
        catch=True,
    )


def _to_line(process, record):
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'process': process,
        'module': record['name'],
        'message': record['message'],
        **record['extra'],
    }
    if record['exception'] is not None:
        line['exception'] = repr(record['exception'].value)
    return json.dumps(line, default=str) + '\n'


def log_event(board, event):
    """Log an event; receiver of the signal `signals.event_emitted`.

    :param board: sender of the signal, not used
    :param event: the `events.Event`
    """
    fields = {
        name: value
        for name in ('step', 'peer', 'generation', 'service', 'move')
        if (value := getattr(event, name))
    }
    logger = _load_logger().bind(event=event.kind.value, **fields)
    logger.info('{}', event.detail or event.kind.value)
