"""Keeps the targets beside this node, as they announce themselves."""

from pumicestand import blackboard as blackboards
from pumicestand import events
from pumicestand import messages

ANNOUNCEMENT_HOLDS_S = 6.0


def apply_announcement(board, target, now):
    """Take an announcement in; spread it if it changes anything.

    :param board: the `blackboard.Blackboard`
    :param target: the `messages.Target`
    :param now: wall time in seconds
    """
    held = board.local_targets.get(target.key)
    if target.state == messages.TargetState.GONE:
        if held is not None:
            _remove(board, target.key, now, 'said that it is gone')
        return
    local = blackboards.LocalTarget(target, now + ANNOUNCEMENT_HOLDS_S)
    board.local_targets[target.key] = local
    if held is not None and held.target == target:
        return
    kind = events.Kind.TARGET_ANNOUNCED
    if target.state == messages.TargetState.DRAINING:
        kind = events.Kind.TARGET_DRAINING
    board.emit(
        kind,
        now,
        service=target.service,
        detail=f'{target.service} {target.version} at '
        f'{target.host}:{target.port}',
    )
    board.announce_self(now)


def _remove(board, key, now, reason):
    target = board.local_targets.pop(key).target
    board.emit(
        events.Kind.TARGET_GONE,
        now,
        service=target.service,
        detail=f'{target.host}:{target.port} {reason}',
    )
    board.announce_self(now)


class AnnouncementController:
    """Drops targets that no longer announce themselves."""

    def step(self, board, now):
        """Drop what has expired."""
        for key, local in list(board.local_targets.items()):
            if now >= local.expires_at:
                _remove(
                    board,
                    key,
                    now,
                    f'was silent for {ANNOUNCEMENT_HOLDS_S:g} s',
                )
        return []
