"""Directory of the gateway's targets, built from a stream of records.

The records of a target arrive in the order of their offsets, but a snapshot
may be older than records that were read before. Within one era of the store
the higher offset is the newer one. A rewind, that is a restore of the store
from an older copy, begins another era: the store assigns offsets again, and
the copy may contain targets that have departed since.
"""

import enum
import hashlib

import attrs

from dotterelweir_core import bounded_map

# Number of departures kept, so that neither a rewind of the store nor a late
# answer restores a departed target. A large deployment replaces some hundred
# targets on an ordinary day.
_DEPARTURES_MAX = 4_096


class TargetState(enum.Enum):
    """Whether a target accepts new work."""

    READY = 'ready'
    DRAINING = 'draining'


@attrs.frozen
class Target:
    """A target as it registered itself.

    Attributes:
        target_id: Id of the target; usually a new one after a restart.
        service: Name of its service.
        host: Its IP address.
        port: Its port.
        zone: Its availability zone.
        slots: Requests that it runs at once.
        state: Whether it accepts new work.
        warm_up_left_s: Remaining time of its warm-up, in seconds. It
            shrinks with each heartbeat and is left out of comparisons, so
            that a heartbeat alone is no change.
        started_ms: Wall time of its start, in milliseconds; 0 if unknown.
        software_version: Version of its software, not of its weights; empty
            if unknown.
    """

    target_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    state: TargetState
    warm_up_left_s: float = attrs.field(default=0.0, eq=False)
    started_ms: int = 0
    software_version: str = ''

    @property
    def address(self) -> str:
        """Address of the target as ``host:port``."""
        return f'{self.host}:{self.port}'


@attrs.frozen
class TargetChange:
    """A change of a target in the directory.

    Attributes:
        target_id: Id of the target.
        before: The target before the change; None for a new target.
        after: The target after the change; None for a removed target.
    """

    target_id: str
    before: Target | None
    after: Target | None


@attrs.frozen
class Departure:
    """Departure of a target, for one of its starts.

    Attributes:
        target_id: Id of the target.
        started_ms: Wall time of that start, in milliseconds; 0 if unknown.
        announced: Whether the target itself announced it. Such a departure
            overrides the state that the store has for this start.
    """

    target_id: str
    started_ms: int
    announced: bool


@attrs.define
class _NewestRecord:
    """Newest record of a target, with its era and offset in the store.

    Attributes:
        rewind_count: Number of rewinds observed when the record was read.
        offset: Offset of the record.
        target: The target; None for a removal.
    """

    rewind_count: int
    offset: int
    target: Target | None


def _new_departure_map() -> bounded_map.BoundedMap[str, Departure]:
    """Returns a map of departures by target id that evicts the oldest."""
    return bounded_map.BoundedMap(_DEPARTURES_MAX)


