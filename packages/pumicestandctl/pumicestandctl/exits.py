"""Exit codes of `pumicestandctl`, documented in docs/operations/ctl.md."""

import enum

from pumicestand import errors


class ExitCode(enum.IntEnum):
    """Exit codes that calling programs can rely on."""

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
    errors.Code.SETTINGS: ExitCode.USAGE,
    errors.Code.CONFLICT: ExitCode.CONFLICT,
    errors.Code.STORE_UNAVAILABLE: ExitCode.STORE_UNAVAILABLE,
    errors.Code.STORE_ANSWER_LOST: ExitCode.STORE_UNAVAILABLE,
    errors.Code.STORE_REJECTED: ExitCode.STORE_UNAVAILABLE,
    errors.Code.NOT_IN_FORCE_ON_TRIAL: ExitCode.NOT_ON_TRIAL,
    errors.Code.MOVE_TAKEN_BACK: ExitCode.TAKEN_BACK,
    errors.Code.WAIT_TIMEOUT: ExitCode.TIMEOUT,
    errors.Code.NO_NODES: ExitCode.NO_NODES,
    errors.Code.PEER_UNAVAILABLE: ExitCode.NO_NODES,
}


def exit_code_for(error):
    """Return the `ExitCode` for an `errors.PumicestandError`."""
    return _BY_CODE.get(error.code, ExitCode.REFUSED)
