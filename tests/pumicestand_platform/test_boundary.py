"""The product's packages must not use names that the platform defines."""

import pathlib
import platform
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2]
NAMES = (
    'api_keys',
    'born',
    'bounds.evacuate_s',
    'cold_left_s',
    'cold_per_s',
    'cold_start_s',
    'deregister',
    'duration_s',
    'heartbeat_addr',
    'internal_ports',
    'max_concurrency',
    'path_prefix',
    'rate_per_s',
    'rollouts/',
    'route_type',
    'target_latency_s',
    'target_version',
    'tenants',
    'timeout_s',
    'traffic_split',
    'wait_ms',
    'PUMICESTAND_SETTINGS',
    'Pumicestand-Expect-Instance',
    'Pumicestand-Server-Stamp',
    'Pumicestand-Tenant-Id',
    'X-Api-Key',
)
PRODUCT = sorted(
    path
    for name in ('pumicestand', 'pumicestand-node', 'pumicestandctl')
    for path in (ROOT / 'packages' / name).rglob('*.py')
)


@pytest.mark.parametrize('path', PRODUCT, ids=lambda path: path.stem)
def test_product_does_not_use_platform_names(path):
    text = path.read_text(encoding='utf-8')
    found = [
        name
        for name in NAMES
        if re.search(rf'\b{re.escape(name)}\b', text, re.IGNORECASE)
    ]
    assert not found


def test_standard_library_platform_module_is_not_shadowed():
    assert callable(platform.python_version)
    assert not (ROOT / 'platform' / '__init__.py').exists()
