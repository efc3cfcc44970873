"""Reads, watches and writes the objects of the store for a node."""

import json

import trio

from pumicestand import blackboard as blackboards
from pumicestand import errors
from pumicestand import readers
from pumicestand import records
from pumicestand import verdicts
from pumicestand import watching
from pumicestand_node import supervision

# Bounds of the delay after a failure, which doubles with each further one.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 3.0
# Attempts to write an object that others change at the same time.
MAX_WRITE_ATTEMPTS = 5
# Errors of requests to the store and of the objects that they return.
STORE_ERRORS = (
    errors.StoreUnavailableError,
    errors.StoreResponseLostError,
    errors.StoreRejectedError,
    errors.WatchExpiredError,
    errors.InvalidDocumentError,
)


class StoreAgent:
    """Performs the actions of one node that concern the store.

    :param client: a `stores.StoreClient`
    :param environment: name of the environment
    :param deliver: called with each `blackboard.Fact`
    :param rng: a `random.Random`, for the jitter of delays
    """

    def __init__(self, client, environment, deliver, rng):
        self._client = client
        self._environment = environment
        self._deliver = deliver
        self._rng = rng
        self._nursery = None
        self._watch_scope = None
        self._is_reading = False
        self._verdicts_generation = None
        self._pending_writes = {}
        self._write_added = trio.Event()

    async def start(self, nursery):
        """Start the client, and the task that writes, in a nursery."""
        self._nursery = nursery
        await self._client.start()
        nursery.start_soon(
            supervision.supervise, 'writes to the store', self._run_writes
        )

    async def close(self):
        """Close the client."""
        await self._client.close()

    def schedule_read(self, delay):
        """Read seeds, document and verdicts once, unless a read is running.

        :param delay: seconds before the read
        """
        if self._is_reading:
            return
        self._is_reading = True
        self._nursery.start_soon(self._read, delay)

    def start_watch(self):
        """Watch the document until `stop_watch`."""
        if self._watch_scope is None:
            self._watch_scope = trio.CancelScope()
            self._nursery.start_soon(
                supervision.supervise,
                'watch of the document',
                self._watch,
                self._watch_scope,
            )

    def stop_watch(self):
        """End the watch."""
        if self._watch_scope is not None:
            self._watch_scope.cancel()
            self._watch_scope = None

    def schedule_write(self, action):
        """Write an object; a later action for the same key replaces it.

        :param action: an `actions.WriteStore`
        """
        self._pending_writes[action.key] = action
        self._write_added.set()

    async def _read(self, delay):
        try:
            await trio.sleep(delay)
            await self._read_seeds()
            await self._read_document()
        except STORE_ERRORS as error:
            self._deliver(blackboards.StoreFailed(error.step, str(error)))
        finally:
            self._is_reading = False

    async def _read_seeds(self):
        addresses = []
        for stored in await self._client.list(f'seeds/{self._environment}/'):
            data = json.loads(stored.value)
            addresses += [tuple(address) for address in data['addresses']]
        self._deliver(blackboards.StoreSeeds(tuple(addresses)))

    async def _read_document(self):
        key = watching.document_key(self._environment)
        return await self._deliver_document(await self._client.read(key))

    async def _deliver_document(self, stored):
        """Deliver the verdicts on a document's moves, then the document.

        Verdicts are read one by one because a list may be stale: without the
        verdict on a move, a version that was taken back would return.

        Return the version of the stored object.
        """
        record = records.from_stored(stored)
        content = record.content.encode()
        if record.generation != self._verdicts_generation:
            found_verdicts = ()
            if record.generation:
                found_verdicts = await self._read_verdicts(content)
            self._verdicts_generation = record.generation
            self._deliver(blackboards.StoreVerdicts(found_verdicts))
        self._deliver(blackboards.StoreDocument(record.accepted, content))
        return stored.version

    async def _read_verdicts(self, content):
        found_verdicts = []
        for move in readers.read_content(content).moves:
            key = verdicts.verdict_key(self._environment, move.identity)
            stored = await self._client.read(key)
            if stored.exists:
                found_verdicts.append(verdicts.parse_verdict(stored.value))
        return tuple(found_verdicts)

    async def _watch(self, scope):
        """Read the document, then watch for newer versions.

        Read it again after each error, and after each watch that ends without
        a newer version, since a watch may lag or skip versions.
        """
        backoff_s = MIN_BACKOFF_S
        key = watching.document_key(self._environment)
        with scope:
            while True:
                try:
                    version = await self._read_document()
                    while True:
                        stored = await self._client.watch(key, version)
                        if stored is None:
                            break
                        version = await self._deliver_document(stored)
                    backoff_s = MIN_BACKOFF_S
                except STORE_ERRORS as error:
                    failure = blackboards.StoreFailed(error.step, str(error))
                    self._deliver(failure)
                    await trio.sleep(backoff_s * (0.5 + self._rng.random()))
                    backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _run_writes(self):
        backoff_s = MIN_BACKOFF_S
        while True:
            if not self._pending_writes:
                self._write_added = trio.Event()
                await self._write_added.wait()
            key, action = next(iter(self._pending_writes.items()))
            try:
                await self._write(action)
            except STORE_ERRORS:
                # If the response was lost, the read before the next attempt
                # shows whether the write took effect.
                await trio.sleep(backoff_s * (0.5 + self._rng.random()))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
                continue
            backoff_s = MIN_BACKOFF_S
            if self._pending_writes.get(key) is action:
                del self._pending_writes[key]

    async def _write(self, action):
        for _ in range(MAX_WRITE_ATTEMPTS):
            stored = await self._client.read(action.key)
            if _has_equal_or_higher_rank(stored, action.rank):
                return
            data = {**json.loads(action.value), 'rank': action.rank}
            value = json.dumps(data, sort_keys=True)
            if value == stored.value:
                return
            try:
                await self._client.write(action.key, value, stored.version)
                return
            except errors.ConflictError:
                continue


def _has_equal_or_higher_rank(stored, rank):
    """Return whether the rank of a stored object is at least `rank`."""
    if not stored.exists or rank is None:
        return False
    stored_rank = json.loads(stored.value).get('rank')
    return stored_rank is not None and stored_rank >= rank
