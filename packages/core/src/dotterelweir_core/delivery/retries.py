"""The retry budget of one instance."""

import attrs


@attrs.define
class RetryBudget:
    """Bounds retries to a part of the requests.

    Without a bound, retries would multiply the load of a pool that is
    failing because it is overloaded.

    Attributes:
        ratio: Retries earned by each request.
        burst: Most retries that are saved up; also the number at the start,
            so that a failure soon after the start can be retried.
    """

    ratio: float
    burst: float = 10.0
    _available: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._available = self.burst if self.ratio > 0 else 0.0

    def record_request(self) -> None:
        """Takes note of a new request."""
        self._available = min(self.burst, self._available + self.ratio)

    def take(self) -> bool:
        """Takes one retry, if one is left."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
