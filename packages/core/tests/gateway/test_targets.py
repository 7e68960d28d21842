"""The directory of targets, folded from records."""

import pytest

from dotterelweir_core.gateway import targets


def target(name='t1', state=targets.TargetState.READY, service='model'):
    return targets.Target(name, service, '10.0.0.1', 80, 'a', 8, state)


DRAINING = target(state=targets.TargetState.DRAINING)


def test_a_change_is_reported_once():
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


def test_a_delayed_record_of_a_departed_target_is_ignored():
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


def started_target(
    name='t1', started_ms=1000, state=targets.TargetState.READY
):
    return targets.Target(
        name, 'model', '10.0.0.1', 80, 'a', 8, state, started_ms=started_ms
    )


def announced_departure(started_ms=1000):
    return targets.Departure('t1', started_ms, announced=True)


def test_a_target_that_announced_its_departure_stays_draining():
    """Guards against new work while the store still says ready."""
    directory = targets.TargetDirectory()
    directory.apply('t1', started_target(), 3)
    change = directory.apply_departure(announced_departure())
    assert change.after.state is targets.TargetState.DRAINING
    assert directory.apply_departure(announced_departure()) is None
    # Heartbeats, an outage and a rewind all say ready.
    assert directory.apply('t1', started_target(), 5) is None
    directory.apply('t1', None, 6)
    directory.apply('t1', started_target(), 7)
    directory.begin_era()
    directory.apply_snapshot({'t1': (started_target(), 2)}, 4)
    directory.apply('t1', started_target(), 8)
    assert not directory.takes_work('t1')
    assert (
        directory.apply('t1', started_target(started_ms=2000), 9) is not None
    )
    assert directory.takes_work('t1')


def test_the_fingerprint_ignores_announced_departures():
    """Guards against reads of the store by those who were not told."""
    directory = targets.TargetDirectory()
    directory.apply('t1', started_target(), 3)
    before = directory.fingerprint
    directory.apply_departure(announced_departure())
    assert directory.fingerprint == before


@pytest.mark.parametrize('registered', [False, True])
def test_a_departure_of_another_start_changes_nothing(registered):
    """Guards against a new start that is taken for the one that left."""
    directory = targets.TargetDirectory()
    if registered:
        directory.apply('t1', started_target(started_ms=2000), 3)
    assert directory.apply_departure(announced_departure()) is None
    directory.apply('t1', started_target(started_ms=2000), 4)
    assert directory.takes_work('t1')


def test_records_of_a_new_era_are_newer():
    """Guards against records that wait for offsets of before a rewind."""
    directory = targets.TargetDirectory()
    directory.apply('t1', started_target(), 500)
    directory.begin_era()
    directory.apply_snapshot({'t1': (started_target(), 100)}, 120)
    draining = started_target(state=targets.TargetState.DRAINING)
    assert directory.apply('t1', draining, 121).after == draining


@pytest.mark.parametrize(
    'last', [None, started_target(state=targets.TargetState.DRAINING)]
)
def test_a_rewind_does_not_restore_departed_targets(last):
    """Guards against targets in use again after the store came back."""
    directory = targets.TargetDirectory()
    directory.apply('t1', started_target(), 3)
    directory.apply('t1', last, 10)
    directory.begin_era()
    directory.apply_snapshot({'t1': (started_target(), 3)}, 5)
    assert not directory.takes_work('t1')
    # One that lives after all registers again.
    directory.apply('t1', started_target(), 5)
    assert directory.takes_work('t1')


def test_a_rewind_does_not_restore_an_earlier_start():
    """Guards against the address of a start that has ended."""
    directory = targets.TargetDirectory()
    directory.apply('t1', started_target(), 3)
    directory.apply('t1', started_target(started_ms=2000), 10)
    for _ in range(2):
        directory.begin_era()
        directory.apply_snapshot({'t1': (started_target(), 3)}, 5)
    assert directory.targets['t1'].started_ms == 2000


def test_a_new_instance_learns_departures_from_before_a_rewind():
    """Guards against a restarted instance that only knows the copy."""
    directory = targets.TargetDirectory()
    directory.apply_snapshot({'t1': (started_target(), 3)}, 5)
    departure = targets.Departure('t1', 1000, announced=False)
    assert directory.apply_departure(departure).after is None
    assert not directory.takes_work('t1')
    directory.apply('t1', started_target(), 6)
    assert directory.takes_work('t1')
    # Old news of a peer do not undo what the store said since.
    assert directory.apply_departure(departure) is None
    assert directory.takes_work('t1')


def test_departures_are_bounded():
    """Guards against memory that grows with each target that ever left."""
    directory = targets.TargetDirectory()
    for number in range(5_000):
        directory.apply_departure(
            targets.Departure(f't{number}', 1, announced=True)
        )
    assert len(directory.departures(10_000)) == 4_096
