"""What two nodes say to each other on a link, as data classes.

`hop` turns them into frames and back.
"""

import dataclasses
import enum

from pumicestand import messages


class Outcome(enum.IntEnum):
    """What became of a call that was handed to another node.

    The order matters: only the first two mean that the call has not run.
    """

    NOT_HANDED_ON = 0
    NOT_RUN = 1
    UNKNOWN = 2
    ANSWERED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The target beside a node, as it announced itself.

    :param instance: names one start of the target, mostly
    :param started_ms: milliseconds since the epoch at its start
    """

    instance: str
    service: str
    version: str
    host: str
    port: int
    slots: int
    state: messages.TargetState = messages.TargetState.SERVING
    started_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """How busy the target beside a node is.

    It is a message of its own while nothing else of a report has changed.

    :param running: calls that run at the target
    :param queued: calls that wait at its node
    :param slots: calls that it runs at once; 0 if it takes none now
    :param work_ms: typical time of one call at the target
    :param failure_ratio: fraction of its latest answers that were failures
    :param slowness: how long calls take there, as a multiple of how long
        their routes' calls take everywhere
    :param link_busy: fraction of the VM's network link in use
    """

    running: int = 0
    queued: int = 0
    slots: int = 0
    work_ms: float = 0.0
    failure_ratio: float = 0.0
    slowness: float = 1.0
    link_busy: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What a node counted of its target on one route; only grows.

    :param timed: calls that were answered while the target was warm
    :param work_ms: sum over the timed calls
    """

    route: str
    version: str
    calls: int = 0
    errors: int = 0
    timed: int = 0
    work_ms: float = 0.0


class RolloutState(enum.IntEnum):
    """How far a roll-out is; a higher one wins."""

    RUNNING = 0
    COMPLETE = 1
    ROLLED_BACK = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What a node holds of a roll-out.

    :param state: what it acts on
    :param duration_ms: that the operator allows
    :param elapsed_ms: since the order was first heard of
    :param order_id: equal for all revisions of one order
    :param revision: of the store's object
    :param stored_state: what the store says of it, None if nothing yet
    """

    service: str
    version: str
    state: RolloutState
    duration_ms: int = 0
    elapsed_ms: int = 0
    order_id: int = 0
    revision: int = 0
    stored_state: RolloutState | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A request that was part of crashes of the target beside a node.

    :param fingerprint: its fingerprint
    :param crashes: of that target
    :param answers: that the target gave to it all the same
    """

    fingerprint: int
    crashes: int
    answers: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """All that a node says of itself; a later one replaces it.

    :param incarnation: rises with each start of the process
    :param sequence: rises with each report of one incarnation
    :param generation: of the configuration that it acts on, 0 for none
    :param link_rate: what the VM's network link carries, in bytes per
        second; 0 if that is not known
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

    @property
    def sort_key(self):
        """What decides between two reports of one node."""
        return (self.incarnation, self.sequence)

    @property
    def stable_part(self):
        """All that others have to hear of at once when it changes.

        The generation changes more often and is told alone.
        """
        verdicts = tuple(
            dataclasses.replace(verdict, elapsed_ms=0)
            for verdict in self.verdicts
        )
        return dataclasses.replace(
            self,
            sequence=0,
            load=Load(),
            generation=0,
            evidence=(),
            verdicts=verdicts,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationUpdate:
    """The sender acts on another configuration; all else is as it was."""

    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """The first frame on a link, from the node that opened it."""

    report: Report


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call for the target beside the receiver.

    :param version: the only version that may run it, empty for any
    :param instance: the only instance that may run it
    :param headers: lines of the head for the target, without those of one
        connection
    :param remaining_ms: time until the call is given up, from now
    :param objective_ms: time left until its answer is late
    :param is_nested: a target that runs another call waits for it
    :param is_retry: an earlier send of it may have reached a target
    :param is_client_retry: the client was told to come back and has
    :param remaining_bytes: bytes of the body that follow in parts
    :param expected_ms: how long calls of its route take, by the sender's
        experience with all targets; 0 if it has none
    """

    id: int
    service: str
    version: str
    instance: str
    method: str
    url: bytes
    headers: bytes
    remaining_ms: int
    objective_ms: int
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


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """More of the body of a call or of its result."""

    id: int
    body: bytes
    is_last: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """The sender no longer waits for a call."""

    id: int


@dataclasses.dataclass(slots=True)
class Result:
    """What became of a call.

    :param code: why there is no answer of a target
    :param retry_after_ms: when room is expected, 0 if that is not known
    :param headers: lines of the answer's head, without those of one
        connection
    :param remaining_bytes: bytes of the body that follow in parts
    :param work_ms: time from the send to the target until its answer
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
    load: Load = Load()
    work_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks whether the link still carries frames."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Answers a ping."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class FetchConfiguration:
    """Asks for a configuration of at least a generation."""

    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A whole configuration.

    :param content: as the operator wrote it, compressed by zlib
    """

    generation: int
    content: bytes


Message = (
    Hello
    | Report
    | Load
    | GenerationUpdate
    | Call
    | Part
    | Cancel
    | Result
    | Ping
    | Pong
    | FetchConfiguration
    | Configuration
)
