"""Test of a short soak of the real programs.

Promises with a time limit are checked only by `make soak`, because a loaded
machine can break them.
"""

import trio

from soak import play
from soak import records


def test_short_soak_has_no_findings():
    verdict, record, _ = trio.run(play.run_soak, 1, 3, 8.0, False)
    assert verdict.findings == ()
    assert len(record.calls) > 50
    assert record.disruptions


def test_short_soak_of_the_parts_has_no_findings():
    parts = tuple(records.Part)
    verdict, record, _ = trio.run(play.run_soak, 1, 3, 8.0, False, None, parts)
    assert verdict.findings == ()
    assert any(run.organisation for run in record.runs)
    kinds = {call.kind for call in record.calls}
    assert records.CallKind.LONG in kinds
