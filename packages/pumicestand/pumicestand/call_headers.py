"""The names of the headers that carry a call's own facts.

They are the platform's choice; its adapter hands them in.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CallHeaders:
    """Header names, in lower case, as bytes.

    :param request_id: names one attempt of a client
    :param deadline_ms: how many milliseconds the client still waits
    :param expected_instance: the only instance that may run the call
    :param not_run: present if the target did not run the call
    :param caller_service: the service on whose VM the call began
    :param instance: names the instance that answers
    :param stamp: the signature under a target's answer
    """

    request_id: bytes
    deadline_ms: bytes
    expected_instance: bytes
    not_run: bytes
    caller_service: bytes
    instance: bytes
    stamp: bytes
