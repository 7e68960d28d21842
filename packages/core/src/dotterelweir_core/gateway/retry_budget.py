"""The budgets of repeated sends that all instances share.

Answers the load after a target has failed: its requests are sent once more,
all at about the same moment, and only some instances had any. Equal shares
would let most of the budget lie idle at the others, so that instances tell
each other what they have used.
"""

import collections
from collections.abc import Callable

import attrs

# Instances that share the burst while nothing is known of the others. A
# small deployment has six; a larger one is known from its peers.
DEFAULT_INSTANCES = 8
# Share of the allowance that is used; the rest covers repeats that others
# take before this instance hears of them, and requests that arrive at the
# edge of the window.
_URGENT_SHARE = 0.8
# Share that is left to sends that can wait: a generation that goes on at
# another engine has no second chance, a refused request has.
_NORMAL_SHARE = 0.5


@attrs.frozen
class Counts:
    """What one instance counted of one service since it started.

    Attributes:
        requests: Requests of callers.
        repeats: Repeats that it took.
    """

    requests: int = 0
    retries: int = 0


@attrs.define
class InstanceCounts:
    """How many instances share the budgets.

    Attributes:
        instances: All that were ever heard, this one included.
        visible: Those that are heard now, this one included.
    """

    ever_seen: int = DEFAULT_INSTANCES
    reachable: int = 1


@attrs.define
class RetryBudget:
    """Bounds the repeats to one service within a sliding window.

    The allowance of all instances together is a ratio of the requests plus
    a burst. Instances that hear each other share what is theirs of it;
    those that they do not hear keep an equal part of the burst.

    Attributes:
        ratio: Repeats for each request.
        burst: Repeats besides, for all instances together.
        window_s: Window, in seconds.
        pool: How many instances share it.
    """

    ratio: float
    burst: float
    window_s: float
    instance_counts: InstanceCounts
    _total: Counts = attrs.field(factory=Counts)
    # Times and counts of all instances within the window, and their sums.
    _window: collections.deque[tuple[float, Counts]] = attrs.field(
        factory=collections.deque
    )
    _sums: Counts = attrs.field(factory=Counts)

    @property
    def total(self) -> Counts:
        """What this instance counted since it started."""
        return self._total

    def record_request(self, now_s: float) -> None:
        """Takes note of a new request."""
        self._total = _add(self._total, Counts(1, 0))
        self.record(Counts(1, 0), now_s)

    def record(self, counts: Counts, now_s: float) -> None:
        """Takes note of what any instance counted just now."""
        self._expire(now_s)
        self._window.append((now_s, counts))
        self._sums = _add(self._sums, counts)

    def take(self, now_s: float, urgent: bool = False) -> bool:
        """Takes one repeat, if one is left.

        Args:
            now_s: Monotonic time.
            urgent: Whether the request is lost without it.
        """
        self._expire(now_s)
        burst_share = min(
            1.0,
            self.instance_counts.reachable / self.instance_counts.ever_seen,
        )
        allowance = self.ratio * self._sums.requests + self.burst * burst_share
        share = _URGENT_SHARE if urgent else _NORMAL_SHARE
        if self._sums.retries + 1 > share * allowance:
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
    """The budgets of all services.

    Args:
        ratio: Repeats for each request.
        burst: Repeats besides, for all instances together.
        window_s: Window, in seconds.

    Attributes:
        pool: How many instances share the budgets.
    """

    def __init__(self, ratio: float, burst: float, window_s: float) -> None:
        self._bounds = (ratio, burst, window_s)
        self._budgets: dict[str, RetryBudget] = {}
        self._peer_totals: dict[tuple[str, str], Counts] = {}
        self._listeners: list[Callable[[], None]] = []
        self.instance_counts = InstanceCounts()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls a function after each repeat that was taken."""
        self._listeners.append(listener)

    def set_bounds(self, ratio: float, burst: float, window_s: float) -> None:
        """Changes the bounds of all budgets."""
        self._bounds = (ratio, burst, window_s)
        for budget in self._budgets.values():
            budget.ratio, budget.burst, budget.window_s = self._bounds

    def for_service(self, service: str) -> RetryBudget:
        """The budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(*self._bounds, self.instance_counts)
            self._budgets[service] = budget
        return budget

    def take(self, service: str, now_s: float, urgent: bool = False) -> bool:
        """Takes one repeat, if one is left, and tells the listeners."""
        if not self.for_service(service).take(now_s, urgent):
            return False
        for listener in self._listeners:
            listener()
        return True

    def own_counts(self) -> dict[str, Counts]:
        """What this instance counted since it started, by service."""
        return {name: budget.total for name, budget in self._budgets.items()}

    def set_peer(
        self, peer_id: str, totals: dict[str, Counts], now_s: float
    ) -> None:
        """Takes what another instance has counted since it started.

        Args:
            peer_id: The instance.
            totals: Its counts by service.
            now_s: Monotonic time.
        """
        for service, total in totals.items():
            before = self._peer_totals.get((peer_id, service))
            if total == before:
                continue
            self._peer_totals[peer_id, service] = total
            if before is None:
                # When it counted them is unknown: its repeats may be new,
                # its requests may be old.
                before = Counts(total.requests, 0)
            counts = Counts(
                max(0, total.requests - before.requests),
                max(0, total.retries - before.retries),
            )
            if counts != Counts():
                self.for_service(service).record(counts, now_s)

    def drop_peer(self, peer_id: str) -> None:
        """Forgets the totals of an instance that has started anew."""
        for key in [key for key in self._peer_totals if key[0] == peer_id]:
            del self._peer_totals[key]


def _add(one: Counts, other: Counts) -> Counts:
    return Counts(one.requests + other.requests, one.retries + other.retries)
