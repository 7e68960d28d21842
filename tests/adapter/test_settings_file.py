"""Decoding and checking of the platform's settings file."""

from click import testing
import pytest

from dotterelweir_platform import command as entry_point
from dotterelweir_platform import settings_file

SETTINGS_TEXT = """
node=front-a-1
zone=a
listen.front=10.1.0.19:8740
listen.ready=10.1.0.19:8749
internalPortRange=7200,7215
seeds=10.1.0.19:8748,10.2.0.13:8748
bounds.graceS=8
bounds.budgetBurst=52
platform.addr=10.200.1.7:8742
unknown.field=1
"""


@pytest.mark.parametrize('mode', ['auto', 'on', 'off'])
def test_the_pace_is_decoded(mode):
    """Guards against a bound of the pace that no setting changes."""
    lines = f'bounds.coldOver=2\nbounds.coldSlack=7\npace={mode}\n'
    decoded = settings_file.decode(SETTINGS_TEXT + lines).gateway.pace
    assert decoded.requests_max(10.0) == 27.0
    assert decoded.mode.value == mode


def test_fields_are_decoded_with_their_units():
    """Guards against a field that is read into the wrong setting."""
    decoded = settings_file.decode(SETTINGS_TEXT)
    gateway = decoded.gateway
    assert (gateway.callers.host, gateway.callers.port) == ('10.1.0.19', 8740)
    assert gateway.repeat_burst == 52.0
    assert gateway.grace_s == 8.0
    assert gateway.seed_hosts == ('10.1.0.19', '10.2.0.13')
    assert (gateway.peers_port, gateway.forwarding_port) == (7200, 7201)
    assert decoded.store.port == 8742


def test_one_internal_port_is_none_to_forward_requests():
    """Guards against a port outside of the range of the instance."""
    lines = 'internalPortRange=7200,7200'
    gateway = settings_file.decode(SETTINGS_TEXT + lines).gateway
    assert gateway.forwarding_port is None


@pytest.mark.parametrize(
    ('line', 'problem'),
    [
        ('node=', 'node: missing'),
        ('listen.front=8740', 'listen.front: not of the form HOST:PORT'),
        ('bounds.graceS=soon', 'bounds.graceS: not a number of 0 or more'),
        (
            'bounds.budgetBurst=-1',
            'bounds.budgetBurst: not a number of 0 or more',
        ),
        ('bounds.coldOver=nan', 'bounds.coldOver: not a number of 0 or more'),
        ('bounds.coldSlack=inf', 'bounds.coldSlack: not a number'),
        ('pace=fast', 'pace: not auto, on or off'),
        ('internalPortRange=7200', 'not of the form FIRST,LAST'),
    ],
)
def test_each_problem_is_reported(line, problem):
    """Guards against a process that starts with invalid settings."""
    with pytest.raises(settings_file.SettingsFileError, match=problem):
        settings_file.decode(SETTINGS_TEXT + line)


def test_exit_codes_of_the_check_option(tmp_path, monkeypatch):
    """Guards against problems that are detected only at start-up."""
    path = tmp_path / 'local.conf'
    path.write_text(SETTINGS_TEXT)
    runner = testing.CliRunner()
    monkeypatch.delenv(entry_point.SETTINGS_VARIABLE, raising=False)
    assert runner.invoke(entry_point.main, ['--check']).exit_code == 2
    monkeypatch.setenv(entry_point.SETTINGS_VARIABLE, str(path))
    assert runner.invoke(entry_point.main, ['--check']).exit_code == 0
    path.write_text('node=x')
    result = runner.invoke(entry_point.main, ['--check'])
    assert result.exit_code == 3
    assert 'zone: missing' in result.output
