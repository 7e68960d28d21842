"""Tests of the counts of the load tool."""

import pytest

from dotterelweir_fakes.load import tally


def result(execution):
    outcome = tally.Outcome.REFUSED if execution else tally.Outcome.WHOLE
    return tally.CallResult(outcome, execution, business_key='key')


@pytest.mark.parametrize(
    ('told', 'executions', 'faults'),
    [
        (['not run'], 0, 0),
        (['not run'], 1, 1),
        (['not run', 'not run'], 1, 1),
        # The first call ran, and its retry is reported as not run.
        (['', 'not run'], 1, 1),
        (['not run', ''], 1, 0),
        (['unknown', 'not run'], 1, 0),
        (['', 'not run'], 2, 1),
    ],
)
def test_false_not_run_is_counted(told, executions, faults):
    """Guards against wrong counts of false reports of ``not run``."""
    counts = tally.Tally([result(execution) for execution in told])
    summary = counts.summary({'key': executions})
    assert summary['ran_despite_not_run'] == faults
