"""Rebuilds the state of the tables by a replay of the configuration log."""

import attrs

from dotterelweir_core import errors
from dotterelweir_core.tables import checkpoint
from dotterelweir_core.tables import fold
from dotterelweir_logservice import api

# Greater than every offset and exact as a JSON number.
_BEYOND_END = 2**53 - 1


@attrs.frozen
class TablesReplay:
    """The result of a replay of the configuration log.

    Attributes:
        state: State of the tables at the end of the log.
        covers_offset: Offset that the chosen checkpoint covers; -1 if there
            is no checkpoint.
        covers_time_s: When the chosen checkpoint was appended, or the time
            of the oldest record if there is no checkpoint, in wall-clock
            seconds of the log; None for an empty log.
        skipped: Records that could not be decoded.
    """

    state: fold.TablesState
    covers_offset: int
    covers_time_s: float | None
    skipped: tuple[fold.SkippedRecord, ...]


async def replay_tables(
    log: api.LogClient, stream: str, page_records: int
) -> TablesReplay:
    """Replays the whole stream into a state of the tables.

    Args:
        log: The log service.
        stream: Name of the stream.
        page_records: Maximum number of records per read.

    Raises:
        DotterelweirError: LOG_UNAVAILABLE; LOG_GAP if records have expired
            and no checkpoint in the log covers them, or if records expired
            while they were read.
    """
    first = await _first_available_offset(log, stream)
    replay = checkpoint.LogReplay(first)
    covers_time_s: float | None = None
    while True:
        page = await log.read(stream, replay.next_offset, page_records, 0.0)
        for record in page.records:
            if record.offset != replay.next_offset:
                raise errors.DotterelweirError(
                    errors.ErrorKind.LOG_GAP,
                    f'record {record.offset} came instead of '
                    f'{replay.next_offset}',
                )
            replaced_base = replay.add(record.offset, record.data)
            if replaced_base or covers_time_s is None:
                covers_time_s = record.time_s
        if not page.records or replay.next_offset >= page.end_offset:
            break
    covers_offset = replay.covers_offset
    state = replay.finish()
    if state is None:
        raise errors.DotterelweirError(
            errors.ErrorKind.LOG_GAP,
            f'records before {first} have expired and no checkpoint covers '
            'them',
        )
    return TablesReplay(state, covers_offset, covers_time_s, replay.skipped)


async def _first_available_offset(log: api.LogClient, stream: str) -> int:
    try:
        page = await log.read(stream, 0, 1, 0.0)
    except errors.DotterelweirError as error:
        if error.kind is not errors.ErrorKind.LOG_GAP:
            raise
        # A read of an expired offset returns no first available offset, but
        # a read beyond the end does.
        page = await log.read(stream, _BEYOND_END, 1, 0.0)
    return page.first_available_offset
