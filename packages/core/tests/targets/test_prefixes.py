"""Tests of the prefix index."""

from dotterelweir_core.targets import prefixes


def stored(sequence, prefix_hash):
    return prefixes.CacheEvent(
        sequence, prefixes.CacheEventKind.STORED, prefix_hash
    )


def removed(sequence, prefix_hash):
    return prefixes.CacheEvent(
        sequence, prefixes.CacheEventKind.REMOVED, prefix_hash
    )


def test_matching_stops_at_the_first_missing_prefix():
    """Guards against a match of a prefix whose beginning was evicted."""
    index = prefixes.PrefixIndex(10)
    assert index.apply((stored(0, 1), stored(1, 2), stored(2, 3)))
    assert index.match_length((1, 2, 9)) == 2
    index.apply((removed(3, 1),))
    assert index.match_length((1, 2)) == 0


def test_a_gap_empties_the_index():
    """Guards against stale prefixes after a missed removal event."""
    index = prefixes.PrefixIndex(10)
    index.apply((stored(0, 1),))
    assert not index.apply((stored(2, 5),))
    assert index.match_length((1,)) == 0
    assert index.match_length((5,)) == 1
    assert not index.apply((), first_available=9)
    assert index.match_length((5,)) == 0
    assert index.next_sequence == 9


def test_repeated_events_change_nothing():
    """Guards against events that are read again after a lost response."""
    index = prefixes.PrefixIndex(10)
    index.apply((stored(0, 1), removed(1, 1)))
    assert index.apply((stored(0, 1),))
    assert index.match_length((1,)) == 0


def test_the_index_is_bounded():
    """Guards against memory use that grows with the engine's cache."""
    index = prefixes.PrefixIndex(2)
    index.apply((stored(0, 1), stored(1, 2), stored(2, 3)))
    assert [index.match_length((value,)) for value in (1, 2, 3)] == [0, 1, 1]
