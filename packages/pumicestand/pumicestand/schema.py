"""Schema of the document that operators write.

The pydantic models check types, ranges, units and unknown keys. `checks`
covers constraints between several parts of the document.
"""

import datetime
import typing

import pydantic

from pumicestand import units

VERSION = 'pumicestand/v1'
NAME_PATTERN = r'^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$'
# Also the maximum number of connections of a target.
MAX_SLOTS = 10_000
MAX_QUEUE = 100_000
MAX_ATTEMPTS = 5
MAX_WEIGHT = 1_000_000

Name = typing.Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Duration = typing.Annotated[
    float,
    pydantic.BeforeValidator(units.parse_duration),
    pydantic.PlainSerializer(units.format_duration),
    pydantic.Field(gt=0),
]
Share = typing.Annotated[
    float,
    pydantic.BeforeValidator(units.parse_share),
    pydantic.PlainSerializer(units.format_share),
]
Factor = typing.Annotated[
    float,
    pydantic.BeforeValidator(units.parse_factor),
    pydantic.PlainSerializer(lambda factor: f'{factor:g}x'),
    pydantic.Field(gt=1),
]


class Model(pydantic.BaseModel):
    """Base class of the parts of the document; unknown keys are rejected."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=False)


class LimitsModel(Model):
    """Limits of each target of a service; see `documents.TargetLimits`."""

    slots: int = pydantic.Field(default=20, ge=1, le=MAX_SLOTS)
    connections: int = pydantic.Field(default=100, ge=1, le=MAX_SLOTS)
    queue: int = pydantic.Field(default=20, ge=0, le=MAX_QUEUE)


class ServiceModel(Model):
    """A service; see `documents.Service`."""

    versions: list[Name] = pydantic.Field(min_length=1)
    current: Name
    resources: list[Name] = []
    calls: list[Name] = []
    limits: LimitsModel = LimitsModel()


class BackendModel(Model):
    """A service that takes calls of a route; see `documents.Backend`."""

    service: Name
    weight: int = pydantic.Field(default=1, ge=1, le=MAX_WEIGHT)


class RetriesModel(Model):
    """The retry policy of a route; see `documents.Retries`."""

    attempts: int = pydantic.Field(default=2, ge=1, le=MAX_ATTEMPTS)
    budget: Share = 0.1


class RouteModel(Model):
    """A route; see `documents.Route`."""

    name: Name
    host: str = pydantic.Field(
        default='*', pattern=r'^(\*|[a-z0-9.-]{1,253})$'
    )
    path: str = pydantic.Field(default='/', pattern=r'^/[!-~]*$')
    methods: list[
        typing.Annotated[str, pydantic.Field(pattern=r'^[A-Z]{1,20}$')]
    ] = []
    to: list[BackendModel] = pydantic.Field(min_length=1)
    resources: list[Name] = []
    timeout: Duration = 10.0
    idempotent: bool = False
    retries: RetriesModel = RetriesModel()


class BadModel(Model):
    """Thresholds for a roll-back; see `documents.RollbackThresholds`."""

    errors: Share = 0.01
    latency: Factor = 2.0


class MoveModel(Model):
    """A move of a service's traffic; see `documents.Move`.

    :param to: the new version
    :param by: time by which the move should be complete
    :param routes: thresholds for single routes, by name
    """

    name: Name
    service: Name
    to: Name
    start: datetime.datetime
    by: datetime.datetime
    unproven_share: Share = 0.02
    bad: BadModel = BadModel()
    routes: dict[Name, BadModel] = {}

    @pydantic.field_validator('start', 'by')
    @classmethod
    def _check_utc_offset(cls, value):
        if value.tzinfo is None:
            raise ValueError('needs a unit: the offset from UTC, such as Z')
        return value


class DocumentModel(Model):
    """The whole document."""

    schema_version: typing.Literal['pumicestand/v1'] = pydantic.Field(
        alias='schema'
    )
    services: dict[Name, ServiceModel] = {}
    routes: list[RouteModel] = []
    moves: list[MoveModel] = []
