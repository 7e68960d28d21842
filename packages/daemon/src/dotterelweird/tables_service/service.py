"""Follows the configuration log and holds the tables in force."""

import asyncio
from collections.abc import Callable
import logging
import random
import traceback

import attrs

from dotterelweir_core import backoff
from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers as core_timers
from dotterelweir_core.tables import checkpoint
from dotterelweir_core.tables import fold
from dotterelweir_core.tables import model
from dotterelweir_core.tables import records
from dotterelweir_platform import api as platform_api
from dotterelweird import timers
from dotterelweird.peers import api as peers_api
from dotterelweird.settings import model as settings_model
from dotterelweird.tables_service import checkpoints
from dotterelweird.tables_service import starting

LOG = logging.getLogger(__name__)

Subscriber = Callable[[model.Tables], None]


@attrs.frozen
class TablesOptions:
    """How the log is followed.

    Attributes:
        stream: Stream of the tables.
        checkpoints: When checkpoints are written.
        wait_s: How long one read may wait for records.
        page_records: Most records of one read.
        retry_max_s: Most time between two reads that fail; with the time-out
            of a read it keeps an instance within 18 s after an outage.
        empty_pause_s: Pause after a read that ended early without a record,
            in case that the log does not wait.
    """

    stream: str
    checkpoints: checkpoints.CheckpointOptions
    wait_s: float = 5.0
    page_records: int = 100
    retry_max_s: float = 2.0
    empty_pause_s: float = 0.2

    @classmethod
    def from_settings(
        cls, platform: settings_model.Platform
    ) -> 'TablesOptions':
        """Takes the options from the settings."""
        return cls(
            platform.config_stream,
            checkpoints.CheckpointOptions(platform.log_retention_s),
            platform.log_wait_s,
        )


