"""A short soak of the real programs, as part of every test run.

What depends on the time that the machine takes is left to `make soak`.
"""

import trio

from soak import play


def test_a_short_soak_keeps_all_promises():
    verdict, record, _ = trio.run(play.run_soak, 1, 3, 8.0, False)
    assert verdict.findings == ()
    assert len(record.calls) > 50
    assert record.disruptions
