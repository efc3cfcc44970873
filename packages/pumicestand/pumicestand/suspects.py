"""Detection, over the fleet, of requests that crash the targets running them.

The node beside a target counts the crashes during which each request ran and
sends the counts to the other nodes with its reports. A request that has
crashed targets often enough, and that no target has answered, is refused by
all nodes until its crashes have expired.

A node that starts anew knows nothing of earlier crashes. The others keep what
it has reported before, count it further, and tell it.
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

    def exceeds(self, other):
        """Return whether it has crashes or answers that another lacks."""
        return self.crashes > other.crashes or self.answers > other.answers

    def merged(self, other):
        """Return the `_Count` with the most of both."""
        return _Count(
            max(self.crashes, other.crashes),
            max(self.answers, other.answers),
            max(self.expires_at, other.expires_at),
        )


@dataclasses.dataclass(slots=True)
class _Reporter:
    """What another node has reported.

    :param incarnation: number of its process start
    :param counts: fingerprint to `_Count` of its last report
    :param earlier: the same of earlier starts, until they expire
    """

    incarnation: int = 0
    counts: dict = dataclasses.field(default_factory=dict)
    earlier: dict = dataclasses.field(default_factory=dict)

    def count(self, fingerprint):
        """Return the `_Count` of a request over all starts."""
        latest = self.counts.get(fingerprint, _NO_COUNT)
        return latest.merged(self.earlier.get(fingerprint, _NO_COUNT))

    def start_anew(self, incarnation):
        """Keep what was reported, as the process has started anew."""
        self.incarnation = incarnation
        self.earlier = {
            fingerprint: self.count(fingerprint)
            for fingerprint in self.counts.keys() | self.earlier.keys()
        }


_NO_COUNT = _Count()


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

        Expired ones are removed, but an answer is kept for as long as crashes
        at other targets count: they may have expired later.
        """
        for fingerprint in [
            key for key, count in self._own.items() if count.expires_at <= now
        ]:
            count = self._own[fingerprint]
            if count.answers and self._reported_count(fingerprint).crashes:
                count.crashes = 0
            else:
                del self._own[fingerprint]
        return tuple(
            hop_messages.Suspect(fingerprint, count.crashes, count.answers)
            for fingerprint, count in self._own.items()
        )

    def set_reported(self, node_name, suspects, incarnation=0, now=0.0):
        """Replace the suspects that another node has reported.

        Those of an earlier start of the node are kept until they expire.

        :param suspects: all `hop_messages.Suspect`s of that node
        :param incarnation: number of the start of its process
        :param now: monotonic seconds
        """
        reporter = self._reported.get(node_name)
        if reporter is None:
            if not suspects:
                return
            reporter = self._reported[node_name] = _Reporter(incarnation)
        if incarnation != reporter.incarnation:
            reporter.start_anew(incarnation)
        expires_at = now + SUSPECT_RETENTION_S
        reporter.counts = {
            suspect.fingerprint: _Count(
                suspect.crashes, suspect.answers, expires_at
            )
            for suspect in suspects
        }
        reporter.earlier = {
            fingerprint: count
            for fingerprint, count in reporter.earlier.items()
            if now < count.expires_at
        }
        if not reporter.counts and not reporter.earlier:
            del self._reported[node_name]

    def forget_reported(self, node_name):
        """Forget what a node has reported that is gone."""
        self._reported.pop(node_name, None)

    def lost_by(self, node_name):
        """Return the `hop_messages.Suspect`s that a node has lost.

        It has reported them before its process started anew.
        """
        reporter = self._reported.get(node_name)
        if reporter is None:
            return ()
        return tuple(
            hop_messages.Suspect(fingerprint, count.crashes, count.answers)
            for fingerprint, count in reporter.earlier.items()
            if count.exceeds(reporter.counts.get(fingerprint, _NO_COUNT))
        )

    def restore(self, suspects, now):
        """Take over what this node has counted before its process started.

        :param suspects: `hop_messages.Suspect`s
        :param now: monotonic seconds
        :returns: whether any of them was not known
        """
        is_changed = False
        for suspect in suspects[:MAX_SUSPECTS]:
            own = self._own.get(suspect.fingerprint, _NO_COUNT)
            earlier = _Count(
                suspect.crashes, suspect.answers, now + SUSPECT_RETENTION_S
            )
            if earlier.exceeds(own):
                self._own[suspect.fingerprint] = earlier.merged(own)
                is_changed = True
        return is_changed

    def is_refused(self, fingerprint):
        """Return whether a request must not be run."""
        crashes, answers = self._total(fingerprint)
        return crashes >= CRASHES_BEFORE_REFUSAL and not answers

    def refused_count(self):
        """Return how many requests must not be run now."""
        fingerprints = set(self._own)
        for reporter in self._reported.values():
            fingerprints.update(reporter.counts, reporter.earlier)
        return sum(
            self.is_refused(fingerprint) for fingerprint in fingerprints
        )

    def _total(self, fingerprint):
        """Return (crashes, answers) of a request over the fleet."""
        own = self._own.get(fingerprint, _NO_COUNT)
        others = self._reported_count(fingerprint)
        return own.crashes + others.crashes, own.answers + others.answers

    def _reported_count(self, fingerprint):
        """Return the `_Count` of a request at the targets of other nodes."""
        total = _Count()
        for reporter in self._reported.values():
            count = reporter.count(fingerprint)
            total.crashes += count.crashes
            total.answers += count.answers
        return total
