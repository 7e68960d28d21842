"""Follows the tables and the targets in the platform's store."""

from collections.abc import Callable
import logging
import random

from dotterelweir_core import backoff
from dotterelweir_core import events
from dotterelweir_core import timers as core_timers
from dotterelweir_core.gateway import tables as gateway_tables
from dotterelweir_core.gateway import targets as gateway_targets
from dotterelweird import timers
from dotterelweird.gateway import api

LOG = logging.getLogger(__name__)

# Longest time that one read waits for a change of the tables. A connection
# that went silent is noticed after it, so it stays below the bound within
# which a change must be in force.
TABLES_WAIT_S = 1.5
TARGETS_WAIT_S = 1.0
# Least time between two reads of the targets by any instance: every
# heartbeat is a record, and each read has a price. Instances tell each other
# what they read, so each of them reads less often the more there are, up to
# the bound, which keeps the time in which a leaving target must get no more
# work even if what the others tell is lost.
_TARGETS_PERIOD_S = 0.4
_TARGETS_PERIOD_MAX_S = 1.2
# Delays between failed calls, in seconds.
_RETRY_FIRST_S = 0.1
_RETRY_CAP_S = 0.8


def targets_period_s(instances: int) -> float:
    """Least time between two reads of the targets by one instance.

    Args:
        instances: Instances that read them.
    """
    return min(_TARGETS_PERIOD_MAX_S, _TARGETS_PERIOD_S * instances)


class StreamFollower:
    """Reads one stream from its newest state on.

    Args:
        store: The platform's store.
        stream: The stream.
        timer_service: The timer service.
        rng: Random source of the delays.
        wait_s: Longest time that one read waits.
        period_s: Gives the least time between two reads, in seconds.
        apply_snapshot: Takes the newest record of every key.
        apply_records: Takes further records in order.
        returned: Is called when the store answers after an outage.
    """

    def __init__(
        self,
        store: api.Store,
        stream: api.StoreStream,
        timer_service: core_timers.TimerService,
        rng: random.Random,
        wait_s: float,
        period_s: Callable[[], float],
        apply_snapshot: Callable[[api.Batch], None],
        apply_records: Callable[[api.Batch], object],
        returned: Callable[[], None] = lambda: None,
    ) -> None:
        self._store = store
        self._stream = stream
        self._timers = timer_service
        self._rng = rng
        self._backoff = backoff.Backoff(rng, _RETRY_FIRST_S, _RETRY_CAP_S)
        self._wait_s = wait_s
        self._period_s = period_s
        self._apply_snapshot = apply_snapshot
        self._apply_records = apply_records
        self._returned = returned
        self._offset: int | None = None
        self.available = False
        self.read_at_s = 0.0

    async def run(self) -> None:
        """Follows the stream until it is cancelled."""
        while True:
            try:
                await self._step()
            except api.RecordsExpired:
                events.log(
                    LOG,
                    events.STORE_RECORDS_EXPIRED,
                    stream=self._stream.value,
                    offset=self._offset,
                )
                self._offset = None
            except api.StoreUnavailable as exc:
                self._mark_unavailable(str(exc))
                delay_s = self._backoff.next_delay_s()
                await timers.sleep(self._timers, delay_s or _RETRY_CAP_S)
            else:
                period_s = self._period_s()
                if period_s:
                    # Instances that started together spread their reads.
                    await timers.sleep(
                        self._timers, period_s * self._rng.uniform(0.6, 1.4)
                    )

    async def _step(self) -> None:
        if self._offset is None:
            batch = await self._store.newest(self._stream)
            self._mark_available()
            self._apply_snapshot(batch)
        else:
            batch = await self._store.read(
                self._stream, self._offset, self._wait_s
            )
            self._mark_available()
            self._apply_records(batch)
        self._offset = batch.end

    def _mark_available(self) -> None:
        had_outage = self.read_at_s > 0.0 and not self.available
        self.read_at_s = self._timers.monotonic_s()
        self._backoff.reset()
        if had_outage:
            self._returned()
        if not self.available:
            self.available = True
            events.log(LOG, events.STORE_REACHABLE, stream=self._stream.value)

    def _mark_unavailable(self, reason: str) -> None:
        if self.available or self.read_at_s == 0.0:
            events.log(
                LOG,
                events.STORE_UNREACHABLE,
                stream=self._stream.value,
                reason=reason,
            )
        self.available = False


