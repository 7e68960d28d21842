"""State that is built from the streams of the store: tables and targets."""

from collections.abc import Callable
from collections.abc import Iterable
import logging
from typing import Generic
from typing import TypeVar

import attrs

from dotterelweir_core import events
from dotterelweir_core import timers as core_timers
from dotterelweir_core.gateway import evacuations
from dotterelweir_core.gateway import tables as gateway_tables
from dotterelweir_core.gateway import targets as gateway_targets
from dotterelweird.gateway import api
from dotterelweird.gateway import stream_api

LOG = logging.getLogger(__name__)

# Time after the settling time after which deferred changes are applied even
# without a new read, in seconds. It covers the longest time between two reads
# of the targets and the usual time of a call.
_READ_DELAY_MAX_S = 1.0
# Maximum number of invalid records of a batch that are logged, so that many of
# them do not displace other lines in the bounded output.
_INVALID_LOGGED_MAX = 8

_Decoded = TypeVar('_Decoded')


class TablesKeeper(stream_api.Keeper):
    """Holds the tables in force and applies evacuations of zones.

    The version of the tables never decreases. It does not rise with an
    evacuation, which therefore counts in the fingerprint: an instance does
    not postpone its read because a peer read another state.

    Args:
        store: Decodes the records.
        evacuation_registry: The evacuated zones.

    Attributes:
        current: The tables in force; None before the first ones.
    """

    def __init__(
        self,
        store: api.Store,
        evacuation_registry: evacuations.EvacuationRegistry,
    ) -> None:
        self._store = store
        self._evacuations = evacuation_registry
        self.current: gateway_tables.Tables | None = None
        self._tables_record: api.Record | None = None
        # Records that evacuated a zone, by zone, with their states.
        self._evacuation_records: dict[
            str, tuple[evacuations.Evacuation, api.Record]
        ] = {}
        self._listeners: list[Callable[[gateway_tables.Tables], None]] = []
        self._evacuation_listeners: list[
            Callable[[evacuations.Evacuation], None]
        ] = []

    @property
    def position(self) -> int:
        """Version of the tables in force; -1 before the first one."""
        return self.current.version if self.current else -1

    @property
    def fingerprint(self) -> str:
        """Identifies the tables in force and the evacuated zones."""
        zones = self._evacuations.fingerprint
        return f'{self.position}/{zones:x}' if zones else str(self.position)

    @property
    def records(self) -> tuple[api.Record, ...]:
        """The records of the tables in force and of evacuated zones."""
        tables = (self._tables_record,) if self._tables_record else ()
        return tables + tuple(
            record
            for zone, (evacuation, record) in self._evacuation_records.items()
            if self._evacuations.find(zone) == evacuation
        )

    def subscribe(
        self, listener: Callable[[gateway_tables.Tables], None]
    ) -> None:
        """Registers a function that is called with each new version.

        Args:
            listener: Called with the tables that are now in force.
        """
        self._listeners.append(listener)

    def subscribe_evacuations(
        self, listener: Callable[[evacuations.Evacuation], None]
    ) -> None:
        """Registers a function that is called with changes that were read.

        Args:
            listener: Called with each zone that a read record or snapshot
                has evacuated or restored.
        """
        self._evacuation_listeners.append(listener)

    def on_store_recovered(self, since_s: float) -> None:
        """Does nothing, as tables do not expire during an outage."""

    def on_read_completed(self, began_s: float) -> None:
        """Does nothing, as no change of the tables is deferred."""

    def is_settled(self, began_s: float) -> bool:
        """Tables have a version, so that a missing one is noticed."""
        return True

    def on_store_rewound(self) -> None:
        """Does nothing; a snapshot of the new era follows.

        Versions also rise across eras.
        """

    def apply_snapshot(self, batch: api.Batch) -> None:
        """Applies all records of the operator.

        Args:
            batch: The newest record of every key.
        """
        self._apply_tables(batch)
        read, unreadable = self._decode_evacuations(batch)
        changed = self._evacuations.apply_snapshot(
            read, unreadable, batch.end, batch.era
        )
        self._end_evacuations(changed)

    def apply(self, batch: api.Batch) -> list[api.Record]:
        """Applies further records of the operator.

        Returns:
            No records: tables may be larger than a datagram, and
            evacuations are sent as findings.
        """
        self._apply_tables(batch)
        read, _ = self._decode_evacuations(batch)
        self._end_evacuations(
            [one for one in read if self._evacuations.apply(one)]
        )
        return []

    def _decode_evacuations(
        self, batch: api.Batch
    ) -> tuple[list[evacuations.Evacuation], list[str]]:
        """Returns the newest valid states, and zones of invalid records."""
        zones = {
            record.key: zone
            for record, zone in _decode(
                batch, self._store.evacuated_zone
            ).valid
            if zone is not None
        }
        records = [record for record in batch.records if record.key in zones]
        decoded_batch = _decode(
            attrs.evolve(batch, records=tuple(records)),
            self._store.decode_evacuation,
        )
        newest = {}
        for record, active in decoded_batch.valid:
            zone = zones[record.key]
            newest[zone] = evacuations.Evacuation(
                zone, bool(active), record.offset, batch.era
            )
            self._evacuation_records.pop(zone, None)
            if active:
                self._evacuation_records[zone] = (newest[zone], record)
        unreadable = [zones[record.key] for record, _ in decoded_batch.invalid]
        return [*newest.values()], unreadable

    def _end_evacuations(
        self, changed: Iterable[evacuations.Evacuation]
    ) -> None:
        """Drops records without effect and tells of changed zones."""
        self._evacuation_records = {
            zone: (evacuation, record)
            for zone, (evacuation, record) in self._evacuation_records.items()
            if self._evacuations.find(zone) == evacuation
        }
        for evacuation in changed:
            for listener in self._evacuation_listeners:
                listener(evacuation)

    def _apply_tables(self, batch: api.Batch) -> None:
        for record, decoded in _decode(batch, self._store.decode_tables).valid:
            if decoded is not None:
                self._put_in_force(decoded, record)

    def _put_in_force(
        self, decoded: gateway_tables.Tables, record: api.Record
    ) -> None:
        before = self.current.version if self.current else None
        if before is not None and decoded.version <= before:
            return
        self.current = decoded
        self._tables_record = record
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
    """Applies records of the store to the directory of targets.

    Registrations expire while the store is unavailable, and live targets write
    them again within the settling time after it recovers. Removals that are
    read during the settling time are therefore deferred: they are applied
    after the first read that begins after that time, unless this read finds a
    newer registration.

    Args:
        store: Decodes the records.
        directory: Directory of the targets.
        timer_service: The timer service.
        settle_s: The settling time, in seconds.

    Attributes:
        position: Always None: targets have no version, so the follower uses
            its offset, which also rises with heartbeats.
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
        # Changes that were read during the settling time.
        self._deferred: list[Callable[[], object]] = []
        self._listeners: list[
            Callable[[gateway_targets.TargetChange], None]
        ] = []
        self._registration_listeners: list[
            Callable[[gateway_targets.Target], None]
        ] = []
        self._snapshot_listeners: list[Callable[[], None]] = []

    def subscribe(
        self, listener: Callable[[gateway_targets.TargetChange], None]
    ) -> None:
        """Registers a function that is called with each change of a target.

        Args:
            listener: Called with the change.
        """
        self._listeners.append(listener)

    def subscribe_registrations(
        self, listener: Callable[[gateway_targets.Target], None]
    ) -> None:
        """Registers a function that is called with each further record.

        Also with those that change nothing but the remaining warm-up.

        Args:
            listener: Called with the registered target.
        """
        self._registration_listeners.append(listener)

    def subscribe_snapshots(self, listener: Callable[[], None]) -> None:
        """Registers a function that is called after each snapshot.

        Args:
            listener: Called once all registered targets are known.
        """
        self._snapshot_listeners.append(listener)

    position = None

    @property
    def fingerprint(self) -> str:
        """Identifies the registered targets; empty with deferred removals.

        A report of the targets at such a time would suggest to other
        instances that the store still has them.
        """
        return '' if self._deferred else self._directory.fingerprint

    @property
    def records(self) -> tuple[api.Record, ...]:
        """The newest record of every registered target."""
        return tuple(
            record
            for key, record in self._records.items()
            if key in self._directory.targets
        )

    def on_store_recovered(self, since_s: float) -> None:
        """Starts or extends the settling time after an outage."""
        self._settled_at_s = max(self._settled_at_s, since_s + self._settle_s)

    def on_read_completed(self, began_s: float) -> None:
        """Applies deferred changes after a late enough read.

        The read must have begun after the settling time.

        Args:
            began_s: Monotonic time at which the read began, in seconds.
        """
        if self.is_settled(began_s):
            self._apply_deferred()

    def is_settled(self, began_s: float) -> bool:
        return began_s >= self._settled_at_s

    def on_store_rewound(self) -> None:
        """Begins another era, as the store was restored from an older copy.

        A settling time begins, in which targets that registered after the
        copy was made register again.
        """
        self.on_store_recovered(self._timers.monotonic_s())
        self._directory.begin_era()
        # Every record of the new era counts as newer.
        self._records = {
            key: attrs.evolve(record, offset=0)
            for key, record in self._records.items()
        }

    def apply_departure(self, departure: gateway_targets.Departure) -> bool:
        """Applies the departure of a target.

        Args:
            departure: The departure.

        Returns:
            Whether the effective state of a registered target changed.
        """
        change = self._directory.apply_departure(departure)
        if change is not None:
            self._notify_listeners(change)
        return change is not None

    def apply_snapshot(self, batch: api.Batch) -> None:
        """Applies a snapshot of all targets.

        During the settling time, the removal of targets that the snapshot
        does not contain is deferred.

        Args:
            batch: The newest record of every target.
        """
        self._directory.set_first_snapshot_end(batch.end)
        wait_s = self._settled_at_s - self._timers.monotonic_s()
        if wait_s > 0 and self._directory.targets:
            self.apply(batch)
            self._defer_until_settled(lambda: self.apply_snapshot(batch))
            return
        decoded_batch = _decode(batch, self._store.decode_target)
        records = {
            record.key: (None, record.offset)
            for record, _ in decoded_batch.invalid
        }
        for record, decoded in decoded_batch.valid:
            records[record.key] = (decoded, record.offset)
            self._records[record.key] = record
        for change in self._directory.apply_snapshot(records, batch.end):
            self._notify_listeners(change)
        for _, decoded in decoded_batch.valid:
            self._notify_registered(decoded)
        for listener in self._snapshot_listeners:
            listener()

    def apply(self, batch: api.Batch) -> list[api.Record]:
        """Applies further records.

        Args:
            batch: The records, in the order of their offsets.

        Returns:
            The records that changed the registered state of a target.
        """
        changed = []
        for record, decoded in _decode(batch, self._store.decode_target).valid:
            if decoded is None and self._defer_removal(record):
                continue
            before = self._directory.registered(record.key)
            change = self._directory.apply(record.key, decoded, record.offset)
            # The effective state may stay as it was, because the target has
            # already announced its departure.
            if self._directory.registered(record.key) != before:
                self._update_record(record)
                changed.append(record)
            if change is not None:
                self._notify_listeners(change)
            else:
                self._notify_registered(decoded)
        return changed

    def _update_record(self, record: api.Record) -> None:
        if record.value is None:
            self._records.pop(record.key, None)
        else:
            self._records[record.key] = record

    def _defer_removal(self, record: api.Record) -> bool:
        """Defers a removal if it was read during the settling time.

        Args:
            record: The record of the removal.

        Returns:
            Whether the removal was deferred.
        """
        wait_s = self._settled_at_s - self._timers.monotonic_s()
        if wait_s <= 0 or record.key not in self._directory.targets:
            return False
        self._defer_until_settled(lambda: self.apply(api.Batch((record,), 0)))
        return True

    def _defer_until_settled(self, apply_change: Callable[[], object]) -> None:
        """Defers a change until the end of the settling time.

        The change is dropped if another era has begun by then.

        Args:
            apply_change: Applies the change.
        """
        rewind_count = self._directory.rewind_count

        def apply_in_era() -> None:
            if rewind_count == self._directory.rewind_count:
                apply_change()

        self._deferred.append(apply_in_era)
        wait_s = self._settled_at_s - self._timers.monotonic_s()
        self._timers.call_after(
            max(0.0, wait_s) + _READ_DELAY_MAX_S, self._apply_deferred
        )

    def _apply_deferred(self) -> None:
        deferred, self._deferred = self._deferred, []
        for apply_change in deferred:
            apply_change()

    def _notify_registered(
        self, target: gateway_targets.Target | None
    ) -> None:
        if target is not None:
            for listener in self._registration_listeners:
                listener(target)

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


@attrs.frozen
class _DecodedBatch(Generic[_Decoded]):
    """Records of a batch by whether they can be decoded.

    Attributes:
        valid: The valid records with what they contain.
        invalid: The invalid records with the reasons.
    """

    valid: list[tuple[api.Record, _Decoded | None]]
    invalid: list[tuple[api.Record, str]]


def _decode(
    batch: api.Batch, decode: Callable[[api.Record], _Decoded | None]
) -> _DecodedBatch[_Decoded]:
    """Decodes the records of a batch and logs the first invalid ones.

    Args:
        batch: The records.
        decode: Decodes one record.
    """
    decoded_batch = _DecodedBatch[_Decoded]([], [])
    for record in batch.records:
        try:
            decoded_batch.valid.append((record, decode(record)))
        except api.RecordInvalid as exc:
            decoded_batch.invalid.append((record, str(exc)))
    for record, reason in decoded_batch.invalid[:_INVALID_LOGGED_MAX]:
        events.log(
            LOG,
            events.STORE_RECORD_INVALID,
            key=record.key,
            offset=record.offset,
            reason=reason,
            invalid_records=len(decoded_batch.invalid),
        )
    return decoded_batch
