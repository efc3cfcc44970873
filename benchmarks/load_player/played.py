"""The calls, runs and outcomes of the load player, as data classes."""

import dataclasses
import enum

from benchmarks.load_player import deployments
from pumicestand import hop_messages


class Answer(enum.Enum):
    """What the near node tells the caller."""

    SUCCESS = 'success'
    REFUSED = 'refused'
    FAILED = 'failed'


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A call at a target, from its start to its end.

    :param caller: the run that made the call, None for a client's
    :param work_s: time for which the target worked
    :param held_s: time for which the run waited for nested calls
    :param is_delivered: whether its response reached its caller in time
    """

    kind: deployments.Kind
    caller: 'Run | None'
    work_s: float = 0.0
    held_s: float = 0.0
    is_delivered: bool = False

    @property
    def is_useful(self):
        """Whether a client got the response that it was run for."""
        return self.is_delivered and (
            self.caller is None or self.caller.is_useful
        )


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """The state of one call at the node near its caller.

    :param arrived_at: time of the client's first attempt
    :param started_at: time at which this attempt arrived
    :param deadline: time until which the node answers
    :param on_answer: called with an `Answer` and the seconds after which to
        retry
    """

    kind: deployments.Kind
    organisation: str
    caller: Run | None
    started_at: float
    deadline: float
    objective_at: float
    is_client_retry: bool
    on_answer: object
    tried_nodes: set = dataclasses.field(default_factory=set)
    placements: int = 0
    overloaded_placements: int = 0
    probes: int = 0
    busy_nodes: set = dataclasses.field(default_factory=set)
    sends: int = 0
    may_have_run: bool = False
    has_failed: bool = False
    retry_after_s: float = 0.0
    is_over: bool = False

    @property
    def is_nested(self):
        """Whether a target makes the call while it runs another one."""
        return self.caller is not None


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A call as it is sent to the node beside a target.

    :param is_probe: see `pumicestand.probing`
    :param reply: called with the `Result`
    """

    call: Call
    remaining_s: float
    objective_remaining_s: float
    expected_ms: float
    is_probe: bool
    reply: object


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What the node beside a target answers.

    :param run: the `Run`, None if the call has not run
    """

    outcome: hop_messages.Outcome
    load: hop_messages.Load
    code: str = ''
    is_success: bool = False
    retry_after_s: float = 0.0
    work_ms: float = 0.0
    run: Run | None = None
