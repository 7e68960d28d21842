"""Tests of the tracking of the store's era."""

import pytest

from dotterelweir_core.gateway import eras

EraChange = eras.EraChange


def tracker_after(*answers):
    """Returns a tracker after answers of the store.

    Args:
        answers: Era and monotonic time in seconds of each answer.
    """
    tracker = eras.EraTracker()
    for era, at_s in answers:
        tracker.observe_store(era, at_s)
    return tracker


def test_a_higher_era_begins_another_one():
    """Guards against offsets of one era that are used in the next one."""
    tracker = eras.EraTracker()
    changes = [tracker.observe_store(era, 0.0) for era in (3, 3, 4, 6)]
    assert changes == [
        EraChange.FIRST,
        EraChange.UNCHANGED,
        EraChange.CHANGED,
        EraChange.CHANGED,
    ]


def test_a_lower_era_is_accepted_only_if_it_persists():
    """Guards against late answers that are used, or a rewind that is missed.

    A single answer of a lower era may be a delayed one; answers that persist
    show that the store itself is in that era.
    """
    tracker = tracker_after((4, 0.0))
    assert tracker.observe_store(3, 1.0) is EraChange.STALE
    assert tracker.observe_store(4, 2.0) is EraChange.UNCHANGED
    assert tracker.observe_store(3, 7.0) is EraChange.STALE
    assert tracker.observe_store(3, 11.9) is EraChange.STALE
    assert tracker.observe_store(3, 12.0) is EraChange.CHANGED
    assert tracker.era == 3


def test_the_store_overrules_a_peer_at_once():
    """Guards against a peer that reports an era the store never had."""
    tracker = tracker_after((4, 0.0))
    assert tracker.observe_peer(9) is EraChange.CHANGED
    assert tracker.observe_store(4, 1.0) is EraChange.CHANGED
    assert tracker.observe_store(3, 1.1) is EraChange.STALE


@pytest.mark.parametrize(
    ('era', 'change'),
    [(3, EraChange.STALE), (4, EraChange.UNCHANGED), (5, EraChange.CHANGED)],
)
def test_state_of_a_peer_in_an_earlier_era_is_stale(era, change):
    """Guards against state that a peer read before the store's rewind."""
    assert tracker_after((4, 0.0)).observe_peer(era) is change


def test_an_era_named_by_a_peer_is_checked_once():
    """Guards against repeated reads for one era reported by a peer."""
    tracker = tracker_after((4, 0.0))
    assert not tracker.is_unchecked(4)
    assert tracker.is_unchecked(7)
    tracker.mark_checked(7)
    assert not tracker.is_unchecked(7)
    assert tracker.is_unchecked(8)
    assert not eras.EraTracker().is_unchecked(8)
