"""Chooses who watches the store, and what those write to it.

The members that rank first in each region keep a watch. Everyone works the
ranking out alone; one watcher too many costs one waiting call. So the calls
to the store grow with the regions and not with the fleet.
"""

import json

from pumicestand import actions
from pumicestand import blackboard as blackboards
from pumicestand import events
from pumicestand import messages
from pumicestand import ranking

WATCHERS_PER_REGION = 2
STOP_WATCH_AFTER_S = 10.0
START_WATCH_AFTER_S = 0.5
SEEDS = 8
SEEDS_PERIOD_S = 5.0
ASK_PERIOD_S = 0.5
ASKED_AT_ONCE = 100


def seeds_key(environment, region):
    """Return the key of the addresses by which nodes join."""
    return f'seeds/{environment}/{region}'


def status_key(environment):
    """Return the key of the report on what is in force everywhere."""
    return f'status/{environment}'


def document_key(environment):
    """Return the key of the accepted document."""
    return f'documents/{environment}'


class WatchController:
    """Watches while it ranks first; reports as the first of the fleet."""

    def __init__(self):
        self._ranked_since = None
        self._unranked_since = None
        self._next_seeds_at = 0.0
        self._written_seeds = None
        self._next_ask_at = 0.0
        self._reported = 0
        self._memo = ranking.Memo()

    def step(self, board, now):
        """Return what is due towards the store."""
        for fact in board.inbox:
            match fact:
                case blackboards.StoreDocument():
                    self._note_up(board, now)
                case blackboards.StoreFailed(step, detail):
                    self._note_down(board, now, step, detail)
        taken = self._watch(board, now)
        taken += self._write_seeds(board, now)
        return taken + self._report(board, now)

    def _note_up(self, board, now):
        board.store_confirmed_ms = max(
            board.store_confirmed_ms, int(now * 1000)
        )
        if board.is_store_up is not True:
            board.is_store_up = True
            board.emit(events.Kind.STORE_UP, now, peer='store')

    def _note_down(self, board, now, step, detail):
        if board.is_store_up is not False:
            board.is_store_up = False
            board.emit(
                events.Kind.STORE_DOWN,
                now,
                step=step,
                peer='store',
                detail=detail,
            )

    def _watch(self, board, now):
        """Start and stop watching with some delay, as views settle."""
        if self._is_ranked(board):
            self._unranked_since = None
            if self._ranked_since is None:
                self._ranked_since = now
            waited = now - self._ranked_since >= START_WATCH_AFTER_S
            if board.is_watching or not waited:
                return []
            board.is_watching = True
            board.emit(events.Kind.WATCH_STARTED, now, peer='store')
            return [actions.StartWatch()]
        self._ranked_since = None
        if not board.is_watching:
            return []
        if self._unranked_since is None:
            self._unranked_since = now
        if now - self._unranked_since < STOP_WATCH_AFTER_S:
            return []
        board.is_watching = False
        board.emit(events.Kind.WATCH_STOPPED, now, peer='store')
        return [actions.StopWatch()]

    def _is_ranked(self, board):
        if board.is_leaving or board.is_replaced:
            return False
        return board.identity.name in self._watchers(board)

    def _watchers(self, board):
        region = board.identity.region
        return self._memo.get(
            board.table.hash, region, lambda: select_watchers(board, region)
        )

    def _write_seeds(self, board, now):
        """Keep in the store by which addresses others can join."""
        identity = board.identity
        first = self._watchers(board)[:1]
        if not board.is_watching or first != [identity.name]:
            return []
        if now < self._next_seeds_at:
            return []
        self._next_seeds_at = now + SEEDS_PERIOD_S
        members = {
            member.name: member
            for member in board.table.reachable()
            if member.region == identity.region
        }
        ranked = ranking.rank(f'watch/{identity.region}', members)[:SEEDS]
        chosen = [members[name] for name in sorted(ranked)]
        if chosen == self._written_seeds:
            return []
        self._written_seeds = chosen
        value = json.dumps(
            {
                'addresses': [member.address for member in chosen],
                'operators': [
                    f'{member.host}:{member.operator_port}'
                    for member in chosen
                ],
            }
        )
        key = seeds_key(identity.environment, identity.region)
        return [actions.WriteStore(key, value, None)]

    def _report(self, board, now):
        """Write once for each generation that it is in force everywhere."""
        generation = board.generation_in_force
        if not generation or generation <= self._reported:
            return []
        if not self._is_reporter(board):
            return []
        behind = [
            member
            for member in board.peers()
            if board.generations_by_member.get(member.name, 0) < generation
        ]
        if behind:
            return self._ask(board, now, behind)
        self._reported = generation
        return [self._status_write(board, now)]

    def _is_reporter(self, board):
        ranked = self._memo.get(
            board.table.hash, 'report', lambda: _rank_reporters(board)
        )
        return ranked[:1] == [board.identity.name]

    def _ask(self, board, now, behind):
        if now < self._next_ask_at:
            return []
        self._next_ask_at = now + ASK_PERIOD_S
        ping = board.frame(messages.Ping(0))
        return [
            actions.SendDatagram(member.address, ping)
            for member in behind[:ASKED_AT_ONCE]
        ]

    def _status_write(self, board, now):
        accepted = board.in_force.accepted
        value = json.dumps(
            {
                'generation': accepted.generation,
                'digest': accepted.digest,
                'in_force_everywhere_at': now,
                'members': len(board.peers()) + 1,
            }
        )
        key = status_key(board.identity.environment)
        return actions.WriteStore(key, value, accepted.generation)


def _rank_reporters(board):
    names = [member.name for member in board.table.reachable()]
    return ranking.rank('report', names)


def select_watchers(board, region):
    """Return names of the members that watch in a region."""
    names = {
        member.name
        for member in board.table.reachable()
        if member.region == region
    }
    if region == board.identity.region:
        names.add(board.identity.name)
    return ranking.rank(f'watch/{region}', names)[:WATCHERS_PER_REGION]
