"""Tests of the fold of the configuration log."""

import pytest

from dotterelweir_core.tables import fold
from dotterelweir_core.tables import model
from dotterelweir_core.tables import records
from dotterelweir_core.targets import model as targets_model

SERVICE = targets_model.TargetKind.SERVICE


def pool(name, service='s'):
    return model.Pool(name, SERVICE, service)


def put(edit_id, read_offset, *pools):
    return records.EditRecord(edit_id, read_offset, put_pools=pools)


def delete(edit_id, read_offset, *names):
    return records.EditRecord(edit_id, read_offset, delete_pools=names)


class Log:
    """Folds edits as they are appended."""

    def __init__(self):
        self.state = fold.TablesState()

    def append(self, *edits):
        for edit in edits:
            result = fold.fold(
                self.state, self.state.offset + 1, records.encode(edit)
            )
        return result

    def fill(self, count):
        """Appends other edits, of one other row each."""
        for _ in range(count):
            offset = self.state.offset
            self.append(put(f'fill-{offset}', offset, pool('other')))

    def service(self, name):
        row = self.state.tables.pools.get(name)
        return None if row is None else row.service


def test_of_two_racing_edits_exactly_one_is_accepted():
    """Guards against an operator's edit that is lost without a word."""
    log = Log()
    first = log.append(put('a', -1, pool('p', 'one')))
    second = log.append(put('b', -1, pool('p', 'two')))
    assert first.decision.accepted
    assert second.decision.reason is fold.Reason.CONFLICT
    assert second.decision.details == (
        "pool 'p' was changed at 0, after read_offset -1",
    )
    # The loser learns what stands now.
    assert second.rows == (
        fold.StandingRow(
            fold.RowKey(fold.Table.POOL, 'p'), pool('p', 'one'), 0
        ),
    )
    assert log.append(put('c', 1, pool('p', 'two'))).decision.accepted


def test_edits_of_different_rows_do_not_conflict():
    """Guards against rejections of edits that have nothing in common."""
    log = Log()
    log.append(put('a', -1, pool('p')))
    assert log.append(put('b', -1, pool('q'))).decision.accepted


def test_a_deleted_row_conflicts_like_a_changed_one():
    """Guards against an edit that brings a deleted row back unseen."""
    log = Log()
    log.append(put('a', -1, pool('p')), delete('b', 0, 'p'))
    result = log.append(put('c', 0, pool('p', 'two')))
    assert result.decision.reason is fold.Reason.CONFLICT
    assert result.rows[0].row is None
    assert result.rows[0].revision == 1


def test_delete_of_an_absent_row_races_with_a_put():
    """Guards against two accepted edits that read the same absence."""
    log = Log()
    assert log.append(delete('a', -1, 'p')).decision.accepted
    result = log.append(put('b', -1, pool('p')))
    assert result.decision.reason is fold.Reason.CONFLICT


@pytest.mark.parametrize('between', [0, 5, 6, 1_022, 1_023, 1_024, 1_100])
@pytest.mark.parametrize('deleted', [False, True])
@pytest.mark.parametrize('times', [1, 2])
def test_a_repeated_edit_never_takes_effect_twice(between, deleted, times):
    """Guards against a repeat after a lost response that reverts edits."""
    log = Log()
    edit = put('a', -1, pool('p', 'one'))
    log.append(edit)
    if deleted:
        log.append(delete('b', 0, 'p'))
    else:
        log.append(put('b', 0, pool('p', 'two')))
    log.fill(between)
    before = log.state.tables
    for _ in range(times):
        result = log.append(edit)
        assert log.state.tables == before
    known = between < 1_023
    assert result.decision.accepted == known
    assert (result.decision.offset == 0) == known
    if not known:
        assert result.decision.reason is fold.Reason.TOO_OLD


