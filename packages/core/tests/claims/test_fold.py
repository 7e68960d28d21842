"""Tests of the claim table of a claim stream."""

import pytest

from dotterelweir_core import errors
from dotterelweir_core.claims import fold
from dotterelweir_core.claims import keys
from dotterelweir_core.claims import records

WINDOW_S = 100.0
Verdict = fold.Verdict


def _claim(claim_id, request='r', key='k', key_time_s=None):
    return records.Claim(claim_id, key, request, key_time_s)


def _outcome(claim_id, execution=errors.Execution.RAN):
    return records.Outcome(claim_id, 'k', execution)


def _release(claim_id):
    return records.Release(claim_id, 'k')


@pytest.mark.parametrize(
    ('timed_records', 'verdict'),
    [
        ([(0, _claim('a'))], Verdict.GRANTED),
        ([(0, _claim('a')), (1, _claim('b'))], Verdict.IN_PROGRESS),
        ([(0, _claim('a')), (1, _claim('a'))], None),
        ([(0, _claim('a')), (1, _claim('b', 'other'))], Verdict.MISMATCH),
        ([(0, _claim('a')), (1, _claim('b', key='other'))], Verdict.GRANTED),
        (
            [(0, _claim('a')), (1, _outcome('a')), (2, _claim('b'))],
            Verdict.ENDED,
        ),
        (
            [(0, _claim('a')), (1, _outcome('a')), (2, _claim('b', 'other'))],
            Verdict.MISMATCH,
        ),
        (
            [(0, _claim('a')), (1, _release('a')), (2, _claim('b'))],
            Verdict.GRANTED,
        ),
        (
            [(0, _claim('a')), (1, _release('b')), (2, _claim('c'))],
            Verdict.IN_PROGRESS,
        ),
        (
            [
                (0, _claim('a')),
                (1, _outcome('a')),
                (2, _release('a')),
                (3, _claim('b')),
            ],
            Verdict.ENDED,
        ),
        (
            [(0, _claim('a')), (1, _outcome('b')), (2, _claim('c'))],
            Verdict.IN_PROGRESS,
        ),
        ([(0, _claim('a')), (WINDOW_S, _claim('b'))], Verdict.IN_PROGRESS),
        ([(0, _claim('a')), (WINDOW_S + 1, _claim('b'))], Verdict.GRANTED),
        ([(0, _claim('a', key_time_s=-WINDOW_S - 1))], Verdict.KEY_EXPIRED),
        (
            [(0, _claim('a', key_time_s=keys.FUTURE_TOLERANCE_S + 1))],
            Verdict.KEY_IN_FUTURE,
        ),
        (
            [
                (0, _claim('a', key_time_s=50.0)),
                (WINDOW_S + 50, _claim('b', key_time_s=50.0)),
            ],
            Verdict.IN_PROGRESS,
        ),
        (
            [
                (0, _claim('a', key_time_s=50.0)),
                (WINDOW_S + 51, _claim('b', key_time_s=50.0)),
            ],
            Verdict.KEY_EXPIRED,
        ),
        ([(5, _claim('a')), (0, _claim('b'))], Verdict.IN_PROGRESS),
    ],
)
def test_the_first_live_claim_of_a_key_wins(timed_records, verdict):
    """Guards against a second grant while a claim is live."""
    table = fold.ClaimTable(WINDOW_S)
    decision = None
    for offset, (time_s, record) in enumerate(timed_records):
        decision = table.apply(offset, time_s, record)
    assert (decision and decision.verdict) == verdict


def test_the_first_outcome_is_replayed():
    """Guards against a retry that gets a later, different response."""
    table = fold.ClaimTable(WINDOW_S)
    table.apply(7, 0.0, _claim('a'))
    table.apply(8, 0.0, _outcome('a'))
    table.apply(9, 0.0, _outcome('a', errors.Execution.UNKNOWN))
    decision = table.apply(10, 0.0, _claim('b'))
    assert decision.outcome_offset == 8
    assert decision.execution is errors.Execution.RAN


def test_memory_is_bounded_by_the_window():
    """Guards against claims or expiries that accumulate."""
    table = fold.ClaimTable(WINDOW_S)
    for number in range(5_000):
        claim = _claim(f'c{number}', key=f'k{number}')
        table.apply(2 * number, number, claim)
        if number % 2:
            table.apply(
                2 * number + 1,
                number,
                records.Release(claim.claim_id, claim.key_hash),
            )
        assert len(table) <= WINDOW_S / 2 + 2
    for _ in range(5_000):
        table.apply(0, 5_000.0, _claim('x'))
        table.apply(0, 5_000.0, _release('x'))
    assert len(table._expiries) < 2_000
