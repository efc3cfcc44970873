"""The messages that two nodes exchange on a link, as data classes.

`hop` encodes them into frames and decodes them.
"""

import dataclasses
import enum

from pumicestand import target_states


class Outcome(enum.IntEnum):
    """The outcome of a call that was sent to another node.

    The order of the members matters: only the first two mean that the call
    has not run at a target.
    """

    NOT_HANDED_ON = 0
    NOT_RUN = 1
    UNKNOWN = 2
    ANSWERED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of a target.

    :param instance: name of the target's instance, not always unique
    :param started_ms: time of the start, in milliseconds since the epoch; 0
        if it is not known
    """

    instance: str
    started_ms: int = 0

    def is_until(self, other):
        """Return whether it is another one or an earlier one of its name.

        :param other: `Incarnation`
        """
        return (
            self.instance == other.instance
            and self.started_ms <= other.started_ms
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The target beside a node, as the target announced itself.

    :param instance: identifier of one start of the target; not always
        unique
    :param slots: calls that the target runs at once
    :param started_ms: start of the target, in milliseconds since the epoch
    """

    instance: str
    service: str
    version: str
    host: str
    port: int
    slots: int
    state: target_states.TargetState = target_states.TargetState.SERVING
    started_ms: int = 0

    @property
    def incarnation(self):
        """The `Incarnation` of the target."""
        return Incarnation(self.instance, self.started_ms)

    @property
    def is_leaving(self):
        """Whether the target has said that it gets no more calls."""
        return self.state is not target_states.TargetState.SERVING


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load of the target beside a node.

    It is part of a report, and sent alone if nothing else of the report has
    changed.

    :param running: calls that run at the target
    :param queued: calls that wait at the target's node
    :param slots: calls that the target runs at once; 0 if it accepts none
        now
    :param work_ms: typical processing time of a call at the target, in
        milliseconds
    :param failure_ratio: fraction of the target's latest responses that were
        failures
    :param slowness: processing time of calls at the target, as a multiple of
        the time that calls of the same routes take at all targets
    :param link_utilisation: fraction of the VM's network link in use
    :param body_delay_ms: time until a large body that is offered now is asked
        for, in milliseconds
    :param nested_service: service that the target makes nested calls to,
        empty for none
    :param client_priority: priority of the most urgent calls that clients
        make to the target
    :param client_objective_ms: latency objective of these calls, in
        milliseconds; 0 if there are none
    """

    running: int = 0
    queued: int = 0
    slots: int = 0
    work_ms: float = 0.0
    failure_ratio: float = 0.0
    slowness: float = 1.0
    link_utilisation: float = 0.0
    body_delay_ms: float = 0.0
    nested_service: str = ''
    client_priority: int = 0
    client_objective_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """The calls that a node counted at its target on one route.

    The counts never decrease.

    :param timed_calls: calls that were answered after the target's warm-up
    :param work_ms: sum of the processing times of the timed calls, in
        milliseconds
    """

    route: str
    version: str
    calls: int = 0
    errors: int = 0
    timed_calls: int = 0
    work_ms: float = 0.0


class RolloutState(enum.IntEnum):
    """The state of a roll-out; `rollouts` says which one applies."""

    RUNNING = 0
    COMPLETE = 1
    ROLLED_BACK = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What a node knows of a roll-out.

    :param state: state that the node acts on
    :param duration_ms: time that the operator allows, in milliseconds
    :param elapsed_ms: time since a node first learned of the order, in
        milliseconds
    :param order_id: identifier that is the same for all revisions of an
        order
    :param revision: revision of the store's object
    :param stored_state: state that the store holds, None if it holds none
    :param era: era of the store that the revision belongs to
    """

    service: str
    version: str
    state: RolloutState
    duration_ms: int = 0
    elapsed_ms: int = 0
    order_id: int = 0
    revision: int = 0
    stored_state: RolloutState | None = None
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A request that was running when the target beside a node crashed.

    :param fingerprint: 64 bits that stand for the request, see `quarantine`
    :param crashes: crashes of the target that the request was part of
    :param answers: times that the target answered the request nevertheless
    """

    fingerprint: int
    crashes: int
    answers: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuations:
    """The availability zones whose targets get no calls.

    :param era: era of the store that the revision belongs to
    :param revision: revision of the store at which they were read
    :param zones: names of the zones, sorted
    """

    era: int
    revision: int
    zones: tuple[str, ...] = ()

    @property
    def sort_key(self):
        """The key by which states are sorted, latest last."""
        return (self.era, self.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The whole state that a node reports; a later report replaces it.

    :param incarnation: number that rises with each start of the process
    :param sequence: number that rises with each report of an incarnation
    :param generation: generation of the configuration that the node acts
        on, 0 for none
    :param link_rate: capacity of the VM's network link in bytes per second,
        0 if it is not known
    :param store_era: latest era of the store that the node knows
    :param evacuations: latest known `Evacuations`, None if none are known
    :param accepts_compressed: whether the node reads compressed frames
    """

    name: str
    incarnation: int
    sequence: int
    zone: str
    host: str
    port: int
    target: Target | None = None
    load: Load = Load()
    is_leaving: bool = False
    store_reachable: bool = False
    generation: int = 0
    link_rate: float = 0.0
    evidence: tuple[Evidence, ...] = ()
    verdicts: tuple[Verdict, ...] = ()
    suspects: tuple[Suspect, ...] = ()
    store_era: int = 0
    evacuations: Evacuations | None = None
    accepts_compressed: bool = False

    @property
    def sort_key(self):
        """The key by which reports of a node are sorted, latest last."""
        return (self.incarnation, self.sequence)

    @property
    def fleet_part(self):
        """The store's era, evacuations and verdicts, without their times.

        All nodes have the same, so a few nodes of each availability
        zone pass them on to the others.
        """
        return (
            self.store_era,
            self.evacuations,
            tuple(
                dataclasses.replace(verdict, elapsed_ms=0)
                for verdict in self.verdicts
            ),
        )

    @property
    def own_part(self):
        """What only this node can tell, without what changes often."""
        return dataclasses.replace(
            self,
            sequence=0,
            load=Load(),
            store_reachable=False,
            generation=0,
            evidence=(),
            verdicts=(),
            store_era=0,
            evacuations=None,
        )

    @property
    def stable_part(self):
        """The report without the fields that change often.

        If it changes, the nodes of the zone are sent the whole report. The
        generation changes more often and has a message of its own.
        """
        return (self.own_part, self.store_reachable, self.fleet_part)

    @property
    def without_evidence(self):
        """The report as other zones get it, see `ZoneSummary`."""
        return dataclasses.replace(self, evidence=())


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """The report of a node, for nodes that have no link to it."""

    report: Report


