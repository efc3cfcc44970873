"""Synchronises the state of this node with the platform's store.

A node reads the configuration, the roll-out orders and the evacuations at its
start; afterwards only the highest-ranked nodes of each availability
zone watch them, and the other nodes receive changes from these. A node without
links to the others ranks itself first and so watches the store itself.
"""

import json
import zlib

import trio

from pumicestand import errors
from pumicestand import freshness
from pumicestand import json_reading
from pumicestand import log
from pumicestand_node import mesh_records
from pumicestand_node import store_access
from pumicestand_node import supervision

# Time for which a watch request waits for a change; each request costs. It
# bounds the time for which a connection that went silent, or a store that came
# back from a copy without a change, goes unnoticed.
WATCH_TIMEOUT_S = 2.0
# Period at which a node that does not watch checks whether it should.
ROLE_CHECK_PERIOD_S = 0.5
# Time for which a starting node holds back the configuration that it has read,
# as a node that it links to may have a newer one: the store may have come back
# from an older copy. Once it is linked it waits for the answer of that node.
MAX_HOLD_S = 0.5
PEER_ANSWER_S = 0.05
HOLD_CHECK_PERIOD_S = 0.01


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
        self._on_change = on_change
        self._access = store_access.StoreAccess(mesh, client, rng, on_change)
        self._records = mesh_records.MeshRecords(
            mesh,
            client,
            self._access,
            clock,
            rng,
            on_records,
            on_target_restored,
            is_first_start,
        )
        self._pending_statuses = {}
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
        self._records.start(nursery)
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
            self._records.check_own,
            era,
        )

    async def close(self):
        """Close the connections to the store."""
        await self._client.close()

    async def save_own_record(self):
        """Request a write of this node's record and wait for it for a while.

        See `mesh_records.MeshRecords.save_own`.
        """
        return await self._records.save_own()

    def is_watcher(self):
        """Return whether this node should watch the store."""
        mesh = self._mesh
        if mesh.is_leaving or self._clock() < self._records.settled_at:
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
        backoff = store_access.MIN_BACKOFF_S
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
                backoff = store_access.MIN_BACKOFF_S
                self._access.set_reachable(True)
            except errors.WatchExpiredError as error:
                self._note_lost_watch(kind, position, answered_at, error)
                position = None
            except store_access.STORE_ERRORS as error:
                self._note_lost_watch(kind, position, answered_at, error)
                position = None
                # After a lost watch other nodes have to take over at once.
                self._access.set_reachable(False, error)
                backoff = await self._access.back_off(backoff)

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
                if self._records.has_joined and not mesh.fleet.others:
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
        except store_access.STORE_ERRORS as error:
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
            parsed = self._translator.read_configuration(
                json_reading.decode(data)
            )
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
        except store_access.STORE_ERRORS as error:
            log.logger.warning(
                'status {} of the roll-out of {} was not written: {}',
                action.state.name,
                order.service,
                error,
            )
            await self._access.back_off(store_access.MIN_BACKOFF_S)
            # If only the response was lost, the object already has the new
            # state.
            await self._reload_orders()
        finally:
            self._pending_statuses.pop(key, None)

    async def _reload_orders(self):
        try:
            listing = await self._client.list(self._translator.order_kind)
        except store_access.STORE_ERRORS as error:
            self._access.record_failure(error)
            return
        for item in listing.items:
            self._apply_order(item)
