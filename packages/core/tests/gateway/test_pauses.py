"""Tests of the pauses that targets request."""

from dotterelweir_core.gateway import pauses
from dotterelweir_core.gateway import targets


def target(started_ms=1):
    return targets.Target(
        't1',
        'model',
        '10.0.0.1',
        80,
        'a',
        8,
        targets.TargetState.READY,
        started_ms=started_ms,
    )


def test_the_latest_end_of_several_pauses_holds():
    """Guards against a short pause that ends a longer one early."""
    registry = pauses.PauseRegistry()
    registry.extend(target(), 30.0)
    registry.extend(target(), 12.0)
    assert registry.is_paused(target(), 29.9)
    assert not registry.is_paused(target(), 30.0)


def test_a_restarted_target_is_not_paused():
    """Guards against a restarted target that gets no requests for a year."""
    registry = pauses.PauseRegistry()
    registry.extend(target(), 31_536_000.0)
    assert registry.is_paused(target(), 1.0)
    assert not registry.is_paused(target(started_ms=2), 1.0)
