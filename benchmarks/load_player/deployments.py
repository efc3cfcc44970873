"""Deployment files of the load player: what is deployed and who calls it."""

import pydantic
import yaml


class _Part(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Service(_Part):
    """Targets that run the same calls.

    :param targets: number of targets, each on a VM of its own
    """

    name: str
    targets: pydantic.PositiveInt


class Nested(_Part):
    """Calls that a target makes while it runs a call.

    :param kind: name of their kind
    :param count: calls made at once
    :param probability: share of the outer calls that make them
    """

    kind: str
    count: pydantic.PositiveInt = 1
    probability: float = pydantic.Field(1.0, ge=0, le=1)


class Kind(_Part):
    """Calls of one route.

    :param rate: calls a second that clients make; 0 if only targets make them
    :param work_ms: mean time that a target of the usual speed takes
    :param spread: standard deviation of the logarithm of the work
    :param objective_ms: latency objective
    :param deadline_ms: time after which the caller gives up
    :param value: value of a call that is answered within its objective
    :param late_value: value of one that is answered after it
    :param priority: of its route; a lower number goes first
    :param is_idempotent: whether a failed call may be sent again
    """

    name: str
    service: str
    rate: pydantic.NonNegativeFloat = 0.0
    work_ms: pydantic.PositiveFloat
    spread: pydantic.NonNegativeFloat = 0.5
    objective_ms: pydantic.PositiveFloat
    deadline_ms: pydantic.PositiveFloat
    value: float = 0.0
    late_value: float = 0.0
    priority: int = 0
    request_bytes: pydantic.NonNegativeInt = 300
    response_bytes: pydantic.NonNegativeInt = 300
    is_idempotent: bool = False
    nested: Nested | None = None


class Wave(_Part):
    """Oscillation of the load; its phase differs from zone to zone.

    :param amplitude: share of the mean by which the load rises and falls
    """

    amplitude: float = pydantic.Field(0.0, ge=0, le=1)
    period_s: pydantic.PositiveFloat = 17.0


class Burst(_Part):
    """A time in which the load is a multiple of its usual value.

    :param organisation: rank of the only organisation concerned, None for all
    """

    start_s: pydantic.NonNegativeFloat
    end_s: pydantic.PositiveFloat
    factor: pydantic.PositiveFloat
    organisation: int | None = None


class Organisations(_Part):
    """Customers that share the load.

    :param count: number of organisations; 0 for none
    :param exponent: the share of the organisation of a rank is in proportion
        to the rank to the power of minus this
    """

    count: pydantic.NonNegativeInt = 0
    exponent: pydantic.NonNegativeFloat = 1.0


class Slowness(_Part):
    """Short periods in which a target is slow.

    :param share: share of the time that they take
    :param factor: multiple of the usual work
    """

    share: float = pydantic.Field(0.0, ge=0, lt=1)
    length_s: pydantic.PositiveFloat = 0.6
    factor: float = pydantic.Field(1.0, ge=1)


class Outliers(_Part):
    """Calls with much more work than usual, one in ``every``."""

    every: pydantic.PositiveInt = 33
    factor: pydantic.PositiveFloat = 1.0


class Crashes(_Part):
    """Crashes of targets, which come back cold.

    :param per_target_s: mean time between the crashes of a target; 0 for none
    :param cold_rate: calls a second that a cold target can bear
    :param cold_over: a cold target crashes when it gets more than the rate
        times one plus this in a second, and ``cold_slack`` calls
    """

    per_target_s: pydantic.NonNegativeFloat = 0.0
    down_s: pydantic.PositiveFloat = 3.0
    cold_s: pydantic.NonNegativeFloat = 8.0
    cold_rate: pydantic.PositiveFloat = 10.0
    cold_over: pydantic.NonNegativeFloat = 0.5
    cold_slack: pydantic.NonNegativeInt = 8


class Network(_Part):
    """The connections between nodes.

    :param link_rate: rate of a VM's link in bytes per second
    :param fast_link_rate: rate of the first ``fast_links`` VMs' links
    :param zone_rtt_ms: round-trip time within a zone
    :param cross_zone_rtt_ms: round-trip time between zones
    :param report_delay_ms: mean of the additional delay of reports
    :param lost_reports: share of the reports that do not arrive
    """

    link_rate: pydantic.PositiveFloat = 1.25e6
    fast_link_rate: pydantic.PositiveFloat = 12e6
    fast_links: pydantic.NonNegativeInt = 4
    zone_rtt_ms: pydantic.PositiveFloat = 0.8
    cross_zone_rtt_ms: pydantic.PositiveFloat = 3.0
    report_delay_ms: pydantic.NonNegativeFloat = 20.0
    lost_reports: float = pydantic.Field(0.0, ge=0, lt=1)


class RetryQuota(_Part):
    """The quota of retries, see `pumicestand.retry_quota`.

    :param attempts: times that a call may be sent to targets
    """

    ratio: pydantic.NonNegativeFloat = 0.1
    constant: pydantic.NonNegativeFloat = 20
    attempts: pydantic.PositiveInt = 2
    window_s: pydantic.PositiveFloat = 10


class Deployment(_Part):
    """What is deployed and who calls it.

    :param slots: calls that a target runs at once
    :param speeds: speeds of the targets of a service, by turns
    :param client_retries: times that a client retries a refused call
    :param nested_at: share of a call's work after which its target makes
        the nested calls
    """

    name: str
    zones: pydantic.PositiveInt
    slots: pydantic.PositiveInt
    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]
    speeds: tuple[pydantic.PositiveFloat, ...] = (1.0,)
    client_retries: pydantic.NonNegativeInt = 1
    nested_at: float = pydantic.Field(0.5, ge=0, le=1)
    wave: Wave = Wave()
    bursts: tuple[Burst, ...] = ()
    organisations: Organisations = Organisations()
    slowness: Slowness = Slowness()
    outliers: Outliers = Outliers()
    crashes: Crashes = Crashes()
    network: Network = Network()
    retry_quota: RetryQuota = RetryQuota()

    @pydantic.model_validator(mode='after')
    def _check_names(self):
        services = {service.name for service in self.services}
        kinds = {kind.name for kind in self.kinds}
        for kind in self.kinds:
            if kind.service not in services:
                raise ValueError(f'{kind.name}: no service {kind.service}')
            if kind.nested is not None and kind.nested.kind not in kinds:
                raise ValueError(f'{kind.name}: no kind {kind.nested.kind}')
        return self


def read(path):
    """Read and validate a deployment file and return the `Deployment`."""
    with open(path, encoding='utf-8') as file:
        return Deployment.model_validate(yaml.safe_load(file))
