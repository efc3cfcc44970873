"""What callers got and what the targets' time was spent on."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class KindCounts:
    """The outcomes of the client calls of a kind.

    :param late: answered after the objective, before the deadline
    :param refused: told that the call has not run, in the last attempt
    :param failed: answered with a failure or with an unknown outcome
    :param attempts: first attempts and retries of clients
    :param held_s: seconds from the last attempts that were refused to their
        refusals
    :param possible_value: value if all had been in their objective
    """

    asked: int = 0
    in_objective: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    attempts: int = 0
    held_s: float = 0.0
    value: float = 0.0
    possible_value: float = 0.0

    def add(self, other):
        """Add the counts of another."""
        for field in dataclasses.fields(self):
            setattr(
                self,
                field.name,
                getattr(self, field.name) + getattr(other, field.name),
            )

    def summary(self):
        """Return what is printed."""
        return {
            'asked': self.asked,
            'in_objective': _share(self.in_objective, self.asked),
            'late': _share(self.late, self.asked),
            'refused': _share(self.refused, self.asked),
            'failed': _share(self.failed, self.asked),
            'attempts': _share(self.attempts, self.asked),
            'held_ms': _share(self.held_s * 1000, self.refused),
            'value_share': _share(self.value, self.possible_value),
        }


def _share(part, whole):
    return round(part / whole, 4) if whole else 0.0


class Figures:
    """Collects the figures of a day; counts are `KindCounts`."""

    def __init__(self):
        self.by_kind = collections.defaultdict(KindCounts)
        self.by_organisation = collections.defaultdict(KindCounts)

    def record(self, call, outcome):
        """Count the outcome of a client's call.

        :param call: the `arrivals.Arrival`
        :param outcome: `KindCounts` of this call alone
        """
        self.by_kind[call.kind.name].add(outcome)
        if call.organisation:
            self.by_organisation[call.organisation].add(outcome)

    def total(self):
        """Return the `KindCounts` of all kinds."""
        total = KindCounts()
        for counts in self.by_kind.values():
            total.add(counts)
        return total


def slot_time_shares(targets, slots, duration_s):
    """Return the shares of the targets' slot time, for printing.

    :param targets: the `targets.SimulatedTarget`s of a service
    """
    runs = [run for target in targets for run in target.runs]
    whole_s = len(targets) * slots * duration_s
    useful_s = sum(run.work_s for run in runs if run.is_useful)
    work_s = sum(run.work_s for run in runs)
    held_s = sum(run.held_s for run in runs)
    return {
        'useful': _share(useful_s, whole_s),
        'wasted': _share(work_s - useful_s, whole_s),
        'held': _share(held_s, whole_s),
        'idle': _share(max(0.0, whole_s - work_s - held_s), whole_s),
        'runs': len(runs),
        'wasted_runs': sum(not run.is_useful for run in runs),
    }
