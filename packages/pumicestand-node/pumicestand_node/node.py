"""Wires one node together, starts it and closes it."""

import gc
import random
import time

from hypercorn import config as hypercorn_config
from hypercorn import trio as hypercorn_trio
import trio

from pumicestand import actions
from pumicestand import application
from pumicestand import balancing
from pumicestand import blackboard as blackboards
from pumicestand import clocks
from pumicestand import controllers as all_controllers
from pumicestand import errors
from pumicestand import events
from pumicestand import log
from pumicestand import messages
from pumicestand import metrics
from pumicestand import recording
from pumicestand import responses
from pumicestand import routing
from pumicestand import signals
from pumicestand import stores
from pumicestand_node import calls
from pumicestand_node import client_port
from pumicestand_node import conductor as conductors
from pumicestand_node import listeners
from pumicestand_node import operator_api
from pumicestand_node import store_agent
from pumicestand_node import target_connections
from pumicestand_node import transport as transports

SWEEP_S = 1.0
LEAVE_NOTICE_S = 3.0
GC_THRESHOLD = 5_000


class Node:
    """A node: the blackboard, its controllers and their shells.

    :param settings: a `settings.NodeSettings`
    """

    def __init__(self, settings):
        self._settings = settings
        self._clock = clocks.wall_clock
        rng = random.Random(settings.seed)
        identity = blackboards.Identity(
            environment=settings.environment,
            name=settings.name,
            zone=settings.zone,
            region=settings.region,
            host=settings.host,
            port=settings.mesh_port,
            operator_port=settings.operator_port,
        )
        self._board = blackboards.Blackboard(
            identity, incarnation=int(self._clock() * 1000)
        )
        self._metrics = metrics.Metrics(settings.name)
        self._create_meters()
        controllers = all_controllers.make_all(rng, settings.seed_addresses)
        self._conductor = conductors.Conductor(
            self._board, controllers, self._clock, self._perform
        )
        self._transport = transports.Transport(
            self._board,
            self._conductor.deliver_frame,
            lambda frame: responses.make_response(self._board, frame),
            self._clock,
            self._count_bytes,
            settings.tls,
        )
        self._store = store_agent.StoreAgent(
            stores.StoreClient(settings.store),
            settings.environment,
            self._conductor.deliver,
            rng,
        )
        self._router = routing.Router()
        self._balancer = balancing.Balancer(rng)
        self._pool = target_connections.TargetPool(time.monotonic)
        self._handler = calls.CallHandler(
            self._board,
            self._router,
            self._balancer,
            recording.Recorder(),
            self._pool,
            self._clock,
        )
        self._port = client_port.ClientPort(
            self._handler.serve,
            self._note_refusal,
            max_connections=settings.max_connections,
        )
        self._nursery = None
        self._listeners = []
        self._call_scope = trio.CancelScope()
        self._operator_stop = trio.Event()

    @property
    def board(self):
        """The node's `blackboard.Blackboard`."""
        return self._board

    async def start(self, nursery):
        """Open all ports and begin to work in a nursery."""
        self._nursery = nursery
        self._connect_signals()
        settings = self._settings
        await self._transport.start(nursery)
        await self._store.start(nursery)
        nursery.start_soon(self._conductor.run)
        nursery.start_soon(self._serve_operators)
        self._listeners = await listeners.open_listeners(
            settings.host, settings.call_port, settings.tls
        )
        nursery.start_soon(self._serve_calls)
        nursery.start_soon(self._sweep)
        self._board.emit(
            events.Kind.STARTED,
            self._clock(),
            detail=f'calls at {settings.host}:{settings.call_port}, frames '
            f'at {settings.mesh_port}, operators at '
            f'{settings.operator_port}',
        )
        # What is there now stays; only what calls leave is looked through.
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD, 20, 20)

    async def close(self):
        """Stop gracefully: no call in flight is cut before the drain ends."""
        now = self._clock()
        self._board.emit(
            events.Kind.STOPPING,
            now,
            detail=f'{self._handler.in_flight} calls in flight, '
            f'{self._settings.drain:g} s to drain',
        )
        self._board.is_leaving = True
        self._board.announce_self(now)
        self._call_scope.cancel()
        # Callers learn by "Connection: close" on their next answers; only
        # then are connections without a call closed.
        with trio.move_on_after(LEAVE_NOTICE_S):
            while self._port.connection_count:
                await trio.sleep(0.02)
        self._port.close_when_idle()
        with trio.move_on_after(self._settings.drain):
            while self._port.connection_count:
                await trio.sleep(0.02)
        self._board.emit(
            events.Kind.STOPPED,
            self._clock(),
            detail=f'{self._port.connection_count} connections cut',
        )
        self._operator_stop.set()
        await self._transport.close()
        await self._store.close()
        self._metrics.close()
        self._nursery.cancel_scope.cancel()

    def _connect_signals(self):
        signals.event_emitted.connect(log.log_event, sender=self._board)
        signals.event_emitted.connect(self._count_event, sender=self._board)
        signals.call_finished.connect(self._count_call, sender=self._handler)
        signals.call_refused.connect(self._count_refusal, sender=self._handler)

    def _create_meters(self):
        meters = self._metrics
        self._calls = meters.create_counter(
            'pumicestand_calls',
            ('route', 'version', 'status'),
            'Calls answered by targets',
        )
        self._refusals = meters.create_counter(
            'pumicestand_refusals', ('code',), 'Calls refused, by code'
        )
        self._events = meters.create_counter(
            'pumicestand_events', ('kind',), 'Events, by kind'
        )
        self._bytes = meters.create_counter(
            'pumicestand_control_bytes',
            ('direction',),
            'Bytes between nodes, by direction',
        )
        meters.create_gauge(
            'pumicestand_generation',
            lambda: self._board.generation_in_force,
            'The generation that this node acts on',
        )
        meters.create_gauge(
            'pumicestand_stale',
            lambda: int(
                application.staleness(self._board, self._clock()).is_stale
            ),
            'Whether this node is stale',
        )
        meters.create_gauge(
            'pumicestand_members',
            lambda: len(self._board.table.reachable()),
            'Members that this node can reach',
        )

    def _count_event(self, board, event):
        self._events[(event.kind.value,)] += 1

    def _count_call(self, handler, finished):
        route, version = finished.route, finished.version
        self._calls[(route, version, finished.status)] += 1
        self._metrics.record_call(route, version, finished.latency_s)

    def _count_refusal(self, handler, refusal):
        self._refusals[(refusal.code.value,)] += 1

    def _count_bytes(self, direction, count):
        self._bytes[(direction,)] += count

    async def _perform(self, action):
        match action:
            case actions.SendDatagram(address, frame):
                await self._transport.send(address, frame)
            case actions.SendRequest():
                self._nursery.start_soon(self._request, action)
            case actions.ReadStore(delay):
                self._store.schedule_read(delay)
            case actions.StartWatch():
                self._store.start_watch()
            case actions.StopWatch():
                self._store.stop_watch()
            case actions.WriteStore():
                self._store.schedule_write(action)

    async def _request(self, action):
        try:
            answer = await self._transport.request(
                action.peer, action.address, action.frame, action.timeout
            )
        except (
            errors.PeerUnavailableError,
            errors.InvalidFrameError,
        ) as error:
            self._deliver_failure(action, str(error))
            return
        self._conductor.deliver_frame(answer, action.address)
        match answer.body:
            case messages.Refused(code):
                self._deliver_failure(action, code)

    def _deliver_failure(self, action, detail):
        self._conductor.deliver(
            blackboards.RequestFailed(
                action.peer, action.address, action.frame.body, detail
            )
        )

    async def _serve_operators(self):
        settings = self._settings
        config = hypercorn_config.Config()
        config.bind = [f'{settings.host}:{settings.operator_port}']
        config.errorlog = None
        config.accesslog = None
        config.graceful_timeout = 1.0
        api = operator_api.OperatorApi(
            self._board,
            self._router,
            self._balancer,
            self._metrics,
            self._clock,
            self._conductor.wake,
        )
        await hypercorn_trio.serve(
            api,
            config,
            mode='asgi',
            shutdown_trigger=self._operator_stop.wait,
        )

    async def _serve_calls(self):
        """Accept connections until the node stops."""
        with self._call_scope:
            await trio.serve_listeners(
                self._port.serve,
                self._listeners,
                handler_nursery=self._nursery,
            )
        for listener in self._listeners:
            await listener.aclose()

    def _note_refusal(self, refusal):
        signals.call_refused.send(self._handler, refusal=refusal)

    async def _sweep(self):
        """End slow connections and forget what is no longer there."""
        while True:
            await trio.sleep(SWEEP_S)
            self._port.enforce_timeouts()
            known = {
                target.key
                for member in self._board.table.reachable()
                for target in member.targets
            }
            self._balancer.remove_unknown(known)
            await self._pool.close_idle(known)
