"""Tests of the table of error responses."""

from dotterelweir_core import errors


def test_every_kind_has_an_answer():
    """Guards against a new error kind without an HTTP response."""
    assert set(errors.RESPONSES) == set(errors.ErrorKind)
