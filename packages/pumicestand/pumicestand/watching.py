"""Selection of the members that watch the store, and what they write to it.

The members that rank highest in each region watch the store, so that the
number of calls to it depends on the number of regions and not on the size
of the fleet. Each node computes the ranking on its own. If the nodes' tables
differ for a while, an additional watcher costs only one more open call.
"""

import json

from pumicestand import actions
from pumicestand import blackboard as blackboards
from pumicestand import events
from pumicestand import messages
from pumicestand import ranking

WATCHERS_PER_REGION = 2
# Time for which a node must be selected, or not be selected, before it starts
# or stops watching; the members' tables may differ for a while.
STOP_WATCH_DELAY_S = 10.0
START_WATCH_DELAY_S = 0.5
# Largest number of addresses that are written to the store for a region.
MAX_SEEDS = 8
# Least time between two updates of these addresses.
SEEDS_PERIOD_S = 5.0
# Least time between two rounds of pings to members that lag behind, and the
# largest number of pings in one round.
PING_PERIOD_S = 0.5
MAX_PINGS = 100


def seeds_key(environment, region):
    """Return the key of the addresses through which nodes join."""
    return f'seeds/{environment}/{region}'


def status_key(environment):
    """Return the key of the generation that is in force everywhere."""
    return f'status/{environment}'


def document_key(environment):
    """Return the key of the accepted document."""
    return f'documents/{environment}'


class WatchController:
    """Watches the store, writes the seeds and reports the status.

    A node watches while it is among the highest-ranked members of its
    region. The highest-ranked of them writes the seeds; the highest-ranked
    member of the fleet reports which generation is in force everywhere.
    """

    def __init__(self):
        self._selected_since = None
        self._not_selected_since = None
        self._next_seeds_at = 0.0
        self._written_seeds = None
        self._next_ping_at = 0.0
        self._reported_generation = 0
        self._memo = ranking.Memo()

    def step(self, board, now):
        """Process the inbox; return the actions that are due."""
        for fact in board.inbox:
            match fact:
                case blackboards.StoreDocument():
                    self._record_store_up(board, now)
                case blackboards.StoreFailed(step, detail):
                    self._record_store_down(board, now, step, detail)
        due = self._update_watch(board, now)
        due += self._write_seeds(board, now)
        return due + self._report_status(board, now)

    def _record_store_up(self, board, now):
        board.store_confirmed_ms = max(
            board.store_confirmed_ms, int(now * 1000)
        )
        if board.is_store_up is not True:
            board.is_store_up = True
            board.emit(events.Kind.STORE_UP, now, peer='store')

    def _record_store_down(self, board, now, step, detail):
        if board.is_store_up is not False:
            board.is_store_up = False
            board.emit(
                events.Kind.STORE_DOWN,
                now,
                step=step,
                peer='store',
                detail=detail,
            )

    def _update_watch(self, board, now):
        """Start or stop watching.

        Both are delayed, until the members' tables agree after a change.
        """
        if self._should_watch(board):
            self._not_selected_since = None
            if self._selected_since is None:
                self._selected_since = now
            is_delay_over = now - self._selected_since >= START_WATCH_DELAY_S
            if board.is_watching or not is_delay_over:
                return []
            board.is_watching = True
            board.emit(events.Kind.WATCH_STARTED, now, peer='store')
            return [actions.StartWatch()]
        self._selected_since = None
        if not board.is_watching:
            return []
        if self._not_selected_since is None:
            self._not_selected_since = now
        if now - self._not_selected_since < STOP_WATCH_DELAY_S:
            return []
        board.is_watching = False
        board.emit(events.Kind.WATCH_STOPPED, now, peer='store')
        return [actions.StopWatch()]

    def _should_watch(self, board):
        if board.is_leaving or board.is_replaced:
            return False
        return board.identity.name in self._region_watchers(board)

    def _region_watchers(self, board):
        region = board.identity.region
        return self._memo.get(
            board.table.hash, region, lambda: select_watchers(board, region)
        )

    def _write_seeds(self, board, now):
        """Write to the store the addresses through which others can join."""
        identity = board.identity
        seeds_writers = self._region_watchers(board)[:1]
        if not board.is_watching or seeds_writers != [identity.name]:
            return []
        if now < self._next_seeds_at:
            return []
        self._next_seeds_at = now + SEEDS_PERIOD_S
        members = {
            member.name: member
            for member in board.table.reachable()
            if member.region == identity.region
        }
        ranked = ranking.rank(f'watch/{identity.region}', members)[:MAX_SEEDS]
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

    def _report_status(self, board, now):
        """Report each generation once, when all members have it in force."""
        generation = board.generation_in_force
        if not generation or generation <= self._reported_generation:
            return []
        if not self._is_reporter(board):
            return []
        lagging = [
            member
            for member in board.peers()
            if board.generations_by_member.get(member.name, 0) < generation
        ]
        if lagging:
            return self._ping_members(board, now, lagging)
        self._reported_generation = generation
        return [self._make_status_write(board, now)]

    def _is_reporter(self, board):
        ranked = self._memo.get(
            board.table.hash, 'report', lambda: _rank_reporters(board)
        )
        return ranked[:1] == [board.identity.name]

    def _ping_members(self, board, now, lagging):
        """Ping members whose responses tell which generation they use."""
        if now < self._next_ping_at:
            return []
        self._next_ping_at = now + PING_PERIOD_S
        ping = board.frame(messages.Ping(0))
        return [
            actions.SendDatagram(member.address, ping)
            for member in lagging[:MAX_PINGS]
        ]

    def _make_status_write(self, board, now):
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
    """Return the names of the members, ranked for reporting."""
    names = [member.name for member in board.table.reachable()]
    return ranking.rank('report', names)


def select_watchers(board, region):
    """Return the names of the members that watch the store in a region."""
    names = {
        member.name
        for member in board.table.reachable()
        if member.region == region
    }
    if region == board.identity.region:
        names.add(board.identity.name)
    return ranking.rank(f'watch/{region}', names)[:WATCHERS_PER_REGION]
