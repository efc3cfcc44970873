"""The controllers of a node, in the order in which they run."""

from pumicestand import announcing
from pumicestand import application
from pumicestand import dissemination
from pumicestand import floors
from pumicestand import gossip
from pumicestand import membership
from pumicestand import moves
from pumicestand import watching


def make_all(rng, seeds):
    """Return new controllers.

    The gossip controller comes last, so that it sends the updates of the
    others in the same step.

    :param rng: a `random.Random`
    :param seeds: (host, port) of nodes through which to join
    """
    floor_controller = floors.FloorController(rng)
    return [
        announcing.AnnouncementController(),
        membership.MembershipController(rng, seeds),
        dissemination.DocumentController(rng),
        floor_controller,
        application.ApplicationController(floor_controller),
        moves.MoveController(rng),
        watching.WatchController(),
        gossip.GossipController(rng),
    ]


def step_all(controllers, board, now):
    """Run each controller once and empty the inbox.

    :param controllers: what `make_all` returned
    :param board: the `blackboard.Blackboard`
    :param now: wall time in seconds
    :return: list of the actions of all controllers
    """
    due = []
    for controller in controllers:
        due += controller.step(board, now)
    board.inbox.clear()
    return due
