"""Tracking of the store's era, as observed from the store and from peers.

A store that is restored from an older copy begins another era, in which it
assigns offsets again. Only the store's own answers confirm its era; an era
that a peer reports is provisional.
"""

import enum

import attrs

# Time in seconds for which answers of a lower era count as stale ones. If they
# persist, the lower era is accepted as the present one of the store. A call
# takes less time than this.
_LOWER_ERA_GRACE_S = 5.0


class EraChange(enum.Enum):
    """Result of comparing an observed era with the known one."""

    UNCHANGED = 'the known era'
    FIRST = 'the first known era'
    CHANGED = 'another era has begun'
    STALE = 'a late answer of an earlier era'


@attrs.define
class EraTracker:
    """Tracks the era of one stream of the store.

    Attributes:
        era: The known era; None before the first answer.
        confirmed: Whether the store itself reported the known era, and not
            only a peer.
        highest_checked: Highest era reported by a peer for which a read of
            the store was requested or done. Reports of this era or a lower
            one cause no further read.
    """

    era: int | None = None
    confirmed: bool = False
    highest_checked: int = -1
    _lower_since_s: float | None = None

    def observe_store(self, era: int, now_s: float) -> EraChange:
        """Updates the known era from an answer of the store.

        Args:
            era: Era of the answer.
            now_s: Monotonic time in seconds.

        Returns:
            The change. ``STALE`` leaves the known era as it is.
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
        """Updates the known era from state that a peer supplied.

        A peer's state is used while the store is unavailable.

        Args:
            era: Era of the peer's state.

        Returns:
            The change. ``STALE`` leaves the known era as it is.
        """
        if self.era is not None and era < self.era:
            return EraChange.STALE
        change = self._set_era(era)
        if change is not EraChange.UNCHANGED:
            self.confirmed = False
        return change

    def is_unchecked(self, era: int) -> bool:
        """Whether an era reported by a peer calls for a read of the store.

        That is so if it is higher than the known era and than every era
        checked so far; never before the first answer.

        Args:
            era: Era that the peer reported.
        """
        return self.era is not None and era > max(
            self.era, self.highest_checked
        )

    def mark_checked(self, era: int) -> None:
        """Records that an era reported by a peer needs no further read.

        Args:
            era: Era that the peer reported.
        """
        self.highest_checked = max(self.highest_checked, era)

    def _set_era(self, era: int) -> EraChange:
        before, self.era = self.era, era
        if before is None:
            return EraChange.FIRST
        return EraChange.UNCHANGED if before == era else EraChange.CHANGED
