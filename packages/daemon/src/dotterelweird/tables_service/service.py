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
from dotterelweir_logservice import api as platform_api
from dotterelweir_logservice import tables as platform_tables
from dotterelweird import timers
from dotterelweird.peers import api as peers_api
from dotterelweird.settings import model as settings_model
from dotterelweird.tables_service import checkpoints
from dotterelweird.tables_service import condition
from dotterelweird.tables_service import following
from dotterelweird.tables_service import snapshots

LOG = logging.getLogger(__name__)

Subscriber = Callable[[model.Tables], None]


@attrs.frozen
class TablesOptions:
    """Options of reading the log.

    Attributes:
        stream: Name of the stream of the tables.
        checkpoints: Options of checkpoints.
        wait_s: How long one read may wait for records, in seconds.
        page_records: Maximum number of records that one read returns.
        retry_max_s: Longest delay after a failed read, in seconds. Together
            with the timeout of a read it ensures that an instance is up to
            date within 18 s after an outage.
        empty_read_delay_s: Delay after a read that returned early without
            records, in seconds, for a log that ignores ``wait_s``.
    """

    stream: str
    checkpoints: checkpoints.CheckpointOptions
    wait_s: float = 5.0
    page_records: int = 100
    retry_max_s: float = 2.0
    empty_read_delay_s: float = 0.2

    @classmethod
    def from_settings(
        cls, platform: settings_model.Platform
    ) -> 'TablesOptions':
        """Creates the options from the settings of the platform."""
        return cls(
            platform.config_stream,
            checkpoints.CheckpointOptions(platform.log_retention_s),
            platform.log_wait_s,
        )


