"""The directory of targets, folded from records."""

import pytest

from dotterelweir_core.gateway import targets


def target(name='t1', state=targets.TargetState.READY, service='model'):
    return targets.Target(name, service, '10.0.0.1', 80, 'a', 8, state)


DRAINING = target(state=targets.TargetState.DRAINING)


def test_a_change_is_told_once():
    """Guards against heartbeats that look like changes."""
    directory = targets.TargetDirectory()
    assert directory.apply('t1', target(), 3).before is None
    assert directory.apply('t1', target(), 4) is None
    assert directory.apply('t1', DRAINING, 5).after == DRAINING
    assert not directory.takes_work('t1')


def test_an_older_record_changes_nothing():
    """Guards against news of a peer that arrive late."""
    directory = targets.TargetDirectory()
    directory.apply('t1', DRAINING, 5)
    assert directory.apply('t1', target(), 4) is None
    assert directory.apply('t1', None, 5) is None
    assert directory.targets['t1'] == DRAINING


def test_a_target_missing_from_a_snapshot_is_gone():
    """Guards against targets that were removed while nobody read."""
    directory = targets.TargetDirectory()
    directory.apply('t1', target(), 3)
    directory.apply('t2', target('t2'), 4)
    (change,) = directory.apply_snapshot({'t1': (target(), 6)}, 7)
    assert change.target_id == 't2'
    assert change.after is None
    assert [t.target_id for t in directory.of_service('model')] == ['t1']


def test_a_stale_snapshot_removes_nothing_newer():
    """Guards against a stale read that hides a new target."""
    directory = targets.TargetDirectory()
    directory.apply('t2', target('t2'), 9)
    assert directory.apply_snapshot({}, 7) == []
    assert directory.takes_work('t2')


@pytest.mark.parametrize('after', [None, target(service='plain')])
def test_a_target_leaves_its_service(after):
    """Guards against a reused name that stays in its old service."""
    directory = targets.TargetDirectory()
    directory.apply('t1', target(), 1)
    directory.apply('t1', after, 2)
    assert directory.of_service('model') == []
    assert len(directory.of_service('plain')) == (after is not None)


def test_late_news_of_a_target_that_left_changes_nothing():
    """Guards against targets in use again that left before a snapshot.

    The snapshot no longer names the target, so that only its end tells that
    a delayed record of it is old.
    """
    directory = targets.TargetDirectory()
    directory.apply('t1', target(), 3)
    directory.apply_snapshot({'t2': (target('t2'), 6)}, 8)
    assert directory.apply('t1', target(), 5) is None
    assert list(directory.targets) == ['t2']
    # A target that starts again under its name is newer.
    assert directory.apply('t1', target(), 8).after == target()
