"""When a stopping process may end."""

import attrs

# Time for which a stopping process still takes requests, in seconds: the
# load balancer asks for readiness each second and needs two misses.
DRAIN_DELAY_S = 3.0
# When a caller that a stopping process refuses may come back, in seconds:
# the next connection goes to another instance.
RETRY_AFTER_S = 0.05
# Time after which a stopping process takes only what surely ends in time, in
# seconds: hardly any caller depends on it by then, and a hint may be wrong.
_HINTS_USED_S = 2.5
# Time kept before the end of the grace time, in seconds.
_RESERVE_S = 0.3

# Share of the time left that a request may be expected to take: lengths of
# generations are estimates.
_EXPECTED_SHARE_MAX = 0.6


@attrs.define
class StopPlan:
    """When a stopping process may end.

    Attributes:
        grace_s: Time from the request to stop to the forced end.
        since_s: Monotonic time of the request to stop, if there was one.
    """

    grace_s: float
    since_s: float | None = None

    @property
    def stopping(self) -> bool:
        """Whether the process was asked to stop."""
        return self.since_s is not None

    def uses_length_hints(self, now_s: float) -> bool:
        """Whether expected lengths decide on what is begun."""
        return self.since_s is None or now_s - self.since_s < _HINTS_USED_S

    def may_finish(self, now_s: float, expected_s: float) -> bool:
        """Whether a request that begins now is expected to end in time.

        Args:
            now_s: Monotonic time.
            expected_s: How long the request is expected to take.
        """
        if self.since_s is None:
            return True
        remaining_s = self.since_s + self.grace_s - _RESERVE_S - now_s
        return expected_s <= _EXPECTED_SHARE_MAX * remaining_s

    def may_end(self, now_s: float, running: int) -> bool:
        """Whether the process may end now."""
        if self.since_s is None:
            return False
        if self.must_end(now_s):
            return True
        stopped_s = now_s - self.since_s
        return running == 0 and stopped_s >= min(
            DRAIN_DELAY_S, self.grace_s / 2
        )

    def must_end(self, now_s: float) -> bool:
        """Whether the process must end now, finished or not."""
        if self.since_s is None:
            return True
        return now_s - self.since_s >= self.grace_s - _RESERVE_S
