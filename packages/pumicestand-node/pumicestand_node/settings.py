"""Settings of a node."""

import typing

import pydantic

from pumicestand import schema
from pumicestand import settings

Port = typing.Annotated[int, pydantic.Field(ge=1, le=65535)]


class Tls(settings.Model):
    """Files for TLS on listeners and connections.

    :param certificate: path of the certificate chain
    :param key: path of the private key
    :param authority: path of the certificates of the authorities by which
        peers are verified
    """

    certificate: str
    key: str
    authority: str


class NodeSettings(settings.Model):
    """All settings of a node with their defaults.

    :param region: name of the node's region
    :param zone: name of the node's availability zone
    :param host: address at which all ports are opened
    :param call_port: TCP port for the calls of clients
    :param mesh_port: UDP and TCP port for the frames of other nodes
    :param operator_port: TCP port for operators, targets and scrapers
    :param store: URL of the store
    :param seeds: addresses of other nodes, as host:port, to join by
    :param drain: seconds that calls in flight have to finish at shutdown
    :param max_connections: number of client connections; a further one
        replaces the longest idle one, or is closed at once
    :param seed: seed of random choices, None for a random one
    :param tls: must be None, since TLS is not supported yet
    """

    environment: schema.Name = 'production'
    name: schema.Name = 'node'
    region: schema.Name = 'region'
    zone: schema.Name = 'zone'
    host: str = '127.0.0.1'
    call_port: Port = 7100
    mesh_port: Port = 7200
    operator_port: Port = 7300
    store: str = 'http://127.0.0.1:7000'
    seeds: list[str] = []
    drain: schema.Duration = 30.0
    max_connections: int = pydantic.Field(default=1000, ge=1)
    log_level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    seed: int | None = None
    tls: Tls | None = None

    @pydantic.field_validator('seeds')
    @classmethod
    def _check_seeds(cls, value):
        for seed in value:
            host, _, port = seed.rpartition(':')
            if not host or not port.isdigit():
                raise ValueError(f'{seed!r} is no host:port')
        return value

    @pydantic.field_validator('tls')
    @classmethod
    def _check_tls(cls, value):
        if value is not None:
            raise ValueError('TLS is not supported yet; leave it out')
        return value

    @property
    def seed_addresses(self):
        """The seeds as a list of (host, port)."""
        parts = [seed.rpartition(':') for seed in self.seeds]
        return [(host, int(port)) for host, _, port in parts]

    def warnings(self):
        """Return warnings about doubtful values, each with a remedy."""
        messages = []
        if not self.seeds:
            messages.append(
                'seeds is empty: this node can not join while the store is '
                'down; name two nodes of other zones'
            )
        if self.seed is not None:
            messages.append(
                'seed is set: random choices are the same in each run; leave '
                'it out except in tests'
            )
        return messages
