"""Tests of the table of updates, partly property-based."""

import random

import hypothesis
from hypothesis import strategies as st

from pumicestand import messages
from pumicestand import tables

members = st.builds(
    messages.Member,
    name=st.sampled_from(['a', 'b']),
    incarnation=st.integers(1, 3),
    revision=st.integers(1, 3),
    status=st.sampled_from(list(messages.Status)),
    zone=st.just('z'),
    region=st.just('r'),
    host=st.just('h'),
    port=st.just(1),
    operator_port=st.just(2),
)
verdicts = st.builds(
    messages.MoveVerdict,
    move=st.sampled_from(['m', 'n']),
    stage=st.sampled_from(
        [0, 100, 500, messages.STAGE_DONE, messages.STAGE_TAKEN_BACK]
    ),
    reason=st.just('why'),
    decided_at=st.floats(0, 10),
    decided_by=st.sampled_from(['a', 'b']),
)
updates = st.lists(st.one_of(members, verdicts), max_size=12)


def make_table(items):
    table = tables.Table()
    for item in items:
        table.merge(item, 0.0)
    return table


@hypothesis.given(updates, st.integers(0, 100))
def test_merge_ignores_order_and_repetition(items, seed):
    shuffled = items + items
    random.Random(seed).shuffle(shuffled)
    first, second = make_table(items), make_table(shuffled)
    sort_keys = [
        {key: tables.sort_key_of(entry) for key, entry in t.entries.items()}
        for t in (first, second)
    ]
    assert sort_keys[0] == sort_keys[1]
    assert first.hash == second.hash


@hypothesis.given(updates)
def test_rollback_wins_every_merge(items):
    rollback = messages.MoveVerdict(
        'm', messages.STAGE_TAKEN_BACK, 'bad', 5.0, 'c'
    )
    for position in range(len(items) + 1):
        table = make_table([*items[:position], rollback, *items[position:]])
        stage = table.verdict('m').stage
        assert stage == messages.STAGE_TAKEN_BACK


def test_tombstone_is_removed_and_is_not_in_the_hash():
    alive = messages.Member(
        'a', 1, 1, messages.Status.ALIVE, 'z', 'r', 'h', 1, 2
    )
    dead = messages.Member(
        'a', 1, 1, messages.Status.DEAD, 'z', 'r', 'h', 1, 2
    )
    table = make_table([alive, dead])
    assert table.hash == 0
    assert table.reachable() == ()
    table.remove_expired(tables.TOMBSTONE_RETENTION_S)
    assert table.entries == {}


def test_ended_quarantine_is_removed():
    table = make_table([messages.Quarantine(1, 'sale', 60.0)])
    table.remove_expired(59.0)
    assert table.quarantine(1) is not None
    table.remove_expired(60.0)
    assert table.quarantine(1) is None
    assert table.hash == 0
