"""What targets tell the node beside them, checked at the border."""

import typing

import pydantic

from pumicestand import blackboard as blackboards
from pumicestand import events
from pumicestand import messages
from pumicestand import schema

ANNOUNCEMENT_HOLDS_S = 6.0
STATES = {
    'serving': messages.TargetState.SERVING,
    'draining': messages.TargetState.DRAINING,
    'gone': messages.TargetState.GONE,
}


class Announcement(pydantic.BaseModel):
    """A target's announcement, repeated every second or two."""

    model_config = pydantic.ConfigDict(extra='forbid')

    service: schema.Name
    version: schema.Name
    host: str = pydantic.Field(min_length=1, max_length=253)
    port: int = pydantic.Field(ge=1, le=65535)
    resources: list[schema.Name] = pydantic.Field(default=[], max_length=20)
    slots: int = pydantic.Field(default=20, ge=1, le=10_000)
    connections: int = pydantic.Field(default=100, ge=1, le=10_000)
    state: typing.Literal['serving', 'draining', 'gone'] = 'serving'

    def to_target(self):
        """Return the `messages.Target`."""
        return messages.Target(
            service=self.service,
            version=self.version,
            host=self.host,
            port=self.port,
            resources=tuple(self.resources),
            slots=self.slots,
            connections=self.connections,
            state=STATES[self.state],
        )


def take(board, announcement, now):
    """Take an announcement in; spread it if it changes anything.

    :param board: the `blackboard.Blackboard`
    :param announcement: an `Announcement`
    :param now: wall time in seconds
    """
    target = announcement.to_target()
    held = board.local_targets.get(target.key)
    if target.state == messages.TargetState.GONE:
        if held is not None:
            _remove(board, target.key, now, 'said that it is gone')
        return
    local = blackboards.LocalTarget(target, now + ANNOUNCEMENT_HOLDS_S)
    board.local_targets[target.key] = local
    if held is not None and held.target == target:
        return
    kind = events.Kind.TARGET_ANNOUNCED
    if target.state == messages.TargetState.DRAINING:
        kind = events.Kind.TARGET_DRAINING
    board.emit(
        kind,
        now,
        service=target.service,
        detail=f'{target.service} {target.version} at '
        f'{target.host}:{target.port}',
    )
    board.announce_self(now)


def _remove(board, key, now, reason):
    target = board.local_targets.pop(key).target
    board.emit(
        events.Kind.TARGET_GONE,
        now,
        service=target.service,
        detail=f'{target.host}:{target.port} {reason}',
    )
    board.announce_self(now)


class AnnouncementController:
    """Drops targets that no longer announce themselves."""

    def step(self, board, now):
        """Drop what has expired."""
        for key, local in list(board.local_targets.items()):
            if now >= local.expires_at:
                _remove(
                    board,
                    key,
                    now,
                    f'was silent for {ANNOUNCEMENT_HOLDS_S:g} s',
                )
        return []
