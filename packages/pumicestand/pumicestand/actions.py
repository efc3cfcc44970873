"""What controllers ask the shells to do."""

import dataclasses

from pumicestand import messages


@dataclasses.dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send one frame, unreliably.

    :param address: (host, port)
    """

    address: tuple[str, int]
    frame: messages.Frame


@dataclasses.dataclass(frozen=True, slots=True)
class SendRequest:
    """Send a frame over a stream and put the answer into the inbox.

    :param peer: name of the member, or the address as text
    :param timeout: seconds
    """

    peer: str
    address: tuple[str, int]
    frame: messages.Frame
    timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadStore:
    """Read the accepted document and the seeds from the store.

    :param delay: seconds to wait first, so that a herd spreads out
    """

    delay: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartWatch:
    """Keep a watch on the store's accepted document."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopWatch:
    """End the watch on the store's accepted document."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteStore:
    """Write a small object that only this system's nodes write.

    The shell reads the object first and leaves it if it holds an equal or
    higher rank.

    :param key: the object's key
    :param value: JSON text of an object; the shell adds the rank to it
    :param rank: what must rise from write to write, None to overwrite
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
