"""Models by which tests decide what the boundary accepts and rejects."""

import typing

import pydantic

from pumicestand import target_states

HOST = (
    r'^([0-9A-Za-z_-]{1,63}(\.[0-9A-Za-z_-]{1,63})*'
    r'|[0-9A-Fa-f.]*:[0-9A-Fa-f:.]+)$'
)
LABEL = r'^[^\x00-\x1f\x7f]*$'

Label = typing.Annotated[str, pydantic.Field(max_length=256, pattern=LABEL)]
Name = typing.Annotated[Label, pydantic.Field(min_length=1)]
Host = typing.Annotated[str, pydantic.Field(max_length=256, pattern=HOST)]
Port = typing.Annotated[int, pydantic.Field(ge=1, le=65535)]
Count = typing.Annotated[int, pydantic.Field(ge=0, le=65535)]
Natural = typing.Annotated[int, pydantic.Field(ge=0, le=2**63 - 1)]
Seconds = typing.Annotated[
    float, pydantic.Field(ge=0, le=1e6, allow_inf_nan=False)
]
Rate = typing.Annotated[
    float, pydantic.Field(ge=0, le=1e9, allow_inf_nan=False)
]


class SettingsFile(pydantic.BaseModel):
    node_name: str = pydantic.Field(min_length=1)
    zone: str
    region: str
    service: str
    outbound: str = pydantic.Field(alias='listen.outbound')
    ready: str = pydantic.Field(alias='listen.ready')
    control: str = pydantic.Field(alias='listen.control')
    ip: str
    internal_ports: str
    store: str = pydantic.Field(alias='platform.address')
    link_rate: float = pydantic.Field(
        default=0.0, alias='limits.link_mbps', ge=0
    )
    bootstrap: bool = True
    grace: float = pydantic.Field(alias='bounds.grace_s', gt=0)
    retry_ratio: float = pydantic.Field(
        alias='bounds.retry_budget_ratio', ge=0
    )
    retry_constant: float = pydantic.Field(
        alias='bounds.retry_budget_slack', ge=0
    )
    retry_window: float = pydantic.Field(alias='bounds.budget_window_s', gt=0)
    is_revocation_strict: bool = pydantic.Field(
        default=False, alias='bounds.strict_revoke'
    )
    revocation: float = pydantic.Field(
        default=5.0, alias='bounds.revoke_s', gt=0
    )
    quota_window: float = pydantic.Field(
        default=5.0, alias='bounds.quota_window_s', gt=0
    )
    quota_excess: float = pydantic.Field(
        default=0.1, alias='bounds.quota_over', ge=0
    )
    quota_slack: float = pydantic.Field(
        default=20.0, alias='bounds.quota_slack', ge=0
    )
    evacuation: float = pydantic.Field(
        default=0.0, alias='bounds.evacuate_s', ge=0
    )
    cold_excess: float = pydantic.Field(
        default=1.5, alias='bounds.cold_over', ge=0
    )
    cold_slack: float = pydantic.Field(
        default=8.0, alias='bounds.cold_slack', ge=0
    )


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)


class Info(_StrictModel):
    service: Name
    version: Label
    zone: Label
    max_concurrency: int = pydantic.Field(ge=1, le=65535)


class Status(_StrictModel):
    state: str
    sequence: Natural
    cold_left_s: Seconds


class Heartbeat(_StrictModel):
    address: str
    info: Info
    status: Status
    born: Natural = 0


class Address(pydantic.BaseModel):
    host: Host
    port: Port


class TrafficShare(pydantic.BaseModel):
    service: str
    weight: Rate


class Route(pydantic.BaseModel):
    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_s: Seconds
    target_latency_s: Seconds | None = None
    priority: Count = 0
    service: str | None = None
    max_attempts: Count = 1
    traffic_split: list[TrafficShare] | None = None
    public: bool = False


class Organisation(pydantic.BaseModel):
    name: str = pydantic.Field(min_length=1, pattern=r'^[^\x00-\x1f\x7f]+$')
    api_keys: list[str] = ()
    priority: Count | None = None
    rate_per_s: Rate = 0.0
    burst: Rate = 0.0


class Service(pydantic.BaseModel):
    name: str
    max_connections: Natural | None = None
    cold_start_s: Seconds = 0.0
    cold_per_s: Rate = 0.0


class Limits(pydantic.BaseModel):
    max_header_bytes: Natural
    max_body_bytes: Natural
    header_timeout_s: Seconds
    idle_timeout_s: Seconds


class RolloutOrder(pydantic.BaseModel):
    service: Name
    target_version: Name
    duration_s: Seconds


class RolloutStatus(pydantic.BaseModel):
    state: typing.Literal['running', 'complete', 'rolled_back']
    target_version: str


class Incarnation(pydantic.BaseModel):
    instance: Name
    started_ms: Natural = 0


class Target(pydantic.BaseModel):
    instance: Name
    service: Name
    version: Label
    host: Host
    port: Port
    slots: Count
    state: target_states.TargetState = target_states.TargetState.SERVING
    started_ms: Natural = 0


class NodeRecord(pydantic.BaseModel):
    name: Name
    host: Host
    port: Port
    zone: Label
    target: Target | None = None
    departed: list[Incarnation] = ()
