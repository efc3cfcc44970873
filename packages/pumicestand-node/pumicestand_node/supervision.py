"""Keeps background tasks running after unexpected errors.

An error that nobody expected must cost one message or one period of a task,
not the process with all its calls.
"""

import contextlib

import trio

from pumicestand import log
from pumicestand import log_throttle

# Delay before a failed task is started again, doubled after each failure, and
# the time without a failure after which it is the first one again.
MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0
RESET_AFTER_S = 30.0


async def supervise(name, run, *args):
    """Run a task until it returns; start it again if it fails.

    :param name: name of the task, for the log
    :param run: coroutine function
    :param args: its arguments
    """
    delay_s = MIN_RESTART_DELAY_S
    while True:
        started_at = trio.current_time()
        try:
            return await run(*args)
        except BaseException as error:
            failure = _unexpected(error)
        if trio.current_time() - started_at > RESET_AFTER_S:
            delay_s = MIN_RESTART_DELAY_S
        log_failure(
            'task-failed',
            failure,
            'task {} failed and starts again in {:.1f} s: {!r}',
            name,
            delay_s,
            failure,
        )
        await trio.sleep(delay_s)
        delay_s = min(MAX_RESTART_DELAY_S, 2 * delay_s)


class Step:
    """A step of a periodic task, whose errors end neither task nor period.

    :param name: name of the step, for the log
    :param run: function of the time, in monotonic seconds
    """

    def __init__(self, name, run):
        self._name = name
        self._run = run
        self._throttle = log_throttle.LogThrottle()

    def run(self, now):
        """Run the step; log an error unless it is too early for a line."""
        try:
            self._run(now)
        except Exception as error:
            count = self._throttle.count(now)
            if count:
                log_failure(
                    'step-failed',
                    error,
                    'step {} failed: {!r}',
                    self._name,
                    error,
                    count=count,
                )


def log_failure(event, error, message, *args, **fields):
    """Log an unexpected error; a line that can't be written is left out.

    A log that fails as well, for want of descriptors or memory, must not cost
    what was just saved from the error.

    :param event: name of the event
    :param error: the exception, None if there is none
    :param message: text with places for ``args``
    :param fields: ids of what the error happened to
    """
    with contextlib.suppress(Exception):
        log.logger.opt(exception=error).bind(event=event, **fields).error(
            message, *args
        )


async def contain(run, *args):
    """Run a task; log its error, if it fails, and end it.

    :param run: coroutine function
    :param args: its arguments
    """
    try:
        await run(*args)
    except BaseException as error:
        failure = _unexpected(error)
        log_failure(
            'task-failed',
            failure,
            'task {} failed: {!r}',
            getattr(run, '__qualname__', run),
            failure,
        )


def _unexpected(error):
    """Return what went wrong in a task; raise an error that only cancels it.

    A task that fails while it is cancelled raises both at once.
    """
    if isinstance(error, Exception):
        return error
    if isinstance(error, BaseExceptionGroup):
        failure, rest = error.split(Exception)
        if failure is not None:
            log_failure(
                'task-failed',
                failure,
                'a task failed while it was cancelled: {!r}',
                failure,
            )
        if rest is not None:
            raise rest
    raise error


@contextlib.contextmanager
def stop_step(name):
    """Log an error in a step of a stop, which goes on with the next one.

    :param name: name of the step, for the log
    """
    try:
        yield
    except Exception as error:
        log_failure(
            'stop-step-failed',
            error,
            'step {} of the stop failed: {!r}',
            name,
            error,
        )


class GuardedNursery:
    """A nursery whose tasks can fail without ending each other.

    :param nursery: `trio.Nursery`
    """

    def __init__(self, nursery):
        self._nursery = nursery

    @property
    def cancel_scope(self):
        """The `trio.CancelScope` of the nursery."""
        return self._nursery.cancel_scope

    def start_soon(self, run, *args):
        """Start a task; an error in it is logged.

        :param run: coroutine function
        :param args: its arguments
        """
        self._nursery.start_soon(contain, run, *args, name=run)