class TablesKeeper:
    """The tables in force; never an older version after a newer one."""

    def __init__(self, store: api.Store) -> None:
        self._store = store
        self.current: gateway_tables.Tables | None = None
        self._listeners: list[Callable[[gateway_tables.Tables], None]] = []

    def subscribe(
        self, listener: Callable[[gateway_tables.Tables], None]
    ) -> None:
        """Calls a function with each new version."""
        self._listeners.append(listener)

    def apply(self, batch: api.Batch) -> None:
        """Puts the newest tables of a batch in force."""
        for record in batch.records:
            try:
                decoded = self._store.decode_tables(record)
            except api.RecordInvalid as exc:
                events.log(
                    LOG,
                    events.STORE_RECORD_INVALID,
                    key=record.key,
                    offset=record.offset,
                    reason=str(exc),
                )
                continue
            if decoded is not None:
                self._put_in_force(decoded, record.offset)

    def _put_in_force(
        self, decoded: gateway_tables.Tables, offset: int
    ) -> None:
        before = self.current.version if self.current else None
        if before is not None and decoded.version <= before:
            return
        self.current = decoded
        events.log(
            LOG,
            events.TABLES_IN_FORCE,
            version=decoded.version,
            previous_version=before,
            offset=offset,
            routes=len(decoded.routes),
        )
        for listener in self._listeners:
            listener(decoded)


class TargetsKeeper:
    """The registered targets.

    Entries lapse while the store is away, and targets that live write them
    again within the settling time after its return. A removal that is read
    in that time is believed after it, unless a newer entry came meanwhile.

    Args:
        store: The platform's store.
        directory: The targets.
        timer_service: The timer service.
        settle_s: The settling time, in seconds.
    """

    def __init__(
        self,
        store: api.Store,
        directory: gateway_targets.TargetDirectory,
        timer_service: core_timers.TimerService,
        settle_s: float,
    ) -> None:
        self._store = store
        self._directory = directory
        self._timers = timer_service
        self._settle_s = settle_s
        self._settled_at_s = 0.0
        self._listeners: list[
            Callable[[gateway_targets.TargetChange], None]
        ] = []

    def subscribe(
        self, listener: Callable[[gateway_targets.TargetChange], None]
    ) -> None:
        """Calls a function with each change of a target."""
        self._listeners.append(listener)

    def store_returned(self) -> None:
        """Takes note that the store answers again after an outage."""
        self._settled_at_s = self._timers.monotonic_s() + self._settle_s

    def apply_snapshot(self, batch: api.Batch) -> None:
        """Takes the newest record of every target."""
        wait_s = self._settled_at_s - self._timers.monotonic_s()
        if wait_s > 0 and self._directory.targets:
            self.apply(batch)
            self._timers.call_after(wait_s, lambda: self.apply_snapshot(batch))
            return
        records = {}
        for record in batch.records:
            try:
                decoded = self._store.decode_target(record)
            except api.RecordInvalid as exc:
                self._log_invalid(record, exc)
                decoded = None
            records[record.key] = (decoded, record.offset)
        for change in self._directory.apply_snapshot(records, batch.end):
            self._announce(change)

    def apply(self, batch: api.Batch) -> list[api.Record]:
        """Takes further records.

        Returns:
            The records that changed something.
        """
        changed = []
        for record in batch.records:
            try:
                decoded = self._store.decode_target(record)
            except api.RecordInvalid as exc:
                self._log_invalid(record, exc)
                continue
            if decoded is None and self._defer(record):
                continue
            change = self._directory.apply(record.key, decoded, record.offset)
            if change is not None:
                self._announce(change)
                changed.append(record)
        return changed

    def _defer(self, record: api.Record) -> bool:
        """Defers a removal that is read while entries come back."""
        wait_s = self._settled_at_s - self._timers.monotonic_s()
        if wait_s <= 0 or record.key not in self._directory.targets:
            return False
        self._timers.call_after(
            wait_s, lambda: self.apply(api.Batch((record,), 0))
        )
        return True

    def _log_invalid(self, record: api.Record, exc: Exception) -> None:
        events.log(
            LOG,
            events.STORE_RECORD_INVALID,
            key=record.key,
            offset=record.offset,
            reason=str(exc),
        )

    def _announce(self, change: gateway_targets.TargetChange) -> None:
        events.log(
            LOG,
            events.TARGET_CHANGED,
            target_id=change.target_id,
            service=(change.after or change.before).service,
            before=change.before.state.value if change.before else 'absent',
            after=change.after.state.value if change.after else 'gone',
        )
        for listener in self._listeners:
            listener(change)
