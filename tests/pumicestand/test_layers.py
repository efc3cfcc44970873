"""Decisions do no I/O: what their modules may import is checked here."""

import ast
import pathlib

import pytest

import pumicestand

FOLDER = pathlib.Path(pumicestand.__file__).parent
DECISIONS = (
    'admission',
    'announcing',
    'application',
    'balancing',
    'blackboard',
    'controllers',
    'dissemination',
    'evidence',
    'fleet',
    'floors',
    'hop_messages',
    'membership',
    'moves',
    'placing',
    'quarantine',
    'ranking',
    'recording',
    'responses',
    'retry_quota',
    'rollouts',
    'routing',
    'rumours',
    'shares',
    'tables',
    'target_queue',
    'targets',
    'verdicts',
    'watching',
)
FORBIDDEN = {
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


def imported(path):
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        match node:
            case ast.Import(names):
                yield from (alias.name for alias in names)
            case ast.ImportFrom(module, names):
                yield module
                yield from (f'{module}.{alias.name}' for alias in names)


@pytest.mark.parametrize('name', DECISIONS)
def test_a_decision_imports_no_io_clock_or_log(name):
    names = set(imported(FOLDER / f'{name}.py'))
    assert not names & FORBIDDEN
    assert not {n.split('.')[0] for n in names} & {'asyncio', 'threading'}
