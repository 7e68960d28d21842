"""Eras of the store."""

import pytest

from dotterelweir_core.gateway import eras

CHANGE = eras.EraChange


def answered(*answers):
    """A tracker after answers of the store, each an era and a time."""
    tracker = eras.EraTracker()
    for era, at_s in answers:
        tracker.take_answer(era, at_s)
    return tracker


def test_a_higher_era_begins_another_one():
    """Guards against offsets of one era that are used in the next."""
    tracker = eras.EraTracker()
    changes = [tracker.take_answer(era, 0.0) for era in (3, 3, 4, 6)]
    assert changes == [CHANGE.FIRST, CHANGE.NONE, CHANGE.OTHER, CHANGE.OTHER]


def test_a_lower_era_is_believed_only_if_it_stays():
    """Guards against late answers, and against ignoring a new store."""
    tracker = answered((4, 0.0))
    assert tracker.take_answer(3, 1.0) is CHANGE.LATE
    assert tracker.take_answer(4, 2.0) is CHANGE.NONE
    assert tracker.take_answer(3, 7.0) is CHANGE.LATE
    assert tracker.take_answer(3, 11.9) is CHANGE.LATE
    assert tracker.take_answer(3, 12.0) is CHANGE.OTHER
    assert tracker.era == 3


def test_the_store_overrules_a_peer_at_once():
    """Guards against a peer that names an era which the store never had."""
    tracker = answered((4, 0.0))
    assert tracker.take_peer(9) is CHANGE.OTHER
    assert tracker.take_answer(4, 1.0) is CHANGE.OTHER
    assert tracker.take_answer(3, 1.1) is CHANGE.LATE


@pytest.mark.parametrize(
    ('era', 'change'), [(3, CHANGE.LATE), (4, CHANGE.NONE), (5, CHANGE.OTHER)]
)
def test_a_peer_of_an_earlier_era_is_of_no_use(era, change):
    """Guards against what a peer knew before the store came back."""
    assert answered((4, 0.0)).take_peer(era) is change


def test_an_era_is_news_once():
    """Guards against reads again and again for a peer's claim."""
    tracker = answered((4, 0.0))
    assert not tracker.is_news(4)
    assert tracker.is_news(7)
    tracker.refute(7)
    assert not tracker.is_news(7)
    assert tracker.is_news(8)
    assert not eras.EraTracker().is_news(8)
