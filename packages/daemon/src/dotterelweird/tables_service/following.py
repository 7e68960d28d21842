"""Folds single records of the log and logs the results."""

import logging

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core.tables import checkpoint
from dotterelweir_core.tables import fold
from dotterelweir_core.tables import records
from dotterelweir_logservice import api
from dotterelweird.tables_service import checkpoints

LOG = logging.getLogger(__name__)


def fold_record(
    state: fold.TablesState,
    record: api.LogRecord,
    writer: checkpoints.CheckpointWriter,
) -> None:
    """Folds the next record of the log.

    Args:
        state: The state of the tables; changed in place.
        record: The record.
        writer: Is notified of the record and of valid checkpoints.

    Raises:
        DotterelweirError: LOG_GAP if the offset is not the next one.
    """
    if record.offset != state.offset + 1:
        raise errors.DotterelweirError(
            errors.ErrorKind.LOG_GAP,
            f'record {record.offset} came instead of {state.offset + 1}',
        )
    writer.note_record(record.time_s)
    result = fold.fold(state, record.offset, record.data)
    match result:
        case fold.SkippedRecord():
            log_skipped(result)
        case fold.EditResult():
            _log_edit(result)
        case records.CheckpointRecord():
            if checkpoint.mismatches(state, result):
                events.log(
                    LOG,
                    events.CHECKPOINT_MISMATCH,
                    offset=record.offset,
                    covers_offset=result.covers_offset,
                    digest=result.digest,
                )
            else:
                writer.note_checkpoint(result.covers_offset, record.time_s)


def log_skipped(result: fold.SkippedRecord) -> None:
    """Logs a record that could not be decoded."""
    events.log(
        LOG,
        events.RECORD_SKIPPED,
        offset=result.offset,
        reason=result.detail,
    )


def _log_edit(result: fold.EditResult) -> None:
    accepted = result.decision.accepted
    events.log(
        LOG,
        events.EDIT_ACCEPTED if accepted else events.EDIT_REJECTED,
        offset=result.offset,
        edit_id=result.decision.edit_id,
        first_offset=result.decision.offset,
        reason=result.decision.reason.value,
        details=list(result.decision.details),
    )
