"""Tests of the checks that the soak test makes."""

import pytest

from dotterelweir_fakes.soak import guarantees


@pytest.fixture
def ledger():
    return guarantees.Ledger()


def test_clean_request_has_no_violation(ledger):
    """Guards against violations that are reported for a correct request."""
    ledger.expect_at_most_once('r')
    ledger.begin_run('r', 't', False, 0.0).ended_s = 1.0
    ledger.record_answer('r', 200, b'ab', b'ab')
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
def test_body_and_status_of_answers_are_checked(ledger, status, body, broken):
    """Guards against accepting short, foreign or rejecting answers."""
    ledger.record_answer('r', status, body, b'ab')
    assert bool(ledger.violations) is broken


def test_run_after_not_run_is_reported(ledger):
    """Guards against missing a request that ran after its refusal."""
    ledger.record_answer('r', 503, b'', b'ab')
    ledger.begin_run('r', 't', False, 5.0)
    ledger.check()
    assert ledger.violations == ['r: reported as not run, but it ran']


@pytest.mark.parametrize(('continued', 'count'), [(False, 1), (True, 0)])
def test_second_run_is_reported(ledger, continued, count):
    """Guards against missing a second run; a continuation is allowed."""
    ledger.expect_at_most_once('r')
    ledger.begin_run('r', 't1', False, 0.0).ended_s = 1.0
    ledger.begin_run('r', 't2', continued, 1.1).ended_s = 2.0
    ledger.check()
    assert len(ledger.violations) == count


@pytest.mark.parametrize(
    ('end_s', 'disturbed', 'count'),
    [(1.2, False, 0), (3.0, False, 1), (None, False, 1), (3.0, True, 0)],
)
def test_overlapping_runs_are_reported(ledger, end_s, disturbed, count):
    """Guards against missing two targets that run a request at once."""
    ledger.expect_at_most_once('r')
    first = ledger.begin_run('r', 't1', False, 0.0)
    first.ended_s, first.disturbed = end_s, disturbed
    ledger.begin_run('r', 't2', True, 1.0).ended_s = 2.0
    ledger.check()
    assert len(ledger.violations) == count


def test_partial_answer_with_foreign_bytes_is_reported(ledger):
    """Guards against missing mixed answers that were interrupted."""
    ledger.record_partial_answer('r', b'ab', b'abc')
    ledger.record_partial_answer('r', b'ax', b'abc')
    assert len(ledger.violations) == 1
