"""Targets of the gateway, folded from a stream of records.

The records of a target come in the order of their offsets, but a snapshot
may be older than what was read before. Offsets decide what is newer, within
one era of the store: a store that came back from an older copy gives
offsets out again, and the copy may name targets that have left since.
"""

import enum
import hashlib

import attrs

from dotterelweir_core import newest

# Departures that are remembered, so that neither a copy of the store nor a
# late answer brings a target back. A large deployment replaces some hundred
# targets on an ordinary day.
_DEPARTURES_MAX = 4_096


class TargetState(enum.Enum):
    """Whether a target takes new work."""

    READY = 'ready'
    DRAINING = 'draining'


@attrs.frozen
class Target:
    """A target as it registered itself.

    Attributes:
        target_id: Name of the target; a new start mostly has a new one.
        service: Name of its service.
        host: Its IP address.
        port: Its port.
        zone: Its availability zone.
        slots: Requests that it runs at once.
        state: Whether it takes new work.
        warm_up_left_s: How much longer it is slow after its start. It
            shrinks with each heartbeat, which changes nothing else.
        started_ms: Wall time of its start, in milliseconds; 0 if unknown.
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

    @property
    def address(self) -> str:
        """Its address as ``host:port``."""
        return f'{self.host}:{self.port}'


@attrs.frozen
class TargetChange:
    """A change of what is known of a target.

    Attributes:
        target_id: Name of the target.
        before: What was known; None for a new target.
        after: What is known; None for a target that is gone.
    """

    target_id: str
    before: Target | None
    after: Target | None


@attrs.frozen
class Departure:
    """One start of a target that leaves or has left.

    Attributes:
        target_id: Name of the target.
        started_ms: Wall time of that start, in milliseconds; 0 if unknown.
        announced: Whether the target itself said so, which holds whatever
            the store says of this start.
    """

    target_id: str
    started_ms: int
    announced: bool


@attrs.define
class _Entry:
    era: int
    offset: int
    target: Target | None


def _new_departure_map() -> newest.NewestMap[str, Departure]:
    """Departures by target; the oldest are forgotten."""
    return newest.NewestMap(_DEPARTURES_MAX)


class TargetDirectory:
    """The targets that are registered, by service.

    Attributes:
        targets: Every registered target by its name. One that said that it
            leaves is draining, whatever the store says.
        era: Counts the eras of the store that were seen.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._by_service: dict[str, dict[str, Target]] = {}
        self.targets: dict[str, Target] = {}
        self._fingerprint: str | None = None
        # Offset up to which the newest snapshot named every target.
        self._snapshot_end = 0
        # Offset up to which records of the era may come from an older copy
        # of the store; None before the first snapshot of the era.
        self._restored_end: int | None = None
        # Targets that left by what the store said, and those that said so.
        self._departed = _new_departure_map()
        self._announced = _new_departure_map()
        self.era = 0

    def of_service(self, service: str) -> list[Target]:
        """Every registered target of a service, draining ones too."""
        return list(self._by_service.get(service, {}).values())

    @property
    def fingerprint(self) -> str:
        """Names what the store says; equal for instances that know the same.

        What targets said of themselves does not count: instances that were
        told of it later would read the store for it in vain.
        """
        if self._fingerprint is None:
            rows = sorted(
                (target.target_id, target.state.value, target.started_ms)
                + (target.service, target.address, target.zone, target.slots)
                for entry in self._entries.values()
                if (target := entry.target) is not None
            )
            digest = hashlib.blake2b(repr(rows).encode(), digest_size=6)
            self._fingerprint = digest.hexdigest()
        return self._fingerprint

    def registered(self, target_id: str) -> Target | None:
        """What the store says of a target; None if it is not registered."""
        entry = self._entries.get(target_id)
        return entry.target if entry else None

    def takes_work(self, target_id: str) -> bool:
        """Whether a target is registered and ready."""
        target = self.targets.get(target_id)
        return target is not None and target.state is TargetState.READY

    def apply(
        self, target_id: str, target: Target | None, offset: int
    ) -> TargetChange | None:
        """Applies one record.

        Args:
            target_id: Name of the target.
            target: What the record says; None for a removal.
            offset: Offset of the record.

        Returns:
            The change; None if the record is old or changes nothing that
            matters to requests.
        """
        entry = self._entries.get(target_id)
        if entry is not None and (self.era, offset) <= (
            entry.era,
            entry.offset,
        ):
            return None
        if entry is None and offset < self._snapshot_end:
            # Late news of a target that was gone by the last snapshot.
            return None
        if target is not None and self._is_stale(target, entry, offset):
            return None
        before = entry.target if entry else None
        self._entries[target_id] = _Entry(self.era, offset, target)
        self._note_departure(target_id, before, target)
        if before == target:
            return None
        return self._replace_registered(target_id, before, target)

    def apply_snapshot(
        self, records: dict[str, tuple[Target | None, int]], end: int
    ) -> list[TargetChange]:
        """Applies the newest record of every target.

        Args:
            records: What each record says, and its offset, by target.
            end: Offset after the last record of the stream at that time.

        Returns:
            The changes. A target that is missing is gone, unless its last
            record is not older than the snapshot.
        """
        self.note_restored_end(end)
        changes = []
        for target_id, (target, offset) in records.items():
            change = self.apply(target_id, target, offset)
            if change is not None:
                changes.append(change)
        for target_id, entry in list(self._entries.items()):
            if target_id in records:
                continue
            if (entry.era, entry.offset) >= (self.era, end):
                continue
            if entry.target is not None:
                self._note_departure(target_id, entry.target, None)
                change = self._replace_registered(
                    target_id, entry.target, None
                )
                if change is not None:
                    changes.append(change)
            del self._entries[target_id]
        self._snapshot_end = max(self._snapshot_end, end)
        return changes

    def begin_era(self) -> None:
        """Takes note that the store came back from an older copy."""
        self.era += 1
        self._snapshot_end = 0
        self._restored_end = None

    def note_restored_end(self, end: int) -> None:
        """Takes note of the end of a snapshot; the first of an era counts."""
        if self._restored_end is None:
            self._restored_end = end

    def departures(self, count: int) -> tuple[Departure, ...]:
        """The newest departures of either kind, at most so many of each."""
        announced, departed = self._announced.values(), self._departed.values()
        return (*tuple(announced)[-count:], *tuple(departed)[-count:])

    def apply_departure(self, departure: Departure) -> TargetChange | None:
        """Applies what a target said of itself, or what a peer knows.

        Args:
            departure: Which start of which target leaves or has left.

        Returns:
            The change; None if nothing changes.
        """
        target_id = departure.target_id
        entry = self._entries.get(target_id)
        target = entry.target if entry else None
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
            self._restored_end is not None
            and entry.offset >= self._restored_end
        ):
            # It registered since, which the peer has not read yet.
            return None
        self._departed.put(target_id, departure)
        self._entries[target_id] = _Entry(entry.era, entry.offset, None)
        return self._replace_registered(target_id, target, None)

    def _is_stale(
        self, target: Target, entry: _Entry | None, offset: int
    ) -> bool:
        """Whether a record comes from a copy and is known to be overtaken."""
        if self._restored_end is not None and offset >= self._restored_end:
            return False
        known = entry.target if entry else None
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
        if after is not None and after.state is TargetState.READY:
            self._departed.pop(target_id, None)
            return
        last_known = after or before
        if last_known is not None:
            departure = Departure(target_id, last_known.started_ms, False)
            self._departed.put(target_id, departure)

    def _effective(self, target: Target | None) -> Target | None:
        """What requests see of a registered target."""
        if target is None or target.state is not TargetState.READY:
            return target
        departure = self._announced.get(target.target_id)
        if departure is None or departure.started_ms != target.started_ms:
            return target
        return attrs.evolve(target, state=TargetState.DRAINING)

    def _replace_registered(
        self, target_id: str, before: Target | None, after: Target | None
    ) -> TargetChange | None:
        """Shows what the store says now; None if requests see no change."""
        if before != after:
            self._fingerprint = None
        return self._set_effective(
            target_id, self.targets.get(target_id), self._effective(after)
        )

    def _set_effective(
        self, target_id: str, before: Target | None, after: Target | None
    ) -> TargetChange | None:
        if before is not None:
            self._by_service.get(before.service, {}).pop(target_id, None)
            self.targets.pop(target_id, None)
        if after is not None:
            self._by_service.setdefault(after.service, {})[target_id] = after
            self.targets[target_id] = after
        if before == after:
            return None
        return TargetChange(target_id, before, after)