@pytest.mark.parametrize('between', [0, 10, 1_100])
def test_a_rejected_edit_never_takes_effect_later(between):
    """Guards against an edit that its author was told had failed."""
    log = Log()
    rejected = records.EditRecord(
        'a', -1, put_routes=(model.Route('r', model.Match(), 'p'),)
    )
    assert log.append(rejected).decision.reason is fold.Reason.INVALID
    # Now the edit would be valid and conflict with nothing.
    log.append(put('b', 0, pool('p')))
    log.fill(between)
    assert not log.append(rejected).decision.accepted
    assert log.state.tables.routes == {}


def test_a_repeat_does_not_renew_its_place_in_the_window():
    """Guards against instances that disagree on the floor."""
    log = Log()
    edit = put('a', -1, pool('p'))
    log.append(edit)
    log.fill(1_000)
    log.append(edit)
    log.fill(23)
    assert log.state.floor == -1
    log.fill(1)
    assert log.state.floor == 0
    assert 'a' not in log.state.decisions


def test_tombstones_end_at_the_floor_and_absence_still_conflicts():
    """Guards against tombstones that pile up or that end too early."""
    log = Log()
    log.append(put('a', -1, pool('p')), delete('b', 0, 'p'))
    log.fill(1_023)
    assert list(log.state.tombstones.values()) == [1]
    assert not log.append(put('c', 0, pool('p'))).decision.accepted
    log.fill(1)
    assert log.state.tombstones == {}
    assert log.state.floor >= 1
    late = log.append(put('d', 0, pool('p')))
    assert late.decision.reason is fold.Reason.TOO_OLD


ROUTE = model.Route('r', model.Match(), 'p')


@pytest.mark.parametrize(
    'edit',
    [
        records.EditRecord('x', 1),
        put('x', 1, pool('q'), pool('q', 'two')),
        records.EditRecord('x', 1, (), (pool('q'),), (), ('q',)),
        put('x', 1, pool('')),
        put('x', 2, pool('q')),
        put('x', 10**9, pool('q')),
        delete('x', 1, 'p'),
        records.EditRecord(
            'x', 1, put_routes=(model.Route('s', model.Match(), 'absent'),)
        ),
    ],
)
def test_invalid_edits_are_rejected_and_change_nothing(edit):
    """Guards against tables in force that are not valid."""
    log = Log()
    log.append(put('a', -1, pool('p')))
    log.append(records.EditRecord('b', 0, put_routes=(ROUTE,)))
    before = log.state.tables
    result = log.append(edit)
    assert result.decision.reason is fold.Reason.INVALID
    assert result.decision.details
    assert log.state.tables is before
    assert model.validate(before) == ()


def test_a_pool_and_its_routes_can_go_in_one_edit():
    """Guards against rows that can be deleted in no order."""
    log = Log()
    log.append(records.EditRecord('a', -1, (ROUTE,), (pool('p'),)))
    edit = records.EditRecord('b', 0, (), (), ('r',), ('p',))
    assert log.append(edit).decision.accepted
    assert log.state.tables == model.Tables(revision=1)


@pytest.mark.parametrize(
    'data', [b'', b'{', b'{"version":9,"kind":"edit"}', b'\x00' * 50]
)
def test_unreadable_records_are_skipped(data):
    """Guards against one bad record that stops configuration for good."""
    log = Log()
    log.append(put('a', -1, pool('p')))
    result = fold.fold(log.state, 1, data)
    assert isinstance(result, fold.SkippedRecord)
    assert result.offset == log.state.offset == 1
    assert log.append(put('b', 0, pool('p', 'two'))).decision.accepted


def test_the_texts_of_a_result_are_bounded():
    """Guards against one bad edit that fills the checkpoints."""
    bad = tuple(pool('?' * 150 + str(index)) for index in range(50))
    decision = Log().append(put('a', -1, *bad)).decision
    assert len(decision.details) == fold.DETAILS_MAX + 1
    assert max(map(len, decision.details)) <= fold.DETAIL_MAX_CHARS


@pytest.mark.parametrize('offset', [0, 2])
def test_records_are_folded_in_sequence_only(offset):
    """Guards against a gap or a repeat that goes unnoticed."""
    log = Log()
    log.append(put('a', -1, pool('p')))
    with pytest.raises(ValueError, match='does not follow'):
        fold.fold(log.state, offset, b'')
