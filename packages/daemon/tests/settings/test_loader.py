"""Tests of loading the settings."""

import copy
import pathlib

from click import testing
import pytest

from dotterelweird import main
from dotterelweird.settings import loader

EXAMPLE = pathlib.Path(__file__).parents[4] / 'docs' / 'settings.example.json5'

VALID_DOCUMENT = {
    'instance_id': 'entry-1',
    'zone': 'poznan-a',
    'platform': {
        'log_url': 'http://127.0.0.1:1',
        'instances_url': 'http://127.0.0.1:1',
    },
    'peers': {'keys': ['0123456789abcdef']},
}


def problems_of(change):
    document = copy.deepcopy(VALID_DOCUMENT)
    change(document)
    with pytest.raises(loader.SettingsError) as caught:
        loader.structure(document, 'entry.json5')
    return [str(problem) for problem in caught.value.problems]


def test_missing_optional_keys_get_defaults():
    """Guards against required keys that should have a default."""
    settings = loader.structure(copy.deepcopy(VALID_DOCUMENT), 'entry.json5')
    assert settings.peers.keys == ('0123456789abcdef',)
    assert settings.delivery.stall_timeout_s == 5.0


@pytest.mark.parametrize(
    ('change', 'expected'),
    [
        (
            lambda document: document.update(zone=7),
            'entry.json5: zone: expected a string, found 7',
        ),
        (
            lambda document: document['platform'].update(log_wait_s='5'),
            'entry.json5: platform.log_wait_s: expected a number, found "5"',
        ),
        (
            lambda document: document['platform'].update(log_wait_s=0),
            'entry.json5: platform.log_wait_s: expected above 0, found 0.0',
        ),
        (
            lambda document: document['peers'].update(listen={'port': 70000}),
            'entry.json5: peers.listen.port: expected a port from 0 to 65535,'
            ' found 70000',
        ),
        (
            lambda document: document['peers'].update(listen={'port': True}),
            'entry.json5: peers.listen.port: expected a whole number, '
            'found true',
        ),
        (
            lambda document: document['peers'].update(keys='secret'),
            'entry.json5: peers.keys: expected a list, found "secret"',
        ),
        (
            lambda document: document.pop('zone'),
            "entry.json5: zone: expected the key 'zone', found nothing",
        ),
        (
            lambda document: document.update(peers=[]),
            'entry.json5: peers: expected an object, found []',
        ),
    ],
)
def test_invalid_keys_are_reported_by_path(change, expected):
    """Guards against errors without the invalid key or the reason."""
    assert problems_of(change) == [expected]


def test_every_problem_is_reported_at_once():
    """Guards against validation that stops at the first problem."""

    def change(document):
        document['zone'] = 1
        document['peers']['period_s'] = -1
        document['colour'] = 'red'
        document['claims'] = {'window_s': None}

    problems = problems_of(change)
    assert len(problems) == 4
    assert any('unknown: colour' in line for line in problems)


def test_a_syntax_error_is_reported_in_one_line(tmp_path):
    """Guards against a traceback for a syntax error in the settings file."""
    path = tmp_path / 'entry.json5'
    path.write_text('{ zone: ')
    result = testing.CliRunner().invoke(main.main, [str(path), '--check'])
    assert result.exit_code == 3
    assert result.output.startswith(
        'entry.json5: (file): expected JSON with comments'
    )
    assert len(result.output.splitlines()) == 1


def test_the_example_is_complete_and_valid():
    """Guards against an example that lacks a key or cannot be loaded."""
    import attrs
    import json5

    from dotterelweird.settings import model

    loader.load(EXAMPLE)
    document = json5.loads(EXAMPLE.read_text())
    assert set(document) == {
        field.name for field in attrs.fields(model.Settings)
    }
