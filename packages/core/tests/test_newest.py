"""Tests of the bounded map of the newest entries."""

from dotterelweir_core import newest


def test_the_oldest_entry_is_dropped():
    """Guards against memory that grows with the number of keys ever put."""
    newest_map = newest.NewestMap(2)
    for key in ('a', 'b', 'a', 'c'):
        newest_map.put(key, key.upper())
    assert list(newest_map.items()) == [('a', 'A'), ('c', 'C')]
