"""Tests of the directory of targets, built from records and departures."""

import pytest

from dotterelweir_core.gateway import targets


def target(name='t1', state=targets.TargetState.READY, service='model'):
    return targets.Target(name, service, '10.0.0.1', 80, 'a', 8, state)


DRAINING = target(state=targets.TargetState.DRAINING)


def test_a_change_is_reported_once():
    """Guards against heartbeats that are reported as changes."""
    directory = targets.TargetDirectory()
    assert directory.apply('t1', target(), 3).before is None
    assert directory.apply('t1', target(), 4) is None
    assert directory.apply('t1', DRAINING, 5).after == DRAINING
    assert not directory.takes_work('t1')


def test_an_older_record_changes_nothing():
    """Guards against records relayed by a peer that arrive late."""
    directory = targets.TargetDirectory()
    directory.apply('t1', DRAINING, 5)
    assert directory.apply('t1', target(), 4) is None
    assert directory.apply('t1', None, 5) is None
    assert directory.targets['t1'] == DRAINING


def test_a_target_missing_from_a_snapshot_is_gone():
    """Guards against targets that stay after a removal that was not read."""
    directory = targets.TargetDirectory()
    directory.apply('t1', target(), 3)
    directory.apply('t2', target('t2'), 4)
    (change,) = directory.apply_snapshot({'t1': (target(), 6)}, 7)
    assert change.target_id == 't2'
    assert change.after is None
    assert [t.target_id for t in directory.of_service('model')] == ['t1']


def test_a_stale_snapshot_removes_nothing_newer():
    """Guards against a stale read that removes a new target."""
    directory = targets.TargetDirectory()
    directory.apply('t2', target('t2'), 9)
    assert directory.apply_snapshot({}, 7) == []
    assert directory.takes_work('t2')


@pytest.mark.parametrize('after', [None, target(service='plain')])
def test_a_target_leaves_its_service(after):
    """Guards against a reused id that stays listed in its old service."""
    directory = targets.TargetDirectory()
    directory.apply('t1', target(), 1)
    directory.apply('t1', after, 2)
    assert directory.of_service('model') == []
    assert len(directory.of_service('plain')) == (after is not None)


def test_a_delayed_record_of_a_departed_target_is_ignored():
    """Guards against reuse of targets that departed before a snapshot.

    The snapshot no longer contains the target, so only the end offset of the
    snapshot shows that a delayed record of the target is stale.
    """
    directory = targets.TargetDirectory()
    directory.apply('t1', target(), 3)
    directory.apply_snapshot({'t2': (target('t2'), 6)}, 8)
    assert directory.apply('t1', target(), 5) is None
    assert list(directory.targets) == ['t2']
    # A target that starts again under its id has a newer record.
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
    """Guards against work for a leaving target that the store has as ready."""
    directory = targets.TargetDirectory()
    directory.apply('t1', started_target(), 3)
    change = directory.apply_departure(announced_departure())
    assert change.after.state is targets.TargetState.DRAINING
    assert directory.apply_departure(announced_departure()) is None
    # After heartbeats, an outage and a rewind the store lists the target
    # as ready.
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
    """Guards against needless reads of the store by other instances.

    An announced departure is not in the store, so that instances which have
    not received it yet would read the store in vain.
    """
    directory = targets.TargetDirectory()
    directory.apply('t1', started_target(), 3)
    before = directory.fingerprint
    directory.apply_departure(announced_departure())
    assert directory.fingerprint == before


@pytest.mark.parametrize('registered', [False, True])
def test_a_departure_of_another_start_changes_nothing(registered):
    """Guards against a departure that is applied to a later start."""
    directory = targets.TargetDirectory()
    if registered:
        directory.apply('t1', started_target(started_ms=2000), 3)
    assert directory.apply_departure(announced_departure()) is None
    directory.apply('t1', started_target(started_ms=2000), 4)
    assert directory.takes_work('t1')


def test_records_of_a_new_era_are_newer():
    """Guards against records that are ignored for their lower offsets.

    After a rewind the store assigns offsets that it had assigned before.
    """
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
    """Guards against reuse of departed targets after a rewind."""
    directory = targets.TargetDirectory()
    directory.apply('t1', started_target(), 3)
    directory.apply('t1', last, 10)
    directory.begin_era()
    directory.apply_snapshot({'t1': (started_target(), 3)}, 5)
    assert not directory.takes_work('t1')
    # A target that is still running registers again.
    directory.apply('t1', started_target(), 5)
    assert directory.takes_work('t1')


def test_a_rewind_does_not_restore_an_earlier_start():
    """Guards against use of the address of an earlier start."""
    directory = targets.TargetDirectory()
    directory.apply('t1', started_target(), 3)
    directory.apply('t1', started_target(started_ms=2000), 10)
    for _ in range(2):
        directory.begin_era()
        directory.apply_snapshot({'t1': (started_target(), 3)}, 5)
    assert directory.targets['t1'].started_ms == 2000


def test_a_new_instance_learns_departures_from_before_a_rewind():
    """Guards against a new instance that knows only the restored copy."""
    directory = targets.TargetDirectory()
    directory.apply_snapshot({'t1': (started_target(), 3)}, 5)
    departure = targets.Departure('t1', 1000, announced=False)
    assert directory.apply_departure(departure).after is None
    assert not directory.takes_work('t1')
    directory.apply('t1', started_target(), 6)
    assert directory.takes_work('t1')
    # A stale report of a peer does not undo the newer record of the store.
    assert directory.apply_departure(departure) is None
    assert directory.takes_work('t1')


def test_departures_are_bounded():
    """Guards against memory use that grows with every departure."""
    directory = targets.TargetDirectory()
    for number in range(5_000):
        directory.apply_departure(
            targets.Departure(f't{number}', 1, announced=True)
        )
    assert len(directory.departures(10_000)) == 4_096
