"""Asks the nodes of an environment what they act on."""

import dataclasses
import json
import urllib.parse

import httpcore
import trio

from pumicestand import errors

ASK_TIMEOUT_S = 2.0
ASKED_AT_ONCE = 50


@dataclasses.dataclass(frozen=True, slots=True)
class NodeAnswer:
    """What a node answered.

    :param data: None if the node did not answer
    """

    name: str
    address: str
    data: object
    problem: str = ''


class FleetClient:
    """Finds the nodes of an environment and asks them.

    :param client: a `stores.StoreClient`
    :param environment: name of the environment
    :param nodes: operators' addresses (host:port) to start from, for when
        the store is down
    """

    def __init__(self, client, environment, nodes=()):
        self._client = client
        self._environment = environment
        self._nodes = list(nodes)
        self._pool = None

    async def start(self):
        """Open the connection pool."""
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=ASKED_AT_ONCE
        )

    async def close(self):
        """Close all connections."""
        if self._pool is not None:
            await self._pool.aclose()

    async def members(self):
        """Return the members as the first node that answers sees them.

        :raises errors.PumicestandError: if no node answers
        """
        tried = []
        # Nodes that were named may belong to another environment.
        for address in self._nodes + await self._seeds():
            answer = await self.ask(address, address, '/v1/members')
            data = answer.data or {}
            if data.get('environment') == self._environment:
                return data['members']
            tried.append(address)
        raise errors.PumicestandError(
            errors.Code.NO_NODES,
            f'no node of {self._environment} answers; tried were '
            f'{", ".join(tried) or "none"}',
            step='find nodes',
            remedy='name a node with --node',
        )

    async def _seeds(self):
        try:
            listed = await self._client.list(f'seeds/{self._environment}/')
        except errors.StoreUnavailable:
            return []
        found = []
        for stored in listed:
            found += json.loads(stored.value).get('operators', [])
        return found

    async def ask_all(self, path):
        """Ask every member; return a `NodeAnswer` for each, by name.

        Members that are known to be gone are left out.
        """
        members = [
            member
            for member in await self.members()
            if member['status'] in ('alive', 'suspect')
        ]
        answers = []
        limit = trio.CapacityLimiter(ASKED_AT_ONCE)

        async def ask(member):
            async with limit:
                answers.append(
                    await self.ask(member['name'], member['operator'], path)
                )

        async with trio.open_nursery() as nursery:
            for member in members:
                nursery.start_soon(ask, member)
        return sorted(answers, key=lambda answer: answer.name)

    async def ask(self, name, address, path):
        """Ask one node; return a `NodeAnswer`."""
        try:
            with trio.fail_after(ASK_TIMEOUT_S):
                response = await self._pool.request(
                    'GET',
                    f'http://{address}{path}',
                    headers={'host': 'node'},
                )
            return NodeAnswer(name, address, json.loads(response.content))
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
            ValueError,
        ) as error:
            return NodeAnswer(name, address, None, type(error).__name__)


def explain_path(method, host, path):
    """Return the path by which a node explains a route."""
    query = urllib.parse.urlencode(
        {'method': method, 'host': host, 'path': path}
    )
    return f'/v1/explain?{query}'
