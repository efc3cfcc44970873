"""Carries out the actions towards the store: reads, watches, writes."""

import json

import trio

from pumicestand import blackboard as blackboards
from pumicestand import errors
from pumicestand import readers
from pumicestand import records
from pumicestand import verdicts
from pumicestand import watching

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 3.0
MAX_WRITE_CONFLICTS = 5
FAILURES = (
    errors.StoreUnavailableError,
    errors.StoreResponseLostError,
    errors.StoreRejectedError,
    errors.WatchExpiredError,
    errors.InvalidDocumentError,
)


class StoreAgent:
    """Talks to the store for one node.

    :param client: a `stores.StoreClient`
    :param environment: name of the environment
    :param deliver: called with each fact
    :param rng: a `random.Random`, for jitter
    """

    def __init__(self, client, environment, deliver, rng):
        self._client = client
        self._environment = environment
        self._deliver = deliver
        self._rng = rng
        self._nursery = None
        self._watch_scope = None
        self._is_reading = False
        self._verdicts_of = None
        self._pending = {}
        self._pending_added = trio.Event()

    async def start(self, nursery):
        """Open the client and begin to write what is pending."""
        self._nursery = nursery
        await self._client.start()
        nursery.start_soon(self._write_pending)

    async def close(self):
        """Close the client."""
        await self._client.close()

    def schedule_read(self, delay):
        """Read document, seeds and verdicts once, after a delay."""
        if self._is_reading:
            return
        self._is_reading = True
        self._nursery.start_soon(self._read, delay)

    def start_watch(self):
        """Keep a watch on the document until `stop_watch`."""
        if self._watch_scope is None:
            self._watch_scope = trio.CancelScope()
            self._nursery.start_soon(self._watch, self._watch_scope)

    def stop_watch(self):
        """End the watch."""
        if self._watch_scope is not None:
            self._watch_scope.cancel()
            self._watch_scope = None

    def schedule_write(self, action):
        """Write an object; a newer one of its key replaces it."""
        self._pending[action.key] = action
        self._pending_added.set()

    async def _read(self, delay):
        try:
            await trio.sleep(delay)
            await self._read_seeds()
            await self._read_document()
        except FAILURES as error:
            self._deliver(blackboards.StoreFailed(error.step, str(error)))
        finally:
            self._is_reading = False

    async def _read_seeds(self):
        addresses = []
        for stored in await self._client.list(f'seeds/{self._environment}/'):
            data = json.loads(stored.value)
            addresses += [tuple(pair) for pair in data['addresses']]
        self._deliver(blackboards.StoreSeeds(tuple(addresses)))

    async def _read_document(self):
        key = watching.document_key(self._environment)
        return await self._take_document(await self._client.read(key))

    async def _take_document(self, stored):
        """Deliver a document, the verdicts on its moves first.

        Verdicts are read one by one since a list may be stale, and a
        version that was taken back must not return by it.
        """
        record = records.from_stored(stored)
        content = record.content.encode()
        if record.generation != self._verdicts_of:
            found = ()
            if record.generation:
                found = await self._read_verdicts(content)
            self._verdicts_of = record.generation
            self._deliver(blackboards.StoreVerdicts(found))
        self._deliver(blackboards.StoreDocument(record.accepted, content))
        return stored.version

    async def _read_verdicts(self, content):
        found = []
        for move in readers.read_content(content).moves:
            key = verdicts.verdict_key(self._environment, move.identity)
            stored = await self._client.read(key)
            if stored.exists:
                found.append(verdicts.parse_verdict(stored.value))
        return tuple(found)

    async def _watch(self, scope):
        """Read, then wait for newer versions; read anew after any doubt.

        Each round without news ends in a read as well, which repairs what
        a watch that lags or skips has kept back.
        """
        backoff = MIN_BACKOFF_S
        key = watching.document_key(self._environment)
        with scope:
            while True:
                try:
                    version = await self._read_document()
                    while True:
                        stored = await self._client.watch(key, version)
                        if stored is None:
                            break
                        version = await self._take_document(stored)
                    backoff = MIN_BACKOFF_S
                except FAILURES as error:
                    failed = blackboards.StoreFailed(error.step, str(error))
                    self._deliver(failed)
                    await trio.sleep(backoff * (0.5 + self._rng.random()))
                    backoff = min(MAX_BACKOFF_S, backoff * 2)

    async def _write_pending(self):
        backoff = MIN_BACKOFF_S
        while True:
            if not self._pending:
                self._pending_added = trio.Event()
                await self._pending_added.wait()
            key, action = next(iter(self._pending.items()))
            try:
                await self._write(action)
            except FAILURES:
                # Whether a lost write took effect shows at the next read.
                await trio.sleep(backoff * (0.5 + self._rng.random()))
                backoff = min(MAX_BACKOFF_S, backoff * 2)
                continue
            backoff = MIN_BACKOFF_S
            if self._pending.get(key) is action:
                del self._pending[key]

    async def _write(self, action):
        for _ in range(MAX_WRITE_CONFLICTS):
            held = await self._client.read(action.key)
            if _is_outranked(held, action.rank):
                return
            data = {**json.loads(action.value), 'rank': action.rank}
            value = json.dumps(data, sort_keys=True)
            if value == held.value:
                return
            try:
                await self._client.write(action.key, value, held.version)
                return
            except errors.ConflictError:
                continue


def _is_outranked(held, rank):
    if not held.exists or rank is None:
        return False
    held_rank = json.loads(held.value).get('rank')
    return held_rank is not None and held_rank >= rank
