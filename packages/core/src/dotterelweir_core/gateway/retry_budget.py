"""Retry budgets that all instances share.

When a target fails, only the instances that had sent it requests need retries,
all at about the same moment. With equal shares, most of the budget would stay
unused at the other instances. Instances therefore exchange the numbers of
their requests and retries and draw on one common budget.
"""

import collections
from collections.abc import Callable

import attrs

# Number of instances assumed until digests show the actual one. A small
# deployment has six.
DEFAULT_INSTANCES = 8
# Share of the allowance up to which urgent retries are allowed. The rest
# covers retries of other instances that are not known here yet, and requests
# at the edge of the window.
_URGENT_SHARE = 0.8
# Share of the allowance up to which other retries are allowed. The difference
# is kept for generations that are resumed at another engine: they are lost
# without a retry, while a refused request can be sent again.
_NORMAL_SHARE = 0.5


@attrs.frozen
class Counts:
    """Numbers of requests and retries of one service.

    Attributes:
        requests: Number of requests of callers.
        retries: Number of retries that were taken from the budget.
    """

    requests: int = 0
    retries: int = 0


@attrs.define
class InstanceCounts:
    """Numbers of instances that share the budgets.

    Attributes:
        ever_seen: Number of instances whose digests were ever received,
            including this one.
        reachable: Number of instances whose digests are received now,
            including this one.
    """

    ever_seen: int = DEFAULT_INSTANCES
    reachable: int = 1


@attrs.define
class RetryBudget:
    """Bounds the retries of one service within a sliding window.

    The allowance of all instances together is a ratio of the requests plus
    a burst. Instances that receive each other's digests share one allowance.
    Each instance that they cannot reach keeps an equal part of the burst, so
    that the sides of a partition together stay within it.

    Attributes:
        ratio: Retries allowed for each request.
        burst: Retries allowed in addition, for all instances together.
        window_s: Length of the window, in seconds.
        instance_counts: Numbers of instances that share the budget.
    """

    ratio: float
    burst: float
    window_s: float
    instance_counts: InstanceCounts
    _total: Counts = attrs.field(factory=Counts)
    # Times and counts of all instances within the window, and the sums of the
    # counts.
    _window: collections.deque[tuple[float, Counts]] = attrs.field(
        factory=collections.deque
    )
    _sums: Counts = attrs.field(factory=Counts)

    @property
    def total(self) -> Counts:
        """Requests and retries of this instance since it started."""
        return self._total

    def record_request(self, now_s: float) -> None:
        """Records a new request at this instance."""
        self._total = _add(self._total, Counts(1, 0))
        self.record(Counts(1, 0), now_s)

    def record(self, counts: Counts, now_s: float) -> None:
        """Records new requests and retries of any instance.

        Args:
            counts: Numbers of new requests and retries.
            now_s: Monotonic time, in seconds.
        """
        self._expire(now_s)
        self._window.append((now_s, counts))
        self._sums = _add(self._sums, counts)

    def has_retry(
        self, now_s: float, urgent: bool = False, count: int = 1
    ) -> bool:
        """Returns whether retries are left, without taking them.

        Args:
            now_s: Monotonic time, in seconds.
            urgent: Whether the request is lost without the retry.
            count: Number of retries.
        """
        self._expire(now_s)
        burst_share = min(
            1.0,
            self.instance_counts.reachable / self.instance_counts.ever_seen,
        )
        allowance = self.ratio * self._sums.requests + self.burst * burst_share
        share = _URGENT_SHARE if urgent else _NORMAL_SHARE
        return self._sums.retries + count <= share * allowance

    def take(self, now_s: float, urgent: bool = False) -> bool:
        """Takes one retry from the budget and returns whether one was left.

        Args:
            now_s: Monotonic time, in seconds.
            urgent: Whether the request is lost without the retry.
        """
        if not self.has_retry(now_s, urgent):
            return False
        self._total = _add(self._total, Counts(0, 1))
        self.record(Counts(0, 1), now_s)
        return True

    def _expire(self, now_s: float) -> None:
        start_s = now_s - self.window_s
        while self._window and self._window[0][0] < start_s:
            _, counts = self._window.popleft()
            self._sums = Counts(
                self._sums.requests - counts.requests,
                self._sums.retries - counts.retries,
            )


class BudgetRegistry:
    """Retry budgets of all services.

    Args:
        ratio: Retries allowed for each request.
        burst: Retries allowed in addition, for all instances together.
        window_s: Length of the window, in seconds.

    Attributes:
        instance_counts: Numbers of instances that share the budgets.
    """

    def __init__(self, ratio: float, burst: float, window_s: float) -> None:
        self._bounds = (ratio, burst, window_s)
        self._budgets: dict[str, RetryBudget] = {}
        self._peer_totals: dict[tuple[str, str], Counts] = {}
        self._listeners: list[Callable[[], None]] = []
        self.instance_counts = InstanceCounts()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Registers a function to call after each retry that was taken."""
        self._listeners.append(listener)

    def set_bounds(self, ratio: float, burst: float, window_s: float) -> None:
        """Changes the bounds of all budgets.

        Args:
            ratio: Retries allowed for each request.
            burst: Retries allowed in addition, for all instances together.
            window_s: Length of the window, in seconds.
        """
        self._bounds = (ratio, burst, window_s)
        for budget in self._budgets.values():
            budget.ratio, budget.burst, budget.window_s = self._bounds

    def for_service(self, service: str) -> RetryBudget:
        """Returns the budget of a service; creates it on first use."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(*self._bounds, self.instance_counts)
            self._budgets[service] = budget
        return budget

    def take(self, service: str, now_s: float, urgent: bool = False) -> bool:
        """Takes one retry and calls the listeners, if one was left.

        Args:
            service: Name of the service.
            now_s: Monotonic time, in seconds.
            urgent: Whether the request is lost without the retry.

        Returns:
            Whether a retry was left.
        """
        if not self.for_service(service).take(now_s, urgent):
            return False
        for listener in self._listeners:
            listener()
        return True

    def own_counts(self) -> dict[str, Counts]:
        """Returns the counts of this instance since its start, by service."""
        return {name: budget.total for name, budget in self._budgets.items()}

    def set_peer(
        self, peer_id: str, totals: dict[str, Counts], now_s: float
    ) -> None:
        """Records what another instance has counted since its last digest.

        Args:
            peer_id: Name of the other instance.
            totals: Its counts since its start, by service.
            now_s: Monotonic time, in seconds.
        """
        for service, total in totals.items():
            before = self._peer_totals.get((peer_id, service))
            if total == before:
                continue
            self._peer_totals[peer_id, service] = total
            if before is None:
                # The first totals of the instance have no known time. Its
                # retries may be recent and are counted; its requests may be
                # old and are not, as they would raise the allowance.
                before = Counts(total.requests, 0)
            counts = Counts(
                max(0, total.requests - before.requests),
                max(0, total.retries - before.retries),
            )
            if counts != Counts():
                self.for_service(service).record(counts, now_s)

    def drop_peer(self, peer_id: str) -> None:
        """Removes the totals of an instance that has restarted."""
        for key in [key for key in self._peer_totals if key[0] == peer_id]:
            del self._peer_totals[key]


def _add(one: Counts, other: Counts) -> Counts:
    return Counts(one.requests + other.requests, one.retries + other.retries)