class TargetDirectory:
    """Registered targets, by id and by service.

    The *registered* state of a target is the one in the store. Requests use
    its *effective* state, in which a ready target that announced its
    departure is draining.

    Attributes:
        targets: Effective state of every registered target, by id.
        rewind_count: Number of rewinds of the store that were observed.
    """

    def __init__(self) -> None:
        self._newest_records: dict[str, _NewestRecord] = {}
        self._by_service: dict[str, dict[str, Target]] = {}
        self.targets: dict[str, Target] = {}
        self._fingerprint: str | None = None
        # End offset of the newest snapshot, which holds every target that was
        # registered at this offset.
        self._snapshot_end = 0
        # Offset below which records of the era may come from the copy that
        # the store was restored from; None before the era's first snapshot.
        self._first_snapshot_end: int | None = None
        # Departures according to the store, and those that targets announced
        # themselves.
        self._departed = _new_departure_map()
        self._announced = _new_departure_map()
        self.rewind_count = 0

    def of_service(self, service: str) -> list[Target]:
        """Returns the registered targets of a service, draining ones too."""
        return list(self._by_service.get(service, {}).values())

    @property
    def fingerprint(self) -> str:
        """Digest of the registered targets, to compare instances.

        It is equal on instances that have read the same state. Announced
        departures are left out: they are not in the store, so an instance
        that receives one later would read the store for it in vain.
        """
        if self._fingerprint is None:
            rows = sorted(
                (target.target_id, target.state.value, target.started_ms)
                + (target.service, target.address, target.zone, target.slots)
                + (target.software_version,)
                for newest_record in self._newest_records.values()
                if (target := newest_record.target) is not None
            )
            digest = hashlib.blake2b(repr(rows).encode(), digest_size=6)
            self._fingerprint = digest.hexdigest()
        return self._fingerprint

    def registered(self, target_id: str) -> Target | None:
        """Returns the registered state of a target; None if it has none."""
        newest_record = self._newest_records.get(target_id)
        return newest_record.target if newest_record else None

    def takes_work(self, target_id: str) -> bool:
        """Whether a target is registered and effectively ready."""
        target = self.targets.get(target_id)
        return target is not None and target.state is TargetState.READY

    def apply(
        self, target_id: str, target: Target | None, offset: int
    ) -> TargetChange | None:
        """Applies one record.

        Args:
            target_id: Id of the target.
            target: Content of the record; None for a removal.
            offset: Offset of the record.

        Returns:
            The change; None if the record is stale or leaves the effective
            state as it was.
        """
        newest_record = self._newest_records.get(target_id)
        if newest_record is not None and (self.rewind_count, offset) <= (
            newest_record.rewind_count,
            newest_record.offset,
        ):
            return None
        if newest_record is None and offset < self._snapshot_end:
            # A delayed record of a target that the newest snapshot no longer
            # contained.
            return None
        if target is not None and self._is_stale(
            target, newest_record, offset
        ):
            return None
        before = newest_record.target if newest_record else None
        self._newest_records[target_id] = _NewestRecord(
            self.rewind_count, offset, target
        )
        self._note_departure(target_id, before, target)
        if before == target:
            return None
        return self._replace_registered(target_id, before, target)

    def apply_snapshot(
        self, records: dict[str, tuple[Target | None, int]], end: int
    ) -> list[TargetChange]:
        """Applies a snapshot, which has the newest record of every target.

        A target that is missing from the snapshot is removed, unless its
        newest known record is not older than the snapshot.

        Args:
            records: Content and offset of each record, by target id.
            end: Offset after the last record of the stream at the time of
                the snapshot.

        Returns:
            The changes.
        """
        self.set_first_snapshot_end(end)
        changes = []
        for target_id, (target, offset) in records.items():
            change = self.apply(target_id, target, offset)
            if change is not None:
                changes.append(change)
        for target_id, newest_record in list(self._newest_records.items()):
            if target_id in records:
                continue
            if (newest_record.rewind_count, newest_record.offset) >= (
                self.rewind_count,
                end,
            ):
                continue
            if newest_record.target is not None:
                self._note_departure(target_id, newest_record.target, None)
                change = self._replace_registered(
                    target_id, newest_record.target, None
                )
                if change is not None:
                    changes.append(change)
            del self._newest_records[target_id]
        self._snapshot_end = max(self._snapshot_end, end)
        return changes

    def begin_era(self) -> None:
        """Begins another era after a rewind of the store."""
        self.rewind_count += 1
        self._snapshot_end = 0
        self._first_snapshot_end = None

    def set_first_snapshot_end(self, end: int) -> None:
        """Records the end of the first snapshot of an era.

        Records below this offset may come from the copy that the store was
        restored from. Further calls within the era have no effect.

        Args:
            end: Offset after the last record of the stream at the time of
                the snapshot.
        """
        if self._first_snapshot_end is None:
            self._first_snapshot_end = end

    def departures(self, count: int) -> tuple[Departure, ...]:
        """Returns the newest departures, announced ones first.

        Args:
            count: Maximum number of announced departures, and of departures
                according to the store.
        """
        announced, departed = self._announced.values(), self._departed.values()
        return (*tuple(announced)[-count:], *tuple(departed)[-count:])

    def apply_departure(self, departure: Departure) -> TargetChange | None:
        """Applies a departure that a target announced or a peer reported.

        Args:
            departure: The departure.

        Returns:
            The change; None if the effective state stays as it was.
        """
        target_id = departure.target_id
        newest_record = self._newest_records.get(target_id)
        target = newest_record.target if newest_record else None
        same_start = (
            target is not None and target.started_ms == departure.started_ms
        )
        if departure.announced:
            known = self._announced.get(target_id)
            if known == departure:
                return None
            self._announced.put(target_id, departure)
            effective = self.targets.get(target_id)
            if not same_start or effective is None:
                return None
            return self._set_effective(
                target_id, effective, self._effective(target)
            )
        if target is None:
            self._departed.put(target_id, departure)
            return None
        if not same_start or target.state is TargetState.DRAINING:
            return None
        if (
            self._first_snapshot_end is not None
            and newest_record.offset >= self._first_snapshot_end
        ):
            # It registered after the rewind, and the peer has not read that
            # record yet.
            return None
        self._departed.put(target_id, departure)
        self._newest_records[target_id] = _NewestRecord(
            newest_record.rewind_count, newest_record.offset, None
        )
        return self._replace_registered(target_id, target, None)

    def _is_stale(
        self, target: Target, newest_record: _NewestRecord | None, offset: int
    ) -> bool:
        """Whether a record may come from a restored copy and is superseded.

        It is superseded if a later start of the target is known, or if the
        record has the target ready and a departure of that start or of a
        later one is known.
        """
        if (
            self._first_snapshot_end is not None
            and offset >= self._first_snapshot_end
        ):
            return False
        known = newest_record.target if newest_record else None
        if known is not None and target.started_ms < known.started_ms:
            return True
        if target.state is TargetState.DRAINING:
            return False
        departure = self._departed.get(target.target_id)
        return (
            departure is not None and target.started_ms <= departure.started_ms
        )

    def _note_departure(
        self, target_id: str, before: Target | None, after: Target | None
    ) -> None:
        """Updates the departures according to the store after a record."""
        if after is not None and after.state is TargetState.READY:
            self._departed.pop(target_id, None)
            return
        last_known = after or before
        if last_known is not None:
            departure = Departure(target_id, last_known.started_ms, False)
            self._departed.put(target_id, departure)

    def _effective(self, target: Target | None) -> Target | None:
        """Returns the effective state for a registered state."""
        if target is None or target.state is not TargetState.READY:
            return target
        departure = self._announced.get(target.target_id)
        if departure is None or departure.started_ms != target.started_ms:
            return target
        return attrs.evolve(target, state=TargetState.DRAINING)

    def _replace_registered(
        self, target_id: str, before: Target | None, after: Target | None
    ) -> TargetChange | None:
        """Replaces the registered state of a target.

        Returns:
            The change of the effective state; None if it stays as it was.
        """
        if before != after:
            self._fingerprint = None
        return self._set_effective(
            target_id, self.targets.get(target_id), self._effective(after)
        )

    def _set_effective(
        self, target_id: str, before: Target | None, after: Target | None
    ) -> TargetChange | None:
        """Replaces the effective state of a target in both indexes."""
        if before is not None:
            self._by_service.get(before.service, {}).pop(target_id, None)
            self.targets.pop(target_id, None)
        if after is not None:
            self._by_service.setdefault(after.service, {})[target_id] = after
            self.targets[target_id] = after
        if before == after:
            return None
        return TargetChange(target_id, before, after)
