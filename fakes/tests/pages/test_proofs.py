"""Tests that docs/proofs.md agrees with the tests in the repository."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parents[3]
PAGE = ROOT / 'docs' / 'proofs.md'
SYSTEM_TESTS = ROOT / 'fakes' / 'tests' / 'system'


def listed_tests():
    """Returns file and name of each test that the page lists."""
    return re.findall(r'`(\S+\.py)::(\w+)`', PAGE.read_text())


def defined_tests(path):
    """Returns the names of the tests in a module."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name):
                names.add(name)
            case ast.Assign(targets=[ast.Name(id=name)]):
                # The test case that hypothesis derives from a state machine.
                names.add(name)
    return {name for name in names if name.lower().startswith('test')}


def test_every_test_in_the_page_exists():
    """Guards against listed tests that were renamed or removed."""
    rows = listed_tests()
    assert rows
    missing = [
        f'{path}::{name}'
        for path, name in rows
        if not (ROOT / path).is_file()
        or name not in defined_tests(ROOT / path)
    ]
    assert missing == []


def test_every_system_test_is_in_the_page():
    """Guards against system tests that the page does not list."""
    system_tests = {
        (path.relative_to(ROOT).as_posix(), name)
        for path in SYSTEM_TESTS.glob('test_*.py')
        for name in defined_tests(path)
    }
    assert system_tests - set(listed_tests()) == set()
