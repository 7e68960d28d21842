"""Which era of the store an instance knows, and what it believes of others.

A store that comes back from an older copy begins another era: its offsets are
given out again. Only the store's own answers settle which era it is in.
"""

import enum

import attrs

# Time for which answers of a lower era are taken for late ones, in seconds;
# then the store itself is believed. Calls are under way for less than that.
_LOWER_ERA_GRACE_S = 5.0


class EraChange(enum.Enum):
    """What the era of an answer means."""

    UNCHANGED = 'the era that was known'
    FIRST = 'the first one that is known'
    CHANGED = 'another era has begun'
    STALE = 'a late answer of an earlier era'


@attrs.define
class EraTracker:
    """Follows the era of one stream.

    Attributes:
        era: The era that is known; None before the first answer.
        confirmed: Whether the store named it, and not a peer alone.
        highest_checked: Highest era that a peer named and that this instance
            has checked against the store; it needs no further read.
    """

    era: int | None = None
    confirmed: bool = False
    highest_checked: int = -1
    _lower_since_s: float | None = None

    def observe_store(self, era: int, now_s: float) -> EraChange:
        """Takes the era of an answer of the store.

        Args:
            era: The era.
            now_s: Monotonic time.
        """
        if self.confirmed and self.era is not None and era < self.era:
            if self._lower_since_s is None:
                self._lower_since_s = now_s
            if now_s - self._lower_since_s < _LOWER_ERA_GRACE_S:
                return EraChange.STALE
        self._lower_since_s = None
        change = self._set_era(era)
        self.confirmed = True
        return change

    def observe_peer(self, era: int) -> EraChange:
        """Takes the era of what a peer gave while the store is away."""
        if self.era is not None and era < self.era:
            return EraChange.STALE
        change = self._set_era(era)
        if change is not EraChange.UNCHANGED:
            self.confirmed = False
        return change

    def is_unchecked(self, era: int) -> bool:
        """Whether a peer names an era that was not heard of before."""
        return self.era is not None and era > max(
            self.era, self.highest_checked
        )

    def mark_checked(self, era: int) -> None:
        """Takes note that an era that a peer named needs no further read."""
        self.highest_checked = max(self.highest_checked, era)

    def _set_era(self, era: int) -> EraChange:
        before, self.era = self.era, era
        if before is None:
            return EraChange.FIRST
        return EraChange.UNCHANGED if before == era else EraChange.CHANGED
