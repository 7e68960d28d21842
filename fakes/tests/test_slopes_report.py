"""Tests of the reports of the ``slopes`` command."""

from click import testing

from dotterelweir_fakes import __main__ as fakes_main
from dotterelweir_fakes import slopes_report


def test_the_fit_has_the_slope_and_intercept_of_the_costs(capsys):
    """Guards against a slope that differs from the cost per unit."""
    slopes_report.measure_and_print(
        'bytes', (1, 2, 3, 4), lambda size: 10.0 + 5 * size
    )
    assert 'fit: 10 + 5 per size' in capsys.readouterr().out


def test_every_report_is_a_command_of_slopes():
    """Guards against a report in docs/CAPACITY.md without a command."""
    result = testing.CliRunner().invoke(fakes_main.main, ['slopes', '--help'])
    for name in ('membership', 'policy', 'state'):
        assert name in result.output
