"""Tests which path calls take on the platform."""

import ast
import pathlib

import pumicestand
import pumicestand_node
import pumicestand_platform

PACKAGES = {
    package.__name__: pathlib.Path(package.__file__).parent
    for package in (pumicestand, pumicestand_node, pumicestand_platform)
}
ENTRY = 'pumicestand_platform.main'
# The path on which targets need not repeat what identifies a response.
OTHER_PATH = {
    'pumicestand_node.calls',
    'pumicestand_node.relaying',
    'pumicestand_node.target_connections',
}


def find_imports(name):
    """Return the own modules that a module imports, at any depth of it."""
    package, _, module = name.partition('.')
    tree = ast.parse((PACKAGES[package] / f'{module}.py').read_text())
    imported = set()
    for node in ast.walk(tree):
        match node:
            case ast.ImportFrom(module=str(source)) if source in PACKAGES:
                imported |= {f'{source}.{alias.name}' for alias in node.names}
            case ast.Import():
                imported |= {
                    alias.name
                    for alias in node.names
                    if alias.name.partition('.')[0] in PACKAGES
                }
    return imported


def test_platform_calls_never_take_the_path_without_ids():
    reached, pending = set(), [ENTRY]
    while pending:
        name = pending.pop()
        if name not in reached:
            reached.add(name)
            pending += find_imports(name)
    assert 'pumicestand_node.target_exchange' in reached
    assert not reached & OTHER_PATH
