"""The settings of a node."""

import typing

import pydantic

from pumicestand import schema
from pumicestand import settings

Port = typing.Annotated[int, pydantic.Field(ge=1, le=65535)]


class Tls(settings.Model):
    """Files for TLS; listeners and connections take them from here.

    :param certificate: path of the certificate chain
    :param key: path of the private key
    :param authority: path of the authorities that peers are checked with
    """

    certificate: str
    key: str
    authority: str


class NodeSettings(settings.Model):
    """All settings of a node with their defaults."""

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
        """The seeds as (host, port)."""
        pairs = [seed.rpartition(':') for seed in self.seeds]
        return [(host, int(port)) for host, _, port in pairs]

    def warnings(self):
        """Return what an operator should look at, with what to do."""
        found = []
        if not self.seeds:
            found.append(
                'seeds is empty: while the store is down this node can not '
                'join; name two nodes of other zones'
            )
        if self.seed is not None:
            found.append(
                'seed is set: random choices repeat; leave it out but for '
                'tests'
            )
        return found
