"""The keys of the organisations whose clients call in a soak."""

import dataclasses
import random

ORGANISATIONS = ('acme', 'globex')
PRIORITY = 1
# Share of the calls that are sent with a withdrawn key once there is one.
WITHDRAWN_SHARE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Credential:
    """A key with the name of the organisation that holds or held it."""

    organisation: str
    key: str


class KeyRing:
    """Keys of organisations: a lasting one each, and one to be withdrawn.

    :param seed: determines the choices
    """

    def __init__(self, seed):
        self._rng = random.Random(f'keys {seed}')
        self._count = 0
        self._lasting = [Credential(n, f'lasting-{n}') for n in ORGANISATIONS]
        self._passing = [self._make_credential(n) for n in ORGANISATIONS]
        self._withdrawn = []

    def _make_credential(self, organisation):
        self._count += 1
        return Credential(organisation, f'passing-{self._count}')

    @property
    def last_withdrawn(self):
        """The `Credential` that was withdrawn last, None if none was."""
        return self._withdrawn[-1] if self._withdrawn else None

    def rows(self):
        """Return (name, keys, priority) of each organisation."""
        valid = self._lasting + self._passing
        return [
            (name, [c.key for c in valid if c.organisation == name], PRIORITY)
            for name in ORGANISATIONS
        ]

    def withdraw(self):
        """Replace one organisation's key and return the withdrawn one."""
        index = self._rng.randrange(len(self._passing))
        withdrawn = self._passing[index]
        self._withdrawn.append(withdrawn)
        self._passing[index] = self._make_credential(withdrawn.organisation)
        return withdrawn.key

    def choose(self):
        """Return the `Credential` for a call, which may be withdrawn."""
        if self._withdrawn and self._rng.random() < WITHDRAWN_SHARE:
            return self._rng.choice(self._withdrawn)
        return self._rng.choice(self._lasting + self._passing)
