"""The states that a target announces."""

import enum


class TargetState(enum.IntEnum):
    """The state that a target announces."""

    SERVING = 0
    DRAINING = 1
    GONE = 2
