"""Detection, over the fleet, of requests that crash the targets running them.

The node beside a target counts the crashes during which each request ran and
sends the counts to the other nodes with its reports. A request that has
crashed targets often enough, and that no target has answered, is refused by
all nodes until its crashes have expired.
"""

import dataclasses

from pumicestand import hop_messages

# Crashes from which a request is refused. With fewer, requests that happened
# to run beside the faulty one would be refused, too.
CRASHES_BEFORE_REFUSAL = 3
# Time for which a crash counts.
SUSPECT_RETENTION_S = 60.0
# Longest time between the loss of a request's response and the detection of
# the crash, by a refused connection or a heartbeat of the restarted target.
CRASH_DETECTION_S = 8.0
# Requests that are remembered at once; the oldest are dropped first.
MAX_LOST_REQUESTS = 200
MAX_SUSPECTS = 200


@dataclasses.dataclass(slots=True)
class _Count:
    """Crashes and answers of one request at this node's target.

    :param expires_at: monotonic seconds
    """

    crashes: int = 0
    answers: int = 0
    expires_at: float = 0.0


class Suspects:
    """The requests that are suspected of crashing targets.

    It holds those of this node's target and those that other nodes report.
    A request is identified by a fingerprint of 64 bits, see `quarantine`.
    """

    def __init__(self):
        self._lost_at = {}
        self._own = {}
        self._reported = {}

    @property
    def has_any(self):
        """Whether any request is suspected; checked on each call."""
        return bool(self._own or self._reported)

    def record_lost(self, fingerprint, now):
        """Record a request whose connection broke while it ran here."""
        self._lost_at[fingerprint] = now
        while len(self._lost_at) > MAX_LOST_REQUESTS:
            del self._lost_at[next(iter(self._lost_at))]

    def record_crash(self, now):
        """Record a crash of this VM's target.

        :returns: fingerprints of the requests that were lost in it
        """
        lost = [
            fingerprint
            for fingerprint, lost_at in self._lost_at.items()
            if now - lost_at <= CRASH_DETECTION_S
        ]
        self._lost_at.clear()
        for fingerprint in lost:
            count = self._own.pop(fingerprint, None) or _Count()
            count.crashes += 1
            count.expires_at = now + SUSPECT_RETENTION_S
            self._own[fingerprint] = count
        while len(self._own) > MAX_SUSPECTS:
            del self._own[next(iter(self._own))]
        return lost

    def record_answer(self, fingerprint, now):
        """Clear a suspected request that the target has answered.

        :returns: whether the other nodes have to be told
        """
        crashes, answers = self._total(fingerprint)
        if not crashes or answers:
            return False
        count = self._own.setdefault(fingerprint, _Count())
        count.answers += 1
        count.expires_at = now + SUSPECT_RETENTION_S
        return True

    def own_suspects(self, now):
        """Return the `hop_messages.Suspect`s of this node's target.

        Expired ones are removed.
        """
        for fingerprint in [
            key for key, count in self._own.items() if count.expires_at <= now
        ]:
            del self._own[fingerprint]
        return tuple(
            hop_messages.Suspect(fingerprint, count.crashes, count.answers)
            for fingerprint, count in self._own.items()
        )

    def set_reported(self, node_name, suspects):
        """Replace the suspects that another node has reported.

        :param suspects: all `hop_messages.Suspect`s of that node
        """
        if suspects:
            self._reported[node_name] = suspects
        else:
            self._reported.pop(node_name, None)

    def is_refused(self, fingerprint):
        """Return whether a request must not be run."""
        crashes, answers = self._total(fingerprint)
        return crashes >= CRASHES_BEFORE_REFUSAL and not answers

    def refused_count(self):
        """Return how many requests must not be run now."""
        fingerprints = set(self._own)
        for suspects in self._reported.values():
            fingerprints.update(suspect.fingerprint for suspect in suspects)
        return sum(
            self.is_refused(fingerprint) for fingerprint in fingerprints
        )

    def _total(self, fingerprint):
        """Return (crashes, answers) of a request over the fleet."""
        own = self._own.get(fingerprint) or _Count()
        crashes, answers = own.crashes, own.answers
        for suspects in self._reported.values():
            for suspect in suspects:
                if suspect.fingerprint == fingerprint:
                    crashes += suspect.crashes
                    answers += suspect.answers
        return crashes, answers
