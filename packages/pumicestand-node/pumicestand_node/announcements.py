"""What targets tell the node beside them, checked at the border."""

import typing

import pydantic

from pumicestand import messages
from pumicestand import schema

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
