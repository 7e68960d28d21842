"""Keeps what the streams of the store say: tables and targets."""

from collections.abc import Callable
import logging

import attrs

from dotterelweir_core import events
from dotterelweir_core import timers as core_timers
from dotterelweir_core.gateway import tables as gateway_tables
from dotterelweir_core.gateway import targets as gateway_targets
from dotterelweird.gateway import api
from dotterelweird.gateway import stream_api

LOG = logging.getLogger(__name__)

# Time after the settling time in which a read that finds the entries that
# came back in it should have ended, in seconds: the longest time between two
# reads, and the call itself. Later ones are not waited for.
_READ_DELAY_MAX_S = 1.0


class TablesKeeper(stream_api.Keeper):
    """The tables in force; never an older version after a newer one."""

    def __init__(self, store: api.Store) -> None:
        self._store = store
        self.current: gateway_tables.Tables | None = None
        self.records: tuple[api.Record, ...] = ()
        self._listeners: list[Callable[[gateway_tables.Tables], None]] = []

    @property
    def position(self) -> int:
        """Version of the tables in force; -1 before the first one."""
        return self.current.version if self.current else -1

    @property
    def fingerprint(self) -> str:
        """Names the tables in force."""
        return str(self.position)

    def subscribe(
        self, listener: Callable[[gateway_tables.Tables], None]
    ) -> None:
        """Calls a function with each new version."""
        self._listeners.append(listener)

    def on_store_recovered(self, since_s: float) -> None:
        """Does nothing: tables do not lapse."""

    def on_read_completed(self, began_s: float) -> None:
        """Does nothing: no change of the tables waits for a read."""

    def on_store_rewound(self) -> None:
        """Does nothing: versions grow from era to era."""

    def apply_snapshot(self, batch: api.Batch) -> None:
        """Puts the newest tables of a batch in force."""
        self.apply(batch)

    def apply(self, batch: api.Batch) -> list[api.Record]:
        """Puts the newest tables of a batch in force.

        Returns:
            Nothing: tables may be larger than a datagram.
        """
        for record in batch.records:
            try:
                decoded = self._store.decode_tables(record)
            except api.RecordInvalid as exc:
                _log_invalid(record, exc)
                continue
            if decoded is not None:
                self._put_in_force(decoded, record)
        return []

    def _put_in_force(
        self, decoded: gateway_tables.Tables, record: api.Record
    ) -> None:
        before = self.current.version if self.current else None
        if before is not None and decoded.version <= before:
            return
        self.current = decoded
        self.records = (record,)
        events.log(
            LOG,
            events.TABLES_IN_FORCE,
            version=decoded.version,
            previous_version=before,
            offset=record.offset,
            routes=len(decoded.routes),
        )
        for listener in self._listeners:
            listener(decoded)


class TargetsKeeper(stream_api.Keeper):
    """The registered targets.

    Entries lapse while the store is away, and targets that live write them
    again within the settling time after its return. A removal that is read
    in that time is believed after the first read that began later, unless
    that read found a newer entry.

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
        self._records: dict[str, api.Record] = {}
        # What was read and is not believed yet.
        self._deferred: list[Callable[[], object]] = []
        self._listeners: list[
            Callable[[gateway_targets.TargetChange], None]
        ] = []

    def subscribe(
        self, listener: Callable[[gateway_targets.TargetChange], None]
    ) -> None:
        """Calls a function with each change of a target."""
        self._listeners.append(listener)

    # Heartbeats change offsets only, so the follower's offset counts.
    position = None

    @property
    def fingerprint(self) -> str:
        """Names the registered targets; empty while removals are deferred.

        An instance that told its targets then would make others believe
        that the store still has them.
        """
        return '' if self._deferred else self._directory.fingerprint

    @property
    def records(self) -> tuple[api.Record, ...]:
        """A record of every registered target."""
        return tuple(
            record
            for key, record in self._records.items()
            if key in self._directory.targets
        )

    def on_store_recovered(self, since_s: float) -> None:
        """Takes note that the store answers again after an outage."""
        self._settled_at_s = max(self._settled_at_s, since_s + self._settle_s)

    def on_read_completed(self, began_s: float) -> None:
        """Believes what was deferred, if entries were back at that time."""
        if began_s >= self._settled_at_s:
            self._apply_deferred()

    def on_store_rewound(self) -> None:
        """Takes note that the store came back from an older copy.

        Targets that registered after the copy was made register again.
        """
        self.on_store_recovered(self._timers.monotonic_s())
        self._directory.begin_era()
        # Any record of the new era is newer.
        self._records = {
            key: attrs.evolve(record, offset=0)
            for key, record in self._records.items()
        }

    def apply_departure(self, departure: gateway_targets.Departure) -> bool:
        """Takes note that a target leaves or has left.

        Returns:
            Whether that was news for a registered target.
        """
        change = self._directory.apply_departure(departure)
        if change is not None:
            self._notify_listeners(change)
        return change is not None

    def apply_snapshot(self, batch: api.Batch) -> None:
        """Takes the newest record of every target."""
        self._directory.note_restored_end(batch.end)
        wait_s = self._settled_at_s - self._timers.monotonic_s()
        if wait_s > 0 and self._directory.targets:
            self.apply(batch)
            self._defer_until_settled(lambda: self.apply_snapshot(batch))
            return
        records = {}
        for record in batch.records:
            try:
                decoded = self._store.decode_target(record)
            except api.RecordInvalid as exc:
                _log_invalid(record, exc)
                decoded = None
            records[record.key] = (decoded, record.offset)
            self._records[record.key] = record
        for change in self._directory.apply_snapshot(records, batch.end):
            self._notify_listeners(change)

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
                _log_invalid(record, exc)
                continue
            if decoded is None and self._defer_removal(record):
                continue
            before = self._directory.registered(record.key)
            change = self._directory.apply(record.key, decoded, record.offset)
            # Requests may see no change: the target said so before.
            if self._directory.registered(record.key) != before:
                self._update_record(record)
                changed.append(record)
            if change is not None:
                self._notify_listeners(change)
        return changed

    def _update_record(self, record: api.Record) -> None:
        if record.value is None:
            self._records.pop(record.key, None)
        else:
            self._records[record.key] = record

    def _defer_removal(self, record: api.Record) -> bool:
        """Defers a removal that is read while entries come back."""
        wait_s = self._settled_at_s - self._timers.monotonic_s()
        if wait_s <= 0 or record.key not in self._directory.targets:
            return False
        self._defer_until_settled(lambda: self.apply(api.Batch((record,), 0)))
        return True

    def _defer_until_settled(self, apply_read: Callable[[], object]) -> None:
        """Defers what was read until entries are back after an outage."""
        era = self._directory.era

        def apply_in_era() -> None:
            if era == self._directory.era:
                apply_read()

        self._deferred.append(apply_in_era)
        wait_s = self._settled_at_s - self._timers.monotonic_s()
        self._timers.call_after(
            max(0.0, wait_s) + _READ_DELAY_MAX_S, self._apply_deferred
        )

    def _apply_deferred(self) -> None:
        deferred, self._deferred = self._deferred, []
        for apply_read in deferred:
            apply_read()

    def _notify_listeners(self, change: gateway_targets.TargetChange) -> None:
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


def _log_invalid(record: api.Record, exc: api.RecordInvalid) -> None:
    events.log(
        LOG,
        events.STORE_RECORD_INVALID,
        key=record.key,
        offset=record.offset,
        reason=str(exc),
    )
