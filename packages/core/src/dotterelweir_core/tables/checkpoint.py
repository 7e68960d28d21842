"""Checkpoints of the folded tables and replay of the log from them."""

import hashlib
from typing import Any
import zlib

import attrs
import orjson

from dotterelweir_core.tables import fold
from dotterelweir_core.tables import model
from dotterelweir_core.tables import records

DIGEST_BYTES = 16
# Bounds the memory that a corrupt checkpoint can take when decompressed.
STATE_MAX_BYTES = 16_777_216


@attrs.frozen
class _RowOffset:
    """The offset at which a row was last changed or deleted."""

    table: fold.Table
    name: str
    offset: int


@attrs.frozen
class _Content:
    """Holds the fields of a state in the form in which they are encoded."""

    routes: tuple[model.Route, ...]
    pools: tuple[model.Pool, ...]
    revision: int
    revisions: tuple[_RowOffset, ...]
    tombstones: tuple[_RowOffset, ...]
    decisions: tuple[fold.Decision, ...]
    floor: int


def make(state: fold.TablesState) -> records.CheckpointRecord:
    """Creates a checkpoint of a state."""
    content = _content_bytes(state)
    return records.CheckpointRecord(
        covers_offset=state.offset,
        digest=_digest(content, state.offset),
        state=zlib.compress(content),
    )


def digest(state: fold.TablesState, covers_offset: int) -> str:
    """Computes the digest of a checkpoint of a state.

    Args:
        state: The state.
        covers_offset: Offset that the checkpoint covers.
    """
    return _digest(_content_bytes(state), covers_offset)


def mismatches(
    state: fold.TablesState, record: records.CheckpointRecord
) -> bool:
    """Tests whether a checkpoint is corrupt or differs from a folded state.

    The rows can be compared only if no edit was decided after the offset
    that the checkpoint covers; otherwise they are assumed to be equal.

    Args:
        state: The state that this instance has folded.
        record: The checkpoint.
    """
    covered_offset = record.covers_offset
    try:
        intact = (
            _digest(_decompress(record.state), covered_offset) == record.digest
        )
    except records.UnreadableRecordError:
        intact = False
    if not intact or covered_offset > state.offset:
        return True
    if covered_offset < state.last_decided_offset:
        return False
    return digest(state, covered_offset) != record.digest


def restore(record: records.CheckpointRecord) -> fold.TablesState:
    """Restores the state from a checkpoint.

    Raises:
        UnreadableRecordError: The checkpoint is corrupt.
    """
    content = _decompress(record.state)
    if _digest(content, record.covers_offset) != record.digest:
        raise records.UnreadableRecordError('the digest does not match')
    try:
        document: Any = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise records.UnreadableRecordError(f'not JSON: {error}') from error
    fields: _Content = records.structure(document, _Content)
    return fold.TablesState(
        offset=record.covers_offset,
        tables=model.Tables(
            {route.name: route for route in fields.routes},
            {pool.name: pool for pool in fields.pools},
            fields.revision,
        ),
        revisions=_from_row_offsets(fields.revisions),
        tombstones=_from_row_offsets(fields.tombstones),
        decisions={
            decision.edit_id: decision for decision in fields.decisions
        },
        floor=fields.floor,
    )


def restore_snapshot(data: bytes) -> fold.TablesState:
    """Restores the state from an encoded checkpoint, as peers send it.

    Raises:
        UnreadableRecordError: The data is not a checkpoint or is corrupt.
    """
    record = records.decode(data)
    if not isinstance(record, records.CheckpointRecord):
        raise records.UnreadableRecordError('not a checkpoint')
    return restore(record)


