"""All controllers of a node, in the order in which they step."""

from pumicestand import announcing
from pumicestand import application
from pumicestand import dissemination
from pumicestand import floors
from pumicestand import membership
from pumicestand import moves
from pumicestand import rumours
from pumicestand import watching


def make_all(rng, seeds):
    """Return new controllers.

    Rumours come last, so that what the others spread goes out at once.

    :param rng: a `random.Random`
    :param seeds: addresses to join by
    """
    floor = floors.FloorController(rng)
    return [
        announcing.AnnouncementController(),
        membership.MembershipController(rng, seeds),
        dissemination.DocumentController(rng),
        floor,
        application.ApplicationController(floor),
        moves.MoveController(rng),
        watching.WatchController(),
        rumours.RumourController(rng),
    ]


def step_all(controllers, board, now):
    """Step controllers once, empty the inbox, return their actions."""
    taken = []
    for controller in controllers:
        taken += controller.step(board, now)
    board.inbox.clear()
    return taken