class TablesService:
    """The tables of one instance.

    Queries change nothing; ``run`` does all the work.
    """

    def __init__(
        self,
        log: platform_api.LogClient,
        timer: core_timers.TimerService,
        rng: random.Random,
        options: TablesOptions,
        peer: peers_api.TablesPeer | None = None,
    ) -> None:
        """Wires the service; ``run`` begins its work.

        Args:
            log: The log.
            timer: Source of time.
            rng: Random source of waits.
            options: How the log is followed.
            peer: Source of snapshots while the log is down or has a gap.
        """
        self._log = log
        self._timer = timer
        self._options = options
        self._peer = peer
        self._state: fold.TablesState | None = None
        self._published = model.Tables()
        self._subscribers: list[Subscriber] = []
        self._read_at_s: float | None = None
        self._peer_offset = -1
        self._fault: errors.ErrorKind | None = None
        self._behind = False
        self._snapshot: tuple[int, bytes] | None = None
        self._backoff = backoff.Backoff(rng, cap_s=options.retry_max_s)
        self._writer = checkpoints.CheckpointWriter(
            log,
            options.stream,
            timer,
            rng,
            options.checkpoints,
            lambda: self._state,
        )

    @property
    def ready(self) -> bool:
        """Whether there are tables to serve with."""
        return self._state is not None

    @property
    def tables(self) -> model.Tables:
        """The tables in force; empty until ``ready``."""
        return self._published

    @property
    def offset(self) -> int:
        """Last record of the log that the tables include; -1 for none."""
        return self._state.offset if self._state is not None else -1

    @property
    def log_reachable(self) -> bool:
        """Whether the last read of the log succeeded."""
        return self._read_at_s is not None and self._fault is None

    @property
    def age_s(self) -> float | None:
        """Time since the last successful read; None if there was none."""
        if self._read_at_s is None:
            return None
        return self._timer.monotonic_s() - self._read_at_s

    def snapshot(self) -> bytes | None:
        """The encoded state for a peer; None until ``ready``."""
        if self._state is None:
            return None
        if self._snapshot is None or self._snapshot[0] != self.offset:
            data = records.encode(checkpoint.make(self._state))
            self._snapshot = (self.offset, data)
        return self._snapshot[1]

    def subscribe(self, subscriber: Subscriber) -> Callable[[], None]:
        """Calls a function with the tables after each change.

        The first call is when the service becomes ready.

        Returns:
            A function that ends the subscription.
        """
        self._subscribers.append(subscriber)
        return lambda: self._subscribers.remove(subscriber)

    def note_peer_offset(self, offset: int) -> None:
        """Takes note that a peer has read the log up to an offset."""
        self._peer_offset = max(self._peer_offset, offset)

    async def run(self) -> None:
        """Follows the log until it is cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follow())
            tasks.create_task(self._writer.run())

    async def _follow(self) -> None:
        while True:
            try:
                if self._state is None:
                    await self._start()
                else:
                    await self._read_on(self._state)
            except errors.DotterelweirError as error:
                self._note_fault(error)
                await self._recover(error.kind)
                delay_s = self._backoff.next_delay_s() or 0.0
                await timers.sleep(self._timer, delay_s)

    async def _start(self) -> None:
        start = await self._read_start()
        if start is None:
            raise errors.DotterelweirError(
                errors.ErrorKind.LOG_GAP,
                'records have expired and no checkpoint covers them',
            )
        self._note_success()
        self._take_start(start)

    async def _read_on(self, state: fold.TablesState) -> None:
        options = self._options
        began_s = self._timer.monotonic_s()
        # After a fault, the first answer must not wait for a record.
        wait_s = options.wait_s if self._fault is None else 0.0
        page = await self._log.read(
            options.stream,
            state.offset + 1,
            options.page_records,
            wait_s,
        )
        wanted = state.offset + 1
        first = max(page.first_available_offset, 0)
        if page.records:
            first = max(first, page.records[0].offset)
        if first > wanted:
            raise errors.DotterelweirError(
                errors.ErrorKind.LOG_GAP,
                f'record {wanted} is missing, {first} is the next one',
            )
        self._note_success()
        self._note_end(page.end_offset)
        try:
            for record in page.records:
                self._fold(state, record)
        finally:
            self._publish()
        waited_s = self._timer.monotonic_s() - began_s
        if not page.records and waited_s < options.wait_s / 2.0:
            await timers.sleep(self._timer, options.empty_pause_s)

    def _fold(
        self, state: fold.TablesState, record: platform_api.LogRecord
    ) -> None:
        if record.offset != state.offset + 1:
            raise errors.DotterelweirError(
                errors.ErrorKind.LOG_GAP,
                f'record {record.offset} came instead of {state.offset + 1}',
            )
        self._writer.note_record(record.time_s)
        result = fold.fold(state, record.offset, record.data)
        match result:
            case fold.SkippedRecord():
                _log_skipped(result)
            case fold.EditResult():
                _log_edit(result)
            case records.CheckpointRecord():
                if checkpoint.contradicts(state, result):
                    events.log(
                        LOG,
                        events.CHECKPOINT_MISMATCH,
                        offset=record.offset,
                        covers_offset=result.covers_offset,
                        digest=result.digest,
                    )
                else:
                    self._writer.note(result.covers_offset, record.time_s)

    async def _recover(self, kind: errors.ErrorKind) -> None:
        """Tries to get a newer state after a read of the log failed."""
        gap = kind is errors.ErrorKind.LOG_GAP
        if gap and self._state is not None:
            try:
                start = await self._read_start()
            except errors.DotterelweirError:
                start = None
            if start is not None and start.state.offset > self.offset:
                self._take_start(start)
                return
        if gap or self._state is None or self._peer_offset > self.offset:
            await self._restore_from_peer(self.offset + 1)

    async def _read_start(self) -> starting.Start | None:
        return await starting.read_start(
            self._log, self._options.stream, self._options.page_records
        )

    def _take_start(self, start: starting.Start) -> None:
        self._writer.note(start.covers_offset, start.covers_time_s)
        for skipped in start.skipped:
            _log_skipped(skipped)
        self._take_state(start.state, 'log')

    async def _restore_from_peer(self, min_offset: int) -> None:
        if self._peer is None:
            return
        try:
            data = await self._peer.fetch_snapshot(min_offset)
        except errors.DotterelweirError as error:
            events.log(LOG, events.SNAPSHOT_REJECTED, error=str(error))
            return
        if data is None:
            if self._state is None:
                events.log(LOG, events.TABLES_UNAVAILABLE)
            return
        try:
            state = checkpoint.restore_snapshot(data)
        except records.UnreadableRecordError as error:
            events.log(LOG, events.SNAPSHOT_REJECTED, error=str(error))
            return
        if state.offset < min_offset:
            events.log(
                LOG,
                events.SNAPSHOT_REJECTED,
                error=f'offset {state.offset} is below {min_offset}',
            )
            return
        # The peer does not tell of checkpoints. Instances that read the log
        # are due earlier than this one, which counts from now on.
        self._writer.note(state.offset, self._timer.wall_s())
        self._take_state(state, 'peer')

    def _take_state(self, state: fold.TablesState, source: str) -> None:
        before = self.offset
        self._state = state
        events.log(
            LOG,
            events.TABLES_RESTORED,
            source=source,
            offset=state.offset,
            offset_before=before,
            revision=state.tables.revision,
        )
        self._publish()

    def _publish(self) -> None:
        if self._state is None or self._state.tables is self._published:
            return
        self._published = self._state.tables
        for subscriber in tuple(self._subscribers):
            try:
                subscriber(self._published)
            except Exception:
                # The fault of one subscriber must not stop the log's reader.
                events.log(
                    LOG,
                    events.TABLES_CALLBACK_FAILED,
                    error=traceback.format_exc(),
                )

    def _note_success(self) -> None:
        self._read_at_s = self._timer.monotonic_s()
        self._backoff.reset()
        if self._fault is not None:
            self._fault = None
            events.log(LOG, events.LOG_REACHABLE, offset=self.offset)

    def _note_fault(self, error: errors.DotterelweirError) -> None:
        if error.kind is self._fault:
            return
        self._fault = error.kind
        gap = error.kind is errors.ErrorKind.LOG_GAP
        events.log(
            LOG,
            events.LOG_GAP if gap else events.LOG_UNREACHABLE,
            offset=self.offset,
            error=error.detail,
        )

    def _note_end(self, end_offset: int) -> None:
        behind = end_offset <= self.offset
        if behind and not self._behind:
            events.log(
                LOG,
                events.LOG_BEHIND,
                offset=self.offset,
                end_offset=end_offset,
            )
        self._behind = behind


def _log_skipped(result: fold.SkippedRecord) -> None:
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
