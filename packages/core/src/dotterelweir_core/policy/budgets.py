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
    available: float = attrs.field(default=2.0)

    def replenish(self, load: float) -> None:
        """Takes note of one ordinary request.

        Args:
            load: How loaded the pool is, from 0 (idle) to 1 (overloaded).
                An overloaded pool earns nothing, so that extra attempts do
                not add to the overload.
        """
        share = 1.0 - min(max(load, 0.0), 1.0)
        self.available = min(self.burst, self.available + self.ratio * share)

    def try_acquire(self) -> bool:
        """Takes one extra attempt, if one is available."""
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True
