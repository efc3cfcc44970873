"""Recognises, over the fleet, requests that crash the targets that run them.

The node beside a target counts the crashes that each request was part of
and tells the others with its reports. A request that has crashed targets
often enough, and that no target has answered, is refused everywhere until
its crashes are long past.
"""

import dataclasses

from pumicestand import hop_messages

# Crashes from which a request is refused; with fewer, requests that ran
# beside the one at fault would be refused, too.
CRASHES_BEFORE_REFUSAL = 3
# Time for which a crash counts, in seconds.
SUSPECT_RETENTION_S = 60.0
# Time between the loss of a request's answer and the sign that the target
# had crashed: a refused connection, or a heartbeat of its next start.
CRASH_DETECTION_S = 8.0
# Requests that are kept in mind at once; the oldest go first.
MAX_LOST_REQUESTS = 200
MAX_SUSPECTS = 200


@dataclasses.dataclass(slots=True)
class _Count:
    crashes: int = 0
    answers: int = 0
    until: float = 0.0


class Suspects:
    """What this node and the others know of requests that crash targets.

    Requests are known by a fingerprint of 64 bits, see `quarantine`.
    """

    def __init__(self):
        self._lost = {}
        self._own = {}
        self._heard = {}

    @property
    def has_any(self):
        """Whether any request is suspected; asked on each call."""
        return bool(self._own or self._heard)

    def record_lost(self, mark, now):
        """Note a request that ran here and whose connection broke."""
        self._lost[mark] = now
        while len(self._lost) > MAX_LOST_REQUESTS:
            del self._lost[next(iter(self._lost))]

    def record_crash(self, now):
        """Note that the target of this VM has crashed.

        :returns: the marks that were lost with it
        """
        lost = [
            m for m, at in self._lost.items() if now - at <= CRASH_DETECTION_S
        ]
        self._lost.clear()
        for mark in lost:
            count = self._own.pop(mark, None) or _Count()
            count.crashes += 1
            count.until = now + SUSPECT_RETENTION_S
            self._own[mark] = count
        while len(self._own) > MAX_SUSPECTS:
            del self._own[next(iter(self._own))]
        return lost

    def record_answer(self, mark, now):
        """Clear a suspected request that the target has answered.

        :returns: whether that is news for the others
        """
        crashes, answers = self._total(mark)
        if not crashes or answers:
            return False
        count = self._own.setdefault(mark, _Count())
        count.answers += 1
        count.until = now + SUSPECT_RETENTION_S
        return True

    def own_suspects(self, now):
        """Return the `hop_messages.Suspect`s of this node's target."""
        for mark in [m for m, c in self._own.items() if c.until <= now]:
            del self._own[mark]
        return tuple(
            hop_messages.Suspect(mark, count.crashes, count.answers)
            for mark, count in self._own.items()
        )

    def set_reported(self, name, suspects):
        """Take in all that another node suspects now."""
        if suspects:
            self._heard[name] = suspects
        else:
            self._heard.pop(name, None)

    def is_refused(self, mark):
        """Whether a request must not be run."""
        crashes, answers = self._total(mark)
        return crashes >= CRASHES_BEFORE_REFUSAL and not answers

    def refused_count(self):
        """Return how many requests must not be run now."""
        marks = set(self._own)
        for suspects in self._heard.values():
            marks.update(suspect.fingerprint for suspect in suspects)
        return sum(self.is_refused(mark) for mark in marks)

    def _total(self, mark):
        """Return (crashes, answers) over the fleet."""
        own = self._own.get(mark) or _Count()
        crashes, answers = own.crashes, own.answers
        for suspects in self._heard.values():
            for suspect in suspects:
                if suspect.fingerprint == mark:
                    crashes += suspect.crashes
                    answers += suspect.answers
        return crashes, answers
