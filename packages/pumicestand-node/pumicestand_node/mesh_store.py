"""Synchronises the state of this node with the platform's store.

Every node writes one record about itself and reads those of the other nodes
once, at its start. It also reads the configuration and the roll-out orders
at its start; afterwards only the highest-ranked nodes of each availability
zone watch them, and the other nodes receive changes from these. A node without
links to the others ranks itself first and so watches the store itself.
"""

import json
import zlib

import trio

from pumicestand import errors
from pumicestand import freshness
from pumicestand import log
from pumicestand import node_records
from pumicestand import stored_objects
from pumicestand_node import supervision

# Time for which a watch request waits for a change; each request costs. It
# bounds the time for which a connection that went silent, or a store that came
# back from a copy without a change, goes unnoticed.
WATCH_TIMEOUT_S = 2.0
# Time for which a node waits for the first heartbeat of its target before it
# creates its record, so that it need not write it again: more than a period.
TARGET_WAIT_S = 2.0
TARGET_CHECK_PERIOD_S = 0.1
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.5
# Period at which a node that does not watch checks whether it should.
ROLE_CHECK_PERIOD_S = 0.5
# Time after it has read the other nodes' records before which a node does not
# watch: until it has linked to those of its zone, it ranks itself first.
SETTLING_S = 1.0
# Time over which the nodes check their records in a new era of the store, in
# seconds: 660 reads and writes are then a third of the calls that it allows.
ERA_CHECK_SPREAD_S = 2.0
# Time for which a starting node holds back the configuration that it has read,
# as a node that it links to may have a newer one: the store may have come back
# from an older copy. Once it is linked it waits for the answer of that node.
MAX_HOLD_S = 0.5
PEER_ANSWER_S = 0.05
HOLD_CHECK_PERIOD_S = 0.01
# Period at which a node that is linked to no other node looks for new ones.
SEARCH_PERIOD_S = 5.0
# Time for which the acknowledgement of a target's heartbeat or departure waits
# for the record to be written to the store.
RECORD_WRITE_TIMEOUT_S = 0.5

STORE_ERRORS = (
    errors.StoreUnavailableError,
    errors.StoreResponseLostError,
    errors.StoreRejectedError,
    errors.WatchExpiredError,
)