class TablesService:
    """Maintains the tables of one instance.

    ``run`` reads the log and updates the tables; the properties only return
    them.
    """

    def __init__(
        self,
        log: platform_api.LogClient,
        timer: core_timers.TimerService,
        rng: random.Random,
        options: TablesOptions,
        snapshot_source: peers_api.SnapshotSource | None = None,
    ) -> None:
        """Creates the service without starting it.

        Args:
            log: The log service.
            timer: Clock and timers.
            rng: Random source of the backoff and of checkpoint checks.
            options: Options of reading the log.
            snapshot_source: Source of snapshots while the log is down or has
                a gap; None without peers.
        """
        self._log = log
        self._timer = timer
        self._options = options
        self._snapshot_source = snapshot_source
        self._state: fold.TablesState | None = None
        self._published = model.Tables()
        self._subscribers: list[Subscriber] = []
        self._condition = condition.LogCondition(timer)
        self._peer_offset = -1
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
        """Whether the tables have been loaded."""
        return self._state is not None

    @property
    def tables(self) -> model.Tables:
        """The tables in force; empty until ``ready``."""
        return self._published

    @property
    def offset(self) -> int:
        """Offset of the last record that the tables include; -1 for none."""
        return self._state.offset if self._state is not None else -1

    @property
    def log_reachable(self) -> bool:
        """Whether the last read of the log succeeded."""
        return self._condition.reachable

    @property
    def age_s(self) -> float | None:
        """Seconds since the last successful read; None if there was none."""
        return self._condition.age_s

    def snapshot(self) -> bytes | None:
        """Returns the encoded state for a peer; None until ``ready``."""
        if self._state is None:
            return None
        if self._snapshot is None or self._snapshot[0] != self.offset:
            data = records.encode(checkpoint.make(self._state))
            self._snapshot = (self.offset, data)
        return self._snapshot[1]

    def subscribe(self, subscriber: Subscriber) -> Callable[[], None]:
        """Registers a function that is called after each change.

        The first call is made when the service becomes ready.

        Args:
            subscriber: Called with the new tables. Its errors are logged.

        Returns:
            A function that ends the subscription.
        """
        self._subscribers.append(subscriber)
        return lambda: self._subscribers.remove(subscriber)

    def note_peer_offset(self, offset: int) -> None:
        """Records that a peer has read the log up to an offset."""
        self._peer_offset = max(self._peer_offset, offset)

    async def run(self) -> None:
        """Reads the log and writes checkpoints until it is cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follow())
            tasks.create_task(self._writer.run())

    async def _follow(self) -> None:
        while True:
            try:
                if self._state is None:
                    await self._load_from_log()
                else:
                    await self._read_next_page(self._state)
            except errors.DotterelweirError as error:
                self._condition.note_fault(self.offset, error)
                await self._recover(error.kind)
                delay_s = self._backoff.next_delay_s() or 0.0
                await timers.sleep(self._timer, delay_s)

    async def _load_from_log(self) -> None:
        replay = await self._replay_log()
        self._install_replay(replay)
        self._note_success(replay.state.offset + 1)

    async def _read_next_page(self, state: fold.TablesState) -> None:
        options = self._options
        began_s = self._timer.monotonic_s()
        # After a fault the read does not wait for a record, so that the
        # recovery of the log is detected at once.
        wait_s = 0.0 if self._condition.faulty else options.wait_s
        page = await self._log.read(
            options.stream,
            state.offset + 1,
            options.page_records,
            wait_s,
        )
        next_offset = state.offset + 1
        available_offset = max(page.first_available_offset, 0)
        if page.records:
            available_offset = max(available_offset, page.records[0].offset)
        if available_offset > next_offset:
            raise errors.DotterelweirError(
                errors.ErrorKind.LOG_GAP,
                f'record {next_offset} is missing, {available_offset} is the '
                'next one',
            )
        self._note_success(page.end_offset)
        try:
            for record in page.records:
                following.fold_record(state, record, self._writer)
        finally:
            self._publish()
        waited_s = self._timer.monotonic_s() - began_s
        if not page.records and waited_s < options.wait_s / 2.0:
            await timers.sleep(self._timer, options.empty_read_delay_s)

    async def _recover(self, kind: errors.ErrorKind) -> None:
        """Tries to get a newer state after a read of the log failed.

        After a gap it replays the log from a checkpoint. If that gives no
        newer state, if there is no state yet, or if a peer is known to be
        ahead, it fetches a snapshot from a peer.

        Args:
            kind: Kind of the error of the read.
        """
        gap = kind is errors.ErrorKind.LOG_GAP
        if gap and self._state is not None:
            try:
                replay = await self._replay_log()
            except errors.DotterelweirError:
                # The fault is already logged; a peer may have a newer state.
                pass
            else:
                if replay.state.offset > self.offset:
                    self._install_replay(replay)
                    return
        if gap or self._state is None or self._peer_offset > self.offset:
            await self._restore_from_peer(self.offset + 1)

    async def _replay_log(self) -> platform_tables.TablesReplay:
        return await platform_tables.replay_tables(
            self._log, self._options.stream, self._options.page_records
        )

    def _install_replay(self, replay: platform_tables.TablesReplay) -> None:
        self._writer.note_checkpoint(
            replay.covers_offset, replay.covers_time_s
        )
        for skipped in replay.skipped:
            following.log_skipped(skipped)
        self._install_state(replay.state, 'log')

    async def _restore_from_peer(self, min_offset: int) -> None:
        if self._snapshot_source is None:
            return
        state = await snapshots.fetch_state(self._snapshot_source, min_offset)
        if state is None:
            if self._state is None:
                events.log(LOG, events.TABLES_UNAVAILABLE)
            return
        # A snapshot does not include the time of the last checkpoint. Its age
        # counts from now here; instances that read the log know it and write
        # the next checkpoint first.
        self._writer.note_checkpoint(state.offset, self._timer.wall_s())
        self._install_state(state, 'peer')

    def _install_state(self, state: fold.TablesState, source: str) -> None:
        previous_offset = self.offset
        self._state = state
        events.log(
            LOG,
            events.TABLES_RESTORED,
            source=source,
            offset=state.offset,
            offset_before=previous_offset,
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
                # An error of one subscriber must not stop the reading.
                events.log(
                    LOG,
                    events.TABLES_CALLBACK_FAILED,
                    error=traceback.format_exc(),
                )

    def _note_success(self, end_offset: int) -> None:
        self._backoff.reset()
        self._condition.note_success(self.offset, end_offset)
