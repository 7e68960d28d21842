"""The retry budget of one instance."""

import attrs


@attrs.define
class RetryBudget:
    """Token bucket that bounds retries to a fraction of the requests.

    Without a bound, retries would multiply the load of a pool that fails
    because it is overloaded.

    Attributes:
        ratio: Retries that each request adds to the budget.
        burst: Maximum number of retries in the budget. Unless ``ratio`` is
            0, the budget starts full, so that a failure soon after the start
            can be retried.
    """

    ratio: float
    burst: float = 10.0
    _available: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._available = self.burst if self.ratio > 0 else 0.0

    def record_request(self) -> None:
        """Adds ``ratio`` retries to the budget for a new request."""
        self._available = min(self.burst, self._available + self.ratio)

    def take(self) -> bool:
        """Takes one retry from the budget.

        Returns:
            Whether the budget had a retry left.
        """
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
