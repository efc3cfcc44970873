"""Structured logging, with one JSON object a line.

Records are written by loguru, or without it where its import, 50 ms and 7 MB,
is too much. It is imported by the first record. No call for a record raises.
"""

import dataclasses
import datetime
import json
import os
import sys
import typing

LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


@dataclasses.dataclass(frozen=True, slots=True)
class _Sink:
    """Where the lines go.

    :param process: name of this process, written into each line
    :param level: minimum level, one of `LEVELS`
    :param write: function that writes a line of text and returns how many
        lines it has dropped
    :param with_loguru: whether loguru is used if it can be imported
    """

    process: str
    level: str
    write: typing.Callable
    with_loguru: bool


@dataclasses.dataclass(slots=True)
class _State:
    """What the functions of this module share.

    :param sink: the `_Sink`, None before `configure`
    :param loguru: loguru's logger, None before its import
    :param has_failed: whether the import has failed
    :param dropped: number of lines that were not written
    """

    sink: _Sink | None = None
    loguru: object = None
    has_failed: bool = False
    dropped: int = 0


_state = _State()


class Logger:
    """Logs records with certain fields.

    :param fields: fields of each record
    :param exception: exception that the records tell about, None without one
    """

    def __init__(self, fields=None, exception=None):
        self._fields = fields or {}
        self._exception = exception

    def bind(self, **fields):
        """Return a logger whose records have further fields."""
        return Logger({**self._fields, **fields}, self._exception)

    def opt(self, *, exception):
        """Return a logger whose records tell about an exception."""
        return Logger(self._fields, exception)

    def add(self, sink, **options):
        """Add a further sink to loguru's logger and return its id."""
        return _load_loguru().add(sink, **options)

    def remove(self, sink_id):
        """Remove a sink that `add` has returned."""
        _load_loguru().remove(sink_id)

    def debug(self, message, *arguments):
        """Log a record, a format string with its arguments."""
        self._log('DEBUG', message, arguments)

    def info(self, message, *arguments):
        """Log a record, see `debug`."""
        self._log('INFO', message, arguments)

    def warning(self, message, *arguments):
        """Log a record, see `debug`."""
        self._log('WARNING', message, arguments)

    def error(self, message, *arguments):
        """Log a record, see `debug`."""
        self._log('ERROR', message, arguments)

    def _log(self, level, message, arguments):
        if not is_written(level):
            return
        try:
            logger = _load_loguru()
            if logger is not None:
                logger.bind(**self._fields).opt(
                    exception=self._exception, depth=2
                ).log(level, message, *arguments)
                return
        except Exception:
            # The record is written without loguru.
            _state.has_failed = _state.loguru is None
        _write(
            {
                'level': level,
                'module': sys._getframe(2).f_globals.get('__name__'),
                'message': _format(message, arguments),
                **self._fields,
            },
            self._exception,
        )


logger = Logger()


def configure(process, level, stream=None):
    """Write all log records to a stream as JSON lines.

    :param process: name of this process, written into each line
    :param level: minimum level, one of `LEVELS`
    :param stream: text stream, None for standard error
    """
    stream = stream or sys.stderr

    def write(line):
        stream.write(line)
        return 0

    _set_sink(_Sink(process, level, write, with_loguru=True))


def configure_output(process, level, output):
    """Write all log records as JSON lines, without loguru.

    :param process: name of this process, written into each line
    :param level: minimum level, one of `LEVELS`
    :param output: `line_output.LineOutput`
    """
    _set_sink(
        _Sink(
            process,
            level,
            lambda line: output.write(line.encode(errors='replace')),
            with_loguru=False,
        )
    )


def dropped():
    """Return the number of lines that were not written."""
    return _state.dropped


def is_written(level):
    """Return whether records of a level are written.

    It lets callers skip the preparation of frequent records.
    """
    if _state.sink is None:
        return True
    return LEVELS.index(level) >= LEVELS.index(_state.sink.level)


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
    bound = logger.bind(event=event.kind.value, **fields)
    bound.info('{}', event.detail or event.kind.value)


def _set_sink(sink):
    _state.sink = sink
    if _state.loguru is not None:
        _add_sink()


def _load_loguru():
    """Return loguru's logger, None if it is not used."""
    if _state.sink is not None and not _state.sink.with_loguru:
        return None
    if _state.loguru is None and not _state.has_failed:
        import loguru

        _state.loguru = loguru.logger
        if _state.sink is not None:
            _add_sink()
    return _state.loguru


def _add_sink():
    """Make the sink the only one of loguru's logger."""
    _state.loguru.remove()
    if _state.sink.with_loguru:
        _state.loguru.add(
            lambda message: _write_record(message.record),
            level=_state.sink.level,
            format='{message}',
            backtrace=False,
            diagnose=False,
        )


def _write_record(record):
    exception = record['exception']
    _write(
        {
            'time': record['time'].isoformat(),
            'level': record['level'].name,
            'module': record['name'],
            'message': record['message'],
            **record['extra'],
        },
        None if exception is None else exception.value,
    )


def _format(message, arguments):
    try:
        return message.format(*arguments) if arguments else message
    except Exception as error:
        return f'{message} ({type(error).__name__} in its arguments)'


def _write(fields, exception):
    """Write a line, or count it as dropped.

    :param fields: dict with the time, if it is not now, and other fields
    :param exception: what the line tells about, None without one
    """
    try:
        sink = _state.sink
        now = datetime.datetime.now(datetime.UTC)
        line = {'time': now.isoformat(), **fields}
        if sink is not None:
            line['process'] = sink.process
        if exception is not None:
            line['exception'] = repr(exception)
            line['raised_at'] = _place(exception)
        text = json.dumps(line, default=str) + '\n'
        if sink is None:
            sys.stderr.write(text)
        else:
            _state.dropped += sink.write(text)
    except Exception:
        _state.dropped += 1


def _place(exception):
    """Return the module and line at which an exception was raised."""
    while isinstance(exception, BaseExceptionGroup):
        exception = exception.exceptions[0]
    trace = exception.__traceback__
    if trace is None:
        return None
    while trace.tb_next is not None:
        trace = trace.tb_next
    file_name = os.path.basename(trace.tb_frame.f_code.co_filename)
    return f'{file_name}:{trace.tb_lineno}'
