"""HTTP calls to a store, with failures mapped to errors.

Clients of a store supply paths and contents. This module decides whether a
write without a response may have taken effect.
"""

import dataclasses
import math
import urllib.parse

import trio

from pumicestand import connection_trust
from pumicestand import errors
from pumicestand import http_pool

_BUSY_STATUSES = frozenset((429, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the calls to a store.

    :param timeout: time-out of one call, in seconds
    :param wait_margin: time after the end of a wait within which the response
        to it must have arrived, in seconds
    :param max_connections: maximum number of open connections
    :param keepalive: time after which an idle connection is closed, in
        seconds
    :param reuse_timeout: time within which a response has to begin on a
        connection that was used before, in seconds; applied while the store
        answers quickly
    """

    timeout: float
    wait_margin: float
    max_connections: int
    keepalive: float
    reuse_timeout: float = math.inf


class _Wait:
    """A request that the store may answer late.

    :param sent_at: time of the request, in seconds of trio's clock
    """

    __slots__ = ('scope', 'sent_at')

    def __init__(self, sent_at):
        self.scope = trio.CancelScope()
        self.sent_at = sent_at


class StoreCalls:
    """Makes calls to one store over a pool of connections.

    :param url: base URL of the store, such as ``http://127.0.0.1:7000``; no
        other scheme is supported
    :param limits: the `Limits`
    :param peer: name of the store in errors
    :param backend: opens connections, like `http_pool.TcpBackend`, which
        does so if it is None
    :param socket_options: arguments of `socket.setsockopt` for TCP
    """

    def __init__(self, url, limits, peer, backend=None, socket_options=()):
        self.peer = peer
        self._url = urllib.parse.urlsplit(url.rstrip('/'))
        if self._url.scheme != 'http':
            raise ValueError(f'{url}: the scheme is not http')
        self._limits = limits
        self._backend = backend or http_pool.TcpBackend(socket_options)
        self._trust = connection_trust.ConnectionTrust(limits.reuse_timeout)
        self._distrusted_at = -math.inf
        self._waits = set()
        self._pool = None

    @property
    def is_only_old_silent(self):
        """Whether only connections from before the calls have failed.

        No new one has been tried since the first of them was silent.
        """
        return self._trust.is_only_old_silent

    async def start(self):
        """Open the connection pool; connections are opened on demand."""
        self._pool = http_pool.HttpPool(
            self._url.hostname,
            self._url.port or 80,
            self._limits.max_connections,
            self._limits.keepalive,
            self._backend,
        )

    async def close(self):
        """Close all connections without waiting for the store."""
        if self._pool is None:
            return
        # Calls in flight then fail as unavailable.
        with trio.CancelScope(shield=True):
            await self._pool.close()

    async def call(
        self, step, method, path, content=b'', headers=None, wait=0.0
    ):
        """Make one call and return the `http_pool.Response`.

        :param step: name of the call in errors
        :param headers: headers beside those that every call has
        :param wait: seconds for which the store was asked to delay its
            response at most, 0 for none
        :raises errors.StoreUnavailableError: if the call had no effect
        :raises errors.StoreResponseLostError: if a write may have taken effect
        """
        request_headers = {
            'host': self._url.netloc,
            'content-length': str(len(content)),
            **(headers or {}),
        }
        limits = self._limits
        timeout = wait + limits.wait_margin if wait else limits.timeout
        send = self._wait if wait else self._request
        target = self._url.path + path
        try:
            response = await send(
                timeout, method, target, request_headers, content
            )
        except http_pool.ConnectError as error:
            self._trust.record_failure()
            raise self.unavailable_error(
                step, f'no connection: {error}'
            ) from error
        except (trio.TooSlowError, http_pool.ResponseError) as error:
            match error:
                case trio.TooSlowError():
                    await self._distrust(is_old=wait > 0)
                case http_pool.SilentConnectionError():
                    await self._distrust(is_old=True)
                case _:
                    self._trust.record_failure()
            detail = f'no answer to {method} {path}: {type(error).__name__}'
            if method == 'GET':
                raise self.unavailable_error(step, detail) from error
            raise errors.StoreResponseLostError(
                detail, step=step, peer=self.peer
            ) from error
        if response.status in _BUSY_STATUSES:
            raise self.unavailable_error(
                step,
                f'status {response.status} to {method} {path}',
            )
        return response

    async def _request(self, timeout, method, target, headers, content):
        """Send a request and return the `http_pool.Response`.

        A read is sent again, on a new connection, if a reused one is silent.
        A write may have taken effect, so it is the caller who decides.
        """
        request = (method, target, headers, content)
        sent_at = trio.current_time()
        with trio.fail_after(timeout):
            try:
                response = await self._pool.request(
                    *request, self._trust.reuse_timeout
                )
            except http_pool.SilentConnectionError:
                if method != 'GET':
                    raise
                await self._distrust(is_old=True)
                sent_at = trio.current_time()
                response = await self._pool.request(*request)
        if self._trust.record_answer(trio.current_time() - sent_at):
            self._renew_waits()
        return response

    async def _wait(self, timeout, *request):
        """Send a request that the store may answer late.

        It is sent again, with the whole time-out, if its connection is found
        to be silent by other calls.
        """
        while True:
            wait = _Wait(trio.current_time())
            self._waits.add(wait)
            try:
                with trio.fail_after(timeout), wait.scope:
                    response = await self._pool.request(*request)
                    self._trust.record_answer()
                    return response
            finally:
                self._waits.discard(wait)

    def _renew_waits(self):
        """Have the requests that wait on distrusted connections sent again."""
        for wait in self._waits:
            if wait.sent_at < self._distrusted_at:
                wait.scope.cancel()

    async def _distrust(self, is_old):
        """Record silence and close the idle connections, silent as well.

        :param is_old: whether the silent connection was opened before the
            response to the call was due
        """
        if is_old:
            self._distrusted_at = trio.current_time()
            self._trust.record_old_silence()
        else:
            self._trust.record_failure()
        await self._pool.close_idle()

    def unavailable_error(self, step, detail):
        """Return the error for a call that had no effect."""
        return errors.StoreUnavailableError(detail, step=step, peer=self.peer)

    def rejected_error(self, step, detail):
        """Return the error for a call that the store does not accept."""
        return errors.StoreRejectedError(detail, step=step, peer=self.peer)
