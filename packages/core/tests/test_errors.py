"""Tests of the error table."""

from dotterelweir_core import errors


def test_every_kind_has_an_answer():
    """Guards against a new kind that callers would get no answer for."""
    assert set(errors.RESPONSES) == set(errors.ErrorKind)
