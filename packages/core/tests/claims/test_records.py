"""Tests of the records of the claim streams."""

import pytest

from dotterelweir_core import errors
from dotterelweir_core.claims import records


@pytest.mark.parametrize(
    'record',
    [
        records.Claim('c1', 'k', 'r', 1.8e9),
        records.Release('c1', 'k'),
        records.Outcome('c1', 'k', errors.Execution.UNKNOWN),
        records.Outcome(
            'c1',
            'k',
            errors.Execution.RAN,
            201,
            (('Set-Cookie', 'a'), ('Set-Cookie', 'b')),
            b'\x00\xff',
        ),
    ],
)
def test_records_round_trip(record):
    """Guards against a replayed response that differs from the first."""
    assert records.decode(records.encode(record)) == record


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'\xff',
        b'1',
        b'[]',
        b'{}',
        b'{"kind": "unheard-of"}',
        b'{"kind": [], "claim_id": "c"}',
        b'{"kind": "claim", "claim_id": "", "key_hash": "k", '
        b'"request_hash": "r"}',
        b'{"kind": "outcome", "claim_id": "c", "key_hash": "k", '
        b'"execution": "maybe"}',
    ],
)
def test_unreadable_records_raise_value_error(data):
    """Guards against an invalid record that stops reading the stream."""
    with pytest.raises(ValueError, match=r'.'):
        records.decode(data)


def test_unknown_fields_are_ignored():
    """Guards against upgrades whose records old instances cannot decode."""
    data = records.encode(records.Release('c', 'k'))[:-1] + b',"new":1}'
    assert records.decode(data) == records.Release('c', 'k')
