"""HTTP client of a store of versioned objects.

docs/design/store.md describes the protocol: objects with versions,
conditional updates, lists, and watches of one object from a version on.
"""

import dataclasses
import json
import urllib.parse

from pumicestand import errors
from pumicestand import store_calls

LIMITS = store_calls.Limits(
    timeout=2.0, wait_margin=2.0, max_connections=4, keepalive=30.0
)
# Time for which the store holds a watch open without a new version.
WATCH_S = 5.0
MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedObject:
    """An object in the store with its version.

    :param version: number that increases with each write, 0 if the object
        does not exist
    :param value: text, empty if the object does not exist
    """

    key: str
    version: int
    value: str

    @property
    def exists(self):
        """Whether the object exists in the store."""
        return self.version > 0


class StoreClient:
    """Client of the store; each method makes one call.

    Calls raise `errors.StoreUnavailableError` if the store can't be
    reached, is busy or sends a body that is not JSON, and
    `errors.StoreRejectedError` if it rejects the call.

    :param url: base URL of the store, such as ``http://127.0.0.1:7000``
    :param backend: see `store_calls.StoreCalls`
    """

    def __init__(self, url, backend=None):
        self._calls = store_calls.StoreCalls(url, LIMITS, url, backend)

    async def start(self):
        """Open the connection pool; connections are opened on demand."""
        await self._calls.start()

    async def close(self):
        """Close all connections."""
        await self._calls.close()

    async def read(self, key):
        """Return the current `VersionedObject` of a key, never a stale one.

        :raises errors.StoreUnavailableError: if no valid response arrives
        """
        status, body = await self._make_call('read', 'GET', _object_path(key))
        if status == 404:
            return VersionedObject(key, 0, '')
        return _to_versioned_object(self._parse_json('read', body))

    async def list(self, prefix):
        """Return the objects whose keys have a prefix; they may be stale.

        :returns: a list of `VersionedObject`
        """
        path = f'/v1/objects?prefix={urllib.parse.quote(prefix, safe="")}'
        _, body = await self._make_call('list', 'GET', path)
        data = self._parse_json('list', body)
        return [_to_versioned_object(item) for item in data['objects']]

    async def write(self, key, value, expected_version):
        """Write an object if it still has the expected version.

        :param value: text of at most `MAX_VALUE_BYTES` bytes in UTF-8
        :param expected_version: version that was read, 0 for a new object
        :returns: the new version
        :raises errors.ConflictError: if another write came first
        :raises errors.StoreUnavailableError: if nothing was written
        :raises errors.StoreResponseLostError: if the write may have taken
            effect
        """
        headers = {'if-match': str(expected_version)}
        status, body = await self._make_call(
            'write', 'PUT', _object_path(key), value.encode(), headers
        )
        data = self._parse_json('write', body)
        if status == 412:
            raise errors.ConflictError(
                f'{key} has version {data["version"]}, expected version '
                f'{expected_version}',
                step='write',
                peer=self._calls.peer,
                current_version=data['version'],
            )
        return data['version']

    async def watch(self, key, known_version, seconds=WATCH_S):
        """Wait until an object has a version above a known one.

        :param known_version: version that the caller has seen
        :param seconds: time for which the store waits for a new version
        :returns: the new `VersionedObject`, None if there is none in time
        :raises errors.WatchExpiredError: if the store can't tell what
            changed since the known version and the object must be read
        """
        path = (
            f'/v1/watch/{urllib.parse.quote(key)}'
            f'?after={known_version}&seconds={seconds:g}'
        )
        status, body = await self._make_call(
            'watch', 'GET', path, wait=seconds
        )
        if status == 204:
            return None
        if status == 410:
            raise errors.WatchExpiredError(
                f'{key} has to be read anew',
                step='watch',
                peer=self._calls.peer,
            )
        return _to_versioned_object(self._parse_json('watch', body))

    async def _make_call(
        self, step, method, path, content=b'', headers=None, wait=0.0
    ):
        response = await self._calls.call(
            step, method, path, content, headers, wait
        )
        status = response.status
        if status not in (200, 204, 404, 410, 412):
            detail = response.content[:200].decode(errors='replace')
            raise self._calls.rejected_error(
                step,
                f'status {status} to {method} {path}: {detail}',
            )
        return status, response.content

    def _parse_json(self, step, body):
        try:
            return json.loads(body)
        except ValueError as error:
            raise self._calls.unavailable_error(
                step, f'an answer of {len(body)} bytes is no JSON'
            ) from error


def _object_path(key):
    return f'/v1/objects/{urllib.parse.quote(key)}'


def _to_versioned_object(data):
    return VersionedObject(data['key'], data['version'], data['value'])
