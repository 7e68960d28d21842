"""The checks of the soak."""

import pytest

from dotterelweir_fakes.soak import promises


@pytest.fixture
def ledger():
    return promises.Ledger()


def test_a_clean_request_breaks_nothing(ledger):
    """Guards against checks that cry wolf."""
    ledger.expect_once('r')
    ledger.begin_run('r', 't', False, 0.0).ended_s = 1.0
    ledger.answer('r', 200, b'ab', b'ab')
    ledger.check()
    assert (ledger.whole, ledger.violations) == (1, [])


@pytest.mark.parametrize(
    ('status', 'body', 'broken'),
    [
        (200, b'a', True),
        (200, b'xy', True),
        (404, b'', True),
        (401, b'', True),
        (502, b'', False),
        (503, b'', False),
    ],
)
def test_answers_are_checked(ledger, status, body, broken):
    """Guards against short, foreign and denied answers that pass."""
    ledger.answer('r', status, body, b'ab')
    assert bool(ledger.violations) is broken


def test_a_false_refusal_is_found(ledger):
    """Guards against "not run" for what ran, also when it runs later."""
    ledger.answer('r', 503, b'', b'ab')
    ledger.begin_run('r', 't', False, 5.0)
    ledger.check()
    assert ledger.violations == ['r: told "not run", but it ran']


@pytest.mark.parametrize(('continued', 'count'), [(False, 1), (True, 0)])
def test_a_second_run_is_found(ledger, continued, count):
    """Guards against second runs; one that goes on is the same run."""
    ledger.expect_once('r')
    ledger.begin_run('r', 't1', False, 0.0).ended_s = 1.0
    ledger.begin_run('r', 't2', continued, 1.1).ended_s = 2.0
    ledger.check()
    assert len(ledger.violations) == count


@pytest.mark.parametrize(
    ('end_s', 'disturbed', 'count'),
    [(1.2, False, 0), (3.0, False, 1), (None, False, 1), (3.0, True, 0)],
)
def test_two_engines_at_work_are_found(ledger, end_s, disturbed, count):
    """Guards against a run that goes on while its source still works."""
    ledger.expect_once('r')
    first = ledger.begin_run('r', 't1', False, 0.0)
    first.ended_s, first.disturbed = end_s, disturbed
    ledger.begin_run('r', 't2', True, 1.0).ended_s = 2.0
    ledger.check()
    assert len(ledger.violations) == count


def test_a_broken_answer_with_foreign_bytes_is_found(ledger):
    """Guards against joined runs that only break off."""
    ledger.partial('r', b'ab', b'abc')
    ledger.partial('r', b'ax', b'abc')
    assert len(ledger.violations) == 1
