"""The budget of repeated sends that all instances share."""

import collections

import attrs

# Instances that share the burst while nothing is known of the others. A
# small deployment has six; a larger one is known from its peers.
DEFAULT_INSTANCES = 8
# Share of the allowance that is used; the rest covers requests that arrive
# at the edge of the window.
_URGENT_SHARE = 0.85
# Share that is left to sends that can wait: a generation that goes on at
# another engine has no second chance, a refused request has.
_USUAL_SHARE = 0.5


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

    def take(self, now_s: float, urgent: bool = False) -> bool:
        """Takes one repeat, if one is left.

        Args:
            now_s: Monotonic time.
            urgent: Whether the request is lost without it.
        """
        self._expire(now_s)
        allowance = self.ratio * len(self._requests)
        allowance += self.burst / self.instances
        share = _URGENT_SHARE if urgent else _USUAL_SHARE
        if len(self._repeats) + 1 > share * allowance:
            return False
        self._repeats.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        start_s = now_s - self.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < start_s:
                times.popleft()
