"""Checkpoints of the folded tables and the choice of a starting point."""

import hashlib
from typing import Any
import zlib

import attrs
import orjson

from dotterelweir_core.tables import fold
from dotterelweir_core.tables import model
from dotterelweir_core.tables import records

DIGEST_BYTES = 16
# Bounds the memory that a corrupt checkpoint can take when it is expanded.
STATE_MAX_BYTES = 16_777_216


@attrs.frozen
class _Offset:
    table: fold.Table
    name: str
    offset: int


@attrs.frozen
class _Content:
    """A state in the form in which it is encoded."""

    routes: tuple[model.Route, ...]
    pools: tuple[model.Pool, ...]
    revision: int
    revisions: tuple[_Offset, ...]
    tombstones: tuple[_Offset, ...]
    decisions: tuple[fold.Decision, ...]
    floor: int


def make(state: fold.TablesState) -> records.CheckpointRecord:
    """Makes a checkpoint of a state."""
    content = _content_bytes(state)
    return records.CheckpointRecord(
        covers_offset=state.offset,
        digest=_digest(content, state.offset),
        state=zlib.compress(content),
    )


def digest(state: fold.TablesState, covers_offset: int) -> str:
    """The digest that a checkpoint of this state at an offset has."""
    return _digest(_content_bytes(state), covers_offset)


def contradicts(
    state: fold.TablesState, record: records.CheckpointRecord
) -> bool:
    """Whether a checkpoint is corrupt or differs from the state folded here.

    The rows can be compared only if no edit was decided after the offset
    that the checkpoint covers; otherwise they are taken to agree.
    """
    covers = record.covers_offset
    try:
        intact = _digest(_expand(record.state), covers) == record.digest
    except records.UnreadableRecordError:
        intact = False
    if not intact or covers > state.offset:
        return True
    if covers < state.last_decided_offset:
        return False
    return digest(state, covers) != record.digest


def restore(record: records.CheckpointRecord) -> fold.TablesState:
    """Makes a state of a checkpoint.

    Raises:
        UnreadableRecordError: The checkpoint is corrupt.
    """
    content = _expand(record.state)
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
        revisions=_from_offsets(fields.revisions),
        tombstones=_from_offsets(fields.tombstones),
        decisions={
            decision.edit_id: decision for decision in fields.decisions
        },
        floor=fields.floor,
    )


def restore_snapshot(data: bytes) -> fold.TablesState:
    """Makes a state of an encoded checkpoint, as peers send it.

    Raises:
        UnreadableRecordError: The data is not a checkpoint or is corrupt.
    """
    record = records.decode(data)
    if not isinstance(record, records.CheckpointRecord):
        raise records.UnreadableRecordError('not a checkpoint')
    return restore(record)


class StartingPoint:
    """Finds the state of a log that is read from its first record on.

    Only the best checkpoint so far and the records after the offset that it
    covers are kept.
    """

    def __init__(self, first_available_offset: int) -> None:
        self._first = first_available_offset
        self._next = first_available_offset
        self._best: fold.TablesState | None = None
        if first_available_offset == 0:
            self._best = fold.TablesState()
        self._later: dict[int, bytes] = {}
        self._skipped: list[fold.SkippedRecord] = []

    @property
    def next_offset(self) -> int:
        """The offset of the record that is wanted next."""
        return self._next

    @property
    def covers_offset(self) -> int:
        """The offset that the best checkpoint covers; -1 for none."""
        return self._best.offset if self._best is not None else -1

    @property
    def skipped(self) -> tuple[fold.SkippedRecord, ...]:
        """The records that ``finish`` could not read."""
        return tuple(self._skipped)

    def add(self, offset: int, data: bytes) -> bool:
        """Takes the next record of the log.

        Returns:
            Whether it is the best checkpoint so far.

        Raises:
            ValueError: The record does not follow the one before.
        """
        if offset != self._next:
            raise ValueError(f'record {offset} instead of {self._next}')
        self._next += 1
        self._later[offset] = data
        covers = self._best.offset if self._best is not None else -2
        best = self._restored(offset, data, covers)
        if best is None:
            return False
        self._best = best
        for old in range(max(covers + 1, self._first), best.offset + 1):
            self._later.pop(old, None)
        return True

    def _restored(
        self, offset: int, data: bytes, covers: int
    ) -> fold.TablesState | None:
        try:
            record = records.decode(data)
            if not isinstance(record, records.CheckpointRecord):
                return None
            # One that covers its own offset is not from a reader of this log.
            least = max(covers + 1, self._first - 1)
            if not least <= record.covers_offset < offset:
                return None
            return restore(record)
        except records.UnreadableRecordError:
            return None

    def finish(self) -> fold.TablesState | None:
        """The state after all records; None if there is no starting point.

        There is none if older records have expired and no checkpoint covers
        them.
        """
        if self._best is None:
            return None
        for offset in range(self._best.offset + 1, self._next):
            result = fold.fold(self._best, offset, self._later[offset])
            if isinstance(result, fold.SkippedRecord):
                self._skipped.append(result)
        return self._best


def _content_bytes(state: fold.TablesState) -> bytes:
    content = _Content(
        routes=tuple(row for _, row in sorted(state.tables.routes.items())),
        pools=tuple(row for _, row in sorted(state.tables.pools.items())),
        revision=state.tables.revision,
        revisions=_to_offsets(state.revisions),
        tombstones=_to_offsets(state.tombstones),
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


def _expand(data: bytes) -> bytes:
    expander = zlib.decompressobj()
    try:
        content = expander.decompress(data, STATE_MAX_BYTES)
    except zlib.error as error:
        raise records.UnreadableRecordError(f'corrupt: {error}') from error
    if not expander.eof:
        raise records.UnreadableRecordError('the state is cut or too large')
    return content


def _to_offsets(offsets: dict[fold.RowKey, int]) -> tuple[_Offset, ...]:
    return tuple(
        _Offset(key.table, key.name, offset)
        for key, offset in sorted(offsets.items())
    )


def _from_offsets(offsets: tuple[_Offset, ...]) -> dict[fold.RowKey, int]:
    return {
        fold.RowKey(entry.table, entry.name): entry.offset for entry in offsets
    }
