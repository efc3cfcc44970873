"""Keeps this node in touch with the platform's store.

Every node writes one object about itself and reads the others' once, at its
start. The few that rank first watch the configuration and the roll-outs;
the others hear from them, and read for themselves if they hear nothing.
"""

import json
import zlib

import loguru
import trio

from pumicestand import errors
from pumicestand import node_records
from pumicestand import ranking

# Nodes that watch; more of them cost one waiting call each.
WATCHER_COUNT = 3
# Time that a watch waits for a change, in seconds; also how long a
# connection that went silent stays unnoticed.
WATCH_TIMEOUT_S = 5.0
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.5
# Time between two looks at who should watch, in seconds.
ROLE_CHECK_PERIOD_S = 0.3
# What a link must carry for its node to be among the first, in bytes per
# second: a configuration of 11 KB reaches 60 nodes in a quarter of a second.
MIN_FAST_LINK_BYTES_PER_S = 2_500_000
# Time that an acknowledgement waits for the store to remember it.
RECORD_WRITE_TIMEOUT_S = 0.5

STORE_ERRORS = (
    errors.StoreUnavailable,
    errors.StoreAnswerLost,
    errors.StoreRejected,
    errors.WatchExpired,
)


class MeshStore:
    """The node's calls to the store.

    :param mesh: the `mesh_state.MeshState`
    :param client: the adapter's client
    :param translator: the adapter's reader of the operator's objects
    :param clock: returns monotonic seconds
    :param rng: a `random.Random`
    :param on_records: called with the `node_records.NodeRecord` of others
    :param on_target_restored: called when the store had this node's
        target
    :param on_change: called when other nodes should hear of a change
    """

    def __init__(
        self,
        mesh,
        client,
        translator,
        clock,
        rng,
        on_records,
        on_target_restored,
        on_change,
    ):
        self._mesh = mesh
        self._client = client
        self._translator = translator
        self._clock = clock
        self._rng = rng
        self._on_records = on_records
        self._on_target_restored = on_target_restored
        self._on_change = on_change
        self._own_revision = None
        self._written_record = None
        self._write_requested = trio.Event()
        self._write_done = trio.Event()
        self._has_joined = False
        self._pending_statuses = {}
        self._nursery = None

    async def start(self, nursery):
        """Begin to work in a nursery."""
        self._nursery = nursery
        await self._client.start()
        nursery.start_soon(self._join)
        nursery.start_soon(self._maintain_own_record)
        for kind, apply in (
            (self._translator.configuration_kind, self._apply_configuration),
            (self._translator.order_kind, self._apply_order),
        ):
            nursery.start_soon(self._sync_kind, kind, apply)

    async def close(self):
        """Close the connections."""
        await self._client.close()

    def _set_reachable(self, is_reachable, error=None):
        mesh = self._mesh
        if mesh.store_reachable == is_reachable:
            return
        mesh.store_reachable = is_reachable
        mesh.decisions.note(
            'store-regained' if is_reachable else 'store-lost',
            why=str(error) if error else '',
        )
        self._on_change()

    async def _back_off(self, backoff):
        await trio.sleep(backoff * (0.5 + self._rng.random()))
        return min(MAX_BACKOFF_S, backoff * 2)

    async def _join(self):
        """Say where this node is, then read where the others are.

        In this order two nodes that start together can't miss each other:
        the later one to write reads the earlier one's record.
        """
        backoff = MIN_BACKOFF_S
        while True:
            try:
                await self._create_own_record()
                listing = await self._client.list(node_records.KIND)
                break
            except STORE_ERRORS as error:
                self._set_reachable(False, error)
                backoff = await self._back_off(backoff)
        self._set_reachable(True)
        records = []
        for item in listing.items:
            record = node_records.from_json(item.spec)
            if record is None:
                loguru.logger.warning(
                    'object {} of kind {} is no node', item.name, item.kind
                )
                continue
            if item.name == self._mesh.identity.name:
                self._own_revision = item.revision
                if record.target is not None:
                    self._restore_target(record.target)
                continue
            records.append(record)
        self._has_joined = True
        self._write_requested.set()
        self._on_records(records)

    def _restore_target(self, target):
        """Take the target that an earlier start of this node knew."""
        if self._mesh.target_watch.restore(target):
            self._on_target_restored()

    async def _create_own_record(self):
        """Create this node's record unless an earlier start left one."""
        if self._own_revision is not None:
            return
        record = self._own_record()
        try:
            stored = await self._client.create(
                node_records.KIND, record.name, node_records.to_json(record)
            )
        except errors.Conflict as error:
            self._own_revision = error.winner
            return
        self._own_revision = stored.revision
        self._written_record = record

    def _own_record(self):
        identity = self._mesh.identity
        return node_records.NodeRecord(
            name=identity.name,
            host=identity.host,
            port=identity.port,
            zone=identity.zone,
            target=self._mesh.target_watch.target,
        )

    async def save_own_record(self):
        """Write this node's record, waiting a bounded time for it."""
        done = self._write_done
        self._write_requested.set()
        with trio.move_on_after(RECORD_WRITE_TIMEOUT_S):
            await done.wait()

    async def _maintain_own_record(self):
        backoff = MIN_BACKOFF_S
        while True:
            await self._write_requested.wait()
            self._write_requested = trio.Event()
            if not self._has_joined:
                continue
            record = self._own_record()
            if record != self._written_record:
                try:
                    await self._write_own_record(record)
                    backoff = MIN_BACKOFF_S
                except errors.Conflict as error:
                    self._own_revision = error.winner
                    self._write_requested.set()
                    continue
                except STORE_ERRORS as error:
                    self._set_reachable(False, error)
                    backoff = await self._back_off(backoff)
                    self._write_requested.set()
                    continue
            done, self._write_done = self._write_done, trio.Event()
            done.set()

    async def _write_own_record(self, record):
        spec = node_records.to_json(record)
        if self._own_revision is None:
            stored = await self._client.create(
                node_records.KIND, record.name, spec
            )
        else:
            stored = await self._client.replace(
                node_records.KIND, record.name, spec, self._own_revision
            )
        self._own_revision = stored.revision
        self._written_record = record

    def _is_watcher(self):
        """Whether this node should watch, by what it knows of the others."""
        mesh = self._mesh
        if mesh.is_leaving:
            return False
        return mesh.identity.name in self._rank_nodes('watch')[:WATCHER_COUNT]

    def is_designated_writer(self):
        """Whether this node is the one that writes for the fleet."""
        mesh = self._mesh
        if not mesh.store_reachable or mesh.is_leaving:
            return False
        return self._rank_nodes('write')[0] == mesh.identity.name

    def _rank_nodes(self, key):
        """Return this node and those that reach the store, best first.

        Those on slow links come last: all others ask a watcher for what
        it read.
        """
        mesh = self._mesh
        rates = {mesh.identity.name: mesh.link_meter.rate}
        for peer in mesh.fleet.others:
            if (
                peer.is_linked
                and peer.report.store_reachable
                and not peer.report.is_leaving
            ):
                rates[peer.name] = peer.report.link_rate
        slow = {
            name
            for name, rate in rates.items()
            if 0 < rate < MIN_FAST_LINK_BYTES_PER_S
        }
        return ranking.rank(key, rates.keys() - slow) + ranking.rank(key, slow)

    async def _sync_kind(self, kind, apply):
        """Read a kind at the start; watch it while this node ranks first."""
        revision = None
        backoff = MIN_BACKOFF_S
        while True:
            if revision is not None and not self._is_watcher():
                await trio.sleep(ROLE_CHECK_PERIOD_S)
                if self._is_watcher():
                    # What happened meanwhile may be out of the history.
                    revision = None
                continue
            try:
                revision = await self._list_or_watch(kind, apply, revision)
                backoff = MIN_BACKOFF_S
                self._set_reachable(True)
            except errors.WatchExpired:
                revision = None
            except STORE_ERRORS as error:
                revision = None
                self._set_reachable(False, error)
                backoff = await self._back_off(backoff)

    async def _list_or_watch(self, kind, apply, revision):
        """Read or watch once; return the revision reached."""
        if revision is None:
            listing = await self._client.list(kind)
            for item in listing.items:
                apply(item)
            return listing.revision
        events = await self._client.watch(kind, revision, WATCH_TIMEOUT_S)
        for event in events.events:
            if not event.is_deleted:
                apply(event.object)
        return events.revision

    def _apply_configuration(self, stored):
        read = self._translator.read_configuration(stored.spec)
        if read is None:
            loguru.logger.error(
                'object {} of kind {} is no configuration',
                stored.name,
                stored.kind,
            )
            return
        generation, document = read
        content = zlib.compress(json.dumps(stored.spec).encode(), 6)
        if self._mesh.apply_configuration(
            generation, document, content, self._clock(), 'store'
        ):
            self._on_change()

    def apply_peer_configuration(self, configuration, peer):
        """Take a `hop_messages.Configuration` from a peer."""
        if configuration.generation <= self._mesh.generation:
            return
        try:
            data = zlib.decompressobj().decompress(
                configuration.content, self._translator.max_content_bytes
            )
            read = self._translator.read_configuration(json.loads(data))
        except (zlib.error, ValueError) as error:
            loguru.logger.error('a configuration from {}: {}', peer, error)
            return
        if read is None or read[0] != configuration.generation:
            loguru.logger.error('a configuration from {} is unusable', peer)
            return
        if self._mesh.apply_configuration(
            *read, configuration.content, self._clock(), peer
        ):
            self._on_change()

    def _apply_order(self, stored):
        order = self._translator.read_order(stored)
        if order is None:
            loguru.logger.error(
                'object {} of kind {} is no order', stored.name, stored.kind
            )
            return
        if self._mesh.rollouts.apply_order(order, self._clock()):
            self._mesh.decisions.note(
                'rollout-order',
                service=order.service,
                version=order.version,
                duration=order.duration,
                state=str(order.stored_state),
            )
            self._on_change()

    def write_rollout_status(self, action):
        """Have a roll-out's state written, once at a time."""
        key = (action.order.service, action.order.order_id, action.state)
        if key in self._pending_statuses:
            return
        self._pending_statuses[key] = True
        self._nursery.start_soon(self._write_rollout_status, action, key)

    async def _write_rollout_status(self, action, key):
        order = action.order
        try:
            stored = await self._client.replace_status(
                self._translator.order_kind,
                order.service,
                self._translator.make_status(order, action.state),
                order.revision,
            )
            self._apply_order(stored)
            self._mesh.decisions.note(
                'rollout-status',
                service=order.service,
                version=order.version,
                state=action.state.name,
                why=action.reason,
            )
        except errors.Conflict:
            await self._reload_orders()
        except STORE_ERRORS as error:
            loguru.logger.warning('a status was not written: {}', error)
            await self._back_off(MIN_BACKOFF_S)
            # A lost answer shows at the next read of the object.
            await self._reload_orders()
        finally:
            self._pending_statuses.pop(key, None)

    async def _reload_orders(self):
        try:
            listing = await self._client.list(self._translator.order_kind)
        except STORE_ERRORS as error:
            self._set_reachable(False, error)
            return
        for item in listing.items:
            self._apply_order(item)
