"""Bounds retries to a part of the requests."""

# Lets a quiet instance retry at all, and bounds the retries in a burst.
BURST_RETRIES = 10.0


class RetryBudget:
    """A token bucket that requests fill and retries drain.

    When targets fail for many requests at once, retries would multiply the
    load on the remaining ones.
    """

    def __init__(self, ratio: float) -> None:
        """Creates a full budget.

        Args:
            ratio: Retries allowed per request, on average.
        """
        self._ratio = ratio
        self._tokens = BURST_RETRIES

    def record_request(self) -> None:
        """Takes note of a new request."""
        self._tokens = min(BURST_RETRIES, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Whether a retry is allowed; if so, it is deducted."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
