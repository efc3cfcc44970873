"""Decides whether a node's configuration is recent enough to trust its keys.

A freshness proof is the knowledge that the configuration was the newest one
at some moment. It comes from a linearizable read of the store, whose start is
that moment, or from another node that has such a proof. All times are those
of this node's clock; other nodes tell the age of their proof.
"""

import dataclasses
import itertools

# Age of the proof up to which keys are trusted, as a fraction of the time
# within which a withdrawn key must be refused. The rest is for clocks that
# differ in speed and for the time from the check to the send.
TRUST_RATIO = 0.9
# Period at which watchers read the store and other nodes ask for proofs, as
# a fraction of the same time.
PERIOD_RATIO = 0.2
# Largest relative deviation from the period, so that nodes do not act at once.
PERIOD_JITTER = 0.1
# Age of the proof from which a node asks more nodes, and how soon after it
# has asked before, as fractions of the same time. Of 91 simulated nodes each
# sends 2.9 requests of 44 bytes a second; with 0.4 it sends 2.2, but more
# nodes read the store themselves after a watcher has died.
OLD_RATIO = 0.3
OLD_PERIOD_RATIO = 0.08
# Age of the proof at which a node that is not a watcher reads the store
# itself, and by how much it may be delayed at random, as fractions of the same
# time. The first to read answer the others, so few of them read.
READ_RATIO = 0.5
READ_SPREAD_RATIO = 0.2
# Period at which a node without a valid proof asks, in seconds.
URGENT_PERIOD_S = 0.2
# Time that nodes have to answer before a node whose proof has become invalid
# reads the store, and its spread over nodes that start at once, in seconds.
ANSWER_WAIT_S = 0.15
ANSWER_WAIT_SPREAD_S = 1.0
# Delay between reads that gave no proof, in seconds; doubled after each.
MIN_READ_BACKOFF_S = 0.5
MAX_READ_BACKOFF_S = 4.0
# Shortest and longest time to the next plan, in seconds: the node may have
# become a watcher.
MIN_WAIT_S = 0.02
MAX_WAIT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """The nodes that can be asked for a proof.

    :param watchers: names of linked watchers of the own availability zone
    :param others: names of other linked nodes that reach the store
    """

    watchers: tuple[str, ...] = ()
    others: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Send a `hop_messages.FreshnessRequest` with a number to a node."""

    name: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadStore:
    """Read the configuration from the store, linearizably.

    The result goes to `Freshness.record_read` together with this action.

    :param started_at: monotonic seconds, not later than the read's start
    :param generation: generation in force then
    """

    started_at: float
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What to do now, and for how long to wait for the next plan.

    :param actions: `Ask` and `ReadStore` objects
    :param wait: seconds
    """

    actions: tuple[Ask | ReadStore, ...]
    wait: float


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """What a read of the store has found.

    :param generation: generation of the stored configuration
    :param era: era of the store
    """

    generation: int
    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    sent_at: float
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Proof:
    generation: int
    moment: float