class MeshStore:
    """Reads, watches and writes the node's objects in the store.

    :param mesh: `mesh_state.MeshState` of this node
    :param client: the platform adapter's client of the store
    :param translator: the platform adapter's translator of stored objects
    :param clock: returns monotonic seconds
    :param rng: `random.Random`
    :param on_records: called once with the list of the
        `node_records.NodeRecord` objects of the other nodes
    :param on_target_restored: called when this node's target was restored
        from its record
    :param on_change: called when the other nodes should receive a report
    :param is_first_start: whether the whole fleet starts for the first time
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
        is_first_start=True,
    ):
        self._mesh = mesh
        self._client = client
        self._translator = translator
        self._clock = clock
        self._rng = rng
        self._on_records = on_records
        self._on_target_restored = on_target_restored
        self._on_change = on_change
        self._is_first_start = is_first_start
        self._own_position = None
        self._written_record = None
        self._write_requested = trio.Event()
        self._write_done = trio.Event()
        self._has_joined = False
        self._pending_statuses = {}
        self._settled_at = float('inf')
        self._nursery = None

    @property
    def era(self):
        """Latest known era of the store, 0 if none is known."""
        return self._client.era

    async def start(self, nursery):
        """Start the synchronisation tasks in a nursery."""
        self._nursery = nursery
        self._client.on_new_era = self._on_new_era
        await self._client.start()
        for task in (
            self._join,
            self._maintain_own_record,
            self._search_nodes,
        ):
            nursery.start_soon(supervision.supervise, task.__name__, task)
        for kind, apply in (
            (self._translator.configuration_kind, self._apply_configuration),
            (self._translator.order_kind, self._apply_order),
        ):
            nursery.start_soon(
                supervision.supervise,
                f'sync of {kind}',
                self._sync_kind,
                kind,
                apply,
            )
        if self._mesh.evacuations.is_enabled:
            nursery.start_soon(
                supervision.supervise,
                'sync of evacuations',
                self._sync_kind,
                self._translator.evacuation_kind,
                None,
            )

    def hear_era(self, era):
        """Act on the era of the store that another node has reported."""
        self._client.advance_era(era)

    def _on_new_era(self, previous, era):
        """Check what this node has written; the store may have lost it."""
        self._mesh.store_era = era
        self._mesh.decisions.note('store-era', previous=previous, era=era)
        self._on_change()
        self._nursery.start_soon(
            supervision.supervise,
            'check of the own record',
            self._check_own_record,
            era,
        )

    async def _check_own_record(self, era):
        """Write this node's record again if it is missing or older.

        All nodes do so in a new era, spread over `ERA_CHECK_SPREAD_S`.
        """
        await trio.sleep(ERA_CHECK_SPREAD_S * self._rng.random())
        backoff = MIN_BACKOFF_S
        while self._client.era == era:
            try:
                stored = await self._client.read(
                    node_records.KIND, self._mesh.identity.name
                )
            except STORE_ERRORS as error:
                self._set_reachable(False, error)
                backoff = await self._back_off(backoff)
                continue
            self._own_position = stored.position if stored else None
            self._written_record = (
                node_records.from_json(stored.spec) if stored else None
            )
            self._write_requested.set()
            return

    def _set_own_position(self, revision):
        """Set the position of the own record from a conflict's revision."""
        self._own_position = None
        if revision is not None:
            self._own_position = stored_objects.Position(
                self._client.era, revision
            )

    async def close(self):
        """Close the connections to the store."""
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
        """Sleep for about a delay in seconds; return the next delay."""
        await trio.sleep(backoff * (0.5 + self._rng.random()))
        return min(MAX_BACKOFF_S, backoff * 2)

    async def _join(self):
        """Have the other nodes know this node, and learn which there are.

        A node that starts for the first time writes its record before it
        reads those of the others: of two nodes that start at the same time
        the one that writes later reads the other's record. A restarted node
        finds its own record among them and need not write it.
        """
        backoff = MIN_BACKOFF_S
        must_create = self._is_first_start
        while True:
            try:
                if must_create:
                    await self._create_own_record()
                listing = await self._client.list(node_records.KIND)
            except STORE_ERRORS as error:
                self._set_reachable(False, error)
                backoff = await self._back_off(backoff)
                continue
            records = self._read_records(listing)
            if self._own_position is not None:
                break
            self._on_records(records)
            must_create = True
        self._set_reachable(True)
        self._has_joined = True
        self._settled_at = self._clock() + SETTLING_S
        self._write_requested.set()
        self._on_records(records)

    def _read_records(self, listing):
        """Return the records of the other nodes; apply this node's own."""
        records = []
        for item in listing.items:
            record = node_records.from_json(item.spec)
            if record is None:
                log.logger.warning(
                    'object {} of kind {} is not a valid node record',
                    item.name,
                    item.kind,
                )
                continue
            if item.name == self._mesh.identity.name:
                self._own_position = item.position
                self._written_record = record
                if record.target is not None:
                    self._restore_target(record.target)
                continue
            records.append(record)
        return records

    async def _search_nodes(self):
        """Read the records again while no other node is linked.

        After a long partition both sides have removed each other.
        """
        while True:
            await trio.sleep(SEARCH_PERIOD_S * (0.5 + self._rng.random()))
            if not self._has_joined or self._mesh.fleet.linked_count > 1:
                continue
            try:
                listing = await self._client.list(
                    node_records.KIND, allow_stale=True
                )
            except STORE_ERRORS as error:
                self._set_reachable(False, error)
                continue
            self._on_records(self._read_records(listing))

    def _restore_target(self, target):
        """Restore the target recorded by a previous process of this node."""
        if self._mesh.target_watch.restore(target):
            self._on_target_restored()

    async def _create_own_record(self):
        """Create this node's record unless a previous process left one."""
        if self._own_position is not None:
            return
        with trio.move_on_after(TARGET_WAIT_S):
            while self._mesh.target_watch.target is None:
                await trio.sleep(TARGET_CHECK_PERIOD_S)
        record = self._own_record()
        try:
            stored = await self._client.create(
                node_records.KIND, record.name, node_records.to_json(record)
            )
        except errors.ConflictError as error:
            self._set_own_position(error.current_version)
            return
        self._own_position = stored.position
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
        """Request a write of this node's record and wait for it.

        Returns after `RECORD_WRITE_TIMEOUT_S` at the latest; the write is
        then retried in the background.
        """
        done = self._write_done
        self._write_requested.set()
        with trio.move_on_after(RECORD_WRITE_TIMEOUT_S):
            await done.wait()

    async def _maintain_own_record(self):
        """Write this node's record on each request, until it succeeds."""
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
                except errors.ConflictError as error:
                    self._set_own_position(error.current_version)
                    backoff = await self._back_off(backoff)
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
        if self._own_position is None:
            stored = await self._client.create(
                node_records.KIND, record.name, spec
            )
        else:
            stored = await self._client.replace(
                node_records.KIND, record.name, spec, self._own_position
            )
        self._own_position = stored.position
        self._written_record = record

    def is_watcher(self):
        """Return whether this node should watch the store."""
        mesh = self._mesh
        if mesh.is_leaving or self._clock() < self._settled_at:
            return False
        return mesh.zone_roles.is_watcher()

    def is_designated_writer(self):
        """Return whether this node writes roll-out states for the fleet."""
        mesh = self._mesh
        if not mesh.store_reachable or mesh.is_leaving:
            return False
        return mesh.zone_roles.is_writer()

    async def _sync_kind(self, kind, apply):
        """List the objects of a kind, then watch it if this node is a watcher.

        :param kind: kind of the store's objects
        :param apply: called with each `stored_objects.StoredObject`, None
            for the evacuations, whose deletions count, too
        """
        position = None
        answered_at = self._clock()
        backoff = MIN_BACKOFF_S
        while True:
            if position is not None and not self.is_watcher():
                await trio.sleep(ROLE_CHECK_PERIOD_S)
                if self.is_watcher():
                    # The store may no longer keep the changes made in the
                    # meantime.
                    position = None
                continue
            try:
                position = await self._list_or_watch(kind, apply, position)
                answered_at = self._clock()
                backoff = MIN_BACKOFF_S
                self._set_reachable(True)
            except errors.WatchExpiredError as error:
                self._note_lost_watch(kind, position, answered_at, error)
                position = None
            except STORE_ERRORS as error:
                self._note_lost_watch(kind, position, answered_at, error)
                position = None
                self._set_reachable(False, error)
                backoff = await self._back_off(backoff)

    def _note_lost_watch(self, kind, position, answered_at, error):
        """Log that a watch ended without a response to it, if it was one."""
        if position is None:
            return
        self._mesh.decisions.note(
            'watch-lost',
            kind=kind,
            position=position,
            silent_s=round(self._clock() - answered_at, 3),
            why=str(error),
        )

    async def _list_or_watch(self, kind, apply, position):
        """Apply a listing or the next changes; return their position.

        :param position: position to watch from, None to list all objects
        """
        if kind == self._translator.evacuation_kind:
            return await self._read_evacuations(position)
        if position is None:
            # What is newer is heard from the nodes that watch.
            listing = await self._client.list(
                kind, allow_stale=not self.is_watcher()
            )
            await self._hold_first_configuration()
            for item in listing.items:
                apply(item)
            return listing.position
        events = await self._client.watch(kind, position, WATCH_TIMEOUT_S)
        for event in events.events:
            if not event.is_deleted:
                apply(event.object)
        return events.position

    async def _read_evacuations(self, position):
        """Apply a listing or the next changes, deletions among them.

        :param position: position to watch from, None to list all objects
        """
        kind, tracker = (
            self._translator.evacuation_kind,
            self._mesh.evacuations,
        )
        if position is None:
            found = await self._client.list(
                kind, allow_stale=not self.is_watcher()
            )
            is_news = tracker.apply_listing(found)
        else:
            found = await self._client.watch(kind, position, WATCH_TIMEOUT_S)
            is_news = tracker.apply_events(found)
        if is_news:
            self._mesh.use_evacuations('store')
            self._on_change()
        return found.position

    async def _hold_first_configuration(self):
        """Wait until a node that has a newer configuration could send it."""
        mesh = self._mesh
        with trio.move_on_after(MAX_HOLD_S):
            while mesh.generation == 0:
                if mesh.fleet.linked_count > 1:
                    await trio.sleep(PEER_ANSWER_S)
                    return
                if self._has_joined and not mesh.fleet.others:
                    return
                await trio.sleep(HOLD_CHECK_PERIOD_S)

    def _apply_configuration(self, stored):
        """Apply a configuration read from the store."""
        parsed = self._translator.read_configuration(stored.spec)
        if parsed is None:
            log.logger.error(
                'object {} of kind {} is not a valid configuration',
                stored.name,
                stored.kind,
            )
            return
        generation, document = parsed
        content = zlib.compress(json.dumps(stored.spec).encode(), 6)
        if self._mesh.apply_configuration(
            generation, document, content, self._clock(), 'store'
        ):
            self._on_change()

    async def read_configuration(self):
        """Read the stored configuration and apply it if it is newer.

        :returns: `freshness.Found`, None if it can't be read
        """
        translator = self._translator
        try:
            stored = await self._client.read(
                translator.configuration_kind, translator.configuration_name
            )
        except STORE_ERRORS as error:
            log.logger.debug('configuration was not read: {}', error)
            return None
        if stored is None:
            return None
        generation = translator.read_generation(stored.spec)
        if generation is None:
            return None
        if generation > self._mesh.generation:
            self._apply_configuration(stored)
        return freshness.Found(generation, stored.era)

    def apply_peer_configuration(self, configuration, peer):
        """Apply a configuration received from another node.

        :param configuration: `hop_messages.Configuration`
        :param peer: name of the other node
        """
        if configuration.generation <= self._mesh.generation:
            return
        try:
            data = zlib.decompressobj().decompress(
                configuration.content, self._translator.max_content_bytes
            )
            parsed = self._translator.read_configuration(json.loads(data))
        except (zlib.error, ValueError) as error:
            log.logger.error(
                'configuration of generation {} from {} cannot be decoded: {}',
                configuration.generation,
                peer,
                error,
            )
            return
        if parsed is None or parsed[0] != configuration.generation:
            log.logger.error(
                'configuration of generation {} from {} is invalid or its '
                'content is of another generation',
                configuration.generation,
                peer,
            )
            return
        if self._mesh.apply_configuration(
            *parsed, configuration.content, self._clock(), peer
        ):
            self._on_change()

    def _apply_order(self, stored):
        """Apply a roll-out order read from the store."""
        order = self._translator.read_order(stored)
        if order is None:
            log.logger.error(
                'object {} of kind {} is not a valid roll-out order',
                stored.name,
                stored.kind,
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
        """Write a roll-out's state unless the same write is in progress.

        :param action: `rollouts.WriteStatus`
        """
        key = (action.order.service, action.order.order_id, action.state)
        if key in self._pending_statuses:
            return
        self._pending_statuses[key] = True
        self._nursery.start_soon(
            supervision.supervise,
            'write of a roll-out state',
            self._write_rollout_status,
            action,
            key,
        )

    async def _write_rollout_status(self, action, key):
        order = action.order
        try:
            stored = await self._client.replace_status(
                self._translator.order_kind,
                order.service,
                self._translator.make_status(order, action.state),
                order.position,
            )
            self._apply_order(stored)
            self._mesh.decisions.note(
                'rollout-status',
                service=order.service,
                version=order.version,
                state=action.state.name,
                why=action.reason,
            )
        except errors.ConflictError:
            await self._reload_orders()
        except STORE_ERRORS as error:
            log.logger.warning(
                'status {} of the roll-out of {} was not written: {}',
                action.state.name,
                order.service,
                error,
            )
            await self._back_off(MIN_BACKOFF_S)
            # If only the response was lost, the object already has the new
            # state.
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
