"""Writes checkpoints of the tables before the records of edits expire."""

from collections.abc import Callable
import logging
import random

import attrs

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers as core_timers
from dotterelweir_core.tables import checkpoint
from dotterelweir_core.tables import fold
from dotterelweir_core.tables import records
from dotterelweir_logservice import api
from dotterelweird import timers

LOG = logging.getLogger(__name__)


@attrs.frozen
class CheckpointOptions:
    """Options that control when checkpoints are written.

    Attributes:
        retention_s: Retention of the log, in seconds.
        max_records: Number of records after which a checkpoint is due.
        check_period_s: Longest time between two checks whether a checkpoint
            is due, in seconds. Each wait is drawn from the upper half of this
            range, so that one of several instances usually writes and the
            others read its checkpoint: with 60 s, 370 instances and 0.1 s
            from append to read, less than one other is expected to write.
        append_timeout_s: Timeout of one append, in seconds.
    """

    retention_s: float
    max_records: int = 200
    check_period_s: float = 60.0
    append_timeout_s: float = 10.0


class CheckpointWriter:
    """Appends a checkpoint if one is due and no other instance wrote it."""

    def __init__(
        self,
        log: api.LogClient,
        stream: str,
        timer: core_timers.TimerService,
        rng: random.Random,
        options: CheckpointOptions,
        state: Callable[[], fold.TablesState | None],
    ) -> None:
        """Creates a writer; ``run`` does its work.

        Args:
            log: The log service.
            stream: Stream of the tables.
            timer: Clock and timers.
            rng: Random source of the waits between checks.
            options: Options of checkpoints.
            state: Returns the newest state of this instance; None if there
                is none yet.
        """
        self._log = log
        self._stream = stream
        self._timer = timer
        self._rng = rng
        self._options = options
        self._state = state
        self._covers_offset = -1
        # Wall time of the newest checkpoint or, as long as there is none, of
        # the first record.
        self._age_start_s: float | None = None

    def note_checkpoint(
        self, covers_offset: int, time_s: float | None
    ) -> None:
        """Records a checkpoint of the log or a replaced state.

        Args:
            covers_offset: Offset up to which the checkpoint or state covers
                the log.
            time_s: Time from which the age of the checkpoint counts, in wall
                seconds; None if the log has no record that could expire.
        """
        if self._age_start_s is None or covers_offset > self._covers_offset:
            self._covers_offset = covers_offset
            self._age_start_s = time_s

    def note_record(self, time_s: float) -> None:
        """Records the time of a record, if none is known yet.

        Args:
            time_s: When the record was appended, in wall seconds.
        """
        if self._age_start_s is None:
            self._age_start_s = time_s

    async def run(self) -> None:
        """Writes checkpoints until it is cancelled."""
        period_s = self._options.check_period_s
        while True:
            delay_s = self._rng.uniform(period_s / 2.0, period_s)
            await timers.sleep(self._timer, delay_s)
            state = self._state()
            if state is None or not self._is_due(state):
                continue
            try:
                await self._write()
            except errors.DotterelweirError as error:
                events.log(LOG, events.CHECKPOINT_FAILED, error=str(error))

    def _is_due(self, state: fold.TablesState) -> bool:
        if self._age_start_s is None or state.offset <= self._covers_offset:
            return False
        if state.offset - self._covers_offset >= self._options.max_records:
            return True
        age_s = self._timer.wall_s() - self._age_start_s
        return age_s >= self._options.retention_s / 4.0

    async def _write(self) -> None:
        """Appends a checkpoint unless this instance is behind the log."""
        state = self._state()
        if state is None:
            return
        page = await self._log.read(self._stream, state.offset + 1, 1, 0.0)
        state = self._state()
        if state is None or page.end_offset != state.offset + 1:
            # This instance is behind the log; the records that it has not
            # read yet may include a checkpoint.
            return
        record = checkpoint.make(state)
        await self._log.append(
            self._stream,
            (records.encode(record),),
            self._options.append_timeout_s,
        )
        events.log(
            LOG,
            events.CHECKPOINT_WRITTEN,
            covers_offset=record.covers_offset,
            digest=record.digest,
        )
