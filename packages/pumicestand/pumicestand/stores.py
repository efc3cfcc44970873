"""The client of the platform's store, over HTTP.

The protocol is described in docs/design/store.md: objects with versions,
conditional updates, lists, and watches of one object from a version.
"""

import dataclasses
import json
import urllib.parse

import httpcore
import trio

from pumicestand import errors

CALL_TIMEOUT_S = 2.0
WATCH_SECONDS = 5.0
MAX_CONNECTIONS = 4
MAX_VALUE_BYTES = 1_000_000
_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """An object as the store holds it.

    :param version: 0 if there is no such object; else rises with writes
    :param value: text, empty if there is no such object
    """

    key: str
    version: int
    value: str

    @property
    def exists(self):
        """Whether the store holds the object."""
        return self.version > 0


class StoreClient:
    """Calls the store; each method is one call.

    :param url: such as ``http://127.0.0.1:7000``
    :param backend: a `httpcore.AsyncNetworkBackend`, None for TCP
    """

    def __init__(self, url, backend=None):
        self._url = url.rstrip('/')
        self._backend = backend
        self._pool = None

    async def start(self):
        """Open the connection pool; connections are made on demand."""
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            keepalive_expiry=30.0,
            network_backend=self._backend,
        )

    async def close(self):
        """Close all connections."""
        if self._pool is not None:
            await self._pool.aclose()
            self._pool = None

    async def read(self, key):
        """Return the `Stored` object of a key; never a stale one.

        :raises errors.StoreUnavailable: if there is no answer
        """
        status, body = await self._call('read', 'GET', _object_path(key))
        if status == 404:
            return Stored(key, 0, '')
        return _to_stored(_parse('read', self._url, body))

    async def list(self, prefix):
        """Return the `Stored` objects of a prefix; may be stale."""
        path = f'/v1/objects?prefix={urllib.parse.quote(prefix, safe="")}'
        _, body = await self._call('list', 'GET', path)
        data = _parse('list', self._url, body)
        return [_to_stored(item) for item in data['objects']]

    async def write(self, key, value, expected):
        """Write an object if it still has the expected version.

        :param value: text of at most `MAX_VALUE_BYTES` bytes
        :param expected: the version read before, 0 for a new object
        :returns: the new version
        :raises errors.Conflict: if another write came first
        :raises errors.StoreUnavailable: if nothing was written
        :raises errors.StoreAnswerLost: if it may have been written
        """
        headers = {'if-match': str(expected)}
        status, body = await self._call(
            'write', 'PUT', _object_path(key), value.encode(), headers
        )
        data = _parse('write', self._url, body)
        if status == 412:
            raise errors.Conflict(
                f'{key} has version {data["version"]}, expected was '
                f'{expected}',
                step='write',
                peer=self._url,
                winner=data['version'],
            )
        return data['version']

    async def watch(self, key, after, seconds=WATCH_SECONDS):
        """Wait until an object is newer than a version.

        :param after: the version already known
        :param seconds: how long the store should wait
        :returns: the newer `Stored` object, or None if none came
        :raises errors.WatchExpired: if the object must be read anew
        """
        path = (
            f'/v1/watch/{urllib.parse.quote(key)}'
            f'?after={after}&seconds={seconds:g}'
        )
        status, body = await self._call(
            'watch', 'GET', path, timeout=seconds + CALL_TIMEOUT_S
        )
        if status == 204:
            return None
        if status == 410:
            raise errors.WatchExpired(
                f'{key} has to be read anew', step='watch', peer=self._url
            )
        return _to_stored(_parse('watch', self._url, body))

    async def _call(
        self,
        step,
        method,
        path,
        content=b'',
        headers=None,
        timeout=CALL_TIMEOUT_S,
    ):
        headers = dict(headers or {})
        headers['content-length'] = str(len(content))
        lost = f'no answer to {method} {path} within {timeout:g} s'
        try:
            with trio.fail_after(timeout):
                response = await self._pool.request(
                    method,
                    self._url + path,
                    headers={'host': 'store', **headers},
                    content=content,
                )
        except _NOT_SENT as error:
            raise errors.StoreUnavailable(
                f'no connection: {error}', step=step, peer=self._url
            ) from error
        except (
            trio.TooSlowError,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            if method == 'PUT':
                raise errors.StoreAnswerLost(
                    lost, step=step, peer=self._url
                ) from error
            raise errors.StoreUnavailable(
                lost, step=step, peer=self._url
            ) from error
        return self._check(step, method, path, response)

    def _check(self, step, method, path, response):
        status = response.status
        if status in (429, 503):
            raise errors.StoreUnavailable(
                f'status {status} to {method} {path}',
                step=step,
                peer=self._url,
            )
        if status not in (200, 204, 404, 410, 412):
            raise errors.StoreRejected(
                f'status {status} to {method} {path}: '
                f'{response.content[:200].decode(errors="replace")}',
                step=step,
                peer=self._url,
            )
        return status, response.content


def _object_path(key):
    return f'/v1/objects/{urllib.parse.quote(key)}'


def _parse(step, peer, body):
    try:
        return json.loads(body)
    except ValueError as error:
        raise errors.StoreUnavailable(
            f'an answer of {len(body)} bytes is no JSON', step=step, peer=peer
        ) from error


def _to_stored(data):
    return Stored(data['key'], data['version'], data['value'])
