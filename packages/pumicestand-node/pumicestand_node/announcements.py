"""Validation of the announcements that targets send to their node."""

import typing

import pydantic

from pumicestand import messages
from pumicestand import schema
from pumicestand import target_states

TARGET_STATES = {
    'serving': target_states.TargetState.SERVING,
    'draining': target_states.TargetState.DRAINING,
    'gone': target_states.TargetState.GONE,
}


class Announcement(pydantic.BaseModel):
    """A target's announcement of itself, sent every one to two seconds.

    :param host: host at which the target accepts calls
    :param resources: names of the resources that the target has
    :param slots: number of calls that the target runs at the same time
    :param connections: number of connections that the target accepts
    """

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
        """Return the announced `messages.Target`."""
        return messages.Target(
            service=self.service,
            version=self.version,
            host=self.host,
            port=self.port,
            resources=tuple(self.resources),
            slots=self.slots,
            connections=self.connections,
            state=TARGET_STATES[self.state],
        )
