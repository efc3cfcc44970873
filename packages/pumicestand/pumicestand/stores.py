"""The client of the platform's store, over HTTP.

The protocol is described in docs/design/store.md: objects with versions,
conditional updates, lists, and watches of one object from a version.
"""

import dataclasses
import json
import urllib.parse

from pumicestand import errors
from pumicestand import store_calls

LIMITS = store_calls.Limits(timeout=2.0, max_connections=4, keepalive=30.0)
WATCH_S = 5.0
MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedObject:
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
        self._calls = store_calls.StoreCalls(url, LIMITS, url, backend)

    async def start(self):
        """Open the connection pool; connections are made on demand."""
        await self._calls.start()

    async def close(self):
        """Close all connections."""
        await self._calls.close()

    async def read(self, key):
        """Return the `VersionedObject` of a key; never a stale one.

        :raises errors.StoreUnavailableError: if there is no answer
        """
        status, body = await self._call('read', 'GET', _object_path(key))
        if status == 404:
            return VersionedObject(key, 0, '')
        return _to_stored(self._parse('read', body))

    async def list(self, prefix):
        """Return the `VersionedObject`s of a prefix; may be stale."""
        path = f'/v1/objects?prefix={urllib.parse.quote(prefix, safe="")}'
        _, body = await self._call('list', 'GET', path)
        data = self._parse('list', body)
        return [_to_stored(item) for item in data['objects']]

    async def write(self, key, value, expected):
        """Write an object if it still has the expected version.

        :param value: text of at most `MAX_VALUE_BYTES` bytes
        :param expected: the version read before, 0 for a new object
        :returns: the new version
        :raises errors.ConflictError: if another write came first
        :raises errors.StoreUnavailableError: if nothing was written
        :raises errors.StoreResponseLostError: if it may have been written
        """
        headers = {'if-match': str(expected)}
        status, body = await self._call(
            'write', 'PUT', _object_path(key), value.encode(), headers
        )
        data = self._parse('write', body)
        if status == 412:
            raise errors.ConflictError(
                f'{key} has version {data["version"]}, expected was '
                f'{expected}',
                step='write',
                peer=self._calls.peer,
                current_version=data['version'],
            )
        return data['version']

    async def watch(self, key, after, seconds=WATCH_S):
        """Wait until an object is newer than a version.

        :param after: the version already known
        :param seconds: how long the store should wait
        :returns: the newer `VersionedObject`, or None if none came
        :raises errors.WatchExpiredError: if the object must be read anew
        """
        path = (
            f'/v1/watch/{urllib.parse.quote(key)}'
            f'?after={after}&seconds={seconds:g}'
        )
        status, body = await self._call('watch', 'GET', path, wait=seconds)
        if status == 204:
            return None
        if status == 410:
            raise errors.WatchExpiredError(
                f'{key} has to be read anew',
                step='watch',
                peer=self._calls.peer,
            )
        return _to_stored(self._parse('watch', body))

    async def _call(
        self, step, method, path, content=b'', headers=None, wait=0.0
    ):
        response = await self._calls.call(
            step, method, path, content, headers, wait
        )
        status = response.status
        if status not in (200, 204, 404, 410, 412):
            detail = response.content[:200].decode(errors='replace')
            raise self._calls.rejected_error(
                step, f'status {status} to {method} {path}: {detail}'
            )
        return status, response.content

    def _parse(self, step, body):
        try:
            return json.loads(body)
        except ValueError as error:
            raise self._calls.unavailable_error(
                step, f'an answer of {len(body)} bytes is no JSON'
            ) from error


def _object_path(key):
    return f'/v1/objects/{urllib.parse.quote(key)}'


def _to_stored(data):
    return VersionedObject(data['key'], data['version'], data['value'])
