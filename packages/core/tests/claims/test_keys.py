"""Tests of idempotency keys."""

import uuid

import pytest

from dotterelweir_core import errors
from dotterelweir_core.claims import keys
from dotterelweir_core.tables import model as tables_model

ANY = tables_model.KeyFormat.ANY
UUID7 = tables_model.KeyFormat.UUID7
UUID_V7 = '018bcfe5-6800-7abc-8def-0123456789ab'


@pytest.mark.parametrize(
    ('value', 'key_format', 'text', 'time_s'),
    [
        ('order 17', ANY, 'order 17', None),
        (' "order-17" ', ANY, 'order-17', None),
        (UUID_V7, ANY, UUID_V7, 1.7e9),
        (f'"{UUID_V7.upper()}"', UUID7, UUID_V7, 1.7e9),
        (str(uuid.UUID(int=1, version=4)), ANY, None, None),
    ],
)
def test_keys_are_parsed(value, key_format, text, time_s):
    """Guards against two spellings of a key that execute a call twice."""
    key = keys.parse(value, key_format)
    assert key.text == (text or value)
    assert key.time_s == time_s


@pytest.mark.parametrize(
    ('value', 'key_format'),
    [
        ('', ANY),
        ('""', ANY),
        ('a\x01', ANY),
        ('a' * (keys.KEY_MAX_LENGTH + 1), ANY),
        ('order-17', UUID7),
        (str(uuid.UUID(int=1, version=4)), UUID7),
        (UUID_V7.replace('-', ''), UUID7),
    ],
)
def test_keys_of_an_invalid_form_are_refused(value, key_format):
    """Guards against keys without a creation time on a uuid7 route."""
    with pytest.raises(errors.DotterelweirError) as caught:
        keys.parse(value, key_format)
    assert caught.value.kind is errors.ErrorKind.IDEMPOTENCY_KEY_INVALID


def test_moving_bytes_between_parts_changes_the_digest():
    """Guards against two organisations whose keys share a claim."""
    assert keys.digest(b'ab', b'c') != keys.digest(b'a', b'bc')


def test_keys_are_spread_evenly_over_partitions():
    """Guards against a hash that assigns all keys to one stream."""
    used = [
        keys.partition(keys.digest(str(number).encode()), 4)
        for number in range(400)
    ]
    assert min(used.count(number) for number in range(4)) > 60