@dataclasses.dataclass(frozen=True, slots=True)
class BusyVersion:
    """The calls at all targets of one version in an availability zone.

    :param calls: calls that run there or wait at the nodes beside them
    """

    version: str
    calls: int


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneSummary:
    """The evidence on one service of all nodes of an availability zone.

    :param collector: name of the node that made the sums
    :param incarnation: number that rises with each start of the collector
    :param sequence: number that rises with each summary of an incarnation
    """

    zone: str
    service: str
    collector: str
    incarnation: int
    sequence: int
    evidence: tuple[Evidence, ...] = ()
    busy: tuple[BusyVersion, ...] = ()

    @property
    def sort_key(self):
        """The key by which summaries of a collector are sorted."""
        return (self.incarnation, self.sequence)


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationUpdate:
    """The sender acts on another configuration and is else unchanged."""

    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """The first frame on a link, from the node that opened it.

    :param connection: number of the connection, which rises with each one
        that the sender's process opens; 0 from a node without numbers
    """

    report: Report
    connection: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call for the target beside the receiver.

    :param version: only version that may run the call, empty for any
    :param instance: only instance that may run the call
    :param headers: header lines for the target, without the hop-by-hop
        headers
    :param remaining_ms: time until the call's deadline, in milliseconds
    :param objective_remaining_ms: time left of the latency objective, in
        milliseconds; negative once it is missed
    :param is_nested: whether a target that runs another call waits for it
    :param is_retry: whether an earlier attempt may have reached a target
    :param is_client_retry: whether the client was told to retry later and
        has done so
    :param remaining_bytes: bytes of the body that follow in parts
    :param expected_ms: time that calls of the route take, in milliseconds,
        from the sender's experience with all targets; 0 if it has none
    :param organisation: organisation whose key the client sent, empty for
        none
    :param holds_body: whether the sender keeps the body until it is asked for
        it with `SendBody`
    :param is_probe: whether to refuse the call rather than let it wait, see
        `probing`
    """

    id: int
    service: str
    version: str
    instance: str
    method: str
    url: bytes
    headers: bytes
    remaining_ms: int
    objective_remaining_ms: int
    priority: int
    route: str
    request_id: str
    is_idempotent: bool
    is_nested: bool = False
    is_retry: bool = False
    is_client_retry: bool = False
    body: bytes = b''
    remaining_bytes: int = 0
    expected_ms: float = 0.0
    organisation: str = ''
    holds_body: bool = False
    is_probe: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A further part of the body of a call or of its result."""

    id: int
    body: bytes
    is_last: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """The sender no longer waits for a call."""

    id: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendBody:
    """The receiver of a call asks for the body that the sender holds."""

    id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """The sender asks for the result of a call that has not started yet.

    A call that has started goes on.
    """

    id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """The sender asks what became of calls on an earlier connection.

    The receiver handles no further frames of that connection.

    :param connection: number of the earlier connection, see `Hello`
    :param incarnation: number of the receiver's process start that the
        earlier connection led to
    :param ids: calls whose results the sender still awaits
    """

    connection: int
    incarnation: int
    ids: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Resumed:
    """The answer to a `Resume`.

    The outcome of a call that was asked for and is not named is unknown.

    :param connection: number of the earlier connection
    :param not_started: calls that have not run and never will
    :param kept: calls whose results follow on this connection
    """

    connection: int
    not_started: tuple[int, ...] = ()
    kept: tuple[int, ...] = ()


