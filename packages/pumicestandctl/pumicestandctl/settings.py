"""The settings of `pumicestandctl`."""

from pumicestand import schema
from pumicestand import settings


class CtlSettings(settings.Model):
    """All settings of the command with their defaults."""

    store: str = 'http://127.0.0.1:7000'
    trial: schema.Name = 'trial'
    production: schema.Name = 'production'
    nodes: list[str] = []
