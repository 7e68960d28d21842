"""Tests of the ``experiment`` command."""

import json
import pathlib

from click import testing
import pytest

from dotterelweir_fakes import __main__ as program
from dotterelweir_fakes import experiment
from dotterelweir_fakes.measurement import crest
from dotterelweir_fakes.measurement import crest_load

EXAMPLE = pathlib.Path(__file__).parents[2] / 'docs/experiments/crest.json5'
# One engine and few requests, so that the simulation is fast.
SMALL = """{
  // A load.
  small: {
    engine_count: 1,
    instances: 2,
    seconds: 5,
    kinds: [
      {name: 'short', per_s: 2, prompt_tokens: 500, output_tokens: 5,
       objective_s: 1.5},
    ],
    costs: {chunk_tokens: 112, base_s: 0.007},
  },
}"""


def test_the_example_can_be_read():
    """Guards against an example file with keys that the code lacks."""
    loads = experiment.decode_loads(EXAMPLE.read_text())
    assert all(
        isinstance(load, crest_load.PeakLoad) for load in loads.values()
    )


@pytest.mark.parametrize(
    'text', ['[]', '{a: 1}', '{a: {}}', '{a: {kinds: [{}], costs: {}}}', '{']
)
def test_a_malformed_file_is_rejected(tmp_path, text):
    """Guards against a stack trace instead of an error message."""
    path = tmp_path / 'loads.json5'
    path.write_text(text)
    result = testing.CliRunner().invoke(
        program.main, ['experiment', str(path)]
    )
    assert result.exit_code == 1
    assert 'Error: ' in result.output


def test_the_command_prints_and_draws(tmp_path):
    """Guards against output that cannot be parsed and an empty plot."""
    path, plot = tmp_path / 'loads.json5', tmp_path / 'shares.png'
    path.write_text(SMALL)
    arguments = ['--seeds', '2', '--workers', '1', '--plot', str(plot)]
    result = testing.CliRunner().invoke(
        program.main, ['experiment', str(path), *arguments]
    )
    assert result.exit_code == 0, result.output
    summary = json.loads(result.output.splitlines()[-1])
    assert {row['rule'] for row in summary['rows']} == {
        rule.name.lower() for rule in crest.AdmissionRule
    }
    assert all(0 <= row['on_time'] <= 1 for row in summary['rows'])
    assert plot.stat().st_size > 0
