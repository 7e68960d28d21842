"""Targets of the gateway, folded from a stream of records.

The records of a target come in the order of their offsets, but a snapshot
may be older than what was read before. Offsets decide what is newer.
"""

import enum
import hashlib

import attrs


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


@attrs.define
class _Entry:
    offset: int
    target: Target | None


class TargetDirectory:
    """The targets that are registered, by service.

    Attributes:
        targets: Every registered target by its name.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._by_service: dict[str, dict[str, Target]] = {}
        self.targets: dict[str, Target] = {}
        self._fingerprint: str | None = None
        # Offset up to which the newest snapshot named every target.
        self._snapshot_end = 0

    def of_service(self, service: str) -> list[Target]:
        """Every registered target of a service, draining ones too."""
        return list(self._by_service.get(service, {}).values())

    @property
    def fingerprint(self) -> str:
        """Names what is known; equal for instances that know the same."""
        if self._fingerprint is None:
            rows = sorted(
                (target.target_id, target.state.value, target.started_ms)
                + (target.service, target.address, target.zone, target.slots)
                for target in self.targets.values()
            )
            digest = hashlib.blake2b(repr(rows).encode(), digest_size=6)
            self._fingerprint = digest.hexdigest()
        return self._fingerprint

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
        if entry is not None and offset <= entry.offset:
            return None
        if entry is None and offset < self._snapshot_end:
            # Late news of a target that was gone by the last snapshot.
            return None
        before = entry.target if entry else None
        self._entries[target_id] = _Entry(offset, target)
        self._store(target_id, before, target)
        if before == target:
            return None
        return TargetChange(target_id, before, target)

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
        changes = []
        for target_id, (target, offset) in records.items():
            change = self.apply(target_id, target, offset)
            if change is not None:
                changes.append(change)
        for target_id, entry in list(self._entries.items()):
            if target_id in records or entry.offset >= end:
                continue
            if entry.target is not None:
                self._store(target_id, entry.target, None)
                changes.append(TargetChange(target_id, entry.target, None))
            del self._entries[target_id]
        self._snapshot_end = max(self._snapshot_end, end)
        return changes

    def _store(
        self, target_id: str, before: Target | None, after: Target | None
    ) -> None:
        if before != after:
            self._fingerprint = None
        if before is not None:
            self._by_service.get(before.service, {}).pop(target_id, None)
            self.targets.pop(target_id, None)
        if after is not None:
            self._by_service.setdefault(after.service, {})[target_id] = after
            self.targets[target_id] = after
