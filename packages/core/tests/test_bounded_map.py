"""Tests of the bounded map of the newest entries."""

from dotterelweir_core import bounded_map


def test_the_oldest_entry_is_dropped():
    """Guards against memory that grows with the number of keys ever put."""
    entries = bounded_map.BoundedMap(2)
    for key in ('a', 'b', 'a', 'c'):
        entries.put(key, key.upper())
    assert list(entries.items()) == [('a', 'A'), ('c', 'C')]
