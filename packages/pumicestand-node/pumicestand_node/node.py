"""Creates the parts of a node, starts them and stops them."""

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
from pumicestand import routers
from pumicestand import signals
from pumicestand import stores
from pumicestand_node import calls
from pumicestand_node import client_port
from pumicestand_node import conductor as conductors
from pumicestand_node import listeners
from pumicestand_node import operator_api
from pumicestand_node import store_agent
from pumicestand_node import supervision
from pumicestand_node import target_connections
from pumicestand_node import transport as transports

# Period at which time limits of connections are enforced and the state of
# targets that have left is removed.
SWEEP_PERIOD_S = 1.0
# Time for which a stopping node keeps idle connections open, so that clients
# learn from their next responses that it stops.
CLOSE_NOTICE_S = 3.0
# Allocations after which the garbage collector looks at the youngest objects.
GC_THRESHOLD = 5_000


class Node:
    """A node: the blackboard, its controllers, and the input and output.

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
        self._create_metrics()
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
        self._store_agent = store_agent.StoreAgent(
            stores.StoreClient(settings.store),
            settings.environment,
            self._conductor.deliver,
            rng,
        )
        self._router = routers.Router()
        self._balancer = balancing.Balancer(rng)
        self._target_pool = target_connections.TargetPool(time.monotonic)
        self._call_handler = calls.CallHandler(
            self._board,
            self._router,
            self._balancer,
            recording.Recorder(),
            self._target_pool,
            self._clock,
        )
        self._client_port = client_port.ClientPort(
            self._call_handler.serve,
            self._send_call_refused,
            max_connections=lambda: settings.max_connections,
        )
        self._nursery = None
        self._listeners = []
        self._call_listener_scope = trio.CancelScope()
        self._operator_api_stop = trio.Event()

    @property
    def board(self):
        """The node's `blackboard.Blackboard`."""
        return self._board

    async def start(self, nursery):
        """Open all ports and start the node's tasks in a nursery.

        :raises OSError: if a port can't be opened
        """
        self._nursery = nursery = supervision.GuardedNursery(nursery)
        self._connect_signals()
        settings = self._settings
        await self._transport.start(nursery)
        await self._store_agent.start(nursery)
        for name, task in (
            ('controllers', self._conductor.run),
            ('API of operators', self._serve_operator_api),
            ('time limits', self._sweep),
        ):
            nursery.start_soon(supervision.supervise, name, task)
        self._listeners = await listeners.open_listeners(
            settings.host, settings.call_port, settings.tls
        )
        nursery.start_soon(self._serve_calls)
        self._board.emit(
            events.Kind.STARTED,
            self._clock(),
            detail=f'calls at {settings.host}:{settings.call_port}, frames '
            f'at {settings.mesh_port}, operators at '
            f'{settings.operator_port}',
        )
        # The objects that exist now live as long as the process, so that the
        # garbage collector need not look at them again.
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD, 20, 20)

    async def close(self):
        """Stop the node; calls in flight have the drain time to finish.

        An error in one step is logged, and the next ones are carried out.
        """
        now = self._clock()
        self._board.emit(
            events.Kind.STOPPING,
            now,
            detail=f'{self._call_handler.in_flight} calls in flight, '
            f'{self._settings.drain:g} s to drain',
        )
        self._board.is_leaving = True
        with supervision.stop_step('announce the stop'):
            self._board.announce_self(now)
        self._call_listener_scope.cancel()
        # Clients learn from "Connection: close" in their next responses that
        # the node stops. Idle connections are closed only after that.
        with trio.move_on_after(CLOSE_NOTICE_S):
            while self._client_port.connection_count:
                await trio.sleep(0.02)
        with supervision.stop_step('close idle connections'):
            self._client_port.close_when_idle()
        with trio.move_on_after(self._settings.drain):
            while self._client_port.connection_count:
                await trio.sleep(0.02)
        self._board.emit(
            events.Kind.STOPPED,
            self._clock(),
            detail=f'{self._client_port.connection_count} connections cut',
        )
        self._operator_api_stop.set()
        with supervision.stop_step('close the ports'):
            await self._transport.close()
        with supervision.stop_step('close the store'):
            await self._store_agent.close()
        with supervision.stop_step('close the metrics'):
            self._metrics.close()
        self._nursery.cancel_scope.cancel()

    def _connect_signals(self):
        signals.event_emitted.connect(log.log_event, sender=self._board)
        signals.event_emitted.connect(self._count_event, sender=self._board)
        signals.call_finished.connect(
            self._count_call, sender=self._call_handler
        )
        signals.call_refused.connect(
            self._count_refusal, sender=self._call_handler
        )

    def _create_metrics(self):
        registry = self._metrics
        self._call_counter = registry.create_counter(
            'pumicestand_calls',
            ('route', 'version', 'status'),
            'Calls answered by targets',
        )
        self._refusal_counter = registry.create_counter(
            'pumicestand_refusals', ('code',), 'Calls refused, by code'
        )
        self._event_counter = registry.create_counter(
            'pumicestand_events', ('kind',), 'Events, by kind'
        )
        self._byte_counter = registry.create_counter(
            'pumicestand_control_bytes',
            ('direction',),
            'Bytes between nodes, by direction',
        )
        registry.create_gauge(
            'pumicestand_generation',
            lambda: self._board.generation_in_force,
            'The generation that this node acts on',
        )
        registry.create_gauge(
            'pumicestand_stale',
            lambda: int(
                application.staleness(self._board, self._clock()).is_stale
            ),
            'Whether this node is stale',
        )
        registry.create_gauge(
            'pumicestand_members',
            lambda: len(self._board.table.reachable()),
            'Members that this node can reach',
        )

    def _count_event(self, board, event):
        self._event_counter[(event.kind.value,)] += 1

    def _count_call(self, handler, finished):
        route, version = finished.route, finished.version
        self._call_counter[(route, version, finished.status)] += 1
        self._metrics.record_call(route, version, finished.latency_s)

    def _count_refusal(self, handler, refusal):
        self._refusal_counter[(refusal.code.value,)] += 1

    def _count_bytes(self, direction, count):
        self._byte_counter[(direction,)] += count

    async def _perform(self, action):
        match action:
            case actions.SendDatagram(address, frame):
                await self._transport.send(address, frame)
            case actions.SendRequest():
                self._nursery.start_soon(self._send_request, action)
            case actions.ReadStore(delay):
                self._store_agent.schedule_read(delay)
            case actions.StartWatch():
                self._store_agent.start_watch()
            case actions.StopWatch():
                self._store_agent.stop_watch()
            case actions.WriteStore():
                self._store_agent.schedule_write(action)

    async def _send_request(self, action):
        try:
            response = await self._transport.request(
                action.peer, action.address, action.frame, action.timeout
            )
        except (
            errors.PeerUnavailableError,
            errors.InvalidFrameError,
        ) as error:
            self._deliver_failure(action, str(error))
            return
        self._conductor.deliver_frame(response, action.address)
        match response.body:
            case messages.Refused(code):
                self._deliver_failure(action, code)

    def _deliver_failure(self, action, detail):
        self._conductor.deliver(
            blackboards.RequestFailed(
                action.peer, action.address, action.frame.body, detail
            )
        )

    async def _serve_operator_api(self):
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
            shutdown_trigger=self._operator_api_stop.wait,
        )

    async def _serve_calls(self):
        """Accept connections of clients until the node stops."""
        with self._call_listener_scope:
            await listeners.serve(
                self._listeners,
                self._client_port.serve,
                self._nursery,
                listeners.log_failure,
                self._client_port.close_idle,
            )
        for listener in self._listeners:
            await listener.aclose()

    def _send_call_refused(self, refusal):
        signals.call_refused.send(self._call_handler, refusal=refusal)

    async def _sweep(self):
        """Enforce time limits and remove the state of targets that left."""
        while True:
            await trio.sleep(SWEEP_PERIOD_S)
            self._client_port.enforce_timeouts()
            target_keys = {
                target.key
                for member in self._board.table.reachable()
                for target in member.targets
            }
            self._balancer.remove_unknown(target_keys)
            await self._target_pool.close_idle(target_keys)
