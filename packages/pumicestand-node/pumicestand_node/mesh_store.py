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
WATCHERS = 3
# Time that a watch waits for a change, in seconds; also how long a
# connection that went silent stays unnoticed.
WATCH_S = 5.0
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.5
# Time between two looks at who should watch, in seconds.
ROLE_PERIOD_S = 0.3
# What a link must carry for its node to be among the first, in bytes per
# second: a configuration of 11 KB reaches 60 nodes in a quarter of a second.
WIDE_RATE = 2_500_000
# Time that an acknowledgement waits for the store to remember it.
REMEMBER_S = 0.5

FAILURES = (
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
    :param on_nodes: called with the `node_records.NodeRecord` of others
    :param on_target: called when the store told of this node's target
    :param on_change: called when other nodes should hear of a change
    """

    def __init__(
        self,
        mesh,
        client,
        translator,
        clock,
        rng,
        on_nodes,
        on_target,
        on_change,
    ):
        self._mesh = mesh
        self._client = client
        self._translator = translator
        self._clock = clock
        self._rng = rng
        self._on_nodes = on_nodes
        self._on_target = on_target
        self._on_change = on_change
        self._own_revision = None
        self._written = None
        self._write_wanted = trio.Event()
        self._write_done = trio.Event()
        self._is_listed = False
        self._statuses = {}
        self._nursery = None

    async def start(self, nursery):
        """Begin to work in a nursery."""
        self._nursery = nursery
        await self._client.start()
        nursery.start_soon(self._join)
        nursery.start_soon(self._keep_own_record)
        for kind, take in (
            (self._translator.configuration_kind, self._take_configuration),
            (self._translator.order_kind, self._take_order),
        ):
            nursery.start_soon(self._follow, kind, take)

    async def close(self):
        """Close the connections."""
        await self._client.close()

    def _note_reachable(self, is_reachable, error=None):
        mesh = self._mesh
        if mesh.store_reachable == is_reachable:
            return
        mesh.store_reachable = is_reachable
        mesh.decisions.note(
            'store-regained' if is_reachable else 'store-lost',
            why=str(error) if error else '',
        )
        self._on_change()

    async def _pause(self, backoff):
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
                await self._announce()
                listing = await self._client.list(node_records.KIND)
                break
            except FAILURES as error:
                self._note_reachable(False, error)
                backoff = await self._pause(backoff)
        self._note_reachable(True)
        records = []
        for item in listing.items:
            record = node_records.read(item.spec)
            if record is None:
                loguru.logger.warning(
                    'object {} of kind {} is no node', item.name, item.kind
                )
                continue
            if item.name == self._mesh.identity.name:
                self._own_revision = item.revision
                if record.target is not None:
                    self._recall(record.target)
                continue
            records.append(record)
        self._is_listed = True
        self._write_wanted.set()
        self._on_nodes(records)

    def _recall(self, target):
        """Take the target that an earlier start of this node knew."""
        if self._mesh.target_watch.restore(target):
            self._on_target()

    async def _announce(self):
        """Create this node's record unless an earlier start left one."""
        if self._own_revision is not None:
            return
        record = self._own_record()
        try:
            stored = await self._client.create(
                node_records.KIND, record.name, node_records.write(record)
            )
        except errors.Conflict as error:
            self._own_revision = error.winner
            return
        self._own_revision = stored.revision
        self._written = record

    def _own_record(self):
        identity = self._mesh.identity
        return node_records.NodeRecord(
            name=identity.name,
            host=identity.host,
            port=identity.port,
            zone=identity.zone,
            target=self._mesh.target_watch.target,
        )

    async def remember(self):
        """Write this node's record, waiting a bounded time for it."""
        done = self._write_done
        self._write_wanted.set()
        with trio.move_on_after(REMEMBER_S):
            await done.wait()

    async def _keep_own_record(self):
        backoff = MIN_BACKOFF_S
        while True:
            await self._write_wanted.wait()
            self._write_wanted = trio.Event()
            if not self._is_listed:
                continue
            record = self._own_record()
            if record != self._written:
                try:
                    await self._write_own(record)
                    backoff = MIN_BACKOFF_S
                except errors.Conflict as error:
                    self._own_revision = error.winner
                    self._write_wanted.set()
                    continue
                except FAILURES as error:
                    self._note_reachable(False, error)
                    backoff = await self._pause(backoff)
                    self._write_wanted.set()
                    continue
            done, self._write_done = self._write_done, trio.Event()
            done.set()

    async def _write_own(self, record):
        spec = node_records.write(record)
        if self._own_revision is None:
            stored = await self._client.create(
                node_records.KIND, record.name, spec
            )
        else:
            stored = await self._client.replace(
                node_records.KIND, record.name, spec, self._own_revision
            )
        self._own_revision = stored.revision
        self._written = record

    def _is_watcher(self):
        """Whether this node should watch, by what it knows of the others."""
        mesh = self._mesh
        if mesh.is_leaving:
            return False
        return mesh.identity.name in self._rank('watch')[:WATCHERS]

    def is_first(self):
        """Whether this node is the one that writes for the fleet."""
        mesh = self._mesh
        if not mesh.store_reachable or mesh.is_leaving:
            return False
        return self._rank('write')[0] == mesh.identity.name

    def _rank(self, key):
        """Return this node and those that reach the store, best first.

        Those on narrow links come last: all others ask a watcher for what
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
        narrow = {name for name, rate in rates.items() if 0 < rate < WIDE_RATE}
        return ranking.rank(key, rates.keys() - narrow) + ranking.rank(
            key, narrow
        )

    async def _follow(self, kind, take):
        """Read a kind at the start; watch it while this node ranks first."""
        at = None
        backoff = MIN_BACKOFF_S
        while True:
            if at is not None and not self._is_watcher():
                await trio.sleep(ROLE_PERIOD_S)
                if self._is_watcher():
                    # What happened meanwhile may be out of the history.
                    at = None
                continue
            try:
                at = await self._advance(kind, take, at)
                backoff = MIN_BACKOFF_S
                self._note_reachable(True)
            except errors.WatchExpired:
                at = None
            except FAILURES as error:
                at = None
                self._note_reachable(False, error)
                backoff = await self._pause(backoff)

    async def _advance(self, kind, take, at):
        """Read or watch once; return the revision reached."""
        if at is None:
            listing = await self._client.list(kind)
            for item in listing.items:
                take(item)
            return listing.at
        events = await self._client.watch(kind, at, WATCH_S)
        for event in events.events:
            if not event.is_deleted:
                take(event.object)
        return events.at

    def _take_configuration(self, stored):
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

    def take_content(self, configuration, peer):
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

    def _take_order(self, stored):
        order = self._translator.read_order(stored)
        if order is None:
            loguru.logger.error(
                'object {} of kind {} is no order', stored.name, stored.kind
            )
            return
        if self._mesh.rollouts.hear_order(order, self._clock()):
            self._mesh.decisions.note(
                'rollout-order',
                service=order.service,
                version=order.version,
                duration=order.duration,
                state=str(order.status),
            )
            self._on_change()

    def write_status(self, action):
        """Have a roll-out's state written, once at a time."""
        key = (action.order.service, action.order.key, action.state)
        if key in self._statuses:
            return
        self._statuses[key] = True
        self._nursery.start_soon(self._write_status, action, key)

    async def _write_status(self, action, key):
        order = action.order
        try:
            stored = await self._client.replace_status(
                self._translator.order_kind,
                order.service,
                self._translator.make_status(order, action.state),
                order.revision,
            )
            self._take_order(stored)
            self._mesh.decisions.note(
                'rollout-status',
                service=order.service,
                version=order.version,
                state=action.state.name,
                why=action.reason,
            )
        except errors.Conflict:
            await self._reread_orders()
        except FAILURES as error:
            loguru.logger.warning('a status was not written: {}', error)
            await self._pause(MIN_BACKOFF_S)
            # A lost answer shows at the next read of the object.
            await self._reread_orders()
        finally:
            self._statuses.pop(key, None)

    async def _reread_orders(self):
        try:
            listing = await self._client.list(self._translator.order_kind)
        except FAILURES as error:
            self._note_reachable(False, error)
            return
        for item in listing.items:
            self._take_order(item)
