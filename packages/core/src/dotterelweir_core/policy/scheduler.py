"""The scheduling policy: connects queue, admission and placement."""

import collections
import random

import attrs

from dotterelweir_core import errors
from dotterelweir_core.policy import api
from dotterelweir_core.policy import settings as policy_settings
from dotterelweir_core.targets import model

_RETRY_AFTER_DEFAULT_S = 1.0
# Ends that are kept to estimate how fast the queue drains.
_DRAIN_WINDOW = 64


@attrs.define
class _Attempt:
    item: api.WorkItem
    produced: int = 0


@attrs.define
class _TargetView:
    target: model.Target
    report: model.LoadReport | None = None
    attempts: dict[str, _Attempt] = attrs.field(factory=dict)
    sent_tokens: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class _Pool:
    targets: dict[str, _TargetView] = attrs.field(factory=dict)
    queue: list[api.WorkItem] = attrs.field(factory=list)


class PolicyScheduler(api.Scheduler):
    """Schedules the requests of one instance.

    Args:
        settings: Settings of the policy.
        rng: Random source of the sampled choices.
        zone: Availability zone of the instance.
    """

    def __init__(
        self,
        settings: policy_settings.PolicySettings,
        rng: random.Random,
        zone: str,
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._zone = zone
        self._pools: dict[str, _Pool] = {}
        self._views: dict[str, _TargetView] = {}
        self._ends_s: collections.deque[float] = collections.deque(
            maxlen=_DRAIN_WINDOW
        )
        self._refusals: list[api.Refusal] = []

    def set_targets(
        self, pool: str, targets: tuple[model.Target, ...], now_s: float
    ) -> None:
        entry = self._pools.setdefault(pool, _Pool())
        entry.targets = {
            target.target_id: self._view(target) for target in targets
        }

    def submit(self, item: api.WorkItem, now_s: float) -> None:
        pool = self._pools.setdefault(item.pool, _Pool())
        if len(pool.queue) >= self._settings.queue_max_requests:
            self._refuse(
                item, errors.ErrorKind.QUEUE_FULL, 'the queue is full', now_s
            )
            return
        pool.queue.append(item)
        pool.queue.sort(key=lambda entry: (entry.priority, entry.arrived_s))

    def cancel(self, request_id: str, now_s: float) -> None:
        for pool in self._pools.values():
            pool.queue = [
                item for item in pool.queue if item.request_id != request_id
            ]

    def decide(self, now_s: float) -> list[api.Decision]:
        decisions: list[api.Decision] = []
        for pool in self._pools.values():
            waiting = []
            for item in pool.queue:
                decision = self._decide_one(pool, item, now_s)
                if decision is None:
                    waiting.append(item)
                else:
                    decisions.append(decision)
                    if isinstance(decision, api.Placement):
                        view = pool.targets[decision.target_id]
                        view.attempts[item.request_id] = _Attempt(item)
            pool.queue = waiting
        decisions.extend(self._refusals)
        self._refusals = []
        return decisions

    def next_wakeup_s(self) -> float | None:
        if self._refusals:
            return 0.0
        return min(
            (
                self._give_up_s(item)
                for pool in self._pools.values()
                for item in pool.queue
            ),
            default=None,
        )

    def explain(self, item: api.WorkItem, now_s: float) -> api.Explanation:
        pool = self._pools.get(item.pool, _Pool())
        candidates = tuple(
            self._candidate(view, item) for view in pool.targets.values()
        )
        state = self._rng.getstate()
        decision = self._decide_one(pool, item, now_s)
        self._rng.setstate(state)
        return api.Explanation(decision, candidates)

    def record_report(self, report: model.LoadReport, now_s: float) -> None:
        view = self._views.get(report.target_id)
        if view and view.target.incarnation == report.incarnation:
            view.report = report

    def record_first_token(
        self, request_id: str, target_id: str, now_s: float
    ) -> None:
        self.record_tokens(request_id, target_id, 1, now_s)

    def record_tokens(
        self, request_id: str, target_id: str, count: int, now_s: float
    ) -> None:
        view = self._views.get(target_id)
        attempt = view.attempts.get(request_id) if view else None
        if attempt is not None:
            attempt.produced += count

    def record_end(
        self,
        request_id: str,
        target_id: str,
        end: api.AttemptEnd,
        now_s: float,
    ) -> None:
        view = self._views.get(target_id)
        if view and view.attempts.pop(request_id, None) is not None:
            self._ends_s.append(now_s)

    def _view(self, target: model.Target) -> _TargetView:
        view = self._views.get(target.target_id)
        if view is None or view.target.incarnation != target.incarnation:
            view = self._views[target.target_id] = _TargetView(target)
        return view

    def _decide_one(
        self, pool: _Pool, item: api.WorkItem, now_s: float
    ) -> api.Decision | None:
        if not pool.targets:
            return self._refusal(
                item, errors.ErrorKind.POOL_EMPTY, 'no usable target', now_s
            )
        usable = [
            view
            for view in pool.targets.values()
            if view.target.target_id not in item.excluded
        ]
        if not usable:
            return self._refusal(
                item,
                errors.ErrorKind.TARGET_UNREACHABLE,
                'every target of the pool was tried',
                now_s,
            )
        if all(self._never_fits(view, item) for view in usable):
            return self._refusal(
                item,
                errors.ErrorKind.TOO_LARGE_FOR_POOL,
                f'{item.prompt_tokens} prompt tokens fit in no target',
                now_s,
            )
        if now_s >= self._give_up_s(item):
            return self._refusal(
                item,
                errors.ErrorKind.QUEUE_TIMEOUT,
                'no target had room in time',
                now_s,
            )
        local = [view for view in usable if view.target.zone == self._zone]
        for group in (local, usable):
            placement = self._place(group, item)
            if placement is not None:
                return placement
        return None

    def _place(
        self, group: list[_TargetView], item: api.WorkItem
    ) -> api.Placement | None:
        fitting = [view for view in group if self._fits(view, item)]
        if not fitting:
            return None
        sample = self._rng.sample(
            fitting, min(self._settings.sample_size, len(fitting))
        )
        candidates = sorted(
            (self._candidate(view, item) for view in sample),
            key=lambda candidate: candidate.score,
        )
        return api.Placement(
            item.request_id,
            candidates[0].target_id,
            item.priority,
            f'lowest load of {len(candidates)} candidates',
            tuple(candidates),
        )

    def _candidate(
        self, view: _TargetView, item: api.WorkItem
    ) -> api.Candidate:
        score = float(len(view.attempts))
        total = view.report.memory_total_tokens if view.report else 0
        if total:
            score += self._projected_tokens(view) / total
        if view.target.target_id in item.excluded:
            reason = 'failed this request before'
        elif not self._fits(view, item):
            reason = 'no room'
        else:
            reason = f'{len(view.attempts)} in flight'
        return api.Candidate(view.target.target_id, score, reason)

    def _need_tokens(self, item: api.WorkItem, produced: int = 0) -> int:
        expected = self._settings.output_tokens_default
        if item.max_output_tokens is not None:
            expected = min(expected, item.max_output_tokens)
        return item.prompt_tokens + max(produced, expected)

    def _projected_tokens(self, view: _TargetView) -> int:
        own = sum(
            self._need_tokens(attempt.item, attempt.produced)
            for attempt in view.attempts.values()
        )
        reported = view.report.memory_used_tokens if view.report else 0
        return max(own, reported)

    def _fits(self, view: _TargetView, item: api.WorkItem) -> bool:
        total = view.report.memory_total_tokens if view.report else 0
        if not total:
            return len(view.attempts) < self._settings.in_flight_max
        projected = self._projected_tokens(view) + self._need_tokens(item)
        return (
            not view.attempts
            or projected <= self._settings.memory_fill_max * total
        )

    def _never_fits(self, view: _TargetView, item: api.WorkItem) -> bool:
        total = view.report.memory_total_tokens if view.report else 0
        return bool(total) and item.prompt_tokens >= total

    def _give_up_s(self, item: api.WorkItem) -> float:
        return min(
            item.deadline_s, item.arrived_s + self._settings.queue_timeout_s
        )

    def _refuse(
        self,
        item: api.WorkItem,
        kind: errors.ErrorKind,
        detail: str,
        now_s: float,
    ) -> None:
        self._refusals.append(self._refusal(item, kind, detail, now_s))

    def _refusal(
        self,
        item: api.WorkItem,
        kind: errors.ErrorKind,
        detail: str,
        now_s: float,
    ) -> api.Refusal:
        retry_after_s = None
        if errors.ANSWERS[kind].retryable:
            retry_after_s = self._retry_after_s(item.pool, now_s)
        return api.Refusal(item.request_id, kind, retry_after_s, detail)

    def _retry_after_s(self, pool: str, now_s: float) -> float:
        if len(self._ends_s) < 2:
            return _RETRY_AFTER_DEFAULT_S
        span_s = max(now_s - self._ends_s[0], 0.001)
        rate = len(self._ends_s) / span_s
        waiting = len(self._pools[pool].queue)
        return min(max((waiting + 1) / rate, 0.1), 60.0)
