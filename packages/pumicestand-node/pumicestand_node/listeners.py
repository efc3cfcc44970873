"""Opens the ports of a node and accepts connections.

TLS is to be added here.
"""

import dataclasses
import errno
import select

import trio

from pumicestand import errors
from pumicestand import log
from pumicestand import log_throttle
from pumicestand import tcp_streams

BACKLOG_CONNECTIONS = 512
# Time in which a closing port accepts the connections that wait, in seconds.
DRAIN_TIMEOUT_S = 0.2
# Delay after a connection could not be accepted. The errors that concern this
# connection alone are dealt with by trio.
RETRY_DELAY_S = 0.05
# Errors of a system that has no descriptor or no memory left.
SHORTAGES = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Why connections were not accepted or not served.

    :param code: `errors.Code`
    :param error: the last exception
    :param count: number of failures to log, of which this is the last; 0 if
        it is too early for another line
    """

    code: errors.Code
    error: Exception
    count: int = 1


async def serve(
    listeners, handle, nursery, on_failure, make_room=lambda: False
):
    """Accept connections until cancelled, then close the listeners.

    An error costs the connection at which it occurs and ends nothing else.

    :param listeners: trio listeners
    :param handle: coroutine function that serves one stream
    :param nursery: the nursery in which connections are served
    :param on_failure: called with each `Failure`
    :param make_room: called when the system has no descriptor left; closes an
        idle connection and returns whether there was one
    """
    async with trio.open_nursery() as accepting:
        for listener in listeners:
            accepting.start_soon(
                _accept_all, listener, handle, nursery, on_failure, make_room
            )


async def _accept_all(listener, handle, nursery, on_failure, make_room):
    throttle = log_throttle.LogThrottle()
    async with listener:
        while True:
            try:
                stream = await listener.accept()
            except trio.ClosedResourceError:
                return
            except Exception as error:
                count = throttle.count(trio.current_time())
                on_failure(Failure(errors.Code.ACCEPT_FAILED, error, count))
                if getattr(error, 'errno', None) in SHORTAGES:
                    make_room()
                await trio.sleep(RETRY_DELAY_S)
                continue
            nursery.start_soon(serve_stream, stream, handle, on_failure)


async def serve_stream(stream, handle, on_failure):
    """Serve one connection and close it; an error ends it alone.

    :param handle: coroutine function that serves one stream
    :param on_failure: called with the `Failure` if there is an error
    """
    try:
        await handle(stream)
    except Exception as error:
        on_failure(Failure(errors.Code.CONNECTION_FAILED, error))
    finally:
        await trio.aclose_forcefully(stream)


async def open_listeners(host, port, tls=None):
    """Return trio listeners for a TCP port.

    :param tls: a `settings.Tls`, or None; the settings reject TLS because it
        is not implemented yet
    :raises NotImplementedError: if TLS is requested
    """
    if tls is not None:
        raise NotImplementedError('TLS is not implemented for listeners')
    return await trio.open_tcp_listeners(
        port, host=tcp_streams.encode_host(host), backlog=BACKLOG_CONNECTIONS
    )


def log_failure(failure):
    """Log a `Failure`, unless it is too early for another line."""
    if not failure.count:
        return
    log.logger.bind(event=failure.code.value, count=failure.count).error(
        'connection failed: {!r}', failure.error
    )


class DrainedListener(trio.abc.Listener):
    """A listener that accepts the connections that wait before it closes.

    The kernel would reset them.

    :param listener: `trio.SocketListener`
    :param on_waiting: called with the stream of each of these connections
    """

    def __init__(self, listener, on_waiting):
        self._listener = listener
        self._on_waiting = on_waiting

    async def accept(self):
        return await self._listener.accept()

    async def aclose(self):
        try:
            with trio.move_on_after(DRAIN_TIMEOUT_S, shield=True):
                await self._accept_waiting()
        except Exception as error:
            log.logger.bind(event='connections-dropped').warning(
                'connections wait at a port that closes and are reset: {!r}',
                error,
            )
        finally:
            with trio.CancelScope(shield=True):
                await self._listener.aclose()

    async def _accept_waiting(self):
        poll = select.poll()
        poll.register(self._listener.socket.fileno(), select.POLLIN)
        for _ in range(BACKLOG_CONNECTIONS):
            if not poll.poll(0):
                return
            self._on_waiting(await self._listener.accept())
