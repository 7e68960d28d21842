"""The deterministic fold of the configuration log.

To fold a record is to apply it to the state. All instances fold the same
records in offset order with this module and so accept and reject the same
edits.
"""

import collections
import enum
import functools

import attrs

from dotterelweir_core.tables import model
from dotterelweir_core.tables import records

# Number of results kept for repeated edits; older repeats are rejected as too
# old. At 850 changes a day, results are kept for more than a day.
RESULT_WINDOW = 1_024
# Every checkpoint contains the results, so their texts are bounded.
DETAILS_MAX = 8
DETAIL_MAX_CHARS = 200


class Table(enum.StrEnum):
    """Name of a table."""

    ROUTE = 'route'
    POOL = 'pool'


class Reason(enum.StrEnum):
    """The reason why an edit was accepted or rejected."""

    ACCEPTED = 'accepted'
    TOO_OLD = 'too-old'
    CONFLICT = 'conflict'
    INVALID = 'invalid'


@attrs.frozen(order=True)
class RowKey:
    """Identifies a row by table and name.

    Attributes:
        table: Name of the table.
        name: Name of the row.
    """

    table: Table
    name: str

    def __str__(self) -> str:
        return f'{self.table.value} {self.name!r}'


@attrs.frozen
class Decision:
    """The result of an edit, kept to answer repeats of the edit.

    Attributes:
        edit_id: Unique name of the edit.
        offset: Offset of the record at which the edit was decided.
        reason: Why the edit was accepted or rejected.
        details: Problems of the edit, one line each; bounded in number and
            length.
    """

    edit_id: str
    offset: int
    reason: Reason
    details: tuple[str, ...] = ()

    @property
    def accepted(self) -> bool:
        """Whether the edit took effect."""
        return self.reason is Reason.ACCEPTED


@attrs.frozen
class CurrentRow:
    """The current value of a row and the offset of its last change.

    Attributes:
        key: Table and name of the row.
        row: The row; None if it is absent.
        revision: Offset of the last change; -1 if none is known.
    """

    key: RowKey
    row: model.Route | model.Pool | None
    revision: int


@attrs.frozen
class EditResult:
    """The outcome of folding one edit record.

    Attributes:
        offset: Offset of the record.
        decision: The result; for a repeat, the result of the first record.
        rows: Current values of the rows that the edit names.
    """

    offset: int
    decision: Decision
    rows: tuple[CurrentRow, ...]

    @property
    def repeated(self) -> bool:
        """Whether the edit was decided at an earlier record."""
        return self.decision.offset != self.offset


@attrs.frozen
class SkippedRecord:
    """A record that could not be decoded.

    Attributes:
        offset: Offset of the record.
        detail: Why the record could not be decoded.
    """

    offset: int
    detail: str


@attrs.define
class TablesState:
    """The folded state on which later edits are decided.

    Attributes:
        offset: Offset of the last record that was folded; -1 for none.
        tables: The tables in force.
        revisions: Offset of the last change of each present row.
        tombstones: Offset of the deletion of each absent row.
        decisions: Results of the last edits by id, oldest first.
        floor: Offset of the newest edit whose result was dropped; -1 for
            none.
    """

    offset: int = -1
    tables: model.Tables = attrs.field(factory=model.Tables)
    revisions: dict[RowKey, int] = attrs.field(factory=dict)
    tombstones: dict[RowKey, int] = attrs.field(factory=dict)
    decisions: dict[str, Decision] = attrs.field(factory=dict)
    floor: int = -1

    @property
    def last_decided_offset(self) -> int:
        """Offset of the newest edit that was decided; -1 for none."""
        if not self.decisions:
            return -1
        return self.decisions[next(reversed(self.decisions))].offset

    def current_row(self, key: RowKey) -> CurrentRow:
        """Returns a row with the offset of its last change."""
        if key.table is Table.ROUTE:
            row = self.tables.routes.get(key.name)
        else:
            row = self.tables.pools.get(key.name)
        return CurrentRow(key, row, self._last_change_offset(key))

    def _last_change_offset(self, key: RowKey) -> int:
        return self.revisions.get(key, self.tombstones.get(key, -1))


def fold(
    state: TablesState, offset: int, data: bytes
) -> EditResult | SkippedRecord | records.CheckpointRecord:
    """Folds one log record of any kind into a state.

    A checkpoint changes only the offset: its writer may have been paused, so
    its state can be older than this one.

    Args:
        state: The state after the previous record; changed in place.
        offset: Offset of the record; one above the state's.
        data: The record's bytes.

    Returns:
        The outcome of an edit, the checkpoint, or the skipped record.

    Raises:
        ValueError: The offset does not follow the state's offset.
    """
    try:
        record = records.decode(data)
    except records.UnreadableRecordError as error:
        _advance_offset(state, offset)
        return SkippedRecord(offset, str(error)[:DETAIL_MAX_CHARS])
    if isinstance(record, records.CheckpointRecord):
        _advance_offset(state, offset)
        return record
    return apply(state, offset, record)


