"""Which era of the store an instance knows, and what it believes of others.

A store that comes back from an older copy begins another era: its offsets are
given out again. Only the store's own answers settle which era it is in.
"""

import enum

import attrs

# Time for which answers of a lower era are taken for late ones, in seconds;
# then the store itself is believed. Calls are under way for less than that.
_FALL_S = 5.0


class EraChange(enum.Enum):
    """What the era of an answer means."""

    NONE = 'the era that was known'
    FIRST = 'the first one that is known'
    OTHER = 'another era has begun'
    LATE = 'a late answer of an earlier era'


@attrs.define
class EraTracker:
    """Follows the era of one stream.

    Attributes:
        era: The era that is known; None before the first answer.
        confirmed: Whether the store named it, and not a peer alone.
        refuted: Highest era that a peer named and that made this instance
            read; named again, it says nothing new.
    """

    era: int | None = None
    confirmed: bool = False
    refuted: int = -1
    _fallen_since_s: float | None = None

    def take_answer(self, era: int, now_s: float) -> EraChange:
        """Takes the era of an answer of the store.

        Args:
            era: The era.
            now_s: Monotonic time.
        """
        if self.confirmed and self.era is not None and era < self.era:
            if self._fallen_since_s is None:
                self._fallen_since_s = now_s
            if now_s - self._fallen_since_s < _FALL_S:
                return EraChange.LATE
        self._fallen_since_s = None
        change = self._enter(era)
        self.confirmed = True
        return change

    def take_peer(self, era: int) -> EraChange:
        """Takes the era of what a peer gave while the store is away."""
        if self.era is not None and era < self.era:
            return EraChange.LATE
        change = self._enter(era)
        if change is not EraChange.NONE:
            self.confirmed = False
        return change

    def is_news(self, era: int) -> bool:
        """Whether a peer names an era that was not heard of before."""
        return self.era is not None and era > max(self.era, self.refuted)

    def refute(self, era: int) -> None:
        """Takes note that an era that a peer named needs no further read."""
        self.refuted = max(self.refuted, era)

    def _enter(self, era: int) -> EraChange:
        before, self.era = self.era, era
        if before is None:
            return EraChange.FIRST
        return EraChange.NONE if before == era else EraChange.OTHER
