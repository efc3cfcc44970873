"""The names of the HTTP headers that describe a call.

The platform defines them; its adapter passes them to the node.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CallHeaders:
    """Header names in lower case, as bytes.

    :param request_id: identifies one attempt of a client
    :param deadline_ms: time that the client still waits, in milliseconds
    :param expected_instance: the only instance that may run the call
    :param not_run: present if the target did not run the call
    :param caller_service: service on whose VM the call was made
    :param instance: the instance that responds
    :param stamp: signature of a target's response
    :param limit: calls a second that a target takes from all nodes together,
        as a decimal number
    :param leaving: present if the target is about to leave
    :param api_key: key of the organisation that the client belongs to
    :param organisation: name of that organisation, for the target
    :param cold_ms: time for which the target stays cold, in milliseconds
    """

    request_id: bytes
    deadline_ms: bytes
    expected_instance: bytes
    not_run: bytes
    caller_service: bytes
    instance: bytes
    stamp: bytes
    limit: bytes
    leaving: bytes
    api_key: bytes
    organisation: bytes
    cold_ms: bytes
