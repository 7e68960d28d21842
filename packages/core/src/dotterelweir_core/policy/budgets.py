"""Budgets for retries and hedges that shrink under overload."""

import attrs


@attrs.define
class AttemptBudget:
    """Allows extra attempts in proportion to the number of requests.

    Attributes:
        ratio: Extra attempts that each request adds to the budget.
        burst: Maximum number of extra attempts that accumulate.
        available: Extra attempts that are available now.
    """

    ratio: float
    burst: float = 10.0
    available: float = attrs.field(default=2.0)

    def replenish(self, waiting_per_target: float) -> None:
        """Adds the share of one request to the budget.

        Args:
            waiting_per_target: Waiting requests per target of the pool. From
                1 on, nothing is added, so that extra attempts do not
                increase an overload.
        """
        share = 1.0 - min(max(waiting_per_target, 0.0), 1.0)
        self.available = min(self.burst, self.available + self.ratio * share)

    def try_acquire(self) -> bool:
        """Takes one extra attempt; returns False if none is available."""
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True
