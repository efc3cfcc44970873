"""The platform's names stay in its folder."""

import pathlib
import platform
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2]
NAMES = (
    'born',
    'cold_left_s',
    'deregister',
    'duration_s',
    'heartbeat_addr',
    'internal_ports',
    'max_concurrency',
    'path_prefix',
    'rollouts/',
    'route_type',
    'target_latency_s',
    'target_version',
    'timeout_s',
    'traffic_split',
    'wait_ms',
    'PUMICESTAND_SETTINGS',
    'Pumicestand-Expect-Instance',
    'Pumicestand-Server-Stamp',
)
PRODUCT = sorted(
    path
    for name in ('pumicestand', 'pumicestand-node', 'pumicestandctl')
    for path in (ROOT / 'packages' / name).rglob('*.py')
)


@pytest.mark.parametrize('path', PRODUCT, ids=lambda path: path.stem)
def test_the_product_does_not_know_the_platform_s_names(path):
    text = path.read_text(encoding='utf-8')
    found = [
        name
        for name in NAMES
        if re.search(rf'\b{re.escape(name)}\b', text, re.IGNORECASE)
    ]
    assert not found


def test_the_standard_library_s_platform_is_still_found():
    assert callable(platform.python_version)
    assert not (ROOT / 'platform' / '__init__.py').exists()