def apply(
    state: TablesState, offset: int, edit: records.EditRecord
) -> EditResult:
    """Decides one edit and updates the state in place.

    The tables are replaced and never mutated, so readers may keep them.

    Args:
        state: The state after the previous record.
        offset: Offset of the edit's record; one above the state's.
        edit: The edit.

    Raises:
        ValueError: The offset does not follow the state's offset.
    """
    _advance_offset(state, offset)
    edited_keys = _edited_keys(edit)
    decision = state.decisions.get(edit.edit_id)
    if decision is None:
        decision, tables = _decide(state, offset, edit, edited_keys)
        if tables is not None:
            _install_tables(state, tables, edited_keys, offset)
        _store_decision(state, decision)
    rows = tuple(state.current_row(key) for key in dict.fromkeys(edited_keys))
    return EditResult(offset, decision, rows)


def _advance_offset(state: TablesState, offset: int) -> None:
    if offset != state.offset + 1:
        raise ValueError(
            f'record {offset} does not follow record {state.offset}'
        )
    state.offset = offset


def _edited_keys(edit: records.EditRecord) -> tuple[RowKey, ...]:
    return (
        *(RowKey(Table.ROUTE, route.name) for route in edit.put_routes),
        *(RowKey(Table.POOL, pool.name) for pool in edit.put_pools),
        *(RowKey(Table.ROUTE, name) for name in edit.delete_routes),
        *(RowKey(Table.POOL, name) for name in edit.delete_pools),
    )


def _decide(
    state: TablesState,
    offset: int,
    edit: records.EditRecord,
    edited_keys: tuple[RowKey, ...],
) -> tuple[Decision, model.Tables | None]:
    reject = functools.partial(_reject, edit.edit_id, offset)
    if edit.read_offset < state.floor:
        text = (
            f'read_offset {edit.read_offset} is below {state.floor}; the '
            'result of an earlier copy of this edit is not known any more'
        )
        return reject(Reason.TOO_OLD, (text,))
    if edit.read_offset >= offset:
        # An author cannot have read its own record. The floor rejects late
        # repeats only if read_offset is below the offset of the edit's first
        # record.
        text = f'read_offset {edit.read_offset} is not below {offset}'
        return reject(Reason.INVALID, (text,))
    conflicts = tuple(
        f'{current.key} was changed at {current.revision}, after '
        f'read_offset {edit.read_offset}'
        for current in map(state.current_row, dict.fromkeys(edited_keys))
        if current.revision > edit.read_offset
    )
    if conflicts:
        return reject(Reason.CONFLICT, conflicts)
    problems = _key_problems(edited_keys)
    tables = _edited_tables(state.tables, edit, offset)
    problems += tuple(map(str, _row_problems(tables, edit)))
    if problems:
        return reject(Reason.INVALID, problems)
    return Decision(edit.edit_id, offset, Reason.ACCEPTED), tables


def _reject(
    edit_id: str, offset: int, reason: Reason, details: tuple[str, ...]
) -> tuple[Decision, None]:
    kept = tuple(text[:DETAIL_MAX_CHARS] for text in details[:DETAILS_MAX])
    if len(details) > DETAILS_MAX:
        kept += (f'{len(details) - DETAILS_MAX} more',)
    return Decision(edit_id, offset, reason, kept), None


def _key_problems(edited_keys: tuple[RowKey, ...]) -> tuple[str, ...]:
    if not edited_keys:
        return ('the edit changes no row',)
    counts = collections.Counter(edited_keys)
    duplicates = sorted(key for key, count in counts.items() if count > 1)
    return tuple(f'the edit names {key} more than once' for key in duplicates)


def _row_problems(
    tables: model.Tables, edit: records.EditRecord
) -> tuple[model.FieldProblem, ...]:
    # The tables before the edit are valid, so only the rows that it puts and
    # the routes to pools that it deletes can be invalid. Only these rows are
    # validated, to keep replays fast: all 2,500 rows for each edit would take
    # seconds.
    routes = {route.name for route in edit.put_routes}
    deleted = set(edit.delete_pools)
    if deleted:
        routes.update(
            name
            for name, route in tables.routes.items()
            if route.pool in deleted
        )
    pools = [pool.name for pool in edit.put_pools]
    return model.validate_rows(tables, routes, pools)


def _edited_tables(
    tables: model.Tables, edit: records.EditRecord, offset: int
) -> model.Tables:
    routes = dict(tables.routes)
    pools = dict(tables.pools)
    for name in edit.delete_routes:
        routes.pop(name, None)
    for name in edit.delete_pools:
        pools.pop(name, None)
    routes.update({route.name: route for route in edit.put_routes})
    pools.update({pool.name: pool for pool in edit.put_pools})
    return model.Tables(routes, pools, revision=offset)


def _install_tables(
    state: TablesState,
    tables: model.Tables,
    edited_keys: tuple[RowKey, ...],
    offset: int,
) -> None:
    state.tables = tables
    for key in edited_keys:
        rows = tables.routes if key.table is Table.ROUTE else tables.pools
        if key.name in rows:
            state.tombstones.pop(key, None)
            state.revisions[key] = offset
        else:
            state.revisions.pop(key, None)
            state.tombstones[key] = offset


def _store_decision(state: TablesState, decision: Decision) -> None:
    state.decisions[decision.edit_id] = decision
    while len(state.decisions) > RESULT_WINDOW:
        oldest = state.decisions.pop(next(iter(state.decisions)))
        state.floor = oldest.offset
        expired = [
            key
            for key, deleted in state.tombstones.items()
            if deleted <= state.floor
        ]
        for key in expired:
            del state.tombstones[key]
