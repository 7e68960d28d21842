"""Tests of the replay of leases."""

import pytest

from dotterelweir_core.leases import fold


@pytest.mark.parametrize(
    ('acquires', 'granted'),
    [
        ([(0, 'a')], [0]),
        ([(0, 'a'), (5, 'b')], [0, None]),
        ([(0, 'a'), (5, 'a'), (16, 'b'), (21, 'b')], [0, 0, None, 3]),
        ([(0, 'a'), (15, 'b'), (16, 'a')], [0, 1, None]),
        ([(0, 'a'), (15, 'a')], [0, 1]),
        ([(9, 'a'), (0, 'b')], [0, None]),
    ],
)
def test_one_holder_at_a_time(acquires, granted):
    """Guards against two holders, and a fencing token kept after expiry."""
    table = fold.LeaseTable()
    fencings = []
    for offset, (time_s, holder) in enumerate(acquires):
        lease = table.apply(
            offset, time_s, fold.Acquire('orders/p', holder, 'r', 15.0)
        )
        fencings.append(None if lease is None else lease.fencing)
    assert fencings == granted


@pytest.mark.parametrize(
    'data',
    [b'', b'[]', b'{"kind": "acquire"}', b'\xff']
    + [fold.encode(fold.Acquire('l', 'h', 'r', 0.0))],
)
def test_invalid_records_are_rejected(data):
    """Guards against a malformed record that stops the replay."""
    with pytest.raises(ValueError, match=r'.'):
        fold.decode(data)


def test_records_of_other_kinds_are_ignored():
    """Guards against an error for record kinds that are added later."""
    assert fold.decode(b'{"kind": "later"}') is None
    record = fold.Acquire('l', 'h', 'r', 15.0)
    assert fold.decode(fold.encode(record)) == record