class LogReplay:
    """Replays a log, read from its oldest record on, into a state.

    Only the state of the newest usable checkpoint and the records after the
    offset that it covers are kept in memory.

    Args:
        first_available_offset: Offset of the oldest record in the log.
    """

    def __init__(self, first_available_offset: int) -> None:
        self._first_offset = first_available_offset
        self._next_offset = first_available_offset
        self._base: fold.TablesState | None = None
        if first_available_offset == 0:
            self._base = fold.TablesState()
        self._tail: dict[int, bytes] = {}
        self._skipped: list[fold.SkippedRecord] = []

    @property
    def next_offset(self) -> int:
        """Offset of the next record to add."""
        return self._next_offset

    @property
    def covers_offset(self) -> int:
        """Offset that the chosen checkpoint covers; -1 for none."""
        return self._base.offset if self._base is not None else -1

    @property
    def skipped(self) -> tuple[fold.SkippedRecord, ...]:
        """Records that ``finish`` could not decode."""
        return tuple(self._skipped)

    def add(self, offset: int, data: bytes) -> bool:
        """Adds the next record of the log.

        Args:
            offset: Offset of the record; must be ``next_offset``.
            data: The record's bytes.

        Returns:
            Whether the record becomes the chosen checkpoint, because it
            covers more than the one before.

        Raises:
            ValueError: The offset is not ``next_offset``.
        """
        if offset != self._next_offset:
            raise ValueError(f'record {offset} instead of {self._next_offset}')
        self._next_offset += 1
        self._tail[offset] = data
        base_offset = self._base.offset if self._base is not None else -2
        restored = self._restore_if_newer(offset, data, base_offset)
        if restored is None:
            return False
        self._base = restored
        for old in range(
            max(base_offset + 1, self._first_offset), restored.offset + 1
        ):
            self._tail.pop(old, None)
        return True

    def _restore_if_newer(
        self, offset: int, data: bytes, base_offset: int
    ) -> fold.TablesState | None:
        try:
            record = records.decode(data)
            if not isinstance(record, records.CheckpointRecord):
                return None
            # A checkpoint that covers its own offset was not made by a
            # reader of this log.
            lowest_offset = max(base_offset + 1, self._first_offset - 1)
            if not lowest_offset <= record.covers_offset < offset:
                return None
            return restore(record)
        except records.UnreadableRecordError:
            return None

    def finish(self) -> fold.TablesState | None:
        """Folds the records after the chosen checkpoint.

        Returns:
            The state after all records; None if older records have expired
            and no checkpoint covers them.
        """
        if self._base is None:
            return None
        for offset in range(self._base.offset + 1, self._next_offset):
            result = fold.fold(self._base, offset, self._tail[offset])
            if isinstance(result, fold.SkippedRecord):
                self._skipped.append(result)
        return self._base


def _content_bytes(state: fold.TablesState) -> bytes:
    content = _Content(
        routes=tuple(row for _, row in sorted(state.tables.routes.items())),
        pools=tuple(row for _, row in sorted(state.tables.pools.items())),
        revision=state.tables.revision,
        revisions=_to_row_offsets(state.revisions),
        tombstones=_to_row_offsets(state.tombstones),
        decisions=tuple(state.decisions.values()),
        floor=state.floor,
    )
    return orjson.dumps(
        records.CONVERTER.unstructure(content), option=orjson.OPT_SORT_KEYS
    )


def _digest(content: bytes, covers_offset: int) -> str:
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    hasher.update(b'%d\n' % covers_offset)
    hasher.update(content)
    return hasher.hexdigest()


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, STATE_MAX_BYTES)
    except zlib.error as error:
        raise records.UnreadableRecordError(f'corrupt: {error}') from error
    if not decompressor.eof:
        raise records.UnreadableRecordError('the state is cut or too large')
    return content


def _to_row_offsets(offsets: dict[fold.RowKey, int]) -> tuple[_RowOffset, ...]:
    return tuple(
        _RowOffset(key.table, key.name, offset)
        for key, offset in sorted(offsets.items())
    )


def _from_row_offsets(
    offsets: tuple[_RowOffset, ...],
) -> dict[fold.RowKey, int]:
    return {
        fold.RowKey(entry.table, entry.name): entry.offset for entry in offsets
    }
