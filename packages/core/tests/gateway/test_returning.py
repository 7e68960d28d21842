"""Tests of what is kept about refused requests."""

from dotterelweir_core.gateway import returning


def test_the_age_is_kept_until_the_caller_gives_up():
    """Guards against callers that begin again behind all others."""
    callers = returning.ReturningCallers()
    callers.record_refusal('a', 1.0, 20.0)
    callers.record_refusal('b', 2.0, 5.0)
    assert callers.take('a', 6.0) == 1.0
    assert callers.take('b', 6.0) is None


def test_equal_requests_at_once_get_the_age_once():
    """Guards against callers that gain by many repeats."""
    callers = returning.ReturningCallers()
    callers.record_refusal('a', 1.0, 20.0)
    assert [callers.take('a', 2.0) for _ in range(3)] == [1.0, None, None]


def test_the_number_of_kept_requests_is_bounded():
    """Guards against memory that grows with refusals."""
    callers = returning.ReturningCallers()
    for number in range(5_000):
        callers.record_refusal(str(number), 1.0, 20.0)
    assert len(callers) == 2048
    assert callers.take('4999', 2.0) == 1.0
    assert callers.take('0', 2.0) is None
