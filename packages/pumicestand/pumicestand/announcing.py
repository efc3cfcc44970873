"""Maintains the targets that announce themselves to this node."""

from pumicestand import blackboard as blackboards
from pumicestand import events
from pumicestand import target_states

# Time after its last announcement at which a target is removed.
ANNOUNCEMENT_TTL_S = 6.0


def apply_announcement(board, target, now):
    """Apply a target's announcement and disseminate any change.

    :param board: the `blackboard.Blackboard`
    :param target: the `messages.Target`
    :param now: wall time in seconds
    """
    known = board.local_targets.get(target.key)
    if target.state == target_states.TargetState.GONE:
        if known is not None:
            _remove(board, target.key, now, 'said that it is gone')
        return
    local = blackboards.LocalTarget(target, now + ANNOUNCEMENT_TTL_S)
    board.local_targets[target.key] = local
    if known is not None and known.target == target:
        return
    kind = events.Kind.TARGET_ANNOUNCED
    if target.state == target_states.TargetState.DRAINING:
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
    """Removes targets that no longer announce themselves."""

    def step(self, board, now):
        """Remove the targets whose announcement has expired.

        :param board: the `blackboard.Blackboard`
        :param now: wall time in seconds
        :return: empty list, since this controller needs no I/O
        """
        for key, local in list(board.local_targets.items()):
            if now >= local.expires_at:
                _remove(
                    board,
                    key,
                    now,
                    f'was silent for {ANNOUNCEMENT_TTL_S:g} s',
                )
        return []
