"""Tests of which zones a node takes to be evacuated.

A zone that is taken to be in service too long gets calls that it must not
get; one that is taken to be evacuated too long is lost for calls.
"""

import dataclasses

import pytest

from pumicestand import evacuations
from pumicestand import hop_messages
from pumicestand import stored_objects


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
    """The node has listed the objects, at a position of the store."""

    revision: int
    zones: tuple[str, ...] = ()
    era: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Watched:
    """A watch has returned changes; a deletion is written as ``-zone``."""

    revision: int
    changes: tuple[str, ...] = ()
    era: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """Another node has reported what it knows."""

    revision: int
    zones: tuple[str, ...] = ()
    era: int = 1


# Name: (what happened, evacuated zones, whether the last one is to be
# reported).
CASES = {
    'nothing known': ((), (), None),
    'first listing without any': ((Listed(5),), (), True),
    'listed': ((Listed(5, ('a',)),), ('a',), True),
    'created': ((Listed(5), Watched(6, ('a',))), ('a',), True),
    'deleted': ((Listed(5, ('a',)), Watched(6, ('-a',))), (), True),
    'created and deleted at once': (
        (Listed(5), Watched(9, ('a', '-a'))),
        (),
        False,
    ),
    'deleted and created at once': (
        (Listed(5, ('a',)), Watched(9, ('-a', 'a'))),
        ('a',),
        False,
    ),
    'second zone': (
        (Listed(5, ('a',)), Watched(6, ('b',))),
        ('a', 'b'),
        True,
    ),
    'nothing has changed': ((Listed(5, ('a',)), Watched(9)), ('a',), False),
    'deleted while the node did not watch': (
        (Listed(5, ('a',)), Listed(9)),
        (),
        True,
    ),
    'heard': ((Listed(5), Heard(6, ('a',))), ('a',), True),
    'heard before the watch tells nothing': (
        (Listed(5), Heard(10, ('a',)), Watched(12)),
        ('a',),
        False,
    ),
    'heard that a zone is back': (
        (Listed(5, ('a',)), Heard(6)),
        (),
        True,
    ),
    'store down at the start, heard': ((Heard(6, ('a',)),), ('a',), True),
    'store down at the start, then a late listing': (
        (Heard(6, ('a',)), Listed(4)),
        ('a',),
        False,
    ),
    'listing that is later than what was heard': (
        (Heard(6, ('a',)), Listed(9)),
        (),
        True,
    ),
    'a frozen node reports what it knew': (
        (Heard(9), Heard(6, ('a',))),
        (),
        False,
    ),
    'cut off from the store and from all nodes': (
        (Listed(5, ('a',)),),
        ('a',),
        True,
    ),
    'late events after a later report': (
        (Listed(5), Heard(9, ('a', 'b')), Watched(7, ('a',))),
        ('a', 'b'),
        False,
    ),
    'events go on after a later report': (
        (Listed(5), Heard(9, ('a',)), Watched(9, ('a',)), Watched(10, ('b',))),
        ('a', 'b'),
        True,
    ),
    'the store comes back from a copy without the evacuation': (
        (Listed(90, ('a',)), Listed(40, era=2)),
        (),
        True,
    ),
    'the store comes back from a copy with the same': (
        (Listed(90, ('a',)), Listed(40, ('a',), era=2)),
        ('a',),
        True,
    ),
    'a node still reports the earlier era': (
        (Listed(40, ('a',), era=2), Heard(90)),
        ('a',),
        False,
    ),
    'heard of the later era': (
        (Listed(90, ('a',)), Heard(40, era=2)),
        (),
        True,
    ),
    'evacuated again, a report from in between comes late': (
        (Heard(5, ('a',)), Listed(15, ('a',)), Heard(12)),
        ('a',),
        True,
    ),
    'the same heard again in between does not count': (
        (Heard(5, ('a',)), Heard(15, ('a',)), Heard(12)),
        ('a',),
        True,
    ),
}


def make_object(name):
    return stored_objects.StoredObject('evacuations', name, 1)


def apply(tracker, happening):
    position = stored_objects.Position(happening.era, happening.revision)
    match happening:
        case Listed(_, zones):
            items = tuple(make_object(zone) for zone in zones)
            return tracker.apply_listing(
                stored_objects.Listing(items, position)
            )
        case Watched(_, changes):
            return tracker.apply_events(
                stored_objects.Events(
                    tuple(
                        stored_objects.Event(
                            make_object(change.removeprefix('-')),
                            change.startswith('-'),
                        )
                        for change in changes
                    ),
                    position,
                )
            )
        case Heard(revision, zones, era):
            return tracker.apply_reported(
                hop_messages.Evacuations(era, revision, zones)
            )


@pytest.mark.parametrize('name', CASES)
def test_latest_state_of_the_store_is_valid(name):
    happenings, zones, is_reported = CASES[name]
    tracker = evacuations.EvacuationTracker('a', True)
    results = [apply(tracker, happening) for happening in happenings]
    assert tracker.zones == set(zones)
    assert tracker.is_own_zone_evacuated is ('a' in zones)
    if is_reported is not None:
        assert results[-1] is is_reported
        assert tracker.state.zones == zones


def test_state_is_awaited_until_something_is_known():
    tracker = evacuations.EvacuationTracker('a', True)
    assert tracker.is_awaited
    assert not tracker.apply_reported(None)
    assert tracker.is_awaited
    apply(tracker, Listed(3))
    assert not tracker.is_awaited


def test_nothing_is_awaited_or_known_where_no_zone_is_evacuated():
    tracker = evacuations.EvacuationTracker('a', False)
    assert not tracker.is_awaited
    assert not apply(tracker, Heard(5, ('a',)))
    assert tracker.state is None


def test_nodes_that_disagree_come_to_the_latest_state():
    """Neither may keep what the other recognises as outdated."""
    behind = evacuations.EvacuationTracker('a', True)
    ahead = evacuations.EvacuationTracker('a', True)
    # At 12 the zone was in service, before and afterwards evacuated.
    apply(ahead, Listed(5, ('a',)))
    apply(ahead, Listed(15, ('a',)))
    apply(behind, Listed(12))
    for _ in range(2):
        ahead.apply_reported(behind.state)
        behind.apply_reported(ahead.state)
    assert ahead.zones == behind.zones == {'a'}
    assert ahead.state == behind.state
