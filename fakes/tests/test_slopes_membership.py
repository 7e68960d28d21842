"""Tests of the command that measures the costs of membership."""

from click import testing

from dotterelweir_fakes import slopes_membership


def test_the_command_prints_tables_and_fits():
    """Guards against a command that fails on its smallest sizes."""
    result = testing.CliRunner().invoke(
        slopes_membership.membership,
        ['--size', '2', '--size', '4', '--repeats', '1', '--seconds', '1'],
    )
    assert result.exit_code == 0, result.output
    for title in ('sent_bytes_per_s', 'cpu_percent', 'memory_bytes', 'fit:'):
        assert title in result.output


def test_steady_costs_stay_below_their_limits():
    """Guards against membership traffic or propagation above its limits."""
    costs = slopes_membership.measure(25, 1, 10.0)
    assert 500 < costs.sent_most_bytes_per_s < 2048
    assert costs.news_s < 2.0
