"""Moves traffic to a new version, or takes it back.

Nobody holds a lease. Each node counts what it sees; the members that rank
first for a move collect the counts and publish verdicts. A verdict's stage
only rises, taken back is the highest, and merging keeps the highest: so a
paused or second collector can repeat what is known but undo nothing.
"""

from pumicestand import actions
from pumicestand import blackboard as blackboards
from pumicestand import events
from pumicestand import evidence
from pumicestand import messages
from pumicestand import ranking
from pumicestand import shares
from pumicestand import verdicts

COLLECTORS_PER_MOVE = 2
REPORT_PERIOD_S = 2.0
URGENT_REPORT_PERIOD_S = 0.1
MIN_REPORT_PERIOD_S = 0.25
REPORTS_PER_MOVE = 60


class MoveController:
    """Reports what this node counted; collects and judges where it ranks.

    :param rng: a `random.Random`
    """

    def __init__(self, rng):
        # A random phase keeps the fleet's reports apart.
        self._reported_at = rng.random() * REPORT_PERIOD_S
        self._document = None
        self._reported = {}
        self._zone_sent = {}
        self._memo = ranking.Memo()
        self._by_member = {}
        self._by_zone = {}
        self._judges = {}
        self._shares = {}

    def step(self, board, now):
        """Return reports, verdict pushes and status writes."""
        for fact in board.inbox:
            if isinstance(fact, blackboards.ReceivedFrame):
                self._receive(board, fact.frame)
        if board.in_force is None:
            return []
        if board.in_force.document is not self._document:
            self._forget(board)
        running = self._running(board, now)
        self._note_shares(board, now)
        if not running:
            return []
        taken = self._report(board, now, running)
        taken += self._report_zone(board, now, running)
        return taken + self._judge(board, now, running)

    def _forget(self, board):
        """Drop what was counted for moves that are no longer there."""
        self._document = board.in_force.document
        kept = {move.identity for move in self._document.moves}
        for counted in (
            board.counters,
            self._reported,
            self._by_member,
            self._by_zone,
        ):
            for key in [key for key in counted if key[0] not in kept]:
                del counted[key]
        for held in (
            board.held_moves,
            self._zone_sent,
            self._judges,
            self._shares,
        ):
            for identity in [key for key in held if key not in kept]:
                del held[identity]

    def _running(self, board, now):
        running = []
        for service in board.in_force.document.services:
            split = shares.split_of(board, service, now)
            if split.move is not None:
                running.append(split.move)
        return running

    def _note_shares(self, board, now):
        """Put a change of share into the time line."""
        for move in board.in_force.document.moves:
            share = shares.share_of(board, move, now)
            if self._shares.get(move.identity, 0.0) == share:
                continue
            self._shares[move.identity] = share
            board.emit(
                events.Kind.SHARE_CHANGED,
                now,
                service=move.service,
                move=move.identity,
                detail=f'{move.new_version} gets {share:.1%}',
            )

    def _receive(self, board, frame):
        if not isinstance(frame.body, messages.Evidence):
            return
        zone = frame.body.zone
        for counters in frame.body.counters:
            key = (counters.move, counters.route)
            if zone:
                held = self._by_zone.setdefault(key, {})
                source = zone
            else:
                held = self._by_member.setdefault(key, {})
                source = (frame.sender, frame.incarnation)
            if source in held:
                counters = evidence.merge_counters(held[source], counters)
            held[source] = counters

    def _changed(self, board, move):
        return [
            counters
            for key, counters in board.counters.items()
            if key[0] == move.identity and self._reported.get(key) != counters
        ]

    def _has_new_errors(self, changed):
        for counters in changed:
            key = (counters.move, counters.route)
            before = self._reported.get(key)
            if counters.new_errors > (before.new_errors if before else 0):
                return True
        return False

    def _report(self, board, now, running):
        """Send what this node counted to its zone's collectors."""
        changed = [c for move in running for c in self._changed(board, move)]
        if not changed:
            return []
        period = min(report_period(move) for move in running)
        if self._has_new_errors(changed):
            period = URGENT_REPORT_PERIOD_S
        if now - self._reported_at < period:
            return []
        self._reported_at = now
        for counters in changed:
            self._reported[(counters.move, counters.route)] = counters
        taken = []
        for move in running:
            mine = tuple(c for c in changed if c.move == move.identity)
            if mine:
                names = self._zone_collectors(board, move)
                body = messages.Evidence('', mine)
                taken += self._send(board, names, body)
        return taken

    def _collectors(self, board, move):
        return self._memo.get(
            board.table.hash,
            move.identity,
            lambda: collectors(board, move),
        )

    def _zone_collectors(self, board, move):
        zone = board.identity.zone
        return self._memo.get(
            board.table.hash,
            (move.identity, zone),
            lambda: zone_collectors(board, move, zone),
        )

    def _send(self, board, names, body):
        taken = []
        for name in names:
            if name == board.identity.name:
                self._receive(board, board.frame(body))
                continue
            member = board.table.member(name)
            taken.append(
                actions.SendDatagram(member.address, board.frame(body))
            )
        return taken

    def _report_zone(self, board, now, running):
        """Send the zone's sums, where they changed, to the collectors."""
        taken = []
        zone = board.identity.zone
        for move in running:
            if board.identity.name not in self._zone_collectors(board, move):
                continue
            sums = tuple(_sum_by_route(self._by_member, move).values())
            sent_at, sent = self._zone_sent.get(move.identity, (0.0, ()))
            period = _zone_period(move, sums, sent)
            if sums == sent or now - sent_at < period:
                continue
            self._zone_sent[move.identity] = (now, sums)
            body = messages.Evidence(zone, sums)
            taken += self._send(board, self._collectors(board, move), body)
        return taken

    def _judge(self, board, now, running):
        taken = []
        for move in running:
            if board.identity.name not in self._collectors(board, move):
                continue
            judge = self._judges.get(move.identity)
            if judge is None:
                judge = self._judges[move.identity] = verdicts.MoveEvaluator(
                    move
                )
            stage = shares.stage_of(board, move)
            totals = _sum_by_route(self._by_zone, move)
            decision = judge.decide(now, stage, totals)
            taken += self._carry_out(board, now, move, decision)
        return taken

    def _carry_out(self, board, now, move, decision):
        match decision:
            case None:
                return []
            case verdicts.AtRisk(reason):
                board.emit(
                    events.Kind.MOVE_AT_RISK,
                    now,
                    service=move.service,
                    move=move.identity,
                    detail=reason,
                )
                return []
            case verdicts.RaiseShare(stage, reason):
                return self._publish(board, now, move, stage, reason)
            case verdicts.TakeBack(reason):
                stage = messages.STAGE_TAKEN_BACK
                return self._publish(board, now, move, stage, reason)

    def _publish(self, board, now, move, stage, reason):
        verdict = messages.MoveVerdict(
            move.identity, stage, reason, now, board.identity.name
        )
        board.spread(verdict, now)
        if stage in _FINAL_EVENTS:
            board.emit(
                _FINAL_EVENTS[stage],
                now,
                service=move.service,
                move=move.identity,
                detail=reason,
            )
        return [
            verdicts.make_write_action(board.identity.environment, verdict)
        ]


