"""Moves traffic to a new version, or takes it back to the old version.

No node holds a lease for this. Each node counts the calls that it sees; the
members that rank first for a move collect the counters and publish verdicts.
The stage of a verdict only rises, the stage for "taken back" is the highest,
and merging keeps the highest stage. A collector that was paused, or a second
one, can therefore repeat a verdict but never undo one.
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
# Used when the new version has errors that were not reported yet.
URGENT_REPORT_PERIOD_S = 0.1
MIN_REPORT_PERIOD_S = 0.25
# Reports that a node sends during a move, unless the limits of the period
# above apply.
REPORTS_PER_MOVE = 60


class MoveController:
    """Reports this node's counters; evaluates the moves that it collects.

    :param rng: a `random.Random`
    """

    def __init__(self, rng):
        # A random phase keeps the nodes from reporting at the same time.
        self._reported_at = rng.random() * REPORT_PERIOD_S
        self._document = None
        self._reported = {}
        self._zone_sent = {}
        self._memo = ranking.Memo()
        self._by_member = {}
        self._by_zone = {}
        self._evaluators = {}
        self._shares = {}

    def step(self, board, now):
        """Return the actions that send reports and store verdicts.

        :param board: the `blackboard.Blackboard`
        :param now: wall time in seconds
        """
        for fact in board.inbox:
            if isinstance(fact, blackboards.ReceivedFrame):
                self._receive(board, fact.frame)
        if board.in_force is None:
            return []
        if board.in_force.document is not self._document:
            self._remove_old_moves(board)
        running = self._running_moves(board, now)
        self._record_shares(board, now)
        if not running:
            return []
        requested = self._report(board, now, running)
        requested += self._report_zone(board, now, running)
        return requested + self._evaluate(board, now, running)

    def _remove_old_moves(self, board):
        """Remove the state of moves that the document no longer has."""
        self._document = board.in_force.document
        identities = {move.identity for move in self._document.moves}
        for by_move_and_route in (
            board.counters,
            self._reported,
            self._by_member,
            self._by_zone,
        ):
            for key in [
                key for key in by_move_and_route if key[0] not in identities
            ]:
                del by_move_and_route[key]
        for by_move in (
            board.held_moves,
            self._zone_sent,
            self._evaluators,
            self._shares,
        ):
            for identity in [key for key in by_move if key not in identities]:
                del by_move[identity]

    def _running_moves(self, board, now):
        running = []
        for service in board.in_force.document.services:
            split = shares.split_of(board, service, now)
            if split.move is not None:
                running.append(split.move)
        return running

    def _record_shares(self, board, now):
        """Emit an event for each move whose share has changed."""
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
                by_source = self._by_zone.setdefault(key, {})
                source = zone
            else:
                by_source = self._by_member.setdefault(key, {})
                source = (frame.sender, frame.incarnation)
            if source in by_source:
                counters = evidence.merge_counters(by_source[source], counters)
            by_source[source] = counters

    def _unreported(self, board, move):
        return [
            counters
            for key, counters in board.counters.items()
            if key[0] == move.identity and self._reported.get(key) != counters
        ]

    def _has_new_errors(self, unreported):
        for counters in unreported:
            key = (counters.move, counters.route)
            reported = self._reported.get(key)
            if counters.new_errors > (reported.new_errors if reported else 0):
                return True
        return False

    def _report(self, board, now, running):
        """Send this node's changed counters to its zone's collectors."""
        unreported = [
            counters
            for move in running
            for counters in self._unreported(board, move)
        ]
        if not unreported:
            return []
        period = min(report_period(move) for move in running)
        if self._has_new_errors(unreported):
            period = URGENT_REPORT_PERIOD_S
        if now - self._reported_at < period:
            return []
        self._reported_at = now
        for counters in unreported:
            self._reported[(counters.move, counters.route)] = counters
        requested = []
        for move in running:
            of_move = tuple(c for c in unreported if c.move == move.identity)
            if of_move:
                names = self._zone_collectors(board, move)
                body = messages.Evidence('', of_move)
                requested += self._send(board, names, body)
        return requested

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
        requested = []
        for name in names:
            if name == board.identity.name:
                self._receive(board, board.frame(body))
                continue
            member = board.table.member(name)
            requested.append(
                actions.SendDatagram(member.address, board.frame(body))
            )
        return requested

    def _report_zone(self, board, now, running):
        """Send the sums of the zone that changed to the move's collectors."""
        requested = []
        zone = board.identity.zone
        for move in running:
            if board.identity.name not in self._zone_collectors(board, move):
                continue
            sums = tuple(_sum_by_route(self._by_member, move).values())
            sent_at, sent = self._zone_sent.get(move.identity, (0.0, ()))
            period = _zone_report_period(move, sums, sent)
            if sums == sent or now - sent_at < period:
                continue
            self._zone_sent[move.identity] = (now, sums)
            body = messages.Evidence(zone, sums)
            requested += self._send(board, self._collectors(board, move), body)
        return requested

    def _evaluate(self, board, now, running):
        """Decide on the moves whose collector this node is."""
        requested = []
        for move in running:
            if board.identity.name not in self._collectors(board, move):
                continue
            evaluator = self._evaluators.get(move.identity)
            if evaluator is None:
                evaluator = self._evaluators[move.identity] = (
                    verdicts.MoveEvaluator(move)
                )
            stage = shares.stage_of(board, move)
            totals = _sum_by_route(self._by_zone, move)
            decision = evaluator.decide(now, stage, totals)
            requested += self._apply_decision(board, now, move, decision)
        return requested

    def _apply_decision(self, board, now, move, decision):
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
        board.disseminate(verdict, now)
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


