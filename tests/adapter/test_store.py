"""Formats of the platform's store."""

import struct

import pytest

from dotterelweir_platform import store
from dotterelweird.gateway import api

HEAD = struct.pack('>QQ', 9, 0)


def record(key, value):
    content = bytes([len(key)]) + key + value
    return struct.pack('>I', len(content)) + content


def test_records_are_numbered_from_the_asked_offset():
    """Guards against offsets that are one off."""
    body = HEAD + record(b'a', b'1') + record(b'b', b'')
    batch = store.parse_records(body, 7)
    assert batch.records == (
        api.Record('a', b'1', 7),
        api.Record('b', None, 8),
    )
    assert batch.end == 9


def test_a_read_that_was_bounded_says_so():
    """Guards against records left unread until the next turn."""
    head = struct.pack('>QQ', 9, 0)
    assert store.parse_records(head + record(b'a', b'1'), 7).more
    assert not store.parse_records(head + record(b'a', b'1'), 8).more


def test_an_empty_read_stays_where_it_is():
    """Guards against records that are skipped after a wait."""
    assert store.parse_records(HEAD, 7) == api.Batch((), 7)


@pytest.mark.parametrize(
    'body',
    [
        b'',
        HEAD[:9],
        HEAD + b'\x00\x00',
        HEAD + record(b'a', b'1')[:-1],
        HEAD + struct.pack('>I', 0),
    ],
)
def test_a_cut_body_is_no_answer(body):
    """Guards against a cut answer that is taken for a short one."""
    with pytest.raises(api.StoreUnavailable):
        store.parse_records(body, 7)