class Freshness:
    """The proof of one node, and when to renew it from where.

    ``generation`` is the one in force, as last set.

    :param revocation: seconds within which a withdrawn key must be refused
    :param rng: `random.Random`
    """

    def __init__(self, revocation, rng):
        self._revocation = revocation
        self._rng = rng
        self._period = PERIOD_RATIO * revocation
        self.generation = 0
        # Era of the store in which the generation came into force, 0 if it
        # was not known.
        self._era = 0
        self._restored = None
        # Last of the unusable generations that directly follow the one in
        # force, or that one itself.
        self._last_unusable = 0
        self._moment = float('-inf')
        self._pending = None
        self._requests = {}
        self._numbers = itertools.count(1)
        self._is_watchers_turn = True
        self._ask_at = float('-inf')
        self._asked_at = float('-inf')
        self._next_read_at = float('-inf')
        self._retry_read_at = float('-inf')
        self._read_age = self._draw_read_age()
        self._backoff = MIN_READ_BACKOFF_S
        self._is_reading = False
        self._is_recovering = False
        self._planned_at = float('-inf')

    def age(self, now):
        """Return the age of the proof in seconds, None if there is none.

        :param now: monotonic seconds
        """
        if self._moment == float('-inf'):
            return None
        return now - self._moment

    def is_fresh(self, now):
        """Return whether the keys of the configuration can be trusted.

        :param now: monotonic seconds
        """
        return now - self._moment <= TRUST_RATIO * self._revocation

    def is_overdue(self, now):
        """Return whether the time of the next plan has passed.

        A timer does not run while the VM is suspended.

        :param now: monotonic seconds
        """
        return now >= self._planned_at

    def set_generation(self, generation, era):
        """Use the generation that is in force.

        A proof stays valid: the new configuration is no older than the one
        that was the newest at the proof's moment.

        :param era: era of the store as known now, 0 if it is not known
        """
        if generation <= self.generation:
            self._era = self._era or era
            return
        self.generation = generation
        self._era = era
        self._restored = None
        self._last_unusable = generation
        pending = self._pending
        if pending is not None and pending.generation <= generation:
            self._pending = None
            self._adopt(pending.moment)

    def plan(self, is_watcher, sources, now):
        """Return the `Plan` of a node whose calls need keys.

        :param is_watcher: whether this node watches the store
        :param sources: `Sources`
        :param now: monotonic seconds
        """
        is_fresh = self.is_fresh(now)
        if not is_fresh and not self._is_recovering:
            self._ask_at = now
            self._retry_read_at = now + self._answer_wait_s()
        self._is_recovering = not is_fresh
        actions = []
        times = [now + MAX_WAIT_S]
        # Watchers ask only if their reads have failed.
        if not is_watcher or now - self._moment > 2 * self._period:
            if now >= self._due_at():
                actions += self._ask(sources, now)
            times.append(self._due_at())
        if not self._is_reading:
            read_at = max(self._moment + self._read_age, self._retry_read_at)
            if is_watcher:
                read_at = min(read_at, self._next_read_at)
            if now >= read_at:
                actions.append(self._start_read(now))
            else:
                times.append(read_at)
        wait = max(MIN_WAIT_S, min(times) - now)
        self._planned_at = now + wait
        return Plan(tuple(actions), wait)

    def _answer_wait_s(self):
        """Return how long to wait for proofs of others before a read.

        A node that has just started reads at once: when all nodes start
        together, there is nobody to ask.
        """
        if self._moment == float('-inf'):
            return 0.0
        return ANSWER_WAIT_S + ANSWER_WAIT_SPREAD_S * self._rng.random()

    def _due_at(self):
        """Return the time at which to ask, in monotonic seconds."""
        old_at = self._moment + OLD_RATIO * self._revocation
        soon_at = self._asked_at + OLD_PERIOD_RATIO * self._revocation
        return min(self._ask_at, max(old_at, soon_at))

    def _ask(self, sources, now):
        """Return the requests to send now.

        The watcher and another node are asked in turn, and both and one more
        if the proof is old.
        """
        self._requests = {
            number: request
            for number, request in self._requests.items()
            if now - request.sent_at <= self._revocation
        }
        self._asked_at = now
        self._ask_at = now + (
            self._jittered_period() if self.is_fresh(now) else URGENT_PERIOD_S
        )
        watchers, others = sources.watchers, sources.others
        if now - self._moment >= OLD_RATIO * self._revocation:
            names = self._sample(watchers, 1) + self._sample(others, 2)
        elif self._is_watchers_turn:
            names = self._sample(watchers or others, 1)
        else:
            names = self._sample(others or watchers, 1)
        self._is_watchers_turn = not self._is_watchers_turn
        asks = []
        for name in names:
            number = next(self._numbers)
            self._requests[number] = _Request(now, self.generation)
            asks.append(Ask(name, number))
        return asks

    def _sample(self, names, count):
        return self._rng.sample(names, min(count, len(names)))

    def _start_read(self, now):
        self._is_reading = True
        self._next_read_at = now + self._jittered_period()
        return ReadStore(now, self.generation)

    def _jittered_period(self):
        deviation = PERIOD_JITTER * (2 * self._rng.random() - 1)
        return self._period * (1 + deviation)

    def _draw_read_age(self):
        ratio = READ_RATIO + READ_SPREAD_RATIO * self._rng.random()
        return ratio * self._revocation

    def record_reply(self, reply):
        """Use the answer to an `Ask`.

        Its proof is as old as it was for the sender when the request was
        sent, at the latest: the answer may have waited for a long time.

        :param reply: `hop_messages.FreshnessReply`
        :returns: whether the proof of this node has become newer
        """
        request = self._requests.pop(reply.number, None)
        if request is None or reply.generation < request.generation:
            return False
        moment = request.sent_at - reply.age_ms / 1000
        if reply.generation > self.generation:
            pending = self._pending
            if pending is None or moment > pending.moment:
                self._pending = _Proof(reply.generation, moment)
            return False
        return self._adopt(moment)

    def record_read(self, read, found, now):
        """Use the result of a read; a newer configuration is applied before.

        :param read: the `ReadStore`
        :param found: `Found`, None if the read has failed
        :param now: monotonic seconds
        :returns: whether the read has proved that the configuration in force
            was the newest one
        """
        self._is_reading = False
        if found is None or not self._is_proof(read, found):
            delay = self._backoff * (0.5 + self._rng.random())
            self._retry_read_at = now + delay
            self._backoff = min(MAX_READ_BACKOFF_S, 2 * self._backoff)
            return False
        self._backoff = MIN_READ_BACKOFF_S
        self._adopt(read.started_at)
        return True

    def _is_proof(self, read, found):
        if found.generation > self.generation:
            # It can't be used. It withdraws no key, but an earlier one that
            # was missed may have, unless there is none in between.
            if found.generation == self._last_unusable + 1:
                self._last_unusable = found.generation
            return found.generation <= self._last_unusable
        if found.generation >= read.generation:
            return True
        # The store is outdated, or has come back from an older copy. After
        # the latter it must not change to another earlier generation.
        if self._era and found.era > self._era:
            if self._restored is None or self._restored.era < found.era:
                self._restored = found
            return found == self._restored
        return False

    def _adopt(self, moment):
        """Use a proof unless there is a newer one."""
        if moment <= self._moment:
            return False
        self._moment = moment
        self._read_age = self._draw_read_age()
        return True
