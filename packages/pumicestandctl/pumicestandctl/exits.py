"""Exit codes of `pumicestandctl`, documented in docs/operations/ctl.md."""

import enum

from pumicestand import errors


class Exit(enum.IntEnum):
    """What a program that calls the command can tell apart."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    STORE_UNAVAILABLE = 4
    NOT_ON_TRIAL = 5
    TAKEN_BACK = 6
    TIMEOUT = 7
    NO_NODES = 8


_BY_CODE = {
    errors.Code.SETTINGS: Exit.USAGE,
    errors.Code.CONFLICT: Exit.CONFLICT,
    errors.Code.STORE_UNAVAILABLE: Exit.STORE_UNAVAILABLE,
    errors.Code.STORE_ANSWER_LOST: Exit.STORE_UNAVAILABLE,
    errors.Code.STORE_REJECTED: Exit.STORE_UNAVAILABLE,
    errors.Code.NOT_IN_FORCE_ON_TRIAL: Exit.NOT_ON_TRIAL,
    errors.Code.MOVE_TAKEN_BACK: Exit.TAKEN_BACK,
    errors.Code.WAIT_TIMEOUT: Exit.TIMEOUT,
    errors.Code.NO_NODES: Exit.NO_NODES,
    errors.Code.PEER_UNAVAILABLE: Exit.NO_NODES,
}


def exit_of(error):
    """Return the `Exit` for a `errors.PumicestandError`."""
    return _BY_CODE.get(error.code, Exit.REFUSED)
