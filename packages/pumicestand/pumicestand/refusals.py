"""The responses of a node to calls for which it has no target's response."""

import dataclasses
import enum

OUTCOME_HEADER = 'Pumicestand-Outcome'
CODE_HEADER = 'Pumicestand-Code'
DEADLINE_HEADER = 'Pumicestand-Deadline-Ms'
ATTEMPT_HEADER = 'Pumicestand-Attempt'
EXCHANGE_HEADER = 'Pumicestand-Exchange'


class Outcome(enum.StrEnum):
    """What became of a call without a complete response of a target."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    BAD_REQUEST = 'bad-request'


class CallCode(enum.StrEnum):
    """Why a call got no response of a target."""

    NO_DOCUMENT = 'no-document'
    NO_ROUTE = 'no-route'
    UNKNOWN_KEY = 'unknown-key'
    NO_FRESH_PROOF = 'no-fresh-proof'
    UNKNOWN_PARENT = 'unknown-parent'
    NO_RESOURCE = 'no-resource'
    NO_TARGET = 'no-target'
    OVERLOADED = 'overloaded'
    OVER_QUOTA = 'over-quota'
    DEADLINE_BEFORE_RUN = 'deadline-before-run'
    STOPPING = 'stopping'
    QUARANTINED = 'quarantined'
    CONNECT_FAILED = 'connect-failed'
    TARGET_REFUSED = 'target-refused'
    DEADLINE = 'deadline'
    ANSWER_LOST = 'answer-lost'
    ANSWER_INVALID = 'answer-invalid'
    UPLOAD_LOST = 'upload-lost'
    MALFORMED = 'malformed'
    ABSOLUTE_URL = 'absolute-url'
    HEADERS_TOO_LARGE = 'headers-too-large'
    BODY_TOO_LARGE = 'body-too-large'
    NO_HOST = 'no-host'
    NOT_SUPPORTED = 'not-supported'


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A final response of the node itself.

    :param status: HTTP status
    :param detail: explanation for the client's log
    :param retry_after: seconds after which the client may retry, possibly
        fractional; None if it should not
    """

    status: int
    outcome: Outcome
    code: CallCode
    detail: str
    retry_after: float | None = None


def not_run(code, detail, retry_after=1, status=503):
    """Return the refusal of a call that has certainly not run."""
    return Refusal(status, Outcome.NOT_RUN, code, detail, retry_after)


def unknown(code, detail, status=502):
    """Return the response to a call that may have run."""
    return Refusal(status, Outcome.UNKNOWN, code, detail)


def bad_request(code, detail, status=400):
    """Return the response to a request that violates the protocol."""
    return Refusal(status, Outcome.BAD_REQUEST, code, detail)
