"""Tests of checkpoints and of the choice of the starting point."""

import base64
import copy
import zlib

import attrs
import orjson
import pytest

from dotterelweir_core.tables import checkpoint
from dotterelweir_core.tables import fold
from dotterelweir_core.tables import model
from dotterelweir_core.tables import records
from dotterelweir_core.targets import model as targets_model


def pool(name, service='s'):
    return model.Pool(name, targets_model.TargetKind.SERVICE, service)


def put(edit_id, read_offset, *pools):
    return records.encode(
        records.EditRecord(edit_id, read_offset, put_pools=pools)
    )


class Log:
    """The records of a log and the states after each of them."""

    def __init__(self):
        self.state = fold.TablesState()
        self.data = []
        self.checkpoints = {}

    def append(self, data):
        fold.fold(self.state, len(self.data), data)
        self.data.append(data)
        self.checkpoints[self.state.offset] = checkpoint.make(self.state)

    def fill(self, count, service='s'):
        for _ in range(count):
            offset = self.state.offset
            name = f'p{offset % 5}'
            self.append(put(f'e{offset}', offset, pool(name, service)))

    def append_checkpoint(self, covers_offset):
        self.append(records.encode(self.checkpoints[covers_offset]))

    def start(self, first_available):
        point = checkpoint.StartingPoint(first_available)
        for offset in range(first_available, len(self.data)):
            point.add(offset, self.data[offset])
        return point.finish()


def test_a_checkpoint_holds_the_whole_state():
    """Guards against a restored instance that decides otherwise."""
    log = Log()
    log.fill(1_200)
    log.append(
        records.encode(
            records.EditRecord('d', 1_199, delete_pools=('p1', 'absent'))
        )
    )
    log.append(put('bad', 1_200, pool('')))
    log.append(
        records.encode(
            records.EditRecord(
                'r',
                1_201,
                (model.Route('r', model.Match('/v1/', ('m',)), 'p2'),),
            )
        )
    )
    assert log.state.floor > 0
    assert log.state.tombstones
    data = records.encode(checkpoint.make(log.state))
    assert checkpoint.restore_snapshot(data) == log.state
    # Order matters: the oldest result leaves the window first.
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
        # A stale writer appends an old state after a newer one.
        ([9, 4], 5, True),
        ([9, 4], 10, True),
        ([9, 4], 11, False),
    ],
)
def test_any_starting_point_gives_the_state_of_the_whole_log(
    covers, first_available, found
):
    """Guards against a stale checkpoint that reverts accepted edits."""
    log = Log()
    log.fill(10)
    log.fill(3, service='later')
    for offset in covers:
        log.append_checkpoint(offset)
        log.fill(2, service='last')
    started = log.start(first_available)
    assert started == (log.state if found else None)


@pytest.mark.parametrize('covers', [0, 4, 9, 12])
def test_an_instance_that_follows_takes_no_state_from_a_checkpoint(covers):
    """Guards against a stale writer that reverts accepted edits."""
    log = Log()
    log.fill(10)
    log.fill(3, service='later')
    before = copy.deepcopy(log.state)
    log.append_checkpoint(covers)
    assert log.state == attrs.evolve(before, offset=before.offset + 1)


@pytest.mark.parametrize('kind', ['digest', 'state', 'cut', 'offset', 'big'])
def test_corrupt_checkpoints_are_no_starting_point(kind):
    """Guards against a start from a damaged state."""
    log = Log()
    log.fill(10)
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
    assert log.start(0) == log.state
    assert log.start(5) is None


def test_a_checkpoint_of_the_future_is_no_starting_point():
    """Guards against a checkpoint of another log."""
    log = Log()
    log.fill(4)
    other = Log()
    other.fill(10)
    log.append(records.encode(other.checkpoints[9]))
    log.fill(2)
    assert log.start(0) == log.state


def test_a_checkpoint_that_differs_from_the_fold_is_noticed():
    """Guards against instances that diverge in silence."""
    log = Log()
    log.fill(10)
    other = Log()
    other.fill(10, service='other')
    log.append(b'unreadable')
    log.append_checkpoint(9)
    assert not checkpoint.contradicts(log.state, log.checkpoints[9])
    assert not checkpoint.contradicts(log.state, log.checkpoints[10])
    assert checkpoint.contradicts(log.state, other.checkpoints[9])
    # Older than the newest edit, so it cannot be compared.
    assert not checkpoint.contradicts(log.state, other.checkpoints[8])


@pytest.mark.parametrize('data', [b'', b'junk', put('a', -1, pool('p'))])
def test_other_data_is_no_snapshot(data):
    """Guards against a peer that sends anything but a snapshot."""
    with pytest.raises(records.UnreadableRecordError):
        checkpoint.restore_snapshot(data)


def test_a_snapshot_with_wrong_rows_is_unreadable():
    """Guards against a state of another form under a right digest."""
    content = orjson.dumps({'routes': 1})
    digest = checkpoint._digest(content, 3)
    record = records.CheckpointRecord(3, digest, zlib.compress(content))
    data = orjson.loads(records.encode(record))
    assert base64.b64decode(data['state']) == record.state
    with pytest.raises(records.UnreadableRecordError, match='pools'):
        checkpoint.restore(record)


def test_only_the_records_after_the_best_checkpoint_are_kept():
    """Guards against a start that needs memory for the whole log."""
    log = Log()
    log.fill(50)
    log.append_checkpoint(49)
    log.fill(3)
    point = checkpoint.StartingPoint(0)
    for offset, data in enumerate(log.data):
        point.add(offset, data)
    assert sorted(point._later) == [50, 51, 52, 53]
