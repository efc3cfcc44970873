"""Calls to a store over HTTP, and what their failures mean.

Clients of a store say paths and contents; whether a write that got no
answer may have taken effect is decided here.
"""

import dataclasses

import httpcore
import trio

from pumicestand import errors

_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_RESPONSE_LOST_ERRORS = (
    trio.TooSlowError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
_BUSY_STATUSES = frozenset((429, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """How a store is called.

    :param timeout: for one answer, in seconds
    :param max_connections: kept at once
    :param keepalive: after which an idle connection is closed, in seconds
    """

    timeout: float
    max_connections: int
    keepalive: float


class StoreCalls:
    """The connections to one store.

    :param url: such as ``http://127.0.0.1:7000``
    :param limits: the `Limits`
    :param peer: how errors name the store
    :param backend: a `httpcore.AsyncNetworkBackend`, None for TCP
    """

    def __init__(self, url, limits, peer, backend=None):
        self.peer = peer
        self._url = url.rstrip('/')
        self._limits = limits
        self._backend = backend
        self._pool = None

    async def start(self):
        """Open the connection pool; connections are made on demand."""
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=self._limits.max_connections,
            keepalive_expiry=self._limits.keepalive,
            network_backend=self._backend,
        )

    async def close(self):
        """Close all connections, without waiting for the store."""
        if self._pool is None:
            return
        # A call that is still under way then fails as unavailable.
        with trio.CancelScope(shield=True, deadline=trio.current_time()):
            await self._pool.aclose()

    async def call(
        self, step, method, path, content=b'', headers=None, wait=0.0
    ):
        """Make one call and return the `httpcore.Response`.

        :param headers: beside those that every call has
        :param wait: seconds for which the store was asked to wait
        :raises errors.StoreUnavailable: if nothing was done
        :raises errors.StoreAnswerLost: if a write may have been done
        """
        request_headers = {
            'host': self._url.partition('//')[2],
            'content-length': str(len(content)),
            **(headers or {}),
        }
        try:
            with trio.fail_after(self._limits.timeout + wait):
                response = await self._pool.request(
                    method,
                    self._url + path,
                    headers=request_headers,
                    content=content,
                )
        except _NOT_SENT_ERRORS as error:
            raise self.unavailable_error(
                step, f'no connection for {method} {path}: {error}'
            ) from error
        except _RESPONSE_LOST_ERRORS as error:
            detail = f'no response to {method} {path}: {type(error).__name__}'
            if method == 'GET':
                raise self.unavailable_error(step, detail) from error
            raise errors.StoreAnswerLost(
                detail, step=step, peer=self.peer
            ) from error
        if response.status in _BUSY_STATUSES:
            raise self.unavailable_error(
                step,
                f'status {response.status} in response to {method} {path}',
            )
        return response

    def unavailable_error(self, step, detail):
        """Return the error that says that nothing was done."""
        return errors.StoreUnavailable(detail, step=step, peer=self.peer)

    def rejected_error(self, step, detail):
        """Return the error that says that the store does not take this."""
        return errors.StoreRejected(detail, step=step, peer=self.peer)
