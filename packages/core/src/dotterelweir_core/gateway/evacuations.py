"""Availability zones that the operator has evacuated.

The operator's records arrive in the order of their offsets within one era of
the store; findings of other instances arrive in any order and may be old. The
registry merges both. It is asked before each send and for each candidate of a
choice, also at peak load, when hundreds of requests a second choose among all
targets of a service.
"""

from collections.abc import Callable
from collections.abc import Collection
import enum
import zlib

import attrs

# Maximum number of evacuated zones, and of restored ones that are remembered.
# A deployment has a few zones; more are a fault of whoever writes the records.
_ZONES_MAX = 64
# Maximum number of restored zones that are sent to a peer, a datagram each.
_RESTORED_SENT_MAX = 16


@attrs.frozen
class Evacuation:
    """State of one zone, as the store had it at an offset.

    Attributes:
        zone: Name of the zone.
        active: Whether the zone is evacuated.
        offset: Offset of the record; of the last record before the end of
            a snapshot that lacks the zone, -1 if there is none.
        era: Era of the store that the offset belongs to.
    """

    zone: str
    active: bool
    offset: int
    era: int

    @property
    def order(self) -> tuple[int, int, bool]:
        """Sort key; higher for the newer state of a zone.

        At equal offsets, a snapshot that lacks the zone is the newer one.
        """
        return (self.era, self.offset, not self.active)


class Change(enum.Enum):
    """Effect of a record or finding on a zone."""

    EVACUATED = 'evacuated'
    RESTORED = 'restored'
    REJECTED = 'too many zones'


Listener = Callable[[Evacuation, Change], None]


class EvacuationRegistry:
    """Evacuated zones, merged from the store and the other instances.

    A snapshot is complete up to its end: anything older that is learned later
    has no effect. An era that the store has left for a lower one is ignored,
    as instances that have not observed this yet still report it.
    """

    def __init__(self) -> None:
        # The oldest change is the first.
        self._known: dict[str, Evacuation] = {}
        self._active: frozenset[str] = frozenset()
        # Zones whose record in the newest snapshot cannot be decoded.
        self._unreadable: frozenset[str] = frozenset()
        # Era and end of the newest snapshot.
        self._era = -1
        self._end = 0
        self._abandoned_era = -1
        self._listeners: list[Listener] = []

    @property
    def zones(self) -> frozenset[str]:
        """The evacuated zones."""
        return self._active

    @property
    def fingerprint(self) -> int:
        """Checksum of the evacuated zones; 0 for none."""
        if not self._active:
            return 0
        return zlib.crc32(repr(sorted(self._active)).encode())

    def subscribe(self, listener: Listener) -> None:
        """Registers a function that is called with each change of a zone.

        Args:
            listener: Called with the new state and the change.
        """
        self._listeners.append(listener)

    def is_evacuated(self, zone: str) -> bool:
        """Whether targets in a zone must not be sent anything new."""
        return zone in self._active

    def find(self, zone: str) -> Evacuation | None:
        """Returns the known state of a zone; None if it is unknown."""
        return self._known.get(zone)

    def findings(self) -> tuple[Evacuation, ...]:
        """Returns the evacuated zones and the newest restored ones."""
        active = [known for known in self._known.values() if known.active]
        restored = [
            known for known in self._known.values() if not known.active
        ]
        return (*active, *restored[-_RESTORED_SENT_MAX:])

    def apply(self, evacuation: Evacuation) -> bool:
        """Applies a record of the store or a finding of another instance.

        Args:
            evacuation: State of a zone.

        Returns:
            Whether the zone has become evacuated or restored.
        """
        zone = evacuation.zone
        if self._is_superseded(evacuation) and zone not in self._unreadable:
            if evacuation.active and zone not in self._known:
                # Remembered so that the sender can learn it from here.
                self._store(self._restored(zone))
            return False
        return self._put(evacuation)

    def apply_snapshot(
        self,
        evacuations: Collection[Evacuation],
        unreadable: Collection[str],
        end: int,
        era: int,
    ) -> tuple[Evacuation, ...]:
        """Applies a snapshot of the operator's records.

        Args:
            evacuations: States of the zones that the snapshot contains.
            unreadable: Zones whose record cannot be decoded. Their state
                remains in effect.
            end: Offset after the last record that the snapshot covers.
            era: Era of the store.

        Returns:
            The zones that have become evacuated or restored.
        """
        if era < self._era:
            self._abandoned_era = max(self._abandoned_era, self._era)
        elif era > self._abandoned_era:
            self._abandoned_era = -1
        self._era, self._end = era, end
        self._unreadable = frozenset(unreadable)
        new = {evacuation.zone: evacuation for evacuation in evacuations}
        changed = []
        for known in list(self._known.values()):
            if not self._is_superseded(known) or known.zone in new:
                continue
            restored = self._restored(known.zone)
            if known.zone in self._unreadable:
                self._store(attrs.evolve(restored, active=known.active))
            elif self._set(restored):
                changed.append(restored)
        for evacuation in new.values():
            known = self._known.get(evacuation.zone)
            if known is None or self._is_superseded(known):
                applied = self._set(evacuation)
            else:
                applied = self._put(evacuation)
            if applied:
                changed.append(evacuation)
        return tuple(changed)

    def _is_superseded(self, evacuation: Evacuation) -> bool:
        """Whether the newest snapshot shows a newer state of the zone."""
        if self._era < evacuation.era <= self._abandoned_era:
            return True
        return (evacuation.era, evacuation.offset) < (self._era, self._end)

    def _restored(self, zone: str) -> Evacuation:
        return Evacuation(zone, False, self._end - 1, self._era)

    def _put(self, evacuation: Evacuation) -> bool:
        known = self._known.get(evacuation.zone)
        if known is not None and evacuation.order <= known.order:
            return False
        return self._set(evacuation)

    def _set(self, evacuation: Evacuation) -> bool:
        """Sets the state of a zone; returns whether it changes."""
        zone = evacuation.zone
        was_active = zone in self._active
        if evacuation.active and not was_active:
            if len(self._active) >= _ZONES_MAX:
                self._notify(evacuation, Change.REJECTED)
                return False
        self._store(evacuation)
        if evacuation.active == was_active:
            return False
        self._active ^= {zone}
        self._notify(
            evacuation,
            Change.EVACUATED if evacuation.active else Change.RESTORED,
        )
        return True

    def _store(self, evacuation: Evacuation) -> None:
        self._known.pop(evacuation.zone, None)
        self._known[evacuation.zone] = evacuation
        restored = [
            zone for zone, known in self._known.items() if not known.active
        ]
        for zone in restored[:-_ZONES_MAX]:
            del self._known[zone]

    def _notify(self, evacuation: Evacuation, change: Change) -> None:
        for listener in self._listeners:
            listener(evacuation, change)
