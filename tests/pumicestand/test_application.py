"""Tests of when a document comes into force."""

from pumicestand import application
from pumicestand import blackboard as blackboards
from pumicestand import documents
from pumicestand import events
from pumicestand import messages
from pumicestand import readers
from tests import fakes

NOW = fakes.EPOCH


class FakeFloors:
    """Stand-in of `floors.FloorController`: all generations are recorded."""

    def is_recorded(self, board, generation, now):
        return True


def make_board():
    identity = blackboards.Identity('production', 'a', 'z', 'r', 'h', 1, 2)
    board = blackboards.Blackboard(identity, 1)
    board.floor = 0
    return board


def make_candidate(generation, label, ready_at=NOW):
    content, digest = fakes.make_content(label)
    accepted = documents.Accepted(generation, digest)
    document = readers.read_content(content)
    return blackboards.Candidate(accepted, document, ready_at)


def announce(board, resources):
    target = messages.Target('passdesk', 'v1', 'h', 9, resources)
    local = blackboards.LocalTarget(target, NOW + 99)
    board.local_targets[target.key] = local
    board.announce_self(NOW)


def test_generation_below_the_floor_does_not_come_into_force():
    board = make_board()
    board.floor = 5
    board.candidate = make_candidate(4, 'old')
    controller = application.ApplicationController(FakeFloors())
    controller.step(board, NOW)
    controller.step(board, NOW)
    assert board.in_force is None
    refused = list(board.ring.events)
    assert [e.kind for e in refused] == [events.Kind.VERSION_REFUSED]
    assert '4 is below the floor 5' in refused[0].detail


def test_older_candidate_does_not_replace_the_document_in_force():
    board = make_board()
    controller = application.ApplicationController(FakeFloors())
    board.candidate = make_candidate(4, 'new')
    controller.step(board, NOW)
    board.candidate = make_candidate(3, 'old')
    controller.step(board, NOW)
    assert board.generation_in_force == 4
    assert board.candidate is None


def test_document_waits_for_the_resources_of_working_routes():
    board = make_board()
    controller = application.ApplicationController(FakeFloors())
    announce(board, ('passes',))
    board.candidate = make_candidate(1, 'lookup')
    controller.step(board, NOW)
    assert board.generation_in_force == 1
    # The next document needs a resource that no target has yet.
    content, _ = fakes.make_content('lookup')
    text = content.decode().replace('"passes"', '"photos"')
    document = readers.read_content(text.encode())
    accepted = documents.Accepted(2, 'aa' * 32)
    board.candidate = blackboards.Candidate(accepted, document, NOW)
    controller.step(board, NOW)
    assert board.generation_in_force == 1
    announce(board, ('photos',))
    controller.step(board, NOW)
    assert board.generation_in_force == 2


def test_document_comes_into_force_if_its_route_already_lacks_resources():
    board = make_board()
    controller = application.ApplicationController(FakeFloors())
    announce(board, ('passes',))
    board.candidate = make_candidate(1, 'lookup')
    controller.step(board, NOW)
    announce(board, ())
    board.candidate = make_candidate(2, 'lookup', NOW)
    controller.step(board, NOW)
    assert board.generation_in_force == 2


def test_replaced_process_puts_no_document_into_force():
    board = make_board()
    board.is_replaced = True
    board.candidate = make_candidate(1, 'lookup')
    application.ApplicationController(FakeFloors()).step(board, NOW)
    assert board.in_force is None
    assert application.staleness(board, NOW).is_stale
