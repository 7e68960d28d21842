"""Tests of loading the settings."""

import copy
import pathlib

from click import testing
import pytest

from dotterelweird import main
from dotterelweird.settings import loader

EXAMPLE = pathlib.Path(__file__).parents[4] / 'docs' / 'settings.example.json5'

GOOD = {
    'instance_id': 'entry-1',
    'zone': 'poznan-a',
    'platform': {
        'log_url': 'http://127.0.0.1:1',
        'instances_url': 'http://127.0.0.1:1',
    },
    'peers': {'keys': ['0123456789abcdef']},
}


def problems_of(change):
    document = copy.deepcopy(GOOD)
    change(document)
    with pytest.raises(loader.SettingsError) as caught:
        loader.structure(document, 'entry.json5')
    return [str(problem) for problem in caught.value.problems]


def test_good_settings_get_defaults():
    """Guards against required keys that should have a default."""
    settings = loader.structure(copy.deepcopy(GOOD), 'entry.json5')
    assert settings.peers.keys == ('0123456789abcdef',)
    assert settings.delivery.stall_timeout_s == 5.0


@pytest.mark.parametrize(
    ('change', 'expected'),
    [
        (
            lambda d: d.update(zone=7),
            'entry.json5: zone: expected a string, found 7',
        ),
        (
            lambda d: d['platform'].update(log_wait_s='5'),
            'entry.json5: platform.log_wait_s: expected a number, found "5"',
        ),
        (
            lambda d: d['platform'].update(log_wait_s=0),
            'entry.json5: platform.log_wait_s: expected above 0, found 0.0',
        ),
        (
            lambda d: d['peers'].update(listen={'port': 70000}),
            'entry.json5: peers.listen.port: expected a port from 0 to 65535,'
            ' found 70000',
        ),
        (
            lambda d: d['peers'].update(listen={'port': True}),
            'entry.json5: peers.listen.port: expected a whole number, '
            'found true',
        ),
        (
            lambda d: d['peers'].update(keys='secret'),
            'entry.json5: peers.keys: expected a list, found "secret"',
        ),
        (
            lambda d: d.pop('zone'),
            "entry.json5: zone: expected the key 'zone', found nothing",
        ),
        (
            lambda d: d.update(peers=[]),
            'entry.json5: peers: expected an object, found []',
        ),
    ],
)
def test_a_wrong_key_is_named(change, expected):
    """Guards against errors that do not say which key is wrong and why."""
    assert problems_of(change) == [expected]


def test_every_problem_is_reported_at_once():
    """Guards against a check that stops at the first problem."""

    def change(document):
        document['zone'] = 1
        document['peers']['period_s'] = -1
        document['colour'] = 'red'
        document['claims'] = {'window_s': None}

    lines = problems_of(change)
    assert len(lines) == 4
    assert any('unknown: colour' in line for line in lines)


def test_a_file_that_is_no_json_is_one_clear_line(tmp_path):
    """Guards against a traceback for a syntax error."""
    path = tmp_path / 'entry.json5'
    path.write_text('{ zone: ')
    result = testing.CliRunner().invoke(main.main, [str(path), '--check'])
    assert result.exit_code == 3
    assert result.output.startswith(
        'entry.json5: (file): expected JSON with comments'
    )
    assert len(result.output.splitlines()) == 1


def test_the_example_is_complete_and_good():
    """Guards against an example that misses a key or no longer loads."""
    import attrs
    import json5

    from dotterelweird.settings import model

    loader.load(EXAMPLE)
    document = json5.loads(EXAMPLE.read_text())
    assert set(document) == {
        field.name for field in attrs.fields(model.Settings)
    }
