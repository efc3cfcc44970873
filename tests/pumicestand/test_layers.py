"""Checks that modules with decisions import nothing that does I/O.

Such modules get the time and all input from their callers, so that tests can
run them without clocks, sockets or threads.
"""

import ast
import pathlib

import pytest

import pumicestand

PACKAGE_PATH = pathlib.Path(pumicestand.__file__).parent
DECISION_MODULES = (
    'admission',
    'admission_by_room',
    'announcing',
    'application',
    'balancing',
    'blackboard',
    'buffer_budget',
    'coldness',
    'connection_trust',
    'controllers',
    'descriptor_budget',
    'dissemination',
    'evacuations',
    'evidence',
    'fleet',
    'floors',
    'freshness',
    'gossip',
    'hop_messages',
    'link_probes',
    'link_resumption',
    'log_throttle',
    'membership',
    'moves',
    'organisations',
    'placing',
    'quarantine',
    'quota_buckets',
    'quota_coordination',
    'quota_fleet',
    'quotas',
    'ranking',
    'rate_limits',
    'recording',
    'response_buffers',
    'responses',
    'retry_quota',
    'rollouts',
    'routing',
    'shares',
    'tables',
    'target_queue',
    'targets',
    'verdicts',
    'watching',
)
FORBIDDEN_IMPORTS = {
    'httpcore',
    'hypercorn',
    'loguru',
    'os',
    'pumicestand.log',
    'pumicestand.stores',
    'pumicestand.wire',
    'socket',
    'time',
    'trio',
}


def imported_names(path):
    """Yield the names of the modules and objects that a module imports."""
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        match node:
            case ast.Import(names):
                yield from (alias.name for alias in names)
            case ast.ImportFrom(module, names):
                yield module
                yield from (f'{module}.{alias.name}' for alias in names)


@pytest.mark.parametrize('name', DECISION_MODULES)
def test_decision_module_imports_no_io_clock_or_log(name):
    names = set(imported_names(PACKAGE_PATH / f'{name}.py'))
    assert not names & FORBIDDEN_IMPORTS
    assert not {n.split('.')[0] for n in names} & {'asyncio', 'threading'}