def _sum_by_route(by_move_and_route, move):
    """Return the sums of a move's counters over all sources, by route name.

    :param by_move_and_route: (move identity, route name) to a dictionary
        from source to `messages.Counters`
    """
    totals = {}
    for (identity, route), by_source in by_move_and_route.items():
        if identity != move.identity:
            continue
        total = messages.Counters(identity, route)
        for counters in by_source.values():
            total = evidence.add_counters(total, counters)
        totals[route] = total
    return totals


def report_period(move):
    """Return the seconds between two reports of a node on a move.

    Short moves are reported on more often, since there is less time to
    decide on them.
    """
    period = (move.deadline - move.start) / REPORTS_PER_MOVE
    return min(REPORT_PERIOD_S, max(MIN_REPORT_PERIOD_S, period))


def _zone_report_period(move, sums, sent):
    """Return the seconds between two reports of a zone on a move.

    Errors of the new version that were not yet sent shorten the period.
    """
    errors = sum(counters.new_errors for counters in sums)
    sent_errors = sum(counters.new_errors for counters in sent)
    if errors > sent_errors:
        return URGENT_REPORT_PERIOD_S
    return report_period(move) / 2


def collectors(board, move):
    """Return the names of the members that evaluate a move.

    The second collector is in another zone than the first if there is one.
    """
    zones = _zones_of_reachable(board)
    ranked = ranking.rank(f'move/{move.identity}', zones)
    chosen = ranked[:1]
    chosen_zones = {zones[name] for name in chosen}
    rest = sorted(ranked[1:], key=lambda name: zones[name] in chosen_zones)
    return chosen + rest[: COLLECTORS_PER_MOVE - 1]


def zone_collectors(board, move, zone):
    """Return the names of the members that sum up a zone's counters."""
    zones = _zones_of_reachable(board)
    names = [name for name, its_zone in zones.items() if its_zone == zone]
    return ranking.rank(f'zone/{move.identity}', names)[:COLLECTORS_PER_MOVE]


def _zones_of_reachable(board):
    """Return name to zone of the reachable members and of this node."""
    zones = {m.name: m.zone for m in board.table.reachable()}
    zones[board.identity.name] = board.identity.zone
    return zones
