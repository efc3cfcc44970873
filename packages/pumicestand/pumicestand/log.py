"""Structured logging, with one JSON object a line."""

import json
import sys

import loguru

LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


def configure(process, level, stream=None):
    """Write all log records to a stream as JSON lines.

    :param process: name of this process, written into each line
    :param level: minimum level, one of `LEVELS`
    :param stream: text stream, None for standard error
    """
    stream = stream or sys.stderr
    loguru.logger.remove()
    loguru.logger.add(
        lambda message: stream.write(_to_line(process, message.record)),
        level=level,
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
    logger = loguru.logger.bind(event=event.kind.value, **fields)
    logger.info('{}', event.detail or event.kind.value)
