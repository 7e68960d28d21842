"""Tests of the fold of the configuration log."""

import pytest

from dotterelweir_core.tables import fold
from dotterelweir_core.tables import model
from dotterelweir_core.tables import records
from dotterelweir_core.targets import model as targets_model


def test_of_two_racing_edits_exactly_one_is_accepted(log):
    """Guards against an operator's edit that is silently lost."""
    first = log.append(log.put('a', -1, 'p', 'one'))
    second = log.append(log.put('b', -1, 'p', 'two'))
    assert first.decision.accepted
    assert second.decision.reason is fold.Reason.CONFLICT
    assert second.decision.details == (
        "pool 'p' was changed at 0, after read_offset -1",
    )
    # The rejected edit's result has the current row.
    assert second.rows == (
        fold.CurrentRow(
            fold.RowKey(fold.Table.POOL, 'p'), log.pool('p', 'one'), 0
        ),
    )
    assert log.append(log.put('c', 1, 'p', 'two')).decision.accepted


def test_edits_of_different_rows_do_not_conflict(log):
    """Guards against rejections of edits that share no row."""
    log.append(log.put('a', -1))
    assert log.append(log.put('b', -1, 'q')).decision.accepted


def test_a_deleted_row_conflicts_like_a_changed_one(log):
    """Guards against an edit that restores a deleted row unknowingly."""
    log.append(log.put('a', -1), log.delete('b', 0, 'p'))
    result = log.append(log.put('c', 0, 'p', 'two'))
    assert result.decision.reason is fold.Reason.CONFLICT
    assert result.rows[0].row is None
    assert result.rows[0].revision == 1


def test_delete_of_an_absent_row_races_with_a_put(log):
    """Guards against accepting two edits that both read an absent row."""
    assert log.append(log.delete('a', -1, 'p')).decision.accepted
    result = log.append(log.put('b', -1))
    assert result.decision.reason is fold.Reason.CONFLICT


@pytest.mark.parametrize('between', [0, 5, 6, 1_022, 1_023, 1_024, 1_100])
@pytest.mark.parametrize('deleted', [False, True])
@pytest.mark.parametrize('times', [1, 2])
def test_a_repeated_edit_never_takes_effect_twice(
    log, between, deleted, times
):
    """Guards against a repeat after a lost response that reverts edits."""
    edit = log.put('a', -1, 'p', 'one')
    log.append(edit)
    if deleted:
        log.append(log.delete('b', 0, 'p'))
    else:
        log.append(log.put('b', 0, 'p', 'two'))
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
def test_a_rejected_edit_never_takes_effect_later(log, between):
    """Guards against an edit that takes effect after it was rejected."""
    rejected = records.EditRecord(
        'a', -1, put_routes=(model.Route('r', model.Match(), 'p'),)
    )
    assert log.append(rejected).decision.reason is fold.Reason.INVALID
    # Now the edit would be valid and without conflict.
    log.append(log.put('b', 0))
    log.fill(between)
    assert not log.append(rejected).decision.accepted
    assert log.state.tables.routes == {}


def test_a_repeat_keeps_its_position_in_the_window(log):
    """Guards against instances with different floors."""
    edit = log.put('a', -1)
    log.append(edit)
    log.fill(1_000)
    log.append(edit)
    log.fill(23)
    assert log.state.floor == -1
    log.fill(1)
    assert log.state.floor == 0
    assert 'a' not in log.state.decisions


def test_tombstones_are_dropped_at_the_floor_and_absence_still_conflicts(log):
    """Guards against tombstones that accumulate or are dropped too early."""
    log.append(log.put('a', -1), log.delete('b', 0, 'p'))
    log.fill(1_023)
    assert list(log.state.tombstones.values()) == [1]
    assert not log.append(log.put('c', 0)).decision.accepted
    log.fill(1)
    assert log.state.tombstones == {}
    assert log.state.floor >= 1
    late = log.append(log.put('d', 0))
    assert late.decision.reason is fold.Reason.TOO_OLD


ROUTE = model.Route('r', model.Match(), 'p')
SERVICE = targets_model.TargetKind.SERVICE
POOL = model.Pool('q', SERVICE, 's')


@pytest.mark.parametrize(
    ('read_offset', 'changes'),
    [
        (1, {}),
        (1, {'put_pools': (POOL, POOL)}),
        (1, {'put_pools': (POOL,), 'delete_pools': ('q',)}),
        (1, {'put_pools': (model.Pool('', SERVICE, 's'),)}),
        (2, {'put_pools': (POOL,)}),
        (10**9, {'put_pools': (POOL,)}),
        (1, {'delete_pools': ('p',)}),
        (1, {'put_routes': (model.Route('s', model.Match(), 'absent'),)}),
    ],
)
def test_invalid_edits_are_rejected_and_change_nothing(
    log, read_offset, changes
):
    """Guards against invalid tables that come into force."""
    log.append(log.put('a', -1))
    log.append(records.EditRecord('b', 0, put_routes=(ROUTE,)))
    before = log.state.tables
    edit = records.EditRecord('x', read_offset, **changes)
    result = log.append(edit)
    assert result.decision.reason is fold.Reason.INVALID
    assert result.decision.details
    assert log.state.tables is before
    assert model.validate(before) == ()


def test_a_pool_and_its_routes_can_be_deleted_in_one_edit(log):
    """Guards against rows that cannot be deleted in any order."""
    log.append(records.EditRecord('a', -1, (ROUTE,), (log.pool('p'),)))
    edit = records.EditRecord('b', 0, (), (), ('r',), ('p',))
    assert log.append(edit).decision.accepted
    assert log.state.tables == model.Tables(revision=1)


@pytest.mark.parametrize(
    'data', [b'', b'{', b'{"version":9,"kind":"edit"}', b'\x00' * 50]
)
def test_unreadable_records_are_skipped(log, data):
    """Guards against a corrupt record that blocks all later edits."""
    log.append(log.put('a', -1))
    result = log.append(data)
    assert isinstance(result, fold.SkippedRecord)
    assert result.offset == log.state.offset == 1
    assert log.append(log.put('b', 0, 'p', 'two')).decision.accepted


def test_the_texts_of_a_result_are_bounded(log):
    """Guards against an invalid edit that makes checkpoints large."""
    bad = tuple(log.pool('?' * 150 + str(index)) for index in range(50))
    edit = records.EditRecord('a', -1, put_pools=bad)
    decision = log.append(edit).decision
    assert len(decision.details) == fold.DETAILS_MAX + 1
    assert max(map(len, decision.details)) <= fold.DETAIL_MAX_CHARS


@pytest.mark.parametrize('offset', [0, 2])
def test_records_are_folded_in_sequence_only(log, offset):
    """Guards against an undetected gap or repeat of offsets."""
    log.append(log.put('a', -1))
    with pytest.raises(ValueError, match='does not follow'):
        fold.fold(log.state, offset, b'')
