"""The node's record in the store, and those of the other nodes.

Every node writes one record about itself and reads those of the other nodes
once, at its start.
"""

import trio

from pumicestand import errors
from pumicestand import log
from pumicestand import node_records
from pumicestand import stored_objects
from pumicestand_node import store_access
from pumicestand_node import supervision

# Time for which a node waits for the first heartbeat of its target before it
# creates its record, so that it need not write it again: more than a period.
TARGET_WAIT_S = 2.0
TARGET_CHECK_PERIOD_S = 0.1
# Time after it has read the other nodes' records before which a node does not
# watch: until it has linked to those of its zone, it ranks itself first.
SETTLING_S = 1.0
# Time over which the nodes check their records in a new era of the store, in
# seconds: 660 reads and writes are then a third of the calls that it allows.
ERA_CHECK_SPREAD_S = 2.0
# Period at which a node that is linked to no other node looks for new ones.
SEARCH_PERIOD_S = 5.0
# Time for which the acknowledgement of a target's heartbeat or departure waits
# for the record to be written to the store.
RECORD_WRITE_TIMEOUT_S = 0.5


class MeshRecords:
    """Writes the record of this node and reads those of the others.

    ``has_joined`` is whether the records of the others have been read, and
    ``settled_at`` the time from which this node may watch the store, in
    monotonic seconds.

    :param mesh: `mesh_state.MeshState` of this node
    :param client: the platform adapter's client of the store
    :param access: the `store_access.StoreAccess`
    :param clock: returns monotonic seconds
    :param rng: `random.Random`
    :param on_records: called once with the list of the
        `node_records.NodeRecord` objects of the other nodes
    :param on_target_restored: called when this node's target was restored
        from its record
    :param is_first_start: whether the whole fleet starts for the first time
    """

    def __init__(
        self,
        mesh,
        client,
        access,
        clock,
        rng,
        on_records,
        on_target_restored,
        is_first_start,
    ):
        self._mesh = mesh
        self._client = client
        self._access = access
        self._clock = clock
        self._rng = rng
        self._on_records = on_records
        self._on_target_restored = on_target_restored
        self._is_first_start = is_first_start
        self._own_position = None
        self._written_record = None
        self._write_requested = trio.Event()
        self._write_done = trio.Event()
        self.has_joined = False
        self.settled_at = float('inf')

    def start(self, nursery):
        """Start the tasks in a nursery."""
        self._mesh.target_watch.await_history()
        for task in (
            self._join,
            self._maintain_own_record,
            self._search_nodes,
        ):
            nursery.start_soon(supervision.supervise, task.__name__, task)

    async def check_own(self, era):
        """Write this node's record again if it is missing or older.

        All nodes do so in a new era, spread over `ERA_CHECK_SPREAD_S`.
        """
        await trio.sleep(ERA_CHECK_SPREAD_S * self._rng.random())
        backoff = store_access.MIN_BACKOFF_S
        while self._client.era == era:
            try:
                await self._read_own_record()
            except store_access.STORE_ERRORS as error:
                self._access.record_failure(error)
                backoff = await self._access.back_off(backoff)
                continue
            self._write_requested.set()
            return

    async def _read_own_record(self):
        stored = await self._client.read(
            node_records.KIND, self._mesh.identity.name
        )
        self._own_position = stored.position if stored else None
        record = node_records.from_json(stored.spec) if stored else None
        self._apply_own_record(record)

    def _set_own_position(self, revision):
        """Set the position of the own record from a conflict's revision."""
        self._own_position = None
        if revision is not None:
            self._own_position = stored_objects.Position(
                self._client.era, revision
            )

    async def _join(self):
        """Have the other nodes know this node, and learn which there are.

        A node that starts for the first time writes its record before it
        reads those of the others: of two nodes that start at the same time
        the one that writes later reads the other's record. A restarted node
        finds its own record among them and need not write it.
        """
        backoff = store_access.MIN_BACKOFF_S
        must_create = self._is_first_start
        while True:
            try:
                if must_create:
                    await self._create_own_record()
                listing = await self._client.list(node_records.KIND)
            except store_access.STORE_ERRORS as error:
                self._access.record_failure(error)
                backoff = await self._access.back_off(backoff)
                continue
            records = self._read_records(listing)
            if self._own_position is not None:
                break
            self._on_records(records)
            must_create = True
        self._access.set_reachable(True)
        self.has_joined = True
        self.settled_at = self._clock() + SETTLING_S
        self._write_requested.set()
        self._on_records(records)

    def _read_records(self, listing):
        """Return the records of the other nodes; apply this node's own."""
        records = []
        own_record = None
        for item in listing.items:
            record = node_records.from_json(item.spec)
            if record is None or record.name != item.name:
                log.logger.warning(
                    'object {} of kind {} is not a valid node record',
                    item.name,
                    item.kind,
                )
                continue
            if item.name == self._mesh.identity.name:
                self._own_position = item.position
                own_record = record
                continue
            records.append(record)
        if own_record is not None or not self.has_joined:
            # A stale listing may lack it.
            self._apply_own_record(own_record)
        return records

    async def _search_nodes(self):
        """Read the records again while no other node is linked.

        After a long partition both sides have removed each other.
        """
        while True:
            await trio.sleep(SEARCH_PERIOD_S * (0.5 + self._rng.random()))
            if not self.has_joined or self._mesh.fleet.linked_count > 1:
                continue
            try:
                listing = await self._client.list(
                    node_records.KIND, allow_stale=True
                )
            except store_access.STORE_ERRORS as error:
                self._access.record_failure(error)
                continue
            self._on_records(self._read_records(listing))

    def _apply_own_record(self, record):
        """Merge what a process of this node has recorded of the target.

        :param record: `node_records.NodeRecord`, None if there is none
        """
        watch = self._mesh.target_watch
        self._written_record = record
        if record is None:
            is_changed = watch.restore(None)
        else:
            is_changed = watch.restore(record.target, record.departed)
        if is_changed:
            self._on_target_restored()

    async def _create_own_record(self):
        """Create this node's record unless a previous process left one."""
        if self._own_position is not None:
            return
        with trio.move_on_after(TARGET_WAIT_S):
            while self._mesh.target_watch.known is None:
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
        watch = self._mesh.target_watch
        return node_records.NodeRecord(
            name=identity.name,
            host=identity.host,
            port=identity.port,
            zone=identity.zone,
            target=watch.known,
            departed=watch.departed,
        )

    async def save_own(self):
        """Request a write of this node's record and wait for it.

        Returns after `RECORD_WRITE_TIMEOUT_S` at the latest; the write is
        then retried in the background.

        :returns: whether the store has the record as it is now
        """
        if not self._is_saved():
            done = self._write_done
            self._write_requested.set()
            with trio.move_on_after(RECORD_WRITE_TIMEOUT_S):
                await done.wait()
        return self._is_saved()

    def _is_saved(self):
        return self.has_joined and self._own_record() == self._written_record

    async def _maintain_own_record(self):
        """Write this node's record on each request, until it succeeds."""
        backoff = store_access.MIN_BACKOFF_S
        while True:
            await self._write_requested.wait()
            self._write_requested = trio.Event()
            if not self.has_joined:
                continue
            try:
                await self._update_own_record()
                backoff = store_access.MIN_BACKOFF_S
            except store_access.STORE_ERRORS as error:
                self._access.record_failure(error)
                backoff = await self._access.back_off(backoff)
                self._write_requested.set()
                continue
            except errors.ConflictError:
                backoff = await self._access.back_off(backoff)
                self._write_requested.set()
                continue
            done, self._write_done = self._write_done, trio.Event()
            done.set()

    async def _update_own_record(self):
        """Write this node's record unless it is in the store.

        A write whose response was lost is repeated on the same revision. The
        conflict if it was carried out does not tell the content, so the record
        is read before another write.
        """
        for is_retry in (False, True):
            record = self._own_record()
            if record == self._written_record:
                return
            try:
                await self._write_own_record(record)
                return
            except errors.ConflictError:
                if is_retry:
                    raise
                await self._read_own_record()

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
