"""The budget of repeated sends that all instances share."""

import collections

import attrs

# Instances that share the burst while nothing is known of the others. A
# small deployment has six; a larger one is known from its peers.
DEFAULT_INSTANCES = 8
# Share of the allowance that is used; the rest covers requests that arrive
# at the edge of the window.
_USED_SHARE = 0.85


@attrs.define
class RepeatBudget:
    """Bounds repeats within a sliding window.

    The allowance of all instances together is a ratio of the requests plus
    a burst. Each instance uses the ratio of its own requests and an equal
    share of the burst, so that the sum holds without any agreement.

    Attributes:
        ratio: Repeats for each request.
        burst: Repeats besides, for all instances together.
        window_s: Window, in seconds.
        instances: Instances that share the burst.
    """

    ratio: float
    burst: float
    window_s: float
    instances: int = DEFAULT_INSTANCES
    _requests: collections.deque[float] = attrs.field(
        factory=collections.deque
    )
    _repeats: collections.deque[float] = attrs.field(factory=collections.deque)

    def record_request(self, now_s: float) -> None:
        """Takes note of a new request."""
        self._requests.append(now_s)
        self._expire(now_s)

    def take(self, now_s: float) -> bool:
        """Takes one repeat, if one is left."""
        self._expire(now_s)
        allowance = self.ratio * len(self._requests)
        allowance += self.burst / self.instances
        if len(self._repeats) + 1 > _USED_SHARE * allowance:
            return False
        self._repeats.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        start_s = now_s - self.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < start_s:
                times.popleft()
