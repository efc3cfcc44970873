"""Query the operator APIs of an environment's nodes."""

import dataclasses
import json
import urllib.parse

import httpcore
import trio

from pumicestand import errors

QUERY_TIMEOUT_S = 2.0
MAX_CONCURRENT_QUERIES = 50


@dataclasses.dataclass(frozen=True, slots=True)
class NodeResponse:
    """The response of a node.

    :param address: host:port of the node's operator API
    :param data: decoded JSON, None if the node did not answer
    :param error: type of the error if the node did not answer, else empty
    """

    name: str
    address: str
    data: object
    error: str = ''


class FleetClient:
    """Finds the nodes of an environment and queries them.

    :param client: a `stores.StoreClient`
    :param environment: name of the environment
    :param nodes: host:port of operator APIs to try before those in the
        store; needed while the store is down
    """

    def __init__(self, client, environment, nodes=()):
        self._client = client
        self._environment = environment
        self._nodes = list(nodes)
        self._pool = None

    async def start(self):
        """Open the connection pool."""
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONCURRENT_QUERIES
        )

    async def close(self):
        """Close all connections."""
        if self._pool is not None:
            await self._pool.aclose()

    async def find_members(self):
        """Return the members that the first node to answer knows.

        :raises errors.PumicestandError: if no node answers
        """
        tried_addresses = []
        # Nodes given by the operator may belong to another environment.
        for address in self._nodes + await self._read_seeds():
            response = await self.query(address, address, '/v1/members')
            data = response.data or {}
            if data.get('environment') == self._environment:
                return data['members']
            tried_addresses.append(address)
        raise errors.PumicestandError(
            errors.Code.NO_NODES,
            f'no node of {self._environment} answers; tried: '
            f'{", ".join(tried_addresses) or "none"}',
            step='find nodes',
            remedy='give the address of a node with --node',
        )

    async def _read_seeds(self):
        try:
            stored_seeds = await self._client.list(
                f'seeds/{self._environment}/'
            )
        except errors.StoreUnavailableError:
            return []
        addresses = []
        for stored in stored_seeds:
            addresses += json.loads(stored.value).get('operators', [])
        return addresses

    async def query_all(self, path):
        """Query every member; return their `NodeResponse`s sorted by name.

        Members that are neither alive nor suspect are left out.
        """
        members = [
            member
            for member in await self.find_members()
            if member['status'] in ('alive', 'suspect')
        ]
        responses = []
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_QUERIES)

        async def query(member):
            async with limiter:
                responses.append(
                    await self.query(member['name'], member['operator'], path)
                )

        async with trio.open_nursery() as nursery:
            for member in members:
                nursery.start_soon(query, member)
        return sorted(responses, key=lambda response: response.name)

    async def query(self, name, address, path):
        """Query one node and return a `NodeResponse`."""
        try:
            with trio.fail_after(QUERY_TIMEOUT_S):
                response = await self._pool.request(
                    'GET',
                    f'http://{address}{path}',
                    headers={'host': 'node'},
                )
            return NodeResponse(name, address, json.loads(response.content))
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
            ValueError,
        ) as error:
            return NodeResponse(name, address, None, type(error).__name__)


def make_explain_path(method, host, path):
    """Return the path and query that make a node explain a route."""
    query = urllib.parse.urlencode(
        {'method': method, 'host': host, 'path': path}
    )
    return f'/v1/explain?{query}'
