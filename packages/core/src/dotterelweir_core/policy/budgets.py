"""Budgets of extra attempts that shrink under overload."""

import attrs


@attrs.define
class AttemptBudget:
    """Allows extra attempts in proportion to ordinary work.

    Attributes:
        ratio: Extra attempts earned by one ordinary request.
        burst: Most extra attempts that can be saved up.
        earned: Extra attempts that are available.
    """

    ratio: float
    burst: float = 10.0
    earned: float = attrs.field(default=2.0)

    def earn(self, load: float) -> None:
        """Takes note of one ordinary request.

        Args:
            load: How loaded the pool is, from 0 (idle) to 1 (overloaded).
                An overloaded pool earns nothing, so that extra attempts do
                not add to the overload.
        """
        share = 1.0 - min(max(load, 0.0), 1.0)
        self.earned = min(self.burst, self.earned + self.ratio * share)

    def spend(self) -> bool:
        """Takes one extra attempt, if one is available."""
        if self.earned < 1.0:
            return False
        self.earned -= 1.0
        return True
