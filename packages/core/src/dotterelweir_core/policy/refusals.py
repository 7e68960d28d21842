"""Decides which requests are refused and when they may be retried."""

import collections

from dotterelweir_core import errors
from dotterelweir_core.policy import api
from dotterelweir_core.policy import limits
from dotterelweir_core.policy import pool as policy_pool
from dotterelweir_core.policy import settings as policy_settings

_RETRY_AFTER_DEFAULT_S = 1.0
_RETRY_AFTER_MIN_S = 0.1
_RETRY_AFTER_MAX_S = 60.0
# Number of recent placements from which the drain rate of the queue is
# estimated.
_DRAIN_WINDOW = 64


class RefusalPolicy:
    """Refuses requests that cannot be served, or not in time.

    Args:
        settings: Settings of the policy.
        organisation_limits: Token rate limits of organisations.
    """

    def __init__(
        self,
        settings: policy_settings.PolicySettings,
        organisation_limits: limits.OrganisationLimits,
    ) -> None:
        self._settings = settings
        self._limits = organisation_limits
        self._placement_times_s: collections.deque[float] = collections.deque(
            maxlen=_DRAIN_WINDOW
        )

    def record_placed(self, now_s: float) -> None:
        """Records a placement, to estimate the drain rate."""
        self._placement_times_s.append(now_s)

    def refuse_unservable(
        self, pool: policy_pool.PoolView, item: api.WorkItem, now_s: float
    ) -> api.Refusal | None:
        """Returns a refusal if no target of the pool can serve a request."""
        kinds = errors.ErrorKind
        if not pool.targets:
            kind, detail = kinds.POOL_EMPTY, 'no usable target'
        elif item.excluded and item.excluded.issuperset(pool.targets):
            kind = kinds.TARGET_UNREACHABLE
            detail = 'every target of the pool was tried'
        elif 0 < pool.capacity_max_tokens <= item.prompt_tokens:
            kind = kinds.TOO_LARGE_FOR_POOL
            detail = f'{item.prompt_tokens} prompt tokens fit in no target'
        else:
            return None
        return self.make_refusal(pool, item, kind, detail, now_s)

    def refuse_over_limit(
        self, pool: policy_pool.PoolView, item: api.WorkItem, now_s: float
    ) -> api.Refusal | None:
        """Returns a refusal if a budget, a limit or the queue is exhausted."""
        kinds = errors.ErrorKind
        if item.excluded and not pool.retry_budget.try_acquire():
            detail = 'the budget for further attempts is used up'
            return self.make_refusal(
                pool, item, kinds.TARGET_FAILED, detail, now_s
            )
        wait_s = self._limits.wait_s(item.route, item.organisation, now_s)
        if wait_s > 0 and not item.excluded:
            return api.Refusal(
                item.request_id,
                kinds.ORGANISATION_LIMIT,
                wait_s,
                f'{item.organisation} is over its token rate',
            )
        waiting = len(pool.queue)
        drain_s = self._drain_time_s(waiting, now_s)
        if waiting >= self._settings.queue_max_requests or (
            waiting and drain_s > self._settings.queue_timeout_s
        ):
            detail = f'{waiting} requests wait'
            return self.make_refusal(
                pool, item, kinds.QUEUE_FULL, detail, now_s
            )
        return None

    def make_refusal(
        self,
        pool: policy_pool.PoolView,
        item: api.WorkItem,
        kind: errors.ErrorKind,
        detail: str,
        now_s: float,
    ) -> api.Refusal:
        """Creates a refusal with a Retry-After from the drain rate."""
        retry_after_s = None
        if errors.RESPONSES[kind].retryable:
            retry_after_s = min(
                max(
                    self._drain_time_s(len(pool.queue) + 1, now_s),
                    _RETRY_AFTER_MIN_S,
                ),
                _RETRY_AFTER_MAX_S,
            )
        return api.Refusal(item.request_id, kind, retry_after_s, detail)

    def _drain_time_s(self, waiting: int, now_s: float) -> float:
        """Returns the time in seconds to place so many waiting requests."""
        if len(self._placement_times_s) < _DRAIN_WINDOW // 4:
            return _RETRY_AFTER_DEFAULT_S
        span_s = max(now_s - self._placement_times_s[0], 0.001)
        return waiting * span_s / len(self._placement_times_s)
