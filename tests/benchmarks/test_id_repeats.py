"""Tests that the count of repeated request ids finds the calls made again."""

import trio

from benchmarks import id_repeats
from benchmarks.load_player import deployments
from tests.benchmarks import test_load_play


def count(failures, failing=1.0):
    deployment = deployments.Deployment.model_validate(
        {
            **test_load_play.DEPLOYMENT,
            'kinds': [
                {**kind, 'is_idempotent': True}
                for kind in test_load_play.DEPLOYMENT['kinds']
            ],
        }
    )
    return trio.run(id_repeats.count, deployment, failures, failing, 3.0, 1)


def test_no_id_comes_again_without_failures():
    counts = count(0.0)
    assert counts['nested runs'] > 0
    assert counts['same target'] == counts['same connection'] == 0


def test_ids_come_again_at_a_target_after_failures_but_on_no_connection():
    counts = count(0.3)
    assert counts['nested successes after a failure'] > 0
    assert counts['same target'] > 0
    assert counts['passed over'] > 0
    assert counts['same connection'] == 0


def test_only_the_failing_share_of_the_targets_fails():
    assert count(0.3, 0.5)['nested failures'] < count(0.3)['nested failures']
