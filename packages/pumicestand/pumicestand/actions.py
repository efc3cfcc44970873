"""Actions that controllers return and the I/O code carries out."""

import dataclasses

from pumicestand import messages


@dataclasses.dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send one frame as a datagram, which may be lost.

    :param address: (host, port) of the receiver
    """

    address: tuple[str, int]
    frame: messages.Frame


@dataclasses.dataclass(frozen=True, slots=True)
class SendRequest:
    """Send a frame over a stream and add the response to the inbox.

    :param peer: name of the member, or its address as text
    :param address: (host, port) of the member
    :param timeout: time limit of the whole exchange in seconds
    """

    peer: str
    address: tuple[str, int]
    frame: messages.Frame
    timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadStore:
    """Read the accepted document and the seeds from the store.

    :param delay: seconds to wait first, so that the nodes do not all read at
        the same time
    """

    delay: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartWatch:
    """Start watching the store's accepted document."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopWatch:
    """Stop watching the store's accepted document."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteStore:
    """Write a small object that only the nodes of this system write.

    The object is read first, and left as it is if its rank is equal or
    higher.

    :param key: the object's key in the store
    :param value: JSON text of an object, to which the rank is added
    :param rank: number that must rise with each write, None to overwrite the
        object in any case
    """

    key: str
    value: str
    rank: int | None


Action = (
    SendDatagram
    | SendRequest
    | ReadStore
    | StartWatch
    | StopWatch
    | WriteStore
)
