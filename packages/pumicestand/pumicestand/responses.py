"""Responses of a node to the requests of its peers."""

from pumicestand import dissemination
from pumicestand import messages


def make_response(board, frame):
    """Return the frame with the response to a request.

    :param board: the `blackboard.Blackboard`
    :param frame: the request, already in the inbox
    """
    match frame.body:
        case messages.Sync():
            return board.frame(messages.Table(), board.table.entries.values())
        case messages.Fetch() as fetch:
            return board.frame(dissemination.make_fetch_response(board, fetch))
        case other:
            return board.frame(
                messages.Refused(f'no-request: {type(other).__name__}')
            )
