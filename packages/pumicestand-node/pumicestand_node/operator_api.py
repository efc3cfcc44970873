"""The node's endpoint for operators, targets and scrapers (ASGI).

========================  ============================================
``GET /v1/status``        state of this node and of the moves in force
``GET /v1/members``       members of the fleet that this node knows
``GET /v1/timeline``      events of this process
``GET /v1/explain``       targets that a call may go to, and why
``PUT /v1/target``        announcement of a target
``GET /metrics``          metrics in the text format of Prometheus
``GET /healthz``          200, or 503 while the node is stale
========================  ============================================
"""

import dataclasses
import json
import urllib.parse

import pydantic

from pumicestand import announcing
from pumicestand import application
from pumicestand import metrics
from pumicestand import refusals
from pumicestand import shares
from pumicestand_node import announcements

# Parts of a request body beyond this size are ignored.
MAX_BODY_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response of the endpoint."""

    status: int
    body: bytes
    content_type: str = 'application/json'


def json_response(status, data):
    """Return a `Response` with data as its JSON body."""
    return Response(status, json.dumps(data).encode())


def describe_moves(board, now):
    """Return the description of each move in force, as data for JSON."""
    if board.in_force is None:
        return []
    descriptions = []
    for move in board.in_force.document.moves:
        verdict = board.table.verdict(move.identity)
        descriptions.append(
            {
                'name': move.name,
                'identity': move.identity,
                'service': move.service,
                'to': move.new_version,
                'state': shares.state_of(board, move, now).value,
                'share': shares.share_of(board, move, now),
                'reason': verdict.reason if verdict else '',
                'held_here': board.held_moves.get(move.identity, 0) > now,
                'start': move.start,
                'by': move.deadline,
            }
        )
    return descriptions


def describe_status(board, now):
    """Return the description of this node, as data for JSON."""
    staleness = application.staleness(board, now)
    identity = board.identity
    return {
        'name': identity.name,
        'environment': identity.environment,
        'zone': identity.zone,
        'region': identity.region,
        'incarnation': board.incarnation,
        'acting': board.generation_in_force,
        'digest': board.in_force.accepted.digest if board.in_force else '',
        'accepted': board.accepted.generation,
        'since': board.in_force.since if board.in_force else None,
        'floor': board.floor,
        'stale': staleness.is_stale,
        'stale_reason': staleness.reason,
        'store_confirmed_s': staleness.confirmed_s,
        'watching': board.is_watching,
        'members': len(board.table.reachable()),
        'targets': [
            {
                'service': entry.target.service,
                'version': entry.target.version,
                'address': f'{entry.target.host}:{entry.target.port}',
                'state': entry.target.state.name.lower(),
            }
            for entry in board.local_targets.values()
        ],
        'moves': describe_moves(board, now),
    }


def describe_members(board):
    """Return the members that this node knows, as data for JSON."""
    members = [
        {
            'name': member.name,
            'status': member.status.name.lower(),
            'zone': member.zone,
            'region': member.region,
            'address': f'{member.host}:{member.port}',
            'operator': f'{member.host}:{member.operator_port}',
            'acting': board.generations_by_member.get(member.name, 0),
        }
        for member in board.table.members()
    ]
    return {'environment': board.identity.environment, 'members': members}


def describe_events(board):
    """Return the events of this process, oldest first, as data for JSON."""
    return [
        {**dataclasses.asdict(event), 'kind': event.kind.value}
        for event in board.ring.events
    ]


class OperatorApi:
    """The ASGI application of the endpoint.

    :param board: the `blackboard.Blackboard`
    :param router: the node's `routers.Router`
    :param balancer: the node's `balancing.Balancer`
    :param registry: the node's `metrics.Metrics`
    :param clock: returns wall time in seconds
    :param wake: called without arguments after a target's announcement
    """

    def __init__(self, board, router, balancer, registry, clock, wake):
        self._board = board
        self._router = router
        self._balancer = balancer
        self._registry = registry
        self._clock = clock
        self._wake = wake

    async def __call__(self, scope, receive, send):
        """Serve one HTTP request or the lifespan, as ASGI specifies."""
        if scope['type'] == 'lifespan':
            await _serve_lifespan(receive, send)
            return
        body = await _read_body(receive)
        query = urllib.parse.parse_qs(scope['query_string'].decode())
        response = self.make_response(
            scope['method'], scope['path'], query, body
        )
        await send(
            {
                'type': 'http.response.start',
                'status': response.status,
                'headers': [(b'content-type', response.content_type.encode())],
            }
        )
        await send({'type': 'http.response.body', 'body': response.body})

    def make_response(self, method, path, query, body):
        """Return the `Response` to a request.

        :param query: lists of values by name
        :param body: body as bytes
        """
        now = self._clock()
        match method, path:
            case 'GET', '/v1/status':
                return json_response(200, describe_status(self._board, now))
            case 'GET', '/v1/members':
                return json_response(200, describe_members(self._board))
            case 'GET', '/v1/timeline':
                return json_response(200, describe_events(self._board))
            case 'GET', '/v1/explain':
                return self._explain(query, now)
            case 'PUT', '/v1/target':
                return self._apply_announcement(body, now)
            case 'GET', '/metrics':
                text = self._registry.text()
                return Response(200, text, metrics.CONTENT_TYPE)
            case 'GET', '/healthz':
                staleness = application.staleness(self._board, now)
                status = 503 if staleness.is_stale else 200
                return json_response(
                    status, {'stale_reason': staleness.reason}
                )
        return json_response(404, {'code': 'not-found'})

    def _apply_announcement(self, body, now):
        try:
            announcement = announcements.Announcement.model_validate_json(body)
        except pydantic.ValidationError as error:
            first_error = error.errors()[0]
            location = '.'.join(str(part) for part in first_error['loc'])
            return json_response(
                422,
                {
                    'code': 'announcement-invalid',
                    'detail': f'{location}: {first_error["msg"]}',
                },
            )
        announcing.apply_announcement(
            self._board, announcement.to_target(), now
        )
        self._wake()
        return json_response(200, {'name': self._board.identity.name})

    def _explain(self, query, now):
        host = query.get('host', ['*'])[0]
        path = query.get('path', ['/'])[0]
        method = query.get('method', ['GET'])[0]
        route = self._router.match(self._board, host, path, method)
        if isinstance(route, refusals.Refusal):
            return json_response(200, dataclasses.asdict(route))
        return json_response(
            200,
            {
                'node': self._board.identity.name,
                'generation': self._board.generation_in_force,
                'route': route.name,
                'services': [
                    self._explain_service(route, backend, now)
                    for backend in route.to
                ],
            },
        )

    def _explain_service(self, route, backend, now):
        board = self._board
        service = board.in_force.document.service(backend.service)
        split = shares.split_of(board, service, now)
        versions = {split.base_version: 1.0 - split.share}
        if split.move is not None:
            versions[split.move.new_version] = split.share
        return {
            'service': service.name,
            'weight': backend.weight,
            'move': split.move.identity if split.move else None,
            'versions': [
                {
                    'version': version,
                    'share': share,
                    'targets': self._explain_pool(
                        service.name, version, route.resources, now
                    ),
                }
                for version, share in versions.items()
            ],
        }

    def _explain_pool(self, service, version, resources, now):
        pool = self._balancer.pool(self._board, service, version, resources)
        explanations = []
        for zone, target in pool:
            stats = self._balancer.stats_of(target, now)
            explanations.append(
                {
                    'address': f'{target.host}:{target.port}',
                    'zone': zone,
                    'own_zone': zone == self._board.identity.zone,
                    'in_flight': stats.in_flight,
                    'latency_ms': round(stats.latency_s * 1000, 3),
                    'ejected': stats.ejected_until > now,
                }
            )
        return explanations


async def _serve_lifespan(receive, send):
    """Confirm the start and the shutdown, which need no work."""
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return


async def _read_body(receive):
    parts = []
    size = 0
    while True:
        message = await receive()
        if message['type'] != 'http.request':
            return b''
        size += len(message.get('body', b''))
        if size <= MAX_BODY_BYTES:
            parts.append(message.get('body', b''))
        if not message.get('more_body'):
            return b''.join(parts)
