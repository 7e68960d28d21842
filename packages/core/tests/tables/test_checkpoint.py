"""Tests of checkpoints and of the replay of a log."""

import base64
import copy
import zlib

import attrs
import orjson
import pytest

from dotterelweir_core.tables import checkpoint
from dotterelweir_core.tables import model
from dotterelweir_core.tables import records


def test_a_checkpoint_holds_the_whole_state(log):
    """Guards against a restored instance that decides edits differently."""
    log.fill(1_200)
    route = model.Route('r', model.Match('/v1/', ('m',)), 'q')
    result = log.append(
        log.put('put', 1_199, 'q'),
        log.delete('delete', 1_200, 'other0', 'absent'),
        log.put('bad', 1_201, ''),
        records.EditRecord('route', 1_202, (route,)),
    )
    assert result.decision.accepted
    assert log.state.floor > 0
    assert log.state.tombstones
    data = records.encode(checkpoint.make(log.state))
    assert checkpoint.restore_snapshot(data) == log.state
    # Order matters: the oldest result is dropped from the window first.
    restored = checkpoint.restore_snapshot(data)
    assert list(restored.decisions) == list(log.state.decisions)


@pytest.mark.parametrize(
    ('covers', 'first_available', 'found'),
    [
        ([], 0, True),
        ([], 1, False),
        ([9], 0, True),
        ([9], 10, True),
        ([9], 11, False),
        ([4, 9], 5, True),
        ([4, 9], 10, True),
        # A stale writer appends an older checkpoint after a newer one.
        ([9, 4], 5, True),
        ([9, 4], 10, True),
        ([9, 4], 11, False),
    ],
)
def test_replay_from_a_checkpoint_gives_the_state_of_the_whole_log(
    log, covers, first_available, found
):
    """Guards against a stale checkpoint that reverts accepted edits."""
    log.fill(10, 5)
    log.fill(3, 5, service='later')
    for offset in covers:
        log.append(log.checkpoints[offset])
        log.fill(2, 5, service='last')
    started = log.replay(first_available)
    assert started == (log.state if found else None)


@pytest.mark.parametrize('covers', [0, 4, 9, 12])
def test_a_following_instance_ignores_checkpoint_state(log, covers):
    """Guards against a stale writer that reverts accepted edits."""
    log.fill(10, 5)
    log.fill(3, 5, service='later')
    before = copy.deepcopy(log.state)
    log.append(log.checkpoints[covers])
    assert log.state == attrs.evolve(before, offset=before.offset + 1)


@pytest.mark.parametrize('kind', ['digest', 'state', 'cut', 'offset', 'big'])
def test_corrupt_checkpoints_are_not_used(log, kind):
    """Guards against a replay that starts from a corrupt state."""
    log.fill(10, 5)
    record = log.checkpoints[8]
    if kind == 'digest':
        record = attrs.evolve(record, digest='0' * 32)
    elif kind == 'state':
        record = attrs.evolve(record, state=zlib.compress(b'{}'))
    elif kind == 'cut':
        record = attrs.evolve(record, state=record.state[:-9])
    elif kind == 'offset':
        record = attrs.evolve(record, covers_offset=9)
    else:
        bomb = zlib.compress(bytes(checkpoint.STATE_MAX_BYTES + 1))
        record = attrs.evolve(record, state=bomb)
    log.append(records.encode(record))
    with pytest.raises(records.UnreadableRecordError):
        checkpoint.restore(record)
    assert log.replay(0) == log.state
    assert log.replay(5) is None


def test_a_checkpoint_that_covers_its_own_offset_is_not_used(log, make_log):
    """Guards against a checkpoint of another log."""
    log.fill(4, 5)
    other = make_log()
    other.fill(10, 5)
    log.append(records.encode(other.checkpoints[9]))
    log.fill(2, 5)
    assert log.replay(0) == log.state


def test_a_checkpoint_that_differs_from_the_fold_is_detected(log, make_log):
    """Guards against instances that diverge without notice."""
    log.fill(10, 5)
    other = make_log()
    other.fill(10, 5, service='other')
    log.append(b'unreadable')
    skipped = checkpoint.make(log.state)
    log.append(log.checkpoints[9])
    assert not checkpoint.mismatches(log.state, log.checkpoints[9])
    assert not checkpoint.mismatches(log.state, skipped)
    assert checkpoint.mismatches(log.state, other.checkpoints[9])
    # Older than the newest edit, so it cannot be compared.
    assert not checkpoint.mismatches(log.state, other.checkpoints[8])
    # Corrupt, or covers more than this instance has folded.
    cut = attrs.evolve(log.checkpoints[8], state=b'')
    assert checkpoint.mismatches(log.state, cut)
    moved = attrs.evolve(log.checkpoints[8], covers_offset=7)
    assert checkpoint.mismatches(log.state, moved)
    other.fill(9, 5)
    assert checkpoint.mismatches(log.state, other.checkpoints[18])


@pytest.mark.parametrize(
    'data', [b'', b'junk', records.encode(records.EditRecord('a', -1))]
)
def test_other_data_is_rejected_as_a_snapshot(data):
    """Guards against a peer that sends anything but a checkpoint."""
    with pytest.raises(records.UnreadableRecordError):
        checkpoint.restore_snapshot(data)


def test_a_snapshot_with_wrong_rows_is_unreadable():
    """Guards against a malformed state whose digest matches."""
    content = orjson.dumps({'routes': 1})
    digest = checkpoint._digest(content, 3)
    record = records.CheckpointRecord(3, digest, zlib.compress(content))
    data = orjson.loads(records.encode(record))
    assert base64.b64decode(data['state']) == record.state
    with pytest.raises(records.UnreadableRecordError, match='pools'):
        checkpoint.restore(record)


def test_only_the_records_after_the_best_checkpoint_are_kept(log):
    """Guards against a replay that keeps the whole log in memory."""
    log.fill(50, 5)
    log.append(log.checkpoints[49])
    log.fill(3, 5)
    log_replay = checkpoint.LogReplay(0)
    for offset, data in enumerate(log.data):
        log_replay.add(offset, data)
    assert sorted(log_replay._tail) == [50, 51, 52, 53]