_FINAL_EVENTS = {
    messages.STAGE_DONE: events.Kind.MOVE_DONE,
    messages.STAGE_TAKEN_BACK: events.Kind.MOVE_TAKEN_BACK,
}


def _sum_by_route(counted, move):
    """Return route name to the sum over all sources of a move's counters.

    :param counted: (move, route) to source to `messages.Counters`
    """
    totals = {}
    for (identity, route), by_source in counted.items():
        if identity != move.identity:
            continue
        total = messages.Counters(identity, route)
        for counters in by_source.values():
            total = evidence.add_counters(total, counters)
        totals[route] = total
    return totals


def report_period(move):
    """Return the seconds between two reports; short moves can't wait."""
    part = (move.deadline - move.start) / REPORTS_PER_MOVE
    return min(REPORT_PERIOD_S, max(MIN_REPORT_PERIOD_S, part))


def _zone_period(move, sums, sent):
    """Return the seconds between a zone's reports; errors can't wait."""
    errors = sum(counters.new_errors for counters in sums)
    known = sum(counters.new_errors for counters in sent)
    if errors > known:
        return URGENT_REPORT_PERIOD_S
    return report_period(move) / 2


def collectors(board, move):
    """Return names of the members that judge a move, zones apart."""
    members = _reachable_with_self(board)
    ranked = ranking.rank(f'move/{move.identity}', members)
    chosen = ranked[:1]
    zones = {members[name] for name in chosen}
    # The second one stands in another zone, if there is another.
    rest = sorted(ranked[1:], key=lambda name: members[name] in zones)
    return chosen + rest[: COLLECTORS_PER_MOVE - 1]


def zone_collectors(board, move, zone):
    """Return names of the members that sum up a zone's counters."""
    members = _reachable_with_self(board)
    names = [name for name, where in members.items() if where == zone]
    return ranking.rank(f'zone/{move.identity}', names)[:COLLECTORS_PER_MOVE]


def _reachable_with_self(board):
    members = {m.name: m.zone for m in board.table.reachable()}
    members[board.identity.name] = board.identity.zone
    return members