@dataclasses.dataclass(slots=True)
class Result:
    """The result of a call.

    :param code: reason why there is no response of a target, empty if there
        is one
    :param retry_after_ms: time until a slot is expected to be free, in
        milliseconds; 0 if that is not known
    :param status: HTTP status of the response
    :param reason: HTTP reason phrase of the response
    :param headers: header lines of the response, without the hop-by-hop
        headers
    :param remaining_bytes: bytes of the body that follow in parts
    :param load: load of the target; None if the sender made the result itself
    :param work_ms: time from sending the call to the target until its
        response, in milliseconds
    """

    id: int
    outcome: Outcome
    code: str = ''
    retry_after_ms: int = 0
    status: int = 0
    reason: bytes = b''
    headers: bytes = b''
    body: bytes = b''
    remaining_bytes: int = 0
    load: Load | None = Load()
    work_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """A request to show that the link still carries frames."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """The answer to a ping, with the same number."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class FetchConfiguration:
    """A request for a configuration of at least the given generation."""

    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A whole configuration.

    :param content: the configuration as the operator wrote it, compressed
        with zlib
    """

    generation: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessRequest:
    """A request for the age of the receiver's freshness proof."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessReply:
    """The answer to a `FreshnessRequest`, with the same number.

    :param generation: generation that the sender acts on
    :param age_ms: time since the generation is known to have been the
        newest, in milliseconds
    """

    number: int
    generation: int
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaUse:
    """What a node reports of one organisation's calls.

    :param used: calls started and not yet acknowledged as counted
    :param wanted: calls that wait for a token
    """

    organisation: str
    used: int = 0
    wanted: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaRequest:
    """Delegates the sender's share of the quotas and asks for tokens.

    :param number: rises with each request of the sender
    :param node_count: nodes of the fleet as the sender knows them
    :param slots: bit set of the slots of organisations that are delegated to
        the receiver; see `quota_fleet.slot_of`
    :param sent_ms: time of sending by the sender's monotonic clock, in
        milliseconds modulo 2**32
    :param acknowledged: number of the latest reply that the sender has
        received from the receiver, 0 for none
    """

    number: int
    node_count: int
    uses: tuple[QuotaUse, ...] = ()
    slots: int = 0
    sent_ms: int = 0
    acknowledged: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaGrant:
    """What a coordinator grants of one organisation's quota.

    :param granted: calls that the node may start
    :param delay_ms: time until a token is expected, in milliseconds; 0 if one
        was granted
    :param is_relaxed: whether the granted calls are counted when they are
        reported as used, and not yet
    """

    organisation: str
    granted: int = 0
    delay_ms: int = 0
    is_relaxed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaReply:
    """The answer to a `QuotaRequest`, with the same number."""

    number: int
    grants: tuple[QuotaGrant, ...] = ()


Message = (
    Hello
    | Report
    | Relay
    | ZoneSummary
    | Load
    | GenerationUpdate
    | Call
    | Part
    | Cancel
    | SendBody
    | Withdraw
    | Resume
    | Resumed
    | Result
    | Ping
    | Pong
    | FetchConfiguration
    | Configuration
    | FreshnessRequest
    | FreshnessReply
    | QuotaRequest
    | QuotaReply
)
