"""Which organisations use more than their share of a target's time.

The load that this answers is an organisation that suddenly sends several
times its usual calls: they must not take the room of the others. The share of
an organisation is what it usually uses, and at least an equal part. Usage
decays, so an organisation that is served less falls below its share again
and is never starved.
"""

import dataclasses
import math

# Time constants of the recent and of the usual usage, in seconds. A burst
# lasts some seconds; the usual usage must not follow it.
RECENT_TIME_S = 2.0
USUAL_TIME_S = 60.0
# Multiple of its share from which an organisation is above it. A target runs
# few calls of one organisation in the recent time, so their number varies.
SHARE_TOLERANCE = 1.5
# Part of the usage above the share that counts as usual: a lasting change is
# learned, a burst is not.
EXCESS_WEIGHT = 0.1
# Least time between two decays of all usages.
DECAY_PERIOD_S = 0.1
# Usage below which an organisation is forgotten, in slot seconds.
MIN_USAGE_S = 0.001


@dataclasses.dataclass(slots=True)
class _Usage:
    """Decayed slot seconds of an organisation."""

    recent_s: float = 0.0
    usual_s: float = 0.0


class FairShares:
    """The usage of a target by organisation."""

    def __init__(self):
        self._usages = {}
        self._total = _Usage()
        self._updated_at = 0.0

    def record_start(self, organisation, work_s, now):
        """Count a call that starts.

        :param organisation: its organisation, empty for none
        :param work_s: time that it is expected to take, in seconds
        :param now: monotonic seconds
        """
        if not organisation:
            return
        self._decay(now)
        usage = self._usages.setdefault(organisation, _Usage())
        weight = RECENT_TIME_S / USUAL_TIME_S
        if self.is_above_share(organisation):
            weight *= EXCESS_WEIGHT
        for counted in (usage, self._total):
            counted.recent_s += work_s
            counted.usual_s += work_s * weight

    def is_above_share(self, organisation):
        """Return whether an organisation has used more than its share.

        :param organisation: empty for none, which is never above
        """
        usage = self._usages.get(organisation)
        if (
            usage is None
            or len(self._usages) < 2
            or usage.recent_s < MIN_USAGE_S
        ):
            return False
        recent_share = usage.recent_s / self._total.recent_s
        usual_share = usage.usual_s / self._total.usual_s
        share = max(1 / len(self._usages), usual_share)
        return recent_share > SHARE_TOLERANCE * share

    def _decay(self, now):
        elapsed_s = max(0.0, now - self._updated_at)
        if elapsed_s < DECAY_PERIOD_S:
            return
        self._updated_at = now
        recent = math.exp(-elapsed_s / RECENT_TIME_S)
        usual = math.exp(-elapsed_s / USUAL_TIME_S)
        self._total = _Usage()
        for name, usage in list(self._usages.items()):
            usage.recent_s *= recent
            usage.usual_s *= usual
            if max(usage.recent_s, usage.usual_s) < MIN_USAGE_S:
                del self._usages[name]
                continue
            self._total.recent_s += usage.recent_s
            self._total.usual_s += usage.usual_s
